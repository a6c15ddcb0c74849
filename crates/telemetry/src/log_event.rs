//! The events that are logged. The fronts have the wording of the log lines.

use crate::collectd::PacketError;
use crate::host::{HostNotification, HostStatus};
use crate::SyncError;

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The wall clock was set back; timestamps slow down until it has caught up.
    ClockSetBack {
        /// How far timestamps are ahead of it.
        timestamps_ahead_s: u64,
    },
    /// The log of counts is not on disk; counts are not reported until it is.
    CountsWithheld {
        /// Why it is not on disk.
        reason: SyncError,
    },
    /// The log of counts is on disk again.
    CountsReportedAgain,
    /// A packet of the host's collectd was rejected.
    HostPacketRejected {
        /// Why.
        error: PacketError,
    },
    /// The host's collectd notified of faults.
    HostNotifications(Vec<HostNotification>),
    /// The host's metrics of now.
    HostMetrics(HostStatus),
}
