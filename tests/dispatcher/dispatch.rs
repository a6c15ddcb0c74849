//! Dispatch: which message is sent next, to which endpoint, and in which call.

use crate::support::*;
use linnetcart::*;
use std::collections::BTreeMap;

#[test]
fn waiting_messages_of_two_destinations_go_oldest_first_in_turn() {
    let mut dispatcher = dispatcher_with(settings());
    let messages = vec![
        accepted(1, SHARED_LIMIT, IDEMPOTENT),
        accepted(2, SHARED_LIMIT, IDEMPOTENT),
        accepted(3, INDEPENDENT_ROUTES, IDEMPOTENT),
        accepted(4, INDEPENDENT_ROUTES, IDEMPOTENT),
    ];
    let sent = sends_after(&mut dispatcher, SECOND, messages);
    let order: Vec<u32> = sent.iter().map(|sent| sent.message).collect();
    assert_eq!(order, [1, 3, 2, 4]);
}

#[test]
fn sends_of_one_cycle_to_batching_kind_share_a_call() {
    let mut dispatcher = dispatcher_with(Settings { max_in_flight_calls: 2, ..settings() });
    let messages = (0..6).map(|id| accepted(id, BATCHING, IDEMPOTENT)).collect();
    let sent = sends_after(&mut dispatcher, SECOND, messages);
    assert_eq!(sent.len(), 3, "one call of three under a cap of one slot");
}

#[test]
fn shared_call_that_fails_counts_once() {
    for couriers in [2, 400] {
        let mut dispatcher = dispatcher_with(Settings {
            courier_count: couriers,
            max_in_flight_calls: 3,
            rate_accuracy: RateAccuracy::Exact,
            ..settings()
        });
        let entry = Endpoint { rate: 0.5, ..endpoint(30, BATCHING, 2, EndpointStatus::Ready) };
        dispatcher.decide(SECOND, vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
        let messages = (0..4).map(|id| accepted(id, BATCHING, IDEMPOTENT)).collect();
        let sent = sends_after(&mut dispatcher, SECOND, messages);
        let full_call = [0, 1, 2].map(|message| Sent { message, endpoint: 30 });
        assert_eq!(sent, full_call, "one call for a rate of one, full");
        let lost = (0..3).map(|id| finished(id, 0, 30, AttemptOutcome::Error)).collect();
        let actions = dispatcher.decide(SECOND + 50 * MILLISECOND, lost);
        assert!(limit_changes(&actions).is_empty(), "one failure is no outage: {actions:?}");
        dispatcher.decide(SECOND + 60 * MILLISECOND, (0..3).map(cancelled_by_client).collect());
    }
}

#[test]
fn endpoint_choice_of_many_couriers_is_spread() {
    // Each courier has no other call in flight. Without jitter, all would choose the endpoint of lowest
    // number.
    for destination in [SHARED_LIMIT, INDEPENDENT_ROUTES] {
        let mut sent_to = BTreeMap::<u32, usize>::new();
        for dispatcher in &mut fleet(100, 5.0) {
            let messages = vec![accepted(1, destination, IDEMPOTENT)];
            for sent in sends_after(dispatcher, 2 * SECOND, messages) {
                *sent_to.entry(sent.endpoint).or_default() += 1;
            }
        }
        assert_eq!(sent_to.len(), 2);
        assert!(sent_to.values().all(|&count| count >= 30), "{sent_to:?}");
    }
}

#[test]
fn class_with_lost_message_avoids_the_endpoint_and_others_use_it() {
    for couriers in [2, 400] {
        let WarmedUp { mut dispatcher, now } =
            warmed_up_with(Settings { courier_count: couriers, max_in_flight_calls: 20, ..settings() });
        let lost = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
        let faulty = lost[0].endpoint;
        let now = now + SECOND;
        dispatcher.decide(now, vec![Event::WokenUp]);
        for id in 2..5 {
            let sent = sends_after(&mut dispatcher, now, vec![accepted(id, SHARED_LIMIT, NOT_IDEMPOTENT)]);
            let avoided = sent.iter().all(|sent| sent.endpoint != faulty);
            assert!(avoided, "messages that are not idempotent avoid it: {sent:?}");
            let served = |sent: &Sent| finished(sent.message, 0, sent.endpoint, AttemptOutcome::Served);
            dispatcher.decide(now, sent.iter().map(served).collect());
        }
        let messages = (5..11).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
        let sent = sends_after(&mut dispatcher, now + 9 * SECOND, messages);
        assert!(sent.iter().any(|sent| sent.endpoint == faulty), "other classes use it");
    }
}

fn closes_idle(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::CloseIdle { .. }))
}

