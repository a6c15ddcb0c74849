//! The rate at a limit, alone and among many couriers that act on the same events.

use crate::support::*;
use linnetcart::*;
use std::collections::VecDeque;

#[test]
fn retry_after_binds_destination_or_only_independent_route() {
    let mut dispatcher = dispatcher_with(settings());
    let rejected = AttemptOutcome::Rejected { retry_after: SECOND };
    let first = sends_after(&mut dispatcher, SECOND, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let events = vec![finished(1, 0, first[0].endpoint, rejected), accepted(2, SHARED_LIMIT, IDEMPOTENT)];
    assert!(sends_after(&mut dispatcher, SECOND, events).is_empty());
    assert!(sends_on_wake_up(&mut dispatcher, SECOND + 990 * MILLISECOND).is_empty());
    let first = sends_after(&mut dispatcher, SECOND, vec![accepted(3, INDEPENDENT_ROUTES, IDEMPOTENT)]);
    let bound = first[0].endpoint;
    let events = vec![finished(3, 0, bound, rejected), accepted(4, INDEPENDENT_ROUTES, IDEMPOTENT)];
    let sent = sends_after(&mut dispatcher, 2 * SECOND, events);
    assert!(sent.iter().any(|sent| sent.message == 4 && sent.endpoint != bound));
}

#[test]
fn retry_after_of_abandoned_call_is_kept() {
    let mut dispatcher = dispatcher_with(settings());
    let first = sends_after(&mut dispatcher, SECOND, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let endpoint = first[0].endpoint;
    dispatcher.decide(SECOND, vec![cancelled_by_client(1)]);
    let cancelled = finished(1, 0, endpoint, AttemptOutcome::Cancelled);
    dispatcher.decide(SECOND + MILLISECOND, vec![cancelled]);
    let rejected = finished(1, 0, endpoint, AttemptOutcome::Rejected { retry_after: SECOND });
    dispatcher.decide(SECOND + 2 * MILLISECOND, vec![rejected]);
    let messages = vec![accepted(2, SHARED_LIMIT, IDEMPOTENT)];
    assert!(sends_after(&mut dispatcher, SECOND + 3 * MILLISECOND, messages).is_empty());
    assert!(sends_on_wake_up(&mut dispatcher, 2 * SECOND).is_empty());
    let mut sent_later = 0;
    for step in 0..30 {
        sent_later += sends_on_wake_up(&mut dispatcher, 2 * SECOND + step * 100 * MILLISECOND).len();
    }
    assert_eq!(sent_later, 1, "and then it goes");
}

#[test]
fn exact_limit_is_used_at_equal_share() {
    // Incident ia9f3bb: couriers that each took all the capacity reported to them were rejected together.
    let mut dispatcher = Dispatcher::new(Settings { rate_accuracy: RateAccuracy::Exact, ..settings() }, 1);
    let entry = Endpoint { rate: 4.0, ..endpoint(10, SHARED_LIMIT, 0, EndpointStatus::Ready) };
    dispatcher.decide(SECOND, vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
    let mut calls = 0;
    for step in 0..500u32 {
        let now = SECOND + Time::from(step) * 20 * MILLISECOND;
        for sent in sends_after(&mut dispatcher, now, vec![accepted(step, SHARED_LIMIT, IDEMPOTENT)]) {
            calls += 1;
            let served = finished(sent.message, 0, sent.endpoint, AttemptOutcome::Served);
            dispatcher.decide(now, vec![served]);
        }
    }
    assert!((18..=24).contains(&calls), "{calls} calls in ten seconds at two a second");
}

/// A dispatcher that gets one message each step, and whose attempts all end at the next step.
struct SteadyTraffic {
    dispatcher: Dispatcher,
    last_message: u32,
    attempts: AttemptCounter,
    in_flight: Vec<Sent>,
}

impl SteadyTraffic {
    /// Ends what is in flight with this outcome; returns how many were sent.
    fn step(&mut self, now: Time, outcome: AttemptOutcome) -> usize {
        self.last_message += 1;
        let mut events = Vec::new();
        for sent in std::mem::take(&mut self.in_flight) {
            let attempt = self.attempts.next(sent.message);
            events.push(finished(sent.message, attempt, sent.endpoint, outcome));
        }
        events.push(accepted(self.last_message, SHARED_LIMIT, IDEMPOTENT));
        self.in_flight = sends_after(&mut self.dispatcher, now, events);
        self.in_flight.len()
    }
}

#[test]
fn recovering_destination_is_sent_within_budget() {
    let (dispatcher, mut now) = warmed_up();
    let mut traffic = SteadyTraffic {
        dispatcher,
        last_message: 0,
        attempts: AttemptCounter::default(),
        in_flight: Vec::new(),
    };
    let mut sent = 0;
    for _ in 0..300 {
        now += 20 * MILLISECOND;
        sent += traffic.step(now, AttemptOutcome::NoConnection);
    }
    assert!(sent < 20, "{sent} calls to a destination that is ejected");
    while traffic.step(now, AttemptOutcome::Served) == 0 {
        now += 20 * MILLISECOND;
        assert!(now < 60 * SECOND, "a trial comes");
    }
    let mut sent = 0;
    for step in 1..100 {
        sent += traffic.step(now + step * 20 * MILLISECOND, AttemptOutcome::Served);
    }
    // Warm it served ten a second: cold it may be sent a fifth of it, twice over, for two seconds.
    assert!((1..=10).contains(&sent), "{sent} calls in the first two seconds");
}

/// Gives each courier a message, ends its first attempt with this outcome and capacity left, and counts in which of
/// the seconds after it they send it again.
fn retries_by_second(
    fleet: &mut [Dispatcher],
    capacity_left: Option<f64>,
    outcome: AttemptOutcome,
    seconds: usize,
) -> Vec<usize> {
    let elapsed = 50 * MILLISECOND;
    let mut counts = vec![0; seconds];
    for dispatcher in fleet {
        let first = sends_after(dispatcher, 2 * SECOND, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
        assert_eq!(first.len(), 1, "the first message goes at once");
        let end = AttemptResult {
            elapsed,
            completed: false,
            capacity_left,
            rate_limit: capacity_left.map(|_| 5.0),
            ..result(1, 0, first[0].endpoint, outcome)
        };
        let mut events = vec![Event::AttemptFinished(end)];
        let mut sent_again = false;
        for (second, count) in counts.iter_mut().enumerate() {
            for step in 0..50 {
                let now = 2 * SECOND + elapsed + second as Time * SECOND + step * 20 * MILLISECOND;
                let sent = sends_after(dispatcher, now, std::mem::take(&mut events)).len();
                *count += if sent_again { 0 } else { sent };
                sent_again |= sent > 0;
            }
        }
    }
    counts
}

#[test]
fn retry_after_to_many_couriers_spreads_their_return() {
    // Shut for 5 s: a cold destination of 5 a second bears 0.2 x 2 x 5 x 2 s = 4 calls in two seconds.
    let shut = AttemptOutcome::Rejected { retry_after: 5 * SECOND };
    let many = retries_by_second(&mut fleet(100, 5.0), Some(1.0), shut, 9);
    assert_eq!(many[..5].iter().sum::<usize>(), 0, "the Retry-After is kept");
    assert!(many[5] + many[6] <= 8, "{many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), Some(1.0), shut, 9);
    assert_eq!(few[..5].iter().sum::<usize>(), 0, "the Retry-After is kept");
    assert_eq!(few[5..].iter().sum::<usize>(), 2, "two couriers are soon back: {few:?}");
}

#[test]
fn rejection_above_limit_spreads_many_couriers_and_few_are_soon_back() {
    // Where rejected calls use up the limit, a hundred couriers that try every two seconds keep it at nothing.
    let rejected = AttemptOutcome::Rejected { retry_after: 0 };
    let many = retries_by_second(&mut fleet(100, 5.0), Some(0.0), rejected, 10);
    assert!(many.iter().all(|&count| count <= 12), "{many:?}");
    assert!(many.iter().sum::<usize>() > 5, "they do try: {many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), Some(0.0), rejected, 3);
    assert_eq!(few.iter().sum::<usize>(), 2, "{few:?}");
}

#[test]
fn failure_at_many_couriers_holds_them_back_and_few_retry() {
    let many = retries_by_second(&mut fleet(100, 5.0), None, AttemptOutcome::Error, 10);
    assert!(many.iter().all(|&count| count <= 12), "{many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), None, AttemptOutcome::Error, 10);
    assert_eq!(few.iter().sum::<usize>(), 2, "{few:?}");
}

#[test]
fn failed_connection_at_one_of_many_couriers_holds_it_back() {
    let mut dispatcher = fleet(100, 5.0).remove(0);
    let first = sends_after(&mut dispatcher, 2 * SECOND, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let failed = finished(1, 0, first[0].endpoint, AttemptOutcome::NoConnection);
    let second = sends_after(&mut dispatcher, 2 * SECOND + 50 * MILLISECOND, vec![failed]);
    assert!(second.is_empty(), "a hundred couriers may have seen the same");
}

/// A route that takes so many calls in a window of two seconds, rejected ones counted.
#[derive(Default)]
struct Route {
    calls: VecDeque<Time>,
}

impl Route {
    /// The part of the limit that is left for a call now.
    fn take_call(&mut self, now: Time, rate: f64) -> f64 {
        let window = 2 * SECOND;
        while self.calls.front().is_some_and(|&at| at + window <= now) {
            self.calls.pop_front();
        }
        let capacity_left = (1.0 - self.calls.len() as f64 / (2.0 * rate)).max(0.0);
        self.calls.push_back(now);
        capacity_left
    }
}

/// A courier of a fleet, and the events that it has not seen yet.
struct Courier {
    dispatcher: Dispatcher,
    attempts: AttemptCounter,
    events: Vec<Event>,
}

/// A result on its way to a courier.
struct Answer {
    arrives_at: Time,
    courier: usize,
    result: AttemptResult,
}

/// Couriers that all hold more than two routes take, each so many calls a second with those rejected counted: the
/// share of these limits that they get served in the last 40 s of 60.
fn share_served(couriers: u32, rate: f64) -> f64 {
    // The limit is reported roughly, and here too high.
    let reported = 1.1 * rate;
    let courier =
        |dispatcher| Courier { dispatcher, attempts: AttemptCounter::default(), events: Vec::new() };
    let mut fleet: Vec<Courier> = fleet(couriers, reported).into_iter().map(courier).collect();
    let burst = (30.0 * rate / f64::from(couriers)) as u32;
    let mut routes = [Route::default(), Route::default()];
    let mut answers: VecDeque<Answer> = VecDeque::new();
    let mut served = 0;
    for step in 0..3000u32 {
        let now = 2 * SECOND + Time::from(step) * 20 * MILLISECOND;
        while answers.front().is_some_and(|answer| answer.arrives_at <= now) {
            let answer = answers.pop_front().expect("one was there");
            fleet[answer.courier].events.push(Event::AttemptFinished(answer.result));
        }
        for (number, courier) in fleet.iter_mut().enumerate() {
            if step % 200 == 0 {
                let first = step * burst;
                let messages = first..first + burst;
                courier.events.extend(messages.map(|id| accepted(id, INDEPENDENT_ROUTES, IDEMPOTENT)));
            }
            let events = std::mem::take(&mut courier.events);
            for sent in sends_after(&mut courier.dispatcher, now, events) {
                let route = &mut routes[usize::from(sent.endpoint == 20)];
                let capacity_left = route.take_call(now, rate);
                let is_served = capacity_left > 0.0;
                let rejected = AttemptOutcome::Rejected { retry_after: 0 };
                let outcome = if is_served { AttemptOutcome::Served } else { rejected };
                served += u32::from(is_served && step >= 1000);
                let elapsed = 50 * MILLISECOND;
                let attempt = courier.attempts.next(sent.message);
                let result = AttemptResult {
                    elapsed,
                    capacity_left: Some(capacity_left),
                    rate_limit: Some(reported),
                    ..result(sent.message, attempt, sent.endpoint, outcome)
                };
                answers.push_back(Answer { arrives_at: now + elapsed, courier: number, result });
            }
        }
    }
    f64::from(served) / (2.0 * rate * 40.0)
}

#[test]
fn limit_used_up_by_rejections_still_serves_half() {
    for (couriers, rate) in [(100, 20.0), (20, 40.0)] {
        let share = share_served(couriers, rate);
        assert!(share >= 0.5, "{couriers} couriers: {share:.2} of the limits");
    }
}

#[test]
fn outage_at_many_couriers_is_tried_at_full_rate_from_its_start() {
    // A destination of 50 a second falls silent under the calls of a hundred; each has one more message for it.
    let mut trials = vec![0; 12];
    for dispatcher in &mut fleet(100, 50.0) {
        dispatcher.decide(2 * SECOND, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
        let mut events = Vec::new();
        let mut silent_at: Option<Time> = None;
        let mut now = 8 * SECOND - 50 * MILLISECOND;
        while silent_at.is_none_or(|at| now < at + 12 * SECOND) {
            now += 20 * MILLISECOND;
            let actions = dispatcher.decide(now, std::mem::take(&mut events));
            if silent_at.is_none() && !limit_changes(&actions).is_empty() {
                silent_at = Some(now);
                events.push(accepted(2, SHARED_LIMIT, NOT_IDEMPOTENT));
            }
            let Some(at) = silent_at else { continue };
            if !sends(&actions).is_empty() {
                trials[((now - at) / SECOND) as usize] += 1;
                break;
            }
        }
    }
    // A cold destination of 50 a second bears 0.2 x 2 x 50 = 20 a second; an interval of all is about six seconds.
    assert!(trials.windows(2).all(|two| two[0] + two[1] <= 40), "{trials:?}");
    assert!(trials[..6].iter().sum::<usize>() >= 85, "over two intervals half of them would: {trials:?}");
}
