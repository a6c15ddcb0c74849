//! What can go wrong with a journal.

use std::io;
use std::path::PathBuf;

/// Why records could not be appended, or a file not be begun.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Records were appended before the first [`JournalDirectory::replace`](crate::JournalDirectory::replace).
    #[error("the journal has no file yet")]
    NoFile,
    /// The system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Bytes of a journal's file that are no record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileDamage {
    /// The file ends with them: a write that its process did not live to finish, or damage.
    #[error("{}: {bytes} bytes at the end are no record", path.display())]
    TornEnd {
        /// The file.
        path: PathBuf,
        /// Number of bytes.
        bytes: usize,
    },
    /// Records follow them.
    #[error("{}: {bytes} bytes are damaged", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Number of bytes.
        bytes: usize,
    },
}
