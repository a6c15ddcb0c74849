//! Input that cannot be read.

use linnetcart_deployment_settings::SettingsError;
use std::io;

/// Why a batch cannot be answered. The process ends with it: where the next batch begins is not known.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    #[error("pipe: {0}")]
    Pipe(#[from] io::Error),
    #[error("input ends within a batch's header")]
    HeaderCutOff,
    #[error("batch {batch}: length {length} leaves no room for the clock")]
    NoRoomForClock { batch: u32, length: u32 },
    #[error("batch {batch}: {received} bytes instead of {expected}")]
    BodyCutOff { batch: u32, received: usize, expected: u32 },
    #[error("{0}")]
    Framing(RecordError),
    #[error("batch {batch}, record {record} (code {code}): {source}")]
    Record { batch: u32, record: u32, code: u8, source: RecordError },
    #[error("batch {batch}: {bytes} bytes after the last record")]
    BytesLeftOver { batch: u32, bytes: usize },
}

/// Why one record cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    #[error("record too short: {wanted} bytes wanted, {left} left")]
    TooShort { wanted: usize, left: usize },
    #[error("facts: {0}")]
    SettingsJson(#[from] serde_json::Error),
    #[error("facts: {0}")]
    Settings(#[from] SettingsError),
    #[error("list {0} was never given")]
    UnknownList(u16),
    #[error("news of kind {0} is unknown")]
    UnknownListEvent(u8),
    #[error("outcome {0} is unknown")]
    UnknownOutcome(u8),
    #[error("phase {0} is unknown")]
    UnknownPhase(u8),
}
