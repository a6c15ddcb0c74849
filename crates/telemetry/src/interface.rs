//! What goes into [`crate::Telemetry`] and what comes out of it.

use crate::connection::ConnectionAction;
use crate::counts::Saved;
use crate::host::HostStatus;
use crate::log_event::LogEvent;
use bytes::Bytes;
use linnetcart::Class;
use serde::Serialize;
use std::net::SocketAddr;

/// The courier that reports.
#[derive(Clone, Debug)]
pub struct CourierInfo {
    /// The deployment.
    pub deployment: String,
    /// The courier's number.
    pub courier_index: u32,
    /// The courier's classes, in the order of their numbers.
    pub classes: Vec<NamedClass>,
    /// The priority weight of a late message halves with each further latency objective.
    pub weight_halves: bool,
    /// Spreads reports and retries of couriers.
    pub seed: u64,
}

/// A class with its name in the settings.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// The name.
    pub name: String,
    /// The settings of the class.
    pub class: Class,
}

/// What was found of an earlier run.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The saved document.
    pub saved: Option<Saved>,
    /// The logs after it, oldest first.
    pub logs: Vec<Vec<u8>>,
}

/// Figures of now that no delivery event carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentState {
    /// Messages in flight.
    pub messages_in_flight: usize,
    /// Bytes of messages in flight.
    pub bytes_in_flight: usize,
    /// Call slots in use.
    pub calls_in_flight: usize,
    /// Call slots.
    pub max_calls_in_flight: usize,
    /// Messages that may be in flight.
    pub max_messages_in_flight: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
}

/// An endpoint of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its number.
    pub endpoint: u32,
    /// Its destination's number.
    pub destination: u32,
    /// It is a separate route, with a limit and counts of its own.
    pub independent_route: bool,
}

/// What the owner of [`crate::Telemetry`] is to do, in this order.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Append to the log of counts.
    Append(Vec<u8>),
    /// Bring the log to disk, then call [`crate::Telemetry::synced`] with this number.
    Sync(u64),
    /// For the connection to Graphite.
    Graphite(ConnectionAction),
    /// Send a datagram to collectd.
    Datagram(SocketAddr, Bytes),
    /// Log a warning.
    Log(LogEvent),
    /// Log for the record.
    Info(LogEvent),
}

/// Why the log of counts is not on disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// The log could not be brought to disk, or cannot be at all.
    #[error("{0}")]
    Storage(String),
    /// The log is not on disk after the time allowed.
    #[error("bringing the counts to disk takes too long")]
    Timeout,
}

/// How the reporting fares, for the status page. The names of its fields are part of that page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Reports begun.
    pub reports: u64,
    /// Points of the last one.
    pub points: usize,
    /// Cells of counts.
    pub cells: usize,
    /// Counted beyond the limit of cells, since the start.
    pub beyond: u64,
    /// Connected to Graphite.
    #[serde(rename = "graphite_up")]
    pub graphite_connected: Option<bool>,
    /// Bytes that wait for Graphite.
    pub graphite_waiting: usize,
    /// Points dropped, since the start.
    pub dropped: u64,
    /// Seconds that timestamps are ahead of the clock.
    #[serde(rename = "stamps_ahead_s")]
    pub timestamps_ahead_s: f64,
    /// The log of counts cannot be brought to disk; counts are not reported meanwhile.
    pub counts_not_safe: bool,
    /// The host.
    pub host: Option<HostStatus>,
}
