//! Events for the operator's log. The program formats the log lines.

use crate::collectd::PacketError;
use crate::host::{HostNotification, HostStatus};
use crate::SyncError;

/// A condition of the reporting, the counter log or the host that operators are told about.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The wall clock was set back; report timestamps advance slowly until the wall clock has caught up.
    ClockSetBack {
        /// How far report timestamps are ahead of the wall clock, in seconds.
        timestamps_ahead_s: u64,
    },
    /// A sync of the counter log to disk failed; counts are not reported until a sync succeeds.
    CountsWithheld {
        /// Why the sync failed.
        reason: SyncError,
    },
    /// A sync of the counter log to disk succeeded after failures; counts are reported again.
    CountsReportedAgain,
    /// A packet of the host's collectd was rejected.
    HostPacketRejected {
        /// Why the packet was rejected.
        error: PacketError,
    },
    /// The host's collectd sent notifications of faults.
    HostNotifications(Vec<HostNotification>),
    /// The last metrics of the host, which are logged every minute.
    HostMetrics(HostStatus),
}
