//! Errors of the adapter: failed pipes and input that does not follow the wire format.

use linnetcart_deployment_settings::SettingsError;
use std::io;

/// Why a batch cannot be answered. Every such error ends the process, as the process cannot tell where the
/// next batch begins.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// Reading standard input or writing standard output failed.
    #[error("standard input or output failed: {0}")]
    Pipe(#[from] io::Error),
    /// The input ended within a batch header.
    #[error("input ends within a batch header")]
    TruncatedHeader,
    /// The length in the header is less than the size of the clock time.
    #[error("batch {batch}: length {length} is too short for the clock time")]
    LengthWithoutClock { batch: u32, length: u32 },
    /// The input ended before as many bytes as the header announces.
    #[error("batch {batch}: {received} bytes received, {expected} expected")]
    TruncatedBody { batch: u32, received: usize, expected: u32 },
    /// The header, the clock time, or the code and length of a record are cut short.
    #[error("{0}")]
    Framing(RecordError),
    /// The fields of a record cannot be decoded.
    #[error("batch {batch}, record {record} (code {code}): {source}")]
    Record { batch: u32, record: u32, code: u8, source: RecordError },
    /// The length in the header covers more bytes than the counted records.
    #[error("batch {batch}: {bytes} bytes after the last record")]
    TrailingBytes { batch: u32, bytes: usize },
}

/// Why a record cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    /// The record ends before a field.
    #[error("record too short: {expected} bytes expected, {remaining} remaining")]
    TooShort { expected: usize, remaining: usize },
    /// The settings of an instance are not valid JSON.
    #[error("settings are not valid JSON: {0}")]
    SettingsJson(#[from] serde_json::Error),
    /// The settings of an instance are JSON, but cannot be used.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    /// An event refers to a numbered list that no earlier record defined.
    #[error("numbered list {0} is not defined")]
    UnknownList(u16),
    /// The kind of an endpoint list event is not a code of the wire format.
    #[error("unknown kind of endpoint list event: {0}")]
    UnknownListEvent(u8),
    /// The outcome of an attempt or a health check is not a code of the wire format.
    #[error("unknown outcome code: {0}")]
    UnknownOutcome(u8),
    /// The status of an endpoint is not a code of the wire format.
    #[error("unknown phase of an endpoint: {0}")]
    UnknownPhase(u8),
}
