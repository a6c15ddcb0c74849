//! Messages that were accepted and are not yet dropped.

use super::{AttemptGroup, QueueState, SentAttempt};
use crate::interface::{AcceptedMessage, AttemptOutcome, Class, Time, UnresolvedAttempt};

/// An attempt that is in flight or may have been executed; the first sent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Time,
    pub(crate) attempt: u16,
    pub(crate) zone: u8,
}

/// The place of a message among others, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) sequence: u64,
    pub(crate) message: u32,
}

/// A message that was accepted.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub(crate) id: u32,
    pub(crate) destination: u32,
    pub(crate) class: usize,
    /// 0 for none.
    pub(crate) ordering_key: u64,
    pub(crate) sequence: u64,
    pub(crate) accepted_at: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: u16,
    pub(crate) attempts_in_flight: u32,
    pub(crate) possibly_executed: Vec<PossibleExecution>,
    pub(crate) completed: bool,
    /// How it waits, if it does.
    pub(crate) queue_state: Option<QueueState>,
    /// When it may no longer be retried, if it waits and that comes.
    pub(crate) retry_expiry: Option<Time>,
    /// Its one attempt in flight, if there is no other.
    pub(crate) lone_attempt: Option<SentAttempt>,
    /// It was recovered, surely never executed, and has had no call since: its attempts while that is so.
    pub(crate) uncalled_attempts: Option<u16>,
}

/// What an earlier process of this courier left of a message.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredAttempts {
    pub(crate) attempts: u16,
    /// Those of them that may have been executed.
    pub(crate) unresolved: Vec<UnresolvedAttempt>,
}

impl Message {
    /// A message that was accepted now.
    pub(crate) fn new(accepted: &AcceptedMessage, class: &Class, sequence: u64, now: Time) -> Self {
        let deadline = now + accepted.time_remaining;
        Message {
            id: accepted.id,
            destination: accepted.destination,
            class: usize::from(accepted.class),
            ordering_key: if class.ordered { accepted.ordering_key } else { 0 },
            sequence,
            accepted_at: deadline.saturating_sub(class.deadline),
            deadline,
            ..Message::default()
        }
    }

    /// Takes over the attempts of an earlier process.
    pub(super) fn restore(&mut self, recovered: &RecoveredAttempts, now: Time) {
        self.attempts = recovered.attempts;
        self.uncalled_attempts = recovered.unresolved.is_empty().then_some(recovered.attempts);
        for unresolved in &recovered.unresolved {
            self.possibly_executed.push(PossibleExecution {
                sent_at: now.saturating_sub(unresolved.age),
                attempt: unresolved.attempt,
                zone: unresolved.zone,
            });
        }
    }

    /// Its place among messages by age.
    pub(crate) fn position(&self) -> QueuePosition {
        QueuePosition { sequence: self.sequence, message: self.id }
    }

    /// Attempts to its destination and of its class.
    pub(crate) fn group(&self) -> AttemptGroup {
        AttemptGroup { destination: Some(self.destination), class: self.class }
    }

    /// The first of its attempts that may have been executed.
    pub(crate) fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.possibly_executed.iter().min().copied()
    }

    /// It was recovered untried and has had no call since.
    pub(crate) fn awaits_first_call(&self) -> bool {
        self.uncalled_attempts == Some(self.attempts)
    }

    /// One of its attempts was not executed. Where not even a call came of it, the call is still owed.
    pub(crate) fn record_not_executed(&mut self, attempt: u16, outcome: AttemptOutcome) {
        self.possibly_executed.retain(|execution| execution.attempt != attempt);
        let called = matches!(outcome, AttemptOutcome::Rejected { .. });
        let owed_before = self.uncalled_attempts.is_some_and(|attempts| attempts + 1 == self.attempts);
        if !called && owed_before {
            self.uncalled_attempts = Some(self.attempts);
        }
    }
}
