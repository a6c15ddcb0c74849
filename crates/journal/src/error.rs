//! Errors of a journal, and damage in its files.

use std::io;
use std::path::PathBuf;

/// Why a journal could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Records were appended before the first
    /// [`JournalDirectory::replace`](crate::JournalDirectory::replace).
    #[error("the journal has no file yet")]
    NoFile,
    /// The records do not fit into what may be written at once, or into the capacity of the directory.
    #[error("{bytes} bytes of records do not fit into the {available} that are left")]
    NoCapacity {
        /// Number of bytes.
        bytes: u64,
        /// How many bytes may be written.
        available: u64,
    },
    /// The operating system reports an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl JournalError {
    /// Whether the error may be over soon: anything but a directory that is not there or not accessible.
    pub fn is_momentary(&self) -> bool {
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

/// Bytes of a journal's file that are not a valid record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileDamage {
    /// The file ends with invalid bytes: an interrupted write, or damage.
    #[error("{}: {bytes} bytes at the end are no record", path.display())]
    TornEnd {
        /// The file.
        path: PathBuf,
        /// Number of bytes.
        bytes: usize,
    },
    /// Valid records follow the invalid bytes.
    #[error("{}: {bytes} bytes are damaged", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Number of bytes.
        bytes: usize,
    },
}
