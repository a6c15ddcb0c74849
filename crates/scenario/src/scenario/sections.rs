//! The sections of a scenario document. Where a field has a `serde(rename)`, the name in it is the key of the
//! document. The suffix of a field's name is its unit: `_s` for seconds, `_ms` for milliseconds.

use super::defaults;
use linnetcart_endpoint_model::LimitKind;
use serde::{Deserialize, Serialize};

/// How many messages clients submit, and for which destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Submission rate of messages, divided by the rate that all limits together admit.
    pub load: f64,
    /// The fraction of messages that arrive in bursts, each for one destination.
    #[serde(rename = "clumps")]
    pub burst_share: f64,
    /// Size of a burst in seconds: it has `rate limit * burst_s` messages.
    #[serde(rename = "clump_s")]
    pub burst_s: f64,
    /// Number of different ordering keys in the run. Each message of an ordered class has one of them, drawn
    /// at random; 0 if no message has an ordering key.
    pub keys: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { load: 0.6, burst_share: 0.1, burst_s: 2.0, keys: 60 }
    }
}

/// How clients connect and retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How many times a client retries a rejected message.
    pub retries: u32,
    /// Range from which the delay before a retry is drawn uniformly.
    #[serde(rename = "again_ms")]
    pub retry_delay_ms: [f64; 2],
    /// Most connections of the clients to each courier, not counting those of ordering keys. Answers on a
    /// connection are sent in the order of the requests, so with few connections an unanswered message delays
    /// the answers to those behind it (head-of-line blocking).
    pub connections: usize,
    /// A client without an answer after this time closes its connection, and submits to another courier the
    /// messages that may be submitted again; 0 for no timeout.
    #[serde(rename = "patience_s")]
    pub answer_timeout_s: f64,
    /// The most by which any two clocks of clients and couriers differ.
    #[serde(rename = "clocks_ms")]
    pub max_clock_difference_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 2,
            retry_delay_ms: [800.0, 1900.0],
            connections: 400,
            answer_timeout_s: 0.0,
            max_clock_difference_ms: 10.0,
        }
    }
}

/// The limits and timeouts of a courier. The full load of a courier, in messages per second, is the rate that
/// all limits of destinations together admit, divided by the number of couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CourierBounds {
    /// Number of attempt slots, as a multiple of the attempts in flight at full load, which by Little's law
    /// are `load * mean service time`.
    #[serde(rename = "slots_room")]
    pub slot_ratio: f64,
    /// Lower bound of the number of attempt slots, whatever `slot_ratio` gives.
    #[serde(rename = "least_slots")]
    pub min_slots: u32,
    /// Most messages in flight, as the time in which this number arrives at full load: `load * in_flight_s`
    /// messages.
    #[serde(rename = "hold_s")]
    pub in_flight_s: f64,
    /// Lower bound of the limit of messages in flight, whatever `in_flight_s` gives.
    #[serde(rename = "least_held")]
    pub min_in_flight: u32,
    /// Most attempts for one message.
    pub attempts: u32,
    /// Shortest time between two decision cycles.
    #[serde(rename = "tick_ms")]
    pub min_cycle_ms: f64,
    /// An idle connection is closed after this time.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// A connection that is not established after this time has failed.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: f64,
}

impl Default for CourierBounds {
    fn default() -> Self {
        CourierBounds {
            slot_ratio: 2.2,
            min_slots: 4,
            in_flight_s: 9.0,
            min_in_flight: 16,
            attempts: 12,
            min_cycle_ms: 2.0,
            idle_timeout_s: 10.0,
            connect_timeout_ms: 1000.0,
        }
    }
}

/// Parameters of the rules that the conformance checks verify. Except for the drain grace, couriers are
/// configured with the same values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after the deadline a final answer may be sent.
    #[serde(rename = "answer_slack_ms")]
    pub answer_grace_ms: f64,
    /// How long a courier may still send new work to an endpoint after it was notified that it is draining.
    pub drain_grace_ms: f64,
    /// Slow start: the fraction of the capacity that is available right after an outage.
    #[serde(rename = "cold_share")]
    pub slow_start_ratio: f64,
    /// Slow start: duration of the linear ramp, after which the full capacity is available.
    #[serde(rename = "warm_after_s")]
    pub slow_start_duration_s: f64,
    /// A destination in slow start is overloaded if the calls of one overload window exceed this multiple of
    /// the calls that its available capacity serves in one window.
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// Length of the sliding overload window.
    #[serde(rename = "fall_span_s")]
    pub overload_window_s: f64,
    /// How long after the start of an attempt without an answer the next message of the same ordering key
    /// must wait. An answer ends the wait earlier.
    #[serde(rename = "key_rest_ms")]
    pub key_cooldown_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_grace_ms: 20.0,
            drain_grace_ms: 500.0,
            slow_start_ratio: 0.21,
            slow_start_duration_s: 8.0,
            overload_ratio: 2.0,
            overload_window_s: 2.0,
            key_cooldown_ms: 100.0,
        }
    }
}

