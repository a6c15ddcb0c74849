//! Calls to endpoints: the batching of messages, the attempts that they carry, and their deadlines.

use super::{CallId, IdSequence, OutgoingMessage, UpstreamId};
use linnetcart::{AttemptOutcome, Time};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) message: u32,
    /// Its number among the message's attempts, from 0.
    pub(crate) number: u16,
}

/// One Produce request to an endpoint.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) endpoint: u32,
    /// The connection that carries it, once it was dispatched.
    pub(super) connection: Option<UpstreamId>,
    /// Messages without an outcome. None are left of an abandoned call.
    pub(super) messages: Vec<OutgoingMessage>,
    /// The attempt that finished last.
    pub(super) last_finished: AttemptId,
    /// Once it is written: the bytes that were queued on the connection before it.
    pub(super) stream_offset: Option<u64>,
    pub(super) started_at: Time,
    /// How long its connection had been idle before it.
    pub(super) connection_idle_for: Time,
}

impl Call {
    pub(super) fn is_written(&self) -> bool {
        self.stream_offset.is_some()
    }

    /// Every message of it has its outcome, while its response has not come.
    pub(super) fn is_abandoned(&self) -> bool {
        self.messages.is_empty()
    }
}

/// An attempt that was removed from its call.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemovedAttempt {
    pub(super) endpoint: u32,
    pub(super) started_at: Time,
    /// It was the last one of its call.
    pub(super) was_last: bool,
}

/// An attempt whose time is up.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpiredAttempt {
    pub(super) call: CallId,
    pub(super) attempt: AttemptId,
    pub(super) outcome: AttemptOutcome,
}

/// As many calls are out as there are slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NoSlot;

/// All calls, with their attempts.
#[derive(Debug, Default)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, Call>,
    /// Calls with a message that waits for its outcome; each holds a slot.
    out: usize,
    by_attempt: BTreeMap<AttemptId, CallId>,
    deadlines: BTreeSet<(Time, AttemptId)>,
    /// The undispatched call of each endpoint that further messages may join.
    joinable: BTreeMap<u32, CallId>,
    /// Calls of this cycle, in the order in which they were begun.
    undispatched: Vec<CallId>,
}

impl CallTable {
    /// Calls out that hold a slot.
    pub(super) fn out(&self) -> usize {
        self.out
    }

    pub(super) fn get(&self, id: CallId) -> Option<&Call> {
        self.calls.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.get_mut(&id)
    }

    /// The call that carries an attempt without an outcome.
    pub(super) fn of_attempt(&self, attempt: AttemptId) -> Option<CallId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// When the next attempt expires.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Whether an attempt of the message is out that was written to its connection.
    pub(super) fn has_departed(&self, message: u32) -> bool {
        let first = AttemptId { message, number: 0 };
        let last = AttemptId { message, number: u16::MAX };
        let mut calls = self.by_attempt.range(first..=last).map(|(_, call)| call);
        calls.any(|call| self.calls.get(call).is_some_and(Call::is_written))
    }

    /// Adds a message to this cycle's call to the endpoint if that takes more, else to a new one.
    pub(super) fn add(
        &mut self,
        endpoint: u32,
        message: OutgoingMessage,
        bounds: CallBounds,
        ids: &mut IdSequence,
        now: Time,
    ) -> Result<(), NoSlot> {
        let attempt = message.attempt;
        let has_room = |call: &Call| call.messages.len() < bounds.max_messages_per_call;
        let joinable = self.joinable.get(&endpoint).copied();
        let call_id = match joinable.filter(|id| self.calls.get(id).is_some_and(has_room)) {
            Some(id) => id,
            None if self.out >= bounds.max_calls => return Err(NoSlot),
            None => self.open(ids.next_id(), endpoint, attempt, now),
        };
        self.by_attempt.insert(attempt, call_id);
        self.deadlines.insert((message.departure_deadline(), attempt));
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.messages.push(message);
        }
        Ok(())
    }

    fn open(&mut self, id: CallId, endpoint: u32, first: AttemptId, now: Time) -> CallId {
        let call = Call {
            endpoint,
            connection: None,
            messages: Vec::new(),
            last_finished: first,
            stream_offset: None,
            started_at: now,
            connection_idle_for: 0,
        };
        self.calls.insert(id, call);
        self.out += 1;
        self.joinable.insert(endpoint, id);
        self.undispatched.push(id);
        id
    }

    /// The calls of this cycle; nothing joins them any more.
    pub(super) fn take_undispatched(&mut self) -> Vec<CallId> {
        self.joinable.clear();
        std::mem::take(&mut self.undispatched)
    }

    /// Removes an attempt that has its outcome from its call. The call stays.
    pub(super) fn remove_attempt(&mut self, id: CallId, attempt: AttemptId) -> Option<RemovedAttempt> {
        let call = self.calls.get_mut(&id)?;
        let index = call.messages.iter().position(|message| message.attempt == attempt)?;
        let message = call.messages.remove(index);
        call.last_finished = attempt;
        let was_last = call.messages.is_empty();
        let removed = RemovedAttempt { endpoint: call.endpoint, started_at: call.started_at, was_last };
        self.forget_attempt(&message);
        if was_last {
            self.out -= 1;
        }
        Some(removed)
    }

    /// Removes a call with the attempts that are left of it.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if !call.messages.is_empty() {
            self.out -= 1;
        }
        for message in &call.messages {
            self.forget_attempt(message);
        }
        Some(call)
    }

    /// The next attempt whose time is up. It stays until it is removed.
    pub(super) fn next_expired(&mut self, now: Time) -> Option<ExpiredAttempt> {
        while let Some(&(at, attempt)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            let call_id = self.by_attempt.get(&attempt).copied();
            let Some((call_id, call)) = call_id.and_then(|id| Some((id, self.calls.get(&id)?))) else {
                self.deadlines.remove(&(at, attempt));
                continue;
            };
            if !call.is_written() {
                let outcome = AttemptOutcome::NoConnection;
                return Some(ExpiredAttempt { call: call_id, attempt, outcome });
            }
            let message = call.messages.iter().find(|message| message.attempt == attempt);
            let deadline = message.map_or(0, |message| message.deadline);
            if deadline <= now {
                let outcome = AttemptOutcome::TimedOut;
                return Some(ExpiredAttempt { call: call_id, attempt, outcome });
            }
            // It departed in time and has until its deadline.
            self.deadlines.remove(&(at, attempt));
            self.deadlines.insert((deadline, attempt));
        }
        None
    }

    fn forget_attempt(&mut self, message: &OutgoingMessage) {
        self.by_attempt.remove(&message.attempt);
        self.deadlines.remove(&(message.deadline, message.attempt));
        self.deadlines.remove(&(message.departure_deadline(), message.attempt));
    }
}

/// Bounds of calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallBounds {
    /// Calls out at once.
    pub(super) max_calls: usize,
    /// Messages that one call to the endpoint takes.
    pub(super) max_messages_per_call: usize,
}
