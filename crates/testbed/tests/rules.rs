//! Each rule on real sockets, under the fault that threatens it: couriers in processes of their own, stand-ins
//! for clients and destinations, and the checks fed by what went over the sockets.

use linnetcart_conformance::{check, Report};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use linnetcart_testbed::socket_run::{self, StackOptions};
use std::path::PathBuf;
use std::sync::Mutex;

/// One day at a time, so that the machine's load is the same whatever runs beside.
static ONE: Mutex<()> = Mutex::new(());

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

fn day(name: &str, more: &str) -> Report {
    let _one = ONE.lock().unwrap_or_else(|e| e.into_inner());
    let text = format!("name = \"{name}\"\n{FLEET}{more}");
    let fleet = Fleet::draw(Scenario::parse(&text).unwrap(), 7);
    let dir = std::env::temp_dir().join(format!("linnetcart-test-{}-{name}", std::process::id()));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_linnetcart-testbed"));
    let options = StackOptions::new(program, dir.clone());
    let records = socket_run::run(&fleet, &options).unwrap();
    let report = check(&records.records, &fleet.invariants(Timebase::Sockets));
    std::fs::remove_dir_all(dir).unwrap();
    assert!(report.kept(), "{}", linnetcart_testbed::run_report::table(&report));
    assert!(report.service > 0.5, "{}", linnetcart_testbed::run_report::table(&report));
    report
}

/// The rule was at stake.
fn checked(report: &Report, rule: usize, least: u64) {
    let n = report.rules[rule - 1].checked;
    assert!(n >= least, "rule {rule} was at stake in {n} cases only");
}

#[test]
fn one_answer_and_no_second_effect_when_endpoints_hang_and_answers_are_lost() {
    let report = day(
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
    checked(&report, 1, 200);
    checked(&report, 2, 50);
}

#[test]
fn drains_are_kept_while_endpoints_are_replaced() {
    let report = day(
        "drain",
        "[[trouble]]\nwhat = \"drains\"\nat = 0.5\nfor = 4\npart = 0.8\nsize = 0.25\nextra = 1.0\n",
    );
    checked(&report, 3, 5);
}

#[test]
fn what_returns_from_an_outage_is_not_pushed_over() {
    let report = day(
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
    checked(&report, 4, 2);
}

#[test]
fn keys_go_in_turn_and_rest_when_answers_are_lost() {
    let report = day(
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
    checked(&report, 5, 20);
}

#[test]
fn told_waits_are_heeded_when_limits_are_lowered() {
    let report = day(
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
    checked(&report, 6, 5);
}

#[test]
fn the_rules_hold_when_couriers_are_killed_and_stand_still() {
    let report = day(
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
    checked(&report, 1, 200);
}
