//! The thread that syncs logs and writes snapshots, so that the event loop never waits for the disk.

use super::layout::write_snapshot;
use super::CounterFileError;
use linnetcart_telemetry::counts::Saved;
use std::fs::File;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender};

/// A job of the thread.
pub(super) enum Job {
    /// Syncs a log. `number` identifies the request.
    Sync { log: File, number: u64 },
    /// Writes a snapshot that includes all logs before `next_log`.
    Snapshot { next_log: u64, counters: Box<Saved> },
}

/// A sync that has finished.
#[derive(Debug)]
pub struct FinishedSync {
    /// The number that it was requested with.
    pub number: u64,
    /// Whether the log is on disk.
    pub result: Result<(), CounterFileError>,
}

/// Runs the jobs in their order, until the channel of jobs or that of results is closed.
pub(super) fn run_jobs(dir: &Path, jobs: &Receiver<Job>, results: &Sender<FinishedSync>) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Sync { log, number } => {
                let result = log.sync_data().map_err(CounterFileError::from);
                if results.send(FinishedSync { number, result }).is_err() {
                    return;
                }
            }
            // If this fails, the logs stay in place and contain everything that the snapshot would.
            Job::Snapshot { next_log, counters } => {
                if let Err(error) = write_snapshot(dir, next_log, *counters) {
                    tracing::warn!(%error, "counter snapshot not written");
                }
            }
        }
    }
}
