//! Crash recovery: restores the core's state from the replayed journal, and encodes it as the snapshot with
//! which a new journal file begins.
//!
//! Also counts the recovered messages, and reports once all of them without a possibly executed attempt were
//! attempted or completed without delivery.

use super::clock::Clock;
use super::counters::RecoveryCounts;
use super::decisions::accepted_message;
use super::effects::CoreEvent;
use super::in_flight::InFlightMessage;
use super::Core;
use crate::records::{Completion, FinalOutcome, PendingMessage, Record, Replay};
use linnetcart::{Event, UnresolvedAttempt};
use std::collections::BTreeSet;

/// The progress of the messages that a previous process accepted.
#[derive(Debug, Default)]
pub struct Recovery {
    /// Numbers of the uncompleted messages that were not passed to the decision library yet.
    awaiting_decision: Vec<u32>,
    /// Numbers of the messages that no endpoint has executed and that this process has neither attempted nor
    /// completed.
    untried: BTreeSet<u32>,
    /// Numbers of the messages whose first attempt by this process was sent in the present iteration and can
    /// still be undone.
    first_attempted: BTreeSet<u32>,
    counts: RecoveryCounts,
}

impl Recovery {
    /// Counts a recovered message, and tracks the message if it has no final outcome.
    fn add(&mut self, number: u32, pending: &PendingMessage) {
        self.counts.recovered += 1;
        if pending.completion != Completion::Uncompleted {
            return;
        }
        self.awaiting_decision.push(number);
        if pending.possibly_executed.is_empty() {
            self.counts.untried += 1;
            self.untried.insert(number);
        }
    }

    /// Begins an iteration: attempts of earlier ones can no longer be undone.
    pub fn begin_iteration(&mut self) {
        self.first_attempted.clear();
    }

    /// Takes the numbers of the uncompleted messages that were not passed to the decision library yet.
    pub fn take_awaiting_decision(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.awaiting_decision)
    }

    /// Records that a message was attempted. Returns the counts if it was the last untried message.
    pub fn attempted(&mut self, message: u32) -> Option<RecoveryCounts> {
        if !self.untried.remove(&message) {
            return None;
        }
        self.first_attempted.insert(message);
        self.counts.attempted += 1;
        self.untried.is_empty().then_some(self.counts)
    }

    /// Records that an attempt that was reported by [`Recovery::attempted`] in this iteration was not sent.
    pub fn attempt_undone(&mut self, message: u32) {
        if self.first_attempted.remove(&message) {
            self.counts.attempted -= 1;
            self.untried.insert(message);
        }
    }

    /// Records that a message was completed without delivery. Returns the counts if it was the last untried
    /// message.
    pub fn given_up(&mut self, message: u32) -> Option<RecoveryCounts> {
        if !self.untried.remove(&message) {
            return None;
        }
        self.counts.given_up += 1;
        self.untried.is_empty().then_some(self.counts)
    }

    /// Returns the numbers of recovered messages since the start of the process.
    pub fn counts(&self) -> RecoveryCounts {
        self.counts
    }
}

/// Returns the event that passes a recovered message and its possibly executed attempts to the decision
/// library.
pub fn recovered_event(number: u32, message: &InFlightMessage, clock: Clock) -> Event {
    let mut unresolved = Vec::new();
    for attempt in &message.pending.possibly_executed {
        unresolved.push(UnresolvedAttempt {
            attempt: attempt.number,
            zone: attempt.zone,
            age: clock.wall_now().saturating_sub(attempt.sent_at),
        });
    }
    let time_remaining = message.deadline.saturating_sub(clock.now());
    let accepted = accepted_message(number, message.message(), time_remaining);
    Event::Recovered { message: accepted, attempts: message.pending.attempts, unresolved }
}

impl Core {
    /// Restores the state of the replayed journal.
    pub(super) fn restore(&mut self, replay: Replay) {
        for completed in replay.completed {
            self.ended_ids.insert_accepted(completed, self.clock.wall_now());
        }
        // The cooldown starts again in full length: the endpoint may have noticed the end of the attempt only
        // when the previous process exited.
        for (ordering_key, until) in replay.key_cooldowns {
            if until > self.clock.wall_now() {
                self.start_key_cooldown(ordering_key);
            }
        }
        for (number, pending) in replay.pending {
            self.restore_message(number, pending);
        }
    }

    fn restore_message(&mut self, number: u32, mut pending: PendingMessage) {
        let deadline = self.clock.to_monotonic(pending.message.wall_deadline);
        let class_is_unknown = usize::from(pending.message.class) >= self.settings.class_names.len()
            && pending.completion == Completion::Uncompleted;
        if class_is_unknown {
            let message = pending.message.id_text().into_owned();
            self.effects.event(CoreEvent::UnknownClass { message });
        }
        // The previous process may have notified the platform of the failure without recording it.
        let is_expired = deadline <= self.clock.now() && pending.completion == Completion::Uncompleted;
        if class_is_unknown || is_expired {
            pending.completion = Completion::from(FinalOutcome::Failed);
            self.effects.record(Record::Completed { message: number, outcome: FinalOutcome::Failed });
        }
        tracing::info!(
            id = %pending.message.id_text(),
            number,
            attempts = pending.attempts,
            possibly_executed = pending.possibly_executed.len(),
            outcome = ?pending.completion.outcome(),
            time_remaining = deadline - self.clock.now(),
            "message recovered"
        );
        self.recovery.add(number, &pending);
        // The connections of attempts in flight were reset when the previous process exited, possibly just
        // now, and the endpoint may still be executing them.
        if !pending.possibly_executed.is_empty() {
            self.start_key_cooldown(pending.message.ordering_key);
        }
        if let Some(outcome) = pending.completion.outcome() {
            self.notifier.push(number, &pending.message, outcome, deadline);
        }
        self.in_flight.insert(number, pending, deadline);
    }

    /// Returns the records from which a replay restores the present state: the first records of a new journal
    /// file.
    pub fn snapshot(&self) -> impl Iterator<Item = Record> + '_ {
        let names = Record::Names {
            classes: self.settings.class_names.clone(),
            zones: self.settings.zone_names.clone(),
        };
        let ended_ids = self.ended_ids.iter_accepted().map(Record::CompletedId);
        let active_cooldowns = self.attempts.key_cooldowns.active(self.clock.now());
        let cooldowns = active_cooldowns.map(|cooldown| {
            let until = self.clock.to_wall(cooldown.until);
            Record::KeyCooldown { ordering_key: cooldown.ordering_key, until }
        });
        let messages = self.in_flight.iter().flat_map(|(number, message)| message.pending.records(number));
        std::iter::once(names).chain(ended_ids).chain(cooldowns).chain(messages)
    }
}

#[cfg(test)]
mod tests;
