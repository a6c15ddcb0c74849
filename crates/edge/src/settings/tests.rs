//! Validation of settings and endpoint lists, and the errors for invalid documents.

use super::*;
use linnetcart::Idempotency;

/// A valid settings document with one class for each kind of idempotency.
pub(crate) fn sample() -> serde_json::Value {
    serde_json::json!({
        "deployment": "test",
        "courier": {"me": 0, "of": 1, "zone": "a"},
        "zones": ["a", "b"],
        "classes": [
            {"name": "status", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "late_worth": 0.5,
             "repeat": "safe"},
            {"name": "proxy", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "late_worth": 0.5,
             "repeat": {"keyed": {"window_ms": 8000}}, "ordered": true},
            {"name": "order", "aim_ms": 1000, "deadline_ms": 3000, "worth": 4, "late_worth": 0.5,
             "repeat": "unsafe"}
        ],
        "kinds": [
            {"name": "large"},
            {"name": "small", "routes_apart": true},
            {"name": "batch", "per_call": 3}
        ],
        "limits": {"slots": 8, "held": 100, "attempts": 6},
        "rules": {"answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 10000, "fall_multiple": 2.0,
                  "fall_span_ms": 2000, "key_rest_ms": 100}
    })
}

fn parse(doc: &serde_json::Value) -> Result<Settings, InvalidDocument> {
    Settings::parse(doc.to_string().as_bytes())
}

#[test]
fn settings_serialized_and_parsed_again_are_equal() {
    let settings = parse(&sample()).unwrap();
    let parsed_again = Settings::parse(&serde_json::to_vec(&settings).unwrap()).unwrap();
    assert_eq!(settings, parsed_again);
    assert_eq!(
        settings.library_settings().classes[1].idempotency,
        Idempotency::Keyed { dedup_window: 8_000_000_000, per_zone: false }
    );
}

#[test]
fn settings_with_an_invalid_field_are_rejected_with_its_path() {
    let cases: &[(&str, serde_json::Value, &str)] = &[
        ("/classes/1/repeat", serde_json::json!("sometimes"), "classes[1].repeat"),
        ("/classes/0/deadline_ms", serde_json::json!(10), "classes[0].deadline_ms"),
        ("/classes/0/name", serde_json::json!("a b"), "classes[0].name"),
        ("/classes/1/name", serde_json::json!("status"), "classes[1]"),
        ("/courier/zone", serde_json::json!("z"), "courier.zone"),
        ("/courier/me", serde_json::json!(1), "courier.me"),
        ("/limits/slots", serde_json::json!(0), "limits.slots"),
        ("/rules/fall_multiple", serde_json::json!(0.5), "rules.fall_multiple"),
        ("/limits", serde_json::json!({"slots": 1, "held": 1, "attempts": 1, "slotz": 2}), "limits.slotz"),
    ];
    for (at, value, field) in cases {
        let mut doc = sample();
        *doc.pointer_mut(at).unwrap() = value.clone();
        let error = parse(&doc).unwrap_err();
        assert_eq!(&error.field, field, "{error}");
    }
    let mut doc = sample();
    doc["allow"] = serde_json::json!({"probes": true});
    let error = parse(&doc).unwrap_err();
    assert_eq!(error.field, "allow.probes");
    assert!(error.reason.contains("no way"), "{error}");
}

#[test]
fn endpoint_list_update_applies_completely_or_not_at_all() {
    let settings = parse(&sample()).unwrap();
    let entry = |id: u32, kind: &str, state| EndpointEntry {
        id,
        destination: id / 10,
        kind: kind.into(),
        zone: "a".into(),
        rate: 0.0,
        state,
        address: format!("127.0.0.1:{id}").parse().unwrap(),
    };
    let update = |version, complete, entries: &[EndpointEntry]| EndpointListUpdate {
        version,
        complete,
        entries: entries.to_vec(),
    };
    let first =
        update(1, true, &[entry(10, "large", EntryState::Ready), entry(20, "small", EntryState::Ready)]);
    let UpdatedList { list, library_entries } =
        EndpointList::default().with_update(&first, &settings).unwrap();
    assert_eq!((list.entries.len(), library_entries.len()), (2, 2));
    let change = update(
        2,
        false,
        &[entry(10, "large", EntryState::Removed), entry(21, "small", EntryState::Draining)],
    );
    let changed = list.with_update(&change, &settings).unwrap().list;
    assert_eq!(changed.entries.keys().copied().collect::<Vec<_>>(), [20, 21]);
    let field = |update: &EndpointListUpdate| list.with_update(update, &settings).unwrap_err().field;
    assert_eq!(field(&first), "version");
    assert_eq!(field(&update(2, false, &[entry(11, "huge", EntryState::Ready)])), "entries[0].kind");
    assert_eq!(field(&update(2, false, &[entry(11, "small", EntryState::Ready)])), "entries");
    let duplicate = [entry(11, "large", EntryState::Ready), entry(11, "large", EntryState::Ready)];
    assert_eq!(field(&update(2, true, &duplicate)), "entries[1].id");
}

/// Error texts of the control interface include the Rust names of the document types. The test guards against
/// changed texts after a type is renamed.
#[test]
fn document_of_wrong_type_is_rejected_with_the_type_names_of_earlier_versions() {
    let cases = [
        ("", "struct Settings", Some(15)),
        ("/courier", "struct CourierNumber", Some(3)),
        ("/classes/0", "struct ClassDoc", Some(7)),
        ("/classes/1/repeat/keyed", "struct variant RepeatDoc::Keyed", Some(2)),
        ("/kinds/0", "struct KindDoc", Some(3)),
        ("/tenants", "a sequence", None),
        ("/tenants/0", "struct TenantDoc", Some(2)),
        ("/limits", "struct Limits", Some(8)),
        ("/allow", "struct Allow", None),
        ("/connections", "struct Connections", None),
        ("/clocks", "struct ClocksDoc", None),
        ("/rules", "struct Rules", Some(6)),
        ("/worth", "struct Worth", None),
        ("/prices", "struct Prices", None),
    ];
    for (at, expected, elements) in cases {
        let mut doc = serde_json::to_value(parse(&sample()).unwrap()).unwrap();
        doc["tenants"] = serde_json::json!([{"name": "t", "rate": 1.0}]);
        *doc.pointer_mut(at).unwrap() = serde_json::json!(5);
        let reason = parse(&doc).unwrap_err().reason;
        assert!(
            reason.starts_with(&format!("invalid type: integer `5`, expected {expected} at ")),
            "{at}: {reason}"
        );
        let Some(elements) = elements else { continue };
        *doc.pointer_mut(at).unwrap() = serde_json::json!([]);
        let reason = parse(&doc).unwrap_err().reason;
        let wanted = format!("invalid length 0, expected {expected} with {elements} elements at ");
        assert!(reason.starts_with(&wanted), "{at}: {reason}");
    }
}
