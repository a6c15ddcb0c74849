//! What a decision costs: the library alone, in virtual time, one round a millisecond.
//!
//! Each case changes one thing: messages held, destinations, calls out. All cases take turns in one run, so that
//! what the machine does meanwhile meets all of them; medians are compared.

use crate::figures::{median, round};
use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Class, DestinationKind, Dispatcher, Endpoint,
    EndpointStatus, Event, Idempotency, Settings, Time,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

const MS: Time = 1_000_000;
const SECOND: Time = 1_000 * MS;
/// Messages handed in each round.
const EACH: u32 = 5;
/// Endpoints of each destination.
const ENDPOINTS: u32 = 2;
/// Messages that a destination has had before anything is measured, in the mean.
const KNOWN: u32 = 20;
/// Destinations that have told the courier to wait; the held messages are theirs.
const WAITING: u32 = 8;

/// What is held, and where it goes.
#[derive(Clone, Copy, Debug)]
struct Case {
    held: u32,
    destinations: u32,
    out: u32,
    /// The hold is so small that each message handed in has another handed back.
    crowded: bool,
}

const USUAL: Case = Case { held: 10, destinations: 10, out: 300, crowded: false };

struct Driver {
    case: Case,
    courier: Dispatcher,
    now: Time,
    next: u32,
    events: Vec<Event>,
    /// Calls under way, in the order in which they end: message, attempt, endpoint, since.
    out: VecDeque<(u32, u16, u32, Time)>,
    attempts: BTreeMap<u32, u16>,
    latency: Time,
    random: ChaCha8Rng,
}

impl Driver {
    fn new(case: Case) -> Driver {
        let class = |repeat, worth| Class {
            latency_objective: 30 * SECOND,
            deadline: 10_000 * SECOND,
            priority_weight: worth,
            late_weight: 0.5,
            idempotency: repeat,
            ordered: false,
        };
        let window = 20_000 * SECOND;
        let settings = Settings {
            courier_count: 1,
            classes: vec![
                class(Idempotency::Idempotent, 1.0),
                class(Idempotency::Keyed { dedup_window: window, per_zone: false }, 2.0),
                class(Idempotency::NotIdempotent, 4.0),
            ],
            kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
            max_in_flight_calls: case.out * 4 + 100,
            max_in_flight_messages: if case.crowded { case.held * 10 / 9 } else { 200_000 + case.out },
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
            tick: MS,
            ..Settings::default()
        };
        let mut driver = Driver {
            case,
            courier: Dispatcher::new(settings, 1),
            now: SECOND,
            next: 0,
            events: Vec::new(),
            out: VecDeque::new(),
            attempts: BTreeMap::new(),
            latency: Time::from(case.out / EACH) * MS,
            random: ChaCha8Rng::seed_from_u64(1),
        };
        driver.prepare();
        driver
    }

    /// The list, messages for those that let the courier wait, and the first calls.
    fn prepare(&mut self) {
        let entries = (0..WAITING + self.case.destinations).flat_map(|destination| {
            (0..ENDPOINTS).map(move |n| Endpoint {
                id: destination * ENDPOINTS + n,
                destination,
                kind: 0,
                zone: 0,
                rate: 0.0,
                status: EndpointStatus::Ready,
            })
        });
        self.events.push(Event::EndpointList { complete: true, entries: entries.collect() });
        for destination in 0..WAITING {
            self.take(destination, 0);
        }
        self.round();
        for (message, attempt, endpoint, _) in std::mem::take(&mut self.out) {
            let ending = AttemptOutcome::Rejected { retry_after: 100_000 * SECOND };
            self.end((message, attempt, endpoint, self.now), ending, false);
        }
        for n in 0..self.case.held {
            self.take(n % WAITING, n % 3);
        }
        // Until the calls out are as many as they will be, and latencies of all destinations are known.
        self.step(self.latency / MS + 300 + u64::from(self.case.destinations * KNOWN / EACH));
    }

    fn take(&mut self, destination: u32, class: u32) {
        let (id, time_left) = (self.next, 10_000 * SECOND);
        self.next += 1;
        self.events.push(Event::Accepted(AcceptedMessage {
            id,
            destination,
            class: class as u8,
            time_remaining: time_left,
            ordering_key: 0,
            tenant: 0,
        }));
    }

