//! Limits and permissions of a courier, and its settings for connections and clocks.

use serde::{Deserialize, Serialize};

/// Capacity limits of a courier. At a limit it sheds messages, which clients may retry, or stops reading from
/// a connection (backpressure). No accepted message is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of calls in flight at once: the slots of this courier.
    #[serde(rename = "slots")]
    pub max_calls: u32,
    /// Maximum number of messages in flight, sent or not. Messages beyond it are shed.
    #[serde(rename = "held")]
    pub max_in_flight: u32,
    /// Maximum size of the messages in flight, in bytes. Messages beyond it are shed.
    #[serde(default = "default_in_flight_bytes", rename = "held_bytes")]
    pub max_in_flight_bytes: usize,
    /// Maximum number of attempts per message.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Maximum size of one request, in bytes. The connection of a longer request is closed.
    #[serde(default = "default_request_bytes", rename = "request_bytes")]
    pub max_request_bytes: usize,
    /// Maximum number of pipelined requests per client connection. At the limit the connection is not read.
    #[serde(default = "default_pipelined", rename = "pipelined")]
    pub max_pipelined: usize,
    /// Maximum size of responses that wait to be written to a client, in bytes. At the limit its connection
    /// is not read.
    #[serde(default = "default_unsent_bytes", rename = "unsent_bytes")]
    pub max_unsent_bytes: usize,
    /// Upper bound (exclusive) of destination numbers, which are also the partition numbers of every topic.
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

/// Optional mechanisms of delivery, and whether the courier may use them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Whether the courier may cancel an attempt in flight.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// Whether a message may have two attempts in flight at once (hedged requests).
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
    /// Longest Retry-After that clients respect, in milliseconds; 0 if they respect none.
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

/// Use of connections to endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Maximum number of concurrent calls on one connection.
    #[serde(rename = "calls")]
    pub max_calls: u32,
    /// Idle time after which a connection is closed, in milliseconds.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// Time within which a connection must be established, in milliseconds. A connection that takes longer
    /// has failed.
    pub connect_timeout_ms: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { max_calls: 1, idle_timeout_ms: 10_000, connect_timeout_ms: 1000 }
    }
}

/// How far clocks of clients are trusted. The clock of a client determines the age of a message when it
/// arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClocksDoc {
    /// Maximum clock skew between a client and this courier, in either direction, in milliseconds.
    #[serde(rename = "apart_ms")]
    pub max_skew_ms: u64,
    /// Whether the timestamp of a record is its submission time, as Kafka producers set it by default
    /// (`CreateTime`).
    #[serde(rename = "record_time")]
    pub timestamps_are_creation_times: bool,
}

impl Default for ClocksDoc {
    fn default() -> Self {
        ClocksDoc { max_skew_ms: 50, timestamps_are_creation_times: true }
    }
}
