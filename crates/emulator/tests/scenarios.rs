//! Scenarios in virtual time are deterministic, satisfy the invariants, and cause the faults in their names.

use linnetcart_conformance::{check, Answer, Arrival, EndpointVerdict, Report, Submission};
use linnetcart_edge::delivery_events::{DeliveryEvent, FinalAnswer};
use linnetcart_emulator::model::Model;
use linnetcart_emulator::trace::{DeliveryTrace, TracedEvent};
use linnetcart_emulator::{run, EmulatedRun, Options};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::{BuiltInScenario, Scenario, BUILT_IN};
use std::collections::BTreeSet;

/// Numbers of message classes in the built-in scenarios.
const IDEMPOTENT: u8 = 0;
const NOT_IDEMPOTENT: u8 = 2;

fn fleet(name: &str, couriers: u32, seed: u64) -> Fleet {
    let scenario = Scenario::find(name).unwrap().with(Some(couriers), 1.0).unwrap();
    Fleet::draw(scenario, seed)
}

/// A run and the report of its conformance checks.
struct CheckedRun {
    report: Report,
    run: EmulatedRun,
}

fn checked_run(fleet: &Fleet) -> CheckedRun {
    let run = run(fleet, Options::default()).unwrap();
    let report = check(&run.records.records, &fleet.invariants(Timebase::Emulated));
    CheckedRun { report, run }
}

fn assert_no_violations(report: &Report, scenario: &str) {
    for invariant in &report.rules {
        assert_eq!(invariant.violations, 0, "{scenario}: {}: {:#?}", invariant.rule, invariant.examples);
    }
}

