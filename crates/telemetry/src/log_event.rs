//! Events for the log: constant messages with fields.

use crate::collectd::PacketError;
use crate::host::{HostNotification, HostStatus};
use crate::SyncError;
use std::fmt;

#[cfg(test)]
mod tests;

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

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::ClockSetBack { timestamps_ahead_s } => {
                write!(f, "wall clock set back, timestamps slowed timestamps_ahead_s={timestamps_ahead_s}")
            }
            LogEvent::CountsWithheld { reason } => {
                write!(f, "counter log not on disk, counts withheld from reports reason=\"{reason}\"")
            }
            LogEvent::CountsReportedAgain => write!(f, "counter log on disk again, counts reported"),
            LogEvent::HostPacketRejected { error } => {
                write!(f, "host metrics packet rejected error=\"{error}\"")
            }
            LogEvent::HostNotifications(notifications) => {
                write!(f, "host notification")?;
                for HostNotification { host, severity, text } in notifications {
                    write!(f, " host={host:?} severity={severity} text={text:?}")?;
                }
                Ok(())
            }
            LogEvent::HostMetrics(status) => write!(f, "host metrics {status}"),
        }
    }
}
