//! The worker thread: syncs logs and writes snapshots, so that the event loop does not wait for the disk.

use super::layout::write_snapshot;
use super::CounterFileError;
use linnetcart_telemetry::counts::Saved;
use std::fs::File;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender};

/// A job of the worker thread.
pub(super) enum Job {
    /// Syncs the data of a log to disk. `number` identifies the sync in its result.
    Sync { log: File, number: u64 },
    /// Writes a snapshot of the counts, which includes all logs before `next_log`.
    Snapshot { next_log: u64, counters: Box<Saved> },
}

/// The result of a sync.
#[derive(Debug)]
pub struct FinishedSync {
    /// Number with which the sync was requested.
    pub number: u64,
    /// `Ok` if all frames that were appended before the sync are on disk.
    pub result: Result<(), CounterFileError>,
}

/// Runs jobs in the order of their arrival, until the channel of jobs or that of results is closed.
pub(super) fn run_jobs(dir: &Path, jobs: &Receiver<Job>, results: &Sender<FinishedSync>) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Sync { log, number } => {
                let result = log.sync_data().map_err(CounterFileError::from);
                if results.send(FinishedSync { number, result }).is_err() {
                    return;
                }
            }
            // If this fails, the previous snapshot and all logs since stay in place, and contain every count.
            Job::Snapshot { next_log, counters } => {
                if let Err(error) = write_snapshot(dir, next_log, *counters) {
                    tracing::warn!(%error, "counter snapshot not written");
                }
            }
        }
    }
}
