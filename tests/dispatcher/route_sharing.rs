//! Couriers that share the limits of two independent routes, where rejected calls count against the limit.

use crate::support::*;
use linnetcart::*;
use std::collections::VecDeque;

const STEP: Time = 20 * MILLISECOND;
const STEPS: u32 = 3_000;
/// Calls are counted from this step on: the last 40 s of 60.
const FIRST_COUNTED_STEP: u32 = 1_000;
const COUNTED_SECONDS: f64 = 40.0;
const STEPS_BETWEEN_BURSTS: u32 = 200;
/// Messages of a burst at all couriers together, in seconds of the rate of one route.
const BURST_SECONDS: f64 = 30.0;
const ANSWER_LATENCY: Time = 50 * MILLISECOND;
/// The limit is reported too high by this factor.
const REPORTED_RATIO: f64 = 1.1;

/// A route with a limit of `rate` calls a second over a sliding window of two seconds; rejected calls count
/// too.
#[derive(Default)]
struct Route {
    calls: VecDeque<Time>,
}

impl Route {
    /// Counts a call; returns the capacity that was left before it, as a ratio of the limit.
    fn count_call(&mut self, now: Time, rate: f64) -> f64 {
        let window = 2 * SECOND;
        while self.calls.front().is_some_and(|&at| at + window <= now) {
            self.calls.pop_front();
        }
        let capacity_left = (1.0 - self.calls.len() as f64 / (2.0 * rate)).max(0.0);
        self.calls.push_back(now);
        capacity_left
    }
}

/// A courier of a fleet, and the events that it has not been given yet.
struct Courier {
    dispatcher: Dispatcher,
    attempts: AttemptCounter,
    events: Vec<Event>,
}

impl Courier {
    fn new(dispatcher: Dispatcher) -> Self {
        Courier { dispatcher, attempts: AttemptCounter::default(), events: Vec::new() }
    }
}

/// A result on its way to a courier.
struct Answer {
    arrives_at: Time,
    courier: usize,
    result: AttemptResult,
}

/// Couriers with more messages than two routes, each with a limit of `rate` calls a second, can serve.
struct RouteSharing {
    rate: f64,
    couriers: Vec<Courier>,
    routes: [Route; 2],
    answers: VecDeque<Answer>,
    /// Calls served since [`FIRST_COUNTED_STEP`].
    served: u32,
}

impl RouteSharing {
    fn new(couriers: u32, rate: f64) -> Self {
        RouteSharing {
            rate,
            couriers: fleet(couriers, REPORTED_RATIO * rate).into_iter().map(Courier::new).collect(),
            routes: [Route::default(), Route::default()],
            answers: VecDeque::new(),
            served: 0,
        }
    }

    fn run_step(&mut self, step: u32) {
        let now = 2 * SECOND + Time::from(step) * STEP;
        self.deliver_answers(now);
        for courier in 0..self.couriers.len() {
            if step.is_multiple_of(STEPS_BETWEEN_BURSTS) {
                self.submit_burst(courier, step);
            }
            let events = std::mem::take(&mut self.couriers[courier].events);
            for sent in sends_after(&mut self.couriers[courier].dispatcher, now, events) {
                let outcome = self.answer(courier, sent, now);
                let counts = outcome == AttemptOutcome::Served && step >= FIRST_COUNTED_STEP;
                self.served += u32::from(counts);
            }
        }
    }

    fn deliver_answers(&mut self, now: Time) {
        while self.answers.front().is_some_and(|answer| answer.arrives_at <= now) {
            let answer = self.answers.pop_front().expect("the front was there");
            self.couriers[answer.courier].events.push(Event::AttemptFinished(answer.result));
        }
    }

    fn submit_burst(&mut self, courier: usize, step: u32) {
        let burst = (BURST_SECONDS * self.rate / self.couriers.len() as f64) as u32;
        let first = step * burst;
        let messages = (first..first + burst).map(|id| accepted(id, INDEPENDENT_ROUTES, IDEMPOTENT));
        self.couriers[courier].events.extend(messages);
    }

    /// Serves or rejects a call and schedules its result to arrive after [`ANSWER_LATENCY`].
    fn answer(&mut self, courier: usize, sent: Sent, now: Time) -> AttemptOutcome {
        let route = &mut self.routes[usize::from(sent.endpoint == 20)];
        let capacity_left = route.count_call(now, self.rate);
        let rejected = AttemptOutcome::Rejected { retry_after: 0 };
        let outcome = if capacity_left > 0.0 { AttemptOutcome::Served } else { rejected };
        let attempt = self.couriers[courier].attempts.next(sent.message);
        let result = AttemptResult {
            elapsed: ANSWER_LATENCY,
            capacity_left: Some(capacity_left),
            rate_limit: Some(REPORTED_RATIO * self.rate),
            ..result(sent.message, attempt, sent.endpoint, outcome)
        };
        self.answers.push_back(Answer { arrives_at: now + ANSWER_LATENCY, courier, result });
        outcome
    }

    /// Calls served, as a ratio of the limits of both routes.
    fn served_ratio(&self) -> f64 {
        f64::from(self.served) / (2.0 * self.rate * COUNTED_SECONDS)
    }
}

#[test]
fn limit_used_up_by_rejections_still_serves_half() {
    for (couriers, rate) in [(100, 20.0), (20, 40.0)] {
        let mut sharing = RouteSharing::new(couriers, rate);
        for step in 0..STEPS {
            sharing.run_step(step);
        }
        let ratio = sharing.served_ratio();
        assert!(ratio >= 0.5, "{couriers} couriers: {ratio:.2} of the limits");
    }
}
