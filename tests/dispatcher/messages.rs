//! Lifecycle of messages: retries, ordering keys, and recovery of the messages of an earlier process.

use crate::support::*;
use linnetcart::*;

#[test]
fn not_idempotent_message_that_was_not_executed_is_retried_once() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
    let failed = finished(1, 0, first[0].endpoint, AttemptOutcome::NoConnection);
    let mut retries = sends_after(&mut dispatcher, now + 10 * MILLISECOND, vec![failed]);
    for step in 1..400 {
        retries.extend(sends_on_wake_up(&mut dispatcher, now + step * 10 * MILLISECOND));
    }
    assert_eq!(retries.len(), 1);
}

#[test]
fn keyed_message_after_dedup_window_is_rejected_at_once() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, KEYED)]);
    let timed_out = finished(1, 0, first[0].endpoint, AttemptOutcome::TimedOut);
    let actions = dispatcher.decide(now + 7 * SECOND + 500 * MILLISECOND, vec![timed_out]);
    assert!(sends(&actions).is_empty(), "the window leaves no time for the attempt to arrive");
    assert!(actions.contains(&Action::Reject { message: 1, retry_after: 0 }));
}

#[test]
fn attempt_with_cancellation_disallowed_is_never_cancelled() {
    let mut dispatcher = Dispatcher::new(Settings { cancellation_allowed: false, ..settings() }, 1);
    dispatcher.decide(SECOND, vec![endpoint_list(), accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    for step in 0..300 {
        let actions = dispatcher.decide(SECOND + step * 100 * MILLISECOND, vec![Event::WokenUp]);
        assert!(!actions.iter().any(|action| matches!(action, Action::Cancel { .. })));
    }
}

#[test]
fn ordering_key_after_attempt_that_may_still_run_cools_down() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let messages = [1, 2].map(|id| accepted_with_key(id, SHARED_LIMIT, ORDERED, 7)).to_vec();
    let first = sends_after(&mut dispatcher, now, messages);
    assert_eq!(first.len(), 1, "one at a time for a key");
    dispatcher.decide(now, vec![cancelled_by_client(1)]);
    let cancelled = result(1, 0, first[0].endpoint, AttemptOutcome::Cancelled);
    let cancelled = Event::AttemptFinished(AttemptResult { completed: true, ..cancelled });
    assert!(sends_after(&mut dispatcher, now + 10 * MILLISECOND, vec![cancelled]).is_empty());
    let early = sends_on_wake_up(&mut dispatcher, now + 100 * MILLISECOND);
    assert!(early.is_empty(), "the key cools down for 100 ms");
    let sent = sends_on_wake_up(&mut dispatcher, now + 110 * MILLISECOND);
    assert_eq!(sent, [Sent { message: 2, endpoint: 10 }]);
}

#[test]
fn ordering_key_after_recovery_with_unresolved_attempt_cools_down() {
    let mut dispatcher = Dispatcher::new(settings(), 1);
    let recovered = Event::Recovered {
        message: message(1, SHARED_LIMIT, ORDERED, 7),
        attempts: 1,
        unresolved: vec![UnresolvedAttempt { attempt: 0, zone: 0, age: SECOND }],
    };
    let events = vec![endpoint_list(), recovered, accepted_with_key(2, SHARED_LIMIT, ORDERED, 7)];
    let sent = sends_after(&mut dispatcher, 100 * SECOND, events);
    assert_eq!(sent.len(), 1, "its own retry is sent at once");
    let endpoint = sent[0].endpoint;
    let served = finished(1, 1, endpoint, AttemptOutcome::Served);
    let early = sends_after(&mut dispatcher, 100 * SECOND + 90 * MILLISECOND, vec![served]);
    assert!(early.is_empty(), "the attempt of the earlier process may still run");
    let sent = sends_on_wake_up(&mut dispatcher, 100 * SECOND + 100 * MILLISECOND);
    assert_eq!(sent, [Sent { message: 2, endpoint }]);
}

/// The first actions for a message that is recovered with this many attempts; `unresolved_age` is the age of
/// the last one if that is unresolved.
fn recover(class: u8, attempts: u16, unresolved_age: Option<Time>) -> Vec<Action> {
    let unresolved = |age| UnresolvedAttempt { attempt: attempts - 1, zone: 0, age };
    let recovered = Event::Recovered {
        message: message(1, SHARED_LIMIT, class, 0),
        attempts,
        unresolved: unresolved_age.map(unresolved).into_iter().collect(),
    };
    Dispatcher::new(settings(), 1).decide(100 * SECOND, vec![endpoint_list(), recovered])
}

#[test]
fn recovered_message_with_attempts_is_retried_as_its_class_allows() {
    // After a restart an attempt without an outcome may have been executed.
    let sent = sends(&recover(IDEMPOTENT, 1, Some(SECOND)));
    assert_eq!(sent.len(), 1, "an idempotent one is retried");
    let sent = sends(&recover(KEYED, 1, Some(SECOND)));
    assert_eq!(sent.len(), 1, "a keyed one is retried within its window");
    let after_window = recover(KEYED, 1, Some(8 * SECOND));
    assert!(after_window.contains(&Action::Reject { message: 1, retry_after: 0 }));
    let failed = recover(NOT_IDEMPOTENT, 1, Some(SECOND)).contains(&Action::Fail { message: 1 });
    assert!(failed, "one that is not idempotent may have been executed");
    assert_eq!(sends(&recover(NOT_IDEMPOTENT, 1, None)).len(), 1, "one that was not executed is retried");
    assert!(sends(&recover(IDEMPOTENT, 6, None)).is_empty(), "attempts of the earlier process count");
}

#[test]
fn recovered_message_without_call_is_not_shed() {
    let mut dispatcher = Dispatcher::new(Settings { max_in_flight_calls: 2, ..settings() }, 1);
    let mut events = Vec::new();
    for id in 0..40 {
        let message = message(id, SHARED_LIMIT, IDEMPOTENT, 0);
        events.push(Event::Recovered { message, attempts: 0, unresolved: vec![] });
    }
    events.push(endpoint_list());
    let mut attempts = AttemptCounter::default();
    let mut failing = sends_after(&mut dispatcher, 100 * SECOND, events);
    // 70 messages are in flight. Load is shed down to 54, nine tenths of the maximum of 60.
    let messages = (100..130).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
    let rejected = rejections(&dispatcher.decide(100 * SECOND + 50 * MILLISECOND, messages));
    assert_eq!(rejected.len(), 16);
    assert!(rejected.iter().all(|&id| id >= 100), "{rejected:?}");
    // Failed connections do not count as calls. All fail until the destination is ejected.
    let mut now = 100 * SECOND + 60 * MILLISECOND;
    while !failing.is_empty() {
        let failed = |sent: &Sent| {
            let attempt = attempts.next(sent.message);
            finished(sent.message, attempt, sent.endpoint, AttemptOutcome::NoConnection)
        };
        let events = failing.iter().map(failed).collect();
        failing = sends_after(&mut dispatcher, now, events);
        now += 10 * MILLISECOND;
    }
    let messages = (200..230).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
    let rejected = rejections(&dispatcher.decide(now, messages));
    assert!(rejected.len() >= 29, "{rejected:?}");
    assert!(rejected.iter().all(|&id| id >= 100), "{rejected:?}");
}
