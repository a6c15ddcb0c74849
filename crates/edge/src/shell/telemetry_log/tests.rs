//! Log lines of telemetry in the plain format.

use super::*;
use linnetcart_telemetry::collectd::PacketError;
use linnetcart_telemetry::host::{HostNotification, HostStatus};
use linnetcart_telemetry::SyncError;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// A log in memory.
#[derive(Clone, Default)]
struct CollectedLog {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for CollectedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the log lines of these events, without timestamps.
fn lines(events: &[LogEvent]) -> Vec<String> {
    let log = CollectedLog::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .with_target(false)
        .with_ansi(false)
        .without_time()
        .finish();
    tracing::subscriber::with_default(subscriber, || events.iter().for_each(log_event));
    let bytes = log.bytes.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap().lines().map(|line| line.trim().to_owned()).collect()
}

/// Operators search logs for these messages, which `docs/operations/telemetry.md` lists. The test guards
/// against changed texts.
#[test]
fn events_logged_are_constant_messages_with_fields() {
    let notification = |text: &str| HostNotification { host: "h".into(), severity: 1, text: text.to_owned() };
    let events = [
        LogEvent::ClockSetBack { timestamps_ahead_s: 3600 },
        LogEvent::CountsWithheld { reason: SyncError::Storage("no space".into()) },
        LogEvent::CountsReportedAgain,
        LogEvent::HostPacketRejected { error: PacketError::InsufficientSecurity },
        LogEvent::HostNotifications(vec![notification("disk full"), notification("link down")]),
        LogEvent::HostMetrics(HostStatus::default()),
    ];
    let wanted = [
        "WARN wall clock set back, timestamps slowed timestamps_ahead_s=3600",
        "WARN counter log not on disk, counts withheld from reports reason=no space",
        "WARN counter log on disk again, counts reported",
        "WARN host metrics packet rejected error=the packet must be signed or encrypted",
        "WARN host notification host=\"h\" severity=1 text=\"disk full\"",
        "WARN host notification host=\"h\" severity=1 text=\"link down\"",
        "INFO host metrics status=packets_rejected=0",
    ];
    assert_eq!(lines(&events), wanted);
}
