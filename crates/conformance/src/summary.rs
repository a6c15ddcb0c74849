//! What became of each class, and how much of the weight asked for was delivered.

use crate::index::RecordIndex;
use crate::invariants::{Class, Invariants};
use crate::records::{Answer, Records, Submission};
use crate::report::ClassSummary;
use linnetcart::{Idempotency, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Length of the stretches of which the worst is told.
const STRETCH: Time = 10_000_000_000;
/// Stands in for a weight of nothing in a quotient.
const SMALLEST_WEIGHT: f64 = 1e-9;

/// Classes and the service as a whole.
pub(crate) struct ServiceSummary {
    pub(crate) classes: Vec<ClassSummary>,
    /// Weight delivered over weight asked for.
    pub(crate) overall: f64,
    /// The same for the worst stretch.
    pub(crate) worst_stretch: f64,
}

/// Calls that reached endpoints.
pub(crate) struct CallCounts {
    pub(crate) total: u64,
    pub(crate) rejected: u64,
}

/// Weight of messages first submitted within one stretch.
#[derive(Default)]
struct StretchWeight {
    delivered: f64,
    asked: f64,
}

/// Weight of a message served at this age, counted from its first submission.
pub fn worth(class: &Class, halves: bool, age: Time) -> f64 {
    if age > class.deadline {
        return 0.0;
    }
    let late = age.saturating_sub(class.latency_objective) as f64;
    let kept = if halves {
        0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_weight)
    } else {
        let span = class.deadline.saturating_sub(class.latency_objective).max(1) as f64;
        1.0 - (1.0 - class.late_weight) * late / span
    };
    class.priority_weight * kept
}

/// Counts calls, each once however many messages it had.
pub(crate) fn count_calls(records: &Records) -> CallCounts {
    let mut all = BTreeSet::new();
    let mut rejected = BTreeSet::new();
    for arrival in &records.arrivals {
        all.insert(arrival.call);
        if arrival.is_rejected() {
            rejected.insert(arrival.call);
        }
    }
    CallCounts { total: all.len() as u64, rejected: rejected.len() as u64 }
}

/// Sums up classes and service.
pub(crate) fn summarize(
    records: &Records,
    invariants: &Invariants,
    index: &RecordIndex<'_>,
) -> ServiceSummary {
    let empty = |class: &Class| ClassSummary { class: class.name.clone(), ..ClassSummary::default() };
    let mut classes: Vec<ClassSummary> = invariants.classes.iter().map(empty).collect();
    let begin = records.submissions.iter().map(|submission| submission.at).min().unwrap_or(0);
    let mut stretches: BTreeMap<u64, StretchWeight> = BTreeMap::new();
    for (message, submissions) in index.messages() {
        let first = submissions[0];
        let class = invariants.class(first.class);
        let delivered = delivered_weight(submissions, class, invariants);
        let summary = &mut classes[usize::from(first.class)];
        summary.messages += 1;
        summary.tries += submissions.len() as u64;
        summary.attempts += index.arrivals_of(message).len() as u64;
        summary.asked += class.priority_weight;
        summary.worth += delivered;
        count_outcome(summary, submissions, class);
        let stretch = stretches.entry((first.at - begin) / STRETCH).or_default();
        stretch.delivered += delivered;
        stretch.asked += class.priority_weight;
    }
    let asked: f64 = classes.iter().map(|summary| summary.asked).sum();
    let delivered: f64 = classes.iter().map(|summary| summary.worth).sum();
    let services = stretches.values().map(|stretch| stretch.delivered / stretch.asked.max(SMALLEST_WEIGHT));
    let worst_stretch = services.fold(1.0, f64::min);
    ServiceSummary { classes, overall: delivered / asked.max(SMALLEST_WEIGHT), worst_stretch }
}

/// When a message was answered as served.
fn served_at(submissions: &[&Submission]) -> Option<Time> {
    let mut answers = submissions.iter().flat_map(|submission| &submission.answers);
    answers.find(|answer| answer.answer == Answer::Served).map(|answer| answer.at)
}

/// The answer to the last submission that was answered.
fn last_answer(submissions: &[&Submission]) -> Option<Answer> {
    let mut first_answers = submissions.iter().rev().filter_map(|submission| submission.answers.first());
    first_answers.next().map(|answer| answer.answer)
}

fn delivered_weight(submissions: &[&Submission], class: &Class, invariants: &Invariants) -> f64 {
    match served_at(submissions) {
        Some(at) => worth(class, invariants.halves, at - submissions[0].at),
        None => 0.0,
    }
}

fn count_outcome(summary: &mut ClassSummary, submissions: &[&Submission], class: &Class) {
    if let Some(at) = served_at(submissions) {
        let age = at - submissions[0].at;
        if age <= class.latency_objective {
            summary.in_aim += 1;
        } else {
            summary.late += 1;
        }
        return;
    }
    match last_answer(submissions) {
        Some(Answer::Rejected) => summary.refused += 1,
        Some(Answer::Served | Answer::Failed) => summary.failed += 1,
        None if class.idempotency == Idempotency::Idempotent => summary.lost += 1,
        None => summary.unknown += 1,
    }
}
