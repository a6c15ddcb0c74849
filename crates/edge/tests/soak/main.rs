//! Soak test: the real courier on the loopback interface under random faults of its own machine, signals,
//! kills, endpoints and discovery whose responses come twice, early or late, clients that misbehave or use the ids
//! of others, hundreds of clients whose requests take memory, and successors at the addresses of endpoints.
//!
//! Each seed determines the random choices of one run of a few seconds. After the run, every message is
//! checked against the rules: an accepted message is completed, a rejected one is not executed, a
//! non-idempotent one is executed at most once, messages of an ordering key are delivered in order, nothing is
//! sent after a message's end (a response that ends it, a notification, a refusal of its submission) or to
//! a draining or succeeded endpoint, no message is sent with the content of another request, no process ends by
//! itself, and the peak of its memory stays under its limit.
//!
//! Other seeds: `SOAK_SEEDS=100..150 SOAK_SECONDS=12 cargo test --release -p linnetcart-edge --test soak`.
//! Response times are not checked; the longest time to an answer and the longest delay of a notification
//! are printed.

#[path = "../process/courier.rs"]
#[allow(dead_code)]
mod courier;

mod agent;
mod checks;
mod clients;
mod endpoint;
mod fat_clients;
mod faults;
mod intruders;
mod random;
mod response_faults;
mod rivals;
mod run;

use checks::Report;
use linnetcart_fault_injection::soak;
use run::RunSettings;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const DEFAULT_SEEDS: Range<u64> = 1..17;
/// Duration of a run.
const DEFAULT_DURATION: Duration = Duration::from_secs(5);
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 4;

#[test]
fn every_accepted_message_is_completed_and_no_rule_is_violated_under_faults() {
    let seeds = soak::seeds(DEFAULT_SEEDS);
    let duration = soak::duration(DEFAULT_DURATION);
    let next = AtomicU64::new(seeds.start);
    let mut reports = Vec::new();
    std::thread::scope(|scope| {
        let mut runners = Vec::new();
        for _ in 0..PARALLEL_RUNS {
            runners.push(scope.spawn(|| {
                let mut reports = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return reports;
                    }
                    let settings = RunSettings::draw(seed, duration);
                    let run = std::panic::catch_unwind(|| run::run(settings));
                    reports.push(run.unwrap_or_else(|_| Report::aborted(seed)));
                }
            }));
        }
        for runner in runners {
            reports.extend(runner.join().expect("a run panicked"));
        }
    });
    reports.sort_by_key(|report| report.seed);
    for report in &reports {
        println!("{report}");
    }
    let violations: Vec<String> = reports.iter().flat_map(|report| report.violations.clone()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
