//! The error codes of the protocol that linnetcart sends or handles, under the protocol's own names.
//!
//! The codes of final answers are chosen for how stock clients handle them:
//!
//! - [`NOT_ENOUGH_REPLICAS`] rejects a message. librdkafka classifies it as "retry, message not persisted",
//!   and the JVM client raises a retriable exception for it. It is the only code that both treat as safe to
//!   retry.
//! - [`UNKNOWN_SERVER_ERROR`] fails a message. Neither client retries it, and neither claims that the message
//!   was not persisted.
//! - [`INVALID_RECORD`] is final for both clients. From Produce 8 on it carries a reason for each record.

/// No error: the message was served.
pub const NONE: i16 = 0;
/// The message failed. It may have taken effect, and the client does not retry.
pub const UNKNOWN_SERVER_ERROR: i16 = -1;
/// The checksum or the format of a batch is wrong.
pub const CORRUPT_MESSAGE: i16 = 2;
/// The topic is not in the settings, or the partition is not in the endpoint list.
pub const UNKNOWN_TOPIC_OR_PARTITION: i16 = 3;
/// The partition has no endpoint at present.
pub const LEADER_NOT_AVAILABLE: i16 = 5;
/// A record or batch is larger than the maximum.
pub const MESSAGE_TOO_LARGE: i16 = 10;
/// The message was rejected. Nothing was persisted, and stock clients retry.
pub const NOT_ENOUGH_REPLICAS: i16 = 19;
/// The response to every Fetch request: records cannot be fetched from this server.
pub const TOPIC_AUTHORIZATION_FAILED: i16 = 29;
/// The requested `acks` is not supported, for example 0, with which the client gets no final answer.
pub const INVALID_REQUIRED_ACKS: i16 = 21;
/// The requested version of the API is not offered.
pub const UNSUPPORTED_VERSION: i16 = 35;
/// The request is inconsistent or empty.
pub const INVALID_REQUEST: i16 = 42;
/// Transactions are not supported.
pub const TRANSACTIONAL_ID_AUTHORIZATION_FAILED: i16 = 53;
/// Compressed batches are not supported.
pub const UNSUPPORTED_COMPRESSION_TYPE: i16 = 76;
/// The records of a batch had different outcomes, or one of them was invalid.
pub const INVALID_RECORD: i16 = 87;
/// An endpoint is at its limit; `throttle_time_ms` says how long to wait.
pub const THROTTLING_QUOTA_EXCEEDED: i16 = 89;

/// The error for bytes that violate the protocol; the value names the malformed part of the message. The
/// receiver closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {0}")]
pub struct Malformed(pub &'static str);
