//! Tests of the conformance checks: each check reports violations of its own rule, and none in records that
//! satisfy it.

mod draining;
mod final_answer;
mod fixtures;
mod key_order;
mod recovery;
mod retry_after;
mod single_effect;

use fixtures::{arrival, invariants, submission, MS, S};
use linnetcart_conformance::{check, Answer, EndpointVerdict, Records, Submission};

#[test]
fn records_without_violations_satisfy_all_rules() {
    let records = Records {
        submissions: vec![
            submission(1, 2, 0, &[(S / 2, Answer::Served)]),
            submission(2, 1, 0, &[(3 * S, Answer::Served)]),
        ],
        arrivals: vec![
            arrival(1, 100 * MS, EndpointVerdict::Served),
            arrival(2, 150 * MS, EndpointVerdict::Served),
        ],
        ..Records::default()
    };
    let report = check(&records, &invariants());
    assert!(report.is_conformant(), "{report:?}");
    assert_eq!((report.classes[2].within_objective, report.classes[1].late), (1, 1));
    // The message is served two thirds of the way from its objective to its deadline; at the deadline half of
    // the weight would remain.
    assert!((report.classes[1].delivered_weight - (1.0 - 0.5 * 2.0 / 3.0)).abs() < 1e-9);
}

#[test]
fn message_without_answer_is_lost_if_idempotent_and_unknown_otherwise() {
    let orphan = |message, class| Submission { orphaned: Some(S), ..submission(message, class, 0, &[]) };
    let records =
        Records { submissions: vec![orphan(1, 0), orphan(2, 1), orphan(3, 2)], ..Records::default() };
    let report = check(&records, &invariants());
    let lost: Vec<u64> = report.classes.iter().map(|class| class.lost).collect();
    let unknown: Vec<u64> = report.classes.iter().map(|class| class.unknown).collect();
    assert_eq!(lost, [1, 0, 0]);
    assert_eq!(unknown, [0, 1, 1]);
}
