//! The rate limit of one courier, and of many couriers that see the same events.

use crate::support::*;
use linnetcart::*;

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
fn retry_after_of_cancelled_call_is_respected() {
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
    assert_eq!(sent_later, 1, "it is sent after the Retry-After");
}

#[test]
fn exact_limit_is_used_at_equal_share() {
    // Incident ia9f3bb: each courier used all the capacity left that a report stated, and all were rejected.
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
    /// Ends all attempts in flight with this outcome; returns how many new ones were sent.
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
    let WarmedUp { dispatcher, mut now } = warmed_up();
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
    // It served 10 calls a second. Slow start begins at 0.2 of that and overload at 2 times the capacity: 0.2
    // x 2 x 10 = 4 calls a second.
    assert!((1..=10).contains(&sent), "{sent} calls in the first two seconds");
}

/// Gives each courier a message and ends its first attempt with this outcome and capacity left. Returns, for
/// each second after that, the number of couriers whose first retry came in it.
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
        assert_eq!(first.len(), 1, "the first message is sent at once");
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
fn retry_after_to_many_couriers_spreads_their_retries() {
    // Out for 5 s. At the start of its slow start, a destination of 5 calls a second can take 0.2 x 2 x 5 x 2
    // s = 4 calls in two seconds.
    let outage = AttemptOutcome::Rejected { retry_after: 5 * SECOND };
    let many = retries_by_second(&mut fleet(100, 5.0), Some(1.0), outage, 9);
    assert_eq!(many[..5].iter().sum::<usize>(), 0, "the Retry-After is respected");
    assert!(many[5] + many[6] <= 8, "{many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), Some(1.0), outage, 9);
    assert_eq!(few[..5].iter().sum::<usize>(), 0, "the Retry-After is respected");
    assert_eq!(few[5..].iter().sum::<usize>(), 2, "two couriers retry soon: {few:?}");
}

#[test]
fn rejection_above_limit_spreads_retries_of_many_and_few_retry_soon() {
    // Rejected calls count against the limit: if 100 couriers retried every two seconds, no call would be
    // served.
    let rejected = AttemptOutcome::Rejected { retry_after: 0 };
    let many = retries_by_second(&mut fleet(100, 5.0), Some(0.0), rejected, 10);
    assert!(many.iter().all(|&count| count <= 12), "{many:?}");
    assert!(many.iter().sum::<usize>() > 5, "they do retry: {many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), Some(0.0), rejected, 3);
    assert_eq!(few.iter().sum::<usize>(), 2, "{few:?}");
}

#[test]
fn failure_at_many_couriers_limits_retries_and_at_few_all_retry() {
    let many = retries_by_second(&mut fleet(100, 5.0), None, AttemptOutcome::Error, 10);
    assert!(many.iter().all(|&count| count <= 12), "{many:?}");
    let few = retries_by_second(&mut fleet(2, 5.0), None, AttemptOutcome::Error, 10);
    assert_eq!(few.iter().sum::<usize>(), 2, "{few:?}");
}

#[test]
fn failed_connection_at_one_of_many_couriers_delays_its_retry() {
    let mut dispatcher = fleet(100, 5.0).remove(0);
    let first = sends_after(&mut dispatcher, 2 * SECOND, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let failed = finished(1, 0, first[0].endpoint, AttemptOutcome::NoConnection);
    let second = sends_after(&mut dispatcher, 2 * SECOND + 50 * MILLISECOND, vec![failed]);
    assert!(second.is_empty(), "a hundred couriers may have seen the same");
}

#[test]
fn outage_at_many_couriers_gets_full_trial_rate_from_its_start() {
    // A destination of 50 calls a second stops answering 100 couriers; each has one more message for it.
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
    // At the start of its slow start, the destination can take 0.2 x 2 x 50 = 20 calls a second. The interval
    // between the trials of one courier is about six seconds.
    assert!(trials.windows(2).all(|two| two[0] + two[1] <= 40), "{trials:?}");
    assert!(trials[..6].iter().sum::<usize>() >= 85, "over two intervals half of them would: {trials:?}");
}
