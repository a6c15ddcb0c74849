//! Rule 4: no overload during the recovery ramp after an outage.

use crate::fixtures::{arrival, only_rule, submission, violations, MS, S};
use linnetcart_conformance::{Answer, EndpointVerdict, FailedConnect, Outage, Records};
use std::collections::BTreeMap;

fn outage() -> Outage {
    Outage {
        destination: 1,
        route: None,
        from: 0,
        until: S,
        capacity: 10.0,
        slow_start_ratio: 0.1,
        slow_start_duration: 10 * S,
        refused_connections: false,
    }
}

/// Twenty calls soon after an outage, by a courier that did not know of it.
fn burst_after_outage() -> Records {
    let answers = [(3 * S, Answer::Served)];
    let call = |message: u64| arrival(message, S + 100 * MS + message * 10 * MS, EndpointVerdict::Served);
    Records {
        submissions: (1..=21).map(|message| submission(message, 0, 0, &answers)).collect(),
        arrivals: (1..=20).map(call).collect(),
        outages: vec![outage()],
        ..Records::default()
    }
}

#[test]
fn overload_after_outage_breaks_rule_4_only_by_couriers_that_knew() {
    assert_eq!(violations(&burst_after_outage()), [0; 6]);
    let mut known = burst_after_outage();
    known.arrivals.push(arrival(21, S / 2, EndpointVerdict::Error));
    assert_eq!(violations(&known), only_rule(4));
}

#[test]
fn failed_connections_count_as_knowledge_of_an_outage_of_their_route() {
    let connect = |endpoint, at| Records {
        endpoints: BTreeMap::from([(10, 1), (11, 1)]),
        failed_connects: Some(vec![FailedConnect { courier: 0, incarnation: 0, endpoint, from: S / 2, at }]),
        outages: vec![Outage { route: Some(10), refused_connections: true, ..outage() }],
        ..burst_after_outage()
    };
    assert_eq!(violations(&connect(10, S)), only_rule(4));
    assert_eq!(violations(&connect(11, S)), [0; 6]);
    assert_eq!(violations(&connect(10, 2 * S)), [0; 6]);
    // Where the network does not record them, every courier with a message in flight for the destination
    // counts.
    assert_eq!(violations(&Records { failed_connects: None, ..connect(11, S) }), only_rule(4));
}
