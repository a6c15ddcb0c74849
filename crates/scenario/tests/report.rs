//! Field names in the JSON of a conformance report. Other programs and stored reports depend on them.

use linnetcart_conformance::{check, Records};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use serde_json::Value;

fn field_names(value: &Value) -> Vec<&str> {
    value.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[test]
fn conformance_report_serialized_has_its_outer_field_names() {
    let fleet = Fleet::draw(Scenario::find("bad-day").unwrap(), 1);
    let report = check(&Records::default(), &fleet.invariants(Timebase::Emulated));
    let json = serde_json::to_value(&report).unwrap();
    let mut report_fields = field_names(&json);
    report_fields.sort_unstable();
    assert_eq!(report_fields, ["calls", "calls_refused", "classes", "rules", "service", "worst_stretch"]);
    let mut rule_fields = field_names(&json["rules"][0]);
    rule_fields.sort_unstable();
    assert_eq!(rule_fields, ["broken", "checked", "examples", "rule"]);
    let mut class_fields = field_names(&json["classes"][0]);
    class_fields.sort_unstable();
    let expected = [
        "asked", "attempts", "class", "failed", "in_aim", "late", "lost", "messages", "refused", "tries",
        "unknown", "worth",
    ];
    assert_eq!(class_fields, expected);
}
