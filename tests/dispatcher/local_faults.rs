//! Faults of the courier's own machine.

use crate::support::*;
use linnetcart::*;

/// Ends each attempt with a local fault until `until`; returns the number of attempts.
fn fail_locally_for(dispatcher: &mut Dispatcher, mut now: Time, until: Time, first: Vec<Sent>) -> u32 {
    let mut attempts = AttemptCounter::default();
    let mut sends_now = first;
    let mut count = 0;
    while now < until {
        let mut ends = Vec::new();
        for sent in sends_now {
            count += 1;
            let attempt = attempts.next(sent.message);
            ends.push(finished(sent.message, attempt, sent.endpoint, AttemptOutcome::LocalFault));
        }
        now += 5 * MILLISECOND;
        sends_now = sends_after(dispatcher, now, ends);
    }
    count
}

#[test]
fn attempts_that_fail_locally_are_paced_and_use_up_none() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
    let sends = fail_locally_for(&mut dispatcher, now, now + 3 * SECOND, first);
    assert!((7..40).contains(&sends), "{sends} attempts in 3 s, more than the 6 that a message has");
    let later = sends_after(&mut dispatcher, now + 4 * SECOND, vec![Event::WokenUp]);
    assert!(later.len() <= 1, "{later:?}");
}

#[test]
fn attempts_that_fail_locally_show_nothing_of_the_endpoint() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    let endpoint = first[0].endpoint;
    let end = finished(1, 0, endpoint, AttemptOutcome::LocalFault);
    let actions = dispatcher.decide(now + MILLISECOND, vec![end]);
    assert!(!actions.iter().any(|action| matches!(action, Action::LimitChanged(_))), "{actions:?}");
    assert!(sends(&actions).is_empty(), "retried without a pause");
    let retried = sends_after(&mut dispatcher, now + 30 * MILLISECOND, vec![Event::WokenUp]);
    assert_eq!(retried.len(), 1);
}

#[test]
fn without_recording_only_idempotent_unordered_messages_are_sent() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    dispatcher.decide(now, vec![Event::RecordingChanged { available: false }]);
    let messages = vec![
        accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT),
        accepted(2, SHARED_LIMIT, KEYED),
        accepted(3, SHARED_LIMIT, ORDERED),
        accepted(4, SHARED_LIMIT, IDEMPOTENT),
    ];
    let sent: Vec<u32> =
        sends_after(&mut dispatcher, now + MILLISECOND, messages).iter().map(|sent| sent.message).collect();
    assert_eq!(sent, [4], "an older message that waits for its record holds up no other");
    let mut sent = Vec::new();
    let mut events = vec![Event::RecordingChanged { available: true }];
    for step in 1..100 {
        let now = now + step * 10 * MILLISECOND;
        sent.extend(sends_after(&mut dispatcher, now, events).iter().map(|sent| sent.message));
        events = vec![Event::WokenUp];
    }
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent, [1, 2, 3]);
}

#[test]
fn without_recording_messages_still_get_their_answer_before_the_deadline() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    dispatcher.decide(now, vec![Event::RecordingChanged { available: false }]);
    dispatcher.decide(now + MILLISECOND, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
    let actions = dispatcher.decide(now + 20 * SECOND, vec![Event::WokenUp]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { message: 1, .. })), "{actions:?}");
}
