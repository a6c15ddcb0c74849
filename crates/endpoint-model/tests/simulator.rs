//! Decisions of the endpoint simulator about calls and connections, and its records of them.

use linnetcart_conformance::{EndpointVerdict, Idempotency, Time};
use linnetcart_endpoint_model::{
    CallItem, CallStep, Caller, ClassFault, ClassWork, ConnectOutcome, DestinationKind, EndpointFault,
    EndpointSimulator, IncomingCall, ItemStatus, LimitKind, OutageSpan, RecoveryModel, RetryAfterRange,
    SimulatedDestination, SimulatedEndpoint,
};

const MS: Time = 1_000_000;
const S: Time = 1000 * MS;
const CALLER: Caller = Caller { courier: 0, incarnation: 0 };

fn kind(limit: LimitKind) -> DestinationKind {
    DestinationKind {
        name: "k".into(),
        limit,
        rejected_calls_count: false,
        retry_after_probability: 1.0,
        retry_after: RetryAfterRange { shortest: 200 * MS, longest: 400 * MS },
        capacity_ratio: 2.0,
        longest_queue: 500 * MS,
        service_time_variation: 0.3,
        max_connections: 2,
        independent_routes: false,
        max_messages_per_call: 4,
        additional_message_work: 0.1,
        load_report_interval: 100 * MS,
    }
}

fn simulator(kind: DestinationKind, rate: f64) -> EndpointSimulator {
    let classes = vec![
        ClassWork { service_time: 50 * MS, idempotency: Idempotency::Idempotent },
        ClassWork {
            service_time: 50 * MS,
            idempotency: Idempotency::Keyed { dedup_window: 2 * S, per_zone: true },
        },
    ];
    let recovery = RecoveryModel {
        slow_start_ratio: 0.1,
        slow_start_duration: 10 * S,
        overload_ratio: 2.0,
        overload_window: S,
    };
    let endpoints =
        vec![SimulatedEndpoint { endpoint: 10, zone: 0 }, SimulatedEndpoint { endpoint: 11, zone: 1 }];
    let destination =
        SimulatedDestination { destination: 1, kind: 0, rate, endpoints, service_time_factor: 1.0 };
    EndpointSimulator::new(vec![kind], classes, recovery, vec![destination], 7)
}

/// Makes a call with one message, and finishes it at once if it is admitted.
fn call(simulator: &mut EndpointSimulator, now: Time, endpoint: u32, message: u64, class: u8) -> CallStep {
    let items = [CallItem { message, class }];
    let incoming = IncomingCall { caller: CALLER, travelled: 0, endpoint, items: &items };
    let received = simulator.receive_call(now, incoming);
    match received.step {
        CallStep::FinishAt(at) => simulator.finish_call(at, received.call),
        other => other,
    }
}

/// Returns the Retry-After of a rejected call, or `None` if the call was not rejected.
fn retry_after(step: &CallStep) -> Option<Time> {
    match step {
        CallStep::Answer(reply) if reply.statuses == [ItemStatus::Rejected] => Some(reply.retry_after),
        _ => None,
    }
}

#[test]
fn window_limit_admits_its_count_and_gives_its_end_as_retry_after() {
    let mut simulated = simulator(kind(LimitKind::Window { ms: 1000 }), 5.0);
    let steps: Vec<CallStep> =
        (0..7).map(|message| call(&mut simulated, 10 * S + 300 * MS, 10, message, 0)).collect();
    assert_eq!(steps.iter().filter(|step| retry_after(step).is_some()).count(), 2);
    assert_eq!(retry_after(&steps[6]), Some(700 * MS));
    assert_eq!(retry_after(&call(&mut simulated, 11 * S, 10, 9, 0)), None, "the next window has capacity");
    assert_eq!(simulated.arrivals()[6].verdict, EndpointVerdict::Rejected { retry_after: 700 * MS });
}

#[test]
fn rejected_calls_use_up_the_limit_where_they_count() {
    let mut counting_kind = kind(LimitKind::Rate);
    counting_kind.rejected_calls_count = true;
    let (mut counting, mut plain) = (simulator(counting_kind, 4.0), simulator(kind(LimitKind::Rate), 4.0));
    let served = |simulated: &mut EndpointSimulator| {
        let steps = (0..200u64).map(|message| call(simulated, S + message * 50 * MS, 10, message, 0));
        steps.filter(|step| retry_after(step).is_none()).count()
    };
    let (counting, plain) = (served(&mut counting), served(&mut plain));
    assert!((38..=42).contains(&plain), "4 per second for 10 s: {plain}");
    assert!(counting < plain / 2, "{counting} of {plain}");
}

#[test]
fn full_queue_rejects_further_calls() {
    let mut simulated = simulator(kind(LimitKind::None), 10.0);
    let steps: Vec<CallStep> = (0..30).map(|message| call(&mut simulated, S, 10, message, 0)).collect();
    // The capacity is 20 per second and the queue holds half a second: the eleventh call fits, the twelfth
    // does not.
    assert_eq!(steps.iter().filter(|step| retry_after(step).is_none()).count(), 11);
}

