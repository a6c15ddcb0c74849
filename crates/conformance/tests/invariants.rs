//! Each check reports the violation that it is for, and nothing where there is none.

use linnetcart_conformance::{
    check, Answer, Arrival, Class, ClientAnswer, ConnectionPosition, EndpointNotification, EndpointVerdict,
    FailedConnect, Idempotency, Invariants, Outage, Partition, Records, Stall, Submission, Time,
};
use std::collections::BTreeMap;

const MS: Time = 1_000_000;
const S: Time = 1000 * MS;

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
    let r = Records {
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
    let report = check(&r, &invariants());
    assert!(report.kept(), "{report:?}");
    assert_eq!((report.classes[2].in_aim, report.classes[1].late), (1, 1));
    // Two thirds of the way from aim to deadline, of which half the worth is left.
    assert!((report.classes[1].worth - (1.0 - 0.5 * 2.0 / 3.0)).abs() < 1e-9);
}

#[test]
fn final_answer_missing_double_late_or_followed_by_a_send_breaks_rule_1() {
    let day = |answers: &[(Time, Answer)], arrivals: &[Arrival]| Records {
        submissions: vec![submission(1, 0, 0, answers)],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    };
    assert_eq!(broken(&day(&[], &[])), only(1));
    assert_eq!(broken(&day(&[(S, Answer::Failed), (2 * S, Answer::Failed)], &[])), only(1));
    assert_eq!(broken(&day(&[(4 * S + 16 * MS, Answer::Failed)], &[])), only(1));
    assert_eq!(broken(&day(&[(4 * S + 14 * MS, Answer::Failed)], &[])), [0; 6]);
    // An answer that made a long trip left in time; three such trips do not make a message young.
    let slow = |at| {
        let mut day = day(&[(at, Answer::Failed)], &[]);
        day.submissions[0].answer_travelled = 40 * MS;
        day
    };
    assert_eq!(broken(&slow(4 * S + 54 * MS)), [0; 6]);
    assert_eq!(broken(&slow(4 * S + 56 * MS)), only(1));
    // Held up by a cut until after its time, it is answered as it comes; before that, in its time.
    let cut = |until, at| {
        let cut = Partition { courier: 0, from: 0, until, clients: true, endpoints: false };
        Records { partitions: vec![cut], ..day(&[(at, Answer::Rejected)], &[]) }
    };
    assert_eq!(broken(&cut(6 * S, 6 * S + 14 * MS)), [0; 6]);
    assert_eq!(broken(&cut(6 * S, 6 * S + 16 * MS)), only(1));
    assert_eq!(broken(&cut(3 * S, 4 * S + 14 * MS)), [0; 6]);
    assert_eq!(broken(&cut(3 * S, 4 * S + 16 * MS)), only(1));
    // A second cut that began before the first was over holds it up until its own end.
    let two = |from| {
        let mut day = cut(3 * S, 7 * S + 14 * MS);
        day.partitions.push(Partition { courier: 0, from, until: 7 * S, clients: true, endpoints: false });
        day
    };
    assert_eq!(broken(&two(2 * S)), [0; 6]);
    assert_eq!(broken(&two(5 * S)), only(1));
    let late = arrival(1, S + 6 * MS, EndpointVerdict::Served);
    assert_eq!(broken(&day(&[(S, Answer::Failed)], &[late])), only(1));
    // What is due while the courier stands still is due when it runs again, and not later.
    let stall = |until| Records {
        stalls: vec![Stall { courier: 0, incarnation: 0, from: 3 * S, until }],
        ..day(&[(4 * S + 500 * MS, Answer::Failed)], &[])
    };
    assert_eq!(broken(&stall(4 * S + 490 * MS)), [0; 6]);
    assert_eq!(broken(&stall(4 * S + 400 * MS)), only(1));
}

#[test]
fn second_execution_wrong_zone_closed_window_or_false_rejection_breaks_rule_2() {
    let day = |class, answer, arrivals: &[Arrival]| Records {
        submissions: vec![submission(1, class, 0, &[(3 * S, answer)])],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    };
    let silent = arrival(1, 100 * MS, EndpointVerdict::Unanswered);
    let again = arrival(1, 500 * MS, EndpointVerdict::Served);
    let served = again.clone();
    let full = arrival(1, 100 * MS, EndpointVerdict::Rejected { retry_after: 0 });
    assert_eq!(broken(&day(2, Answer::Served, &[silent.clone(), again.clone()])), only(2));
    assert_eq!(broken(&day(2, Answer::Served, &[full, again.clone()])), [0; 6]);
    assert_eq!(broken(&day(2, Answer::Rejected, std::slice::from_ref(&silent))), only(2));
    assert_eq!(broken(&day(1, Answer::Served, &[silent.clone(), again.clone()])), [0; 6]);
    let elsewhere = Arrival { zone: 1, ..again };
    assert_eq!(broken(&day(1, Answer::Served, &[silent.clone(), elsewhere])), only(2));
    let late = Arrival { effect: false, ..arrival(1, 2200 * MS, EndpointVerdict::Served) };
    assert_eq!(broken(&day(1, Answer::Served, &[silent.clone(), late.clone()])), only(2));
    // The second courier kept the window as it knew it, the client that handed the message on did not.
    let mut on = day(1, Answer::Served, std::slice::from_ref(&served));
    on.submissions.push(Submission { courier: 1, ..submission(1, 1, 2 * S, &[(3500 * MS, Answer::Served)]) });
    let handed_on = |at| {
        let mut all = on.clone();
        all.arrivals.push(Arrival { courier: 1, at, ..served.clone() });
        let mut all_endpoints = invariants();
        all_endpoints.classes[1].idempotency = Idempotency::Keyed { dedup_window: 2 * S, per_zone: false };
        check(&all, &all_endpoints).rules[1].broken
    };
    assert_eq!((handed_on(2504 * MS), handed_on(2506 * MS)), (0, 1));
    // Handed back and handed in again, it is a new message to the courier.
    let mut twice = day(1, Answer::Rejected, &[silent, late]);
    twice.submissions[0].answers[0].at = S;
    twice.submissions.push(submission(1, 1, 2 * S, &[(3 * S, Answer::Served)]));
    // Its class forgets by zone: the refusal is the break, not the second try.
    assert_eq!(check(&twice, &invariants()).rules[1].broken, 1);
}

