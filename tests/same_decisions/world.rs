//! A random simulation around one courier, in virtual time: clients, destinations with faults, a changing
//! endpoint list and pauses of the courier. The same seed gives the same events as long as the dispatcher
//! makes the same decisions.

use crate::endpoint_model::{Behaviour, EndpointModel};
use crate::random_settings::{random_classes, random_settings};
use linnetcart::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const MILLISECOND: Time = 1_000_000;
pub const SECOND: Time = 1_000 * MILLISECOND;

/// A message without a final answer, or with attempts still in flight.
#[derive(Default)]
struct OpenMessage {
    /// Numbers of its attempts in flight.
    in_flight: BTreeSet<u16>,
    /// Number of attempts sent so far.
    attempts: u16,
    /// Whether it has its final answer.
    completed: bool,
    /// Clock time in nanoseconds.
    deadline: Time,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    message: u32,
    attempt: u16,
}

/// Queue entry: the result of an attempt arrives at clock time `at`; the earliest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Time,
    id: AttemptId,
}

struct InFlightAttempt {
    endpoint: u32,
    sent_at: Time,
    /// The outcome that its result will have, drawn when it is sent.
    outcome: AttemptOutcome,
}

/// The simulated surroundings of one dispatcher: its clients, endpoints and clock.
pub struct World {
    random: StdRng,
    pub settings: Settings,
    pub now: Time,
    endpoints: BTreeMap<u32, EndpointModel>,
    /// Number of destinations.
    destinations: u32,
    open: BTreeMap<u32, OpenMessage>,
    arrivals: BTreeSet<Arrival>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Clock time of the wake-up that the dispatcher requested last.
    wake_up: Time,
    next_message: u32,
    messages_a_second: f64,
    /// Number of distinct ordering keys of messages.
    ordering_keys: u64,
    /// Probability per decision cycle that endpoints of a destination change their behaviour.
    fault_probability: f64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let classes = random_classes(&mut random);
        let rate_accuracies = [RateAccuracy::Unspecified, RateAccuracy::Approximate, RateAccuracy::Exact];
        let rate_accuracy = rate_accuracies[random.random_range(0..3)];
        let destinations = [1, 3, 12, 60][random.random_range(0..4)];
        let settings = random_settings(&mut random, classes, rate_accuracy);
        let messages_a_second = [5.0, 40.0, 200.0, 1500.0][random.random_range(0..4)];
        let ordering_keys = [1, 5, 200][random.random_range(0..3)];
        let fault_probability = [0.0, 0.005, 0.05][random.random_range(0..3)];
        let mut world = World {
            random,
            settings,
            now: SECOND,
            endpoints: BTreeMap::new(),
            destinations,
            open: BTreeMap::new(),
            arrivals: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            wake_up: 0,
            next_message: 1,
            messages_a_second,
            ordering_keys,
            fault_probability,
        };
        for destination in 0..destinations {
            for number in 0..world.random.random_range(1..5) {
                let id = destination * 10 + number;
                let endpoint = EndpointModel::random(&mut world.random, destination, id);
                world.endpoints.insert(id, endpoint);
            }
        }
        world
    }

    fn complete_list(&self) -> Event {
        let entries = self.endpoints.values().map(|endpoint| endpoint.entry.clone()).collect();
        Event::EndpointList { complete: true, entries }
    }

    /// Advances the clock to the next decision cycle and returns the events until then.
    pub fn events(&mut self) -> Vec<Event> {
        let is_first_cycle = self.next_message == 1;
        let step = self.advance_clock();
        let mut events = Vec::new();
        if is_first_cycle {
            events.push(self.complete_list());
            self.next_message += 1;
        }
        self.change_behaviour();
        events.extend(self.change_list());
        self.end_attempts(&mut events);
        self.submit_messages(step, &mut events);
        events.extend(self.cancel_message());
        events
    }

    /// Advances the clock to a random time, often that of the wake-up; a rare long step is a courier pause.
    /// Returns the step in nanoseconds.
    fn advance_clock(&mut self) -> Time {
        let tick = self.settings.tick;
        let step = match self.random.random_range(0..100) {
            0 if self.fault_probability > 0.0 => self.random.random_range(SECOND / 2..3 * SECOND),
            0..60 => self.random.random_range(tick..8 * MILLISECOND.max(tick)),
            _ => self.wake_up.saturating_sub(self.now).clamp(tick, 50 * MILLISECOND),
        };
        self.now += step;
        step
    }

    /// At random, gives some or all endpoints of a destination a new behaviour.
    fn change_behaviour(&mut self) {
        let random = &mut self.random;
        if !random.random_bool(self.fault_probability) {
            return;
        }
        let destination = random.random_range(0..self.destinations);
        let all_endpoints = random.random_bool(0.4);
        let behaviour = Behaviour::random(random);
        for endpoint in self.endpoints.values_mut() {
            if endpoint.entry.destination != destination {
                continue;
            }
            if all_endpoints || random.random_bool(0.3) {
                endpoint.behaviour = behaviour;
            }
        }
    }

    /// At random, returns the complete endpoint list, a failure of it, or a status change of one endpoint.
    fn change_list(&mut self) -> Option<Event> {
        match self.random.random_range(0..400) {
            0 => Some(self.complete_list()),
            1 => Some(Event::EndpointListFailed),
            2 | 3 => {
                let number = self.random.random_range(0..self.endpoints.len());
                let endpoint = self.endpoints.values_mut().nth(number)?;
                let statuses = [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Removed];
                endpoint.entry.status = statuses[self.random.random_range(0..3)];
                Some(Event::EndpointList { complete: false, entries: vec![endpoint.entry.clone()] })
            }
            _ => None,
        }
    }

    /// Adds the results of all attempts that have arrived by now.
    fn end_attempts(&mut self, events: &mut Vec<Event>) {
        while let Some(arrival) = self.arrivals.first().copied().filter(|arrival| arrival.at <= self.now) {
            self.arrivals.pop_first();
            events.extend(self.end_attempt(arrival.id));
        }
    }

    fn end_attempt(&mut self, id: AttemptId) -> Option<Event> {
        let in_flight = self.in_flight.remove(&id)?;
        let InFlightAttempt { endpoint, sent_at, outcome } = in_flight;
        let open = self.open.get_mut(&id.message)?;
        open.in_flight.remove(&id.attempt);
        open.completed |= outcome == AttemptOutcome::Served;
        let completed = open.completed;
        if completed && open.in_flight.is_empty() {
            self.open.remove(&id.message);
        }
        let reports_load = self.endpoints.get(&endpoint).is_some_and(|endpoint| endpoint.reports_load);
        Some(Event::AttemptFinished(AttemptResult {
            message: id.message,
            attempt: id.attempt,
            endpoint,
            outcome,
            elapsed: self.now - sent_at,
            completed,
            capacity_left: reports_load.then(|| self.random.random_range(0.0..1.0)),
            rate_limit: reports_load.then_some(80.0),
        }))
    }

    /// Adds the messages of `step` nanoseconds at the mean rate, and a rare burst.
    fn submit_messages(&mut self, step: Time, events: &mut Vec<Event>) {
        let mean = self.messages_a_second * step as f64 / SECOND as f64;
        let mut count = mean as u32 + u32::from(self.random.random_bool(mean.fract()));
        if self.random.random_bool(0.002) {
            count += self.random.random_range(1..400);
        }
        for _ in 0..count {
            events.push(self.submit_message());
        }
    }

    fn submit_message(&mut self) -> Event {
        let random = &mut self.random;
        let class = random.random_range(0..self.settings.classes.len());
        let deadline = self.settings.classes[class].deadline;
        let has_short_deadline = random.random_bool(0.1);
        let time_remaining = if has_short_deadline { random.random_range(0..deadline) } else { deadline };
        let destination = random.random_range(0..self.destinations + 1).min(self.destinations);
        let ordering_key = random.random_range(0..=self.ordering_keys);
        let id = self.next_message;
        self.next_message += 1;
        let open = OpenMessage { deadline: self.now + time_remaining, ..OpenMessage::default() };
        self.open.insert(id, open);
        let class = class as u8;
        Event::Accepted(AcceptedMessage { id, destination, class, time_remaining, ordering_key, tenant: 0 })
    }

    /// At random, lets a client cancel a message that has no final answer.
    fn cancel_message(&mut self) -> Option<Event> {
        if !self.random.random_bool(0.02) {
            return None;
        }
        let unanswered = self.open.iter().filter(|(_, open)| !open.completed);
        let unanswered: Vec<u32> = unanswered.map(|(&id, _)| id).collect();
        if unanswered.is_empty() {
            return None;
        }
        let message = unanswered[self.random.random_range(0..unanswered.len())];
        self.complete(message);
        Some(Event::ClientCancelled { message })
    }

    fn complete(&mut self, message: u32) {
        let Some(open) = self.open.get_mut(&message) else { return };
        open.completed = true;
        if open.in_flight.is_empty() {
            self.open.remove(&message);
        }
    }

    /// Carries out the dispatcher's actions.
    pub fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { message, endpoint, .. } => self.start_attempt(message, endpoint),
                Action::Cancel { message, attempt } => self.cancel_attempt(AttemptId { message, attempt }),
                Action::Reject { message, .. } | Action::Fail { message } => self.complete(message),
                Action::WakeUp { at } => self.wake_up = at,
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, message: u32, endpoint: u32) {
        let open = self.open.get_mut(&message).expect("sent for a message that is not open");
        let id = AttemptId { message, attempt: open.attempts };
        open.attempts += 1;
        open.in_flight.insert(id.attempt);
        let time_remaining = open.deadline.saturating_sub(self.now);
        let listed = self.endpoints.get(&endpoint);
        let behaviour = listed.map_or(Behaviour::RefusesConnections, |endpoint| endpoint.behaviour);
        let end = behaviour.end_attempt(&mut self.random, time_remaining);
        self.arrivals.insert(Arrival { at: self.now + end.latency, id });
        let in_flight = InFlightAttempt { endpoint, sent_at: self.now, outcome: end.outcome };
        self.in_flight.insert(id, in_flight);
    }

    fn cancel_attempt(&mut self, id: AttemptId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else { return };
        in_flight.outcome = AttemptOutcome::Cancelled;
        self.arrivals.retain(|arrival| arrival.id != id);
        self.arrivals.insert(Arrival { at: self.now + MILLISECOND, id });
    }
}
