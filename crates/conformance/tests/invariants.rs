//! Each check reports the violation that it is for, and nothing where there is none.

use linnetcart_conformance::{
    check, Answer, Arrival, Class, ClientAnswer, ConnectionPosition, EndpointNotification, EndpointVerdict,
    FailedConnect, Idempotency, Invariants, Outage, Partition, Records, Stall, Submission, Time,
};
use std::collections::BTreeMap;

const MS: Time = 1_000_000;
const S: Time = 1000 * MS;
/// The number of the keyed class.
const KEYED: usize = 1;

fn invariants() -> Invariants {
    let class = |name: &str, idempotency, ordered| Class {
        name: name.into(),
        latency_objective: S,
        deadline: 4 * S,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency,
        ordered,
    };
    Invariants {
        classes: vec![
            class("safe", Idempotency::Idempotent, false),
            class("keyed", Idempotency::Keyed { dedup_window: 2 * S, per_zone: true }, true),
            class("unsafe", Idempotency::NotIdempotent, false),
        ],
        halves: false,
        answer_grace: 10 * MS,
        drain_grace: 100 * MS,
        key_cooldown: 200 * MS,
        overload_ratio: 2.0,
        overload_window: S,
        timing_tolerance: 5 * MS,
        extra_link_delay: 0,
    }
}

fn submission(message: u64, class: u8, at: Time, answers: &[(Time, Answer)]) -> Submission {
    Submission {
        message,
        courier: 0,
        incarnation: 0,
        position: ConnectionPosition { connection: 0, sequence: message },
        class,
        destination: 1,
        key: Some(7),
        at,
        deadline: at + 4 * S,
        answers: answers.iter().map(|&(at, answer)| ClientAnswer { at, answer }).collect(),
        answer_travelled: 0,
        orphaned: None,
    }
}

fn arrival(message: u64, at: Time, verdict: EndpointVerdict) -> Arrival {
    Arrival {
        message,
        call: at,
        courier: 0,
        incarnation: 0,
        destination: 1,
        endpoint: 10,
        zone: 0,
        independent_route: false,
        at,
        verdict,
        travelled: 0,
        answered: (verdict != EndpointVerdict::Unanswered).then_some(at + MS),
        effect: verdict == EndpointVerdict::Served,
    }
}

/// How often each rule is broken.
fn broken(records: &Records) -> Vec<u64> {
    check(records, &invariants()).rules.iter().map(|result| result.broken).collect()
}

/// One violation of this rule and none of the others.
fn only(rule: usize) -> Vec<u64> {
    (1..=6).map(|n| u64::from(n == rule)).collect()
}

#[test]
fn records_without_violations_keep_all_rules() {
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
    assert!(report.kept(), "{report:?}");
    assert_eq!((report.classes[2].in_aim, report.classes[1].late), (1, 1));
    // Two thirds of the way from aim to deadline, of which half the worth is left.
    assert!((report.classes[1].worth - (1.0 - 0.5 * 2.0 / 3.0)).abs() < 1e-9);
}

/// One idempotent message with these answers and arrivals.
fn idempotent(answers: &[(Time, Answer)], arrivals: &[Arrival]) -> Records {
    Records {
        submissions: vec![submission(1, 0, 0, answers)],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    }
}

/// Courier 0 is cut off from its clients.
fn partition(from: Time, until: Time) -> Partition {
    Partition { courier: 0, from, until, clients: true, endpoints: false }
}

/// One message, answered at this time, whose courier was cut off from the beginning on.
fn partitioned(until: Time, answered: Time) -> Records {
    let records = idempotent(&[(answered, Answer::Rejected)], &[]);
    Records { partitions: vec![partition(0, until)], ..records }
}

#[test]
fn final_answer_missing_double_or_late_breaks_rule_1() {
    assert_eq!(broken(&idempotent(&[], &[])), only(1));
    assert_eq!(broken(&idempotent(&[(S, Answer::Failed), (2 * S, Answer::Failed)], &[])), only(1));
    assert_eq!(broken(&idempotent(&[(4 * S + 16 * MS, Answer::Failed)], &[])), only(1));
    assert_eq!(broken(&idempotent(&[(4 * S + 14 * MS, Answer::Failed)], &[])), [0; 6]);
}

#[test]
fn final_answer_on_a_slow_link_keeps_rule_1_if_it_left_in_time() {
    // Three such trips do not make a message young.
    let slow = |at| {
        let mut records = idempotent(&[(at, Answer::Failed)], &[]);
        records.submissions[0].answer_travelled = 40 * MS;
        records
    };
    assert_eq!(broken(&slow(4 * S + 54 * MS)), [0; 6]);
    assert_eq!(broken(&slow(4 * S + 56 * MS)), only(1));
}

