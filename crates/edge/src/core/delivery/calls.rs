//! The calls to endpoints: how messages are batched into calls, which attempts each call carries, and when
//! the attempts time out.

use super::{CallId, IdSequence, OutgoingMessage, UpstreamId};
use crate::core::time_index::TimeIndex;
use linnetcart::{AttemptOutcome, Time};
use std::collections::BTreeMap;

/// Identifies an attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) message: u32,
    /// The number of the attempt among those of the message, counted from 0.
    pub(crate) number: u16,
}

/// One Produce request to an endpoint, from its opening until its response or the end of its connection.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) endpoint: u32,
    /// The connection that carries the call; `None` until the call has been dispatched.
    pub(super) connection: Option<UpstreamId>,
    /// The messages whose attempts have no outcome yet. Empty in an abandoned call: every attempt has its
    /// outcome, but the response is still outstanding.
    pub(super) messages: Vec<OutgoingMessage>,
    /// The messages whose attempts were given up after the call was written. The response may still report that
    /// they were served.
    pub(super) given_up: Vec<OutgoingMessage>,
    /// The attempt of the call that finished last. A rejection that arrives after the call was abandoned is
    /// reported under this attempt.
    pub(super) last_finished: AttemptId,
    /// The position of the call's first byte in the byte stream of the connection; `None` until the call has
    /// been written.
    pub(super) stream_offset: Option<u64>,
    /// When the call was opened, by the monotonic clock.
    pub(super) started_at: Time,
    /// How long the connection had been idle before the call was dispatched, in nanoseconds; 0 if the
    /// connection was new or carried other calls.
    pub(super) connection_idle_for: Time,
}

impl Call {
    pub(super) fn is_written(&self) -> bool {
        self.stream_offset.is_some()
    }

    /// Returns whether every attempt of the call has its outcome. While such a call is in the table, its
    /// response is outstanding.
    pub(super) fn is_abandoned(&self) -> bool {
        self.messages.is_empty()
    }

    fn message(&self, attempt: AttemptId) -> Option<&OutgoingMessage> {
        self.messages.iter().find(|message| message.attempt == attempt)
    }
}

/// An attempt that was removed from its call.
#[derive(Clone, Debug)]
pub(super) struct RemovedAttempt {
    pub(super) message: OutgoingMessage,
    pub(super) endpoint: u32,
    pub(super) started_at: Time,
    /// Whether every attempt of the call has its outcome now.
    pub(super) was_last: bool,
}

/// An attempt that has timed out.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpiredAttempt {
    pub(super) call: CallId,
    pub(super) attempt: AttemptId,
    pub(super) outcome: AttemptOutcome,
}

/// Why a call cannot be opened: all slots are occupied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NoSlot;

/// Bounds on the number of calls in flight and on the messages of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallBounds {
    /// The number of slots: how many calls that are not abandoned may be in flight at once.
    pub(super) max_calls: usize,
    /// How many messages one call to the endpoint may carry, by the kind of its destination.
    pub(super) max_messages_per_call: usize,
}

/// All calls without a response, with indexes by attempt and by deadline.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    /// The number of calls that are not abandoned. Each occupies a slot.
    occupied_slots: usize,
    by_attempt: BTreeMap<AttemptId, CallId>,
    /// When each attempt must be checked next, by the monotonic clock: at its write deadline until it has
    /// been written, and at its deadline after that.
    deadlines: TimeIndex<AttemptId>,
    /// For each endpoint, the call of this cycle that further messages may join.
    joinable: BTreeMap<u32, CallId>,
    /// The calls of this cycle, in the order in which they were opened. None has a connection yet.
    undispatched: Vec<CallId>,
}

impl CallTable {
    /// Returns how many slots are occupied.
    pub(super) fn occupied_slots(&self) -> usize {
        self.occupied_slots
    }

