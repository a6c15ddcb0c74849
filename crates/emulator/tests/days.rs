//! Days in virtual time: they repeat bit for bit, keep the rules, and end what they were made to end.

use linnetcart_conformance::{check, Answer, EndpointVerdict, Report};
use linnetcart_edge::delivery_events::{DeliveryEvent, FinalAnswer};
use linnetcart_emulator::network::Model;
use linnetcart_emulator::trace::Story;
use linnetcart_emulator::{play, Options, Run};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::{BuiltInScenario, Scenario, BUILT_IN};

fn fleet(name: &str, couriers: u32, seed: u64) -> Fleet {
    let day = Scenario::find(name).unwrap().with(Some(couriers), 1.0).unwrap();
    Fleet::draw(day, seed)
}

fn run(fleet: &Fleet) -> (Report, Run) {
    let run = play(fleet, Options::default()).unwrap();
    (check(&run.played.records, &fleet.invariants(Timebase::Emulated)), run)
}

fn kept(report: &Report, what: &str) {
    for f in &report.rules {
        assert_eq!(f.broken, 0, "{what}: {}: {:#?}", f.rule, f.examples);
    }
}

#[test]
fn a_run_repeats_bit_for_bit_on_any_number_of_threads() {
    let digest = |seed: u64| play(&fleet("links-cut", 8, seed), Options::default()).unwrap().digest;
    let alone: Vec<String> = (1..=3).map(digest).collect();
    let beside: Vec<String> = std::thread::scope(|s| {
        let all: Vec<_> = (1..=3).map(|seed| s.spawn(move || digest(seed))).collect();
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert_eq!(alone, beside);
    assert_ne!(alone[0], alone[1], "another seed is another run");
}

#[test]
fn every_day_of_trouble_keeps_the_rules() {
    let mut checked = [0; 6];
    for BuiltInScenario { name, .. } in
        BUILT_IN.iter().filter(|d| !["bad-day", "month-end"].contains(&d.name))
    {
        let (report, _) = run(&fleet(name, 3, 2));
        kept(&report, name);
        report.rules.iter().zip(&mut checked).for_each(|(f, sum)| *sum += f.checked);
        assert!(report.service > 0.5, "{name}: {}", report.service);
    }
    assert!(checked.iter().all(|&n| n > 20), "a rule was not at stake: {checked:?}");
}

#[test]
fn what_clocks_show_changes_nothing_and_their_drift_next_to_nothing() {
    let fleet = fleet("slow", 4, 3);
    let with = |apart: u64, drift: i64| {
        let model = Model { apart, drift, ..Model::default() };
        play(&fleet, Options { model, ..Options::default() }).unwrap()
    };
    let together = with(0, 0);
    assert_eq!(together.digest, with(9_000_000_000, 0).digest, "clocks that differ by seconds");
    let worth = |r: &Run| check(&r.played.records, &fleet.invariants(Timebase::Emulated)).service;
    let drifting = with(9_000_000_000, 500);
    assert_ne!(together.digest, drifting.digest);
    assert!((worth(&together) - worth(&drifting)).abs() < 0.02);
}

#[test]
fn one_message_event_by_event() {
    let mut fleet = fleet("quiet", 1, 1);
    fleet.messages.truncate(1);
    let options = Options { story: Some(Story::of(0)), ..Options::default() };
    let run = play(&fleet, options).unwrap();
    let told: Vec<String> = run
        .story
        .unwrap()
        .told
        .iter()
        .map(|t| match &t.fact {
            DeliveryEvent::Accepted { .. } => "taken".into(),
            DeliveryEvent::AttemptStarted { attempt, hedge: copy, .. } => format!("sent {attempt} {copy}"),
            DeliveryEvent::AttemptFinished { attempt, outcome: ending, .. } => {
                format!("ended {attempt} {ending:?}")
            }
            DeliveryEvent::Completed { answer, .. } => format!("answered {}", *answer == FinalAnswer::Served),
            other => format!("{other:?}"),
        })
        .collect();
    assert_eq!(told, ["taken", "sent 0 false", "ended 0 Served", "answered true"]);
    let r = &run.played.records;
    let (h, a) = (&r.submissions[0], &r.arrivals[0]);
    assert_eq!((r.submissions.len(), r.arrivals.len()), (1, 1));
    assert_eq!((h.answers[0].answer, a.verdict, a.effect), (Answer::Served, EndpointVerdict::Served, true));
    // In, a connection with its greeting, the call, the service, two answers: each way takes the link's delay.
    let (taken, served) = (a.at - h.at, a.answered.unwrap() - a.at);
    let back = h.answers[0].at - a.answered.unwrap();
    assert!((5 * 30_000..4_000_000).contains(&taken), "{taken}");
    assert!(served > 1_000_000 && (60_000..2_000_000).contains(&back), "{served} {back}");
}

#[test]
fn a_courier_that_restarts_with_an_old_list_and_a_late_one_keeps_the_grace() {
    let mut day = Scenario::find("drains").unwrap().with(Some(4), 1.0).unwrap();
    let more = Scenario::find("couriers-killed").unwrap().trouble.remove(0);
    let out = Scenario::find("list-out").unwrap().trouble.remove(0);
    day.trouble.extend([more, out]);
    for seed in 1..=3 {
        let (report, _) = run(&Fleet::draw(day.clone(), seed));
        kept(&report, "old list");
        assert!(report.rules[2].checked > 0);
    }
}

#[test]
fn a_client_that_loses_a_courier_hands_on_what_is_harmless_while_the_first_still_holds_it() {
    let (report, run) = run(&fleet("partition-clients", 3, 1));
    kept(&report, "partition-clients");
    let records = &run.played.records;
    let safe = |n: u8| n == 0;
    let again = |m: u64| records.submissions.iter().filter(|h| h.message == m).count() > 1;
    let orphans: Vec<_> = records.submissions.iter().filter(|h| h.orphaned.is_some()).collect();
    assert!(orphans.iter().any(|h| safe(h.class) && again(h.message)), "nobody was lost sight of");
    let both = orphans.iter().filter(|h| safe(h.class)).any(|h| {
        let by: std::collections::BTreeSet<u32> =
            records.arrivals.iter().filter(|a| a.message == h.message).map(|a| a.courier).collect();
        by.len() > 1
    });
    assert!(both, "no message was worked on by two couriers");
    // An unsafe one goes on only if it never left its client, as its connection was never made.
    let came = |h: &linnetcart_conformance::Submission| {
        records
            .arrivals
            .iter()
            .any(|a| (a.message, a.courier, a.incarnation) == (h.message, h.courier, h.incarnation))
    };
    let handed_on = |h: &linnetcart_conformance::Submission| {
        records.submissions.iter().any(|later| later.message == h.message && later.at > h.at)
    };
    assert!(!orphans.iter().any(|h| h.class == 2 && handed_on(h) && came(h)), "an unsafe one was handed on");
}

#[test]
fn a_courier_whose_snapshot_is_cut_starts_with_nothing_and_is_told_again() {
    let (report, run) = run(&fleet("disk-damaged", 3, 1));
    kept(&report, "disk-damaged");
    let later = run.played.records.notifications.iter().filter(|t| t.incarnation > 0).count();
    assert!(later > 0, "nobody told it the list");
    let again = run.played.records.submissions.iter().any(|h| h.incarnation == 1);
    assert!(again && report.service > 0.9);
}

#[test]
fn three_hundred_couriers_at_a_months_end_stay_within_bounds() {
    let mut day = Scenario::find("month-end").unwrap();
    // Its first seconds: enough for every courier to work, short enough for every test run.
    day.seconds = 1.5;
    day.trouble.clear();
    let fleet = Fleet::draw(day, 1);
    let endpoints: usize = fleet.destinations.iter().map(|m| m.endpoints.len()).sum();
    assert!(fleet.scenario.couriers == 300 && endpoints > 250);
    let (report, run) = run(&fleet);
    kept(&report, "month-end");
    let courier: std::collections::BTreeSet<u32> =
        run.played.records.submissions.iter().map(|h| h.courier).collect();
    assert!(courier.len() > 290, "{} couriers were handed something", courier.len());
    // Events grow with messages, not with couriers: the queue does not fill with those that have nothing to do.
    let each = run.events as f64 / fleet.messages.len() as f64;
    assert!(each < 60.0, "{each} events a message");
}