#[test]
fn final_answer_after_a_partition_is_due_when_the_message_arrives() {
    // Held up until after its time, it is answered as it comes; before that, in its time.
    assert_eq!(broken(&partitioned(6 * S, 6 * S + 14 * MS)), [0; 6]);
    assert_eq!(broken(&partitioned(6 * S, 6 * S + 16 * MS)), only(1));
    assert_eq!(broken(&partitioned(3 * S, 4 * S + 14 * MS)), [0; 6]);
    assert_eq!(broken(&partitioned(3 * S, 4 * S + 16 * MS)), only(1));
}

#[test]
fn final_answer_after_overlapping_partitions_is_due_after_the_last() {
    let second_begins_at = |from| {
        let mut records = partitioned(3 * S, 7 * S + 14 * MS);
        records.partitions.push(partition(from, 7 * S));
        records
    };
    assert_eq!(broken(&second_begins_at(2 * S)), [0; 6]);
    assert_eq!(broken(&second_begins_at(5 * S)), only(1));
}

#[test]
fn message_sent_after_its_final_answer_breaks_rule_1() {
    let late = arrival(1, S + 6 * MS, EndpointVerdict::Served);
    assert_eq!(broken(&idempotent(&[(S, Answer::Failed)], &[late])), only(1));
}

#[test]
fn final_answer_due_during_a_stall_is_due_at_its_end() {
    let stalled = |until| Records {
        stalls: vec![Stall { courier: 0, incarnation: 0, from: 3 * S, until }],
        ..idempotent(&[(4 * S + 500 * MS, Answer::Failed)], &[])
    };
    assert_eq!(broken(&stalled(4 * S + 490 * MS)), [0; 6]);
    assert_eq!(broken(&stalled(4 * S + 400 * MS)), only(1));
}

/// One message of a class that is answered after three seconds.
fn of_class(class: u8, answer: Answer, arrivals: &[Arrival]) -> Records {
    Records {
        submissions: vec![submission(1, class, 0, &[(3 * S, answer)])],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    }
}

fn unanswered() -> Arrival {
    arrival(1, 100 * MS, EndpointVerdict::Unanswered)
}

fn served() -> Arrival {
    arrival(1, 500 * MS, EndpointVerdict::Served)
}

/// Served after the deduplication window.
fn served_late() -> Arrival {
    Arrival { effect: false, ..arrival(1, 2200 * MS, EndpointVerdict::Served) }
}

/// The rules for a keyed class that all endpoints deduplicate together.
fn keyed_at_all_endpoints() -> Invariants {
    let mut invariants = invariants();
    invariants.classes[KEYED].idempotency = Idempotency::Keyed { dedup_window: 2 * S, per_zone: false };
    invariants
}

#[test]
fn non_idempotent_message_executed_twice_or_rejected_after_execution_breaks_rule_2() {
    let rejected = arrival(1, 100 * MS, EndpointVerdict::Rejected { retry_after: 0 });
    assert_eq!(broken(&of_class(2, Answer::Served, &[unanswered(), served()])), only(2));
    assert_eq!(broken(&of_class(2, Answer::Served, &[rejected, served()])), [0; 6]);
    assert_eq!(broken(&of_class(2, Answer::Rejected, &[unanswered()])), only(2));
}

#[test]
fn keyed_message_sent_again_to_another_zone_or_after_its_window_breaks_rule_2() {
    assert_eq!(broken(&of_class(1, Answer::Served, &[unanswered(), served()])), [0; 6]);
    let elsewhere = Arrival { zone: 1, ..served() };
    assert_eq!(broken(&of_class(1, Answer::Served, &[unanswered(), elsewhere])), only(2));
    assert_eq!(broken(&of_class(1, Answer::Served, &[unanswered(), served_late()])), only(2));
}

#[test]
fn keyed_message_submitted_to_another_courier_after_its_window_breaks_rule_2() {
    // The second courier kept the window as it knew it, the client that submitted the message again did not.
    let mut forwarded = of_class(1, Answer::Served, &[served()]);
    let second = submission(1, 1, 2 * S, &[(3500 * MS, Answer::Served)]);
    forwarded.submissions.push(Submission { courier: 1, ..second });
    let forwarded_at = |at| {
        let mut records = forwarded.clone();
        records.arrivals.push(Arrival { courier: 1, at, ..served() });
        check(&records, &keyed_at_all_endpoints()).rules[1].broken
    };
    assert_eq!((forwarded_at(2504 * MS), forwarded_at(2506 * MS)), (0, 1));
}

