//! The check of an attempt right before it is sent: each condition of its decision can end while it waits.

use crate::support::*;
use linnetcart::*;

/// Sends a message of a class and returns its endpoint. The attempt waits from then on.
fn send(dispatcher: &mut Dispatcher, now: Time, class: u8) -> u32 {
    let sent = sends_after(dispatcher, now, vec![accepted(1, SHARED_LIMIT, class)]);
    assert_eq!(sent.len(), 1);
    sent[0].endpoint
}

#[test]
fn waiting_attempt_may_be_sent_while_its_conditions_hold() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    for class in [IDEMPOTENT, KEYED, NOT_IDEMPOTENT] {
        let id = 10 + u32::from(class);
        dispatcher.decide(now, vec![accepted(id, SHARED_LIMIT, class)]);
        assert_eq!(dispatcher.check_unsent(now, id, 0), Ok(()));
        assert_eq!(dispatcher.check_unsent(now + 2 * SECOND, id, 0), Ok(()));
        assert_eq!(dispatcher.check_unsent(now, id, 1), Err(SendRefusal::Cancelled), "no such attempt");
        assert_eq!(dispatcher.check_unsent(now + 20 * SECOND, id, 0), Err(SendRefusal::DeadlinePassed));
    }
    assert_eq!(dispatcher.check_unsent(now, 99, 0), Err(SendRefusal::Cancelled), "no such message");
}

#[test]
fn waiting_attempt_of_ended_message_is_refused() {
    for cancellation_allowed in [true, false] {
        let WarmedUp { mut dispatcher, now } =
            warmed_up_with(Settings { cancellation_allowed, ..settings() });
        send(&mut dispatcher, now, IDEMPOTENT);
        dispatcher.decide(now + MILLISECOND, vec![cancelled_by_client(1)]);
        assert!(dispatcher.check_unsent(now + MILLISECOND, 1, 0).is_err());
    }
}

#[test]
fn waiting_attempt_at_draining_endpoint_is_refused() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let id = send(&mut dispatcher, now, IDEMPOTENT);
    let draining = endpoint(id, SHARED_LIMIT, 0, EndpointStatus::Draining);
    dispatcher.decide(now + MILLISECOND, vec![endpoint_update(draining)]);
    assert_eq!(dispatcher.check_unsent(now + MILLISECOND, 1, 0), Err(SendRefusal::EndpointNotReady));
}

#[test]
fn waiting_attempt_during_retry_after_is_refused() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let endpoint = send(&mut dispatcher, now, IDEMPOTENT);
    let rejected = AttemptOutcome::Rejected { retry_after: SECOND };
    dispatcher.decide(now + MILLISECOND, vec![accepted(2, SHARED_LIMIT, IDEMPOTENT)]);
    dispatcher.decide(now + 2 * MILLISECOND, vec![finished(2, 0, endpoint, rejected)]);
    let refusal = dispatcher.check_unsent(now + 2 * MILLISECOND, 1, 0);
    assert_eq!(refusal, Err(SendRefusal::RetryAfterPending));
}

/// An outage that a Retry-After longer than an overload window tells, and its slow start.
#[test]
fn waiting_attempt_decided_before_outage_is_refused() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    send(&mut dispatcher, now, IDEMPOTENT);
    let told_at = now + 2 * MILLISECOND;
    let sent = sends_after(&mut dispatcher, now + MILLISECOND, vec![accepted(2, SHARED_LIMIT, IDEMPOTENT)]);
    let outage = AttemptOutcome::Rejected { retry_after: 3 * SECOND };
    dispatcher.decide(told_at, vec![finished(2, 0, sent[0].endpoint, outage)]);
    let refusal = dispatcher.check_unsent(told_at + 3 * SECOND, 1, 0);
    assert_eq!(refusal, Err(SendRefusal::OutageBegan), "the Retry-After is over, the slow start is not");
}

#[test]
fn waiting_attempt_at_silent_endpoint_may_be_sent() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    send(&mut dispatcher, now + MILLISECOND, NOT_IDEMPOTENT);
    let actions = dispatcher.decide(now + 2 * SECOND, vec![Event::WokenUp]);
    assert!(!limit_changes(&actions).is_empty(), "no call was answered since it was decided");
    assert_eq!(dispatcher.check_unsent(now + 2 * SECOND, 1, 0), Ok(()));
}

/// Class `KEYED` has a window of 8 s, counted from the first attempt.
#[test]
fn waiting_repetition_is_refused_before_key_is_forgotten() {
    let WarmedUp { mut dispatcher, now } = warmed_up();
    let endpoint = send(&mut dispatcher, now, KEYED);
    let reset_at = now + 2 * SECOND;
    dispatcher.decide(reset_at, vec![finished(1, 0, endpoint, AttemptOutcome::Reset)]);
    let mut decided_at = reset_at;
    while dispatcher.check_unsent(decided_at, 1, 1).is_err() {
        decided_at += 100 * MILLISECOND;
        assert!(decided_at < now + 6 * SECOND, "it is sent again within its window");
        dispatcher.decide(decided_at, vec![Event::WokenUp]);
    }
    assert_eq!(dispatcher.check_unsent(now + 7 * SECOND, 1, 1), Ok(()));
    for late in [7_800 * MILLISECOND, 8 * SECOND, 12 * SECOND] {
        let refusal = dispatcher.check_unsent(now + late, 1, 1);
        assert_eq!(refusal, Err(SendRefusal::PossibleRepetition), "{late} ns after the first attempt");
    }
}
