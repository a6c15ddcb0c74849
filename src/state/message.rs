//! State of one message from its acceptance until it is dropped, with its possible executions.

use super::{AttemptGroup, QueueState, SentAttempt};
use crate::interface::{AcceptedMessage, AttemptOutcome, Class, Time, UnresolvedAttempt};

/// An attempt that is in flight or may have been executed. Values sort by time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PossibleExecution {
    /// Clock time of sending, in nanoseconds.
    pub(crate) sent_at: Time,
    /// Number of the attempt, counted from 0 for each message.
    pub(crate) attempt: u16,
    /// Number of the zone of the endpoint that the attempt was sent to.
    pub(crate) zone: u8,
}

/// Position of a message in any queue: messages are ordered by acceptance, the first accepted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Sequence number that the dispatcher gave the message when it was accepted.
    pub(crate) sequence: u64,
    pub(crate) message: u32,
}

/// An accepted message. Times are clock times in nanoseconds.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub(crate) id: u32,
    pub(crate) destination: u32,
    pub(crate) class: usize,
    /// 0 for a message without an ordering key, or of a class that is not ordered.
    pub(crate) ordering_key: u64,
    /// Sequence number of the acceptance, which orders messages by age.
    pub(crate) sequence: u64,
    /// Time of acceptance, computed as the deadline minus the class's deadline span.
    pub(crate) accepted_at: Time,
    /// Time by which the message must have its final answer.
    pub(crate) deadline: Time,
    /// Number of attempts sent so far, those of earlier processes included.
    pub(crate) attempts: u16,
    /// Number of attempts that ended with [`AttemptOutcome::LocalFault`]: this machine could not begin them.
    /// They do not count against `max_attempts`.
    pub(crate) local_faults: u16,
    /// Number of attempts whose result has not arrived, cancelled ones included.
    pub(crate) attempts_in_flight: u32,
    /// Attempts that are in flight or may have been executed.
    pub(crate) possibly_executed: Vec<PossibleExecution>,
    /// Whether the message has its final answer.
    pub(crate) completed: bool,
    /// What the message waits for in the queue of its destination; `None` while it does not wait.
    pub(crate) queue_state: Option<QueueState>,
    /// Time from which the message may no longer be retried; `None` while it does not wait or has no such
    /// time.
    pub(crate) retry_expiry: Option<Time>,
    /// The message's entry in the hedge index: its only attempt in flight. `None` if several attempts or none
    /// are in flight, if the only one is cancelled, or if the message has its final answer.
    pub(crate) lone_attempt: Option<SentAttempt>,
    /// Value of `attempts` as long as no attempt since the recovery is in flight or may have reached an
    /// endpoint. Set only for a recovered message that was certainly not executed before the recovery.
    pub(crate) uncalled_attempts: Option<u16>,
}

/// The attempts that earlier processes of this courier made for a recovered message.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredAttempts {
    /// Number of all attempts made.
    pub(crate) attempts: u16,
    /// The attempts that may have been executed.
    pub(crate) unresolved: Vec<UnresolvedAttempt>,
}

impl Message {
    /// Creates the state of a message that is accepted at `now`.
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

    /// Restores the attempts that earlier processes made for the message; `now` is the clock time of the
    /// recovery.
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

    /// Returns the message's position in any queue, which is in order of acceptance.
    pub(crate) fn position(&self) -> QueuePosition {
        QueuePosition { sequence: self.sequence, message: self.id }
    }

    /// Returns the attempt group of the message's destination and class.
    pub(crate) fn group(&self) -> AttemptGroup {
        AttemptGroup { destination: Some(self.destination), class: self.class }
    }

    /// Returns the earliest sent of the attempts that may have been executed; `None` if there are none.
    pub(crate) fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.possibly_executed.iter().min().copied()
    }

    /// Whether the message was recovered as certainly not executed, and no attempt since the recovery is in
    /// flight or may have reached an endpoint ([`uncalled_attempts`](Self::uncalled_attempts)).
    pub(crate) fn awaits_first_call(&self) -> bool {
        self.uncalled_attempts == Some(self.attempts)
    }

    /// Records that an attempt of the message was certainly not executed: removes it from
    /// `possibly_executed`, counts it if it was a local fault, and updates `uncalled_attempts`. Of the
    /// outcomes without execution, only [`AttemptOutcome::Rejected`] shows that the attempt reached an
    /// endpoint.
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
