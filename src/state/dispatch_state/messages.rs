//! Operations on messages: insert, wait in the queue, complete, drop.

use super::DispatchState;
use crate::interface::{AcceptedMessage, Class, Idempotency, Time};
use crate::state::{Message, MessageTime, QueueEntry, QueueState, RecoveredAttempts, ShedSearch};
use std::collections::BTreeSet;

impl DispatchState {
    /// Adds a message that is accepted at clock time `now`. `recovered` has the attempts that earlier
    /// processes of this courier made, or is `None` for a message that is new. Returns false when a message
    /// of this number exists already.
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

    /// Returns what a message waits for at clock time `now`, by its ordering key and its possible executions.
    /// The caller has to check for [`QueueState::AwaitsRecording`] first; this function never returns it.
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

    /// Puts a message into the queue of its destination.
    pub(crate) fn join_wait_queue(&mut self, id: u32, entry: QueueEntry) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if let Some(destination) = self.destinations.get_mut(message.destination) {
            self.wait_queue.join(message, destination, entry);
        }
    }

    /// Returns all messages that wait to be sent.
    pub(crate) fn waiting_messages(&self) -> Vec<u32> {
        let waiting = self.messages.values().filter(|message| message.queue_state.is_some());
        waiting.map(|message| message.id).collect()
    }

    /// Takes a message out of the queue of its destination, if it waits there.
    pub(crate) fn leave_wait_queue(&mut self, id: u32) {
        if let Some(message) = self.messages.get_mut(&id) {
            let destination = self.destinations.get_mut(message.destination);
            self.wait_queue.leave(message, destination);
        }
    }

    /// Returns the destinations with waiting messages, the one with the least recent send first, so that
    /// dispatch serves them round robin.
    pub(crate) fn waiting_by_last_send(&self) -> Vec<u32> {
        let mut waiting: Vec<u32> = self.wait_queue.destinations.iter().copied().collect();
        waiting.sort_by_key(|&id| self.destinations[id].last_sent_at);
        waiting
    }

    /// Returns the messages of a destination that are still in [`QueueState::KeyCooldown`] although the
    /// cooldown of their key has ended.
    pub(crate) fn cooled_down(&self, destination: u32, now: Time) -> Vec<u32> {
        let Some(destination) = self.destinations.get(destination) else { return Vec::new() };
        let mut waiting = destination.queue.in_key_cooldown();
        waiting.retain(|id| {
            let queue = self.key_queues.get(self.messages[id].ordering_key);
            queue.is_none_or(|queue| queue.cooldown_until <= now)
        });
        waiting
    }

    /// Returns the messages without a final answer whose deadline is at or before `deadline`, and the waiting
    /// messages that may not be retried after `retry_expiry`. Both are clock times in nanoseconds.
    pub(crate) fn expired(&self, deadline: Time, retry_expiry: Time) -> BTreeSet<u32> {
        let due = self.deadlines.iter().take_while(|entry| entry.at <= deadline);
        let expiries = self.wait_queue.retry_expiries.iter();
        let unretryable = expiries.take_while(|entry| entry.at <= retry_expiry);
        due.chain(unretryable).map(|entry| entry.message).collect()
    }

    /// Returns the messages to shed: up to `count` of least priority weight among the sheddable messages that
    /// wait for these destinations, in ascending order of weight, then destination, then age. `weight_of`
    /// returns the weight from a class and a time of acceptance, and must not grow with age.
    pub(crate) fn least_weight(
        &self,
        destinations: &BTreeSet<u32>,
        count: usize,
        weight_of: impl Fn(usize, Time) -> f64,
    ) -> Vec<u32> {
        if count == 0 {
            return Vec::new();
        }
        let mut search = ShedSearch::new(count, weight_of);
        for &destination in destinations {
            search.add_queue(destination, &self.destinations[destination].queue);
        }
        search.least_weight()
    }

    /// Marks a message as completed and takes it out of its wait queue; returns the numbers of its attempts
    /// that are in flight and not cancelled.
    pub(crate) fn complete(&mut self, id: u32) -> Vec<u16> {
        if let Some(message) = self.messages.get_mut(&id) {
            message.completed = true;
            self.deadlines.remove(&MessageTime { at: message.deadline, message: id });
        }
        self.leave_wait_queue(id);
        self.attempts.running(id).map(|running| running.id.attempt).collect()
    }

    /// Drops a message if it is completed and has no attempt in flight. Returns the next message of its
    /// ordering key if that one waits to be sent.
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
}
