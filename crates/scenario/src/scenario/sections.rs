//! The sections of a scenario document. Field names are the keys of the document.

use super::defaults;
use linnetcart_endpoint_model::LimitKind;
use serde::{Deserialize, Serialize};

/// Traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages submitted, as a part of what all limits admit.
    pub load: f64,
    /// Share of messages that come in bursts for one destination.
    pub clumps: f64,
    /// Size of a burst, in seconds of its destination's limit.
    pub clump_s: f64,
    /// Number of ordering keys.
    pub keys: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { load: 0.6, clumps: 0.1, clump_s: 2.0, keys: 60 }
    }
}

/// Clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client retries a rejected message at most.
    pub retries: u32,
    /// Shortest and longest wait of a client before it retries.
    pub again_ms: [f64; 2],
    /// Connections of the clients to each courier at most, those of keys not counted. Answers go in order on
    /// a connection, so with few of them messages wait for each other.
    pub connections: usize,
    /// A client that has waited this long breaks its connection, and submits what it may to another courier;
    /// 0 for as long as it takes.
    pub patience_s: f64,
    /// Clocks of clients and couriers differ by at most so much, either way.
    pub clocks_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 2, again_ms: [800.0, 1900.0], connections: 400, patience_s: 0.0, clocks_ms: 10.0 }
    }
}

/// The courier's bounds, from its part of the full load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CourierBounds {
    /// Attempt slots over what full load keeps busy.
    pub slots_room: f64,
    /// Attempt slots at least.
    pub least_slots: u32,
    /// Messages in flight at most, in seconds of full load.
    pub hold_s: f64,
    /// Bound of messages in flight at least.
    pub least_held: u32,
    /// Attempts for a message.
    pub attempts: u32,
    /// Shortest distance of two decision cycles.
    pub tick_ms: f64,
    /// An idle connection closes after this.
    pub idle_s: f64,
    /// A connection that takes longer has failed.
    pub connect_ms: f64,
}

impl Default for CourierBounds {
    fn default() -> Self {
        CourierBounds {
            slots_room: 2.2,
            least_slots: 4,
            hold_s: 9.0,
            least_held: 16,
            attempts: 12,
            tick_ms: 2.0,
            idle_s: 10.0,
            connect_ms: 1000.0,
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How late a final answer may be.
    pub answer_slack_ms: f64,
    /// New work to a draining endpoint ends after this.
    pub drain_grace_ms: f64,
    /// Share of the capacity right after an outage.
    pub cold_share: f64,
    /// All of it after this.
    pub warm_after_s: f64,
    /// Sent more than this multiple of its capacity, a destination in slow start is overloaded,
    pub fall_multiple: f64,
    /// when that goes on for this long.
    pub fall_span_s: f64,
    /// Cooldown of an ordering key after an attempt that may still run.
    pub key_rest_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 500.0,
            cold_share: 0.21,
            warm_after_s: 8.0,
            fall_multiple: 2.0,
            fall_span_s: 2.0,
            key_rest_ms: 100.0,
        }
    }
}

/// How the endpoint list reaches couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListDelivery {
    /// Changes come so late.
    pub late_s: f64,
    /// It has the rates of destinations.
    pub rates: bool,
}

impl Default for EndpointListDelivery {
    fn default() -> Self {
        EndpointListDelivery { late_s: 1.0, rates: true }
    }
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the messages.
    pub share: f64,
    /// Usual service time.
    pub service_ms: f64,
    /// Latency objective: served within it, a message has its full weight.
    pub aim_s: f64,
    /// How long it may be served.
    pub deadline_s: f64,
    /// Full weight of a message.
    pub worth: f64,
    /// Part of the weight that is left at the deadline.
    pub late_worth: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub repeat: IdempotencyKind,
    /// For `keyed`: how long endpoints drop a repeat.
    #[serde(default)]
    pub window_s: f64,
    /// For `keyed`: only by endpoints of the same zone.
    #[serde(default)]
    pub by_zone: bool,
    /// Messages with one ordering key go in turn.
    #[serde(default)]
    pub ordered: bool,
}

/// What a second execution does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyKind {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// It is dropped within a window.
    Keyed,
    /// It takes effect twice.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A kind of destination. Pairs are ranges to draw from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Destinations of it.
    pub destinations: u32,
    /// Endpoints of each.
    pub endpoints: [u32; 2],
    /// Calls a second that each admits, or each route where they are independent.
    pub rate: [f64; 2],
    /// What it limits.
    #[serde(default = "defaults::rate_limit")]
    pub limit: LimitKind,
    /// Rejected calls use up the limit.
    #[serde(default)]
    pub refused_count: bool,
    /// Share of rejections that give a Retry-After.
    #[serde(default = "defaults::retry_after_share")]
    pub tells_wait: f64,
    /// The Retry-After of a plain rate.
    #[serde(default = "defaults::retry_after_ms")]
    pub wait_ms: [f64; 2],
    /// Capacity over the limit.
    #[serde(default = "defaults::capacity_ratio")]
    pub spare: f64,
    /// How long a call may wait in its queue.
    #[serde(default = "defaults::queue_ms")]
    pub depth_ms: f64,
    /// Spread of service times: deviation over mean.
    #[serde(default = "defaults::service_time_variation")]
    pub cv: f64,
    /// Connections that an endpoint accepts; 0 for any number.
    #[serde(default)]
    pub connections: usize,
    /// Endpoints are independent routes.
    #[serde(default)]
    pub routes_apart: bool,
    /// Messages in one call.
    #[serde(default = "defaults::messages_per_call")]
    pub per_call: u32,
    /// Work of a further message in a call, as a part of the first's.
    #[serde(default = "defaults::additional_message_work")]
    pub item_cost: f64,
    /// Load is reported in answers, so often; 0 for never.
    #[serde(default = "defaults::load_report_ms")]
    pub report_ms: f64,
}
