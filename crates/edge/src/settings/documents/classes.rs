//! Classes of messages, kinds of destinations, and tenants.

use serde::{Deserialize, Serialize};

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDoc {
    /// The name of the class and of its topic.
    pub name: String,
    /// The latency objective. A message that is served within it has its full priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// How long a message may be served.
    pub deadline_ms: u64,
    /// The full priority weight.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The fraction of the priority weight that is left at the deadline.
    #[serde(default, rename = "late_worth")]
    pub late_weight: f64,
    /// The effect of a repeated execution.
    #[serde(rename = "repeat")]
    pub idempotency: RepeatDoc,
    /// Whether messages with the same key are delivered in order.
    #[serde(default)]
    pub ordered: bool,
}

/// The effect of a repeated execution of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum RepeatDoc {
    /// It does no harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// It is dropped within a deduplication window.
    #[serde(rename = "keyed")]
    Keyed {
        /// The deduplication window: how long the first execution is remembered.
        #[serde(rename = "window_ms")]
        dedup_window_ms: u64,
        /// Whether only endpoints in the zone of the first execution remember it.
        #[serde(default, rename = "by_zone")]
        per_zone: bool,
    },
    /// It takes effect twice.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindDoc {
    /// The name of the kind.
    pub name: String,
    /// Whether the endpoints are independent routes, each with a limit of its own.
    #[serde(default, rename = "routes_apart")]
    pub independent_routes: bool,
    /// How many messages one call may carry.
    #[serde(default = "default_messages_per_call", rename = "per_call")]
    pub max_messages_per_call: u32,
}

fn default_messages_per_call() -> u32 {
    1
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// The name of the tenant, as in the header `tenant`.
    pub name: String,
    /// Its quota, in messages a second over all couriers.
    #[serde(rename = "rate")]
    pub quota: f64,
}
