//! A random world that checks the six rules by a record of its own, independent of the dispatcher's.

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

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) % below
    }

    /// The limit that an endpoint comes under: its own for an independent route, or its destination's.
    fn limit_of(endpoint: u32) -> u32 {
        if endpoint / 10 == INDEPENDENT_ROUTES {
            endpoint
        } else {
            endpoint / 10
        }
    }

    fn complete(&mut self, id: u32) {
        self.open.remove(&id);
        self.completed.insert(id);
        self.leave_key_queue(id);
    }

    fn leave_key_queue(&mut self, id: u32) {
        let in_flight = self.in_flight.keys().any(|key| key.message == id);
        if self.completed.contains(&id) && !in_flight {
            for queue in self.key_queues.values_mut() {
                queue.retain(|&waiting| waiting != id);
            }
        }
    }

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
            if let Some(&id) = self.open.keys().next() {
                self.complete(id);
                self.just_cancelled.insert(id);
                events.push(cancelled_by_client(id));
            }
        }
        if self.draw(20) == 0 {
            // Expired and unknown ids are ignored.
            events.push(cancelled_by_client(1));
            events.push(finished(1, 0, 10, AttemptOutcome::Served));
            events.push(finished(999_999_999, 3, 12345, AttemptOutcome::Error));
        }
        events
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

    fn end_attempt(&mut self, id: AttemptId, endpoint: u32, outcome: AttemptOutcome) -> Event {
        let AttemptId { message, attempt } = id;
        self.in_flight.remove(&id);
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

    /// Checks the actions of a cycle and returns the events that follow from them.
    pub fn check(&mut self, actions: &[Action]) -> Vec<Event> {
        let mut events = Vec::new();
        for action in actions {
            match *action {
                Action::Send { message, endpoint, .. } => self.check_send(message, endpoint),
                Action::Cancel { message, attempt } => {
                    let id = AttemptId { message, attempt };
                    if let Some(&endpoint) = self.in_flight.get(&id) {
                        events.push(self.end_attempt(id, endpoint, AttemptOutcome::Cancelled));
                    }
                }
                Action::Reject { message, .. } | Action::Fail { message }
                    if self.just_cancelled.contains(&message) => {}
                Action::Reject { message, .. } => self.check_rejection(message),
                Action::Fail { message } => {
                    assert!(self.open.contains_key(&message), "rule 1: one answer");
                    self.complete(message);
                }
                _ => {}
            }
        }
        for (id, message) in &self.open {
            let answer_by = message.deadline + self.settings.answer_grace;
            assert!(answer_by > self.now, "rule 1: {id} unanswered");
        }
        events
    }

    fn check_rejection(&mut self, id: u32) {
        let class = self.open.get(&id).expect("rule 1: one answer").accepted.class;
        let executions = self.possibly_executed.get(&id);
        let not_executed = executions.is_none_or(|executions| executions.is_empty());
        let harmless = matches!(class, IDEMPOTENT | KEYED | ORDERED);
        assert!(not_executed || harmless, "rule 2: rejected {id} though it may have been executed");
        self.complete(id);
    }

    fn check_send(&mut self, id: u32, endpoint: u32) {
        self.sends += 1;
        let open = self.open.get(&id).expect("rule 1: sends only what is open");
        let message = open.accepted.clone();
        assert_eq!(endpoint / 10, message.destination);
        self.check_idempotency(&message, endpoint);
        assert!(!self.draining.contains(&endpoint), "rule 3");
        let limit = Self::limit_of(endpoint);
        let retry_after_until = self.retry_after_until.get(&limit).copied().unwrap_or(0);
        assert!(retry_after_until <= self.now, "rule 6: sent during a Retry-After");
        if message.class == ORDERED && message.ordering_key != 0 {
            self.check_order(&message);
        }
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        assert!(u32::from(attempt) < self.settings.max_attempts);
        *next_attempt += 1;
        let execution = PossibleExecution { sent_at: self.now, attempt, endpoint };
        self.possibly_executed.entry(id).or_default().push(execution);
        self.in_flight.insert(AttemptId { message: id, attempt }, endpoint);
    }

    fn check_idempotency(&self, message: &AcceptedMessage, endpoint: u32) {
        let executions = self.possibly_executed.get(&message.id).into_iter().flatten();
        let Some(first) = executions.min() else { return };
        match self.settings.classes[usize::from(message.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Keyed { dedup_window, per_zone } => {
                assert!(self.now < first.sent_at + dedup_window, "rule 2: window");
                assert!(!per_zone || first.endpoint % 2 == endpoint % 2, "rule 2: zone");
            }
            Idempotency::NotIdempotent => panic!("rule 2: {} sent twice", message.id),
        }
    }

    fn check_order(&self, message: &AcceptedMessage) {
        let queue = &self.key_queues[&message.ordering_key];
        assert_eq!(queue.front(), Some(&message.id), "rule 5: out of turn");
        let is_first_attempt = !self.attempts.contains_key(&message.id);
        let cooldown_until = self.key_cooldowns.get(&message.ordering_key).copied().unwrap_or(0);
        assert!(!is_first_attempt || cooldown_until <= self.now, "rule 5: key not cooled down");
    }
}
