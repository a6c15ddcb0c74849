//! The measures of a run, computed from its records and the report of the conformance checks.

use crate::emulated_run::CheckedRun;
use hdrhistogram::Histogram;
use linnetcart_conformance::{Answer, ClassSummary, Invariants, Records, Report, Time};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::runner::ScenarioRecords;
use std::collections::BTreeMap;

/// The index of rule 4, on the load during the recovery from an outage, in [`Report::rules`].
const RECOVERY_RULE: usize = 3;
/// Largest delivery time that is recorded, in microseconds: one hour. Longer ones are recorded as one hour.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Lower bound of a divisor, so that a requested weight of zero does not divide by zero.
const MIN_REQUESTED_WEIGHT: f64 = 1e-9;

/// A measure of a run: one number, such as a share or a percentile.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// The name in plans, tables and result files.
    pub name: &'static str,
    /// The definition, with the unit.
    pub about: &'static str,
}

const fn measure(name: &'static str, about: &'static str) -> Measure {
    Measure { name, about }
}

/// All measures, in the order of [`of_run`].
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

/// The values of the measures of a run in virtual time, in the order of [`MEASURES`].
pub fn of_checked_run(checked: &CheckedRun) -> Vec<f64> {
    let run = &checked.run;
    of_run(&checked.fleet, &run.records, run.peak_connections, &checked.report)
}

/// The values of the measures of a run, in the order of [`MEASURES`]. `peak_connections` is the maximum
/// number of connections open at the same time; runs on sockets do not record this number and pass 0.
pub fn of_run(
    fleet: &Fleet,
    records: &ScenarioRecords,
    peak_connections: usize,
    report: &Report,
) -> Vec<f64> {
    let total = |figure: fn(&ClassSummary) -> u64| report.classes.iter().map(figure).sum::<u64>() as f64;
    let messages = total(|class| class.messages).max(1.0);
    let requested_weight: f64 = report.classes.iter().map(|class| class.requested_weight).sum();
    let served = ServedMessages::of(&records.records, &fleet.invariants(Timebase::Emulated));
    let rules_broken: u64 = report.rules.iter().map(|rule| rule.violations).sum();
    let recoveries = &report.rules[RECOVERY_RULE];
    vec![
        report.service,
        report.worst_stretch,
        served.late_weight / requested_weight.max(MIN_REQUESTED_WEIGHT),
        total(|class| class.within_objective) / messages,
        total(|class| class.rejected) / messages,
        total(|class| class.failed) / messages,
        total(|class| class.lost) / messages,
        total(|class| class.unknown) / messages,
        total(|class| class.submissions) / messages,
        report.calls as f64 / messages,
        report.rejected_calls as f64 / messages,
        rules_broken as f64,
        recoveries.violations as f64 / recoveries.checked.max(1) as f64,
        records.overloads.len() as f64,
        served.percentile_ms(0.5),
        served.percentile_ms(0.95),
        served.percentile_ms(0.99),
        peak_connections as f64,
    ]
}

/// Delivery times of the messages that were served, each from its first submission to the first answer
/// `Served`.
struct ServedMessages {
    /// Sum of the weights of the messages that were served after their latency objective. A late message
    /// counts with the part of its priority weight that remains at its delivery time
    /// ([`Class::weight_at`](linnetcart_conformance::Class::weight_at)).
    late_weight: f64,
    /// Delivery times in microseconds, to three significant digits; `None` if the histogram could not be
    /// created.
    times: Option<Histogram<u64>>,
}

/// When the first answer `Served` to a message arrived at its client, and the class number of the message.
struct Served {
    at: Time,
    class: u8,
}

impl ServedMessages {
    fn of(records: &Records, invariants: &Invariants) -> ServedMessages {
        let mut first_submissions: BTreeMap<u64, Time> = BTreeMap::new();
        let mut served: BTreeMap<u64, Served> = BTreeMap::new();
        for submission in &records.submissions {
            let first = first_submissions.entry(submission.message).or_insert(submission.at);
            *first = submission.at.min(*first);
            let class = submission.class;
            for answer in submission.answers.iter().filter(|answer| answer.answer == Answer::Served) {
                let known = served.entry(submission.message).or_insert(Served { at: answer.at, class });
                known.at = known.at.min(answer.at);
            }
        }
        let times = Histogram::new_with_bounds(1, MAX_TIME_US, 3).ok();
        let mut messages = ServedMessages { late_weight: 0.0, times };
        for (message, served) in &served {
            let age = served.at - first_submissions[message];
            messages.add(age, served.class, invariants);
        }
        messages
    }

    fn add(&mut self, age: Time, class: u8, invariants: &Invariants) {
        let class = &invariants.classes[usize::from(class)];
        if age > class.latency_objective {
            self.late_weight += class.weight_at(age);
        }
        if let Some(times) = &mut self.times {
            times.saturating_record((age / 1000).max(1));
        }
    }

    /// A quantile of the delivery times, in milliseconds.
    fn percentile_ms(&self, quantile: f64) -> f64 {
        let microseconds = self.times.as_ref().map_or(0, |times| times.value_at_quantile(quantile));
        microseconds as f64 / 1e3
    }
}
