//! The parameters of the delivery rules, and the accuracy of the rates in the endpoint list.

use serde::{Deserialize, Serialize};

/// The parameters of the delivery rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How long after its deadline a final answer may arrive.
    #[serde(rename = "answer_slack_ms")]
    pub answer_grace_ms: u64,
    /// The fraction of its capacity that a destination has when it comes back from an outage.
    #[serde(rename = "cold_share")]
    pub slow_start_ratio: f64,
    /// How long after an outage a destination has its full capacity again.
    #[serde(rename = "warm_after_ms")]
    pub slow_start_ms: u64,
    /// The multiple of its capacity above which a destination fails.
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// How long such an overload must last for the destination to fail.
    #[serde(rename = "fall_span_ms")]
    pub overload_window_ms: u64,
    /// The cooldown of a key after an attempt that may still be executed.
    #[serde(default, rename = "key_rest_ms")]
    pub key_cooldown_ms: u64,
}

/// How accurate the rates in the endpoint list are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RatesDoc {
    /// They have no meaning.
    #[default]
    #[serde(rename = "untold")]
    Unspecified,
    /// Calls a second from all couriers, accurate to within a half.
    #[serde(rename = "rough")]
    Approximate,
    /// Calls a second from all couriers.
    #[serde(rename = "exact")]
    Exact,
}
