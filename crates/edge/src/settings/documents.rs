//! The settings document as operators write it.
//!
//! The names of these types stand in error texts of the control interface ("expected struct ClassDoc with 7
//! elements") and are not changed for that reason.

use serde::{Deserialize, Serialize};

/// The settings of a courier, which it is given once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; it stands in logs and figures.
    pub deployment: String,
    /// Which courier this is.
    pub courier: CourierNumber,
    /// Zones by name.
    pub zones: Vec<String>,
    /// Classes of message; each is a topic.
    pub classes: Vec<ClassDoc>,
    /// Kinds of destination.
    pub kinds: Vec<KindDoc>,
    /// Tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// Bounds of the courier.
    pub limits: Limits,
    /// What a courier may do.
    #[serde(default, rename = "allow")]
    pub permissions: Allow,
    /// Connections to endpoints.
    #[serde(default)]
    pub connections: Connections,
    /// Clocks of clients.
    #[serde(default)]
    pub clocks: ClocksDoc,
    /// Figures of the rules that couriers keep to.
    pub rules: Rules,
    /// What the rates in the endpoint list mean.
    #[serde(default)]
    pub rates: RatesDoc,
    /// How the priority weight falls after the latency objective.
    #[serde(default, rename = "worth")]
    pub weights: Worth,
    /// Prices, as a part of a message's priority weight.
    #[serde(default)]
    pub prices: Prices,
    /// Shortest distance of two decision cycles, in microseconds.
    #[serde(default = "default_tick_us")]
    pub tick_us: u64,
}

fn default_tick_us() -> u64 {
    1000
}

/// Which courier this is, of how many, and where it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CourierNumber {
    /// Its number, from 0.
    #[serde(rename = "me")]
    pub index: u32,
    /// Couriers that send to the same destinations, this one included.
    #[serde(rename = "of")]
    pub count: u32,
    /// Its zone, by name.
    pub zone: String,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDoc {
    /// Its name, and that of its topic.
    pub name: String,
    /// Served within this, a message has its full priority weight.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// How long it may be served.
    pub deadline_ms: u64,
    /// Full priority weight.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Part of the priority weight that is left at the deadline.
    #[serde(default, rename = "late_worth")]
    pub late_weight: f64,
    /// What a repeated execution does.
    #[serde(rename = "repeat")]
    pub idempotency: RepeatDoc,
    /// Messages with one key are delivered in turn.
    #[serde(default)]
    pub ordered: bool,
}

/// What a repeated execution of a message does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum RepeatDoc {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// It is dropped within a window.
    #[serde(rename = "keyed")]
    Keyed {
        /// How long the first execution is remembered.
        #[serde(rename = "window_ms")]
        dedup_window_ms: u64,
        /// Only by endpoints in the zone of the first.
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
    /// Its name.
    pub name: String,
    /// Its endpoints are independent routes, each with a limit of its own.
    #[serde(default, rename = "routes_apart")]
    pub independent_routes: bool,
    /// Messages that one call takes at most.
    #[serde(default = "default_per_call", rename = "per_call")]
    pub max_messages_per_call: u32,
}

fn default_per_call() -> u32 {
    1
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// Its name, as in the header `tenant`.
    pub name: String,
    /// Its quota, in messages a second over all couriers.
    #[serde(rename = "rate")]
    pub quota: f64,
}

/// Bounds of the courier. At each, what comes beyond it is rejected or waits unread; nothing is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Calls out at once.
    #[serde(rename = "slots")]
    pub max_calls: u32,
    /// Messages in flight, sent or not. Beyond it they are shed.
    #[serde(rename = "held")]
    pub max_in_flight: u32,
    /// Bytes of the messages in flight. Beyond it they are shed.
    #[serde(default = "default_in_flight_bytes", rename = "held_bytes")]
    pub max_in_flight_bytes: usize,
    /// Attempts for a message.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Bytes of one request. A longer one closes its connection.
    #[serde(default = "default_request_bytes", rename = "request_bytes")]
    pub max_request_bytes: usize,
    /// Requests of one connection without a response. Beyond it the connection is not read.
    #[serde(default = "default_pipelined", rename = "pipelined")]
    pub max_pipelined: usize,
    /// Bytes of responses that a client has not taken. Beyond it the connection is not read.
    #[serde(default = "default_unsent_bytes", rename = "unsent_bytes")]
    pub max_unsent_bytes: usize,
    /// Highest destination number, and so partition, plus one.
    #[serde(default = "default_destinations")]
    pub destinations: u32,
}

