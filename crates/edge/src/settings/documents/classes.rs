//! Classes of messages, kinds of destinations, and tenants.

use serde::{Deserialize, Serialize};

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDoc {
    /// Name of the class, which is also the name of its Kafka topic.
    pub name: String,
    /// Latency objective, in milliseconds from acceptance. A message that is served within it has its full
    /// priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Time from submission within which a message must get its final answer, in milliseconds.
    pub deadline_ms: u64,
    /// Priority weight of a message that is served within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the priority weight that remains at the deadline, 0 to 1.
    #[serde(default, rename = "late_worth")]
    pub late_weight: f64,
    /// The effect of executing a message more than once.
    #[serde(rename = "repeat")]
    pub idempotency: RepeatDoc,
    /// Whether messages with the same ordering key are delivered in order, one at a time.
    #[serde(default)]
    pub ordered: bool,
}

/// The effect of executing a message more than once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum RepeatDoc {
    /// A second execution is harmless.
    #[serde(rename = "safe")]
    Idempotent,
    /// A second execution is suppressed by the idempotency key, within a deduplication window.
    #[serde(rename = "keyed")]
    Keyed {
        /// Deduplication window: how long endpoints remember the key after the first execution, in
        /// milliseconds.
        #[serde(rename = "window_ms")]
        dedup_window_ms: u64,
        /// Whether only endpoints in the zone of the first execution know the key; otherwise all do.
        #[serde(default, rename = "by_zone")]
        per_zone: bool,
    },
    /// A second execution takes effect again.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindDoc {
    /// Name of the kind.
    pub name: String,
    /// Whether each endpoint is an independent route with a limit and outages of its own. Otherwise the
    /// endpoints share the limit of their destination.
    #[serde(default, rename = "routes_apart")]
    pub independent_routes: bool,
    /// Maximum number of messages in one call.
    #[serde(default = "default_messages_per_call", rename = "per_call")]
    pub max_messages_per_call: u32,
}

fn default_messages_per_call() -> u32 {
    1
}

/// A tenant with a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// Name of the tenant, as in the record header `tenant`.
    pub name: String,
    /// Quota of the tenant, in messages per second over all couriers.
    #[serde(rename = "rate")]
    pub quota: f64,
}
