//! Errors of a journal, and damage in its files.

use std::io;
use std::path::PathBuf;

/// Why a journal could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Records were appended before the first
    /// [`JournalDirectory::replace`](crate::JournalDirectory::replace).
    #[error("records were appended before this process created its journal file")]
    NoFile,
    /// The records exceed the maximum of one write, or the remaining capacity of the directory.
    #[error("{bytes} bytes of records exceed the {available} bytes that may be written")]
    NoCapacity {
        /// Number of bytes to write.
        bytes: u64,
        /// Number of bytes that may be written.
        available: u64,
    },
    /// The operating system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl JournalError {
    /// Whether a retry may succeed: always, unless the directory is missing, inaccessible or read-only.
    pub fn is_transient(&self) -> bool {
        match self {
            JournalError::NoFile | JournalError::NoCapacity { .. } => true,
            JournalError::Io(error) => !matches!(
                error.kind(),
                io::ErrorKind::NotFound
                    | io::ErrorKind::PermissionDenied
                    | io::ErrorKind::NotADirectory
                    | io::ErrorKind::ReadOnlyFilesystem
            ),
        }
    }
}

/// Bytes of a journal file that are not part of a valid frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileDamage {
    /// The file ends with invalid bytes: a torn write, or damage.
    #[error("{}: the last {bytes} bytes are not a valid record", path.display())]
    TornEnd {
        /// Path of the file.
        path: PathBuf,
        /// Number of invalid bytes at the end of the file.
        bytes: usize,
    },
    /// Valid records follow the invalid bytes.
    #[error("{}: {bytes} bytes are damaged", path.display())]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Number of damaged bytes: invalid bytes before a valid frame, and control frames that cannot be
        /// decoded.
        bytes: usize,
    },
}
