//! Parsing of settings objects: values, defaults and errors.

use linnetcart::{Class, DestinationKind, Idempotency, RateAccuracy, Settings};
use linnetcart_deployment_settings::{
    DeploymentSettings, SettingsError, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD,
};
use serde_json::{json, Value};

#[test]
fn settings_object_gives_names_and_figures() {
    let deployment = DeploymentSettings::read(&json!({
        "services": [{"name": "a", "idempotency": "token", "key_ttl_ns": 8, "group": "all"}],
        "kinds": ["k"], "zones": ["z0", "z1"], "stats": {"names": ["x1", "x0"]},
        "bounds": {"max_open": 7, "retry_after": true, "max_retry_after_ns": 3},
        "family_info": {"max_calls": 4}, "weight_source": "nominal",
    }))
    .unwrap();
    assert_eq!(
        (&deployment.class_names[..], &deployment.kind_names[..]),
        (&["a".to_owned()][..], &["k".to_owned()][..])
    );
    assert_eq!(
        (deployment.load_report_index(CAPACITY_LEFT_FIELD), deployment.load_report_index(RATE_LIMIT_FIELD)),
        (Some(1), Some(0))
    );
    let s = &deployment.settings;
    assert_eq!(
        (s.max_in_flight_messages, s.max_in_flight_calls, s.max_retry_after, s.rate_accuracy),
        (7, 4, 3, RateAccuracy::Exact)
    );
    assert_eq!(s.classes[0].idempotency, Idempotency::Keyed { dedup_window: 8, per_zone: false });
}

#[test]
fn class_of_unknown_idempotency_named_in_error() {
    let bad =
        DeploymentSettings::read(&json!({"services": [{"idempotency": "pure"}, {"idempotency": "odd"}]}));
    let text = bad.unwrap_err().to_string();
    assert!(text.contains("services[1]") && text.contains("odd"), "{text}");
}

/// Returns an object that sets every setting, with all numbers different so that a mixed-up field shows.
fn full_object() -> Value {
    json!({
        "balancers": 3, "me": 2, "my_zone": 1, "tick_ns": 4, "registry_mode": "ask", "weight_source": "rough",
        "over_share_worth": 0.5, "accounts": [{"quota_per_s": 6.5}, {"quota_per_s": 7}],
        "services": [
            {"name": "a", "idempotency": "pure", "slo_ns": 8, "hard_limit_ns": 9, "worth": 1.5,
             "late_worth": 0.25, "fifo_by_key": true},
            {"name": "b", "idempotency": "token", "key_ttl_ns": 10},
            {"name": "c", "idempotency": "side_effect"},
        ],
        "kinds": ["k0", "k1", "k2"],
        "family_info": {"kind_apart": [false, true], "per_call": [11], "loses_worth": "halving",
                        "max_calls": 12, "refusal_cost": 13.5, "route_fee": [14.5, 15]},
        "bounds": {"max_open": 16, "max_attempts": 17, "may_cancel": true, "parallel_tries": true,
                   "probing": true, "peers": true, "retry_after": true, "max_retry_after_ns": 18.0,
                   "streams_per_conn": 19, "conn_idle_ns": 20, "connect_timeout_ns": 21},
        "contract": {"grace_to_answer_ns": 22, "cold_from": 23.5, "ramp_time_ns": 24, "fall_multiple": 25.5,
                     "fall_ns": 26, "turn_gap_ns": 27, "ask_within_ns": 28},
        "prices": {"handshake": 29.5, "cross_zone": 30.5, "waste": 31.5, "late_fail": 32.5, "probe": 33.5,
                   "peer": 34.5},
    })
}

fn plain_class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 0,
        deadline: 0,
        priority_weight: 0.0,
        late_weight: 0.0,
        idempotency,
        ordered: false,
    }
}

fn full_settings() -> Settings {
    let kind = |independent_routes, max_messages_per_call| DestinationKind {
        independent_routes,
        max_messages_per_call,
    };
    Settings {
        courier_count: 3,
        courier_index: 2,
        zone: 1,
        classes: vec![
            Class {
                latency_objective: 8,
                deadline: 9,
                priority_weight: 1.5,
                late_weight: 0.25,
                idempotency: Idempotency::Idempotent,
                ordered: true,
            },
            plain_class(Idempotency::Keyed { dedup_window: 10, per_zone: true }),
            plain_class(Idempotency::NotIdempotent),
        ],
        kinds: vec![kind(false, 11), kind(true, 1), kind(false, 1)],
        tenant_quotas: vec![6.5, 7.0],
        over_quota_weight: 0.5,
        weight_halves: true,
        max_in_flight_calls: 12,
        max_in_flight_messages: 16,
        max_attempts: 17,
        cancellation_allowed: true,
        hedging_allowed: true,
        health_checks_allowed: true,
        gossip_allowed: true,
        max_retry_after: 18,
        calls_per_connection: 19,
        idle_timeout: 20,
        connect_timeout: 21,
        answer_grace: 22,
        slow_start_ratio: 23.5,
        slow_start_duration: 24,
        overload_ratio: 25.5,
        overload_window: 26,
        key_cooldown: 27,
        endpoint_list_polled: true,
        max_poll_interval: 28,
        rate_accuracy: RateAccuracy::Approximate,
        tick: 4,
        connection_price: 29.5,
        cross_zone_price: 30.5,
        wasted_work_price: 31.5,
        late_price: 32.5,
        health_check_price: 33.5,
        gossip_price: 34.5,
        rejected_call_price: 13.5,
        route_fees: vec![14.5, 15.0],
    }
}

#[test]
fn full_object_sets_every_setting() {
    let read = DeploymentSettings::read(&full_object()).unwrap();
    assert_eq!(format!("{:?}", read.settings), format!("{:?}", full_settings()));
    assert_eq!(read.class_names, ["a", "b", "c"]);
    assert_eq!(read.kind_names, ["k0", "k1", "k2"]);
}

#[test]
fn empty_object_reads_as_defaults() {
    let read = DeploymentSettings::read(&json!({})).unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", DeploymentSettings::default()));
}

#[test]
fn retry_after_not_allowed_leaves_no_maximum() {
    let object = json!({"bounds": {"retry_after": false, "max_retry_after_ns": 18}});
    assert_eq!(DeploymentSettings::read(&object).unwrap().settings.max_retry_after, 0);
}

#[test]
fn class_without_idempotency_rejected() {
    let error = DeploymentSettings::read(&json!({"services": [{}]})).unwrap_err();
    assert_eq!(error, SettingsError::UnknownIdempotency { class: 0, found: "null".to_owned() });
    let text = "services[0].idempotency is null; `pure`, `token` or `side_effect` is expected";
    assert_eq!(error.to_string(), text);
}
