//! Measures the cost of decisions: real time per message that the library alone takes, driven in virtual time
//! with one decision cycle per millisecond.
//!
//! The cases of a series differ in one quantity: waiting messages, destinations, or calls in flight. Their
//! measurements are interleaved, so that other load on the machine affects all of them alike; medians are
//! compared.

mod driver;
mod workload;

use crate::statistics::{maximum, median, minimum, round};
use driver::{Driver, MESSAGES_PER_CYCLE};
use serde_json::{json, Value};

/// The load of a case.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Number of messages that wait until the Retry-After of their destination has passed.
    waiting_messages: u32,
    /// Number of destinations that serve every call.
    destinations: u32,
    /// Number of calls in flight in the steady state.
    calls_in_flight: u32,
    /// Whether the waiting messages exceed the threshold of load shedding, so that each accepted message
    /// causes the rejection of another one.
    sheds_load: bool,
}

/// The values of the quantities in which the cases of a series do not differ.
const DEFAULT_CASE: Case =
    Case { waiting_messages: 10, destinations: 10, calls_in_flight: 300, sheds_load: false };

/// Cases that differ in one quantity.
struct Series {
    /// The key in the JSON document.
    name: &'static str,
    cases: Vec<Case>,
    /// The quantity that the cases differ in.
    count: fn(&Case) -> u32,
}

fn all_series() -> [Series; 4] {
    let cases =
        |counts: &[u32], with_count: fn(u32) -> Case| counts.iter().copied().map(with_count).collect();
    [
        Series {
            name: "held",
            cases: cases(&[10, 1_000, 10_000, 50_000], |waiting_messages| Case {
                waiting_messages,
                ..DEFAULT_CASE
            }),
            count: |case| case.waiting_messages,
        },
        Series {
            name: "destinations",
            cases: cases(&[10, 100, 1_000, 5_000], |destinations| Case { destinations, ..DEFAULT_CASE }),
            count: |case| case.destinations,
        },
        Series {
            name: "out",
            cases: cases(&[100, 1_000, 10_000], |calls_in_flight| Case { calls_in_flight, ..DEFAULT_CASE }),
            count: |case| case.calls_in_flight,
        },
        Series {
            name: "crowded",
            cases: cases(&[1_000, 10_000, 50_000], |waiting_messages| Case {
                waiting_messages,
                sheds_load: true,
                ..DEFAULT_CASE
            }),
            count: |case| case.waiting_messages,
        },
    ]
}

/// A case and its measurements.
struct MeasuredCase {
    driver: Driver,
    count: u32,
    /// Real time in microseconds per accepted message, one value for each turn.
    cost_us: Vec<f64>,
    calls_in_flight: usize,
}

/// Measures all series and returns the costs of their cases as JSON, in microseconds of real time per
/// accepted message. Each case is measured in `turns` turns of `cycles` decision cycles, and compared with
/// the first case of the series.
pub fn run(cycles: u64, turns: usize) -> Value {
    let mut document = json!({"rounds": cycles, "turns": turns, "messages_a_round": MESSAGES_PER_CYCLE});
    for series in all_series() {
        document[series.name] = measure(&series, cycles, turns);
    }
    document
}

fn measure(series: &Series, cycles: u64, turns: usize) -> Value {
    let new_case = |case: &Case| MeasuredCase {
        driver: Driver::new(*case),
        count: (series.count)(case),
        cost_us: Vec::new(),
        calls_in_flight: 0,
    };
    let mut cases: Vec<MeasuredCase> = series.cases.iter().map(new_case).collect();
    for _ in 0..turns {
        for case in &mut cases {
            case.cost_us.push(case.driver.measure(cycles));
            case.calls_in_flight = case.driver.calls_in_flight();
        }
    }
    let first = &cases[0].cost_us;
    let rows: Vec<Value> = cases.iter().map(|case| case_json(case, first)).collect();
    json!(rows)
}

/// Returns the figures of a case as JSON: `count`, the quantity that the series varies; `calls_out`, the
/// calls in flight; `us`, `min` and `max`, the median, minimum and maximum over turns of the cost in
/// microseconds per message; and `ratio`, the median over turns of `cost / first`, where `first` has the cost
/// of the first case of the series in the same turn.
fn case_json(case: &MeasuredCase, first: &[f64]) -> Value {
    let cost = &case.cost_us;
    let ratios = cost.iter().zip(first).map(|(cost, first)| cost / first);
    json!({
        "count": case.count,
        "calls_out": case.calls_in_flight,
        "us": round(median(cost.clone())),
        "min": round(minimum(cost.iter().copied())),
        "max": round(maximum(cost.iter().copied())),
        "ratio": round(median(ratios.collect())),
    })
}
