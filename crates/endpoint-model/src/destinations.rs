//! Parameters of the simulation: kinds of destinations, their limits and endpoints, and their recovery.

use linnetcart_conformance::{Idempotency, Time};
use serde::{Deserialize, Serialize};

/// What a kind of destination limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum LimitKind {
    /// No limit except the capacity.
    None,
    /// A rate in calls per second.
    Rate,
    /// A count of calls in each window.
    Window {
        /// Length of the window, in milliseconds.
        ms: u64,
    },
}

/// Range of the Retry-After of a plain rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterRange {
    /// Shortest Retry-After.
    pub shortest: Time,
    /// Longest Retry-After.
    pub longest: Time,
}

/// A kind of destinations.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationKind {
    /// The name of the kind.
    pub name: String,
    /// What the destinations limit.
    pub limit: LimitKind,
    /// Whether rejected calls use up the limit too.
    pub rejected_calls_count: bool,
    /// The fraction of rejections with a Retry-After.
    pub retry_after_probability: f64,
    /// The Retry-After of a plain rate limit.
    pub retry_after: RetryAfterRange,
    /// Capacity as a multiple of the limit.
    pub capacity_ratio: f64,
    /// How long a call may wait in the queue before it is rejected.
    pub longest_queue: Time,
    /// Coefficient of variation of the service times: standard deviation divided by mean.
    pub service_time_variation: f64,
    /// Most connections that an endpoint accepts; 0 for any number.
    pub max_connections: usize,
    /// Whether endpoints are independent routes, each with a limit of its own.
    pub independent_routes: bool,
    /// Most messages in one call.
    pub max_messages_per_call: usize,
    /// Work of each additional message in a call, as a fraction of the work of the first.
    pub additional_message_work: f64,
    /// Interval at which the reported load is updated; 0 for no reports.
    pub load_report_interval: Time,
}

/// An endpoint of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulatedEndpoint {
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The number of its zone.
    pub zone: u8,
}

/// A destination.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedDestination {
    /// The number of the destination.
    pub destination: u32,
    /// The number of its kind.
    pub kind: usize,
    /// Calls per second that the destination admits, or each of its routes where these are independent.
    pub rate: f64,
    /// Its endpoints.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Factor by which its service times differ from the usual ones.
    pub service_time_factor: f64,
}

/// A message class as endpoints see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassWork {
    /// Usual service time, in nanoseconds.
    pub service_time: Time,
    /// What endpoints do with a second execution of a message.
    pub idempotency: Idempotency,
}

/// How destinations recover from outages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryModel {
    /// The fraction of the capacity that is available right after an outage.
    pub slow_start_ratio: f64,
    /// Duration of the recovery ramp, after which the full capacity is available.
    pub slow_start_duration: Time,
    /// A destination in slow start is overloaded by more than this multiple of its capacity within one
    /// window.
    pub overload_ratio: f64,
    /// Length of that window.
    pub overload_window: Time,
}