    pub(super) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// Returns the call that carries an attempt, or `None` if the attempt has its outcome.
    pub(super) fn call_of_attempt(&self, attempt: AttemptId) -> Option<CallId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns when the next attempt must be checked for a timeout, by the monotonic clock, or `None` when no
    /// attempt is in flight.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.earliest()
    }

    /// Returns whether an attempt of the message is in flight that has been written to its connection.
    pub(super) fn has_written_attempt(&self, message: u32) -> bool {
        let first = AttemptId { message, number: 0 };
        let last = AttemptId { message, number: u16::MAX };
        let mut calls = self.by_attempt.range(first..=last).map(|(_, call)| call);
        calls.any(|call| self.calls.get(call).is_some_and(Call::is_written))
    }

    /// Adds a message to this cycle's call to the endpoint if that has capacity left, otherwise to a new
    /// call, which needs a free slot.
    pub(super) fn add_message(
        &mut self,
        endpoint: u32,
        message: OutgoingMessage,
        bounds: CallBounds,
        ids: &mut IdSequence,
        now: Time,
    ) -> Result<(), NoSlot> {
        let attempt = message.attempt;
        let call_id = match self.joinable_call(endpoint, bounds.max_messages_per_call) {
            Some(id) => id,
            None if self.occupied_slots >= bounds.max_calls => return Err(NoSlot),
            None => self.open_call(ids.next_id(), endpoint, attempt, now),
        };
        self.by_attempt.insert(attempt, call_id);
        self.deadlines.insert(message.write_deadline(), attempt);
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.messages.push(message);
        }
        Ok(())
    }

    fn joinable_call(&self, endpoint: u32, max_messages: usize) -> Option<CallId> {
        let id = *self.joinable.get(&endpoint)?;
        let call = self.calls.get(&id)?;
        (call.messages.len() < max_messages).then_some(id)
    }

    fn open_call(&mut self, id: CallId, endpoint: u32, first: AttemptId, now: Time) -> CallId {
        let call = Call {
            endpoint,
            connection: None,
            messages: Vec::new(),
            given_up: Vec::new(),
            last_finished: first,
            stream_offset: None,
            started_at: now,
            connection_idle_for: 0,
        };
        self.calls.insert(id, call);
        self.occupied_slots += 1;
        self.joinable.insert(endpoint, id);
        self.undispatched.push(id);
        id
    }

    /// Returns the calls of this cycle. No message joins them from now on.
    pub(super) fn take_undispatched(&mut self) -> Vec<CallId> {
        self.joinable.clear();
        std::mem::take(&mut self.undispatched)
    }

    /// Removes an attempt that has its outcome from its call. The call itself stays in the table. Returns
    /// `None` if the call does not carry the attempt.
    pub(super) fn remove_attempt(&mut self, id: CallId, attempt: AttemptId) -> Option<RemovedAttempt> {
        let call = self.calls.get_mut(&id)?;
        let index = call.messages.iter().position(|message| message.attempt == attempt)?;
        let message = call.messages.remove(index);
        call.last_finished = attempt;
        let was_last = call.messages.is_empty();
        let (endpoint, started_at) = (call.endpoint, call.started_at);
        self.remove_from_indexes(&message);
        if was_last {
            self.occupied_slots -= 1;
        }
        Some(RemovedAttempt { message, endpoint, started_at, was_last })
    }

    /// Removes a call together with its remaining attempts.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if !call.messages.is_empty() {
            self.occupied_slots -= 1;
        }
        for message in &call.messages {
            self.remove_from_indexes(message);
        }
        Some(call)
    }

    /// Returns the next attempt that has timed out: `NoConnection` if it was not written by its write
    /// deadline, `TimedOut` if it was written and its deadline has passed. The attempt stays in the table
    /// until the caller removes it.
    pub(super) fn next_expired(&mut self, now: Time) -> Option<ExpiredAttempt> {
        while let Some(due) = self.deadlines.first_due(now) {
            let attempt = due.id;
            let call_id = self.call_of_attempt(attempt);
            let Some((call_id, call)) = call_id.and_then(|id| Some((id, self.calls.get(&id)?))) else {
                self.deadlines.remove(due.at, attempt);
                continue;
            };
            if !call.is_written() {
                let outcome = AttemptOutcome::NoConnection;
                return Some(ExpiredAttempt { call: call_id, attempt, outcome });
            }
            let deadline = call.message(attempt).map_or(0, |message| message.deadline);
            if deadline <= now {
                let outcome = AttemptOutcome::TimedOut;
                return Some(ExpiredAttempt { call: call_id, attempt, outcome });
            }
            // The attempt was written in time. From here on its deadline applies instead of the write
            // deadline.
            self.deadlines.remove(due.at, attempt);
            self.deadlines.insert(deadline, attempt);
        }
        None
    }

    /// Removes an attempt from the indexes by attempt and by time.
    fn remove_from_indexes(&mut self, message: &OutgoingMessage) {
        self.by_attempt.remove(&message.attempt);
        self.deadlines.remove(message.deadline, message.attempt);
        self.deadlines.remove(message.write_deadline(), message.attempt);
    }
}
