use super::*;

#[test]
fn bench_faults_keep_times_and_parts_and_unknown_ones_are_named() {
    let text = r#"{"length": 50000000, "servers": [1, 2, 3, 4], "balancers": [1, 2], "more": 1, "troubles": [
        {"kind": "hang", "at": 5000000, "len": 8000000, "on": [0, 3]},
        {"kind": "comet", "at": 7000000, "len": 1},
        {"kind": "balancer_crash", "at": 9000000, "len": 3000000, "on": [1]}]}"#;
    let converted = convert(text).unwrap();
    let scenario = converted.scenario;
    assert_eq!((scenario.seconds, scenario.faults.len()), (50.0, 2));
    let fault = &scenario.faults[0];
    assert_eq!((fault.what, fault.at, fault.lasts, fault.part), (FaultKind::Silent, 5.0, 8.0, 0.5));
    let fault = &scenario.faults[1];
    assert_eq!((fault.what, fault.size), (FaultKind::CouriersKilled, 3.0));
    assert_eq!(converted.unsupported.len(), 1);
    assert!(converted.unsupported[0].starts_with("comet at 7.0 s"), "{:?}", converted.unsupported);
}

/// The figures that a bench fault is expected to be converted to.
struct Expected {
    bench_kind: &'static str,
    kind: FaultKind,
    part: f64,
    size: f64,
    extra: f64,
}

const fn expected(bench_kind: &'static str, kind: FaultKind, figures: [f64; 3]) -> Expected {
    let [part, size, extra] = figures;
    Expected { bench_kind, kind, part, size, extra }
}

/// Expected part, size and extra figure for each kind of bench fault that affects one of 4 servers or 2
/// balancers, with size 2000, extra 0.4 and class 5, for 3 seconds.
const EXPECTED: [Expected; 21] = [
    expected("fast_errors", FaultKind::Errors, [0.25, 2000.0, 0.0]),
    expected("crash", FaultKind::Down, [0.25, 0.0, 0.0]),
    expected("vanish", FaultKind::Vanish, [0.25, 0.0, 0.0]),
    expected("hang", FaultKind::Silent, [0.25, 0.0, 0.0]),
    expected("slow", FaultKind::Slow, [0.25, 2000.0, 0.0]),
    expected("shared_slow", FaultKind::SharedSlow, [1.0, 2000.0, 0.0]),
    expected("pauses", FaultKind::Pauses, [0.25, 2.0, 1.0]),
    expected("answer_lost", FaultKind::AnswersLost, [0.25, 2000.0, 0.0]),
    expected("throttle", FaultKind::Throttle, [0.25, 2000.0, 0.0]),
    expected("class_fail", FaultKind::ClassFails, [0.25, 2000.0, 2.0]),
    expected("idle_reap", FaultKind::IdleDropped, [0.25, 2000.0, 0.0]),
    expected("handshake_slow", FaultKind::SlowConnect, [0.25, 2.0, 0.0]),
    expected("deploy", FaultKind::Drains, [0.3, 0.5, 1.0]),
    expected("preempt", FaultKind::Drains, [0.25, 0.25, 4.0]),
    expected("burst", FaultKind::SuddenLoad, [1.0, 2000.0, 0.0]),
    expected("hot_key", FaultKind::HotDestinations, [1.0, 2000.0, 1.0]),
    expected("hot_caller", FaultKind::UnevenCouriers, [0.5, 1.0, 0.0]),
    expected("discovery_stale", FaultKind::ListLate, [1.0, 0.002, 0.0]),
    expected("balancer_crash", FaultKind::CouriersKilled, [0.5, 3.0, 0.0]),
    expected("balancer_roll", FaultKind::CouriersRolled, [0.5, 0.5, 0.0]),
    expected("balancer_stall", FaultKind::CouriersStall, [0.5, 2000.0, 1.0]),
];

#[test]
fn bench_fault_of_each_kind_converts_to_its_figures() {
    let bench: BenchScenario = serde_json::from_str(
        r#"{"length": 50000000, "servers": [1, 2, 3, 4], "balancers": [1, 2], "troubles": []}"#,
    )
    .unwrap();
    for Expected { bench_kind, kind, part, size, extra } in EXPECTED {
        let fault = BenchFault {
            kind: bench_kind.into(),
            at: 1_000_000,
            len: 3_000_000,
            size: 2000.0,
            extra: 0.4,
            on: vec![0],
            which: 5,
            how: None,
        };
        let converted = fault.convert(&bench).expect(bench_kind);
        assert_eq!((converted.what, converted.at, converted.lasts), (kind, 1.0, 3.0), "{bench_kind}");
        assert_eq!((converted.part, converted.size, converted.extra), (part, size, extra), "{bench_kind}");
        assert!(!converted.hard, "{bench_kind}");
    }
}
