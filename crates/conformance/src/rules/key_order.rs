//! Rule 5: messages with the same ordering key are sent in order, and the key cools down after an attempt
//! that may still be running.

use super::millis;
use crate::index::RecordIndex;
use crate::invariants::Invariants;
use crate::records::{Arrival, CourierIncarnation, EndpointVerdict, Records, Submission};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

const RULE: &str = "5 order by key, with the key's rest";

/// Identifies the queue of messages with one ordering key on one connection. The courier sends the messages
/// of a queue in order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyQueue {
    key: u64,
    courier: CourierIncarnation,
    connection: u64,
}

/// Identifies a message at one incarnation of a courier, over any of its connections.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightMessage {
    message: u64,
    courier: CourierIncarnation,
}

/// Assigns attempts to submissions.
struct AttemptLookup<'a> {
    invariants: &'a Invariants,
    index: &'a RecordIndex<'a>,
    submissions: BTreeMap<InFlightMessage, Vec<&'a Submission>>,
}

/// Checks each pair of consecutive messages in all key queues.
pub(crate) fn check(records: &Records, invariants: &Invariants, index: &RecordIndex<'_>) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    let lookup = AttemptLookup { invariants, index, submissions: submissions_by_message(records) };
    for (queue, mut submissions) in key_queues(records, invariants) {
        submissions.sort_by_key(|submission| submission.position.sequence);
        for neighbours in submissions.windows(2) {
            if let [earlier, later] = neighbours {
                check_order(&mut result, &lookup, queue.key, earlier, later);
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
            let queue = KeyQueue { key, courier: submission.recipient(), connection };
            queues.entry(queue).or_default().push(submission);
        }
    }
    queues
}

fn submissions_by_message(records: &Records) -> BTreeMap<InFlightMessage, Vec<&Submission>> {
    let mut by_message: BTreeMap<InFlightMessage, Vec<&Submission>> = BTreeMap::new();
    for submission in &records.submissions {
        let in_flight = InFlightMessage { message: submission.message, courier: submission.recipient() };
        by_message.entry(in_flight).or_default().push(submission);
    }
    by_message
}

impl<'a> AttemptLookup<'a> {
    /// Returns the attempts of a submission, in the order of their arrival. If a client's connection broke
    /// and it submitted the message again, the courier may have received it over two connections; an
    /// attempt that could belong to either is left out, as the order of neither connection applies to it.
    fn attempts_of(&self, submission: &Submission) -> Vec<&'a Arrival> {
        let in_flight = InFlightMessage { message: submission.message, courier: submission.recipient() };
        let of_message = self.submissions.get(&in_flight).map_or(&[][..], Vec::as_slice);
        let on_another_connection =
            |other: &&Submission| other.position.connection != submission.position.connection;
        let others: Vec<&Submission> = of_message.iter().copied().filter(on_another_connection).collect();
        let unambiguous = |arrival: &&Arrival| {
            let of_another = others.iter().any(|other| self.is_attempt_at(arrival, other));
            self.is_attempt_at(arrival, submission) && !of_another
        };
        self.index.arrivals_of(submission.message).iter().copied().filter(unambiguous).collect()
    }

    /// Returns whether the courier sent the attempt while the submission was in flight.
    fn is_attempt_at(&self, arrival: &Arrival, submission: &Submission) -> bool {
        let sent = arrival.sent();
        let latest = submission.completed_at() + self.invariants.timing_tolerance;
        arrival.sender() == submission.recipient() && sent >= submission.at && sent <= latest
    }
}

/// Checks each attempt at `earlier`: the first attempt at `later` must have been sent no earlier than that
/// attempt and, within `timing_tolerance`, no earlier than its [`cooldown_end`].
fn check_order(
    result: &mut InvariantResult,
    lookup: &AttemptLookup<'_>,
    key: u64,
    earlier: &Submission,
    later: &Submission,
) {
    // A message that its client submitted again moves to the end of the queue.
    if earlier.message == later.message {
        return;
    }
    let later_attempts = lookup.attempts_of(later);
    let Some(first) = later_attempts.first() else { return };
    let first_sent = first.sent();
    for attempt in lookup.attempts_of(earlier) {
        let cooled_down_at = cooldown_end(attempt, lookup.invariants.key_cooldown);
        let in_order =
            first_sent + lookup.invariants.timing_tolerance >= cooled_down_at && first_sent >= attempt.sent();
        result.record(CaseOutcome::satisfied_if(in_order), || {
            format!(
                "key {key:x}: message {} sent at {:.0} ms, before {} of {:.0} ms had cooled down",
                later.message,
                millis(first_sent),
                earlier.message,
                millis(attempt.sent())
            )
        });
    }
}

/// Returns when the next message of the key may be sent: `min(answered, sent + key_cooldown)`, or `sent +
/// key_cooldown` if the endpoint did not answer the attempt.
fn cooldown_end(attempt: &Arrival, key_cooldown: Time) -> Time {
    let longest = attempt.sent() + key_cooldown;
    match (attempt.verdict, attempt.answered) {
        (EndpointVerdict::Unanswered, _) | (_, None) => longest,
        (_, Some(answered)) => answered.min(longest),
    }
}
