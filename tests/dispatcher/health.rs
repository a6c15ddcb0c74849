//! Ejection, recovery, and calls that get no answer.

use crate::support::*;
use linnetcart::*;

#[test]
fn silent_destination_with_many_messages_gets_trials_only() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    dispatcher.decide(now, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
    let silent_at = now + SECOND;
    dispatcher.decide(silent_at, vec![Event::WokenUp]);
    let mut sent = 0;
    for step in 0..100 {
        let messages = vec![accepted(100 + step, SHARED_LIMIT, IDEMPOTENT)];
        let now = silent_at + Time::from(step) * 10 * MILLISECOND;
        sent += sends_after(&mut dispatcher, now, messages).len();
    }
    assert!(sent <= 6, "{sent} calls to a silent destination in a second");
}

#[test]
fn hung_endpoint_while_others_answer_leaves_destination_in_service() {
    // Incident ieff6fd: endpoints in one zone hung while the others of the same destinations answered.
    let WarmedUp { mut dispatcher, now: start } = warmed_up();
    let first = sends_after(&mut dispatcher, start, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let hung = first[0].endpoint;
    let mut served = 0;
    let mut cancelled = false;
    for step in 1..60u32 {
        let now = start + Time::from(step) * 50 * MILLISECOND;
        let mut actions = dispatcher.decide(now, vec![accepted(100 + step, SHARED_LIMIT, IDEMPOTENT)]);
        for sent in sends(&actions) {
            if sent.endpoint == hung {
                continue;
            }
            served += 1;
            let attempt = if sent.message == 1 { 1 } else { 0 };
            let answer = finished(sent.message, attempt, sent.endpoint, AttemptOutcome::Served);
            actions.extend(dispatcher.decide(now + 20 * MILLISECOND, vec![answer]));
        }
        cancelled |= cancels(&actions, 1, 0);
    }
    assert!(served > 40 && cancelled, "{served} served, first call cancelled: {cancelled}");
}

#[test]
fn rejections_between_successes_do_not_eject() {
    // Incident id478a3: rejections above a limit shared with other couriers were taken for an outage.
    let WarmedUp { mut dispatcher, mut now } = warmed_up();
    let mut changes = Vec::new();
    let mut attempts = AttemptCounter::default();
    for id in 1..40 {
        now += 300 * MILLISECOND;
        let outcome = match id % 2 {
            0 => AttemptOutcome::Rejected { retry_after: 0 },
            _ => AttemptOutcome::Served,
        };
        for sent in sends_after(&mut dispatcher, now, vec![accepted(id, SHARED_LIMIT, IDEMPOTENT)]) {
            let end = finished(sent.message, attempts.next(sent.message), sent.endpoint, outcome);
            let actions = dispatcher.decide(now + 20 * MILLISECOND, vec![end]);
            changes.extend(limit_changes(&actions));
        }
    }
    assert_eq!(changes, []);
}

#[test]
fn rejections_with_capacity_left_eject_and_without_do_not() {
    for (capacity_left, ejected) in [(1.0, true), (0.0, false)] {
        let mut changes = 0;
        let mut attempts = 0;
        for dispatcher in &mut fleet(100, 5.0) {
            let mut attempt = 0;
            let mut events = vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)];
            for step in 0..180 {
                let now = 2 * SECOND + step * 100 * MILLISECOND;
                let actions = dispatcher.decide(now, std::mem::take(&mut events));
                changes += limit_changes(&actions).len();
                for sent in sends(&actions) {
                    let rejected = AttemptOutcome::Rejected { retry_after: 0 };
                    events.push(Event::AttemptFinished(AttemptResult {
                        elapsed: 20 * MILLISECOND,
                        capacity_left: Some(capacity_left),
                        rate_limit: Some(5.0),
                        ..result(sent.message, attempt, sent.endpoint, rejected)
                    }));
                    attempt += 1;
                }
            }
            attempts += attempt;
        }
        assert!(attempts > 100, "they retry");
        assert_eq!(changes > 0, ejected, "capacity {capacity_left}: {changes} changes of state");
    }
}

const STEP: Time = 20 * MILLISECOND;

/// A dispatcher with its clock and the changes of state that it has reported.
struct Recorded {
    dispatcher: Dispatcher,
    now: Time,
    changes: Vec<LimitChange>,
}

impl Recorded {
    /// Runs a decision cycle `elapsed` after the last one and returns what it sends.
    fn decide_after(&mut self, elapsed: Time, events: Vec<Event>) -> Vec<Sent> {
        self.now += elapsed;
        let actions = self.dispatcher.decide(self.now, events);
        self.changes.extend(limit_changes(&actions));
        sends(&actions)
    }

