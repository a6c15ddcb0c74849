//! The outer names of the files that the platform writes.

use super::*;

fn entry(status: &str) -> Value {
    serde_json::json!({"name": "s-1", "address": "127.0.0.1:1", "zone": "a", "type": "bank", "group": 3,
        "status": status, "weight": 2.5, "since_ms": 4})
}

#[test]
fn watch_event_outer_names_read() {
    let text = serde_json::json!({"index": 7, "snapshot": true, "endpoints": [entry("leaving")]}).to_string();
    let event: WatchEvent = serde_json::from_str(&text).expect("a watch event");
    let entry = EndpointEntry {
        name: "s-1".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        kind: "bank".into(),
        destination: 3,
        status: ListedStatus::Leaving,
        rate: 2.5,
        started_at_ms: 4,
    };
    assert_eq!(event, WatchEvent { version: 7, complete: true, entries: vec![entry] });
    let brief: WatchEvent = serde_json::from_str(r#"{"index": 8, "endpoints": []}"#).expect("a watch event");
    assert_eq!(brief, WatchEvent { version: 8, complete: false, entries: vec![] });
}

#[test]
fn limits_outer_names_read() {
    let limits: Limits = serde_json::from_str(r#"{"sockets": 64, "disk_mb": 1.5}"#).expect("limits");
    assert_eq!(limits, Limits { file_descriptors: 64, disk_mb: 1.5, memory_mb: 32.0 });
    assert_eq!(limits.disk_bytes(), 1_500_000);
}

#[test]
fn seed_number_or_hexadecimal_read() {
    let seeds = [serde_json::json!(7), serde_json::json!("1f"), serde_json::json!("no"), Value::Null];
    assert_eq!(seeds.map(|seed| read_seed(&seed)), [7, 0x1f, 0, 0]);
}
