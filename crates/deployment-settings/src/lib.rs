//! The settings object of a site, as the bench's wire and the platform's configuration both give it.
//!
//! An absent figure gets the meaning that the wire's page gives to absence (zero). What is not known is passed
//! over: sites differ in what they have.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use linnetcart::{Class, DestinationKind, Idempotency, RateAccuracy, Settings};
use serde_json::Value;

/// Name of the report value that holds the share of the limit that is left.
pub const CAPACITY_LEFT_FIELD: &str = "x0";
/// Name of the report value that holds the limit in calls a second.
pub const RATE_LIMIT_FIELD: &str = "x1";

/// Why the object cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("services[{place}].idempotency is {found}; `pure`, `token` or `side_effect` is expected")]
pub struct SettingsError {
    place: usize,
    found: String,
}

/// What a site says of itself.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSettings {
    /// What the decision library is told.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, by number.
    pub kind_names: Vec<String>,
    /// Names of the zones, by number.
    pub zone_names: Vec<String>,
    /// Names of the values in a load report that comes with an answer, in its order.
    pub load_report_fields: Vec<String>,
}

impl DeploymentSettings {
    /// Reads the object.
    pub fn read(v: &Value) -> Result<DeploymentSettings, SettingsError> {
        let names = |v: &Value| list(v).iter().map(|n| n.as_str().unwrap_or_default().to_owned()).collect();
        let stats = &v["stats"];
        Ok(DeploymentSettings {
            settings: settings(v)?,
            class_names: list(&v["services"]).iter().map(|c| text(&c["name"])).collect(),
            kind_names: names(&v["kinds"]),
            zone_names: names(&v["zones"]),
            load_report_fields: names(&stats["names"]),
        })
    }

    /// Where a value stands in a load report, if the site's reports have it.
    pub fn load_report_index(&self, name: &str) -> Option<usize> {
        self.load_report_fields.iter().position(|n| n == name)
    }
}

fn text(v: &Value) -> String {
    v.as_str().unwrap_or_default().to_owned()
}

fn list(v: &Value) -> &[Value] {
    v.as_array().map_or(&[], Vec::as_slice)
}

