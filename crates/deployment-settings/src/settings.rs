//! Converts a settings object to the [`Settings`] of the decision library.
//!
//! Each function reads one part of the object and sets the fields that this part determines.

use crate::json::{flag, integer, list, number, numbers};
use crate::{SettingsError, KINDS, SERVICES};
use linnetcart::{Class, DestinationKind, Idempotency, RateAccuracy, Settings};
use serde_json::Value;

/// Name of the field with the idempotency of a class, which decides whether its messages may be retried.
const IDEMPOTENCY: &str = "idempotency";
/// Maximum number of messages in one call, for a kind of destination that has no entry in `per_call`.
const DEFAULT_MESSAGES_PER_CALL: u64 = 1;

pub(crate) fn read(object: &Value) -> Result<Settings, SettingsError> {
    let mut settings = Settings { classes: read_classes(&object[SERVICES])?, ..Settings::default() };
    read_top_level(object, &mut settings);
    read_family(&object["family_info"], list(&object[KINDS]).len(), &mut settings);
    read_bounds(&object["bounds"], &mut settings);
    read_contract(&object["contract"], &mut settings);
    read_prices(&object["prices"], &mut settings);
    Ok(settings)
}

fn read_top_level(object: &Value, settings: &mut Settings) {
    settings.courier_count = integer(&object["balancers"]) as u32;
    settings.courier_index = integer(&object["me"]) as u32;
    settings.zone = integer(&object["my_zone"]) as u8;
    let quota = |account: &Value| number(&account["quota_per_s"]);
    settings.tenant_quotas = list(&object["accounts"]).iter().map(quota).collect();
    settings.over_quota_weight = number(&object["over_share_worth"]);
    settings.endpoint_list_polled = object["registry_mode"] == "ask";
    settings.rate_accuracy = match object["weight_source"].as_str() {
        Some("nominal") => RateAccuracy::Exact,
        Some("rough") => RateAccuracy::Approximate,
        _ => RateAccuracy::Unspecified,
    };
    settings.tick = integer(&object["tick_ns"]);
}

fn read_classes(services: &Value) -> Result<Vec<Class>, SettingsError> {
    let mut classes = Vec::new();
    for (number, service) in list(services).iter().enumerate() {
        classes.push(read_class(number, service)?);
    }
    Ok(classes)
}

fn read_class(class: usize, service: &Value) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: integer(&service["slo_ns"]),
        deadline: integer(&service["hard_limit_ns"]),
        priority_weight: number(&service["worth"]),
        late_weight: number(&service["late_worth"]),
        idempotency: read_idempotency(class, service)?,
        ordered: flag(&service["fifo_by_key"]),
    })
}

fn read_idempotency(class: usize, service: &Value) -> Result<Idempotency, SettingsError> {
    let kind = &service[IDEMPOTENCY];
    match kind.as_str() {
        Some("pure") => Ok(Idempotency::Idempotent),
        Some("token") => Ok(Idempotency::Keyed {
            dedup_window: integer(&service["key_ttl_ns"]),
            per_zone: service["group"] != "all",
        }),
        Some("side_effect") => Ok(Idempotency::NotIdempotent),
        _ => Err(SettingsError::UnknownIdempotency { class, found: kind.to_string() }),
    }
}

fn read_family(family: &Value, named_kinds: usize, settings: &mut Settings) {
    settings.kinds = read_kinds(family, named_kinds);
    settings.weight_halves = family["loses_worth"] == "halving";
    settings.max_in_flight_calls = integer(&family["max_calls"]) as u32;
    settings.rejected_call_price = number(&family["refusal_cost"]);
    settings.route_fees = numbers(&family["route_fee"]);
}

/// Reads the destination kinds. Their number is the greatest length of the three lists: names, `kind_apart`
/// and `per_call`.
fn read_kinds(family: &Value, named_kinds: usize) -> Vec<DestinationKind> {
    let independent_routes = list(&family["kind_apart"]);
    let messages_per_call = list(&family["per_call"]);
    let count = named_kinds.max(independent_routes.len()).max(messages_per_call.len());
    let read_kind = |kind: usize| DestinationKind {
        independent_routes: independent_routes.get(kind).is_some_and(flag),
        max_messages_per_call: messages_per_call.get(kind).map_or(DEFAULT_MESSAGES_PER_CALL, integer) as u32,
    };
    (0..count).map(read_kind).collect()
}

fn read_bounds(bounds: &Value, settings: &mut Settings) {
    settings.max_in_flight_messages = integer(&bounds["max_open"]) as u32;
    settings.max_attempts = integer(&bounds["max_attempts"]) as u32;
    settings.cancellation_allowed = flag(&bounds["may_cancel"]);
    settings.hedging_allowed = flag(&bounds["parallel_tries"]);
    settings.health_checks_allowed = flag(&bounds["probing"]);
    settings.gossip_allowed = flag(&bounds["peers"]);
    let retry_after_allowed = flag(&bounds["retry_after"]);
    settings.max_retry_after = if retry_after_allowed { integer(&bounds["max_retry_after_ns"]) } else { 0 };
    settings.calls_per_connection = integer(&bounds["streams_per_conn"]) as u32;
    settings.idle_timeout = integer(&bounds["conn_idle_ns"]);
    settings.connect_timeout = integer(&bounds["connect_timeout_ns"]);
}

fn read_contract(contract: &Value, settings: &mut Settings) {
    settings.answer_grace = integer(&contract["grace_to_answer_ns"]);
    settings.slow_start_ratio = number(&contract["cold_from"]);
    settings.slow_start_duration = integer(&contract["ramp_time_ns"]);
    settings.overload_ratio = number(&contract["fall_multiple"]);
    settings.overload_window = integer(&contract["fall_ns"]);
    settings.key_cooldown = integer(&contract["turn_gap_ns"]);
    settings.max_poll_interval = integer(&contract["ask_within_ns"]);
}

fn read_prices(prices: &Value, settings: &mut Settings) {
    settings.connection_price = number(&prices["handshake"]);
    settings.cross_zone_price = number(&prices["cross_zone"]);
    settings.wasted_work_price = number(&prices["waste"]);
    settings.late_price = number(&prices["late_fail"]);
    settings.health_check_price = number(&prices["probe"]);
    settings.gossip_price = number(&prices["peer"]);
}
