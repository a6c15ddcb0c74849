//! Inputs and outputs of [`crate::Telemetry`].

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
    /// Name of the deployment.
    pub deployment: String,
    /// Number of the courier.
    pub courier_index: u32,
    /// The courier's classes, in the order of their numbers.
    pub classes: Vec<NamedClass>,
    /// Whether the priority weight of a late message halves with each further latency objective.
    pub weight_halves: bool,
    /// Seed that spreads the reports and retries of couriers.
    pub seed: u64,
}

/// A class with its name in the settings.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// Name of the class in the settings.
    pub name: String,
    /// The settings of the class.
    pub class: Class,
}

/// The stored state of an earlier run.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The saved document.
    pub saved: Option<Saved>,
    /// The counter logs after the document, oldest first.
    pub logs: Vec<Vec<u8>>,
}

/// Current values that no delivery event carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentState {
    /// Messages in flight.
    pub messages_in_flight: usize,
    /// Bytes of messages in flight.
    pub bytes_in_flight: usize,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Maximum number of calls in flight.
    pub max_calls_in_flight: usize,
    /// Maximum number of messages in flight.
    pub max_messages_in_flight: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
}

/// An endpoint of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Number of the endpoint.
    pub endpoint: u32,
    /// Number of the endpoint's destination.
    pub destination: u32,
    /// Whether the endpoint is an independent route, with a limit and counts of its own.
    pub independent_route: bool,
}

/// An action for the owner of [`crate::Telemetry`]. Actions must be performed in their order.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Append these bytes to the counter log.
    Append(Vec<u8>),
    /// Sync the counter log to disk, then call [`crate::Telemetry::synced`] with this number.
    Sync(u64),
    /// Perform an action on the connection to Graphite.
    Graphite(ConnectionAction),
    /// Send a datagram to collectd.
    Datagram(SocketAddr, Bytes),
    /// Log at warning level.
    LogWarning(LogEvent),
    /// Log at info level.
    LogInfo(LogEvent),
}

/// Why a sync of the counter log failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// The log could not be written, or there is no directory for it.
    #[error("{0}")]
    Storage(String),
    /// The sync did not finish in time.
    #[error("bringing the counts to disk takes too long")]
    Timeout,
}

/// Status of the reporting. The serialized names of the fields are part of the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Number of reports that were begun.
    pub reports: u64,
    /// Number of points of the last report.
    pub points: usize,
    /// Number of counter cells.
    pub cells: usize,
    /// Sum of the counts beyond the maximum number of cells, since the start.
    pub beyond: u64,
    /// Whether the connection to Graphite is established; `None` without a Graphite receiver.
    #[serde(rename = "graphite_up")]
    pub graphite_connected: Option<bool>,
    /// Bytes that wait to be written to Graphite.
    pub graphite_waiting: usize,
    /// Points dropped since the receiver was configured.
    pub dropped: u64,
    /// How far timestamps are ahead of the wall clock, in seconds.
    #[serde(rename = "stamps_ahead_s")]
    pub timestamps_ahead_s: f64,
    /// Whether syncs of the counter log fail; counts are not reported meanwhile.
    pub counts_not_safe: bool,
    /// Metrics of the host; `None` without a listener.
    pub host: Option<HostStatus>,
}
