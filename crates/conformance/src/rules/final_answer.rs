//! Rule 1: each submission gets one final answer in time, and nothing is sent after it.

use super::millis;
use crate::index::RecordIndex;
use crate::invariants::Invariants;
use crate::records::{Records, Submission};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;

/// Trips of a new connection and its first request: there, back and there again.
const CONNECTION_TRIPS: u64 = 3;

/// Checks all submissions.
pub(crate) fn check(records: &Records, invariants: &Invariants, index: &RecordIndex<'_>) -> InvariantResult {
    let mut result = InvariantResult::new("1 one final answer in time, nothing sent after");
    for submission in &records.submissions {
        check_answer(&mut result, submission, latest_answer(records, invariants, submission));
        check_silence_after_answer(&mut result, invariants, index, submission);
    }
    if records.stray_answers > 0 {
        let stray = records.stray_answers;
        result.record(CaseOutcome::Broken, || format!("{stray} answers that no request waited for"));
    }
    result
}

/// When the client must have the final answer.
fn latest_answer(records: &Records, invariants: &Invariants, submission: &Submission) -> Time {
    let courier = submission.courier;
    let travelled = submission.answer_travelled;
    // What is on its way when its time is up is answered when it comes: after a partition, and after the trips of
    // a new connection.
    let arrived = records.received_between_client_and_courier(courier, submission.at);
    let due = submission.deadline.max(arrived + CONNECTION_TRIPS * travelled);
    let due = after_stall(records, submission, due);
    // Then its answer makes one trip.
    let received = records.received_between_client_and_courier(courier, due);
    received + invariants.answer_grace + invariants.timing_tolerance + travelled
}

/// What is due while the courier is not running is due when it runs again.
fn after_stall(records: &Records, submission: &Submission, due: Time) -> Time {
    let holder = submission.holder();
    let mut stalls = records.stalls.iter();
    let stall = stalls.find(|stall| stall.stalled() == holder && stall.from <= due && due < stall.until);
    stall.map_or(due, |stall| stall.until)
}

fn check_answer(result: &mut InvariantResult, submission: &Submission, latest: Time) {
    let answers = submission.answers.as_slice();
    if submission.orphaned.is_some() && answers.is_empty() {
        return;
    }
    let in_time = matches!(answers, [only] if only.at <= latest);
    result.record(CaseOutcome::kept_if(in_time), || match answers {
        [only] => format!(
            "message {}: due at {:.0} ms, answered {:.0} ms later by courier {}",
            submission.message,
            millis(submission.deadline),
            millis(only.at - submission.deadline),
            submission.courier
        ),
        _ => format!("message {}: {} answers", submission.message, answers.len()),
    });
}

fn check_silence_after_answer(
    result: &mut InvariantResult,
    invariants: &Invariants,
    index: &RecordIndex<'_>,
    submission: &Submission,
) {
    let Some(answer) = submission.answers.first() else { return };
    // A retry by the client has answers of its own.
    let next_submission = index.next_submission_at(submission);
    for arrival in index.arrivals_of(submission.message) {
        let sent = arrival.sent();
        let before_next = next_submission.is_none_or(|next| sent < next);
        if arrival.courier != submission.courier || sent < submission.at || !before_next {
            continue;
        }
        let silent = sent <= answer.at + invariants.timing_tolerance;
        result.record(CaseOutcome::kept_if(silent), || {
            let after = millis(sent - answer.at);
            format!("message {}: sent {after:.0} ms after its answer", submission.message)
        });
    }
}
