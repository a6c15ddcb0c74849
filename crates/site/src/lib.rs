//! The settings object of a site, as the bench's wire and the platform's configuration both give it.
//!
//! An absent figure gets the meaning that the wire's page gives to absence (zero). What is not known is passed
//! over: sites differ in what they have.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use linnetcart::{Class, Kind, Rates, Repeat, Settings};
use serde_json::Value;

/// Name of the report value that holds the share of the limit that is left.
pub const LEFT: &str = "x0";
/// Name of the report value that holds the limit in calls a second.
pub const LIMIT: &str = "x1";

/// Why the object cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("services[{place}].idempotency is {found}; `pure`, `token` or `side_effect` is expected")]
pub struct Bad {
    place: usize,
    found: String,
}

/// What a site says of itself.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// What the decision library is told.
    pub settings: Settings,
    /// Names of the classes, by number.
    pub classes: Vec<String>,
    /// Names of the kinds of destination, by number.
    pub kinds: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the values in a load report that comes with an answer, in its order.
    pub report: Vec<String>,
}

impl Site {
    /// Reads the object.
    pub fn read(v: &Value) -> Result<Site, Bad> {
        let names = |v: &Value| list(v).iter().map(|n| n.as_str().unwrap_or_default().to_owned()).collect();
        let stats = &v["stats"];
        Ok(Site {
            settings: settings(v)?,
            classes: list(&v["services"]).iter().map(|c| text(&c["name"])).collect(),
            kinds: names(&v["kinds"]),
            zones: names(&v["zones"]),
            report: names(&stats["names"]),
        })
    }

    /// Where a value stands in a load report, if the site's reports have it.
    pub fn report_place(&self, name: &str) -> Option<usize> {
        self.report.iter().position(|n| n == name)
    }
}

fn text(v: &Value) -> String {
    v.as_str().unwrap_or_default().to_owned()
}

fn list(v: &Value) -> &[Value] {
    v.as_array().map_or(&[], Vec::as_slice)
}

fn settings(v: &Value) -> Result<Settings, Bad> {
    let int = |v: &Value| v.as_u64().or_else(|| v.as_f64().map(|x| x as u64)).unwrap_or(0);
    let num = |v: &Value| v.as_f64().unwrap_or(0.0);
    let yes = |v: &Value| v.as_bool().unwrap_or(false);
    let (bounds, contract, family, prices) = (&v["bounds"], &v["contract"], &v["family_info"], &v["prices"]);
    let mut classes = Vec::new();
    for (place, c) in list(&v["services"]).iter().enumerate() {
        let repeat = match c["idempotency"].as_str() {
            Some("pure") => Repeat::Safe,
            Some("token") => Repeat::Keyed { window: int(&c["key_ttl_ns"]), by_zone: c["group"] != "all" },
            Some("side_effect") => Repeat::Unsafe,
            _ => return Err(Bad { place, found: c["idempotency"].to_string() }),
        };
        classes.push(Class {
            aim: int(&c["slo_ns"]),
            deadline: int(&c["hard_limit_ns"]),
            worth: num(&c["worth"]),
            late_worth: num(&c["late_worth"]),
            repeat,
            ordered: yes(&c["fifo_by_key"]),
        });
    }
    let (apart, per_call) = (list(&family["kind_apart"]), list(&family["per_call"]));
    let kinds = (0..list(&v["kinds"]).len().max(apart.len()).max(per_call.len()))
        .map(|k| Kind {
            routes_apart: apart.get(k).is_some_and(yes),
            per_call: per_call.get(k).map_or(1, int) as u32,
        })
        .collect();
    Ok(Settings {
        couriers: int(&v["balancers"]) as u32,
        me: int(&v["me"]) as u32,
        zone: int(&v["my_zone"]) as u8,
        classes,
        kinds,
        tenants: list(&v["accounts"]).iter().map(|a| num(&a["quota_per_s"])).collect(),
        over_share_worth: num(&v["over_share_worth"]),
        worth_halves: family["loses_worth"] == "halving",
        slots: int(&family["max_calls"]) as u32,
        max_held: int(&bounds["max_open"]) as u32,
        max_attempts: int(&bounds["max_attempts"]) as u32,
        may_cancel: yes(&bounds["may_cancel"]),
        may_copy: yes(&bounds["parallel_tries"]),
        may_probe: yes(&bounds["probing"]),
        may_note: yes(&bounds["peers"]),
        max_come_back: if yes(&bounds["retry_after"]) { int(&bounds["max_retry_after_ns"]) } else { 0 },
        calls_per_connection: int(&bounds["streams_per_conn"]) as u32,
        connection_idle: int(&bounds["conn_idle_ns"]),
        connect_timeout: int(&bounds["connect_timeout_ns"]),
        answer_slack: int(&contract["grace_to_answer_ns"]),
        cold_share: num(&contract["cold_from"]),
        warm_after: int(&contract["ramp_time_ns"]),
        fall_multiple: num(&contract["fall_multiple"]),
        fall_span: int(&contract["fall_ns"]),
        key_rest: int(&contract["turn_gap_ns"]),
        list_asked: v["registry_mode"] == "ask",
        ask_within: int(&contract["ask_within_ns"]),
        rates: match v["weight_source"].as_str() {
            Some("nominal") => Rates::Exact,
            Some("rough") => Rates::Rough,
            _ => Rates::Untold,
        },
        tick: int(&v["tick_ns"]),
        connection_price: num(&prices["handshake"]),
        crossing_price: num(&prices["cross_zone"]),
        waste_price: num(&prices["waste"]),
        late_price: num(&prices["late_fail"]),
        probe_price: num(&prices["probe"]),
        note_price: num(&prices["peer"]),
        refused_price: num(&family["refusal_cost"]),
        route_fees: list(&family["route_fee"]).iter().map(num).collect(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn names_and_figures_come_from_their_places() {
        let site = Site::read(&json!({
            "services": [{"name": "a", "idempotency": "token", "key_ttl_ns": 8, "group": "all"}],
            "kinds": ["k"], "zones": ["z0", "z1"], "stats": {"names": ["x1", "x0"]},
            "bounds": {"max_open": 7, "retry_after": true, "max_retry_after_ns": 3},
            "family_info": {"max_calls": 4}, "weight_source": "nominal",
        }))
        .unwrap();
        assert_eq!((&site.classes[..], &site.kinds[..]), (&["a".to_owned()][..], &["k".to_owned()][..]));
        assert_eq!((site.report_place(LEFT), site.report_place(LIMIT)), (Some(1), Some(0)));
        let s = &site.settings;
        assert_eq!((s.max_held, s.slots, s.max_come_back, s.rates), (7, 4, 3, Rates::Exact));
        assert_eq!(s.classes[0].repeat, Repeat::Keyed { window: 8, by_zone: false });
    }

    #[test]
    fn a_class_of_unknown_kind_is_named() {
        let bad = Site::read(&json!({"services": [{"idempotency": "pure"}, {"idempotency": "odd"}]}));
        let text = bad.unwrap_err().to_string();
        assert!(text.contains("services[1]") && text.contains("odd"), "{text}");
    }
}
