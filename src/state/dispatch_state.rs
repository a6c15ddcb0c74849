//! The tables of a dispatcher and the upkeep of the indexes over them.

use super::{
    AttemptGroup, AttemptId, Call, DeadlineIndex, Destination, DueAttempt, EndpointState, FinishedAttempt,
    InFlightAttempt, KeyQueues, LimitScope, Limiter, Message, MessageTime, OpenCall, PossibleExecution,
    QueueEntry, QueueState, RecoveredAttempts, SentAttempt, Table, WaitQueue,
};
use crate::interface::{AcceptedMessage, AttemptResult, Class, Idempotency, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What an overdue attempt shows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) endpoint: u32,
    pub(crate) destination: u32,
    pub(crate) class: usize,
    /// The endpoint has answered nothing since the attempt was sent.
    pub(crate) endpoint_silent: bool,
    /// Nor has any endpoint of the destination.
    pub(crate) destination_silent: bool,
}

/// Spans after which the attempts of a group come due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupSpans {
    pub(crate) overdue: Time,
    /// Of the group of all destinations that have no groups of their own.
    pub(crate) shared_overdue: Time,
    pub(crate) hedge: Time,
}

/// Destinations, endpoints, messages, attempts and calls of one dispatcher, with what a decision cycle looks
/// for kept in order as it changes.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    sequence: u64,
    pub(crate) destinations: Table<Destination>,
    pub(crate) endpoints: Table<EndpointState>,
    pub(crate) messages: BTreeMap<u32, Message>,
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) key_queues: KeyQueues,
    /// Messages without a final answer by their deadline.
    pub(crate) deadlines: BTreeSet<MessageTime>,
    pub(crate) wait_queue: WaitQueue,
    /// Attempts in flight and not cancelled, by when they are overdue.
    pub(crate) overdue_index: DeadlineIndex,
    /// Lone attempts in flight, by when they may be hedged.
    pub(crate) hedge_index: DeadlineIndex,
}

impl DispatchState {
    /// The next number for a message or a call.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// The destination of a group, if it is of one.
    pub(crate) fn destination_of(&self, group: AttemptGroup) -> Option<&Destination> {
        self.destinations.get(group.destination?)
    }

    /// The endpoints of a destination have limits of their own.
    pub(crate) fn has_independent_routes(&self, destination: u32) -> bool {
        self.destinations.get(destination).is_some_and(|destination| destination.kind.independent_routes)
    }

    /// What the limiter of an endpoint stands for.
    pub(crate) fn endpoint_scope(&self, endpoint: u32) -> LimitScope {
        let endpoint = self.endpoints.get(endpoint);
        let destination = endpoint.and_then(|endpoint| self.destinations.get(endpoint.destination));
        destination.map_or(LimitScope::SharedEndpoint, Destination::endpoint_scope)
    }

    /// The limiter that a send to this endpoint comes under.
    pub(crate) fn limiter(&self, endpoint: u32) -> Option<&Limiter> {
        let endpoint = self.endpoints.get(endpoint)?;
        let destination = self.destinations.get(endpoint.destination)?;
        match destination.endpoint_scope() {
            LimitScope::Whole => Some(&endpoint.limiter),
            LimitScope::SharedEndpoint => Some(&destination.limiter),
        }
    }

    /// Takes endpoints that are held no more from their destinations; returns the destinations that lost one.
    pub(crate) fn drop_removed_endpoints(&mut self) -> Vec<u32> {
        let endpoints = &self.endpoints;
        let mut changed = Vec::new();
        self.destinations.for_each(|id, destination| {
            let before = destination.endpoints.len();
            destination.endpoints.retain(|&endpoint| endpoints.contains(endpoint));
            if destination.endpoints.len() != before {
                changed.push(id);
            }
        });
        changed
    }

    /// Adds a message that was accepted, with what an earlier process of this courier left of it, if any;
    /// false if it is known already.
    pub(crate) fn insert_message(
        &mut self,
        accepted: &AcceptedMessage,
        class: &Class,
        recovered: Option<&RecoveredAttempts>,
        now: Time,
    ) -> bool {
        if self.messages.contains_key(&accepted.id) {
            return false;
        }
        let mut message = Message::new(accepted, class, self.next_sequence(), now);
        if let Some(recovered) = recovered {
            message.restore(recovered, now);
        }
        self.key_queues.join(message.ordering_key, message.position());
        self.deadlines.insert(MessageTime { at: message.deadline, message: message.id });
        self.messages.insert(message.id, message);
        true
    }

    /// How a message waits: among those that fare alike.
    pub(crate) fn queue_state(&self, message: &Message, idempotency: Idempotency, now: Time) -> QueueState {
        if let Some(queue) = self.key_queues.get(message.ordering_key) {
            if !queue.is_first(message.position()) {
                return QueueState::BehindInKey;
            }
            if queue.cooldown_until > now && message.attempts == 0 {
                return QueueState::KeyCooldown;
            }
        }
        let per_zone = matches!(idempotency, Idempotency::Keyed { per_zone: true, .. });
        match message.first_possible_execution() {
            Some(first) => QueueState::Retry { zone: per_zone.then_some(first.zone) },
            None => QueueState::NotExecuted,
        }
    }

