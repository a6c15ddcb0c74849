//! The results of partitions in Produce responses, by the final answers of their records.

use linnetcart::Time;
use linnetcart_kafka::codes;
use linnetcart_kafka::server::{PartitionResult, RecordError};

/// The final answer of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// The message was delivered.
    Served,
    /// The message was rejected. It is harmless to submit it again.
    Rejected {
        /// Retry-After: how long the client is to wait before it submits it again, in nanoseconds; 0 for no
        /// such advice.
        retry_after: Time,
        /// Whether it is certain that no attempt of the message has been executed.
        not_executed: bool,
    },
    /// The message failed. It may have been executed.
    Failed,
}

impl RecordOutcome {
    /// Returns the error message for one record, in the response to a batch whose records have different
    /// outcomes.
    fn text(&self) -> String {
        match self {
            RecordOutcome::Served => "served".into(),
            RecordOutcome::Rejected { .. } => "refused: harmless to hand in again".into(),
            RecordOutcome::Failed => "failed: it may have taken effect; do not hand it in again".into(),
        }
    }

    fn retry_after(&self) -> Time {
        match self {
            RecordOutcome::Rejected { retry_after, .. } => *retry_after,
            RecordOutcome::Served | RecordOutcome::Failed => 0,
        }
    }
}

/// The result of one partition, and its contribution to the throttle time of the response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PartitionAnswer {
    pub(crate) result: PartitionResult,
    /// The longest Retry-After of the partition's rejected records, in nanoseconds; 0 for none.
    pub(crate) retry_after: Time,
}

/// Returns the result of a partition of which no record was served, with this error code and error message.
pub(crate) fn rejected_partition(
    topic: &str,
    partition: i32,
    code: i16,
    text: impl Into<String>,
) -> PartitionResult {
    PartitionResult {
        topic: topic.to_owned(),
        partition,
        code,
        offset: -1,
        text: Some(text.into()),
        ..PartitionResult::default()
    }
}

/// Returns the answer for a partition whose records have these outcomes. `offset` is the Kafka offset of the
/// first served record.
///
/// The error code depends on the outcomes:
///
/// - All served: none.
/// - A single rejected record, or several of which none can have been executed: `NOT_ENOUGH_REPLICAS`. It
///   states that no record was persisted, and clients submit the complete batch again.
/// - All failed: `UNKNOWN_SERVER_ERROR`.
/// - Anything else: `INVALID_RECORD`, on which clients do not retry. From Produce 8 on the result carries the
///   outcome of each record.
pub(crate) fn partition_answer(
    topic: &str,
    partition: i32,
    outcomes: &[RecordOutcome],
    offset: i64,
) -> PartitionAnswer {
    let all_are = |expected: RecordOutcome| outcomes.iter().all(|outcome| *outcome == expected);
    if all_are(RecordOutcome::Served) {
        let result =
            PartitionResult { topic: topic.to_owned(), partition, offset, ..PartitionResult::default() };
        return PartitionAnswer { result, retry_after: 0 };
    }
    let retry_after = outcomes.iter().map(RecordOutcome::retry_after).max().unwrap_or(0);
    if is_retriable(outcomes) {
        let text = "refused; nothing was sent on, hand it in again";
        let result = rejected_partition(topic, partition, codes::NOT_ENOUGH_REPLICAS, text);
        return PartitionAnswer { result, retry_after };
    }
    if all_are(RecordOutcome::Failed) {
        let text = RecordOutcome::Failed.text();
        let result = rejected_partition(topic, partition, codes::UNKNOWN_SERVER_ERROR, text);
        return PartitionAnswer { result, retry_after: 0 };
    }
    let text = "the records of this batch ended differently; see each";
    let mut result = rejected_partition(topic, partition, codes::INVALID_RECORD, text);
    for (index, outcome) in outcomes.iter().enumerate() {
        result.record_errors.push(RecordError { index: index as i32, message: outcome.text() });
    }
    PartitionAnswer { result, retry_after }
}

/// Returns whether the response lets clients submit the complete batch again: for a single rejected record,
/// or for records of which none can have been executed.
fn is_retriable(outcomes: &[RecordOutcome]) -> bool {
    let not_executed =
        |outcome: &RecordOutcome| matches!(outcome, RecordOutcome::Rejected { not_executed: true, .. });
    match outcomes {
        [RecordOutcome::Rejected { .. }] => true,
        _ => outcomes.iter().all(not_executed),
    }
}

#[cfg(test)]
mod tests;
