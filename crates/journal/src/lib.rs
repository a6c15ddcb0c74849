//! An append-only log of records in files, which the next process reads. It never interprets a record.
//!
//! A file begins with two copies of its header, followed by frames. All checksums are seeded with the file's
//! own salt, so that a payload or another file's bytes cannot be mistaken for a frame. A file is replaced as
//! a whole: the next file begins with the records that are still needed and a frame that marks it as
//! complete; only then is the previous file removed. The newest complete file therefore holds all records.
//!
//! Records that are appended together are one frame and are valid together or not at all, also after a torn
//! write. An incomplete file is ignored if an older one is complete: the older one holds all records, also
//! those that were written after the failed attempt to replace it.
//!
//! Writes are not followed by `fsync`: records survive a crash of the process, but not necessarily one of
//! the machine.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod directory;
mod error;
mod file;
mod frame;

pub use directory::{JournalDirectory, OpenedJournal};
pub use error::{FileDamage, JournalError};
pub use file::{read_frames, ReadFrames};
pub use frame::{
    Record, RecordRef, Salt, CONTROL_KIND, FRAME_OVERHEAD_BYTES, MAX_BATCH_BYTES, MAX_PAYLOAD_BYTES,
};
