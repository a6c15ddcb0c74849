//! Events for the operator's log. The program formats the log lines.

use crate::collectd::PacketError;
use crate::host::{HostNotification, HostStatus};
use crate::SyncError;

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The wall clock was set back; timestamps advance slowly until it has caught up.
    ClockSetBack {
        /// How far timestamps are ahead of the wall clock, in seconds.
        timestamps_ahead_s: u64,
    },
    /// The counter log is not on disk; counts are not reported until it is.
    CountsWithheld {
        /// Why the counter log is not on disk.
        reason: SyncError,
    },
    /// The counter log is on disk again.
    CountsReportedAgain,
    /// A packet of the host's collectd was rejected.
    HostPacketRejected {
        /// Why the packet was rejected.
        error: PacketError,
    },
    /// The host's collectd sent notifications of faults.
    HostNotifications(Vec<HostNotification>),
    /// The current metrics of the host.
    HostMetrics(HostStatus),
}
