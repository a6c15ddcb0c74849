//! Names and formats of the counter files in the state directory: a snapshot and numbered logs.

use crate::snapshot::{encode_file, replace_file, SnapshotError};
use linnetcart_telemetry::counts::Saved;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::Path;

/// Magic word of a snapshot of the counters.
pub(super) const MAGIC: &str = "linnetcart-counts";
/// File name of the snapshot, and prefix of the names of logs.
pub(super) const FILE_NAME: &str = "counts";

/// Content of a snapshot of the counters.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CounterSnapshot {
    /// Number of the first log whose frames the snapshot does not include.
    #[serde(rename = "log")]
    pub(super) next_log: u64,
    /// All counts at the beginning of that log.
    #[serde(rename = "saved")]
    pub(super) counters: Saved,
}

/// Returns the file name of a log.
pub(super) fn log_name(number: u64) -> String {
    format!("{FILE_NAME}.{number}.log")
}

/// Returns the number of the log with this file name, or `None` for another file.
fn log_number(file_name: &str) -> Option<u64> {
    file_name.strip_prefix(FILE_NAME)?.strip_prefix('.')?.strip_suffix(".log")?.parse().ok()
}

/// Returns the numbers of the logs in the directory, in ascending order.
pub(super) fn log_numbers(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let name = entry?.file_name();
        numbers.extend(name.to_str().and_then(log_number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Writes a snapshot and deletes the logs whose frames it includes.
pub(super) fn write_snapshot(dir: &Path, next_log: u64, counters: Saved) -> Result<(), SnapshotError> {
    let bytes = encode_file(MAGIC, &CounterSnapshot { next_log, counters })?;
    replace_file(dir, FILE_NAME, &bytes)?;
    // A log that cannot be deleted does no harm: its number is below `next_log`, so it is never replayed.
    for old in log_numbers(dir).unwrap_or_default() {
        if old < next_log {
            let _ = fs::remove_file(dir.join(log_name(old)));
        }
    }
    Ok(())
}
