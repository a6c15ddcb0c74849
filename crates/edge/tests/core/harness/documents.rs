//! The settings, endpoint list entries and records that tests use.

use bytes::Bytes;
use linnetcart_edge::settings::{EndpointEntry, EntryState};
use linnetcart_kafka::{Record, RecordHeader};
use std::net::SocketAddr;

/// Returns settings with three classes (idempotent, keyed and ordered, not idempotent) and three kinds of
/// destinations (shared limit, independent routes, calls with up to three messages). A tick is 1 ms.
pub fn settings() -> serde_json::Value {
    serde_json::json!({
        "deployment": "test",
        "courier": {"me": 3, "of": 4, "zone": "a"},
        "zones": ["a", "b"],
        "classes": [
            {"name": "status", "aim_ms": 1000, "deadline_ms": 8000, "worth": 1, "late_worth": 0.5,
             "repeat": "safe"},
            {"name": "proxy", "aim_ms": 1000, "deadline_ms": 6000, "worth": 1, "late_worth": 0.5,
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
        "rules": {"answer_slack_ms": 20, "cold_share": 0.2, "warm_after_ms": 10000, "fall_multiple": 2.0,
                  "fall_span_ms": 2000, "key_rest_ms": 100},
        "connections": {"calls": 1, "idle_ms": 5000, "connect_timeout_ms": 1000},
        "tick_us": 1000
    })
}

/// Returns an entry of the endpoint list without a rate limit. The port of its address is its id.
pub fn entry(id: u32, destination: u32, kind: &str, state: EntryState) -> EndpointEntry {
    EndpointEntry {
        id,
        destination,
        kind: kind.into(),
        zone: "a".into(),
        rate: 0.0,
        state,
        address: SocketAddr::from(([127, 0, 0, 1], id as u16)),
    }
}

/// Returns a record with this value, without key, headers and creation time.
pub fn record(value: &str) -> Record {
    Record { key: None, value: Some(Bytes::copy_from_slice(value.as_bytes())), headers: vec![], timestamp: 0 }
}

pub fn record_with_key(value: &str, key: &str) -> Record {
    Record { key: Some(Bytes::copy_from_slice(key.as_bytes())), ..record(value) }
}

pub fn record_with_header(value: &str, name: &str, text: &str) -> Record {
    Record { headers: vec![RecordHeader::new(name, text.to_owned())], ..record(value) }
}
