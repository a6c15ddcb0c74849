//! Simulations of the reporting in virtual time, with outages, crashes and steps of the wall clock. In the
//! end the receivers must have the counts that the simulation kept itself, and no counter may ever fall.

mod checks;
mod fixture;
mod messages;
mod parts;
mod scale;

use fixture::{Simulation, SECOND};
use linnetcart::{LimitChange, LimitState};
use linnetcart_delivery_events::DeliveryEvent;
use linnetcart_telemetry::collectd::{self, PacketItem};
use linnetcart_telemetry::settings::{Form, Telemetry as Settings};
use linnetcart_telemetry::{CurrentState, ListedEndpoint, LogEvent, Output};
use parts::{settings, Crash};
use std::collections::BTreeMap;

#[test]
fn series_after_settling_equal_independent_counts() {
    for form in [Form::Plaintext, Form::Pickle] {
        let mut simulation = Simulation::new(form);
        simulation.run(600);
        simulation.settle();
        simulation.assert_counts_received();
        let value = |end: &str| simulation.last_value(end);
        assert_eq!(value("dest.d2.limit_told"), 40.0);
        assert_eq!(value("dest.d2.limit_used_share"), 0.75);
        assert_eq!(value("dest.d2.route.20.attempts"), value("dest.d2.attempts"));
        let weight = |part: &str| value(&format!("courier.worth_{part}_milli"));
        assert_eq!(weight("asked"), weight("in_aim") + weight("late") + weight("lost"));
        assert!(weight("late") > 0.0 && weight("lost") > 0.0);
    }
}

#[test]
fn receiver_outage_of_ten_minutes_loses_resolution_and_no_count() {
    let mut simulation = Simulation::new(Form::Plaintext);
    simulation.run(300);
    let points_before = simulation.receiver.stream.points;
    simulation.lose_receiver();
    simulation.run(6000);
    assert_eq!(simulation.receiver.stream.points, points_before);
    assert!(simulation.max_waiting_bytes <= 1 << 18, "{}", simulation.max_waiting_bytes);
    simulation.receiver_reachable = true;
    simulation.receiver_reads = true;
    simulation.run(1200);
    simulation.settle();
    simulation.assert_counts_received();
    assert!(simulation.last_value("courier.points_dropped") > 0.0, "dropped points are reported");
}

#[test]
fn receiver_not_reading_or_resetting_loses_no_count() {
    let mut simulation = Simulation::new(Form::Pickle);
    simulation.receiver_reads = false;
    simulation.run(3000);
    assert!(simulation.max_waiting_bytes <= 1 << 18, "{}", simulation.max_waiting_bytes);
    simulation.receiver_reads = true;
    for _ in 0..60 {
        simulation.run(30);
        simulation.break_connection();
    }
    simulation.run(900);
    simulation.settle();
    simulation.assert_counts_received();
}

#[test]
fn crashes_between_snapshots_and_within_an_interval_lose_no_count() {
    let mut simulation = Simulation::new(Form::Plaintext);
    for round in 0..30 {
        simulation.run(10 + round * 3 % 70);
        simulation.run_fast(round % 5);
        simulation.crash(Crash::Process);
        if round % 10 == 0 {
            simulation.crash(Crash::Process);
            simulation.run(1);
            simulation.crash(Crash::Process);
        }
    }
    simulation.run(10);
    simulation.settle();
    simulation.assert_counts_received();
}

#[test]
fn power_loss_loses_unsynced_counts_and_no_series_falls() {
    let mut simulation = Simulation::new(Form::Plaintext);
    for round in 0..30 {
        simulation.run(150 + round * 7 % 130);
        simulation.crash(Crash::PowerLoss);
    }
    simulation.settle();
    simulation.assert_no_regression();
    let counted = simulation.counted["courier.taken"] as f64;
    let received = simulation.last_value("courier.taken");
    assert!(received <= counted && received > counted / 2.0, "{received} of {counted}");
}

#[test]
fn clock_set_back_and_forward_lets_no_series_fall() {
    let mut simulation = Simulation::new(Form::Plaintext);
    simulation.run(300);
    simulation.wall -= 3600 * SECOND;
    simulation.run(600);
    let is_set_back = |event: &LogEvent| matches!(event, LogEvent::ClockSetBack { .. });
    assert!(simulation.logged.iter().any(is_set_back), "{:?}", simulation.logged);
    simulation.crash(Crash::Process);
    simulation.run(600);
    simulation.wall += 3 * 3600 * SECOND;
    simulation.run(300);
    simulation.settle();
    simulation.assert_counts_received();
}

