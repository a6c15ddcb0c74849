//! The cost of reporting, measured on [`Telemetry`] alone for varying numbers of destinations. The
//! telemetry's clock is virtual; the time that its calls take is real. What reports cost the messages of an
//! edge is a case of [`crate::throughput_baseline`].

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

/// One second in nanoseconds, the unit of the telemetry's clock.
const SECOND: u64 = 1_000_000_000;
/// Time between reports, in nanoseconds.
const REPORT_INTERVAL: u64 = 10 * SECOND;
/// Number of classes; the class of each message is drawn uniformly.
const CLASSES: u8 = 10;
/// Numbers of destinations that are measured.
const DESTINATION_COUNTS: [u32; 3] = [10, 500, 5000];
/// Number of messages in a report interval, for any number of destinations.
const MESSAGES_PER_INTERVAL: u32 = 20_000;
/// Number of messages whose delivery events are recorded in one iteration of the event loop.
const MESSAGES_PER_ITERATION: u32 = 10;
/// Maximum number of slices of a report; each is one iteration of the event loop.
const MAX_SLICES: u64 = 10_000;
/// Index, from 0, of the first slice after which an idle telemetry means that the report is complete: in the
/// earlier slices the telemetry may be idle because it has nothing to send yet.
const MIN_SLICES: u64 = 3;

/// A telemetry instance, and the random source of the messages that are recorded in it.
struct TelemetryBench {
    telemetry: Telemetry,
    destinations: u32,
    rng: ChaCha8Rng,
}

/// The cost of recording the messages of one report interval.
#[derive(Default)]
struct IntervalCost {
    /// Real time that the calls of the telemetry took, in seconds.
    seconds: f64,
    /// Bytes appended to the counter log.
    log_bytes: usize,
}

/// The time to write one report, and the size of the report for each receiver.
#[derive(Default)]
struct ReportCost {
    /// Real time of all slices together, in milliseconds.
    total_ms: f64,
    /// Real time of the longest slice, in milliseconds.
    longest_slice_ms: f64,
    /// Number of points in the report.
    points: usize,
    /// Bytes written to the Graphite connection.
    graphite_bytes: usize,
    /// Bytes of the datagrams sent to collectd.
    collectd_bytes: usize,
}

/// The cost of one report interval and of the report at its end.
struct Round {
    interval: IntervalCost,
    report: ReportCost,
}

/// Measures the time to record a message's delivery events and the time to write a report, for each Graphite
/// protocol and number of destinations. Returns medians over `rounds` rounds as JSON.
pub fn run(rounds: usize) -> Value {
    let mut rows = Vec::new();
    for form in [Form::Plaintext, Form::Pickle] {
        for destinations in DESTINATION_COUNTS {
            rows.push(measure(form, destinations, rounds));
        }
    }
    json!({"messages_an_interval": MESSAGES_PER_INTERVAL, "turns": rounds, "reports": rows})
}

fn measure(form: Form, destinations: u32, rounds: usize) -> Value {
    let mut bench = TelemetryBench::new(form, destinations);
    // The first round is a warm-up, in which every series of the report is new.
    bench.run_round(1);
    let rounds: Vec<Round> = (2..=rounds as u64 + 1).map(|number| bench.run_round(number)).collect();
    let median_of = |metric: fn(&Round) -> f64| round(median(rounds.iter().map(metric).collect()));
    json!({
        "form": form,
        "destinations": destinations,
        "classes": CLASSES,
        "us_a_message": median_of(|round| round.interval.seconds * 1e6 / f64::from(MESSAGES_PER_INTERVAL)),
        "ms_a_report": median_of(|round| round.report.total_ms),
        "ms_longest_turn": median_of(|round| round.report.longest_slice_ms),
        "points": median_of(|round| round.report.points as f64),
        "graphite_bytes": median_of(|round| round.report.graphite_bytes as f64),
        "collectd_bytes": median_of(|round| round.report.collectd_bytes as f64),
        "log_bytes": median_of(|round| round.interval.log_bytes as f64),
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

impl TelemetryBench {
    fn new(form: Form, destinations: u32) -> TelemetryBench {
        let mut telemetry = Telemetry::new(courier_info(), RestoredState::default(), settings(form), 0);
        telemetry.set_endpoints((0..destinations).map(|number| ListedEndpoint {
            endpoint: number,
            destination: number,
            independent_route: false,
        }));
        TelemetryBench { telemetry, destinations, rng: ChaCha8Rng::seed_from_u64(1) }
    }

    /// Records the messages of interval `number`, counted from 1, and writes the report at the end of the
    /// interval, at the virtual time `number * REPORT_INTERVAL`.
    fn run_round(&mut self, number: u64) -> Round {
        let interval_end = number * REPORT_INTERVAL;
        let interval = self.run_interval(interval_end - REPORT_INTERVAL + 1);
        let report = self.write_report(interval_end);
        Round { interval, report }
    }

    /// Records the messages of an interval, all at the virtual time `now`.
    fn run_interval(&mut self, now: u64) -> IntervalCost {
        let mut cost = IntervalCost::default();
        for message in 0..MESSAGES_PER_INTERVAL {
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

    /// Records a message that is delivered with one attempt.
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

    /// Performs one iteration of the telemetry's event loop, and returns the size in bytes of the frames that
    /// the iteration appends to the counter log.
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

    /// Writes the report that is due at `now`, one slice per millisecond of virtual time.
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

    /// Writes one slice. Syncs and the connection to Graphite succeed at once, and their time is not
    /// measured.
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