/// How the endpoint list is delivered to couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListDelivery {
    /// Delay between a change of an endpoint and its publication.
    #[serde(rename = "late_s")]
    pub delay_s: f64,
    /// Whether the settings declare the rates in the list as exact. Otherwise couriers ignore the rates.
    pub rates: bool,
}

impl Default for EndpointListDelivery {
    fn default() -> Self {
        EndpointListDelivery { delay_s: 1.0, rates: true }
    }
}

/// A message class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name, which is also the topic of its messages.
    pub name: String,
    /// Relative frequency: the class has `share / sum of all shares` of the messages.
    pub share: f64,
    /// Mean service time.
    pub service_ms: f64,
    /// Latency objective. A message served within it has its full weight.
    #[serde(rename = "aim_s")]
    pub latency_objective_s: f64,
    /// How long after its submission a message may be served.
    pub deadline_s: f64,
    /// Weight of a message served within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Weight of a message served at its deadline, as a fraction of `priority_weight`, from 0 to 1. Between
    /// the latency objective and the deadline the weight falls linearly.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// What a second execution of a message does.
    #[serde(rename = "repeat")]
    pub idempotency: IdempotencyKind,
    /// For keyed messages: how long endpoints recognize a key after the execution that took effect.
    #[serde(rename = "window_s", default)]
    pub dedup_window_s: f64,
    /// For keyed messages: whether only the endpoints of one zone share their keys.
    #[serde(rename = "by_zone", default)]
    pub per_zone: bool,
    /// Whether messages with the same ordering key are delivered in order.
    #[serde(default)]
    pub ordered: bool,
}

/// What a second execution of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyKind {
    /// It does no harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// Endpoints recognize it by its idempotency key within a window, and drop it.
    Keyed,
    /// It takes effect a second time.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A group of destinations with the same parameters. Arrays of two are ranges, `[lowest, highest]`, from
/// which a value is drawn uniformly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name.
    pub name: String,
    /// Number of destinations of this kind.
    pub destinations: u32,
    /// Number of endpoints of each destination.
    pub endpoints: [u32; 2],
    /// Calls per second that the limit of each destination admits; where routes are independent, the limit of
    /// each endpoint admits as many.
    pub rate: [f64; 2],
    /// The quota by which the destinations limit calls.
    #[serde(default = "defaults::rate_limit")]
    pub limit: LimitKind,
    /// Whether calls that are rejected for lack of quota use up quota too.
    #[serde(rename = "refused_count", default)]
    pub rejected_calls_count: bool,
    /// Probability that the answer to a rejected call carries a Retry-After.
    #[serde(rename = "tells_wait", default = "defaults::retry_after_share")]
    pub retry_after_probability: f64,
    /// The Retry-After of an empty token bucket, where `limit` is `rate`.
    #[serde(rename = "wait_ms", default = "defaults::retry_after_ms")]
    pub retry_after_ms: [f64; 2],
    /// Service capacity of a limit, in calls per second, divided by its rate limit (`rate`).
    #[serde(rename = "spare", default = "defaults::capacity_ratio")]
    pub capacity_ratio: f64,
    /// Longest queueing delay: a call that would wait longer is rejected.
    #[serde(rename = "depth_ms", default = "defaults::queue_ms")]
    pub longest_queue_ms: f64,
    /// Coefficient of variation of the service times: standard deviation divided by mean.
    #[serde(rename = "cv", default = "defaults::service_time_variation")]
    pub service_time_variation: f64,
    /// Most connections that an endpoint has open at the same time; further ones are refused. 0 for no limit.
    #[serde(rename = "connections", default)]
    pub max_connections: usize,
    /// Whether each endpoint is an independent route with its own limit. Otherwise all endpoints of a
    /// destination share one limit.
    #[serde(rename = "routes_apart", default)]
    pub independent_routes: bool,
    /// Most messages in one call.
    #[serde(rename = "per_call", default = "defaults::messages_per_call")]
    pub max_messages_per_call: u32,
    /// Capacity that each message in a call after the first takes up, as a fraction of the capacity that the
    /// first takes up.
    #[serde(rename = "item_cost", default = "defaults::additional_message_work")]
    pub additional_message_work: f64,
    /// Interval at which the load reported in answers is updated; 0 if answers report no load.
    #[serde(rename = "report_ms", default = "defaults::load_report_ms")]
    pub load_report_interval_ms: f64,
}
