//! Parameters of ordering, slow start and overload, and the accuracy of the rates in the endpoint list.

use serde::{Deserialize, Serialize};

/// Parameters of ordering, slow start and overload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Grace period after the deadline of a message in which its final answer still counts as in time, in
    /// milliseconds.
    #[serde(rename = "answer_slack_ms")]
    pub answer_grace_ms: u64,
    /// Capacity of a destination right after an outage, as a fraction of its full capacity. It grows linearly
    /// to 1 within `slow_start_ms`.
    #[serde(rename = "cold_share")]
    pub slow_start_ratio: f64,
    /// Time after an outage until a destination has its full capacity again, in milliseconds.
    #[serde(rename = "warm_after_ms")]
    pub slow_start_ms: u64,
    /// After an outage, a destination fails again if its call rate exceeds this multiple of its present
    /// capacity for `overload_window_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// How long such an overload must last to make the destination fail, in milliseconds.
    #[serde(rename = "fall_span_ms")]
    pub overload_window_ms: u64,
    /// Cooldown of an ordering key after an attempt that may still be executed, in milliseconds: the next
    /// message of the key is held back for that time.
    #[serde(default, rename = "key_rest_ms")]
    pub key_cooldown_ms: u64,
}

/// Accuracy of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RatesDoc {
    /// The rates are ignored.
    #[default]
    #[serde(rename = "untold")]
    Unspecified,
    /// A rate is the limit in calls per second for all couriers together, accurate to within 50 %.
    #[serde(rename = "rough")]
    Approximate,
    /// A rate is the exact limit in calls per second for all couriers together.
    #[serde(rename = "exact")]
    Exact,
}
