//! A policy that sends messages first come first served, round robin over the ready endpoints of their
//! destination, with one attempt of a message at a time.
//!
//! It retries with exponential backoff where the class allows it, respects Retry-After and ordering keys, and
//! gives up shortly before the deadline. It never hedges, ejects endpoints, or tracks their limits.

use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, Idempotency,
    Settings, Time,
};
use linnetcart_edge::core::DecisionPolicy;
use std::collections::{BTreeMap, BTreeSet};

/// Base of the exponential backoff, in nanoseconds. After attempt n, counted from 1, a retry waits
/// `BASE_BACKOFF * 2^min(n, MAX_BACKOFF_DOUBLINGS)`, without jitter: 200 ms to 6.4 s.
const BASE_BACKOFF: Time = 100_000_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Messages are given up this many ticks (`Settings::tick`) before their deadline.
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
    /// When the first attempt ended that an endpoint may have executed; `None` if no endpoint can have
    /// executed the message.
    possibly_executed_since: Option<Time>,
    is_in_flight: bool,
    /// No attempt starts before this time, the end of the longer of backoff and Retry-After.
    not_before: Time,
    ordering_key: u64,
    /// The position in the queue, by order of acceptance. A retry keeps the position of the first attempt.
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
    /// Number of attempts to each destination so far, which selects the next endpoint.
    attempts_by_destination: BTreeMap<u32, usize>,
    messages: BTreeMap<u32, Message>,
    /// Messages that wait to be sent.
    queue: BTreeSet<QueueEntry>,
    /// For each ordering key, the message that was attempted and is neither completed nor given up. Other
    /// messages of the key wait for it.
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
        let backoff = BASE_BACKOFF << message.attempts.min(MAX_BACKOFF_DOUBLINGS);
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

    /// Whether another attempt is safe by the idempotency of the message's class. With an idempotency key,
    /// the attempt must arrive before the endpoints forget the key, even if it has to connect first:
    /// `now + wait + connect_timeout < possibly_executed_since + dedup_window`.
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

    /// Gives up a message: rejects it if its client may safely submit it again, otherwise fails it, because
    /// it may have been executed.
    fn give_up(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let idempotency = self.settings.classes[message.class].idempotency;
        let is_repeatable =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. });
        let is_not_executed = message.possibly_executed_since.is_none() && !message.is_in_flight;
        if is_repeatable || is_not_executed {
            actions.push(Action::Reject { message: id, retry_after: 0 });
        } else {
            actions.push(Action::Fail { message: id });
        }
        self.forget(id);
    }

    /// Gives up the messages within [`GIVE_UP_TICKS`] ticks of their deadline.
    fn give_up_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let latest = now + GIVE_UP_TICKS * self.settings.tick;
        let expired = self.messages.iter().filter(|(_, message)| message.deadline <= latest);
        let expired: Vec<u32> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.give_up(id, actions);
        }
    }

    /// Sends queued messages in order of acceptance until `max_in_flight_calls` calls are in flight. Messages
    /// that wait for a backoff, a Retry-After or another message of their ordering key are skipped.
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

    /// Starts an attempt of a message and returns the endpoint that is next in turn, or `None` if no endpoint
    /// of the destination is ready.
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

    /// Returns when to decide next if no event comes before: at the earliest end of a backoff or time to give
    /// up a message. Returns `None` if there is no message.
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
