//! What reporting costs: the reports alone, in virtual time, by destinations; and an edge's messages beside one that
//! reports nothing (in [`crate::floor`]).

use crate::figures::{median, round};
use linnetcart::{AttemptOutcome, Class, Idempotency};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};
use linnetcart_telemetry::connection::ConnectionAction as Do;
use linnetcart_telemetry::settings::{Collectd, Form, Graphite, Security, Telemetry as Settings};
use linnetcart_telemetry::{CourierInfo, CurrentState, ListedEndpoint, Output, RestoredState, Telemetry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::time::Instant;

const SECOND: u64 = 1_000_000_000;
const CLASSES: u8 = 10;
/// Messages of an interval, whatever the destinations.
const MESSAGES: u32 = 20_000;

fn settings(form: Form) -> Settings {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    Settings {
        graphite: Some(Graphite { address, form, tags: false, queue_bytes: 1 << 29, stuck_s: 30 }),
        collectd: Some(Collectd { address, host: None, security: Security::None, packet_bytes: 1452 }),
        points: 10_000_000,
        ..Settings::default()
    }
}

fn message(t: &mut Telemetry, id: u32, destination: u32, class: u8) {
    let (message, endpoint, took) = (id, destination, SECOND / 20);
    t.record(&DeliveryEvent::Accepted {
        message,
        name: bytes::Bytes::new(),
        class,
        destination,
        deadline: 0,
    });
    t.record(&DeliveryEvent::AttemptStarted {
        message,
        attempt: 0,
        class,
        destination,
        endpoint,
        hedge: false,
    });
    let (ending, load) = (AttemptOutcome::Served, Some(LoadReport { capacity_left: 0.5, rate_limit: 100.0 }));
    t.record(&DeliveryEvent::AttemptFinished {
        message,
        attempt: 0,
        class,
        destination,
        endpoint,
        outcome: ending,
        elapsed: took,
        load,
    });
    t.record(&DeliveryEvent::Completed {
        message,
        class,
        destination,
        answer: FinalAnswer::Served,
        elapsed: took,
    });
}

/// What one interval's report came to.
struct Report {
    /// Milliseconds of processor over all slices, and of the longest turn.
    ms: f64,
    longest: f64,
    points: usize,
    graphite: usize,
    collectd: usize,
}

fn report(t: &mut Telemetry, now: u64) -> Report {
    let mut r = Report { ms: 0.0, longest: 0.0, points: 0, graphite: 0, collectd: 0 };
    for slice in 0..10_000 {
        let now = now + slice * SECOND / 1000;
        let begun = Instant::now();
        t.process(now, now, CurrentState::default);
        let outputs = t.outputs();
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        (r.ms, r.longest) = (r.ms + ms, r.longest.max(ms));
        for output in outputs {
            match output {
                Output::Sync(number) => t.synced(number, Ok(())),
                Output::Graphite(Do::Connect(_)) => t.connected(now),
                Output::Graphite(Do::Write(bytes)) => r.graphite += bytes.len(),
                Output::Datagram(_, packet) => r.collectd += packet.len(),
                _ => {}
            }
        }
        t.acknowledged(now, u64::MAX);
        if slice > 2 && t.is_quiet() {
            break;
        }
    }
    r.points = t.status(now).points;
    r
}

/// Cost of a message's facts and of a report, by destinations.
pub fn run(turns: usize) -> Value {
    let mut rows = Vec::new();
    for form in [Form::Plaintext, Form::Pickle] {
        for destinations in [10u32, 500, 5000] {
            let class = |n: u8| {
                let (aim, deadline, repeat) = (SECOND, 8 * SECOND, Idempotency::Idempotent);
                let class = Class {
                    latency_objective: aim,
                    deadline,
                    priority_weight: 1.0,
                    late_weight: 0.5,
                    idempotency: repeat,
                    ordered: false,
                };
                (format!("class-{n}"), class)
            };
            let courier = CourierInfo {
                deployment: "floor".into(),
                me: 0,
                classes: (0..CLASSES).map(class).collect(),
                halves: false,
                seed: 1,
            };
            let mut t = Telemetry::new(courier, RestoredState::default(), settings(form), 0);
            t.set_endpoints((0..destinations).map(|d| ListedEndpoint {
                endpoint: d,
                destination: d,
                apart: false,
            }));
            let mut random = ChaCha8Rng::seed_from_u64(1);
            let (mut facts, mut reports) = (Vec::new(), Vec::new());
            for turn in 1..=turns as u64 + 1 {
                let (now, mut spent, mut log) = (turn * 10 * SECOND, 0.0, 0);
                for n in 0..MESSAGES {
                    let (dest, class) =
                        (random.random_range(0..destinations), random.random_range(0..CLASSES));
                    let begun = Instant::now();
                    message(&mut t, n, dest, class);
                    if n % 10 == 9 {
                        // A turn of the loop has some ten messages; what they changed goes into the log.
                        t.process(now - 10 * SECOND + 1, now - 10 * SECOND + 1, CurrentState::default);
                        for output in t.outputs() {
                            if let Output::Append(frame) = output {
                                log += frame.len();
                            }
                        }
                    }
                    spent += begun.elapsed().as_secs_f64();
                }
                let r = report(&mut t, now);
                // The first has every cell as news.
                if turn > 1 {
                    facts.push(spent * 1e6 / f64::from(MESSAGES));
                    reports.push((r, log));
                }
            }
            let column =
                |pick: fn(&(Report, usize)) -> f64| round(median(reports.iter().map(pick).collect()));
            rows.push(json!({
                "form": form, "destinations": destinations, "classes": CLASSES, "us_a_message": round(median(facts)),
                "ms_a_report": column(|r| r.0.ms), "ms_longest_turn": column(|r| r.0.longest),
                "points": column(|r| r.0.points as f64), "graphite_bytes": column(|r| r.0.graphite as f64),
                "collectd_bytes": column(|r| r.0.collectd as f64), "log_bytes": column(|r| r.1 as f64),
            }));
        }
    }
    json!({"messages_an_interval": MESSAGES, "turns": turns, "reports": rows})
}
