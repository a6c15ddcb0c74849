//! The journal's file as the shell keeps it: appends, replacement by a snapshot, and writes that fail.

use crate::core::Core;
use crate::records::Record;
use linnetcart::Time;
use linnetcart_journal::{JournalDirectory, JournalError, Record as RawRecord, RecordRef, Salt};
use std::time::SystemTime;

/// The file is replaced when it has grown by this part of its capacity.
const GROWTH_DIVISOR: u64 = 4;
/// The salt of a file is the wall clock, rotated so that the bits that change spread over all of it.
const SALT_ROTATION_BITS: u32 = 17;

/// The wall clock, nanoseconds since the Unix epoch.
pub fn wall_clock() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}

/// What came of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// All records are written.
    Written,
    /// The file was replaced by a snapshot that has all records in it.
    Replaced,
    /// Nothing could be written.
    Failed {
        /// Why.
        error: JournalError,
        /// For how long now.
        failing_for: Time,
    },
}

/// The journal.
pub struct JournalWriter {
    directory: JournalDirectory,
    /// The file's size after it was last replaced.
    base_bytes: u64,
    max_growth_bytes: u64,
    /// Since when nothing can be written.
    unwritable_since: Option<Time>,
}

impl JournalWriter {
    /// Begins a new file with the core's state.
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

    /// The file's size.
    pub fn size(&self) -> u64 {
        self.directory.size()
    }

    /// Writes an iteration's records. What the core holds has them in it, so a new file makes up for an append that
    /// failed.
    pub fn write(&mut self, records: &[Record], core: &Core, now: impl FnOnce() -> Time) -> WriteOutcome {
        if self.unwritable_since.is_none() && (records.is_empty() || self.append(records)) {
            return WriteOutcome::Written;
        }
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

    /// True: all is written, and the file has not outgrown its bound.
    fn append(&mut self, records: &[Record]) -> bool {
        let encoded: Vec<RawRecord> = records.iter().map(Record::encode).collect();
        let written = self.directory.append(encoded.iter().map(record_ref));
        written.is_ok() && self.directory.size() <= self.base_bytes + self.max_growth_bytes
    }
}

/// Begins a new file with the core's state.
fn replace(directory: &mut JournalDirectory, core: &Core) -> Result<(), JournalError> {
    let snapshot: Vec<RawRecord> = core.snapshot().iter().map(Record::encode).collect();
    let salt = Salt(wall_clock().rotate_left(SALT_ROTATION_BITS));
    directory.replace(salt, snapshot.iter().map(record_ref))
}

fn record_ref(record: &RawRecord) -> RecordRef<'_> {
    RecordRef { kind: record.kind, payload: &record.payload }
}
