//! Rule 2: no message takes effect more than once.

use super::millis;
use crate::index::RecordIndex;
use crate::invariants::Invariants;
use crate::records::{Answer, Arrival, Submission};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::{Idempotency, Time};

const RULE: &str = "2 no effect twice";

/// How endpoints deduplicate messages with an idempotency key.
#[derive(Clone, Copy)]
struct Deduplication {
    /// How long after the first execution an endpoint still recognizes the key.
    window: Time,
    /// Whether only the endpoints of one zone share their keys.
    per_zone: bool,
}

/// A message with its submissions and the arrivals that the endpoint did not reject, sorted by time.
struct MessageHistory<'a> {
    message: u64,
    submissions: &'a [&'a Submission],
    possibly_executed: Vec<&'a Arrival>,
}

/// Checks all messages of classes whose execution is not idempotent.
pub(crate) fn check(invariants: &Invariants, index: &RecordIndex<'_>) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    for (message, submissions) in index.messages() {
        let arrivals = index.arrivals_of(message);
        let possibly_executed = arrivals.iter().copied().filter(|arrival| !arrival.is_rejected()).collect();
        let history = MessageHistory { message, submissions, possibly_executed };
        match invariants.class(submissions[0].class).idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                let effects = arrivals.iter().filter(|arrival| arrival.effect).count();
                history.check_single_execution(&mut result, effects);
                history.check_rejections(&mut result);
            }
            Idempotency::Keyed { dedup_window: window, per_zone } => {
                let deduplication = Deduplication { window, per_zone };
                history.check_window_across_couriers(&mut result, invariants, deduplication);
                history.check_attempts_of_each_courier(&mut result, invariants, deduplication);
                // Where all endpoints share their keys, a message may be rejected after it was executed: any
                // endpoint recognizes it when it is submitted again.
                if per_zone {
                    history.check_rejections(&mut result);
                } else {
                    history.count_rejections(&mut result);
                }
            }
        }
    }
    result
}

impl MessageHistory<'_> {
    fn check_single_execution(&self, result: &mut InvariantResult, effects: usize) {
        let executions = self.possibly_executed.len();
        result.record(CaseOutcome::satisfied_if(executions <= 1 && effects <= 1), || {
            let texts: Vec<String> = self.possibly_executed.iter().copied().map(describe).collect();
            format!(
                "message {} may have been executed {executions} times: {}",
                self.message,
                texts.join("; ")
            )
        });
    }

    /// Checks a message that its client submitted more than once: no courier may have sent it after the
    /// deduplication window of the first attempt. Applies only where all endpoints share their keys.
    fn check_window_across_couriers(
        &self,
        result: &mut InvariantResult,
        invariants: &Invariants,
        deduplication: Deduplication,
    ) {
        if deduplication.per_zone || self.submissions.len() < 2 {
            return;
        }
        let Some(first) = self.possibly_executed.first() else { return };
        let first_sent = first.sent();
        let last_sent = self.possibly_executed.iter().map(|arrival| arrival.sent()).max().unwrap_or(0);
        let in_window = last_sent <= first_sent + deduplication.window + invariants.timing_tolerance;
        result.record(CaseOutcome::satisfied_if(in_window), || {
            let after = millis(last_sent - first_sent);
            format!(
                "message {}: resubmitted by its client, sent {after:.0} ms after the first attempt",
                self.message
            )
        });
    }

    /// Checks that each courier sent the message only within the deduplication window of the courier's own
    /// first attempt and, if only the endpoints of a zone share their keys, only in the zone of that attempt.
    fn check_attempts_of_each_courier(
        &self,
        result: &mut InvariantResult,
        invariants: &Invariants,
        deduplication: Deduplication,
    ) {
        for (position, submission) in self.submissions.iter().enumerate() {
            let next_at = self.submissions.get(position + 1).map_or(Time::MAX, |next| next.at);
            let attempts = self.attempts_of(submission, next_at);
            let Some(first) = attempts.first() else { continue };
            let latest = first.sent() + deduplication.window + invariants.timing_tolerance;
            let recognized = |attempt: &&Arrival| {
                attempt.sent() <= latest && (!deduplication.per_zone || attempt.zone == first.zone)
            };
            result.record(CaseOutcome::satisfied_if(attempts.iter().all(recognized)), || {
                format!("message {}: sent again outside of its deduplication window or zone", self.message)
            });
        }
    }

    /// Returns the attempts that the submission's courier sent from the submission until `next_submission`.
    fn attempts_of(&self, submission: &Submission, next_submission: Time) -> Vec<&Arrival> {
        let by_recipient = |arrival: &&Arrival| {
            let sent = arrival.sent();
            arrival.sender() == submission.recipient() && sent >= submission.at && sent < next_submission
        };
        self.possibly_executed.iter().copied().filter(by_recipient).collect()
    }

    /// Checks that no submission was rejected after it may have been executed, as the client would submit the
    /// message again.
    fn check_rejections(&self, result: &mut InvariantResult) {
        for submission in self.submissions {
            let Some(rejected_at) = rejected_at(submission) else { continue };
            let executed_before = self.possibly_executed.iter().any(|arrival| {
                let in_flight = submission.at..=rejected_at;
                arrival.sender() == submission.recipient() && in_flight.contains(&arrival.sent())
            });
            result.record(CaseOutcome::satisfied_if(!executed_before), || {
                format!("message {}: rejected though it may have been executed", self.message)
            });
        }
    }

    /// Counts each rejection as a case that satisfies the rule, whatever was executed before.
    fn count_rejections(&self, result: &mut InvariantResult) {
        for _ in self.submissions.iter().filter(|submission| rejected_at(submission).is_some()) {
            result.record(CaseOutcome::Satisfied, String::new);
        }
    }
}

/// Returns when the first answer to a submission arrived if it was a rejection, and `None` otherwise.
fn rejected_at(submission: &Submission) -> Option<Time> {
    let first = submission.answers.first()?;
    (first.answer == Answer::Rejected).then_some(first.at)
}

/// Describes an arrival by time, endpoint, courier and verdict.
fn describe(arrival: &Arrival) -> String {
    format!(
        "{:.0} ms at {} by {}: {:?}",
        millis(arrival.at),
        arrival.endpoint,
        arrival.courier,
        arrival.verdict
    )
}
