//! Parameters of the simulation: kinds of destinations, their limits and endpoints, and slow start.

use linnetcart_conformance::{Idempotency, Time};
use serde::{Deserialize, Serialize};

/// The quota by which a kind of destination limits calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum LimitKind {
    /// No quota: calls are rejected only if the queue is too long.
    None,
    /// A token bucket, refilled at the rate of the destination.
    Rate,
    /// A fixed-window counter that admits `rate * ms / 1000` calls, at least one, in each window.
    Window {
        /// Length of the window, in milliseconds.
        ms: u64,
    },
}

/// Range from which the Retry-After of an empty token bucket ([`LimitKind::Rate`]) is drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterRange {
    /// Shortest Retry-After, in nanoseconds.
    pub shortest: Time,
    /// Longest Retry-After, in nanoseconds.
    pub longest: Time,
}

/// The parameters that all destinations of one kind share.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationKind {
    /// The name of the kind.
    pub name: String,
    /// The quota by which the destinations limit calls.
    pub limit: LimitKind,
    /// Whether calls that are rejected for lack of quota use up quota too.
    pub rejected_calls_count: bool,
    /// Probability that the answer to a rejected call carries a Retry-After.
    pub retry_after_probability: f64,
    /// The Retry-After of an empty token bucket. An exhausted window or a closed limit gives the time until
    /// it admits calls again, a full queue gives `longest_queue`.
    pub retry_after: RetryAfterRange,
    /// Service capacity of a limit, in calls per second, divided by its rate limit
    /// ([`SimulatedDestination::rate`]).
    pub capacity_ratio: f64,
    /// Longest queueing delay in nanoseconds: a call that would wait longer is rejected.
    pub longest_queue: Time,
    /// Coefficient of variation of the service times: standard deviation divided by mean.
    pub service_time_variation: f64,
    /// Most connections that an endpoint has open at the same time; further ones are refused. 0 for no limit.
    pub max_connections: usize,
    /// Whether each endpoint is an independent route with its own limit. Otherwise all endpoints of a
    /// destination share one limit.
    pub independent_routes: bool,
    /// Most messages in one call.
    pub max_messages_per_call: usize,
    /// Capacity that each message in a call after the first takes up, as a fraction of the capacity that the
    /// first takes up.
    pub additional_message_work: f64,
    /// Interval at which the load reported in answers is updated, in nanoseconds; 0 if answers report no
    /// load.
    pub load_report_interval: Time,
}

/// An endpoint of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulatedEndpoint {
    /// The number of the endpoint, unique over all destinations.
    pub endpoint: u32,
    /// The zone of the endpoint, as an index into the list of zones.
    pub zone: u8,
}

/// The parameters of one destination.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedDestination {
    /// The number of the destination.
    pub destination: u32,
    /// The kind of the destination, as an index into the kinds that the simulator was created with.
    pub kind: usize,
    /// Calls per second that the limit of the destination admits; where routes are independent, the limit of
    /// each endpoint admits as many.
    pub rate: f64,
    /// The endpoints of the destination.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Factor by which the mean service times of the classes are multiplied at this destination.
    pub service_time_factor: f64,
}

/// A message class as endpoints see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassWork {
    /// Mean service time, in nanoseconds.
    pub service_time: Time,
    /// What a second execution of a message does, and how endpoints recognize one.
    pub idempotency: Idempotency,
}

/// Slow start after an outage: at time `t` after its end, the available capacity is
/// `capacity * (r + (1 - r) * t / d)`, with ratio `r` and duration `d`, until `t` reaches `d`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryModel {
    /// The fraction of the capacity that is available right after an outage (`r`).
    pub slow_start_ratio: f64,
    /// Duration of the ramp in nanoseconds, after which the full capacity is available (`d`).
    pub slow_start_duration: Time,
    /// A limit in slow start is overloaded if the calls of one overload window exceed this multiple of the
    /// calls that its available capacity serves in one window.
    pub overload_ratio: f64,
    /// Length of the sliding overload window, in nanoseconds.
    pub overload_window: Time,
}
