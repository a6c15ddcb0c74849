use super::*;

const MS: Time = 1_000_000;
const S: Time = 1000 * MS;
const ME: Caller = Caller { courier: 0, incarnation: 0 };

fn kind(limit: LimitKind) -> Kind {
    Kind {
        name: "k".into(),
        limit,
        refused_count: false,
        tells_wait: 1.0,
        wait: (200 * MS, 400 * MS),
        spare: 2.0,
        depth: 500 * MS,
        cv: 0.3,
        connections: 2,
        independent_routes: false,
        max_messages_per_call: 4,
        item_cost: 0.1,
        report_every: 100 * MS,
    }
}

fn world(kind: Kind, rate: f64) -> EndpointSimulator {
    let classes = vec![
        ClassWork { service: 50 * MS, idempotency: Idempotency::Idempotent },
        ClassWork {
            service: 50 * MS,
            idempotency: Idempotency::Keyed { dedup_window: 2 * S, per_zone: true },
        },
    ];
    let returns = RecoveryModel {
        slow_start_ratio: 0.1,
        slow_start_duration: 10 * S,
        overload_ratio: 2.0,
        overload_window: S,
    };
    let member =
        SimulatedDestination { destination: 1, kind: 0, rate, endpoints: vec![(10, 0), (11, 1)], pace: 1.0 };
    EndpointSimulator::new(vec![kind], classes, returns, vec![member], 7)
}

fn one(w: &mut EndpointSimulator, now: Time, endpoint: u32, message: u64, class: u8) -> CallStep {
    let (id, step) = w.receive_call(now, (ME, 0), endpoint, &[CallItem { message, class }]);
    match step {
        CallStep::At(at) => w.finish_call(at, id),
        other => other,
    }
}

fn refused(step: &CallStep) -> Option<Time> {
    match step {
        CallStep::Answer(r) if r.codes == [ItemStatus::Rejected] => Some(r.retry_after),
        _ => None,
    }
}

#[test]
fn a_window_takes_its_count_and_tells_its_end() {
    let mut w = world(kind(LimitKind::Window { ms: 1000 }), 5.0);
    let steps: Vec<CallStep> = (0..7).map(|n| one(&mut w, 10 * S + 300 * MS, 10, n, 0)).collect();
    assert_eq!(steps.iter().filter(|s| refused(s).is_some()).count(), 2);
    assert_eq!(refused(&steps[6]), Some(700 * MS));
    assert_eq!(refused(&one(&mut w, 11 * S, 10, 9, 0)), None, "the next span has room");
    assert_eq!(w.arrivals()[6].verdict, EndpointVerdict::Rejected { retry_after: 700 * MS });
}

#[test]
fn refused_calls_use_the_limit_up_where_they_count() {
    let mut k = kind(LimitKind::Rate);
    k.refused_count = true;
    let (mut counting, mut plain) = (world(k, 4.0), world(kind(LimitKind::Rate), 4.0));
    let served = |w: &mut EndpointSimulator| {
        let steps = (0..200u64).map(|n| one(w, S + n * 50 * MS, 10, n, 0));
        steps.filter(|s| refused(s).is_none()).count()
    };
    let (counting, plain) = (served(&mut counting), served(&mut plain));
    assert!((38..=42).contains(&plain), "4 a second for 10 s: {plain}");
    assert!(counting < plain / 2, "{counting} of {plain}");
}

#[test]
fn a_queue_has_an_end_and_load_is_told() {
    let mut w = world(kind(LimitKind::None), 10.0);
    let steps: Vec<CallStep> = (0..30).map(|n| one(&mut w, S, 10, n, 0)).collect();
    // Capacity 20 a second, half a second deep: the eleventh still fits, the twelfth not.
    assert_eq!(steps.iter().filter(|s| refused(s).is_none()).count(), 11);
    let mut w = world(kind(LimitKind::Rate), 10.0);
    let CallStep::Answer(reply) = one(&mut w, S, 10, 1, 0) else { panic!("not answered") };
    let (left, limit) = reply.load.unwrap();
    assert!(left < 1.0 && limit == 10.0, "{left} {limit}");
}

#[test]
fn a_repeat_is_dropped_in_its_zone_and_window_only() {
    let mut w = world(kind(LimitKind::None), 100.0);
    for (at, endpoint) in [(S, 10), (2 * S, 10), (2 * S, 11), (4 * S, 10)] {
        one(&mut w, at, endpoint, 1, 1);
    }
    let effects: Vec<bool> = w.arrivals().iter().map(|a| a.effect).collect();
    assert_eq!(effects, [true, false, true, true]);
}

#[test]
fn a_cold_limit_falls_over_when_pushed_and_not_when_spared() {
    let run = |every: Time| {
        let mut w = world(kind(LimitKind::None), 20.0);
        w.outage(1, 0, S, false);
        let mut at = S;
        while at < 11 * S {
            one(&mut w, at, 10, at, 0);
            at += every;
        }
        w.overloads().len()
    };
    // It bears twice a tenth of 40 a second at first.
    assert_eq!(run(200 * MS), 0);
    assert_eq!(run(30 * MS), 1);
}

#[test]
fn silence_errors_and_lost_answers_differ_in_what_is_seen_and_what_ran() {
    let mut w = world(kind(LimitKind::None), 100.0);
    w.fault_mut(10).unwrap().silent = true;
    assert_eq!(one(&mut w, S, 10, 1, 0), CallStep::Silent);
    assert!(!w.arrivals()[0].effect);
    *w.fault_mut(10).unwrap() = EndpointFault { answers_lost: 1.0, ..EndpointFault::default() };
    assert_eq!(one(&mut w, S, 10, 2, 0), CallStep::Silent);
    assert!(w.arrivals()[1].effect, "carried out, not answered");
    *w.fault_mut(10).unwrap() =
        EndpointFault { class_fails: Some((1, 1.0, false)), ..EndpointFault::default() };
    assert!(matches!(one(&mut w, S, 10, 3, 1), CallStep::Answer(r) if r.codes == [ItemStatus::Error]));
    assert!(matches!(one(&mut w, S, 10, 4, 0), CallStep::Answer(r) if r.codes == [ItemStatus::Served]));
    w.fault_mut(10).unwrap().down = true;
    assert_eq!(one(&mut w, S, 10, 5, 0), CallStep::Break);
    assert!(!w.listens(10));
}

#[test]
fn connections_are_capped_and_the_same_seed_repeats_a_day() {
    let mut w = world(kind(LimitKind::None), 100.0);
    assert_eq!(w.connect(10), ConnectOutcome::Accepted { after: 0 });
    assert_eq!(w.connect(10), ConnectOutcome::Accepted { after: 0 });
    assert_eq!(w.connect(10), ConnectOutcome::Refused);
    w.disconnect(10);
    assert_eq!(w.connect(10), ConnectOutcome::Accepted { after: 0 });
    let day = || {
        let mut w = world(kind(LimitKind::Rate), 10.0);
        (0..200u64)
            .map(|n| w.receive_call(S + n * 20 * MS, (ME, 0), 10, &[CallItem { message: n, class: 0 }]).1)
            .collect::<Vec<_>>()
    };
    assert_eq!(day(), day());
}
