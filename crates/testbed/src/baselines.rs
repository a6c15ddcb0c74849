//! Policies to compare with: what a courier without the decision library would do. They are no part of the product.

use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, Idempotency,
    Settings, Time,
};
use linnetcart_edge::core::{library, DecisionPolicy, PolicyFactory};
use std::collections::{BTreeMap, BTreeSet};

/// Names of the policies, the library's first.
pub const NAMES: [&str; 3] = ["library", "one-try", "round-robin"];

/// The pause before the first retry; it doubles with each attempt.
const INITIAL_BACKOFF: Time = 100_000_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Messages are given up so many ticks before their deadline.
const GIVE_UP_TICKS: Time = 2;
/// The ordering key of messages that need no order.
const NO_ORDERING_KEY: u64 = 0;

/// The policy of this name.
pub fn policy(name: &str) -> Option<PolicyFactory> {
    match name {
        "library" => Some(library),
        "one-try" => Some(|settings, _| Box::new(RoundRobin::new(settings, Retries::Never))),
        "round-robin" => Some(|settings, _| Box::new(RoundRobin::new(settings, Retries::AsClassAllows))),
        _ => None,
    }
}

/// Whether a message is sent again after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retries {
    Never,
    AsClassAllows,
}

#[derive(Debug)]
struct Message {
    destination: u32,
    class: usize,
    deadline: Time,
    attempts: u32,
    /// When it was first possibly executed.
    possibly_executed_since: Option<Time>,
    is_in_flight: bool,
    not_before: Time,
    ordering_key: u64,
    /// Its place in the queue, which it keeps.
    place: u64,
}

#[derive(Debug)]
struct KnownEndpoint {
    destination: u32,
    status: EndpointStatus,
}

/// Sends each message round robin over the endpoints of its destination, first come first served, one attempt at a
/// time.
#[derive(Debug)]
struct RoundRobin {
    settings: Settings,
    retries: Retries,
    endpoints: BTreeMap<u32, KnownEndpoint>,
    /// Attempts of each destination so far.
    turns: BTreeMap<u32, usize>,
    messages: BTreeMap<u32, Message>,
    /// Messages that wait to be sent, by place.
    queue: BTreeSet<(u64, u32)>,
    /// The message of each ordering key that others of the key wait for.
    key_holders: BTreeMap<u64, u32>,
    last_place: u64,
    calls_in_flight: u32,
}

impl RoundRobin {
    fn new(settings: Settings, retries: Retries) -> RoundRobin {
        RoundRobin {
            settings,
            retries,
            endpoints: BTreeMap::new(),
            turns: BTreeMap::new(),
            messages: BTreeMap::new(),
            queue: BTreeSet::new(),
            key_holders: BTreeMap::new(),
            last_place: 0,
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
        self.last_place += 1;
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
            place: self.last_place,
        };
        self.queue.insert((message.place, accepted.id));
        self.messages.insert(accepted.id, message);
    }

    fn forget(&mut self, id: u32) {
        let Some(message) = self.messages.remove(&id) else { return };
        if self.key_holders.get(&message.ordering_key) == Some(&id) {
            self.key_holders.remove(&message.ordering_key);
        }
        self.queue.remove(&(message.place, id));
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
        let place = message.place;
        if result.completed {
            self.forget(id);
        } else if self.may_retry(id, now) {
            self.queue.insert((place, id));
        } else {
            self.give_up(id, actions);
        }
    }

    fn may_retry(&self, id: u32, now: Time) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let is_safe =
            match (self.settings.classes[message.class].idempotency, message.possibly_executed_since) {
                (_, None) | (Idempotency::Idempotent, _) => true,
                (Idempotency::Keyed { dedup_window, per_zone }, Some(since)) => {
                    let wait = message.not_before.saturating_sub(now);
                    let arrives_by = now + self.settings.connect_timeout + wait;
                    !per_zone && arrives_by < since + dedup_window
                }
                (Idempotency::NotIdempotent, Some(_)) => false,
            };
        self.retries == Retries::AsClassAllows && is_safe && message.attempts < self.settings.max_attempts
    }

    /// Rejects a message that another courier may send, and fails one that may have been executed.
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

    fn give_up_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let latest = now + GIVE_UP_TICKS * self.settings.tick;
        let expired = self.messages.iter().filter(|(_, message)| message.deadline <= latest);
        let expired: Vec<u32> = expired.map(|(&id, _)| id).collect();
        for id in expired {
            self.give_up(id, actions);
        }
    }

    fn send_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (place, id) in self.queue.clone() {
            if self.calls_in_flight >= self.settings.max_in_flight_calls {
                break;
            }
            if !self.may_send(id, now) {
                continue;
            }
            if let Some(endpoint) = self.start_attempt(id) {
                self.queue.remove(&(place, id));
                actions.push(Action::Send { message: id, endpoint, until: 0 });
            }
        }
    }

    fn may_send(&self, id: u32, now: Time) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let key = message.ordering_key;
        let key_is_free =
            key == NO_ORDERING_KEY || self.key_holders.get(&key).is_none_or(|&holder| holder == id);
        message.not_before <= now && key_is_free
    }

    /// Picks the next endpoint of a message's destination; none if none is ready.
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
        let turn = self.turns.entry(message.destination).or_default();
        *turn += 1;
        let endpoint = ready[*turn % ready.len()];
        message.attempts += 1;
        message.is_in_flight = true;
        if message.ordering_key != NO_ORDERING_KEY {
            self.key_holders.insert(message.ordering_key, id);
        }
        self.calls_in_flight += 1;
        Some(endpoint)
    }

    /// When the policy is to be asked again, if nothing happens before.
    fn next_wakeup(&self, now: Time) -> Option<Time> {
        let give_up_before = GIVE_UP_TICKS * self.settings.tick;
        let give_ups = self.messages.values().map(|message| message.deadline - give_up_before);
        let queued = self.queue.iter().filter_map(|(_, id)| self.messages.get(id));
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
