//! An append-only log that survives its process. It knows frames and files; it never knows what records mean.
//!
//! A file begins with its header, given twice; then come frames. Checksums begin from a salt of the file's own,
//! so that no bytes handed in from outside can pass for a frame. A file is replaced as a whole: the next one
//! begins with the records that are still wanted and a frame that says that these are all; only then is the one
//! before removed. So the newest file with such a frame holds everything.
//!
//! What is written outlasts the process without a sync; it is not meant to outlast the machine.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod directory;
mod error;
mod file;
mod frame;

pub use directory::{JournalDirectory, OpenedJournal};
pub use error::{FileDamage, JournalError};
pub use file::{read_frames, ReadFrames};
pub use frame::{Record, RecordRef, Salt, COMPLETE, FRAME_OVERHEAD_BYTES, MAX_PAYLOAD_BYTES};
