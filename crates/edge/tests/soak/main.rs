//! The real courier on loopback under seeded faults of its own machine, signals, and endpoints that misbehave.
//!
//! Each seed is a run of a few seconds. After it, every message is checked against the rules: no accepted message is
//! lost, no rejected one is executed, none that is not idempotent takes effect twice, ordering keys keep their
//! order, and nothing is sent after a message's end.
//!
//! By hand: `SOAK_SEEDS=100..150 SOAK_SECONDS=12 cargo test --release -p linnetcart-edge --test soak`. Besides the
//! rules, which are checked without regard to time, the latest answer and the latest notification are printed.

#[path = "../process/courier.rs"]
#[allow(dead_code)]
mod courier;

mod agent;
mod checks;
mod clients;
mod endpoint;
mod faults;
mod random;
mod run;

use checks::Report;
use run::RunSettings;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

const DEFAULT_SEEDS: Range<u64> = 1..17;
const DEFAULT_SECONDS: u64 = 5;
/// Runs at the same time.
const PARALLEL_RUNS: usize = 4;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

fn seconds() -> u64 {
    std::env::var("SOAK_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().expect("a number"))
}

#[test]
fn every_accepted_message_ends_and_no_rule_is_broken_under_faults() {
    let seeds = seeds();
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
                    let settings = RunSettings::draw(seed, seconds());
                    let run = std::panic::catch_unwind(|| run::run(settings));
                    reports.push(run.unwrap_or_else(|_| Report::of_failed_run(seed)));
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
    let broken: Vec<String> = reports.iter().flat_map(|report| report.violations.clone()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
