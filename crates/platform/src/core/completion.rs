//! Completion: the final outcome of a message, its notification and the end of its life in the tables.

use super::clock::MILLISECOND;
use super::counters::RecoveryCounts;
use super::effects::CoreEvent;
use super::Core;
use crate::records::{FinalOutcome, Record};
use linnetcart::Time;

/// An answer that arrives less than this before the message's deadline is no proof of delivery.
const DEADLINE_RESOLUTION: Time = MILLISECOND;

/// The effect of an endpoint's report that a message is executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedDelivery {
    /// The message is completed as delivered.
    Delivered,
    /// The message is completed as failed, because the report arrived at its deadline.
    TooLate,
    /// No effect: the message had its final outcome already, or is no longer in flight.
    AlreadyCompleted,
}

impl Core {
    /// Completes a message that an endpoint reports as executed. The endpoint counts whole milliseconds and
    /// may already have dropped the message; an answer in the last millisecond is recorded as
    /// [`FinalOutcome::Failed`].
    pub(super) fn complete_delivered(&mut self, number: u32) -> ReportedDelivery {
        let Some(message) = self.in_flight.get(number).filter(|message| !message.is_completed()) else {
            return ReportedDelivery::AlreadyCompleted;
        };
        if message.deadline < self.clock.now() + DEADLINE_RESOLUTION {
            self.complete_undelivered(number, FinalOutcome::Failed);
            return ReportedDelivery::TooLate;
        }
        tracing::debug!(id = %message.message().id_text(), outcome = ?FinalOutcome::Delivered, "message completed");
        self.in_flight.complete(number, FinalOutcome::Delivered);
        self.effects.record(Record::Completed { message: number, outcome: FinalOutcome::Delivered });
        ReportedDelivery::Delivered
    }

    /// Completes a message that was not delivered and queues the status notification, unless the message had
    /// its final outcome already.
    pub(super) fn complete_undelivered(&mut self, number: u32, outcome: FinalOutcome) {
        if !self.in_flight.complete(number, outcome) {
            return;
        }
        let Some(completed) = self.in_flight.get(number) else { return };
        let message = completed.message();
        tracing::debug!(id = %message.id_text(), ?outcome, "message completed");
        self.effects.record(Record::Completed { message: number, outcome });
        self.notifier.push(number, message, outcome, completed.deadline);
        let recovery = self.recovery.given_up(number);
        self.report_recovery(recovery);
    }

    /// Handles the acknowledgement of a message's status notification.
    pub(super) fn acknowledge(&mut self, number: u32) {
        let Some(acknowledged) = self.in_flight.acknowledge(number) else { return };
        tracing::debug!(id = %acknowledged.id_text(), number, "notification acknowledged");
        let ordering_key = acknowledged.ordering_key;
        self.effects.record(Record::Notified { message: number });
        self.notifier.release(ordering_key, number);
        self.remove_if_settled(number);
    }

    /// Removes a message that is completed and acknowledged and has no attempt in flight. Its id stays known
    /// until its deadline, unless it was returned.
    pub(super) fn remove_if_settled(&mut self, number: u32) {
        let Some(settled) = self.in_flight.remove_if_settled(number) else { return };
        if !settled.is_returned() {
            self.deduplication.insert(settled.message().completed_id(), self.clock.wall_now());
        }
    }

    /// Reports the end of the recovery, once.
    pub(super) fn report_recovery(&mut self, finished: Option<RecoveryCounts>) {
        if let Some(counts) = finished {
            self.effects.event(CoreEvent::RecoveryFinished(counts));
        }
    }
}
