//! A policy that sends messages round robin, first come first served, with one attempt at a time.
//!
//! It retries with exponential backoff where the class allows it, respects Retry-After and ordering keys, and
//! gives up shortly before the deadline. It never hedges, ejects endpoints, or tracks their limits.

use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, Idempotency,
    Settings, Time,
};
use linnetcart_edge::core::DecisionPolicy;
use std::collections::{BTreeMap, BTreeSet};

/// The backoff before the first retry, in nanoseconds; it doubles with each attempt.
const INITIAL_BACKOFF: Time = 100_000_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Messages are given up this many ticks before their deadline.
const GIVE_UP_TICKS: Time = 2;
/// The ordering key of messages that need no order.
const NO_ORDERING_KEY: u64 = 0;

/// Whether a message is retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retries {
    /// Every message has one attempt.
    Never,
    /// A message is retried if repeating it is safe for its class.
    AsClassAllows,
}

#[derive(Debug)]
struct Message {
    destination: u32,
    class: usize,
    deadline: Time,
    attempts: u32,
    /// When the first attempt ended that may have been executed, or `None` if there was none.
    possibly_executed_since: Option<Time>,
    is_in_flight: bool,
    /// The backoff or Retry-After ends at this time.
    not_before: Time,
    ordering_key: u64,
    /// Its position in the queue; a retry waits at the same position.
    position: u64,
}

#[derive(Debug)]
struct KnownEndpoint {
    destination: u32,
    status: EndpointStatus,
}

/// An entry of the queue, which is ordered by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    position: u64,
    message: u32,
}

/// Sends each message round robin over the endpoints of its destination.
#[derive(Debug)]
pub(super) struct RoundRobin {
    settings: Settings,
    retries: Retries,
    endpoints: BTreeMap<u32, KnownEndpoint>,
    /// Number of attempts to each destination so far.
    attempts_by_destination: BTreeMap<u32, usize>,
    messages: BTreeMap<u32, Message>,
    /// Messages that wait to be sent.
    queue: BTreeSet<QueueEntry>,
    /// The message that each ordering key is reserved by; later messages of the key wait until it has ended.
    reserved_keys: BTreeMap<u64, u32>,
    last_position: u64,
    calls_in_flight: u32,
}

impl RoundRobin {
    pub(super) fn new(settings: Settings, retries: Retries) -> RoundRobin {
        RoundRobin {
            settings,
            retries,
            endpoints: BTreeMap::new(),
            attempts_by_destination: BTreeMap::new(),
            messages: BTreeMap::new(),
            queue: BTreeSet::new(),
            reserved_keys: BTreeMap::new(),
            last_position: 0,
            calls_in_flight: 0,
        }
    }

