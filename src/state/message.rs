//! Messages that were accepted and not yet dropped, with their attempts.

use super::{AttemptGroup, QueueState, SentAttempt};
use crate::interface::{AcceptedMessage, AttemptOutcome, Class, Time, UnresolvedAttempt};

/// An attempt that is in flight or may have been executed; the first sent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Time,
    pub(crate) attempt: u16,
    pub(crate) zone: u8,
}

/// The position of a message among others by age; the oldest is the least.
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
    /// 0 for a message without one, or of a class that is not ordered.
    pub(crate) ordering_key: u64,
    pub(crate) sequence: u64,
    pub(crate) accepted_at: Time,
    pub(crate) deadline: Time,
    pub(crate) attempts: u16,
    /// Those of its attempts that this machine could not begin. They do not count against the maximum.
    pub(crate) local_faults: u16,
    pub(crate) attempts_in_flight: u32,
    pub(crate) possibly_executed: Vec<PossibleExecution>,
    pub(crate) completed: bool,
    /// Its state in the queue of its destination, `None` while it does not wait.
    pub(crate) queue_state: Option<QueueState>,
    /// When it may no longer be retried, if it waits and such a time is known.
    pub(crate) retry_expiry: Option<Time>,
    /// Its attempt in flight, if there is exactly one and it is not cancelled.
    pub(crate) lone_attempt: Option<SentAttempt>,
    /// For a recovered message that was surely never executed: its number of attempts up to which none since
    /// the recovery has reached an endpoint.
    pub(crate) uncalled_attempts: Option<u16>,
}

/// The attempts that an earlier process of this courier made for a message.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredAttempts {
    pub(crate) attempts: u16,
    /// Those that may have been executed.
    pub(crate) unresolved: Vec<UnresolvedAttempt>,
}

impl Message {
    /// Creates a message that was accepted now.
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

    /// Adds the attempts of an earlier process.
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

    /// Returns its position among messages by age.
    pub(crate) fn position(&self) -> QueuePosition {
        QueuePosition { sequence: self.sequence, message: self.id }
    }

    /// Returns the group of attempts to its destination and of its class.
    pub(crate) fn group(&self) -> AttemptGroup {
        AttemptGroup { destination: Some(self.destination), class: self.class }
    }

    /// Returns the first of its attempts that may have been executed.
    pub(crate) fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.possibly_executed.iter().min().copied()
    }

    /// Whether it was recovered unexecuted and no attempt since has reached an endpoint.
    pub(crate) fn awaits_first_call(&self) -> bool {
        self.uncalled_attempts == Some(self.attempts)
    }

    /// Records that one of its attempts was not executed. Unless the endpoint itself rejected it, the attempt
    /// has not reached one.
    pub(crate) fn record_not_executed(&mut self, attempt: u16, outcome: AttemptOutcome) {
        self.possibly_executed.retain(|execution| execution.attempt != attempt);
        self.local_faults += u16::from(outcome == AttemptOutcome::LocalFault);
        let reached_endpoint = matches!(outcome, AttemptOutcome::Rejected { .. });
        let awaited_before = self.uncalled_attempts.is_some_and(|attempts| attempts + 1 == self.attempts);
        if !reached_endpoint && awaited_before {
            self.uncalled_attempts = Some(self.attempts);
        }
    }
}
