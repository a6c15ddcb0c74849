use super::*;

#[test]
fn bench_faults_keep_times_and_parts_and_unknown_ones_are_named() {
    let text = r#"{"length": 50000000, "servers": [1, 2, 3, 4], "balancers": [1, 2], "more": 1, "troubles": [
        {"kind": "hang", "at": 5000000, "len": 8000000, "on": [0, 3]},
        {"kind": "comet", "at": 7000000, "len": 1},
        {"kind": "balancer_crash", "at": 9000000, "len": 3000000, "on": [1]}]}"#;
    let converted = convert(text).unwrap();
    let scenario = converted.scenario;
    assert_eq!((scenario.seconds, scenario.trouble.len()), (50.0, 2));
    let fault = &scenario.trouble[0];
    assert_eq!((fault.what, fault.at, fault.lasts, fault.part), (FaultKind::Silent, 5.0, 8.0, 0.5));
    let fault = &scenario.trouble[1];
    assert_eq!((fault.what, fault.size), (FaultKind::CouriersKilled, 3.0));
    assert_eq!(converted.unsupported.len(), 1);
    assert!(converted.unsupported[0].starts_with("comet at 7.0 s"), "{:?}", converted.unsupported);
}