#[test]
fn answer_reports_the_load_of_its_limit() {
    let mut simulated = simulator(kind(LimitKind::Rate), 10.0);
    let CallStep::Answer(reply) = call(&mut simulated, S, 10, 1, 0) else { panic!("not answered") };
    let load = reply.load.unwrap();
    assert!(load.capacity_left < 1.0 && load.rate_limit == 10.0, "{load:?}");
}

#[test]
fn repeated_message_is_dropped_in_its_zone_and_window_only() {
    let mut simulated = simulator(kind(LimitKind::None), 100.0);
    for (at, endpoint) in [(S, 10), (2 * S, 10), (2 * S, 11), (4 * S, 10)] {
        call(&mut simulated, at, endpoint, 1, 1);
    }
    let effects: Vec<bool> = simulated.arrivals().iter().map(|arrival| arrival.effect).collect();
    assert_eq!(effects, [true, false, true, true]);
}

#[test]
fn limit_in_slow_start_is_overloaded_by_many_calls_and_not_by_few() {
    let run = |every: Time| {
        let mut simulated = simulator(kind(LimitKind::None), 20.0);
        simulated.outage(1, OutageSpan { from: 0, until: S, refused_connections: false });
        let mut at = S;
        while at < 11 * S {
            call(&mut simulated, at, 10, at, 0);
            at += every;
        }
        simulated.overloads().len()
    };
    // Right after the outage the mean that is tolerated is overload_ratio * slow_start_ratio * capacity, that
    // is 2 * 0.1 * 40 = 8 calls per second. With the allowance for random clusters, a window of 1 s may have
    // 8 + 2 * sqrt(8) + 1 = 14.7 calls: 5 per second are tolerated, 33 are not.
    assert_eq!(run(200 * MS), 0);
    assert_eq!(run(30 * MS), 1);
}

/// Returns a simulator whose endpoint 10 has this fault.
fn simulator_with_fault(fault: EndpointFault) -> EndpointSimulator {
    let mut simulated = simulator(kind(LimitKind::None), 100.0);
    *simulated.fault_mut(10).unwrap() = fault;
    simulated
}

#[test]
fn silent_endpoint_neither_answers_nor_executes() {
    let mut simulated = simulator_with_fault(EndpointFault { silent: true, ..EndpointFault::default() });
    assert_eq!(call(&mut simulated, S, 10, 1, 0), CallStep::Silent);
    assert!(!simulated.arrivals()[0].effect);
}

#[test]
fn call_with_lost_answer_is_executed_and_not_answered() {
    let fault = EndpointFault { lost_answer_probability: 1.0, ..EndpointFault::default() };
    let mut simulated = simulator_with_fault(fault);
    assert_eq!(call(&mut simulated, S, 10, 2, 0), CallStep::Silent);
    assert!(simulated.arrivals()[0].effect, "executed, not answered");
}

#[test]
fn class_fault_fails_messages_of_its_class_only() {
    let class_fault = ClassFault { class: 1, probability: 1.0, unanswered: false };
    let fault = EndpointFault { class_fault: Some(class_fault), ..EndpointFault::default() };
    let mut simulated = simulator_with_fault(fault);
    let statuses = |step| match step {
        CallStep::Answer(reply) => reply.statuses,
        other => panic!("not answered: {other:?}"),
    };
    assert_eq!(statuses(call(&mut simulated, S, 10, 3, 1)), [ItemStatus::Error]);
    assert_eq!(statuses(call(&mut simulated, S, 10, 4, 0)), [ItemStatus::Served]);
}

#[test]
fn endpoint_that_is_down_breaks_connections_and_does_not_listen() {
    let mut simulated = simulator_with_fault(EndpointFault { down: true, ..EndpointFault::default() });
    assert_eq!(call(&mut simulated, S, 10, 5, 0), CallStep::Break);
    assert!(!simulated.listens(10));
}

#[test]
fn connections_above_the_cap_are_refused() {
    let mut simulated = simulator(kind(LimitKind::None), 100.0);
    assert_eq!(simulated.connect(10), ConnectOutcome::Accepted { after: 0 });
    assert_eq!(simulated.connect(10), ConnectOutcome::Accepted { after: 0 });
    assert_eq!(simulated.connect(10), ConnectOutcome::Refused);
    simulated.disconnect(10);
    assert_eq!(simulated.connect(10), ConnectOutcome::Accepted { after: 0 });
}

#[test]
fn run_with_the_same_seed_has_the_same_steps() {
    let run = || {
        let mut simulated = simulator(kind(LimitKind::Rate), 10.0);
        let receive = |message: u64| {
            let items = [CallItem { message, class: 0 }];
            let incoming = IncomingCall { caller: CALLER, travelled: 0, endpoint: 10, items: &items };
            simulated.receive_call(S + message * 20 * MS, incoming).step
        };
        (0..200).map(receive).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
