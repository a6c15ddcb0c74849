//! The journal writer: appends records, replaces a file that has grown by a snapshot of the core's state, and
//! retries while the journal cannot be written.

use super::clocks::wall_clock;
use crate::config::Limits;
use crate::core::{Core, MILLISECOND};
use crate::records::{ClockReference, Record};
use linnetcart::Time;
use linnetcart_journal::{JournalDirectory, JournalError, Record as RawRecord, RecordRef, Salt};

/// A file is replaced by a snapshot once it has grown by more than capacity / `GROWTH_DIVISOR` bytes, or by the memory
/// for requests: the next process reads the file before it takes any.
const GROWTH_DIVISOR: u64 = 4;
/// A file's salt is the wall clock in nanoseconds, rotated left by this number of bits to spread its changing
/// bits over the salt.
const SALT_ROTATION_BITS: u32 = 17;
/// Interval of the retries while the journal cannot be written, in nanoseconds. Each retry writes a whole
/// snapshot.
const RETRY_INTERVAL: Time = 50 * MILLISECOND;
/// Interval of the tries to replace a file that has grown beyond its limit, or to remove old files; in
/// nanoseconds.
const MAINTENANCE_INTERVAL: Time = 200 * MILLISECOND;

/// The outcome of [`JournalWriter::write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All records are written.
    Written,
    /// The records are not written, and neither are the records of later iterations until a write returns
    /// [`WriteOutcome::Written`].
    Failed,
}

/// Whether records can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterState {
    /// This process has not created a file yet.
    NotCreated,
    /// Records can be written.
    Writable,
    /// Records cannot be written since `since`; the next retry is due at `retry_at`. Both are times of the
    /// courier's clock.
    Failing { since: Time, retry_at: Time },
}

/// Writes the journal, limits the growth of its files and retries failed writes.
pub struct JournalWriter {
    directory: JournalDirectory,
    clock: ClockReference,
    state: WriterState,
    /// Size of the current file when it was created, in bytes.
    base_bytes: u64,
    max_growth_bytes: u64,
    /// Earliest time of the next replacement or removal of files, on the courier's clock.
    maintenance_at: Time,
}

impl JournalWriter {
    /// Creates a writer whose first write creates a new file.
    pub fn new(directory: JournalDirectory, limits: &Limits, clock: ClockReference) -> JournalWriter {
        let max_growth_bytes = limits.memory_budget().requests as u64;
        JournalWriter {
            directory,
            clock,
            state: WriterState::NotCreated,
            base_bytes: 0,
            max_growth_bytes: max_growth_bytes.min(limits.disk_bytes() / GROWTH_DIVISOR),
            maintenance_at: 0,
        }
    }

    /// Returns the size of the current journal file in bytes.
    pub fn size(&self) -> u64 {
        self.directory.size()
    }

    /// Returns the monotonic time at which [`JournalWriter::write`] must be called even without records, to
    /// create the first file or to retry after a failure; [`Time::MAX`] if neither is due.
    pub fn next_wake(&self) -> Time {
        match self.state {
            WriterState::NotCreated => 0,
            WriterState::Writable => Time::MAX,
            WriterState::Failing { retry_at, .. } => retry_at,
        }
    }

    /// Writes the records of one iteration. While writes fail, a retry every [`RETRY_INTERVAL`] writes a
    /// snapshot of the core's state instead, which includes these records.
    pub fn write(&mut self, records: &[Record], core: &Core, now: Time) -> WriteOutcome {
        let result = match self.state {
            WriterState::Writable if records.is_empty() => Ok(()),
            WriterState::Writable => self.append(records).or_else(|_| self.write_snapshot(core)),
            WriterState::Failing { retry_at, .. } if now < retry_at => return WriteOutcome::Failed,
            WriterState::NotCreated | WriterState::Failing { .. } => self.write_snapshot(core),
        };
        match result {
            Ok(()) => self.handle_success(core, now),
            Err(error) => self.handle_failure(&error, now),
        }
    }

    fn handle_success(&mut self, core: &Core, now: Time) -> WriteOutcome {
        if let WriterState::Failing { since, .. } = self.state {
            let failed_for_ms = (now - since) / MILLISECOND;
            tracing::info!(failed_for_ms, "journal writable");
        }
        self.state = WriterState::Writable;
        self.maintain(core, now);
        WriteOutcome::Written
    }

    /// Schedules a retry. Only the first of consecutive failures is logged.
    fn handle_failure(&mut self, error: &JournalError, now: Time) -> WriteOutcome {
        let since = match self.state {
            WriterState::Failing { since, .. } => since,
            WriterState::NotCreated | WriterState::Writable => {
                tracing::error!(%error, "journal unwritable");
                now
            }
        };
        self.state = WriterState::Failing { since, retry_at: now + RETRY_INTERVAL };
        WriteOutcome::Failed
    }

    fn append(&mut self, records: &[Record]) -> Result<(), JournalError> {
        let encoded: Vec<RawRecord> = records.iter().map(Record::encode).collect();
        self.directory.append(encoded.iter().map(record_ref))
    }

    /// Writes a snapshot of the core's state to a new file or, if none can be created, to the current one.
    fn write_snapshot(&mut self, core: &Core) -> Result<(), JournalError> {
        let snapshot = self.snapshot(core);
        let replaced = self.directory.replace(new_salt(), snapshot.iter().map(record_ref));
        if let Err(error) = replaced {
            let appended = self.directory.append_snapshot(snapshot.iter().map(record_ref));
            return appended.map_err(|_| error);
        }
        self.base_bytes = self.directory.size();
        Ok(())
    }

    /// Replaces a file that has grown beyond its limit, and removes old files. After a failure, the current
    /// file stays in use, and the next try follows after [`MAINTENANCE_INTERVAL`].
    fn maintain(&mut self, core: &Core, now: Time) {
        let has_outgrown = self.directory.size() > self.base_bytes + self.max_growth_bytes;
        if now < self.maintenance_at || !(has_outgrown || self.directory.has_old_files()) {
            return;
        }
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        self.directory.remove_old_files();
        if !has_outgrown {
            return;
        }
        let snapshot = self.snapshot(core);
        match self.directory.replace(new_salt(), snapshot.iter().map(record_ref)) {
            Ok(()) => {
                self.base_bytes = self.directory.size();
                self.maintenance_at = now;
            }
            Err(error) => tracing::debug!(%error, "journal file not replaced, the current one stays in use"),
        }
    }

    fn snapshot(&self, core: &Core) -> Vec<RawRecord> {
        let mut records = vec![Record::ClockReference(self.clock).encode()];
        records.extend(core.snapshot().map(|record| record.encode()));
        records
    }
}

fn new_salt() -> Salt {
    Salt(wall_clock().rotate_left(SALT_ROTATION_BITS))
}

fn record_ref(record: &RawRecord) -> RecordRef<'_> {
    RecordRef { kind: record.kind, payload: &record.payload }
}
