//! What becomes of an iteration whose records could not be written.
//!
//! | effect | depends on | why |
//! | --- | --- | --- |
//! | 202 | the record of the acceptance | the message is owed from then on, also by the next process |
//! | call | the record of the attempt, unless its class needs none | the next process would repeat the attempt |
//! | status notification | the record of the completion, until the message's time is over | the next process would \
//!   attempt a message of which the platform was notified; after its time it cannot, and a repeated notification \
//!   is harmless |
//! | refusal, close, connect | nothing | repeating them is harmless |
//!
//! Nothing waits for a record and leaves later: what depends on a missing one is undone at once, as never sent,
//! and decided anew when records can be written.

use super::attempts::AttemptId;
use super::clock::MILLISECOND;
use super::connection_pool::{ConnectionId, FinishedAttempt};
use super::effects::CoreEvent;
use super::{Core, JournalState};
use crate::records::Record;
use linnetcart::{AttemptOutcome, Event, Time};
use std::collections::BTreeSet;

/// An attempt is not sent on input that is older: calls within 100 ms of a Retry-After are let through.
const MAX_INPUT_AGE: Time = 30 * MILLISECOND;

impl Core {
    /// The records of this iteration are written: its effects may be carried out.
    pub fn records_written(&mut self) {
        self.set_journal_state(JournalState::Writable);
        if self.notifier.release_all() {
            self.poll_notifier();
        }
    }

    /// The records of this iteration are not written, and none can be until [`Core::records_written`].
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
        self.put_closes_first();
    }

    /// Whether an attempt of a message may begin only once it is recorded.
    pub(super) fn attempt_needs_record(&self, number: u32) -> bool {
        let Some(message) = self.in_flight.get(number) else { return true };
        let class = self.settings.settings.classes.get(usize::from(message.message().class));
        class.is_none_or(|class| class.attempt_needs_record())
    }

    /// Checks the attempts of this iteration again right before they are sent. `input_read_at` is when the input was
    /// read that they were decided on. If the process was held up since, an answer, a Retry-After or an endpoint's
    /// drain may have arrived: the attempts are undone, and decided anew on that.
    pub fn recheck_attempts(&mut self, input_read_at: Time, now: Time) {
        let is_outdated = now > input_read_at + MAX_INPUT_AGE;
        for id in self.effects.attempts() {
            if is_outdated || self.attempts.get(id).is_some_and(|attempt| attempt.deadline <= now) {
                self.undo_attempt(id);
            }
        }
    }

    /// Whether a connection carries the request of an attempt.
    pub fn carries_attempt(&self, connection: ConnectionId) -> bool {
        self.pool.attempt_of(connection).is_some()
    }

    /// The system accepts no byte at present on the connection of an attempt, whose request of `length` bytes was
    /// taken back. It would leave at some later time, unjudged.
    pub fn attempt_not_written(&mut self, connection: ConnectionId, length: usize) {
        if let Some(id) = self.pool.attempt_of(connection) {
            self.end_unsent(id, length);
        }
    }

    /// Ends an attempt of this iteration as not sent.
    fn undo_attempt(&mut self, id: AttemptId) {
        if let Some(length) = self.effects.drop_attempt(id) {
            self.end_unsent(id, length);
        }
    }

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

    /// Rejects a message that was accepted in this iteration.
    fn undo_acceptance(&mut self, number: u32) {
        let rejected = self.effects.reject_acceptance(number);
        self.counters.accepted -= 1;
        self.counters.rejected += rejected;
        self.counters.unrecorded += 1;
        for id in self.attempts.ids_of(number) {
            self.cancel_attempt(id, AttemptOutcome::Cancelled);
        }
        if let Some(message) = self.in_flight.remove(number) {
            let message = message.message().id_text().into_owned();
            self.effects.event(CoreEvent::AcceptanceUndone { message });
        }
        self.decisions.push(Event::ClientCancelled { message: number });
    }
}
