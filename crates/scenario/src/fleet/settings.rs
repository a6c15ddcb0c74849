//! The settings documents that couriers receive on their control interface.

use super::Fleet;
use crate::scenario::{Class, IdempotencyKind, Kind};
use serde_json::{json, Value};

/// The Retry-After that couriers give to clients, in milliseconds.
const CLIENT_RETRY_AFTER_MS: u64 = 3000;

/// Converts seconds to whole milliseconds, rounding down.
fn whole_millis(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

impl Fleet {
    /// Returns the settings document of a courier.
    pub fn settings(&self, courier: u32) -> Value {
        let scenario = &self.scenario;
        let zone = &scenario.zones[courier as usize % scenario.zones.len()];
        let limits = &scenario.courier;
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
                "idle_ms": whole_millis(limits.idle_timeout_s).max(1),
                "connect_timeout_ms": limits.connect_timeout_ms as u64,
            },
            "rules": {
                "answer_slack_ms": rules.answer_grace_ms as u64,
                "cold_share": rules.slow_start_ratio,
                "warm_after_ms": whole_millis(rules.slow_start_duration_s),
                "fall_multiple": rules.overload_ratio,
                "fall_span_ms": whole_millis(rules.overload_window_s),
                "key_rest_ms": rules.key_cooldown_ms as u64,
            },
            "clocks": {"apart_ms": scenario.clients.max_clock_difference_ms.ceil() as u64},
            "rates": if scenario.list.rates { "exact" } else { "untold" },
            "tick_us": (limits.min_cycle_ms * 1e3) as u64,
        })
    }

    /// Returns the limits of a courier. The load of each courier, in messages per second, is `full_load /
    /// couriers`. By Little's law it has `load * mean service time` attempts in flight at this load.
    fn limit_settings(&self) -> Value {
        let scenario = &self.scenario;
        let limits = &scenario.courier;
        let load = self.full_load / f64::from(scenario.couriers);
        let share_sum: f64 = scenario.class.iter().map(|class| class.share).sum();
        let mean_service_seconds: f64 =
            scenario.class.iter().map(|class| class.share / share_sum * class.service_ms / 1e3).sum();
        let slots = (load * mean_service_seconds * limits.slot_ratio).ceil() as u32;
        let in_flight = (load * limits.in_flight_s).ceil() as u32;
        json!({
            "slots": slots.max(limits.min_slots),
            "held": in_flight.max(limits.min_in_flight),
            "attempts": limits.attempts,
        })
    }
}

fn class_settings(class: &Class) -> Value {
    json!({
        "name": class.name,
        "aim_ms": whole_millis(class.latency_objective_s),
        "deadline_ms": whole_millis(class.deadline_s),
        "worth": class.priority_weight,
        "late_worth": class.late_weight,
        "repeat": idempotency_settings(class),
        "ordered": class.ordered,
    })
}

fn idempotency_settings(class: &Class) -> Value {
    match class.idempotency {
        IdempotencyKind::Idempotent => json!("safe"),
        IdempotencyKind::NotIdempotent => json!("unsafe"),
        IdempotencyKind::Keyed => {
            json!({"keyed": {"window_ms": whole_millis(class.dedup_window_s), "by_zone": class.per_zone}})
        }
    }
}

fn kind_settings(kind: &Kind) -> Value {
    json!({
        "name": kind.name,
        "routes_apart": kind.independent_routes,
        "per_call": kind.max_messages_per_call,
    })
}
