//! Loading of the counters of an earlier run.

use super::layout::{log_name, log_numbers, CounterSnapshot, FILE_NAME, MAGIC};
use crate::snapshot::{decode_file, move_aside, SnapshotError};
use linnetcart_telemetry::RestoredState;
use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A damaged snapshot of the counters, which was renamed.
#[derive(Debug)]
pub struct DamagedCounters {
    /// What is wrong with the snapshot.
    pub error: SnapshotError,
    /// Path that the damaged snapshot was renamed to.
    pub moved_to: PathBuf,
}

impl fmt::Display for DamagedCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the counts were set aside as {}: {}", self.moved_to.display(), self.error)
    }
}

/// The counters of an earlier run.
#[derive(Debug)]
pub struct LoadedCounters {
    /// The counts of the snapshot, and the logs to replay after it.
    pub restored: RestoredState,
    /// Number for the next log, which no log has had before.
    pub next_log: u64,
    /// The snapshot if it was damaged, in which case nothing is restored; otherwise `None`.
    pub damaged: Option<DamagedCounters>,
}

/// The result of reading the snapshot.
enum FoundSnapshot {
    Missing,
    Good(CounterSnapshot),
    Damaged(DamagedCounters),
}

/// Loads the counters of a state directory, which is created if it does not exist.
///
/// # Errors
/// Fails if the directory cannot be created, the directory or a file in it cannot be read, or a damaged
/// snapshot cannot be renamed. Damage itself is no error; it is reported in [`LoadedCounters::damaged`].
pub fn load(dir: &Path) -> io::Result<LoadedCounters> {
    fs::create_dir_all(dir)?;
    let (snapshot, damaged) = match load_snapshot(dir)? {
        FoundSnapshot::Missing => (None, None),
        FoundSnapshot::Good(snapshot) => (Some(snapshot), None),
        FoundSnapshot::Damaged(damaged) => (None, Some(damaged)),
    };
    let log_numbers = log_numbers(dir)?;
    let after_last_log = log_numbers.last().map_or(0, |last| last + 1);
    let next_log = after_last_log.max(snapshot.as_ref().map_or(0, |snapshot| snapshot.next_log));
    // Logs contain changes only, so they cannot be replayed without their snapshot.
    let first_log = snapshot.as_ref().map_or(u64::MAX, |snapshot| snapshot.next_log);
    let mut logs = Vec::new();
    for number in log_numbers {
        if number >= first_log {
            logs.push(fs::read(dir.join(log_name(number)))?);
        }
    }
    let saved = snapshot.map(|snapshot| snapshot.counters);
    Ok(LoadedCounters { restored: RestoredState { saved, logs }, next_log, damaged })
}

/// Reads the snapshot. A damaged one is renamed.
fn load_snapshot(dir: &Path) -> io::Result<FoundSnapshot> {
    let bytes = match fs::read(dir.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(FoundSnapshot::Missing),
        Err(error) => return Err(error),
    };
    match decode_file::<CounterSnapshot>(MAGIC, &bytes) {
        Ok(snapshot) => Ok(FoundSnapshot::Good(snapshot)),
        Err(error) => {
            let moved_to = move_aside(dir, FILE_NAME)?;
            Ok(FoundSnapshot::Damaged(DamagedCounters { error, moved_to }))
        }
    }
}
