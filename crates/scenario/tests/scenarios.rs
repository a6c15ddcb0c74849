//! Scenario documents: built-in and invalid ones, their keys, and scenarios that are sped up.

use linnetcart_scenario::scenario::{Scenario, BUILT_IN};
use std::collections::BTreeSet;

#[test]
fn built_in_scenarios_are_valid_and_every_kind_of_fault_has_one() {
    let mut seen = BTreeSet::new();
    for built_in in BUILT_IN {
        let name = built_in.name;
        let scenario = Scenario::parse(built_in.text).unwrap_or_else(|error| panic!("{name}: {error:#}"));
        assert_eq!(scenario.name, name);
        if !["bad-day", "month-end"].contains(&name) {
            seen.extend(scenario.faults.iter().map(|fault| fault.what));
        }
    }
    assert_eq!(seen.len(), 26, "{seen:?}");
}

#[test]
fn invalid_document_is_rejected_with_the_place_of_the_error() {
    let text = BUILT_IN[0].text;
    let error = |from: &str, to: &str| Scenario::parse(&text.replacen(from, to, 1)).unwrap_err().to_string();
    assert!(error("seconds =", "sekunden =").contains("sekunden"));
    assert!(error("couriers = 3", "couriers = 0").contains("couriers"));
    assert!(error("part = ", "part = 7").contains("part"));
}

#[test]
fn faster_scenario_has_the_same_messages_in_less_time() {
    let scenario = Scenario::find("quiet").unwrap();
    let fast = scenario.clone().faster(4.0);
    assert_eq!(fast.seconds * 4.0, scenario.seconds);
    assert_eq!(fast.kind[0].rate[0], scenario.kind[0].rate[0] * 4.0);
    assert_eq!(fast.class[0].deadline_s * 4.0, scenario.class[0].deadline_s);
}

/// Returns the keys of a section, in alphabetical order.
fn keys(section: &serde_json::Value) -> Vec<&str> {
    let mut keys: Vec<&str> = section.as_object().expect("a section").keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn scenario_written_as_document_has_the_keys_of_the_format() {
    let scenario = serde_json::to_value(Scenario::find("bad-day").unwrap()).unwrap();
    assert_eq!(keys(&scenario["traffic"]), ["clump_s", "clumps", "keys", "load"]);
    assert_eq!(keys(&scenario["clients"]), ["again_ms", "clocks_ms", "connections", "patience_s", "retries"]);
    let courier =
        ["attempts", "connect_ms", "hold_s", "idle_s", "least_held", "least_slots", "slots_room", "tick_ms"];
    assert_eq!(keys(&scenario["courier"]), courier);
    let rules = [
        "answer_slack_ms",
        "cold_share",
        "drain_grace_ms",
        "fall_multiple",
        "fall_span_s",
        "key_rest_ms",
        "warm_after_s",
    ];
    assert_eq!(keys(&scenario["rules"]), rules);
    assert_eq!(keys(&scenario["list"]), ["late_s", "rates"]);
    let class = [
        "aim_s",
        "by_zone",
        "deadline_s",
        "late_worth",
        "name",
        "ordered",
        "repeat",
        "service_ms",
        "share",
        "window_s",
        "worth",
    ];
    assert_eq!(keys(&scenario["class"][0]), class);
    let kind = [
        "connections",
        "cv",
        "depth_ms",
        "destinations",
        "endpoints",
        "item_cost",
        "limit",
        "name",
        "per_call",
        "rate",
        "refused_count",
        "report_ms",
        "routes_apart",
        "spare",
        "tells_wait",
        "wait_ms",
    ];
    assert_eq!(keys(&scenario["kind"][0]), kind);
    let fault = ["at", "extra", "for", "hard", "part", "size", "what"];
    assert_eq!(keys(&scenario["trouble"][0]), fault);
}

#[test]
fn scenario_written_as_document_is_read_back_unchanged() {
    for built_in in BUILT_IN {
        let scenario = Scenario::parse(built_in.text).unwrap();
        let written = toml::to_string(&scenario).unwrap();
        assert_eq!(Scenario::parse(&written).unwrap(), scenario, "{}", built_in.name);
    }
}
