//! Parameters and records that the tests of several rules share.

use linnetcart_conformance::{
    check, Answer, Arrival, Class, ClientAnswer, ConnectionPosition, EndpointVerdict, Idempotency,
    Invariants, Records, Submission, Time,
};

pub(crate) const MS: Time = 1_000_000;
pub(crate) const S: Time = 1000 * MS;
/// The class number of the keyed class.
pub(crate) const KEYED: usize = 1;

/// Parameters with one class of each idempotency.
pub(crate) fn invariants() -> Invariants {
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
        answer_grace: 10 * MS,
        drain_grace: 100 * MS,
        key_cooldown: 200 * MS,
        overload_ratio: 2.0,
        overload_window: S,
        timing_tolerance: 5 * MS,
        extra_link_delay: 0,
    }
}

/// A submission to courier 0 with a deadline of four seconds.
pub(crate) fn submission(message: u64, class: u8, at: Time, answers: &[(Time, Answer)]) -> Submission {
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

/// An arrival from courier 0; an endpoint that answers does so after a millisecond.
pub(crate) fn arrival(message: u64, at: Time, verdict: EndpointVerdict) -> Arrival {
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

/// Returns the number of violations of each rule.
pub(crate) fn violations(records: &Records) -> Vec<u64> {
    check(records, &invariants()).rules.iter().map(|result| result.violations).collect()
}

/// The expected counts for one violation of this rule and none of the others.
pub(crate) fn only_rule(rule: usize) -> Vec<u64> {
    (1..=6).map(|number| u64::from(number == rule)).collect()
}

/// One idempotent message with these answers and arrivals.
pub(crate) fn idempotent_message(answers: &[(Time, Answer)], arrivals: &[Arrival]) -> Records {
    Records {
        submissions: vec![submission(1, 0, 0, answers)],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    }
}

/// One message of a class, answered after three seconds.
pub(crate) fn message_of_class(class: u8, answer: Answer, arrivals: &[Arrival]) -> Records {
    Records {
        submissions: vec![submission(1, class, 0, &[(3 * S, answer)])],
        arrivals: arrivals.to_vec(),
        ..Records::default()
    }
}

pub(crate) fn unanswered_attempt() -> Arrival {
    arrival(1, 100 * MS, EndpointVerdict::Unanswered)
}

pub(crate) fn served_attempt() -> Arrival {
    arrival(1, 500 * MS, EndpointVerdict::Served)
}
