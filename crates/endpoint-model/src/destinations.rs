//! What destinations are made of: kinds, limits, endpoints, and the figures of their recovery.

use linnetcart_conformance::{Idempotency, Time};
use serde::{Deserialize, Serialize};

/// What a kind of destination limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum LimitKind {
    /// Nothing but its capacity.
    None,
    /// A plain rate.
    Rate,
    /// A count in each window of so many milliseconds.
    Window {
        /// Length of the window.
        ms: u64,
    },
}

/// The Retry-After that a plain rate gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterRange {
    /// At least this.
    pub shortest: Time,
    /// At most this.
    pub longest: Time,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationKind {
    /// Its name.
    pub name: String,
    /// What it limits.
    pub limit: LimitKind,
    /// Rejected calls use up the limit too.
    pub rejected_calls_count: bool,
    /// Share of rejections that give a Retry-After.
    pub retry_after_probability: f64,
    /// The Retry-After of a plain rate.
    pub retry_after: RetryAfterRange,
    /// Capacity over the limit.
    pub capacity_ratio: f64,
    /// How long a call may wait in the queue.
    pub longest_queue: Time,
    /// Spread of the service times: deviation over mean.
    pub service_time_variation: f64,
    /// Connections that an endpoint accepts; 0 for any number.
    pub max_connections: usize,
    /// Endpoints are independent routes, each with a limit of its own.
    pub independent_routes: bool,
    /// Messages in one call at most.
    pub max_messages_per_call: usize,
    /// Work of a further message in a call, as a part of the first's.
    pub additional_message_work: f64,
    /// Load is reported this often; 0 for never.
    pub load_report_interval: Time,
}

/// An endpoint of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SimulatedEndpoint {
    /// Its number.
    pub endpoint: u32,
    /// Its zone.
    pub zone: u8,
}

/// A destination.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedDestination {
    /// Its number.
    pub destination: u32,
    /// The number of its kind.
    pub kind: usize,
    /// Calls a second that it, or each of its routes, admits.
    pub rate: f64,
    /// Its endpoints.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Its service times over the usual ones.
    pub service_time_factor: f64,
}

/// A class of message as endpoints see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassWork {
    /// Usual service time.
    pub service_time: Time,
    /// What endpoints do with a repeated message.
    pub idempotency: Idempotency,
}

/// How destinations come back from outages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryModel {
    /// Share of the capacity right after an outage.
    pub slow_start_ratio: f64,
    /// All of it after this.
    pub slow_start_duration: Time,
    /// Sent more than this multiple of its capacity, a destination in slow start is overloaded,
    pub overload_ratio: f64,
    /// when that goes on for this long.
    pub overload_window: Time,
}
