//! Error codes of the protocol that linnetcart gives or acts on, and why these.
//!
//! - [`REFUSED`]: librdkafka files it under "retry, message not persisted", and the JVM client raises a
//!   retriable exception for it. It is the one code that both treat as "harmless to hand in again".
//! - [`FAILED`]: neither client retries it, and neither claims that the message was not persisted.
//! - [`MIXED`]: final for both clients, and from Produce 8 on it carries a reason for each record.

/// Served.
pub const NONE: i16 = 0;
/// Failed: it may have taken effect, and the client does not retry (`UNKNOWN_SERVER_ERROR`).
pub const UNKNOWN_SERVER_ERROR: i16 = -1;
/// A batch's checksum or form is wrong (`CORRUPT_MESSAGE`).
pub const CORRUPT_MESSAGE: i16 = 2;
/// No setting knows the topic, or no list the partition (`UNKNOWN_TOPIC_OR_PARTITION`).
pub const UNKNOWN_TOPIC_OR_PARTITION: i16 = 3;
/// The partition has no endpoint just now (`LEADER_NOT_AVAILABLE`).
pub const LEADER_NOT_AVAILABLE: i16 = 5;
/// A record or batch is larger than the bound (`MESSAGE_TOO_LARGE`).
pub const MESSAGE_TOO_LARGE: i16 = 10;
/// Refused: nothing was persisted, and stock clients retry (`NOT_ENOUGH_REPLICAS`).
pub const NOT_ENOUGH_REPLICAS: i16 = 19;
/// Nothing can be read here (`TOPIC_AUTHORIZATION_FAILED`).
pub const TOPIC_AUTHORIZATION_FAILED: i16 = 29;
/// `acks` that cannot carry a final answer (`INVALID_REQUIRED_ACKS`).
pub const INVALID_REQUIRED_ACKS: i16 = 21;
/// The version is not offered (`UNSUPPORTED_VERSION`).
pub const UNSUPPORTED_VERSION: i16 = 35;
/// A request that makes no sense (`INVALID_REQUEST`).
pub const INVALID_REQUEST: i16 = 42;
/// Transactions are not offered (`TRANSACTIONAL_ID_AUTHORIZATION_FAILED`).
pub const TRANSACTIONAL_ID_AUTHORIZATION_FAILED: i16 = 53;
/// Compressed batches are not read yet (`UNSUPPORTED_COMPRESSION_TYPE`).
pub const UNSUPPORTED_COMPRESSION_TYPE: i16 = 76;
/// The records of a batch ended differently, or one was wrong (`INVALID_RECORD`).
pub const INVALID_RECORD: i16 = 87;
/// An endpoint is full; `throttle_time_ms` is the wait (`THROTTLING_QUOTA_EXCEEDED`).
pub const THROTTLING_QUOTA_EXCEEDED: i16 = 89;

/// Bytes that are not what the protocol says; the connection they came on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {0}")]
pub struct Malformed(pub &'static str);
