use super::*;

/// Operators search logs for these: `docs/operations/telemetry.md`.
#[test]
fn events_displayed_are_constant_messages_with_fields() {
    let notification = HostNotification { host: "h".into(), severity: 1, text: "disk full".into() };
    let events = [
        LogEvent::ClockSetBack { timestamps_ahead_s: 3600 },
        LogEvent::CountsWithheld { reason: SyncError::Storage("no space".into()) },
        LogEvent::CountsReportedAgain,
        LogEvent::HostPacketRejected { error: PacketError::InsufficientSecurity },
        LogEvent::HostNotifications(vec![notification]),
        LogEvent::HostMetrics(HostStatus::default()),
    ];
    let wanted = [
        "wall clock set back, timestamps slowed timestamps_ahead_s=3600",
        "counter log not on disk, counts withheld from reports reason=\"no space\"",
        "counter log on disk again, counts reported",
        "host metrics packet rejected error=\"the packet must be signed or encrypted\"",
        "host notification host=\"h\" severity=1 text=\"disk full\"",
        "host metrics packets_rejected=0",
    ];
    assert_eq!(events.map(|event| event.to_string()), wanted);
}
