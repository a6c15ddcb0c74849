//! The error codes of partitions, by the outcomes of their records.

use super::*;

const NOT_EXECUTED: RecordOutcome = RecordOutcome::Rejected { retry_after: 5, not_executed: true };
const MAY_HAVE_BEEN_EXECUTED: RecordOutcome = RecordOutcome::Rejected { retry_after: 7, not_executed: false };

#[test]
fn partition_code_batch_outcomes_is_retriable_only_if_no_record_was_forwarded() {
    let code = |outcomes: &[RecordOutcome]| partition_answer("t", 0, outcomes, 0).result.code;
    assert_eq!(code(&[RecordOutcome::Served, RecordOutcome::Served]), codes::NONE);
    assert_eq!(code(&[NOT_EXECUTED, NOT_EXECUTED]), codes::NOT_ENOUGH_REPLICAS);
    assert_eq!(code(&[MAY_HAVE_BEEN_EXECUTED]), codes::NOT_ENOUGH_REPLICAS);
    assert_eq!(code(&[NOT_EXECUTED, MAY_HAVE_BEEN_EXECUTED]), codes::INVALID_RECORD);
    assert_eq!(code(&[NOT_EXECUTED, RecordOutcome::Served]), codes::INVALID_RECORD);
    assert_eq!(code(&[NOT_EXECUTED, RecordOutcome::Failed]), codes::INVALID_RECORD);
    assert_eq!(code(&[RecordOutcome::Failed]), codes::UNKNOWN_SERVER_ERROR);
    let mixed = partition_answer("t", 0, &[RecordOutcome::Served, NOT_EXECUTED, RecordOutcome::Failed], 0);
    assert_eq!((mixed.result.record_errors.len(), mixed.retry_after), (3, 5));
}
