//! The result of one partition of a Produce request, from the final answers of its records.

use linnetcart::Time;
use linnetcart_kafka::codes;
use linnetcart_kafka::server::{PartitionResult, RecordError};

/// The final answer of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// Delivered.
    Served,
    /// Rejected; submitting it again does no harm.
    Rejected {
        /// When it may be submitted again, 0 if that is not known.
        retry_after: Time,
        /// No attempt of it can have been executed.
        not_executed: bool,
    },
    /// Given up; it may have been executed.
    Failed,
}

impl RecordOutcome {
    /// What the response says of a record whose batch has several outcomes.
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

/// One partition's result, and the Retry-After that it asks for the whole response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PartitionAnswer {
    pub(crate) result: PartitionResult,
    pub(crate) retry_after: Time,
}

/// A partition of a request none of whose records was accepted.
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

/// The answer for a partition whose records have these outcomes; `offset` is that of the first served one.
///
/// The code that clients retry says "not persisted" of every record of the batch. So it is given only if that
/// is so: for a single rejected record, or for several of which none was ever forwarded. Records with different
/// outcomes get a code that is not retried, and from Produce 8 on each record carries its own outcome.
pub(crate) fn partition_answer(
    topic: &str,
    partition: i32,
    outcomes: &[RecordOutcome],
    offset: i64,
) -> PartitionAnswer {
    if outcomes.iter().all(|outcome| *outcome == RecordOutcome::Served) {
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
    if outcomes.iter().all(|outcome| *outcome == RecordOutcome::Failed) {
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

/// Whether a client may submit the batch again as a whole.
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
