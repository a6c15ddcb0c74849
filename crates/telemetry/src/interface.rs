//! Inputs and outputs of [`crate::Telemetry`].

use crate::connection::ConnectionAction;
use crate::counts::Saved;
use crate::host::HostStatus;
use crate::log_event::LogEvent;
use bytes::Bytes;
use linnetcart::Class;
use serde::Serialize;
use std::net::SocketAddr;

/// Identity and settings of the courier that reports, which do not change while it runs.
#[derive(Clone, Debug)]
pub struct CourierInfo {
    /// Name of the deployment, a part of series names.
    pub deployment: String,
    /// Number of the courier in the deployment, a part of series names.
    pub courier_index: u32,
    /// The courier's classes, in the order of their numbers.
    pub classes: Vec<NamedClass>,
    /// Whether the priority weight of a late message halves with each further latency objective
    /// (exponential decay) instead of decreasing linearly; see [`Class::weight_at`].
    pub weight_halves: bool,
    /// Seed of the random generator that spreads reports and reconnections over time and draws the
    /// initialization vectors of encrypted packets.
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
    /// The last snapshot of the counts; `None` if none was saved.
    pub saved: Option<Saved>,
    /// The counter logs begun since the snapshot, oldest first.
    pub logs: Vec<Vec<u8>>,
}

/// Current values of the courier's gauges, which no delivery event carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentState {
    /// Number of messages in flight.
    pub messages_in_flight: usize,
    /// Total size of the messages in flight, in bytes.
    pub bytes_in_flight: usize,
    /// Number of calls in flight.
    pub calls_in_flight: usize,
    /// The limit on calls in flight, from the settings.
    pub max_calls_in_flight: usize,
    /// The limit on messages in flight, from the settings.
    pub max_messages_in_flight: usize,
    /// Number of open connections of clients.
    pub clients: usize,
    /// Number of open connections to endpoints.
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
    /// Append these bytes to the counter log, before answers of the same iteration are sent to clients.
    Append(Vec<u8>),
    /// Sync everything appended to the counter log so far to disk, then call [`crate::Telemetry::synced`]
    /// with this number.
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
    #[error("syncing the counter log to disk timed out")]
    Timeout,
}

/// Status of the reporting. The serialized names of the fields are part of the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Number of reports begun by this process.
    pub reports: u64,
    /// Number of points of the last report, so far if it is in progress.
    pub points: usize,
    /// Number of cells in the counter store: one for each destination and class or independent route with
    /// counts, and one for the reports themselves.
    pub cells: usize,
    /// Sum of the increases that were not counted because the maximum number of cells was reached, since the
    /// start of the process.
    pub beyond: u64,
    /// Whether the connection to Graphite is established; `None` without a Graphite receiver.
    #[serde(rename = "graphite_up")]
    pub graphite_connected: Option<bool>,
    /// Bytes in the send buffer of the Graphite receiver.
    pub graphite_waiting: usize,
    /// Number of points dropped from the send buffer since the Graphite receiver was configured.
    pub dropped: u64,
    /// How far the timestamp of the last report was ahead of the wall clock, in seconds.
    #[serde(rename = "stamps_ahead_s")]
    pub timestamps_ahead_s: f64,
    /// Whether syncs of the counter log fail; counts are not reported meanwhile.
    pub counts_not_safe: bool,
    /// Metrics of the host, from its own collectd; `None` without a listener.
    pub host: Option<HostStatus>,
}