fn default_in_flight_bytes() -> usize {
    256 << 20
}

fn default_request_bytes() -> usize {
    1 << 20
}

fn default_pipelined() -> usize {
    256
}

fn default_unsent_bytes() -> usize {
    1 << 20
}

fn default_destinations() -> u32 {
    10_000
}

/// What a courier may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Cancel a running attempt.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Two attempts of a message out at once.
    #[serde(rename = "copies")]
    pub hedging: bool,
    /// Health checks of endpoints; this program has none, so it must be false.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Gossip between couriers; this program has none, so it must be false.
    #[serde(rename = "notes")]
    pub gossip: bool,
    /// The endpoint list must be polled; this program is given it, so it must be false.
    #[serde(rename = "list_asked")]
    pub list_polled: bool,
    /// The longest Retry-After that clients heed; 0 where they heed none.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: u64,
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancellation: true,
            hedging: true,
            health_checks: false,
            gossip: false,
            list_polled: false,
            max_retry_after_ms: 3000,
        }
    }
}

/// Connections to endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Calls that one connection carries at once.
    #[serde(rename = "calls")]
    pub max_calls: u32,
    /// An idle connection closes after this.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// A connection that takes longer than this has failed.
    pub connect_timeout_ms: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { max_calls: 1, idle_timeout_ms: 10_000, connect_timeout_ms: 1000 }
    }
}

/// Clocks of clients, by which it is known how long a message was under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClocksDoc {
    /// They differ from the courier's by at most so much, either way.
    #[serde(rename = "apart_ms")]
    pub max_skew_ms: u64,
    /// The timestamp of a record is that at which it was submitted, as producers set it by themselves.
    #[serde(rename = "record_time")]
    pub timestamps_are_creation_times: bool,
}

impl Default for ClocksDoc {
    fn default() -> Self {
        ClocksDoc { max_skew_ms: 50, timestamps_are_creation_times: true }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How late a final answer may be.
    #[serde(rename = "answer_slack_ms")]
    pub answer_grace_ms: u64,
    /// A destination back from an outage has this part of its capacity,
    #[serde(rename = "cold_share")]
    pub slow_start_ratio: f64,
    /// and all of it after this.
    #[serde(rename = "warm_after_ms")]
    pub slow_start_ms: u64,
    /// Sent more than this multiple of its capacity, it fails,
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// when that goes on for so long.
    #[serde(rename = "fall_span_ms")]
    pub overload_window_ms: u64,
    /// How long a key rests after an attempt that may still be executed.
    #[serde(default, rename = "key_rest_ms")]
    pub key_cooldown_ms: u64,
}

/// What the rates in the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RatesDoc {
    /// Nothing.
    #[default]
    #[serde(rename = "untold")]
    Unspecified,
    /// Calls a second from all couriers, to within a half.
    #[serde(rename = "rough")]
    Approximate,
    /// Calls a second from all couriers.
    #[serde(rename = "exact")]
    Exact,
}

/// How the priority weight falls after the latency objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// By half with each further objective; otherwise evenly to the deadline.
    pub halves: bool,
    /// Weight of a message beyond its tenant's quota, as a part of the usual.
    #[serde(rename = "over_share")]
    pub over_quota: f64,
}

impl Default for Worth {
    fn default() -> Self {
        Worth { halves: false, over_quota: 0.1 }
    }
}

/// Prices, as a part of a message's priority weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Of a new connection.
    pub connection: f64,
    /// Of a call to another zone.
    #[serde(rename = "crossing")]
    pub cross_zone: f64,
    /// Of work that served nothing.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
    /// Of weight left unserved after its objective.
    pub late: f64,
    /// Of a call rejected above a limit.
    #[serde(rename = "refused")]
    pub rejected_call: f64,
    /// For each zone, of a message that an independent route accepts there.
    pub route_fees: Vec<f64>,
}
