//! Scenario documents: those that come with the program, wrong ones, faster ones.

use linnetcart_scenario::scenario::{Scenario, BUILT_IN};
use std::collections::BTreeSet;

#[test]
fn built_in_scenarios_are_valid_and_every_kind_of_fault_has_one() {
    let mut seen = BTreeSet::new();
    for built_in in BUILT_IN {
        let name = built_in.name;
        let scenario = Scenario::parse(built_in.text).unwrap_or_else(|e| panic!("{name}: {e:#}"));
        assert_eq!(scenario.name, name);
        if !["bad-day", "month-end"].contains(&name) {
            seen.extend(scenario.trouble.iter().map(|fault| fault.what));
        }
    }
    assert_eq!(seen.len(), 26, "{seen:?}");
}

#[test]
fn wrong_document_is_rejected_with_the_place_of_the_error() {
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
