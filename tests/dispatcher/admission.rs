//! Slots per destination, the retry budget and load shedding.

use crate::support::*;
use linnetcart::*;

#[test]
fn retry_budget_after_failures_allows_one_send_at_most() {
    let WarmedUp { mut dispatcher, mut now } = warmed_up();
    for id in 1..=3 {
        let first = sends_after(&mut dispatcher, now, vec![accepted(id, SHARED_LIMIT, NOT_IDEMPOTENT)]);
        now += 20 * MILLISECOND;
        for sent in first {
            let reset = finished(sent.message, 0, sent.endpoint, AttemptOutcome::Reset);
            dispatcher.decide(now, vec![reset]);
        }
    }
    dispatcher.decide(now, vec![accepted(10, SHARED_LIMIT, IDEMPOTENT)]);
    let mut sent = 0;
    for step in 1..20 {
        sent += sends_on_wake_up(&mut dispatcher, now + step * 20 * MILLISECOND).len();
    }
    assert!(sent <= 1, "{sent} sends with an empty budget");
}

#[test]
fn retry_without_budget_during_retry_after_wakes_up_at_its_end() {
    let mut dispatcher = dispatcher_with(settings());
    let messages = vec![
        accepted(1, SHARED_LIMIT, IDEMPOTENT),
        accepted(2, SHARED_LIMIT, NOT_IDEMPOTENT),
        accepted(3, SHARED_LIMIT, NOT_IDEMPOTENT),
    ];
    let sent = sends_after(&mut dispatcher, SECOND, messages);
    assert_eq!(sent.len(), 3);
    // After two failures the budget allows no retry. The first message waits for a retry, and the third call
    // is in flight.
    let now = SECOND + 50 * MILLISECOND;
    let error = finished(1, 0, sent[0].endpoint, AttemptOutcome::Error);
    let rejected = AttemptOutcome::Rejected { retry_after: SECOND };
    let rejected = AttemptResult { completed: true, ..result(2, 0, sent[1].endpoint, rejected) };
    let actions = dispatcher.decide(now, vec![error, Event::AttemptFinished(rejected)]);
    assert!(sends(&actions).is_empty());
    assert!(actions.contains(&Action::WakeUp { at: now + SECOND }), "{actions:?}");
}

#[test]
fn destination_with_many_waiting_gets_three_quarters_of_slots() {
    let mut dispatcher = dispatcher_with(settings());
    let burst = (0..20).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
    assert_eq!(sends_after(&mut dispatcher, SECOND, burst).len(), 6);
    let others = (50..53).map(|id| accepted(id, INDEPENDENT_ROUTES, IDEMPOTENT)).collect();
    assert_eq!(sends_after(&mut dispatcher, SECOND, others).len(), 2);
}

#[test]
fn load_of_one_destination_above_threshold_is_shed_with_retry_after() {
    let mut dispatcher = dispatcher_with(settings());
    let burst = (0..60).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
    let actions = dispatcher.decide(SECOND, burst);
    assert_eq!(rejections(&actions).len(), 6, "a tenth of the capacity stays free");
    assert!(actions.iter().all(|action| !matches!(action, Action::Reject { retry_after: 0, .. })));
}

#[test]
fn messages_waiting_for_slots_beyond_objective_are_shed() {
    // Incident i898dc2: with all slots taken and the oldest message sent first, every message missed its
    // objective.
    for couriers in [2, 400] {
        let few_slots = Settings {
            courier_count: couriers,
            max_in_flight_calls: 2,
            max_in_flight_messages: 1000,
            ..settings()
        };
        let WarmedUp { mut dispatcher, now } = warmed_up_with(few_slots.clone());
        // At a latency of 0.1 s, two slots serve 60 messages within the objective of 3 s.
        let messages = (0..55).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)).collect();
        let actions = dispatcher.decide(now, messages);
        assert!(rejections(&actions).is_empty(), "these can be served in time");
        let WarmedUp { mut dispatcher, now } = warmed_up_with(few_slots);
        let messages = (0..100).map(|id| accepted(id, 1 + id % 2, IDEMPOTENT)).collect();
        dispatcher.decide(now, messages);
        let actions = dispatcher.decide(now + 10 * MILLISECOND, vec![Event::WokenUp]);
        let shed =
            |action: &&Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after > 0);
        let shed = actions.iter().filter(shed).count();
        assert!((30..=45).contains(&shed), "the others are rejected with a Retry-After");
    }
}