#[test]
fn keyed_message_rejected_after_execution_breaks_rule_2_only_if_its_key_is_known_per_zone() {
    // Rejected and submitted again, it is a new message to the courier.
    let mut twice = of_class(1, Answer::Rejected, &[unanswered(), served_late()]);
    twice.submissions[0].answers[0].at = S;
    twice.submissions.push(submission(1, 1, 2 * S, &[(3 * S, Answer::Served)]));
    // Its class forgets by zone: the rejection is the violation, not the second attempt.
    assert_eq!(check(&twice, &invariants()).rules[1].broken, 1);
    let rejected = of_class(1, Answer::Rejected, &[unanswered()]);
    assert_eq!(broken(&rejected), only(2));
    let result = check(&rejected, &keyed_at_all_endpoints()).rules.remove(1);
    assert_eq!((result.checked, result.broken), (2, 0));
}

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
    assert_eq!(broken(&recorded(290 * MS)), [0; 6]);
    assert_eq!(broken(&recorded(310 * MS)), only(3));
}

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

/// Twenty calls soon after an outage, by a courier that saw nothing of it.
fn burst_after_outage() -> Records {
    let answers = [(3 * S, Answer::Served)];
    let call = |n: u64| arrival(n, S + 100 * MS + n * 10 * MS, EndpointVerdict::Served);
    Records {
        submissions: (1..=21).map(|n| submission(n, 0, 0, &answers)).collect(),
        arrivals: (1..=20).map(call).collect(),
        outages: vec![outage()],
        ..Records::default()
    }
}

#[test]
fn overload_after_outage_breaks_rule_4_only_by_couriers_that_knew() {
    assert_eq!(broken(&burst_after_outage()), [0; 6]);
    let mut known = burst_after_outage();
    known.arrivals.push(arrival(21, S / 2, EndpointVerdict::Error));
    assert_eq!(broken(&known), only(4));
}

#[test]
fn failed_connections_count_as_knowledge_of_an_outage_of_their_route() {
    let connect = |endpoint, at| Records {
        endpoints: BTreeMap::from([(10, 1), (11, 1)]),
        failed_connects: Some(vec![FailedConnect { courier: 0, incarnation: 0, endpoint, from: S / 2, at }]),
        outages: vec![Outage { route: Some(10), refused_connections: true, ..outage() }],
        ..burst_after_outage()
    };
    assert_eq!(broken(&connect(10, S)), only(4));
    assert_eq!(broken(&connect(11, S)), [0; 6]);
    assert_eq!(broken(&connect(10, 2 * S)), [0; 6]);
    // Where the network does not record them, whoever held a message for the destination counts.
    assert_eq!(broken(&Records { failed_connects: None, ..connect(11, S) }), only(4));
}

/// Two messages of one ordering key on one connection, the second sent at this time.
fn ordered(first: Arrival, second: Time) -> Records {
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
fn ordering_key_out_of_turn_or_without_cooldown_breaks_rule_5() {
    let served = arrival(1, 100 * MS, EndpointVerdict::Served);
    assert_eq!(broken(&ordered(served.clone(), 110 * MS)), [0; 6]);
    assert_eq!(broken(&ordered(served, 90 * MS)), only(5));
    assert_eq!(broken(&ordered(unanswered(), 250 * MS)), only(5));
    assert_eq!(broken(&ordered(unanswered(), 310 * MS)), [0; 6]);
}

#[test]
fn message_held_from_two_connections_is_in_turn_with_neither() {
    let mut again = ordered(arrival(1, 100 * MS, EndpointVerdict::Served), 90 * MS);
    again.submissions.push(Submission {
        position: ConnectionPosition { connection: 9, sequence: 1 },
        orphaned: Some(80 * MS),
        ..submission(2, 1, 0, &[])
    });
    assert_eq!(broken(&again), [0; 6]);
    again.submissions[2].courier = 1;
    assert_eq!(broken(&again), only(5));
}

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
    assert_eq!(broken(&recorded(second(200 * MS))), only(6));
    assert_eq!(broken(&recorded(second(402 * MS))), [0; 6]);
    assert_eq!(broken(&recorded(Arrival { destination: 2, ..second(200 * MS) })), [0; 6]);
}

#[test]
fn message_without_answer_is_lost_if_idempotent_and_unknown_otherwise() {
    let orphan = |message, class| Submission { orphaned: Some(S), ..submission(message, class, 0, &[]) };
    let records =
        Records { submissions: vec![orphan(1, 0), orphan(2, 1), orphan(3, 2)], ..Records::default() };
    let report = check(&records, &invariants());
    let of: Vec<(u64, u64)> = report.classes.iter().map(|c| (c.lost, c.unknown)).collect();
    assert_eq!(of, [(1, 0), (0, 1), (0, 1)]);
}
