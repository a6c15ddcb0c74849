//! The cost of reporting: the telemetry alone, in virtual time, over numbers of destinations. The cost of
//! messages of an edge with and without reports is a case of [`crate::throughput_baseline`].

use crate::statistics::{median, round};
use linnetcart::{AttemptOutcome, Class, Idempotency};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::settings::{Collectd, Form, Graphite, Security, Telemetry as Settings};
use linnetcart_telemetry::{
    CourierInfo, CurrentState, ListedEndpoint, NamedClass, Output, RestoredState, Telemetry,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Instant;

const SECOND: u64 = 1_000_000_000;
/// Time between reports, in nanoseconds.
const INTERVAL: u64 = 10 * SECOND;
const CLASSES: u8 = 10;
/// Numbers of destinations that are measured.
const DESTINATIONS: [u32; 3] = [10, 500, 5000];
/// Number of messages in an interval, for any number of destinations.
const MESSAGES: u32 = 20_000;
/// Number of messages in one iteration of a courier's event loop.
const MESSAGES_PER_ITERATION: u32 = 10;
/// Maximum number of slices in which a report is written.
const MAX_SLICES: u64 = 10_000;
/// Minimum number of slices, since the first ones may have nothing to write yet.
const MIN_SLICES: u64 = 3;

/// A telemetry instance under load.
struct Load {
    telemetry: Telemetry,
    destinations: u32,
    rng: ChaCha8Rng,
}

/// The cost of the messages of one interval.
#[derive(Default)]
struct IntervalCost {
    seconds: f64,
    log_bytes: usize,
}

/// The cost and size of the report of one interval.
#[derive(Default)]
struct ReportCost {
    /// CPU time of all slices.
    total_ms: f64,
    /// CPU time of the longest slice.
    longest_slice_ms: f64,
    points: usize,
    graphite_bytes: usize,
    collectd_bytes: usize,
}

/// The cost of an interval and its report.
struct Turn {
    interval: IntervalCost,
    report: ReportCost,
}

/// Measures the cost of a message's delivery events and of a report, for each form and number of
/// destinations. Returns medians over the turns as JSON.
pub fn run(turns: usize) -> Value {
    let mut rows = Vec::new();
    for form in [Form::Plaintext, Form::Pickle] {
        for destinations in DESTINATIONS {
            rows.push(measure(form, destinations, turns));
        }
    }
    json!({"messages_an_interval": MESSAGES, "turns": turns, "reports": rows})
}

fn measure(form: Form, destinations: u32, turns: usize) -> Value {
    let mut load = Load::new(form, destinations);
    // The first turn is not measured: every series of its report is new.
    load.run_turn(1);
    let turns: Vec<Turn> = (2..=turns as u64 + 1).map(|number| load.run_turn(number)).collect();
    let column = |figure: fn(&Turn) -> f64| round(median(turns.iter().map(figure).collect()));
    json!({
        "form": form,
        "destinations": destinations,
        "classes": CLASSES,
        "us_a_message": column(|turn| turn.interval.seconds * 1e6 / f64::from(MESSAGES)),
        "ms_a_report": column(|turn| turn.report.total_ms),
        "ms_longest_turn": column(|turn| turn.report.longest_slice_ms),
        "points": column(|turn| turn.report.points as f64),
        "graphite_bytes": column(|turn| turn.report.graphite_bytes as f64),
        "collectd_bytes": column(|turn| turn.report.collectd_bytes as f64),
        "log_bytes": column(|turn| turn.interval.log_bytes as f64),
    })
}

fn settings(form: Form) -> Settings {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Settings {
        graphite: Some(Graphite { address, form, tags: false, queue_bytes: 1 << 29, stuck_s: 30 }),
        collectd: Some(Collectd { address, host: None, security: Security::None, packet_bytes: 1452 }),
        points: 10_000_000,
        ..Settings::default()
    }
}

fn courier_info() -> CourierInfo {
    let class = Class {
        latency_objective: SECOND,
        deadline: 8 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let named_class = |number| NamedClass { name: format!("class-{number}"), class: class.clone() };
    CourierInfo {
        deployment: "floor".into(),
        courier_index: 0,
        classes: (0..CLASSES).map(named_class).collect(),
        weight_halves: false,
        seed: 1,
    }
}

impl Load {
    fn new(form: Form, destinations: u32) -> Load {
        let mut telemetry = Telemetry::new(courier_info(), RestoredState::default(), settings(form), 0);
        telemetry.set_endpoints((0..destinations).map(|number| ListedEndpoint {
            endpoint: number,
            destination: number,
            independent_route: false,
        }));
        Load { telemetry, destinations, rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn run_turn(&mut self, number: u64) -> Turn {
        let interval_end = number * INTERVAL;
        let interval = self.run_interval(interval_end - INTERVAL + 1);
        let report = self.write_report(interval_end);
        Turn { interval, report }
    }

    fn run_interval(&mut self, now: u64) -> IntervalCost {
        let mut cost = IntervalCost::default();
        for message in 0..MESSAGES {
            let destination = self.rng.random_range(0..self.destinations);
            let class = self.rng.random_range(0..CLASSES);
            let started = Instant::now();
            self.record_message(message, destination, class);
            if message % MESSAGES_PER_ITERATION == MESSAGES_PER_ITERATION - 1 {
                cost.log_bytes += self.append_to_log(now);
            }
            cost.seconds += started.elapsed().as_secs_f64();
        }
        cost
    }

    fn record_message(&mut self, message: u32, destination: u32, class: u8) {
        let endpoint = destination;
        let elapsed = SECOND / 20;
        let name = bytes::Bytes::new();
        self.telemetry.record(&DeliveryEvent::Accepted { message, name, class, destination, deadline: 0 });
        self.telemetry.record(&DeliveryEvent::AttemptStarted {
            message,
            attempt: 0,
            class,
            destination,
            endpoint,
            hedge: false,
        });
        self.telemetry.record(&DeliveryEvent::AttemptFinished {
            message,
            attempt: 0,
            class,
            destination,
            endpoint,
            outcome: AttemptOutcome::Served,
            elapsed,
            load: Some(LoadReport { capacity_left: 0.5, rate_limit: 100.0 }),
        });
        let answer = FinalAnswer::Served;
        self.telemetry.record(&DeliveryEvent::Completed { message, class, destination, answer, elapsed });
    }

    /// Appends the changes of an iteration to the log and returns their size in bytes.
    fn append_to_log(&mut self, now: u64) -> usize {
        self.telemetry.process(now, now, CurrentState::default);
        let mut bytes = 0;
        for output in self.telemetry.outputs() {
            if let Output::Append(frame) = output {
                bytes += frame.len();
            }
        }
        bytes
    }

    fn write_report(&mut self, now: u64) -> ReportCost {
        let mut cost = ReportCost::default();
        for slice in 0..MAX_SLICES {
            self.write_slice(now + slice * SECOND / 1000, &mut cost);
            self.telemetry.acknowledged(now + slice * SECOND / 1000, u64::MAX);
            if slice >= MIN_SLICES && self.telemetry.is_idle() {
                break;
            }
        }
        cost.points = self.telemetry.status(now).points;
        cost
    }

    fn write_slice(&mut self, now: u64, cost: &mut ReportCost) {
        let started = Instant::now();
        self.telemetry.process(now, now, CurrentState::default);
        let outputs = self.telemetry.outputs();
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        cost.total_ms += elapsed_ms;
        cost.longest_slice_ms = cost.longest_slice_ms.max(elapsed_ms);
        for output in outputs {
            match output {
                Output::Sync(number) => self.telemetry.synced(number, Ok(())),
                Output::Graphite(ConnectionAction::Connect(_)) => self.telemetry.connected(now),
                Output::Graphite(ConnectionAction::Write(bytes)) => cost.graphite_bytes += bytes.len(),
                Output::Datagram(_, packet) => cost.collectd_bytes += packet.len(),
                _ => {}
            }
        }
    }
}