    fn apply(&mut self, event: Event, now: Time, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { complete, entries } => {
                if complete {
                    self.remove_all_endpoints();
                }
                for entry in entries {
                    self.update_endpoint(&entry);
                }
            }
            Event::Accepted(message) => self.accept(&message, now),
            Event::ClientCancelled { message } => self.forget(message),
            Event::AttemptFinished(result) => self.finish_attempt(&result, now, actions),
            _ => {}
        }
    }

    fn remove_all_endpoints(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.status = EndpointStatus::Removed;
        }
    }

    fn update_endpoint(&mut self, entry: &Endpoint) {
        let known = KnownEndpoint { destination: entry.destination, status: entry.status };
        self.endpoints.insert(entry.id, known);
    }

    fn accept(&mut self, accepted: &AcceptedMessage, now: Time) {
        self.last_position += 1;
        let class = usize::from(accepted.class);
        let is_ordered = self.settings.classes[class].ordered;
        let message = Message {
            destination: accepted.destination,
            class,
            deadline: now + accepted.time_remaining,
            attempts: 0,
            possibly_executed_since: None,
            is_in_flight: false,
            not_before: 0,
            ordering_key: if is_ordered { accepted.ordering_key } else { NO_ORDERING_KEY },
            position: self.last_position,
        };
        self.queue.insert(QueueEntry { position: message.position, message: accepted.id });
        self.messages.insert(accepted.id, message);
    }

    fn forget(&mut self, id: u32) {
        let Some(message) = self.messages.remove(&id) else { return };
        if self.reserved_keys.get(&message.ordering_key) == Some(&id) {
            self.reserved_keys.remove(&message.ordering_key);
        }
        self.queue.remove(&QueueEntry { position: message.position, message: id });
    }

    fn finish_attempt(&mut self, result: &AttemptResult, now: Time, actions: &mut Vec<Action>) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        let id = result.message;
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.is_in_flight = false;
        if !result.outcome.not_executed() {
            message.possibly_executed_since.get_or_insert(now);
        }
        let retry_after = match result.outcome {
            AttemptOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        let backoff = INITIAL_BACKOFF << message.attempts.min(MAX_BACKOFF_DOUBLINGS);
        message.not_before = now + backoff.max(retry_after);
        let entry = QueueEntry { position: message.position, message: id };
        if result.completed {
            self.forget(id);
        } else if self.may_retry(id, now) {
            self.queue.insert(entry);
        } else {
            self.give_up(id, actions);
        }
    }

    fn may_retry(&self, id: u32, now: Time) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        self.retries == Retries::AsClassAllows
            && message.attempts < self.settings.max_attempts
            && self.is_safe_to_repeat(message, now)
    }

    /// Whether a further attempt cannot execute the message a second time, as far as its class promises.
    fn is_safe_to_repeat(&self, message: &Message, now: Time) -> bool {
        let Some(possibly_executed_since) = message.possibly_executed_since else { return true };
        match self.settings.classes[message.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { dedup_window, per_zone } => {
                let wait = message.not_before.saturating_sub(now);
                let arrives_by = now + self.settings.connect_timeout + wait;
                !per_zone && arrives_by < possibly_executed_since + dedup_window
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Ends a message: rejects it if its client may submit it again, and fails it if it may have been
    /// executed.
    fn give_up(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let idempotency = self.settings.classes[message.class].idempotency;
        let is_repeatable =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. });
        let was_never_sent = message.possibly_executed_since.is_none() && !message.is_in_flight;
        if is_repeatable || was_never_sent {
            actions.push(Action::Reject { message: id, retry_after: 0 });
        } else {
            actions.push(Action::Fail { message: id });
        }
        self.forget(id);
    }

    /// Gives up the messages whose deadline is too close for another attempt.
    fn give_up_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let latest = now + GIVE_UP_TICKS * self.settings.tick;
        let expired = self.messages.iter().filter(|(_, message)| message.deadline <= latest);
        let expired: Vec<u32> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.give_up(id, actions);
        }
    }

    fn send_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for entry in self.queue.clone() {
            if self.calls_in_flight >= self.settings.max_in_flight_calls {
                break;
            }
            if !self.may_send(entry.message, now) {
                continue;
            }
            if let Some(endpoint) = self.start_attempt(entry.message) {
                self.queue.remove(&entry);
                actions.push(Action::Send { message: entry.message, endpoint, until: 0 });
            }
        }
    }

    fn may_send(&self, id: u32, now: Time) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let key = message.ordering_key;
        let key_is_free = key == NO_ORDERING_KEY
            || self.reserved_keys.get(&key).is_none_or(|&reserved_by| reserved_by == id);
        message.not_before <= now && key_is_free
    }

    /// Starts an attempt and returns its endpoint, or `None` if no endpoint of the destination is ready.
    fn start_attempt(&mut self, id: u32) -> Option<u32> {
        let message = self.messages.get_mut(&id)?;
        let is_ready = |endpoint: &KnownEndpoint| {
            endpoint.destination == message.destination && endpoint.status == EndpointStatus::Ready
        };
        let ready = self.endpoints.iter().filter(|(_, endpoint)| is_ready(endpoint));
        let ready: Vec<u32> = ready.map(|(&id, _)| id).collect();
        if ready.is_empty() {
            return None;
        }
        let attempts = self.attempts_by_destination.entry(message.destination).or_default();
        *attempts += 1;
        let endpoint = ready[*attempts % ready.len()];
        message.attempts += 1;
        message.is_in_flight = true;
        if message.ordering_key != NO_ORDERING_KEY {
            self.reserved_keys.insert(message.ordering_key, id);
        }
        self.calls_in_flight += 1;
        Some(endpoint)
    }

    /// Returns the time of the next decision if no event comes before, or `None` when no message is pending.
    fn next_wakeup(&self, now: Time) -> Option<Time> {
        let give_up_before = GIVE_UP_TICKS * self.settings.tick;
        let give_ups = self.messages.values().map(|message| message.deadline - give_up_before);
        let queued = self.queue.iter().filter_map(|entry| self.messages.get(&entry.message));
        let retries = queued.map(|message| message.not_before).filter(|&at| at > now);
        let next = give_ups.chain(retries).min()?;
        Some(next.max(now + 1))
    }
}

impl DecisionPolicy for RoundRobin {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.apply(event, now, &mut actions);
        }
        self.give_up_expired(now, &mut actions);
        self.send_queued(now, &mut actions);
        if let Some(at) = self.next_wakeup(now) {
            actions.push(Action::WakeUp { at });
        }
        actions
    }
}
