//! Behaviour at scale: many couriers, and a courier with many cells.

use crate::fixture::{SECOND, WALL_START};
use crate::parts::{courier, settings, Receiver};
use linnetcart_delivery_events::DeliveryEvent;
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::settings::{Form, Telemetry as Settings};
use linnetcart_telemetry::{CurrentState, ListedEndpoint, NamedClass, Output, RestoredState, Telemetry};

#[test]
fn reports_of_thousand_couriers_spread_over_interval() {
    let mut couriers_by_second = [0; 10];
    for number in 0..1000 {
        let telemetry =
            Telemetry::new(courier(number), RestoredState::default(), settings(Form::Plaintext), 0);
        couriers_by_second[(telemetry.next_wakeup() / SECOND) as usize] += 1;
    }
    assert!(couriers_by_second.iter().all(|count| (60..=140).contains(count)), "{couriers_by_second:?}");
}

const MANY_DESTINATIONS: u32 = 5000;
const MANY_CLASSES: u8 = 10;

/// The telemetry of a courier that accepted a message of each class for each destination, with at most
/// `max_points` points in a report.
fn courier_of_many_cells(max_points: usize) -> Telemetry {
    let mut info = courier(3);
    let class = info.classes[0].class.clone();
    let named_class = |number| NamedClass { name: format!("c{number}"), class: class.clone() };
    info.classes = (0..MANY_CLASSES).map(named_class).collect();
    let mut settings = Settings { points: max_points, ..settings(Form::Plaintext) };
    settings.graphite.iter_mut().for_each(|graphite| graphite.queue_bytes = 16 << 20);
    let mut telemetry = Telemetry::new(info, RestoredState::default(), settings, 0);
    let endpoint =
        |number| ListedEndpoint { endpoint: number, destination: number, independent_route: false };
    telemetry.set_endpoints((0..MANY_DESTINATIONS).map(endpoint));
    for destination in 0..MANY_DESTINATIONS {
        for class in 0..MANY_CLASSES {
            telemetry.record(&DeliveryEvent::Accepted {
                message: destination,
                name: "x".into(),
                class,
                destination,
                deadline: SECOND,
            });
        }
    }
    telemetry
}

/// Simulates one iteration of the event loop with a working receiver and disk.
fn process(telemetry: &mut Telemetry, receiver: &mut Receiver, now: u64) {
    telemetry.process(now, WALL_START + now, CurrentState::default);
    for output in telemetry.outputs() {
        match output {
            Output::Sync(number) => telemetry.synced(number, Ok(())),
            Output::Graphite(ConnectionAction::Connect(_)) => telemetry.connected(now),
            Output::Graphite(ConnectionAction::Write(bytes)) => receiver.receive(&bytes),
            _ => {}
        }
    }
    telemetry.acknowledged(now, u64::MAX);
}

#[test]
fn report_of_fifty_thousand_cells_stays_within_point_limit() {
    let mut telemetry = courier_of_many_cells(20_000);
    let mut receiver = Receiver::default();
    for report in 1..=60u64 {
        for slice in 0..300u64 {
            let now = report * 10 * SECOND + slice * SECOND / 1000;
            process(&mut telemetry, &mut receiver, now);
            let points = telemetry.status(now).points;
            assert!(points <= 20_000 + 100, "{points}");
        }
    }
    let is_cell =
        |name: &&String| name.contains(".class.c") && name.contains(".dest.") && name.ends_with(".taken");
    let cells = receiver.stream.series.keys().filter(is_cell).count();
    assert_eq!(cells, 50_000, "every cell was reported");
}
