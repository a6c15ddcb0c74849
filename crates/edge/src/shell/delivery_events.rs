//! Passes delivery events of the core to telemetry and to the log.

use super::log_limit::LogLimiter;
use super::Shell;
use crate::delivery_events::DeliveryEvent;
use linnetcart::Time;
use linnetcart_courier_common::log_limit_change;

impl Shell {
    /// Counts and logs the delivery events since the last call.
    pub(super) fn record_delivery_events(&mut self) {
        // Reporting must start before the first event is taken from the core, so that every event is counted.
        self.configure_reporting();
        let now = self.now();
        let Some(core) = &mut self.program.core else { return };
        for event in core.delivery_events() {
            if let Some(reporting) = &mut self.reporting {
                reporting.record(&event);
            }
            log_delivery_event(&mut self.log_limiter, now, event);
        }
    }
}

/// Logs an event. Lines that a peer or a destination can cause are rate-limited.
fn log_delivery_event(limiter: &mut LogLimiter, now: Time, event: DeliveryEvent) {
    match event {
        DeliveryEvent::LimitChanged(change) if limiter.permits(now) => log_limit_change(&change),
        DeliveryEvent::UnsupportedAction(action) if limiter.permits(now) => {
            tracing::info!(?action, "unsupported action ignored");
        }
        DeliveryEvent::ProtocolViolation { peer, reason } if limiter.permits(now) => {
            tracing::warn!(peer, reason, "connection closed after a protocol violation");
        }
        DeliveryEvent::LimitChanged(_)
        | DeliveryEvent::UnsupportedAction(_)
        | DeliveryEvent::ProtocolViolation { .. } => {}
        other => tracing::trace!(event = ?other, "delivery event"),
    }
}
