//! Rollback of effects whose journal records could not be written.
//!
//! The journal is a write-ahead log: an effect that depends on a record takes place only after the record is
//! written.
//!
//! - A 202 depends on the record of the acceptance: after a 202, later processes must deliver the message.
//! - The request of an attempt depends on the record of the attempt, unless the message's class is idempotent
//!   and not ordered: a later process repeats an attempt that it does not know of.
//! - A status notification depends on the record of the completion until the message's deadline: a later
//!   process could attempt a message that was reported as completed. After the deadline it makes no attempt,
//!   and reports the message as failed; so does a notification that leaves without its record.
//! - Rejections, closes and connects depend on no record: repeating them is harmless.
//!
//! Acceptances and attempts are never delayed until their record can be written: they are undone within the
//! iteration. A client gets 503 instead of 202; an attempt ends as [`AttemptOutcome::LocalFault`], and the
//! decision library decides on its message again.

use super::attempts::AttemptId;
use super::connection_pool::{ConnectionId, FinishedAttempt};
use super::effects::CoreEvent;
use super::{Core, JournalState};
use crate::records::{FinalOutcome, IdEnd, Record};
use linnetcart::{AttemptOutcome, Event};
use std::collections::BTreeSet;

impl Core {
    /// Handles the success of writing this iteration's records. Releases the status notifications that waited
    /// for their records.
    pub fn records_written(&mut self) {
        self.set_journal_state(JournalState::Writable);
        if self.notifier.release_all() {
            self.poll_notifier();
        }
    }

    /// Handles the failure to write this iteration's records: rejects the messages accepted in it and undoes
    /// the attempts that need a record. No record can be written until [`Core::records_written`] is called.
    pub fn records_not_written(&mut self, records: &[Record]) {
        self.set_journal_state(JournalState::Unwritable);
        let mut unaccepted = BTreeSet::new();
        for record in records {
            if let Record::Accepted { number, .. } = record {
                unaccepted.insert(*number);
            }
        }
        for record in records {
            let Record::AttemptSent { message, attempt } = record else { continue };
            if unaccepted.contains(message) || self.attempt_needs_record(*message) {
                self.undo_attempt(AttemptId { message: *message, number: attempt.number });
            }
        }
        for number in unaccepted {
            self.undo_acceptance(number);
        }
        self.release_unrecorded_notifications();
        self.poll_notifier();
        self.put_closes_first();
    }

    /// Releases the notifications of messages whose deadline has passed and whose outcome is not recorded. All of
    /// them report a failure: the next process fails every message whose deadline it finds passed, and the platform
    /// must not get two notifications of different meaning.
    pub(super) fn release_unrecorded_notifications(&mut self) {
        for number in self.notifier.due_unrecorded(self.clock.now()) {
            if let Some(message) = self.in_flight.fail_unrecorded(number) {
                self.notifier.release_as(number, message, FinalOutcome::Failed);
                self.effects.record(Record::Completed { message: number, outcome: FinalOutcome::Failed });
            }
        }
    }

    /// Whether an attempt of a message may be sent only after it is recorded.
    pub(super) fn attempt_needs_record(&self, number: u32) -> bool {
        let Some(message) = self.in_flight.get(number) else { return true };
        let class = self.settings.settings.classes.get(usize::from(message.message().class));
        class.is_none_or(|class| class.attempt_needs_record())
    }

    /// Whether a connection is assigned to an attempt.
    pub fn carries_attempt(&self, connection: ConnectionId) -> bool {
        self.pool.attempt_of(connection).is_some()
    }

    /// Handles an attempt whose request of `length` bytes was removed from the connection's send queue,
    /// because the kernel accepted no byte of it (for example, `send` failed with `ENOBUFS`). Left in the
    /// queue, it would be sent at a later time without the check of [`Core::recheck_attempts`].
    pub fn attempt_not_written(&mut self, connection: ConnectionId, length: usize) {
        if let Some(id) = self.pool.attempt_of(connection) {
            self.end_unsent(id, length);
        }
    }

    /// Removes the request of an attempt from this iteration's outputs and ends the attempt as not sent.
    pub(super) fn undo_attempt(&mut self, id: AttemptId) {
        if let Some(length) = self.effects.drop_attempt(id) {
            self.end_unsent(id, length);
        }
    }

    /// Ends an attempt whose request of `length` bytes was counted as sent but never left the process.
    fn end_unsent(&mut self, id: AttemptId, length: usize) {
        if self.attempts.get(id).is_none() {
            return;
        }
        self.counters.unrecorded += 1;
        self.counters.attempts_sent -= 1;
        self.recovery.attempt_undone(id.message);
        if let Some(message) = self.in_flight.get(id.message) {
            let message = message.message().id_text().into_owned();
            self.effects.event(CoreEvent::AttemptUndone { message, attempt: id.number });
        }
        self.pool.retract_request(id, length, self.clock.now());
        self.finish_attempt(FinishedAttempt::new(id, AttemptOutcome::LocalFault));
    }

    /// Rejects a message that was accepted in this iteration, and withdraws it from the decision library.
    fn undo_acceptance(&mut self, number: u32) {
        let rejected = self.effects.reject_acceptance(number);
        self.counters.accepted -= 1;
        self.counters.rejected += rejected;
        self.counters.unrecorded += 1;
        for id in self.attempts.ids_of(number) {
            self.cancel_attempt(id, AttemptOutcome::Cancelled);
        }
        if let Some(message) = self.in_flight.remove(number) {
            let id = &message.message().id;
            self.ended_ids.insert_refused(id, IdEnd::Rejected, self.clock.wall_now());
            let message = message.message().id_text().into_owned();
            self.effects.event(CoreEvent::AcceptanceUndone { message });
        }
        self.decisions.push(Event::ClientCancelled { message: number });
    }
}
