//! Timers of a run, and the priority queue that orders them.

use super::transport::Token;
use linnetcart_conformance::Time;
use std::collections::BTreeMap;

/// What happens when a timer fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// A client submits a message, given by its position in `Fleet::messages`; `attempt` is the number of
    /// retries after rejections so far.
    Submit { message: usize, attempt: u32 },
    /// The endpoint simulator decides about the next step of a call.
    FinishCall { call: u64 },
    /// An endpoint accepts a connection, after its accept delay.
    AcceptConnection { token: Token },
    /// A fault begins.
    BeginFault { fault: usize },
    /// A fault that proceeds in steps takes its next step.
    StepFault { fault: usize, step: u32 },
    /// A fault ends.
    EndFault { fault: usize },
    /// Couriers are notified of changes of these endpoints.
    PublishChanges { endpoints: Vec<u32> },
    /// A restarted courier is notified of the changes that it missed, unless it has been killed since.
    CatchUp { courier: u32, incarnation: u32 },
    /// An endpoint is removed after it has drained.
    RemoveEndpoint { endpoint: u32 },
    /// A courier that was killed starts again.
    RestartCourier { courier: u32 },
    /// A stalled courier resumes.
    ResumeCourier { courier: u32 },
    /// A client stops waiting for the answer to a submission.
    AnswerTimeout { submission: usize },
}

/// The position of a timer in the queue: by time, and for equal times in the order of scheduling, so that
/// runs are deterministic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerPosition {
    at: Time,
    sequence: u64,
}

/// The timers that have not fired yet.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerPosition, Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    pub(super) fn schedule(&mut self, at: Time, timer: Timer) {
        self.last_sequence += 1;
        self.timers.insert(TimerPosition { at, sequence: self.last_sequence }, timer);
    }

    /// Returns when the next timer is due, or `None` if there is none.
    pub(super) fn next_at(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(position, _)| position.at)
    }

    /// Removes and returns the next timer if it is due.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
