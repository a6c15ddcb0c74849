//! Rule 3: no new work to an endpoint that is draining or gone.

use crate::fixtures::{arrival, only_rule, submission, violations, MS, S};
use linnetcart_conformance::{Answer, EndpointNotification, EndpointVerdict, Records};

#[test]
fn call_to_draining_endpoint_after_the_grace_breaks_rule_3() {
    let recorded = |at| Records {
        submissions: vec![submission(1, 0, 0, &[(S, Answer::Served)])],
        arrivals: vec![arrival(1, at, EndpointVerdict::Served)],
        notifications: vec![EndpointNotification {
            courier: 0,
            incarnation: 0,
            at: 200 * MS,
            endpoint: 10,
            ready: false,
        }],
        ..Records::default()
    };
    assert_eq!(violations(&recorded(290 * MS)), [0; 6]);
    assert_eq!(violations(&recorded(310 * MS)), only_rule(3));
}
