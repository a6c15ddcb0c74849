//! Drives a dispatcher in virtual time: submits messages and finishes every attempt after a fixed service
//! time.
//!
//! The destinations with the lowest numbers are waiting destinations: each sends a long Retry-After before
//! the measurement, so that the messages for it wait. All other destinations serve every attempt.

use super::workload::{self, CLASSES, DEADLINE, MILLISECOND, SECOND};
use super::Case;
use linnetcart::{AcceptedMessage, Action, AttemptOutcome, AttemptResult, Dispatcher, Event, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Messages accepted in each decision cycle.
pub(super) const MESSAGES_PER_CYCLE: u32 = 5;
/// Mean number of messages that each destination receives before the measurement begins.
const WARM_UP_MESSAGES: u32 = 20;
/// Decision cycles, of 1 ms of virtual time each, that follow the first service time until the number of
/// calls in flight is stable. The whole warm-up takes `service_time / 1 ms + WARM_UP_CYCLES` cycles, and
/// `destinations * WARM_UP_MESSAGES / MESSAGES_PER_CYCLE` more until all destinations have latency samples.
const WARM_UP_CYCLES: u64 = 300;
/// Number of waiting destinations: those that have sent a long Retry-After.
const WAITING_DESTINATIONS: u32 = 8;
/// A Retry-After longer than any measurement, in virtual nanoseconds.
const LONG_RETRY_AFTER: Time = 100_000 * SECOND;

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    message: u32,
    attempt: u16,
    endpoint: u32,
    started_at: Time,
}

/// Whether the end of an attempt completes its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completion {
    Completed,
    Open,
}

/// A dispatcher under the load of a case.
pub(super) struct Driver {
    case: Case,
    dispatcher: Dispatcher,
    now: Time,
    next_message: u32,
    events: Vec<Event>,
    /// Attempts in flight, in the order in which they end.
    calls: VecDeque<Call>,
    /// The number of the next attempt of each open message.
    next_attempts: BTreeMap<u32, u16>,
    /// Duration of every attempt, in virtual nanoseconds. By Little's law it is the number of calls in flight
    /// divided by the arrival rate, [`MESSAGES_PER_CYCLE`] per millisecond.
    service_time: Time,
    rng: ChaCha8Rng,
}

impl Driver {
    /// Creates a dispatcher and brings it to the steady state of a case.
    pub(super) fn new(case: Case) -> Driver {
        let mut driver = Driver {
            case,
            dispatcher: Dispatcher::new(workload::settings(case), 1),
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

    /// Runs this many decision cycles and returns their cost in microseconds of real time per accepted
    /// message.
    pub(super) fn measure(&mut self, cycles: u64) -> f64 {
        let started = Instant::now();
        self.run_cycles(cycles);
        let messages = cycles * u64::from(MESSAGES_PER_CYCLE);
        started.elapsed().as_secs_f64() * 1e6 / messages as f64
    }

    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    fn prepare(&mut self) {
        let entries = workload::endpoints(WAITING_DESTINATIONS + self.case.destinations);
        self.events.push(Event::EndpointList { complete: true, entries });
        self.reject_first_calls();
        for number in 0..self.case.waiting_messages {
            self.accept(number % WAITING_DESTINATIONS, number % CLASSES);
        }
        // Afterwards the number of calls in flight is stable and every destination has latency samples.
        let until_stable = self.service_time / MILLISECOND + WARM_UP_CYCLES;
        let until_sampled = u64::from(self.case.destinations * WARM_UP_MESSAGES / MESSAGES_PER_CYCLE);
        self.run_cycles(until_stable + until_sampled);
    }

    /// Sends one message to each waiting destination and rejects it at once with a long Retry-After.
    fn reject_first_calls(&mut self) {
        for destination in 0..WAITING_DESTINATIONS {
            self.accept(destination, 0);
        }
        self.decide();
        for call in std::mem::take(&mut self.calls) {
            let call = Call { started_at: self.now, ..call };
            self.finish(call, AttemptOutcome::Rejected { retry_after: LONG_RETRY_AFTER }, Completion::Open);
        }
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

    /// Removes and returns the oldest call if its service time has passed.
    fn next_served_call(&mut self) -> Option<Call> {
        let oldest = self.calls.front()?;
        if oldest.started_at + self.service_time > self.now {
            return None;
        }
        self.calls.pop_front()
    }

    /// Accepts a message for a random destination that serves it. In a case that sheds load, the first
    /// message of each cycle (`number` 0) is for a waiting destination instead.
    fn accept_drawn(&mut self, number: u32) {
        let drawn = WAITING_DESTINATIONS + self.rng.random_range(0..self.case.destinations);
        let class = self.rng.random_range(0..CLASSES);
        let must_wait = self.case.sheds_load && number == 0;
        let destination = if must_wait { self.next_message % WAITING_DESTINATIONS } else { drawn };
        self.accept(destination, class);
    }
}