#[test]
fn call_to_draining_endpoint_after_the_grace_breaks_rule_3() {
    let day = |at| Records {
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
    assert_eq!(broken(&day(290 * MS)), [0; 6]);
    assert_eq!(broken(&day(310 * MS)), only(3));
}

#[test]
fn overload_after_outage_by_couriers_that_knew_breaks_rule_4() {
    let outage = Outage {
        destination: 1,
        route: None,
        from: 0,
        until: S,
        capacity: 10.0,
        slow_start_ratio: 0.1,
        slow_start_duration: 10 * S,
        refused_connections: false,
    };
    let day = |knows: bool| {
        let answers = [(3 * S, Answer::Served)];
        let ids = 1..=20u64;
        let mut arrivals: Vec<Arrival> =
            ids.clone().map(|n| arrival(n, S + 100 * MS + n * 10 * MS, EndpointVerdict::Served)).collect();
        if knows {
            arrivals.push(arrival(21, S / 2, EndpointVerdict::Error));
        }
        Records {
            submissions: (1..=21).map(|n| submission(n, 0, 0, &answers)).collect(),
            arrivals,
            outages: vec![outage.clone()],
            ..Records::default()
        }
    };
    assert_eq!(broken(&day(true)), only(4));
    assert_eq!(broken(&day(false)), [0; 6]);
    // Connections that failed there are knowledge; those to another route of the destination are none.
    let connect = |endpoint, at| Records {
        endpoints: BTreeMap::from([(10, 1), (11, 1)]),
        failed_connects: Some(vec![FailedConnect { courier: 0, incarnation: 0, endpoint, from: S / 2, at }]),
        outages: vec![Outage { route: Some(10), refused_connections: true, ..outage.clone() }],
        ..day(false)
    };
    assert_eq!(broken(&connect(10, S)), only(4));
    assert_eq!(broken(&connect(11, S)), [0; 6]);
    assert_eq!(broken(&connect(10, 2 * S)), [0; 6]);
    // Where the network does not tell, whoever held a message for it counts.
    assert_eq!(broken(&Records { failed_connects: None, ..connect(11, S) }), only(4));
}

#[test]
fn ordering_key_out_of_turn_or_without_cooldown_breaks_rule_5() {
    let day = |first: Arrival, second: Time| Records {
        submissions: vec![
            submission(1, 1, 0, &[(S, Answer::Served)]),
            submission(2, 1, 0, &[(S, Answer::Served)]),
        ],
        arrivals: vec![first, arrival(2, second, EndpointVerdict::Served)],
        ..Records::default()
    };
    assert_eq!(broken(&day(arrival(1, 100 * MS, EndpointVerdict::Served), 110 * MS)), [0; 6]);
    assert_eq!(broken(&day(arrival(1, 100 * MS, EndpointVerdict::Served), 90 * MS)), only(5));
    assert_eq!(broken(&day(arrival(1, 100 * MS, EndpointVerdict::Unanswered), 250 * MS)), only(5));
    assert_eq!(broken(&day(arrival(1, 100 * MS, EndpointVerdict::Unanswered), 310 * MS)), [0; 6]);
    // What the courier still holds from a connection that broke is not in turn with those of a later one.
    let mut again = day(arrival(1, 100 * MS, EndpointVerdict::Served), 90 * MS);
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
    let day = |second: Arrival| Records {
        submissions: vec![
            submission(1, 0, 0, &[(S, Answer::Served)]),
            submission(2, 0, 0, &[(S, Answer::Served)]),
        ],
        arrivals: vec![arrival(1, 100 * MS, EndpointVerdict::Rejected { retry_after: 300 * MS }), second],
        ..Records::default()
    };
    let second = |at| arrival(2, at, EndpointVerdict::Served);
    assert_eq!(broken(&day(second(200 * MS))), only(6));
    assert_eq!(broken(&day(second(402 * MS))), [0; 6]);
    assert_eq!(broken(&day(Arrival { destination: 2, ..second(200 * MS) })), [0; 6]);
}

#[test]
fn message_without_answer_is_lost_if_idempotent_and_unknown_otherwise() {
    let orphan = |message, class| Submission { orphaned: Some(S), ..submission(message, class, 0, &[]) };
    let r = Records { submissions: vec![orphan(1, 0), orphan(2, 1), orphan(3, 2)], ..Records::default() };
    let report = check(&r, &invariants());
    let of: Vec<(u64, u64)> = report.classes.iter().map(|c| (c.lost, c.unknown)).collect();
    assert_eq!(of, [(1, 0), (0, 1), (0, 1)]);
}