#[test]
fn sync_failure_withholds_counts_but_not_gauges() {
    let mut simulation = Simulation::new(Form::Plaintext);
    simulation.run(300);
    simulation.disk_works = false;
    let count_before = simulation.last_point("courier.taken");
    let gauge_before = simulation.last_point("courier.slots");
    simulation.run(600);
    assert_eq!(simulation.last_point("courier.taken"), count_before);
    let gauge = simulation.last_point("courier.slots");
    assert!(gauge.time_s > gauge_before.time_s);
    assert!(simulation.telemetry.status(simulation.now).counts_not_safe);
    simulation.disk_works = true;
    simulation.run(300);
    simulation.settle();
    simulation.assert_counts_received();
}

/// Configures names of destinations, and simulates enough time to report under them.
fn run_with_names(simulation: &mut Simulation, names: &[(u32, &str)]) {
    let names = names.iter().map(|(destination, name)| (*destination, (*name).to_owned())).collect();
    let settings = Settings { names, ..simulation.telemetry.settings().clone() };
    simulation.telemetry.configure(settings, simulation.now);
    simulation.run(250);
}

#[test]
fn names_changed_or_colliding_let_no_series_fall() {
    let mut simulation = Simulation::new(Form::Plaintext);
    run_with_names(&mut simulation, &[(1, "Bank Łódź"), (2, "Bank.Lodz")]);
    run_with_names(&mut simulation, &[(1, "Other"), (2, "Bank Lodz"), (3, "Bank Lodz")]);
    simulation.crash(Crash::Process);
    // The second destination is removed from the list and added again.
    let without_second = [10, 30].map(|endpoint| ListedEndpoint {
        endpoint,
        destination: endpoint / 10,
        independent_route: false,
    });
    simulation.telemetry.set_endpoints(without_second.into_iter());
    run_with_names(&mut simulation, &[(3, "Other")]);
    simulation.list_endpoints();
    run_with_names(&mut simulation, &[(1, "Bank Lodz")]);
    simulation.settle();
    simulation.assert_no_regression();
    let accepted = |name: &str| simulation.last_value(&format!("dest.{name}.taken"));
    let expected = simulation.counted["dest.d1.taken"] as f64;
    assert_eq!(accepted("Bank_Lodz"), expected, "the first owner gets its name again");
    assert!(accepted("Bank_Lodz-d2") > 0.0 && accepted("Bank_Lodz-d3") > 0.0 && accepted("Other-d3") > 0.0);
}

/// A notification that was sent to collectd.
#[derive(Debug, PartialEq)]
struct SentNotification {
    plugin_instance: String,
    severity: u64,
}

/// Returns the plugin instances and severities of the notifications that a state change of a limit causes.
fn notifications_of(
    simulation: &mut Simulation,
    destination: u32,
    endpoint: u32,
    state: LimitState,
) -> Vec<SentNotification> {
    let change = LimitChange { destination, endpoint, state, evidence: None };
    simulation.telemetry.record(&DeliveryEvent::LimitChanged(change));
    simulation.telemetry.process(simulation.now, simulation.wall, CurrentState::default);
    let mut notifications = Vec::new();
    for output in simulation.telemetry.outputs() {
        let Output::Datagram(_, packet) = output else { continue };
        for item in collectd::read(&packet, &BTreeMap::new(), Default::default()).expect("a packet") {
            if let PacketItem::Notification { header, severity, .. } = item {
                notifications.push(SentNotification { plugin_instance: header.plugin_instance, severity });
            }
        }
    }
    notifications
}

#[test]
fn limit_state_changed_notifies_once_and_one_silent_endpoint_is_no_outage() {
    let mut simulation = Simulation::new(Form::Plaintext);
    let mut notified = Vec::new();
    for (destination, endpoint, state) in [
        (1, 10, LimitState::Silent),
        (1, 11, LimitState::Silent),
        (1, 11, LimitState::Ejected),
        (2, 21, LimitState::Silent),
        (1, 10, LimitState::Recovering),
        (1, 10, LimitState::Healthy),
    ] {
        notified.extend(notifications_of(&mut simulation, destination, endpoint, state));
    }
    let sent = |plugin_instance: &str, severity| SentNotification {
        plugin_instance: plugin_instance.to_owned(),
        severity,
    };
    let expected = [sent("dest-d1", 1), sent("dest-d2-route-21", 1), sent("dest-d1", 2), sent("dest-d1", 4)];
    assert_eq!(notified, expected);
}

#[test]
fn sums_after_restart_at_cell_limit_do_not_fall() {
    let settings = Settings { cells: 3, ..settings(Form::Plaintext) };
    let mut simulation = Simulation::with_settings(settings);
    simulation.run(300);
    simulation.crash(Crash::Process);
    simulation.run(300);
    simulation.assert_no_regression();
    assert!(simulation.telemetry.status(simulation.now).beyond > 0);
}
