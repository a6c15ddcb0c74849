//! Default values for keys that a scenario document leaves out.

use super::{Class, IdempotencyKind, Kind};
use linnetcart_endpoint_model::LimitKind;

pub(super) fn zones() -> Vec<String> {
    ["north", "south", "east"].map(String::from).to_vec()
}

pub(super) fn classes() -> Vec<Class> {
    let status_update = Class {
        name: "status-update".into(),
        share: 0.49,
        service_ms: 200.0,
        latency_objective_s: 3.0,
        deadline_s: 24.0,
        priority_weight: 2.0,
        late_weight: 0.5,
        idempotency: IdempotencyKind::Idempotent,
        dedup_window_s: 8.0,
        per_zone: false,
        ordered: false,
    };
    let proxy_change = Class {
        name: "proxy-change".into(),
        share: 0.27,
        deadline_s: 20.0,
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency: IdempotencyKind::Keyed,
        ordered: true,
        ..status_update.clone()
    };
    let transfer_order = Class {
        name: "transfer-order".into(),
        share: 0.24,
        service_ms: 300.0,
        deadline_s: 16.0,
        priority_weight: 4.0,
        idempotency: IdempotencyKind::NotIdempotent,
        ..status_update.clone()
    };
    vec![status_update, proxy_change, transfer_order]
}

pub(super) fn kinds() -> Vec<Kind> {
    let large = Kind {
        name: "large-banks".into(),
        destinations: 4,
        endpoints: [2, 4],
        rate: [8.0, 20.0],
        limit: LimitKind::Rate,
        rejected_calls_count: false,
        retry_after_probability: retry_after_share(),
        retry_after_ms: retry_after_ms(),
        capacity_ratio: capacity_ratio(),
        longest_queue_ms: queue_ms(),
        service_time_variation: service_time_variation(),
        max_connections: 0,
        independent_routes: false,
        max_messages_per_call: messages_per_call(),
        additional_message_work: additional_message_work(),
        load_report_interval_ms: load_report_ms(),
    };
    let small = Kind {
        name: "small-members".into(),
        destinations: 8,
        endpoints: [1, 2],
        rate: [2.0, 5.0],
        limit: LimitKind::Window { ms: 2000 },
        rejected_calls_count: true,
        retry_after_probability: 0.4,
        max_connections: 10,
        independent_routes: true,
        ..large.clone()
    };
    vec![large, small]
}

pub(super) fn rate_limit() -> LimitKind {
    LimitKind::Rate
}

pub(super) fn retry_after_share() -> f64 {
    0.8
}

pub(super) fn retry_after_ms() -> [f64; 2] {
    [200.0, 900.0]
}

pub(super) fn capacity_ratio() -> f64 {
    1.4
}

pub(super) fn queue_ms() -> f64 {
    600.0
}

pub(super) fn service_time_variation() -> f64 {
    0.5
}

pub(super) fn messages_per_call() -> u32 {
    1
}

pub(super) fn additional_message_work() -> f64 {
    0.15
}

pub(super) fn load_report_ms() -> f64 {
    300.0
}

pub(super) fn fault_part() -> f64 {
    0.3
}
