//! Why a partition of a Produce request can never be accepted.

use super::headers::InvalidRecord;
use crate::core::responses::rejected_partition;
use linnetcart_kafka::codes;
use linnetcart_kafka::server::{PartitionResult, RecordError};

/// Why a partition can never be accepted. The text is the error message of the partition in the Produce
/// response.
#[derive(Debug, thiserror::Error)]
pub(super) enum PartitionError {
    #[error("acks must be all or 1")]
    UnsupportedAcks,
    #[error("transactions are not offered")]
    Transactional,
    #[error("the batch cannot be read")]
    UnreadableBatch { code: i16 },
    #[error("no class has this name")]
    UnknownClass,
    #[error("the list has no such destination")]
    UnknownDestination,
    #[error("nothing of this batch was taken")]
    InvalidRecords { records: Vec<InvalidRecord> },
    #[error("a batch holds at most {max_messages} records and {max_bytes} bytes here")]
    TooLarge { max_messages: usize, max_bytes: usize },
}

impl PartitionError {
    fn code(&self) -> i16 {
        match self {
            PartitionError::UnsupportedAcks => codes::INVALID_REQUIRED_ACKS,
            PartitionError::Transactional => codes::TRANSACTIONAL_ID_AUTHORIZATION_FAILED,
            PartitionError::UnreadableBatch { code } => *code,
            PartitionError::UnknownClass | PartitionError::UnknownDestination => {
                codes::UNKNOWN_TOPIC_OR_PARTITION
            }
            PartitionError::InvalidRecords { .. } => codes::INVALID_RECORD,
            PartitionError::TooLarge { .. } => codes::MESSAGE_TOO_LARGE,
        }
    }

    /// Returns the partition's result for the Produce response, with an error message for each invalid
    /// record.
    pub(super) fn result(&self, topic: &str, partition: i32) -> PartitionResult {
        let mut result = rejected_partition(topic, partition, self.code(), self.to_string());
        if let PartitionError::InvalidRecords { records } = self {
            let error_of = |record: &InvalidRecord| RecordError {
                index: record.index,
                message: record.error.to_string(),
            };
            result.record_errors = records.iter().map(error_of).collect();
        }
        result
    }
}
