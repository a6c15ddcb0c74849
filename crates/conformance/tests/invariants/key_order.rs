//! Rule 5: messages with the same ordering key are sent in order.

use crate::fixtures::{arrival, only_rule, submission, unanswered_attempt, violations, MS, S};
use linnetcart_conformance::{
    Answer, Arrival, ConnectionPosition, EndpointVerdict, Records, Submission, Time,
};

/// Two messages of one ordering key, submitted as 1 and 2 on one connection. `first` is the arrival of
/// message 1 at the endpoint, and `second` the time at which message 2 arrives there.
fn two_messages_of_a_key(first: Arrival, second: Time) -> Records {
    Records {
        submissions: vec![
            submission(1, 1, 0, &[(S, Answer::Served)]),
            submission(2, 1, 0, &[(S, Answer::Served)]),
        ],
        arrivals: vec![first, arrival(2, second, EndpointVerdict::Served)],
        ..Records::default()
    }
}

#[test]
fn messages_of_a_key_out_of_order_or_without_cooldown_break_rule_5() {
    let served = arrival(1, 100 * MS, EndpointVerdict::Served);
    assert_eq!(violations(&two_messages_of_a_key(served.clone(), 110 * MS)), [0; 6]);
    assert_eq!(violations(&two_messages_of_a_key(served, 90 * MS)), only_rule(5));
    assert_eq!(violations(&two_messages_of_a_key(unanswered_attempt(), 250 * MS)), only_rule(5));
    assert_eq!(violations(&two_messages_of_a_key(unanswered_attempt(), 310 * MS)), [0; 6]);
}

#[test]
fn message_in_flight_on_two_connections_is_ordered_with_neither() {
    let mut again = two_messages_of_a_key(arrival(1, 100 * MS, EndpointVerdict::Served), 90 * MS);
    again.submissions.push(Submission {
        position: ConnectionPosition { connection: 9, sequence: 1 },
        orphaned: Some(80 * MS),
        ..submission(2, 1, 0, &[])
    });
    assert_eq!(violations(&again), [0; 6]);
    again.submissions[2].courier = 1;
    assert_eq!(violations(&again), only_rule(5));
}