#[test]
fn idle_connection_that_is_rarely_used_is_closed() {
    // Idle connections of hundreds of couriers would use up the connections that an endpoint accepts.
    let mut dispatcher = fleet(100, 5.0).remove(0);
    let messages = vec![accepted(1, INDEPENDENT_ROUTES, IDEMPOTENT)];
    let first = sends_after(&mut dispatcher, 60 * SECOND, messages);
    let served = finished(1, 0, first[0].endpoint, AttemptOutcome::Served);
    let actions = dispatcher.decide(60 * SECOND + 50 * MILLISECOND, vec![served]);
    assert!(closes_idle(&actions), "one call a minute: another courier needs the connection");
    for (couriers, closed) in [(2, false), (400, true)] {
        let mut dispatcher = dispatcher_with(Settings { courier_count: couriers, ..settings() });
        let now = warm_up(&mut dispatcher, SHARED_LIMIT, 12, SECOND);
        let sent = sends_after(&mut dispatcher, now, vec![accepted(3, SHARED_LIMIT, IDEMPOTENT)]);
        let served = finished(3, 0, sent[0].endpoint, AttemptOutcome::Served);
        let actions = dispatcher.decide(now + 90 * MILLISECOND, vec![served]);
        assert_eq!(closes_idle(&actions), closed, "{couriers} couriers");
    }
}

/// A recovery trial, and how long after the ejection it was sent.
#[derive(Debug)]
struct Trial {
    message: u32,
    sent_after: Time,
}

#[test]
fn recovery_trial_among_expiring_messages_uses_one_with_time_left() {
    // The oldest messages waiting for an ejected destination expire one by one. Each was sent as a recovery
    // trial and cancelled at its deadline without a result, so the destination stayed ejected.
    let WarmedUp { mut dispatcher, mut now } = warmed_up();
    let messages = (0..4).map(|id| accepted(id, SHARED_LIMIT, NOT_IDEMPOTENT)).collect();
    let sent = sends_after(&mut dispatcher, now, messages);
    let error = |sent: &Sent| finished(sent.message, 0, sent.endpoint, AttemptOutcome::Error);
    dispatcher.decide(now, sent.iter().map(error).collect());
    let ejected_at = now;
    // They expire 20 ms apart, so that whenever the second trial is due, the oldest one has less time left
    // than an answer takes.
    let expires_after = |id: u32| 3 * SECOND + Time::from(id - 100) * 20 * MILLISECOND;
    let mut waiting = Vec::new();
    for id in 100..180 {
        let short = message(id, SHARED_LIMIT, IDEMPOTENT, 0);
        waiting.push(Event::Accepted(AcceptedMessage { time_remaining: expires_after(id), ..short }));
    }
    waiting.push(accepted(200, SHARED_LIMIT, IDEMPOTENT));
    dispatcher.decide(now, waiting);
    let mut trials = Vec::new();
    while now < ejected_at + 5 * SECOND {
        now += 10 * MILLISECOND;
        for sent in sends_on_wake_up(&mut dispatcher, now) {
            trials.push(Trial { message: sent.message, sent_after: now - ejected_at });
        }
    }
    assert!(trials.len() >= 2, "{trials:?}");
    for trial in &trials {
        let has_time =
            trial.message == 200 || expires_after(trial.message) > trial.sent_after + 200 * MILLISECOND;
        assert!(has_time, "{trials:?}");
    }
}
