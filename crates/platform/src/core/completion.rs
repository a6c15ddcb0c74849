//! Completion: the final outcome of a message, its notification and the end of its life in the tables.

use super::clock::MILLISECOND;
use super::counters::RecoveryCounts;
use super::effects::CoreEvent;
use super::Core;
use crate::records::{FinalOutcome, Record};

impl Core {
    /// Completes a message as delivered. Returns `false` if it had its final outcome already. Within a
    /// millisecond of the deadline the message fails instead: endpoints get their time limit in milliseconds
    /// and may have ignored the message.
    pub(super) fn complete_delivered(&mut self, number: u32) -> bool {
        let Some(message) = self.in_flight.get(number).filter(|message| !message.is_completed()) else {
            return false;
        };
        if message.deadline < self.clock.now() + MILLISECOND {
            self.complete_undelivered(number, FinalOutcome::Failed);
            return true;
        }
        self.in_flight.complete(number, FinalOutcome::Delivered);
        self.effects.record(Record::Completed { message: number, outcome: FinalOutcome::Delivered });
        true
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
        self.notifier.push(number, message, outcome);
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
        self.settle(number);
    }

    /// Removes a message that is completed and acknowledged and has no attempt in flight. Its id stays known
    /// until its deadline, unless it was returned.
    pub(super) fn settle(&mut self, number: u32) {
        let Some(settled) = self.in_flight.take_settled(number) else { return };
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
