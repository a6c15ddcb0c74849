//! Hedged requests and the delay before them.

use crate::support::*;
use linnetcart::*;

#[test]
fn hedge_after_delay_goes_elsewhere_and_loser_is_cancelled() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    assert_eq!(first.len(), 1);
    let early = sends_on_wake_up(&mut dispatcher, now + 90 * MILLISECOND);
    assert!(early.is_empty(), "not before the percentile");
    let hedge = sends_on_wake_up(&mut dispatcher, now + 101 * MILLISECOND);
    assert_eq!(hedge.len(), 1);
    assert_ne!(hedge[0].endpoint, first[0].endpoint);
    let served = finished(1, 1, hedge[0].endpoint, AttemptOutcome::Served);
    let actions = dispatcher.decide(now + 150 * MILLISECOND, vec![served]);
    assert!(cancels(&actions, 1, 0));
}

#[test]
fn hedge_delay_with_too_few_samples_is_latency_objective() {
    let mut dispatcher = Dispatcher::new(settings(), 1);
    dispatcher.decide(SECOND, vec![endpoint_list(), accepted(1, SHARED_LIMIT, IDEMPOTENT)]);
    assert!(sends_on_wake_up(&mut dispatcher, SECOND + 2 * SECOND).is_empty());
    assert_eq!(sends_on_wake_up(&mut dispatcher, SECOND + 3 * SECOND).len(), 1);
}

#[test]
fn hedge_delay_after_courier_pause_ignores_late_answers() {
    for couriers in [2, 400] {
        let WarmedUp { mut dispatcher, now } =
            warmed_up_with(Settings { courier_count: couriers, max_in_flight_calls: 20, ..settings() });
        let messages = (1..9).map(|id| accepted(id, SHARED_LIMIT, NOT_IDEMPOTENT)).collect();
        let sent = sends_after(&mut dispatcher, now, messages);
        let mut late = Vec::new();
        for sent in sent {
            let served = result(sent.message, 0, sent.endpoint, AttemptOutcome::Served);
            late.push(Event::AttemptFinished(AttemptResult { elapsed: 2 * SECOND, ..served }));
        }
        dispatcher.decide(now + 2 * SECOND, late);
        let now = now + 3 * SECOND;
        let first = sends_after(&mut dispatcher, now, vec![accepted(50, SHARED_LIMIT, IDEMPOTENT)]);
        let hedge = sends_on_wake_up(&mut dispatcher, now + 150 * MILLISECOND);
        assert_eq!(first.len(), 1);
        assert_eq!(hedge.len(), 1, "the hedge delay is still 0.1 s");
    }
}

#[test]
fn not_idempotent_message_after_error_fails_without_hedge() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let first = sends_after(&mut dispatcher, now, vec![accepted(1, SHARED_LIMIT, NOT_IDEMPOTENT)]);
    assert!(sends_on_wake_up(&mut dispatcher, now + SECOND).is_empty());
    let error = finished(1, 0, first[0].endpoint, AttemptOutcome::Error);
    let actions = dispatcher.decide(now + SECOND, vec![error]);
    assert!(actions.contains(&Action::Fail { message: 1 }));
}

#[test]
fn zone_keyed_message_with_other_endpoint_elsewhere_is_not_hedged() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    dispatcher.decide(now, vec![accepted(1, SHARED_LIMIT, ZONE_KEYED)]);
    for step in 1..50 {
        assert!(sends_on_wake_up(&mut dispatcher, now + step * 20 * MILLISECOND).is_empty());
    }
}