    /// A message waits from now on.
    pub(crate) fn join_wait_queue(&mut self, id: u32, entry: QueueEntry) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if let Some(destination) = self.destinations.get_mut(message.destination) {
            self.wait_queue.join(message, destination, entry);
        }
    }

    /// A message waits no more.
    pub(crate) fn leave_wait_queue(&mut self, id: u32) {
        if let Some(message) = self.messages.get_mut(&id) {
            let destination = self.destinations.get_mut(message.destination);
            self.wait_queue.leave(message, destination);
        }
    }

    /// Destinations that messages wait for, the one with the least recent send first.
    pub(crate) fn waiting_by_last_send(&self) -> Vec<u32> {
        let mut waiting: Vec<u32> = self.wait_queue.destinations.iter().copied().collect();
        waiting.sort_by_key(|&id| self.destinations[id].last_sent_at);
        waiting
    }

    /// A message has its final answer; returns its attempts that are in flight and not cancelled.
    pub(crate) fn complete(&mut self, id: u32) -> Vec<u16> {
        if let Some(message) = self.messages.get_mut(&id) {
            message.completed = true;
            self.deadlines.remove(&MessageTime { at: message.deadline, message: id });
        }
        self.leave_wait_queue(id);
        self.running(id).map(|(id, _)| id.attempt).collect()
    }

    /// Drops a message that is completed and has nothing in flight; returns the next of its key if it waits.
    pub(crate) fn drop_finished(&mut self, id: u32) -> Option<u32> {
        let message = self.messages.get(&id)?;
        if !message.completed || message.attempts_in_flight > 0 {
            return None;
        }
        let position = message.position();
        let key = message.ordering_key;
        self.messages.remove(&id);
        let next = self.key_queues.leave(key, position)?;
        let waits = self.messages.get(&next).is_some_and(|message| message.queue_state.is_some());
        waits.then_some(next)
    }

    /// Attempts of a message that are in flight and not cancelled, with what is known of them.
    fn running(&self, id: u32) -> impl Iterator<Item = (AttemptId, &InFlightAttempt)> {
        let first = AttemptId { message: id, attempt: 0 };
        let last = AttemptId { message: id, attempt: u16::MAX };
        let attempts = self.in_flight.range(first..=last).map(|(&id, attempt)| (id, attempt));
        attempts.filter(|(_, attempt)| !attempt.cancelled)
    }

    /// An attempt is cancelled; false if it is not in flight.
    pub(crate) fn mark_cancelled(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.in_flight.get_mut(&id) else { return false };
        attempt.cancelled = true;
        let sent_at = attempt.sent_at;
        self.forget_overdue(id, sent_at);
        true
    }

    fn forget_overdue(&mut self, id: AttemptId, sent_at: Time) {
        let Some(message) = self.messages.get(&id.message) else { return };
        let group = self.overdue_group(message);
        let sent = SentAttempt { sent_at, message: id.message, attempt: id.attempt };
        self.overdue_index.remove(group, sent);
    }

    /// The group in which a message's attempts become overdue.
    pub(crate) fn overdue_group(&self, message: &Message) -> AttemptGroup {
        let destination = self.destinations.get(message.destination);
        let has_own_groups = destination.is_some_and(|destination| destination.has_own_groups);
        AttemptGroup { destination: has_own_groups.then_some(message.destination), class: message.class }
    }

    /// Keeps the index of lone attempts true after an attempt or the message changed.
    pub(crate) fn update_lone_attempt(&mut self, id: u32, hedge_delay: Time) {
        let first = self.running(id).next();
        let first = first.map(|(key, attempt)| SentAttempt {
            sent_at: attempt.sent_at,
            message: id,
            attempt: key.attempt,
        });
        let Some(message) = self.messages.get_mut(&id) else { return };
        let lone = first.filter(|_| message.attempts_in_flight == 1 && !message.completed);
        let before = std::mem::replace(&mut message.lone_attempt, lone);
        if before == lone {
            return;
        }
        let group = message.group();
        if let Some(attempt) = before {
            self.hedge_index.remove(group, attempt);
        }
        if let Some(attempt) = lone {
            self.hedge_index.insert(group, hedge_delay, attempt);
        }
    }

    /// Takes out an attempt that ended; `informative` if its result tells the fate of its call.
    pub(crate) fn take_finished(
        &mut self,
        result: &AttemptResult,
        informative: bool,
    ) -> Option<FinishedAttempt> {
        let id = AttemptId { message: result.message, attempt: result.attempt };
        let attempt = self.in_flight.remove(&id)?;
        let progress = self.calls.entry(attempt.call).or_default().finish_send(informative);
        if progress.call_ended {
            self.calls.remove(&attempt.call);
            self.end_call(result.endpoint);
        }
        if !attempt.cancelled {
            self.forget_overdue(id, attempt.sent_at);
        }
        Some(FinishedAttempt { sent_at: attempt.sent_at, first_outcome: progress.first_outcome })
    }

    fn end_call(&mut self, endpoint: u32) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
        endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        if let Some(destination) = self.destinations.get_mut(endpoint.destination) {
            destination.calls_in_flight = destination.calls_in_flight.saturating_sub(1);
        }
    }

    /// Records with its message that an attempt ended.
    pub(crate) fn record_result(&mut self, result: &AttemptResult) {
        let Some(message) = self.messages.get_mut(&result.message) else { return };
        message.attempts_in_flight -= 1;
        if result.outcome.not_executed() {
            message.record_not_executed(result.attempt, result.outcome);
        }
    }

    /// What an attempt that has come due shows of its endpoint and destination.
    pub(crate) fn silence(&self, due: &DueAttempt) -> Option<Silence> {
        let endpoint = self.in_flight.get(&due.id())?.endpoint;
        let message = self.messages.get(&due.message)?;
        let destination = self.destinations.get(message.destination)?;
        let endpoint_answered_at = self.endpoints.get(endpoint)?.limiter.last_answer_at;
        Some(Silence {
            endpoint,
            destination: message.destination,
            class: message.class,
            endpoint_silent: endpoint_answered_at < due.sent_at,
            destination_silent: destination.limiter.last_answer_at < due.sent_at,
        })
    }

    /// Messages whose deadline or right to a retry has come.
    pub(crate) fn expired(&self, deadline: Time, retry_expiry: Time) -> BTreeSet<u32> {
        let due = self.deadlines.iter().take_while(|entry| entry.at <= deadline);
        let expiries = self.wait_queue.retry_expiries.iter();
        let unretryable = expiries.take_while(|entry| entry.at <= retry_expiry);
        due.chain(unretryable).map(|entry| entry.message).collect()
    }

    /// Messages at the head of their key whose cooldown is over, but not yet known to be.
    pub(crate) fn cooled_down(&self, destination: u32, now: Time) -> Vec<u32> {
        let Some(destination) = self.destinations.get(destination) else { return Vec::new() };
        let mut waiting = destination.queue.in_key_cooldown();
        waiting.retain(|id| {
            let queue = self.key_queues.get(self.messages[id].ordering_key);
            queue.is_none_or(|queue| queue.cooldown_until <= now)
        });
        waiting
    }

    /// A group of a destination comes due after other spans from now on.
    pub(crate) fn set_spans(&mut self, group: AttemptGroup, spans: GroupSpans) {
        self.overdue_index.set_span(group, spans.overdue);
        self.overdue_index.set_span(group.shared(), spans.shared_overdue);
        self.hedge_index.set_span(group, spans.hedge);
    }

    /// A destination gets groups of its own once it has shown enough latencies; true if that is now.
    pub(crate) fn start_own_groups(&mut self, destination: u32) -> bool {
        let Some(destination) = self.destinations.get_mut(destination) else { return false };
        let starts = !destination.has_own_groups && destination.latencies.high_percentile.is_some();
        destination.has_own_groups |= starts;
        starts
    }

    /// A destination has latencies of its own now: its attempts leave the shared group of their class.
    pub(crate) fn leave_shared_group(&mut self, group: AttemptGroup, overdue_span: Time) {
        let messages = &self.messages;
        let belongs = |message: u32| Some(messages[&message].destination) == group.destination;
        self.overdue_index.move_attempts(group.shared(), group, overdue_span, belongs);
    }

    /// Counts a new call to an endpoint.
    pub(crate) fn open_call(&mut self, endpoint: u32, destination: u32, now: Time) {
        let call = self.next_sequence();
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.open_call = OpenCall { call, started_at: now, sends: 0 };
            endpoint.calls_in_flight += 1;
        }
        if let Some(destination) = self.destinations.get_mut(destination) {
            destination.calls_in_flight += 1;
        }
    }

    /// Records a message's next attempt, in the open call of an endpoint; overdue after this span.
    pub(crate) fn record_send(&mut self, id: u32, endpoint: u32, now: Time, overdue_span: Time) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(endpoint_state) = self.endpoints.get_mut(endpoint) else { return };
        endpoint_state.open_call.sends += 1;
        let call = endpoint_state.open_call.call;
        self.calls.entry(call).or_default().sends += 1;
        let attempt = message.attempts;
        message.attempts += 1;
        message.attempts_in_flight += 1;
        let zone = endpoint_state.zone;
        message.possibly_executed.push(PossibleExecution { sent_at: now, attempt, zone });
        if let Some(destination) = self.destinations.get_mut(message.destination) {
            destination.last_sent_at = now;
        }
        let sent = SentAttempt { sent_at: now, message: id, attempt };
        let group = self.overdue_group(&self.messages[&id]);
        self.overdue_index.insert(group, overdue_span, sent);
        self.leave_wait_queue(id);
        let in_flight = InFlightAttempt { endpoint, sent_at: now, call, cancelled: false };
        self.in_flight.insert(AttemptId { message: id, attempt }, in_flight);
    }
}
