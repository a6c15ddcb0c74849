//! Table of the attempts in flight and of the calls that carry them.
//!
//! The deadline indexes over the attempts are kept elsewhere: see [`super::DeadlineIndex`].

use crate::interface::{AttemptOutcome, Time};
use std::collections::BTreeMap;

/// Identifies an attempt: a message and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) message: u32,
    /// Number of the attempt, counted from 0 for each message.
    pub(crate) attempt: u16,
}

/// An attempt that was sent and whose result has not arrived.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) id: AttemptId,
    pub(crate) endpoint: u32,
    /// Clock time of sending, in nanoseconds.
    pub(crate) sent_at: Time,
    /// Sequence number of the call that carries the attempt.
    pub(crate) call: u64,
    /// Whether the dispatcher has requested the attempt's cancellation.
    pub(crate) cancelled: bool,
}

/// An attempt whose result has arrived, as removed from the table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedAttempt {
    /// Clock time of sending, in nanoseconds.
    pub(crate) sent_at: Time,
    /// Whether the dispatcher had requested the attempt's cancellation.
    pub(crate) cancelled: bool,
    /// Whether the attempt was the last one in flight of the call that carried it.
    pub(crate) call_ended: bool,
    /// Whether the attempt's outcome is the first in its call that applies to the whole call
    /// ([`AttemptOutcome::applies_to_call`]). Only this first outcome counts for health and latencies.
    pub(crate) first_outcome: bool,
}

/// A call in flight; it may carry the attempts of several messages.
#[derive(Debug, Default)]
struct Call {
    attempts_in_flight: u32,
    /// Whether an outcome that applies to the whole call has arrived.
    outcome_known: bool,
}

/// All attempts in flight of one dispatcher, and the calls that carry them.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    calls: BTreeMap<u64, Call>,
}

impl AttemptTable {
    /// Returns an attempt, or `None` when it is not in flight.
    pub(crate) fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.in_flight.get(&id)
    }

    /// Returns the number of calls in flight.
    pub(crate) fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns the attempts of a message that are in flight and not cancelled, in ascending order of number.
    pub(super) fn running(&self, message: u32) -> impl Iterator<Item = &InFlightAttempt> {
        let first = AttemptId { message, attempt: 0 };
        let last = AttemptId { message, attempt: u16::MAX };
        let attempts = self.in_flight.range(first..=last).map(|(_, attempt)| attempt);
        attempts.filter(|attempt| !attempt.cancelled)
    }

    /// Adds an attempt, and its call if this is the first attempt that the call carries.
    pub(super) fn insert(&mut self, attempt: InFlightAttempt) {
        self.calls.entry(attempt.call).or_default().attempts_in_flight += 1;
        self.in_flight.insert(attempt.id, attempt);
    }

    /// Marks an attempt as cancelled. Returns the clock time of sending in nanoseconds, or `None` when the
    /// attempt is not in flight.
    pub(super) fn mark_cancelled(&mut self, id: AttemptId) -> Option<Time> {
        let attempt = self.in_flight.get_mut(&id)?;
        attempt.cancelled = true;
        Some(attempt.sent_at)
    }

    /// Removes a finished attempt, and its call with the last attempt that the call carries. Returns `None`
    /// when the attempt is not in flight.
    pub(super) fn finish(&mut self, id: AttemptId, outcome: AttemptOutcome) -> Option<FinishedAttempt> {
        let attempt = self.in_flight.remove(&id)?;
        let call = self.calls.entry(attempt.call).or_default();
        call.attempts_in_flight = call.attempts_in_flight.saturating_sub(1);
        let first_outcome = !call.outcome_known && outcome.applies_to_call();
        call.outcome_known |= first_outcome;
        let call_ended = call.attempts_in_flight == 0;
        if call_ended {
            self.calls.remove(&attempt.call);
        }
        let InFlightAttempt { sent_at, cancelled, .. } = attempt;
        Some(FinishedAttempt { sent_at, cancelled, call_ended, first_outcome })
    }
}