    fn end(
        &mut self,
        (message, attempt, endpoint, since): (u32, u16, u32, Time),
        ending: AttemptOutcome,
        over: bool,
    ) {
        let took = self.now - since;
        if over {
            self.attempts.remove(&message);
        }
        self.events.push(Event::AttemptFinished(AttemptResult {
            message,
            attempt,
            endpoint,
            outcome: ending,
            elapsed: took,
            completed: over,
            capacity_left: None,
            rate_limit: None,
        }));
    }

    fn round(&mut self) {
        for action in self.courier.decide(self.now, std::mem::take(&mut self.events)) {
            match action {
                Action::Send { message, endpoint, .. } => {
                    let attempt = self.attempts.entry(message).or_default();
                    self.out.push_back((message, *attempt, endpoint, self.now));
                    *attempt += 1;
                }
                Action::Cancel { message, attempt } => {
                    let at = self.out.iter().position(|o| (o.0, o.1) == (message, attempt));
                    if let Some(call) = at.and_then(|at| self.out.remove(at)) {
                        self.end(call, AttemptOutcome::Cancelled, false);
                    }
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now += MS;
            while self.out.front().is_some_and(|o| o.3 + self.latency <= self.now) {
                if let Some(call) = self.out.pop_front() {
                    self.end(call, AttemptOutcome::Served, true);
                }
            }
            for n in 0..EACH {
                let to = WAITING + self.random.random_range(0..self.case.destinations);
                let class = self.random.random_range(0..3);
                self.take(if self.case.crowded && n == 0 { self.next % WAITING } else { to }, class);
            }
            self.round();
        }
    }

    /// Microseconds a message over so many rounds, and the calls out at the end.
    fn measure(&mut self, rounds: u64) -> (f64, usize) {
        let begun = Instant::now();
        self.step(rounds);
        (begun.elapsed().as_secs_f64() * 1e6 / (rounds * u64::from(EACH)) as f64, self.out.len())
    }
}

/// Cost of a message over what is held, destinations and calls out; ratios to the first of each.
pub fn run(rounds: u64, turns: usize) -> Value {
    let held = [10, 1_000, 10_000, 50_000].map(|held| Case { held, ..USUAL });
    let destinations = [10, 100, 1_000, 5_000].map(|destinations| Case { destinations, ..USUAL });
    let out = [100, 1_000, 10_000].map(|out| Case { out, ..USUAL });
    let crowded = [1_000, 10_000, 50_000].map(|held| Case { held, crowded: true, ..USUAL });
    let parts: [(&str, &[Case]); 4] =
        [("held", &held), ("destinations", &destinations), ("out", &out), ("crowded", &crowded)];
    let mut result = json!({"rounds": rounds, "turns": turns, "messages_a_round": EACH});
    for (name, cases) in parts {
        let mut drivers: Vec<Driver> = cases.iter().map(|&case| Driver::new(case)).collect();
        let mut figures = vec![Vec::new(); cases.len()];
        let mut out = vec![0; cases.len()];
        for _ in 0..turns {
            for (n, driver) in drivers.iter_mut().enumerate() {
                let (us, calls) = driver.measure(rounds);
                figures[n].push(us);
                out[n] = calls;
            }
        }
        let first = figures[0].clone();
        let mut rows = Vec::new();
        for (n, case) in cases.iter().enumerate() {
            // Side by side: each turn's figure beside that of the first case in the same turn.
            let ratio = median(figures[n].iter().zip(&first).map(|(us, first)| us / first).collect());
            let least = figures[n].iter().copied().fold(f64::MAX, f64::min);
            let most = figures[n].iter().copied().fold(0.0, f64::max);
            let count = match name {
                "destinations" => case.destinations,
                "out" => case.out,
                _ => case.held,
            };
            rows.push(json!({
                "count": count, "calls_out": out[n], "us": round(median(figures[n].clone())),
                "min": round(least), "max": round(most), "ratio": round(ratio),
            }));
        }
        result[name] = json!(rows);
    }
    result
}
