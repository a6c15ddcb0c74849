//! Rule 5: messages of an ordering key go in turn, with the key's cooldown after an attempt that may still run.

use super::millis;
use crate::index::RecordIndex;
use crate::invariants::Invariants;
use crate::records::{Arrival, CourierIncarnation, EndpointVerdict, Records, Submission};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

/// Messages of one ordering key on one connection: the courier sends them in turn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyQueue {
    key: u64,
    holder: CourierIncarnation,
    connection: u64,
}

/// A message as one courier holds it, from whatever connections.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HeldMessage {
    message: u64,
    holder: CourierIncarnation,
}

/// Finds the attempts that belong to a submission.
struct AttemptLookup<'a> {
    invariants: &'a Invariants,
    index: &'a RecordIndex<'a>,
    submissions: BTreeMap<HeldMessage, Vec<&'a Submission>>,
}

/// Checks each two neighbours of all key queues.
pub(crate) fn check(records: &Records, invariants: &Invariants, index: &RecordIndex<'_>) -> InvariantResult {
    let mut result = InvariantResult::new("5 order by key, with the key's rest");
    let lookup = AttemptLookup { invariants, index, submissions: submissions_by_holder(records) };
    for (queue, mut submissions) in key_queues(records, invariants) {
        submissions.sort_by_key(|submission| submission.position.sequence);
        for neighbours in submissions.windows(2) {
            if let [earlier, later] = neighbours {
                check_turn(&mut result, &lookup, queue.key, earlier, later);
            }
        }
    }
    result
}

fn key_queues<'a>(records: &'a Records, invariants: &Invariants) -> BTreeMap<KeyQueue, Vec<&'a Submission>> {
    let mut queues: BTreeMap<KeyQueue, Vec<&Submission>> = BTreeMap::new();
    for submission in &records.submissions {
        let Some(key) = submission.key else { continue };
        if invariants.class(submission.class).ordered {
            let connection = submission.position.connection;
            let queue = KeyQueue { key, holder: submission.holder(), connection };
            queues.entry(queue).or_default().push(submission);
        }
    }
    queues
}

fn submissions_by_holder(records: &Records) -> BTreeMap<HeldMessage, Vec<&Submission>> {
    let mut by_holder: BTreeMap<HeldMessage, Vec<&Submission>> = BTreeMap::new();
    for submission in &records.submissions {
        let held = HeldMessage { message: submission.message, holder: submission.holder() };
        by_holder.entry(held).or_default().push(submission);
    }
    by_holder
}

impl<'a> AttemptLookup<'a> {
    /// Attempts of a submission, in the order of their arrival. After a connection broke the courier may hold the
    /// message from two, and nobody can say of which an attempt is: it stands under the order of neither.
    fn attempts_of(&self, submission: &Submission) -> Vec<&'a Arrival> {
        let held = HeldMessage { message: submission.message, holder: submission.holder() };
        let of_holder = self.submissions.get(&held).map_or(&[][..], Vec::as_slice);
        let elsewhere = |other: &&Submission| other.position.connection != submission.position.connection;
        let others: Vec<&Submission> = of_holder.iter().copied().filter(elsewhere).collect();
        let unambiguous = |arrival: &&Arrival| {
            let of_another = others.iter().any(|other| self.is_within(arrival, other));
            self.is_within(arrival, submission) && !of_another
        };
        self.index.arrivals_of(submission.message).iter().copied().filter(unambiguous).collect()
    }

    /// The holder sent it while it held the submission.
    fn is_within(&self, arrival: &Arrival, submission: &Submission) -> bool {
        let sent = arrival.sent();
        let latest = submission.completed_at() + self.invariants.timing_tolerance;
        arrival.sender() == submission.holder() && sent >= submission.at && sent <= latest
    }
}

fn check_turn(
    result: &mut InvariantResult,
    lookup: &AttemptLookup<'_>,
    key: u64,
    earlier: &Submission,
    later: &Submission,
) {
    // A message that was submitted again has its place at the back.
    if earlier.message == later.message {
        return;
    }
    let later_attempts = lookup.attempts_of(later);
    let Some(first) = later_attempts.first() else { return };
    let first_sent = first.sent();
    for attempt in lookup.attempts_of(earlier) {
        let rested = cooldown_end(attempt, lookup.invariants.key_cooldown);
        let in_turn =
            first_sent + lookup.invariants.timing_tolerance >= rested && first_sent >= attempt.sent();
        result.record(CaseOutcome::kept_if(in_turn), || {
            format!(
                "key {key:x}: message {} at {:.0} ms, before {} of {:.0} ms was over",
                later.message,
                millis(first_sent),
                earlier.message,
                millis(attempt.sent())
            )
        });
    }
}

/// When the next message of the key may be sent after an attempt.
fn cooldown_end(attempt: &Arrival, key_cooldown: Time) -> Time {
    let longest = attempt.sent() + key_cooldown;
    match (attempt.verdict, attempt.answered) {
        (EndpointVerdict::Unanswered, _) | (_, None) => longest,
        (_, Some(answered)) => answered.min(longest),
    }
}
