//! Configuration, messages and endpoint lists for the tests of several parts.

use crate::config::Config;
use crate::core::clock::MILLISECOND;
use crate::records::Message;
use linnetcart::Time;

pub const SECOND: Time = 1_000 * MILLISECOND;
pub const DISCOVERY: &str = "127.0.0.1:8500";

/// Returns a message for destination 3 with an empty body, without ordering key and with deadline 0.
pub fn message(id: &str) -> Message {
    Message {
        id: id.into(),
        idempotency_key: None,
        class: 0,
        destination: 3,
        ordering_key: 0,
        wall_deadline: 0,
        body: vec![],
    }
}

/// Returns a configuration with three classes (`status`, `change`, `order`) and two endpoints of destination
/// 3. At most `max_in_flight` messages are in flight.
pub fn config(max_in_flight: u32) -> Config {
    let class = |name: &str, effect: &str, fifo: bool| {
        serde_json::json!({"name": name, "idempotency": effect, "group": "all", "key_ttl_ns": 8 * SECOND,
            "worth": 1, "slo_ns": 3 * SECOND, "hard_limit_ns": 10 * SECOND, "late_worth": 0.5,
            "fifo_by_key": fifo})
    };
    let entry = |name: &str, port: u16| {
        serde_json::json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": "bank",
            "group": 3, "status": "active", "weight": 0.0, "since_ms": 0})
    };
    let file = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:8443", "discovery": DISCOVERY, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
        "known": {"index": 41, "snapshot": true, "endpoints": [entry("s-1", 1001), entry("s-2", 1002)]},
        "settings": {
            "balancers": 3, "me": 0, "kinds": ["bank"], "zones": ["a"], "tick_ns": 5 * MILLISECOND,
            "services": [class("status", "pure", false), class("change", "token", true),
                         class("order", "side_effect", false)],
            "stats": {"names": ["x0", "x1"], "source": "inline"},
            "family_info": {"max_calls": 8, "kind_apart": [false], "per_call": [1]},
            "bounds": {"max_open": max_in_flight, "max_attempts": 12, "may_cancel": true,
                "parallel_tries": true, "retry_after": true, "max_retry_after_ns": 3 * SECOND,
                "conn_idle_ns": 10 * SECOND, "connect_timeout_ns": SECOND},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2 * SECOND, "cold_from": 0.2,
                "ramp_time_ns": 10 * SECOND, "turn_gap_ns": 100 * MILLISECOND, "drain_grace_ns": SECOND},
        },
    });
    Config::read(file.to_string().as_bytes()).unwrap()
}

/// Returns a watch event that changes both endpoints; their ports become `base + 1` and `base + 2`.
pub fn list_event(version: u64, zone: &str, kind: &str, group: u32, status: &str, base: u16) -> String {
    let entry = |n: u16| {
        serde_json::json!({"name": format!("s-{n}"), "address": format!("127.0.0.1:{}", base + n),
            "zone": zone, "type": kind, "group": group, "status": status, "weight": 0, "since_ms": 0})
    };
    serde_json::json!({"index": version, "snapshot": false, "endpoints": [entry(1), entry(2)]}).to_string()
}
