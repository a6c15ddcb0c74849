//! Errors in the input.

use linnetcart_deployment_settings::SettingsError;
use std::io;

/// Why a batch cannot be answered. The process exits then, as the start of the next batch is not known.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// Reading or writing failed.
    #[error("pipe: {0}")]
    Pipe(#[from] io::Error),
    /// The input ended within a header.
    #[error("input ends within a batch's header")]
    TruncatedHeader,
    /// The length in the header is shorter than the clock time.
    #[error("batch {batch}: length {length} is too short for the clock time")]
    LengthWithoutClock { batch: u32, length: u32 },
    /// The input ended before the length in the header was read.
    #[error("batch {batch}: {received} bytes received, {expected} expected")]
    TruncatedBody { batch: u32, received: usize, expected: u32 },
    /// The header, the clock time or the frame of a record is too short.
    #[error("{0}")]
    Framing(RecordError),
    /// The fields of a record cannot be decoded.
    #[error("batch {batch}, record {record} (code {code}): {source}")]
    Record { batch: u32, record: u32, code: u8, source: RecordError },
    /// The length in the header covers more than the records.
    #[error("batch {batch}: {bytes} bytes after the last record")]
    TrailingBytes { batch: u32, bytes: usize },
}

/// Why one record cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    /// The record ends before a field.
    #[error("record too short: {expected} bytes expected, {remaining} remaining")]
    TooShort { expected: usize, remaining: usize },
    /// The settings of an instance are not JSON.
    #[error("settings: {0}")]
    SettingsJson(#[from] serde_json::Error),
    /// The settings of an instance are incomplete or invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// An event names a numbered list that no earlier record defined.
    #[error("numbered list {0} is not defined")]
    UnknownList(u16),
    /// The kind of an endpoint list event is not one of the wire's codes.
    #[error("endpoint list event {0} is unknown")]
    UnknownListEvent(u8),
    /// The outcome of an attempt or a health check is not one of the wire's codes.
    #[error("outcome {0} is unknown")]
    UnknownOutcome(u8),
    /// The status of an endpoint is not one of the wire's codes.
    #[error("phase {0} is unknown")]
    UnknownPhase(u8),
}
