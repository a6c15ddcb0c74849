//! The journal writer: appends, replacement by a snapshot, and failed writes.

use crate::core::Core;
use crate::records::Record;
use linnetcart::Time;
use linnetcart_journal::{JournalDirectory, JournalError, Record as RawRecord, RecordRef, Salt};
use std::time::SystemTime;

/// Fraction of the journal's capacity by which a file may grow before it is replaced by a snapshot.
const GROWTH_DIVISOR: u64 = 4;
/// A file's salt is the wall clock, rotated by this number of bits to spread its changing bits over the salt.
const SALT_ROTATION_BITS: u32 = 17;

/// Reads the wall clock: nanoseconds since the Unix epoch.
pub fn wall_clock() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}

/// The outcome of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// All records are written.
    Written,
    /// The file was replaced by a snapshot, which includes all records.
    Replaced,
    /// The file had to be replaced by a snapshot and could not be: the records may be missing.
    Failed {
        /// The error of this write.
        error: JournalError,
        /// How long writes have been failing, in nanoseconds.
        failing_for: Time,
    },
}

/// The size of the file after an append that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Growth {
    /// The file is within its growth limit.
    WithinLimit,
    /// The file has outgrown its limit and has to be replaced.
    Outgrown,
}

/// The journal and its growth.
pub struct JournalWriter {
    directory: JournalDirectory,
    /// The file's size when it was begun.
    base_bytes: u64,
    max_growth_bytes: u64,
    /// When writes began to fail; `None` while they succeed.
    unwritable_since: Option<Time>,
}

impl JournalWriter {
    /// Begins a new file with a snapshot of the core's state.
    pub fn begin(
        mut directory: JournalDirectory,
        capacity_bytes: u64,
        core: &Core,
    ) -> Result<JournalWriter, JournalError> {
        replace(&mut directory, core)?;
        let base_bytes = directory.size();
        let max_growth_bytes = capacity_bytes / GROWTH_DIVISOR;
        Ok(JournalWriter { directory, base_bytes, max_growth_bytes, unwritable_since: None })
    }

    /// Returns the size of the file in bytes.
    pub fn size(&self) -> u64 {
        self.directory.size()
    }

    /// Writes the records of an iteration: appends them, or replaces the file if that fails or the file has
    /// outgrown its limit. After a failed write, also an iteration without records replaces the file.
    pub fn write(&mut self, records: &[Record], core: &Core, now: impl FnOnce() -> Time) -> WriteOutcome {
        if self.unwritable_since.is_none()
            && (records.is_empty() || matches!(self.append(records), Ok(Growth::WithinLimit)))
        {
            return WriteOutcome::Written;
        }
        // The core's state already includes these records, so a snapshot replaces a failed append.
        let replaced = replace(&mut self.directory, core);
        let now = now();
        match replaced {
            Ok(()) => {
                self.unwritable_since = None;
                self.base_bytes = self.directory.size();
                WriteOutcome::Replaced
            }
            Err(error) => {
                let since = *self.unwritable_since.get_or_insert(now);
                WriteOutcome::Failed { error, failing_for: now - since }
            }
        }
    }

    fn append(&mut self, records: &[Record]) -> Result<Growth, JournalError> {
        let encoded: Vec<RawRecord> = records.iter().map(Record::encode).collect();
        self.directory.append(encoded.iter().map(record_ref))?;
        if self.directory.size() <= self.base_bytes + self.max_growth_bytes {
            Ok(Growth::WithinLimit)
        } else {
            Ok(Growth::Outgrown)
        }
    }
}

/// Begins a new file with a snapshot of the core's state.
fn replace(directory: &mut JournalDirectory, core: &Core) -> Result<(), JournalError> {
    let snapshot: Vec<RawRecord> = core.snapshot().iter().map(Record::encode).collect();
    let salt = Salt(wall_clock().rotate_left(SALT_ROTATION_BITS));
    directory.replace(salt, snapshot.iter().map(record_ref))
}

fn record_ref(record: &RawRecord) -> RecordRef<'_> {
    RecordRef { kind: record.kind, payload: &record.payload }
}
