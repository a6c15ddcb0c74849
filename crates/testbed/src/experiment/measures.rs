//! What is measured of a run.

use hdrhistogram::Histogram;
use linnetcart_conformance::{worth, Answer, ClientAnswer, Report, Time};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::runner::ScenarioRecords;
use std::collections::BTreeMap;

/// A measure.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// Its name.
    pub name: &'static str,
    /// What it is, with its unit.
    pub about: &'static str,
}

const fn measure(name: &'static str, about: &'static str) -> Measure {
    Measure { name, about }
}

/// All measures, in the order of [`of`].
pub const MEASURES: [Measure; 18] = [
    measure("served_worth", "worth delivered over worth asked for"),
    measure("worst_10s", "the same for the first tries of the worst ten seconds"),
    measure("late_worth", "worth delivered after the aim, over worth asked for"),
    measure("in_aim", "messages served within the aim, share"),
    measure("refused", "messages whose last answer was a refusal, share"),
    measure("failed", "messages whose last answer was a failure, share"),
    measure("lost", "messages without an answer that were safe to hand in again, their time went by, share"),
    measure("unknown", "messages without an answer that may not be handed in again, share"),
    measure("tries", "times that clients handed a message in, mean"),
    measure("calls", "calls that reached endpoints, a message"),
    measure("calls_refused", "calls turned away by limits, a message"),
    measure("rules_broken", "cases in which a rule was broken"),
    measure("returns_pushed", "returns from an outage in which rule 4 was broken, share of those at stake"),
    measure("fell_over", "limits that fell over"),
    measure("p50_ms", "median time from the first try to served, ms"),
    measure("p95_ms", "95th percentile of it, ms"),
    measure("p99_ms", "99th percentile of it, ms"),
    measure("connections", "connections at the same time at most"),
];

/// The measures of a day that was played, with so many connections at most.
pub fn of(fleet: &Fleet, played: &ScenarioRecords, links: usize, report: &Report) -> Vec<f64> {
    let contract = fleet.invariants(Timebase::Emulated);
    let total = |of: fn(&linnetcart_conformance::ClassSummary) -> u64| {
        report.classes.iter().map(of).sum::<u64>() as f64
    };
    let messages = total(|r| r.messages).max(1.0);
    let asked: f64 = report.classes.iter().map(|r| r.asked).sum();
    let mut first: BTreeMap<u64, Time> = BTreeMap::new();
    let mut served: BTreeMap<u64, (Time, u8)> = BTreeMap::new();
    for h in &played.records.submissions {
        let at = first.entry(h.message).or_insert(h.at);
        *at = (*at).min(h.at);
        for ClientAnswer { at, .. } in h.answers.iter().filter(|a| a.answer == Answer::Served) {
            let known = served.entry(h.message).or_insert((*at, h.class));
            known.0 = known.0.min(*at);
        }
    }
    let mut late = 0.0;
    // Microseconds, three digits: an hour is within its bounds.
    let mut times = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).ok();
    for (message, (at, class)) in &served {
        let age = at - first[message];
        let class = &contract.classes[usize::from(*class)];
        if age > class.latency_objective {
            late += worth(class, contract.halves, age);
        }
        if let Some(times) = &mut times {
            times.saturating_record((age / 1000).max(1));
        }
    }
    let at = |part: f64| times.as_ref().map_or(0.0, |t| t.value_at_quantile(part) as f64 / 1e3);
    let four = &report.rules[3];
    vec![
        report.service,
        report.worst_stretch,
        late / asked.max(1e-9),
        total(|r| r.in_aim) / messages,
        total(|r| r.refused) / messages,
        total(|r| r.failed) / messages,
        total(|r| r.lost) / messages,
        total(|r| r.unknown) / messages,
        total(|r| r.tries) / messages,
        report.calls as f64 / messages,
        report.calls_refused as f64 / messages,
        report.rules.iter().map(|f| f.broken).sum::<u64>() as f64,
        four.broken as f64 / four.checked.max(1) as f64,
        played.overloads.len() as f64,
        at(0.5),
        at(0.95),
        at(0.99),
        links as f64,
    ]
}
