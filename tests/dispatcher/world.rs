//! A random model of clients and endpoints that checks the six rules with its own state, independent of the
//! dispatcher's.

mod checks;

use crate::support::*;
use linnetcart::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const ENDPOINTS: [u32; 6] = [10, 11, 20, 21, 30, 31];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    message: u32,
    attempt: u16,
}

struct OpenMessage {
    accepted: AcceptedMessage,
    deadline: Time,
}

/// An attempt that may have been executed; the first sent is the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PossibleExecution {
    sent_at: Time,
    attempt: u16,
    endpoint: u32,
}

pub struct World {
    pub settings: Settings,
    pub now: Time,
    pub sends: usize,
    random: u64,
    last_message: u32,
    open: BTreeMap<u32, OpenMessage>,
    completed: BTreeSet<u32>,
    attempts: BTreeMap<u32, u16>,
    /// The endpoint of each attempt in flight.
    in_flight: BTreeMap<AttemptId, u32>,
    possibly_executed: BTreeMap<u32, Vec<PossibleExecution>>,
    retry_after_until: BTreeMap<u32, Time>,
    draining: BTreeSet<u32>,
    key_queues: BTreeMap<u64, VecDeque<u32>>,
    key_cooldowns: BTreeMap<u64, Time>,
    /// Messages that their clients cancelled in this cycle: the dispatcher may still answer them in it.
    just_cancelled: BTreeSet<u32>,
}

impl World {
    pub fn new(seed: u64, settings: Settings) -> Self {
        World {
            settings,
            now: SECOND,
            sends: 0,
            random: seed,
            last_message: 1,
            open: BTreeMap::new(),
            completed: BTreeSet::new(),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            possibly_executed: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            draining: BTreeSet::new(),
            key_queues: BTreeMap::new(),
            key_cooldowns: BTreeMap::new(),
            just_cancelled: BTreeSet::new(),
        }
    }

    /// A random number in `0..below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) % below
    }

    /// The limit that applies to an endpoint: its own for an independent route, otherwise its destination's.
    fn limit_of(endpoint: u32) -> u32 {
        if endpoint / 10 == INDEPENDENT_ROUTES {
            endpoint
        } else {
            endpoint / 10
        }
    }

    /// Records that a message has its final answer.
    fn complete(&mut self, id: u32) {
        self.open.remove(&id);
        self.completed.insert(id);
        self.leave_key_queue(id);
    }

    /// Removes a message from its key's queue once it is completed and has nothing in flight.
    fn leave_key_queue(&mut self, id: u32) {
        let in_flight = self.in_flight.keys().any(|key| key.message == id);
        if self.completed.contains(&id) && !in_flight {
            for queue in self.key_queues.values_mut() {
                queue.retain(|&waiting| waiting != id);
            }
        }
    }

    /// Draws the events of the next decision cycle.
    pub fn events(&mut self) -> Vec<Event> {
        let mut events = vec![Event::WokenUp];
        self.just_cancelled.clear();
        for _ in 0..self.draw(3) {
            events.push(self.submit());
        }
        self.end_attempts(&mut events);
        if self.draw(40) == 0 {
            events.push(self.change_list());
        }
        if self.draw(50) == 0 {
            events.extend(self.cancel_oldest());
        }
        if self.draw(20) == 0 {
            // Expired and unknown ids are ignored.
            events.push(cancelled_by_client(1));
            events.push(finished(1, 0, 10, AttemptOutcome::Served));
            events.push(finished(999_999_999, 3, 12345, AttemptOutcome::Error));
        }
        events
    }

    /// Lets the client of the oldest open message cancel it.
    fn cancel_oldest(&mut self) -> Option<Event> {
        let id = *self.open.keys().next()?;
        self.complete(id);
        self.just_cancelled.insert(id);
        Some(cancelled_by_client(id))
    }

    fn submit(&mut self) -> Event {
        self.last_message += 1;
        let class = self.draw(5) as u8;
        let ordering_key = if class == ORDERED { self.draw(4) } else { 0 };
        let short = self.draw(2) == 0;
        let milliseconds = if short { 30 + self.draw(400) } else { 1_000 + self.draw(19_000) };
        let time_remaining = milliseconds * MILLISECOND;
        let destination = 1 + self.draw(3) as u32;
        let accepted = message(self.last_message, destination, class, ordering_key);
        let accepted = AcceptedMessage { time_remaining, ..accepted };
        if ordering_key != 0 {
            self.key_queues.entry(ordering_key).or_default().push_back(accepted.id);
        }
        let open = OpenMessage { accepted: accepted.clone(), deadline: self.now + time_remaining };
        self.open.insert(accepted.id, open);
        Event::Accepted(accepted)
    }

    fn end_attempts(&mut self, events: &mut Vec<Event>) {
        let in_flight: Vec<(AttemptId, u32)> =
            self.in_flight.iter().map(|(&id, &endpoint)| (id, endpoint)).collect();
        for (id, endpoint) in in_flight {
            if self.draw(6) > 0 {
                continue;
            }
            let outcome = match self.draw(40) {
                0 => AttemptOutcome::Error,
                1 => AttemptOutcome::Rejected { retry_after: 0 },
                2 => AttemptOutcome::Rejected { retry_after: 300 * MILLISECOND },
                3 => AttemptOutcome::TimedOut,
                4 => AttemptOutcome::NoConnection,
                5 => AttemptOutcome::Reset,
                6 => AttemptOutcome::NotSent { no_capacity: true },
                _ => AttemptOutcome::Served,
            };
            events.push(self.end_attempt(id, endpoint, outcome));
        }
    }

    fn change_list(&mut self) -> Event {
        let id = ENDPOINTS[self.draw(6) as usize];
        let was_draining = self.draining.remove(&id);
        let status = if was_draining { EndpointStatus::Ready } else { EndpointStatus::Draining };
        if !was_draining {
            self.draining.insert(id);
        }
        endpoint_update(endpoint(id, id / 10, (id / 10 - 1) as u8, status))
    }

    /// Records what an outcome means for rules 2, 5 and 6.
    fn record_outcome(&mut self, id: AttemptId, endpoint: u32, outcome: AttemptOutcome) {
        let AttemptId { message, attempt } = id;
        if let AttemptOutcome::Rejected { retry_after } = outcome {
            let until = self.retry_after_until.entry(Self::limit_of(endpoint)).or_default();
            *until = (*until).max(self.now + retry_after);
        }
        if matches!(
            outcome,
            AttemptOutcome::Rejected { .. } | AttemptOutcome::NoConnection | AttemptOutcome::NotSent { .. }
        ) {
            let executions = self.possibly_executed.entry(message).or_default();
            executions.retain(|execution| execution.attempt != attempt);
        }
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            for (key, queue) in &self.key_queues {
                if queue.contains(&message) {
                    self.key_cooldowns.insert(*key, self.now + self.settings.key_cooldown);
                }
            }
        }
    }

    fn end_attempt(&mut self, id: AttemptId, endpoint: u32, outcome: AttemptOutcome) -> Event {
        let AttemptId { message, attempt } = id;
        self.in_flight.remove(&id);
        self.record_outcome(id, endpoint, outcome);
        let completed = self.completed.contains(&message) || outcome == AttemptOutcome::Served;
        if completed {
            self.complete(message);
        }
        Event::AttemptFinished(AttemptResult {
            elapsed: 50 * MILLISECOND,
            completed,
            capacity_left: Some(0.4),
            rate_limit: Some(5.0),
            ..result(message, attempt, endpoint, outcome)
        })
    }
}
