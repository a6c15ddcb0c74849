//! The limits of a courier, its permissions, and what it assumes of connections and clocks.

use serde::{Deserialize, Serialize};

/// The limits of a courier. At a limit, messages are rejected or connections are not read. Nothing is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Calls out at once.
    #[serde(rename = "slots")]
    pub max_calls: u32,
    /// Messages in flight, sent or not. Messages beyond the limit are shed.
    #[serde(rename = "held")]
    pub max_in_flight: u32,
    /// Bytes of the messages in flight. Messages beyond the limit are shed.
    #[serde(default = "default_in_flight_bytes", rename = "held_bytes")]
    pub max_in_flight_bytes: usize,
    /// Attempts for a message.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Bytes of one request. A longer request closes its connection.
    #[serde(default = "default_request_bytes", rename = "request_bytes")]
    pub max_request_bytes: usize,
    /// Requests of one connection without a response. At the limit the connection is not read.
    #[serde(default = "default_pipelined", rename = "pipelined")]
    pub max_pipelined: usize,
    /// Bytes of responses that a client has not read. At the limit the connection is not read.
    #[serde(default = "default_unsent_bytes", rename = "unsent_bytes")]
    pub max_unsent_bytes: usize,
    /// The highest destination number plus one. A destination number is also a partition number.
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

/// What a courier is permitted to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Whether it may cancel an attempt that is out.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Whether it may have two attempts of a message out at once.
    #[serde(rename = "copies")]
    pub hedging: bool,
    /// Health checks of endpoints. This program does not support them, so the value must be `false`.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Gossip between couriers. This program does not support it, so the value must be `false`.
    #[serde(rename = "notes")]
    pub gossip: bool,
    /// Polling of the endpoint list. This program receives the list by `PUT /list`, so the value must be
    /// `false`.
    #[serde(rename = "list_asked")]
    pub list_polled: bool,
    /// The longest Retry-After that clients respect, 0 if they respect none.
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
    /// How many calls one connection carries at once.
    #[serde(rename = "calls")]
    pub max_calls: u32,
    /// After how long an idle connection is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// After how long a connection that is not ready has failed.
    pub connect_timeout_ms: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { max_calls: 1, idle_timeout_ms: 10_000, connect_timeout_ms: 1000 }
    }
}

/// Clocks of clients, which determine how old a message is when it arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClocksDoc {
    /// The greatest difference between a client's clock and the courier's, in either direction.
    #[serde(rename = "apart_ms")]
    pub max_skew_ms: u64,
    /// Whether the timestamp of a record is the time at which it was submitted, as producers set it by
    /// default.
    #[serde(rename = "record_time")]
    pub timestamps_are_creation_times: bool,
}

impl Default for ClocksDoc {
    fn default() -> Self {
        ClocksDoc { max_skew_ms: 50, timestamps_are_creation_times: true }
    }
}
