//! Log lines for the events of telemetry: constant messages with fields, which operators search for.

use linnetcart_telemetry::LogEvent;

/// Logs a telemetry event in one line, or host notifications in one line each.
pub(super) fn log_event(event: &LogEvent) {
    match event {
        LogEvent::ClockSetBack { timestamps_ahead_s } => {
            tracing::warn!(timestamps_ahead_s, "wall clock set back, timestamps slowed");
        }
        LogEvent::CountsWithheld { reason } => {
            tracing::warn!(%reason, "counter log not on disk, counts withheld from reports");
        }
        LogEvent::CountsReportedAgain => tracing::warn!("counter log on disk again, counts reported"),
        LogEvent::HostPacketRejected { error } => {
            tracing::warn!(%error, "host metrics packet rejected");
        }
        LogEvent::HostNotifications(notifications) => {
            for notification in notifications {
                let host = &notification.host;
                let severity = notification.severity;
                let text = &notification.text;
                tracing::warn!(host, severity, text, "host notification");
            }
        }
        LogEvent::HostMetrics(status) => tracing::info!(%status, "host metrics"),
    }
}

#[cfg(test)]
mod tests;
