//! Each invariant on real sockets, under the faults that are most likely to break it.
//!
//! Couriers are processes; clients and endpoints are simulated by the scenario runner. The conformance checks
//! run on the recorded messages, calls and answers.

#[path = "support/work_folder.rs"]
mod work_folder;

use linnetcart_conformance::{check, Report};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use linnetcart_testbed::run_report::table;
use linnetcart_testbed::socket_run::{self, StackOptions};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use work_folder::work_folder;

/// Locked during a run, so that runs of different tests do not overlap: they would compete for CPU time and
/// delay each other's messages.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const SEED: u64 = 7;

const FLEET: &str = r#"
about = "A day of a test."
seconds = 5
couriers = 2
zones = ["a", "b"]
[rules]
warm_after_s = 3
fall_span_s = 1
key_rest_ms = 150
drain_grace_ms = 250
[list]
late_s = 0.3
[clients]
again_ms = [200, 500]
[[class]]
name = "status"
share = 0.4
service_ms = 60
aim_s = 0.8
deadline_s = 4
worth = 1
late_worth = 0.5
repeat = "safe"
[[class]]
name = "proxy"
share = 0.4
service_ms = 60
aim_s = 0.8
deadline_s = 4
worth = 1
late_worth = 0.5
repeat = "keyed"
window_s = 2
ordered = true
[[class]]
name = "order"
share = 0.2
service_ms = 60
aim_s = 0.8
deadline_s = 3
worth = 4
late_worth = 0.5
repeat = "unsafe"
[[kind]]
name = "large"
destinations = 3
endpoints = [2, 2]
rate = [20, 30]
[[kind]]
name = "small"
destinations = 3
endpoints = [2, 2]
rate = [6, 10]
routes_apart = true
limit = { window = { ms = 1000 } }
tells_wait = 1.0
"#;

/// Runs the fleet of this file with faults. Asserts that every invariant is kept, and that more than half of
/// the messages' priority weight is delivered.
fn run_scenario(name: &str, faults: &str) -> Report {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let scenario = Scenario::parse(&format!("name = \"{name}\"\n{FLEET}{faults}")).unwrap();
    let fleet = Fleet::draw(scenario, SEED);
    let dir = work_folder(name);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_linnetcart-testbed"));
    let records = socket_run::run(&fleet, &StackOptions::new(program, dir.clone())).unwrap();
    let report = check(&records.records, &fleet.invariants(Timebase::Sockets));
    std::fs::remove_dir_all(dir).unwrap();
    assert!(report.is_conformant(), "{}", table(&report));
    assert!(report.service > 0.5, "{}", table(&report));
    report
}

/// Asserts that the run tested the rule of this number, from 1, in at least this many cases.
fn assert_checked(report: &Report, rule: usize, min_cases: u64) {
    let cases = report.rules[rule - 1].checked;
    assert!(cases >= min_cases, "rule {rule} was tested in {cases} cases only");
}

#[test]
fn endpoints_that_hang_or_lose_answers_cause_no_second_answer_or_effect() {
    let report = run_scenario(
        "hang",
        r#"
        [[trouble]]
        what = "silent"
        at = 1
        for = 2
        part = 0.4
        [[trouble]]
        what = "answers-lost"
        at = 3
        for = 2
        part = 0.6
        size = 0.4
        "#,
    );
    assert_checked(&report, 1, 200);
    assert_checked(&report, 2, 50);
}

#[test]
fn endpoints_that_are_replaced_keep_their_drain_grace() {
    let report = run_scenario(
        "drain",
        r#"
        [[trouble]]
        what = "drains"
        at = 0.5
        for = 4
        part = 0.8
        size = 0.25
        extra = 1.0
        "#,
    );
    assert_checked(&report, 3, 5);
}

#[test]
fn destinations_back_from_an_outage_are_not_overloaded() {
    let report = run_scenario(
        "return",
        r#"
        [traffic]
        load = 0.9
        [[trouble]]
        what = "shut"
        at = 0.8
        for = 1.5
        part = 0.4
        [[trouble]]
        what = "errors"
        at = 1
        for = 1.5
        part = 0.4
        size = 1.0
        "#,
    );
    assert_checked(&report, 4, 2);
}

#[test]
fn ordering_keys_with_lost_answers_keep_order_and_cooldown() {
    let report = run_scenario(
        "keys",
        r#"
        [traffic]
        keys = 6
        load = 0.8
        [[trouble]]
        what = "answers-lost"
        at = 0.5
        for = 4
        part = 1.0
        size = 0.15
        "#,
    );
    assert_checked(&report, 5, 20);
}

#[test]
fn lowered_limits_that_send_retry_after_are_respected() {
    let report = run_scenario(
        "waits",
        r#"
        [traffic]
        load = 1.1
        clumps = 0.4
        [[trouble]]
        what = "throttle"
        at = 1
        for = 3
        part = 0.7
        size = 0.4
        "#,
    );
    assert_checked(&report, 6, 5);
}

#[test]
fn couriers_that_are_killed_or_stalled_keep_the_invariants() {
    let report = run_scenario(
        "killed",
        r#"
        [[trouble]]
        what = "couriers-killed"
        at = 1.5
        for = 1
        part = 0.5
        size = 0.7
        [[trouble]]
        what = "couriers-stall"
        at = 3
        for = 2
        part = 0.5
        size = 400
        extra = 1.0
        "#,
    );
    assert_checked(&report, 1, 200);
}
