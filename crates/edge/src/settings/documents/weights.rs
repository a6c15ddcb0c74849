//! Priority weights of messages and the prices that are compared with them.

use serde::{Deserialize, Serialize};

/// How the priority weight of a message decreases with its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// Whether the weight halves with each further latency objective (exponential decay, down to the late
    /// weight of the class). Otherwise it decreases linearly from the objective to the deadline.
    pub halves: bool,
    /// Weight of a message above its tenant's quota, as a fraction of its usual weight, 0 to 1.
    #[serde(rename = "over_share")]
    pub over_quota: f64,
}

impl Default for Worth {
    fn default() -> Self {
        Worth { halves: false, over_quota: 0.1 }
    }
}

/// Prices of resources, as fractions of a message's priority weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Price of a new connection.
    pub connection: f64,
    /// Price of a call to another zone.
    #[serde(rename = "crossing")]
    pub cross_zone: f64,
    /// Price of calls to endpoints that did not serve the message.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// Price of each unit of weight that a message loses after its latency objective.
    pub late: f64,
    /// Price of a call that is rejected above a limit.
    #[serde(rename = "refused")]
    pub rejected_call: f64,
    /// Price of a message that an independent route accepts; the index is the number of the route's zone.
    pub route_fees: Vec<f64>,
}
