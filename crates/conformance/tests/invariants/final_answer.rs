//! Rule 1: one final answer in time, and nothing sent after it.

use crate::fixtures::{arrival, idempotent_message, only_rule, violations, MS, S};
use linnetcart_conformance::{Answer, EndpointVerdict, Partition, Records, Stall, Time};

/// A partition of courier 0 from its clients.
fn partition(from: Time, until: Time) -> Partition {
    Partition { courier: 0, from, until, clients: true, endpoints: false }
}

/// One message that is answered at `answered`, submitted to a courier that is cut off from the start until
/// `until`.
fn partitioned_courier(until: Time, answered: Time) -> Records {
    let records = idempotent_message(&[(answered, Answer::Rejected)], &[]);
    Records { partitions: vec![partition(0, until)], ..records }
}

#[test]
fn final_answer_missing_double_or_late_breaks_rule_1() {
    assert_eq!(violations(&idempotent_message(&[], &[])), only_rule(1));
    assert_eq!(
        violations(&idempotent_message(&[(S, Answer::Failed), (2 * S, Answer::Failed)], &[])),
        only_rule(1)
    );
    assert_eq!(violations(&idempotent_message(&[(4 * S + 16 * MS, Answer::Failed)], &[])), only_rule(1));
    assert_eq!(violations(&idempotent_message(&[(4 * S + 14 * MS, Answer::Failed)], &[])), [0; 6]);
}

#[test]
fn final_answer_on_a_slow_link_satisfies_rule_1_if_sent_in_time() {
    // If the connection is established before the deadline, its three trips do not extend the deadline.
    let slow = |at| {
        let mut records = idempotent_message(&[(at, Answer::Failed)], &[]);
        records.submissions[0].answer_travelled = 40 * MS;
        records
    };
    assert_eq!(violations(&slow(4 * S + 54 * MS)), [0; 6]);
    assert_eq!(violations(&slow(4 * S + 56 * MS)), only_rule(1));
}

#[test]
fn final_answer_after_a_partition_is_due_when_the_message_arrives() {
    // A message that arrives after its deadline is due on arrival; one that arrives earlier is due at its
    // deadline.
    assert_eq!(violations(&partitioned_courier(6 * S, 6 * S + 14 * MS)), [0; 6]);
    assert_eq!(violations(&partitioned_courier(6 * S, 6 * S + 16 * MS)), only_rule(1));
    assert_eq!(violations(&partitioned_courier(3 * S, 4 * S + 14 * MS)), [0; 6]);
    assert_eq!(violations(&partitioned_courier(3 * S, 4 * S + 16 * MS)), only_rule(1));
}

#[test]
fn final_answer_after_overlapping_partitions_is_due_after_the_last() {
    let second_begins_at = |from| {
        let mut records = partitioned_courier(3 * S, 7 * S + 14 * MS);
        records.partitions.push(partition(from, 7 * S));
        records
    };
    assert_eq!(violations(&second_begins_at(2 * S)), [0; 6]);
    assert_eq!(violations(&second_begins_at(5 * S)), only_rule(1));
}

#[test]
fn message_sent_after_its_final_answer_breaks_rule_1() {
    let late = arrival(1, S + 6 * MS, EndpointVerdict::Served);
    assert_eq!(violations(&idempotent_message(&[(S, Answer::Failed)], &[late])), only_rule(1));
}

#[test]
fn final_answer_due_during_a_stall_is_due_at_its_end() {
    let stalled = |until| Records {
        stalls: vec![Stall { courier: 0, incarnation: 0, from: 3 * S, until }],
        ..idempotent_message(&[(4 * S + 500 * MS, Answer::Failed)], &[])
    };
    assert_eq!(violations(&stalled(4 * S + 490 * MS)), [0; 6]);
    assert_eq!(violations(&stalled(4 * S + 400 * MS)), only_rule(1));
}