    /// Ejects the destination by failed connections of message 1, then serves its fifth attempt.
    fn eject_and_serve_trial(&mut self) {
        let mut attempt = 0;
        let mut events = vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)];
        let mut served = false;
        while !served {
            assert!(self.now + STEP < 60 * SECOND, "a trial comes");
            for sent in self.decide_after(STEP, std::mem::take(&mut events)) {
                served = attempt >= 4;
                let outcome = if served { AttemptOutcome::Served } else { AttemptOutcome::NoConnection };
                events.push(finished(sent.message, attempt, sent.endpoint, outcome));
                attempt += 1;
            }
        }
        self.decide_after(100 * MILLISECOND, events);
    }

    /// Runs decision cycles until message 2 is sent.
    fn send_in_slow_start(&mut self) -> Sent {
        let mut events = vec![accepted(2, SHARED_LIMIT, NOT_IDEMPOTENT)];
        loop {
            assert!(self.now + STEP < 80 * SECOND, "a call is sent in the slow start");
            let sent = self.decide_after(STEP, std::mem::take(&mut events));
            if let Some(&first) = sent.first() {
                return first;
            }
        }
    }
}

#[test]
fn short_silence_during_slow_start_does_not_end_it() {
    // Scenario h504b7c: an answer to an overdue call during slow start closed the circuit breaker, as if the
    // destination had only been slow.
    let WarmedUp { dispatcher, now } = warmed_up();
    let mut recorded = Recorded { dispatcher, now, changes: Vec::new() };
    recorded.eject_and_serve_trial();
    let overdue = recorded.send_in_slow_start();
    for _ in 0..20 {
        recorded.decide_after(STEP, vec![Event::WokenUp]);
    }
    let answer = finished(2, 0, overdue.endpoint, AttemptOutcome::Served);
    recorded.decide_after(0, vec![answer]);
    let changes = recorded.changes;
    assert!(changes.iter().any(|change| change.state == LimitState::Silent), "{changes:?}");
    assert!(changes.last().is_some_and(|change| change.state == LimitState::Recovering), "{changes:?}");
}

#[test]
fn overdue_call_when_slots_are_short_is_cancelled() {
    // One class of messages hung at an endpoint that answered the other classes: its calls took all slots.
    for couriers in [2, 400] {
        let WarmedUp { mut dispatcher, now } =
            warmed_up_with(Settings { courier_count: couriers, max_in_flight_calls: 2, ..settings() });
        let messages = vec![
            accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT),
            accepted(2, INDEPENDENT_ROUTES, NOT_IDEMPOTENT),
            accepted(3, SHARED_LIMIT, NOT_IDEMPOTENT),
        ];
        assert_eq!(sends_after(&mut dispatcher, now, messages).len(), 2);
        let actions = dispatcher.decide(now + SECOND, vec![Event::WokenUp]);
        assert!(cancels(&actions, 1, 0), "{actions:?}");
        let cancelled = finished(1, 0, 10, AttemptOutcome::Cancelled);
        let actions = dispatcher.decide(now + SECOND, vec![cancelled]);
        let failed = actions.contains(&Action::Fail { message: 1 });
        assert!(failed, "it may have been executed and may not be retried");
    }
}

#[test]
fn overdue_span_with_grown_latencies_is_bounded_by_objective() {
    // Without the bound, calls to slow destinations occupied their slots for many latency objectives.
    let mut dispatcher = Dispatcher::new(Settings { max_in_flight_calls: 1, ..settings() }, 1);
    let mut now = SECOND;
    dispatcher.decide(now, vec![endpoint_list()]);
    for id in 100..110 {
        let sent = sends_after(&mut dispatcher, now, vec![accepted(id, SHARED_LIMIT, IDEMPOTENT)]);
        for step in 1..50 {
            dispatcher.decide(now + step * 100 * MILLISECOND, vec![Event::WokenUp]);
        }
        now += 5 * SECOND;
        let served = result(id, 0, sent[0].endpoint, AttemptOutcome::Served);
        let slow = AttemptResult { elapsed: 5 * SECOND, ..served };
        dispatcher.decide(now, vec![Event::AttemptFinished(slow)]);
    }
    dispatcher.decide(now, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    dispatcher.decide(now, vec![accepted(2, INDEPENDENT_ROUTES, IDEMPOTENT)]);
    let mut actions = Vec::new();
    for step in 1..70 {
        actions.extend(dispatcher.decide(now + step * 100 * MILLISECOND, vec![Event::WokenUp]));
    }
    assert!(cancels(&actions, 1, 0), "two objectives are 6 s: {actions:?}");
}
