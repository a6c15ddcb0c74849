//! Rule 2: no message takes effect more than once.

use crate::fixtures::{
    arrival, invariants, message_of_class, only_rule, served_attempt, submission, unanswered_attempt,
    violations, KEYED, MS, S,
};
use linnetcart_conformance::{check, Answer, Arrival, EndpointVerdict, Idempotency, Invariants, Submission};

/// An attempt that is served after the deduplication window.
fn served_after_window() -> Arrival {
    Arrival { effect: false, ..arrival(1, 2200 * MS, EndpointVerdict::Served) }
}

/// The parameters, with a keyed class whose keys all endpoints share.
fn invariants_with_keys_known_at_all_endpoints() -> Invariants {
    let mut invariants = invariants();
    invariants.classes[KEYED].idempotency = Idempotency::Keyed { dedup_window: 2 * S, per_zone: false };
    invariants
}

#[test]
fn non_idempotent_message_executed_twice_or_rejected_after_execution_breaks_rule_2() {
    let rejected = arrival(1, 100 * MS, EndpointVerdict::Rejected { retry_after: 0 });
    assert_eq!(
        violations(&message_of_class(2, Answer::Served, &[unanswered_attempt(), served_attempt()])),
        only_rule(2)
    );
    assert_eq!(violations(&message_of_class(2, Answer::Served, &[rejected, served_attempt()])), [0; 6]);
    assert_eq!(violations(&message_of_class(2, Answer::Rejected, &[unanswered_attempt()])), only_rule(2));
}

#[test]
fn keyed_message_sent_again_to_another_zone_or_after_its_window_breaks_rule_2() {
    assert_eq!(
        violations(&message_of_class(1, Answer::Served, &[unanswered_attempt(), served_attempt()])),
        [0; 6]
    );
    let elsewhere = Arrival { zone: 1, ..served_attempt() };
    assert_eq!(
        violations(&message_of_class(1, Answer::Served, &[unanswered_attempt(), elsewhere])),
        only_rule(2)
    );
    assert_eq!(
        violations(&message_of_class(1, Answer::Served, &[unanswered_attempt(), served_after_window()])),
        only_rule(2)
    );
}

#[test]
fn keyed_message_submitted_to_another_courier_after_its_window_breaks_rule_2() {
    // Both couriers stayed within the window counted from their own first attempt, but the client submitted
    // the message again too late for the window of the first.
    let mut forwarded = message_of_class(1, Answer::Served, &[served_attempt()]);
    let second = submission(1, 1, 2 * S, &[(3500 * MS, Answer::Served)]);
    forwarded.submissions.push(Submission { courier: 1, ..second });
    let forwarded_at = |at| {
        let mut records = forwarded.clone();
        records.arrivals.push(Arrival { courier: 1, at, ..served_attempt() });
        check(&records, &invariants_with_keys_known_at_all_endpoints()).rules[1].violations
    };
    assert_eq!((forwarded_at(2504 * MS), forwarded_at(2506 * MS)), (0, 1));
}

#[test]
fn keyed_message_rejected_after_execution_breaks_rule_2_only_if_its_key_is_known_per_zone() {
    // To the courier, a message that is submitted again after a rejection is a new one.
    let mut twice = message_of_class(1, Answer::Rejected, &[unanswered_attempt(), served_after_window()]);
    twice.submissions[0].answers[0].at = S;
    twice.submissions.push(submission(1, 1, 2 * S, &[(3 * S, Answer::Served)]));
    // Keys are shared within a zone only, so the rejection is the violation and the second attempt is none.
    assert_eq!(check(&twice, &invariants()).rules[1].violations, 1);
    let rejected = message_of_class(1, Answer::Rejected, &[unanswered_attempt()]);
    assert_eq!(violations(&rejected), only_rule(2));
    let result = check(&rejected, &invariants_with_keys_known_at_all_endpoints()).rules.remove(1);
    assert_eq!((result.checked, result.violations), (2, 0));
}