fn settings(v: &Value) -> Result<Settings, SettingsError> {
    let int = |v: &Value| v.as_u64().or_else(|| v.as_f64().map(|x| x as u64)).unwrap_or(0);
    let num = |v: &Value| v.as_f64().unwrap_or(0.0);
    let yes = |v: &Value| v.as_bool().unwrap_or(false);
    let (bounds, contract, family, prices) = (&v["bounds"], &v["contract"], &v["family_info"], &v["prices"]);
    let mut classes = Vec::new();
    for (place, c) in list(&v["services"]).iter().enumerate() {
        let repeat = match c["idempotency"].as_str() {
            Some("pure") => Idempotency::Idempotent,
            Some("token") => {
                Idempotency::Keyed { dedup_window: int(&c["key_ttl_ns"]), per_zone: c["group"] != "all" }
            }
            Some("side_effect") => Idempotency::NotIdempotent,
            _ => return Err(SettingsError { place, found: c["idempotency"].to_string() }),
        };
        classes.push(Class {
            latency_objective: int(&c["slo_ns"]),
            deadline: int(&c["hard_limit_ns"]),
            priority_weight: num(&c["worth"]),
            late_weight: num(&c["late_worth"]),
            idempotency: repeat,
            ordered: yes(&c["fifo_by_key"]),
        });
    }
    let (apart, per_call) = (list(&family["kind_apart"]), list(&family["per_call"]));
    let kinds = (0..list(&v["kinds"]).len().max(apart.len()).max(per_call.len()))
        .map(|k| DestinationKind {
            independent_routes: apart.get(k).is_some_and(yes),
            max_messages_per_call: per_call.get(k).map_or(1, int) as u32,
        })
        .collect();
    Ok(Settings {
        courier_count: int(&v["balancers"]) as u32,
        courier_index: int(&v["me"]) as u32,
        zone: int(&v["my_zone"]) as u8,
        classes,
        kinds,
        tenant_quotas: list(&v["accounts"]).iter().map(|a| num(&a["quota_per_s"])).collect(),
        over_quota_weight: num(&v["over_share_worth"]),
        weight_halves: family["loses_worth"] == "halving",
        max_in_flight_calls: int(&family["max_calls"]) as u32,
        max_in_flight_messages: int(&bounds["max_open"]) as u32,
        max_attempts: int(&bounds["max_attempts"]) as u32,
        cancellation_allowed: yes(&bounds["may_cancel"]),
        hedging_allowed: yes(&bounds["parallel_tries"]),
        health_checks_allowed: yes(&bounds["probing"]),
        gossip_allowed: yes(&bounds["peers"]),
        max_retry_after: if yes(&bounds["retry_after"]) { int(&bounds["max_retry_after_ns"]) } else { 0 },
        calls_per_connection: int(&bounds["streams_per_conn"]) as u32,
        idle_timeout: int(&bounds["conn_idle_ns"]),
        connect_timeout: int(&bounds["connect_timeout_ns"]),
        answer_grace: int(&contract["grace_to_answer_ns"]),
        slow_start_ratio: num(&contract["cold_from"]),
        slow_start_duration: int(&contract["ramp_time_ns"]),
        overload_ratio: num(&contract["fall_multiple"]),
        overload_window: int(&contract["fall_ns"]),
        key_cooldown: int(&contract["turn_gap_ns"]),
        endpoint_list_polled: v["registry_mode"] == "ask",
        max_poll_interval: int(&contract["ask_within_ns"]),
        rate_accuracy: match v["weight_source"].as_str() {
            Some("nominal") => RateAccuracy::Exact,
            Some("rough") => RateAccuracy::Approximate,
            _ => RateAccuracy::Unspecified,
        },
        tick: int(&v["tick_ns"]),
        connection_price: num(&prices["handshake"]),
        cross_zone_price: num(&prices["cross_zone"]),
        wasted_work_price: num(&prices["waste"]),
        late_price: num(&prices["late_fail"]),
        health_check_price: num(&prices["probe"]),
        gossip_price: num(&prices["peer"]),
        rejected_call_price: num(&family["refusal_cost"]),
        route_fees: list(&family["route_fee"]).iter().map(num).collect(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn names_and_figures_come_from_their_places() {
        let site = DeploymentSettings::read(&json!({
            "services": [{"name": "a", "idempotency": "token", "key_ttl_ns": 8, "group": "all"}],
            "kinds": ["k"], "zones": ["z0", "z1"], "stats": {"names": ["x1", "x0"]},
            "bounds": {"max_open": 7, "retry_after": true, "max_retry_after_ns": 3},
            "family_info": {"max_calls": 4}, "weight_source": "nominal",
        }))
        .unwrap();
        assert_eq!(
            (&site.class_names[..], &site.kind_names[..]),
            (&["a".to_owned()][..], &["k".to_owned()][..])
        );
        assert_eq!(
            (site.load_report_index(CAPACITY_LEFT_FIELD), site.load_report_index(RATE_LIMIT_FIELD)),
            (Some(1), Some(0))
        );
        let s = &site.settings;
        assert_eq!(
            (s.max_in_flight_messages, s.max_in_flight_calls, s.max_retry_after, s.rate_accuracy),
            (7, 4, 3, RateAccuracy::Exact)
        );
        assert_eq!(s.classes[0].idempotency, Idempotency::Keyed { dedup_window: 8, per_zone: false });
    }

    #[test]
    fn a_class_of_unknown_kind_is_named() {
        let bad =
            DeploymentSettings::read(&json!({"services": [{"idempotency": "pure"}, {"idempotency": "odd"}]}));
        let text = bad.unwrap_err().to_string();
        assert!(text.contains("services[1]") && text.contains("odd"), "{text}");
    }
}
