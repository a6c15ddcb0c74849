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

/// Logs an event: each step of a message, so that its history can be put together, and other events at a limited
/// rate.
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
        event => log_message_event(&event),
    }
}

/// Logs a step of a message, which lines name by its `number` in this process.
fn log_message_event(event: &DeliveryEvent) {
    match event {
        DeliveryEvent::Accepted { message: number, name, class, destination, .. } => {
            let id = String::from_utf8_lossy(name);
            tracing::info!(%id, number, class, destination, "message accepted");
        }
        DeliveryEvent::Rejected { class, destination, reason } => {
            tracing::info!(class, destination, ?reason, "message rejected");
        }
        DeliveryEvent::AttemptStarted { message: number, attempt, endpoint, hedge, .. } => {
            tracing::info!(number, attempt, endpoint, hedge, "attempt started");
        }
        DeliveryEvent::AttemptFinished { message: number, attempt, endpoint, outcome, .. } => {
            tracing::info!(number, attempt, endpoint, ?outcome, "attempt finished");
        }
        DeliveryEvent::Completed { message: number, answer, .. } => {
            tracing::info!(number, ?answer, "message completed");
        }
        DeliveryEvent::ClientCancelled { message: number, .. } => {
            tracing::info!(number, "message cancelled, its client disconnected");
        }
        other => tracing::trace!(event = ?other, "delivery event"),
    }
}
