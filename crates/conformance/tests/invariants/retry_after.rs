//! Rule 6: the Retry-After of a rejection is honoured.

use crate::fixtures::{arrival, only_rule, submission, violations, MS, S};
use linnetcart_conformance::{Answer, Arrival, EndpointVerdict, Records};

#[test]
fn call_within_retry_after_at_the_same_limit_breaks_rule_6() {
    let recorded = |second: Arrival| Records {
        submissions: vec![
            submission(1, 0, 0, &[(S, Answer::Served)]),
            submission(2, 0, 0, &[(S, Answer::Served)]),
        ],
        arrivals: vec![arrival(1, 100 * MS, EndpointVerdict::Rejected { retry_after: 300 * MS }), second],
        ..Records::default()
    };
    let second = |at| arrival(2, at, EndpointVerdict::Served);
    assert_eq!(violations(&recorded(second(200 * MS))), only_rule(6));
    assert_eq!(violations(&recorded(second(402 * MS))), [0; 6]);
    assert_eq!(violations(&recorded(Arrival { destination: 2, ..second(200 * MS) })), [0; 6]);
}
