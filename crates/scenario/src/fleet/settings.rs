//! The settings document of a courier.

use super::Fleet;
use crate::scenario::{Class, IdempotencyKind, Kind};
use serde_json::{json, Value};

/// The Retry-After that couriers give to clients, in milliseconds.
const CLIENT_RETRY_AFTER_MS: u64 = 3000;

/// Whole milliseconds of a span in seconds.
fn whole_millis(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

impl Fleet {
    /// The settings of a courier.
    pub fn settings(&self, courier: u32) -> Value {
        let scenario = &self.scenario;
        let zone = &scenario.zones[courier as usize % scenario.zones.len()];
        let bounds = &scenario.courier;
        let rules = &scenario.rules;
        json!({
            "deployment": scenario.name,
            "courier": {"me": courier, "of": scenario.couriers, "zone": zone},
            "zones": scenario.zones,
            "classes": scenario.class.iter().map(class_settings).collect::<Vec<_>>(),
            "kinds": scenario.kind.iter().map(kind_settings).collect::<Vec<_>>(),
            "limits": self.limit_settings(),
            "allow": {"come_back_ms": CLIENT_RETRY_AFTER_MS},
            "connections": {
                "calls": 1,
                "idle_ms": whole_millis(bounds.idle_s).max(1),
                "connect_timeout_ms": bounds.connect_ms as u64,
            },
            "rules": {
                "answer_slack_ms": rules.answer_slack_ms as u64,
                "cold_share": rules.cold_share,
                "warm_after_ms": whole_millis(rules.warm_after_s),
                "fall_multiple": rules.fall_multiple,
                "fall_span_ms": whole_millis(rules.fall_span_s),
                "key_rest_ms": rules.key_rest_ms as u64,
            },
            "clocks": {"apart_ms": scenario.clients.clocks_ms.ceil() as u64},
            "rates": if scenario.list.rates { "exact" } else { "untold" },
            "tick_us": (bounds.tick_ms * 1e3) as u64,
        })
    }

    /// Bounds of a courier, from its part of the full load.
    fn limit_settings(&self) -> Value {
        let scenario = &self.scenario;
        let bounds = &scenario.courier;
        let load = self.full_load / f64::from(scenario.couriers);
        let all_shares: f64 = scenario.class.iter().map(|class| class.share).sum();
        let mean_service_seconds: f64 =
            scenario.class.iter().map(|class| class.share / all_shares * class.service_ms / 1e3).sum();
        let slots = (load * mean_service_seconds * bounds.slots_room).ceil() as u32;
        let held = (load * bounds.hold_s).ceil() as u32;
        json!({
            "slots": slots.max(bounds.least_slots),
            "held": held.max(bounds.least_held),
            "attempts": bounds.attempts,
        })
    }
}

fn class_settings(class: &Class) -> Value {
    json!({
        "name": class.name,
        "aim_ms": whole_millis(class.aim_s),
        "deadline_ms": whole_millis(class.deadline_s),
        "worth": class.worth,
        "late_worth": class.late_worth,
        "repeat": idempotency_settings(class),
        "ordered": class.ordered,
    })
}

fn idempotency_settings(class: &Class) -> Value {
    match class.repeat {
        IdempotencyKind::Idempotent => json!("safe"),
        IdempotencyKind::NotIdempotent => json!("unsafe"),
        IdempotencyKind::Keyed => {
            json!({"keyed": {"window_ms": whole_millis(class.window_s), "by_zone": class.by_zone}})
        }
    }
}

fn kind_settings(kind: &Kind) -> Value {
    json!({"name": kind.name, "routes_apart": kind.routes_apart, "per_call": kind.per_call})
}
