//! Summaries of a run: how the messages of each class ended, and how much of the requested weight was
//! delivered.

use crate::index::RecordIndex;
use crate::invariants::{Class, Invariants};
use crate::records::{Answer, Records, Submission};
use crate::report::ClassSummary;
use linnetcart::{Idempotency, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Length of the intervals whose lowest weight ratio is reported: 10 s, in nanoseconds.
const INTERVAL_LENGTH: Time = 10_000_000_000;
/// Lower bound of the denominator of a weight ratio: without requested weight the ratio is 0, not NaN.
const MIN_REQUESTED_WEIGHT: f64 = 1e-9;

/// The summaries of all classes, and of the service over all of them.
pub(crate) struct ServiceSummary {
    pub(crate) classes: Vec<ClassSummary>,
    /// Delivered weight divided by requested weight.
    pub(crate) overall: f64,
    /// The lowest ratio of delivered to requested weight in any interval of [`INTERVAL_LENGTH`], at most 1.
    pub(crate) worst_interval: f64,
}

/// The number of calls that reached endpoints.
pub(crate) struct CallCounts {
    pub(crate) total: u64,
    pub(crate) rejected: u64,
}

/// Weight of the messages first submitted within one interval.
#[derive(Default)]
struct IntervalWeight {
    delivered: f64,
    requested: f64,
}

/// Counts the calls that reached endpoints. A call that carried several messages counts once.
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

/// Summarizes the classes and the service.
pub(crate) fn summarize(
    records: &Records,
    invariants: &Invariants,
    index: &RecordIndex<'_>,
) -> ServiceSummary {
    let empty = |class: &Class| ClassSummary { class: class.name.clone(), ..ClassSummary::default() };
    let mut classes: Vec<ClassSummary> = invariants.classes.iter().map(empty).collect();
    let begin = records.submissions.iter().map(|submission| submission.at).min().unwrap_or(0);
    let mut intervals: BTreeMap<u64, IntervalWeight> = BTreeMap::new();
    for (message, submissions) in index.messages() {
        let first = submissions[0];
        let class = invariants.class(first.class);
        let delivered = delivered_weight(submissions, class);
        let summary = &mut classes[usize::from(first.class)];
        summary.messages += 1;
        summary.submissions += submissions.len() as u64;
        summary.attempts += index.arrivals_of(message).len() as u64;
        summary.requested_weight += class.priority_weight;
        summary.delivered_weight += delivered;
        count_outcome(summary, submissions, class);
        let interval = intervals.entry((first.at - begin) / INTERVAL_LENGTH).or_default();
        interval.delivered += delivered;
        interval.requested += class.priority_weight;
    }
    let overall = overall_ratio(&classes);
    let ratios = intervals.values().map(|interval| weight_ratio(interval.delivered, interval.requested));
    ServiceSummary { classes, overall, worst_interval: ratios.fold(1.0, f64::min) }
}

fn overall_ratio(classes: &[ClassSummary]) -> f64 {
    let requested: f64 = classes.iter().map(|summary| summary.requested_weight).sum();
    let delivered: f64 = classes.iter().map(|summary| summary.delivered_weight).sum();
    weight_ratio(delivered, requested)
}

fn weight_ratio(delivered: f64, requested: f64) -> f64 {
    delivered / requested.max(MIN_REQUESTED_WEIGHT)
}

/// Returns when the client was told that the message was served, or `None` if it never was.
fn served_at(submissions: &[&Submission]) -> Option<Time> {
    let mut answers = submissions.iter().flat_map(|submission| &submission.answers);
    answers.find(|answer| answer.answer == Answer::Served).map(|answer| answer.at)
}

/// Returns the first answer to the latest submission that has one, or `None` if the message was never
/// answered.
fn last_answer(submissions: &[&Submission]) -> Option<Answer> {
    let mut first_answers = submissions.iter().rev().filter_map(|submission| submission.answers.first());
    first_answers.next().map(|answer| answer.answer)
}

fn delivered_weight(submissions: &[&Submission], class: &Class) -> f64 {
    served_at(submissions).map_or(0.0, |at| class.weight_at(at - submissions[0].at))
}

/// Adds a message to the counter of its outcome.
fn count_outcome(summary: &mut ClassSummary, submissions: &[&Submission], class: &Class) {
    if let Some(at) = served_at(submissions) {
        let age = at - submissions[0].at;
        if age <= class.latency_objective {
            summary.within_objective += 1;
        } else {
            summary.late += 1;
        }
        return;
    }
    match last_answer(submissions) {
        Some(Answer::Rejected) => summary.rejected += 1,
        Some(Answer::Served | Answer::Failed) => summary.failed += 1,
        None if class.idempotency == Idempotency::Idempotent => summary.lost += 1,
        None => summary.unknown += 1,
    }
}
