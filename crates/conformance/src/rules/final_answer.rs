//! Rule 1: each submission gets exactly one final answer, in time, and the courier does not send the message
//! after that answer.

use super::millis;
use crate::index::RecordIndex;
use crate::invariants::Invariants;
use crate::records::{Records, Submission};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;

const RULE: &str = "1 one final answer in time, nothing sent after";

/// One-way trips until the first request on a new TCP connection arrives: SYN, SYN-ACK, then the request.
const CONNECTION_TRIPS: u64 = 3;

/// Checks that the client received exactly one answer to each submission, no later than [`answer_deadline`],
/// and that the courier did not send the message later than `timing_tolerance` after the first answer. A
/// submission without an answer whose courier died or whose connection broke is not checked.
pub(crate) fn check(records: &Records, invariants: &Invariants, index: &RecordIndex<'_>) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    for submission in &records.submissions {
        check_answer(&mut result, submission, answer_deadline(records, invariants, submission));
        check_silence_after_answer(&mut result, invariants, index, submission);
    }
    if records.stray_answers > 0 {
        let stray = records.stray_answers;
        result.record(CaseOutcome::Violated, || format!("{stray} answers without a pending request"));
    }
    result
}

/// Returns the latest time at which the client may receive the final answer, in nanoseconds. Without faults:
/// `max(deadline, submitted + 3 * travelled) + travelled + answer_grace + timing_tolerance`.
fn answer_deadline(records: &Records, invariants: &Invariants, submission: &Submission) -> Time {
    let courier = submission.courier;
    let travelled = submission.answer_travelled;
    // A message that arrives after its deadline, because of a partition or of the time taken to connect, is
    // answered on arrival.
    let arrived = records.received_between_client_and_courier(courier, submission.at);
    let due = submission.deadline.max(arrived + CONNECTION_TRIPS * travelled);
    let due = after_stall(records, submission, due);
    // The answer then makes one trip back.
    let received = records.received_between_client_and_courier(courier, due);
    received + invariants.answer_grace + invariants.timing_tolerance + travelled
}

/// Returns when the courier can send what is due at `due`: the end of the stall if it is stalled then.
fn after_stall(records: &Records, submission: &Submission, due: Time) -> Time {
    let recipient = submission.recipient();
    let mut stalls = records.stalls.iter();
    let stall = stalls.find(|stall| stall.stalled() == recipient && stall.from <= due && due < stall.until);
    stall.map_or(due, |stall| stall.until)
}

fn check_answer(result: &mut InvariantResult, submission: &Submission, latest: Time) {
    let answers = submission.answers.as_slice();
    if submission.orphaned.is_some() && answers.is_empty() {
        return;
    }
    let in_time = matches!(answers, [only] if only.at <= latest);
    result.record(CaseOutcome::satisfied_if(in_time), || match answers {
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
    // A resubmission by the client has answers of its own and is checked separately.
    let next_submission = index.next_submission_at(submission);
    for arrival in index.arrivals_of(submission.message) {
        let sent = arrival.sent();
        let before_next = next_submission.is_none_or(|next| sent < next);
        if arrival.courier != submission.courier || sent < submission.at || !before_next {
            continue;
        }
        let silent = sent <= answer.at + invariants.timing_tolerance;
        result.record(CaseOutcome::satisfied_if(silent), || {
            let after = millis(sent - answer.at);
            format!("message {}: sent {after:.0} ms after its answer", submission.message)
        });
    }
}
