//! Drives a dispatcher in virtual time: messages, endpoints that serve all of them, and the first that reject.

use super::Case;
use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Class, DestinationKind, Dispatcher, Endpoint,
    EndpointStatus, Event, Idempotency, Settings, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

const MILLISECOND: Time = 1_000_000;
const SECOND: Time = 1_000 * MILLISECOND;
/// Messages accepted in each decision cycle.
pub(super) const MESSAGES_PER_CYCLE: u32 = 5;
const ENDPOINTS_PER_DESTINATION: u32 = 2;
/// Messages that a destination has had before anything is measured, in the mean.
const WARM_UP_MESSAGES: u32 = 20;
/// Destinations that have sent a Retry-After; the waiting messages are theirs.
const WAITING_DESTINATIONS: u32 = 8;
const CLASSES: u32 = 3;
/// Longer than any measurement.
const DEADLINE: Time = 10_000 * SECOND;
const DEDUP_WINDOW: Time = 20_000 * SECOND;
const LONG_RETRY_AFTER: Time = 100_000 * SECOND;

/// A call to an endpoint that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    message: u32,
    attempt: u16,
    endpoint: u32,
    started_at: Time,
}

/// Whether a message is completed by the end of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completion {
    Completed,
    Open,
}

pub(super) struct Driver {
    case: Case,
    dispatcher: Dispatcher,
    now: Time,
    next_message: u32,
    events: Vec<Event>,
    /// In the order in which they end.
    calls: VecDeque<Call>,
    /// The next attempt of each open message.
    next_attempts: BTreeMap<u32, u16>,
    service_time: Time,
    rng: ChaCha8Rng,
}

