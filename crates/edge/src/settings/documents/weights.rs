//! Priority weights of messages and the prices that are compared with them.

use serde::{Deserialize, Serialize};

/// How the priority weight of a message decreases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// Whether the weight halves with each further latency objective. Otherwise it decreases linearly from
    /// the objective to the deadline.
    pub halves: bool,
    /// The weight of a message beyond its tenant's quota, as a fraction of the usual weight.
    #[serde(rename = "over_share")]
    pub over_quota: f64,
}

impl Default for Worth {
    fn default() -> Self {
        Worth { halves: false, over_quota: 0.1 }
    }
}

/// Prices, as fractions of a message's priority weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// The price of a new connection.
    pub connection: f64,
    /// The price of a call to another zone.
    #[serde(rename = "crossing")]
    pub cross_zone: f64,
    /// The price of work that served no message.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// The price of weight that is not served within its objective.
    pub late: f64,
    /// The price of a call that is rejected above a limit.
    #[serde(rename = "refused")]
    pub rejected_call: f64,
    /// The price of a message that an independent route accepts, by its zone.
    pub route_fees: Vec<f64>,
}
