//! What is to happen at a time, and the queue of it.

use super::transport::Token;
use linnetcart_conformance::Time;
use std::collections::BTreeMap;

/// What is to happen at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// A client submits a message, by its number in the plan.
    Submit { message: usize, attempt: u32 },
    /// A call of the endpoint simulator goes on.
    FinishCall { call: u64 },
    /// An endpoint accepts a connection after a delay.
    AcceptConnection { token: Token },
    /// A fault begins.
    BeginFault { fault: usize },
    /// A fault that comes in steps goes on.
    StepFault { fault: usize, step: u32 },
    /// A fault ends.
    EndFault { fault: usize },
    /// Couriers are notified of changes of the endpoint list.
    PublishChanges { endpoints: Vec<u32> },
    /// One courier, in this incarnation, is notified of what it missed.
    CatchUp { courier: u32, incarnation: u32 },
    /// An endpoint that was draining is gone.
    RemoveEndpoint { endpoint: u32 },
    /// A courier that was killed starts again.
    RestartCourier { courier: u32 },
    /// A courier that was stalled runs again.
    ResumeCourier { courier: u32 },
    /// A client waits no longer for the answer to a submission.
    LosePatience { submission: usize },
}

/// The place of a timer: those of one time go in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerPosition {
    at: Time,
    sequence: u64,
}

/// Timers that are not due yet.
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

    /// When the next timer is due.
    pub(super) fn next_at(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(position, _)| position.at)
    }

    /// The next timer, if it is due.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