impl Driver {
    /// A dispatcher with the load of a case, before anything is measured.
    pub(super) fn new(case: Case) -> Driver {
        let mut driver = Driver {
            case,
            dispatcher: Dispatcher::new(settings(case), 1),
            now: SECOND,
            next_message: 0,
            events: Vec::new(),
            calls: VecDeque::new(),
            next_attempts: BTreeMap::new(),
            service_time: Time::from(case.calls_in_flight / MESSAGES_PER_CYCLE) * MILLISECOND,
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        driver.prepare();
        driver
    }

    /// Microseconds a message, over so many decision cycles.
    pub(super) fn measure(&mut self, cycles: u64) -> f64 {
        let started = Instant::now();
        self.run_cycles(cycles);
        let messages = cycles * u64::from(MESSAGES_PER_CYCLE);
        started.elapsed().as_secs_f64() * 1e6 / messages as f64
    }

    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The endpoint list, messages for destinations that let the courier wait, and the first calls.
    fn prepare(&mut self) {
        let entries = endpoints(WAITING_DESTINATIONS + self.case.destinations);
        self.events.push(Event::EndpointList { complete: true, entries });
        for destination in 0..WAITING_DESTINATIONS {
            self.accept(destination, 0);
        }
        self.decide();
        for call in std::mem::take(&mut self.calls) {
            // As if it had been rejected at once.
            let call = Call { started_at: self.now, ..call };
            self.finish(call, AttemptOutcome::Rejected { retry_after: LONG_RETRY_AFTER }, Completion::Open);
        }
        for number in 0..self.case.waiting_messages {
            self.accept(number % WAITING_DESTINATIONS, number % CLASSES);
        }
        // Until calls in flight are as many as they will be, and latencies of all destinations are known.
        let until_steady = self.service_time / MILLISECOND + 300;
        let until_known = u64::from(self.case.destinations * WARM_UP_MESSAGES / MESSAGES_PER_CYCLE);
        self.run_cycles(until_steady + until_known);
    }

    fn accept(&mut self, destination: u32, class: u32) {
        let id = self.next_message;
        self.next_message += 1;
        self.events.push(Event::Accepted(AcceptedMessage {
            id,
            destination,
            class: class as u8,
            time_remaining: DEADLINE,
            ordering_key: 0,
            tenant: 0,
        }));
    }

    fn finish(&mut self, call: Call, outcome: AttemptOutcome, completion: Completion) {
        let completed = completion == Completion::Completed;
        if completed {
            self.next_attempts.remove(&call.message);
        }
        self.events.push(Event::AttemptFinished(AttemptResult {
            message: call.message,
            attempt: call.attempt,
            endpoint: call.endpoint,
            outcome,
            elapsed: self.now - call.started_at,
            completed,
            capacity_left: None,
            rate_limit: None,
        }));
    }

    fn decide(&mut self) {
        let events = std::mem::take(&mut self.events);
        for action in self.dispatcher.decide(self.now, events) {
            match action {
                Action::Send { message, endpoint, .. } => self.start_call(message, endpoint),
                Action::Cancel { message, attempt } => self.cancel_call(message, attempt),
                _ => {}
            }
        }
    }

    fn start_call(&mut self, message: u32, endpoint: u32) {
        let next_attempt = self.next_attempts.entry(message).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        self.calls.push_back(Call { message, attempt, endpoint, started_at: self.now });
    }

    fn cancel_call(&mut self, message: u32, attempt: u16) {
        let is_cancelled = |call: &Call| call.message == message && call.attempt == attempt;
        let Some(index) = self.calls.iter().position(is_cancelled) else { return };
        if let Some(call) = self.calls.remove(index) {
            self.finish(call, AttemptOutcome::Cancelled, Completion::Open);
        }
    }

    fn run_cycles(&mut self, cycles: u64) {
        for _ in 0..cycles {
            self.now += MILLISECOND;
            while let Some(call) = self.next_served_call() {
                self.finish(call, AttemptOutcome::Served, Completion::Completed);
            }
            for number in 0..MESSAGES_PER_CYCLE {
                self.accept_drawn(number);
            }
            self.decide();
        }
    }

    fn next_served_call(&mut self) -> Option<Call> {
        let oldest = self.calls.front()?;
        if oldest.started_at + self.service_time > self.now {
            return None;
        }
        self.calls.pop_front()
    }

    /// Accepts a message of a cycle. If it is crowded, the first one is for a destination that lets it wait.
    fn accept_drawn(&mut self, number: u32) {
        let drawn = WAITING_DESTINATIONS + self.rng.random_range(0..self.case.destinations);
        let class = self.rng.random_range(0..CLASSES);
        let waits = self.case.is_crowded && number == 0;
        let destination = if waits { self.next_message % WAITING_DESTINATIONS } else { drawn };
        self.accept(destination, class);
    }
}

fn endpoints(destinations: u32) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for destination in 0..destinations {
        for number in 0..ENDPOINTS_PER_DESTINATION {
            endpoints.push(Endpoint {
                id: destination * ENDPOINTS_PER_DESTINATION + number,
                destination,
                kind: 0,
                zone: 0,
                rate: 0.0,
                status: EndpointStatus::Ready,
            });
        }
    }
    endpoints
}

fn class(idempotency: Idempotency, priority_weight: f64) -> Class {
    Class {
        latency_objective: 30 * SECOND,
        deadline: DEADLINE,
        priority_weight,
        late_weight: 0.5,
        idempotency,
        ordered: false,
    }
}

fn settings(case: Case) -> Settings {
    let max_in_flight_messages =
        if case.is_crowded { case.waiting_messages * 10 / 9 } else { 200_000 + case.calls_in_flight };
    Settings {
        courier_count: 1,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed { dedup_window: DEDUP_WINDOW, per_zone: false }, 2.0),
            class(Idempotency::NotIdempotent, 4.0),
        ],
        kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
        max_in_flight_calls: case.calls_in_flight * 4 + 100,
        max_in_flight_messages,
        max_attempts: 5,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 3 * SECOND,
        calls_per_connection: 1,
        idle_timeout: 60 * SECOND,
        connect_timeout: SECOND,
        slow_start_ratio: 0.2,
        slow_start_duration: SECOND,
        overload_ratio: 2.0,
        overload_window: SECOND,
        tick: MILLISECOND,
        ..Settings::default()
    }
}