#[test]
fn runs_of_the_same_seed_on_different_threads_have_the_same_digest() {
    let digest = |seed: u64| run(&fleet("links-cut", 8, seed), Options::default()).unwrap().digest;
    let sequential: Vec<String> = (1..=3).map(digest).collect();
    let concurrent: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (1..=3).map(|seed| scope.spawn(move || digest(seed))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    assert_eq!(sequential, concurrent);
    assert_ne!(sequential[0], sequential[1], "another seed is another run");
}

#[test]
fn every_scenario_with_faults_satisfies_the_invariants() {
    let mut checked = [0; 6];
    let skipped = ["bad-day", "month-end"];
    for BuiltInScenario { name, .. } in BUILT_IN.iter().filter(|built_in| !skipped.contains(&built_in.name)) {
        let report = checked_run(&fleet(name, 3, 2)).report;
        assert_no_violations(&report, name);
        for (invariant, sum) in report.rules.iter().zip(&mut checked) {
            *sum += invariant.checked;
        }
        assert!(report.service > 0.5, "{name}: {}", report.service);
    }
    assert!(checked.iter().all(|&cases| cases > 20), "an invariant was not tested: {checked:?}");
}

#[test]
fn clock_differences_change_no_event_and_drift_hardly_changes_the_service() {
    let fleet = fleet("slow", 4, 3);
    let run_with = |max_clock_difference: u64, max_clock_drift_ppm: i64| {
        let model = Model { max_clock_difference, max_clock_drift_ppm, ..Model::default() };
        run(&fleet, Options { model, ..Options::default() }).unwrap()
    };
    let equal_clocks = run_with(0, 0);
    assert_eq!(equal_clocks.digest, run_with(9_000_000_000, 0).digest, "clocks that differ by seconds");
    let service =
        |run: &EmulatedRun| check(&run.records.records, &fleet.invariants(Timebase::Emulated)).service;
    let drifting = run_with(9_000_000_000, 500);
    assert_ne!(equal_clocks.digest, drifting.digest);
    assert!((service(&equal_clocks) - service(&drifting)).abs() < 0.02);
}

fn summary(traced: &TracedEvent) -> String {
    match &traced.event {
        DeliveryEvent::Accepted { .. } => "accepted".into(),
        DeliveryEvent::AttemptStarted { attempt, hedge, .. } => format!("started {attempt} {hedge}"),
        DeliveryEvent::AttemptFinished { attempt, outcome, .. } => format!("finished {attempt} {outcome:?}"),
        DeliveryEvent::Completed { answer, .. } => format!("answered {}", *answer == FinalAnswer::Served),
        other => format!("{other:?}"),
    }
}

#[test]
fn trace_of_one_message_has_every_event_in_order() {
    let mut fleet = fleet("quiet", 1, 1);
    fleet.messages.truncate(1);
    let options = Options { trace: Some(DeliveryTrace::of_message(0)), ..Options::default() };
    let run = run(&fleet, options).unwrap();
    let events: Vec<String> = run.trace.unwrap().events.iter().map(summary).collect();
    assert_eq!(events, ["accepted", "started 0 false", "finished 0 Served", "answered true"]);
    let records = &run.records.records;
    assert_eq!((records.submissions.len(), records.arrivals.len()), (1, 1));
    let submission = &records.submissions[0];
    let arrival = &records.arrivals[0];
    assert_eq!((submission.answers[0].answer, arrival.verdict), (Answer::Served, EndpointVerdict::Served));
    assert!(arrival.effect);
    // The submission, the connection to the endpoint with its handshake, the call, and two answers: each of
    // these trips takes the delay of the network.
    let answered_at = arrival.answered.unwrap();
    let inbound = arrival.at - submission.at;
    let service = answered_at - arrival.at;
    let outbound = submission.answers[0].at - answered_at;
    assert!((5 * 30_000..4_000_000).contains(&inbound), "{inbound}");
    assert!(service > 1_000_000 && (60_000..2_000_000).contains(&outbound), "{service} {outbound}");
}

#[test]
fn courier_restarted_with_outdated_list_respects_the_drain_grace() {
    let mut scenario = Scenario::find("drains").unwrap().with(Some(4), 1.0).unwrap();
    let kills = Scenario::find("couriers-killed").unwrap().faults.remove(0);
    let list_outage = Scenario::find("list-out").unwrap().faults.remove(0);
    scenario.faults.extend([kills, list_outage]);
    for seed in 1..=3 {
        let report = checked_run(&Fleet::draw(scenario.clone(), seed)).report;
        assert_no_violations(&report, "outdated list");
        assert!(report.rules[2].checked > 0);
    }
}

#[test]
fn client_that_loses_its_courier_resubmits_only_idempotent_messages() {
    let CheckedRun { report, run } = checked_run(&fleet("partition-clients", 3, 1));
    assert_no_violations(&report, "partition-clients");
    let records = &run.records.records;
    let submissions = records.submissions.as_slice();
    let submissions_of =
        |message: u64| submissions.iter().filter(move |submission| submission.message == message);
    let is_resubmitted = |message: u64| submissions_of(message).count() > 1;
    let orphans: Vec<&Submission> =
        submissions.iter().filter(|submission| submission.orphaned.is_some()).collect();
    let idempotent: Vec<&Submission> =
        orphans.iter().copied().filter(|orphan| orphan.class == IDEMPOTENT).collect();
    assert!(idempotent.iter().any(|orphan| is_resubmitted(orphan.message)), "no client lost a courier");
    let couriers_of = |message: u64| -> BTreeSet<u32> {
        let arrivals = records.arrivals.iter().filter(|arrival| arrival.message == message);
        arrivals.map(|arrival| arrival.courier).collect()
    };
    let by_two_couriers = idempotent.iter().any(|orphan| couriers_of(orphan.message).len() > 1);
    assert!(by_two_couriers, "no message was sent by two couriers");
    // A message that is not idempotent is resubmitted only if it never left its client, because its
    // connection was not established.
    let is_attempt_of = |arrival: &Arrival, orphan: &Submission| {
        let same_sender = arrival.courier == orphan.courier && arrival.incarnation == orphan.incarnation;
        same_sender && arrival.message == orphan.message
    };
    let reached_endpoint =
        |orphan: &Submission| records.arrivals.iter().any(|arrival| is_attempt_of(arrival, orphan));
    let resubmitted_after =
        |orphan: &Submission| submissions_of(orphan.message).any(|later| later.at > orphan.at);
    let mut not_idempotent = orphans.iter().filter(|orphan| orphan.class == NOT_IDEMPOTENT);
    let executed_twice = not_idempotent.any(|orphan| resubmitted_after(orphan) && reached_endpoint(orphan));
    assert!(!executed_twice, "a message that is not idempotent was resubmitted");
}

#[test]
fn courier_with_damaged_snapshot_starts_empty_and_is_configured_again() {
    let CheckedRun { report, run } = checked_run(&fleet("disk-damaged", 3, 1));
    assert_no_violations(&report, "disk-damaged");
    let records = &run.records.records;
    let configured_again = records.notifications.iter().any(|notification| notification.incarnation > 0);
    assert!(configured_again, "the restarted courier was not notified of the endpoint list");
    let used_again = records.submissions.iter().any(|submission| submission.incarnation == 1);
    assert!(used_again && report.service > 0.9);
}

#[test]
fn three_hundred_couriers_at_month_end_stay_within_bounds() {
    let mut scenario = Scenario::find("month-end").unwrap();
    // The first seconds are enough for every courier to receive messages, and short enough for every test
    // run.
    scenario.seconds = 1.5;
    scenario.faults.clear();
    let fleet = Fleet::draw(scenario, 1);
    let endpoints: usize = fleet.destinations.iter().map(|destination| destination.endpoints.len()).sum();
    assert!(fleet.scenario.couriers == 300 && endpoints > 250);
    let CheckedRun { report, run } = checked_run(&fleet);
    assert_no_violations(&report, "month-end");
    let submissions = run.records.records.submissions.iter();
    let couriers: BTreeSet<u32> = submissions.map(|submission| submission.courier).collect();
    assert!(couriers.len() > 290, "{} couriers received a message", couriers.len());
    // The number of events grows with the messages, not with the couriers: idle couriers add no events.
    let events_per_message = run.events as f64 / fleet.messages.len() as f64;
    assert!(events_per_message < 60.0, "{events_per_message} events per message");
}
