//! Error codes of the protocol that linnetcart gives or acts on, under the protocol's own names, and why these.
//!
//! - [`NOT_ENOUGH_REPLICAS`] rejects: librdkafka files it under "retry, message not persisted", and the JVM client
//!   raises a retriable exception for it. It is the one code that both take for "harmless to submit again".
//! - [`UNKNOWN_SERVER_ERROR`] fails: neither client retries it, and neither claims that the message was not
//!   persisted.
//! - [`INVALID_RECORD`] is final for both clients, and from Produce 8 on it carries a reason for each record.

/// No error: served.
pub const NONE: i16 = 0;
/// Failed: the message may have taken effect, and the client does not retry.
pub const UNKNOWN_SERVER_ERROR: i16 = -1;
/// A batch's checksum or form is wrong.
pub const CORRUPT_MESSAGE: i16 = 2;
/// The topic is in no settings, or the partition in no endpoint list.
pub const UNKNOWN_TOPIC_OR_PARTITION: i16 = 3;
/// The partition has no endpoint at present.
pub const LEADER_NOT_AVAILABLE: i16 = 5;
/// A record or batch is larger than the maximum.
pub const MESSAGE_TOO_LARGE: i16 = 10;
/// Rejected: nothing was persisted, and stock clients retry.
pub const NOT_ENOUGH_REPLICAS: i16 = 19;
/// Nothing can be read here.
pub const TOPIC_AUTHORIZATION_FAILED: i16 = 29;
/// `acks` that cannot carry a final answer.
pub const INVALID_REQUIRED_ACKS: i16 = 21;
/// The version is not offered.
pub const UNSUPPORTED_VERSION: i16 = 35;
/// The request contradicts itself, or is empty.
pub const INVALID_REQUEST: i16 = 42;
/// Transactions are not offered.
pub const TRANSACTIONAL_ID_AUTHORIZATION_FAILED: i16 = 53;
/// Compressed batches are not read.
pub const UNSUPPORTED_COMPRESSION_TYPE: i16 = 76;
/// The records of a batch ended differently, or one was invalid.
pub const INVALID_RECORD: i16 = 87;
/// An endpoint is at its limit; `throttle_time_ms` says how long to wait.
pub const THROTTLING_QUOTA_EXCEEDED: i16 = 89;

/// Bytes that are not what the protocol says, by the part of the message. The connection that they came on is
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed {0}")]
pub struct Malformed(pub &'static str);
