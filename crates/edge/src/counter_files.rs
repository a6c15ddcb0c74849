//! The files of the counter store: a snapshot of all counts, and logs of the changes since (a write-ahead log
//! with checkpoints).
//!
//! The event loop appends frames to the log. A worker thread syncs the log and writes snapshots, so that no
//! message waits for the disk. The content of frames and snapshots belongs to
//! [`linnetcart_telemetry::counts`].

mod layout;
mod load;
mod worker;

pub use load::{load, DamagedCounters, LoadedCounters};
pub use worker::FinishedSync;

use crate::snapshot::SnapshotError;
use layout::{log_name, write_snapshot};
use linnetcart_telemetry::counts::Saved;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use worker::{run_jobs, Job};

/// Maximum length of a log, not counting its header. A longer log is rotated: a new log begins, and a
/// snapshot replaces the old one.
const MAX_LOG_BYTES: u64 = 16 << 20;
/// Name of the worker thread.
const THREAD_NAME: &str = "counts";

/// Why counters cannot be saved.
#[derive(Debug, thiserror::Error)]
pub enum CounterFileError {
    /// A snapshot cannot be written.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A log cannot be created or synced, or the worker thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The worker thread has ended.
    #[error("the thread that writes the counter files has ended")]
    WorkerEnded,
    /// No log is open.
    #[error("no counter log is open")]
    NoLog,
}

/// The open log, and the channels to the worker thread.
#[derive(Debug)]
pub struct CounterFiles {
    dir: PathBuf,
    log: Option<File>,
    log_number: u64,
    /// Length of the frames in the open log, in bytes.
    log_bytes: u64,
    /// Whether a write to the log failed. Frames after an incomplete one could not be replayed.
    log_broken: bool,
    jobs: Sender<Job>,
    finished: Receiver<FinishedSync>,
}

impl CounterFiles {
    /// Writes a snapshot of `counters`, opens the log `log_number`, which begins with `log_header`, and
    /// starts the worker thread.
    ///
    /// # Errors
    /// Fails if the snapshot or the log cannot be written, or the thread cannot be started.
    pub fn create(
        dir: &Path,
        log_number: u64,
        counters: Saved,
        log_header: &[u8],
    ) -> Result<CounterFiles, CounterFileError> {
        let (jobs, job_receiver) = channel();
        let (result_sender, finished) = channel();
        write_snapshot(dir, log_number, counters)?;
        let mut files = CounterFiles {
            dir: dir.to_owned(),
            log: None,
            log_number,
            log_bytes: 0,
            log_broken: false,
            jobs,
            finished,
        };
        files.open_log(log_header)?;
        let dir = dir.to_owned();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || run_jobs(&dir, &job_receiver, &result_sender))?;
        Ok(files)
    }

    fn open_log(&mut self, header: &[u8]) -> io::Result<()> {
        let mut log = File::create(self.dir.join(log_name(self.log_number)))?;
        log.write_all(header)?;
        self.log = Some(log);
        self.log_bytes = 0;
        self.log_broken = false;
        Ok(())
    }

    /// Appends a frame to the log. The frame then survives a crash of the process; it survives a crash of the
    /// host only after the next sync.
    pub fn append(&mut self, frame: &[u8]) {
        if self.log_broken {
            return;
        }
        let Some(log) = &mut self.log else { return };
        match log.write_all(frame) {
            Ok(()) => self.log_bytes += frame.len() as u64,
            Err(_) => self.log_broken = true,
        }
    }

    /// Has the worker thread sync the log; [`CounterFiles::finished`] returns the result under this number. A
    /// log that is broken or too long is rotated first: `counters` returns the counts for the snapshot, and
    /// the new log begins with `log_header`.
    ///
    /// # Errors
    /// Fails if the rotation fails, no log is open, or the worker thread has ended.
    pub fn sync(
        &mut self,
        number: u64,
        counters: impl FnOnce() -> Saved,
        log_header: &[u8],
    ) -> Result<(), CounterFileError> {
        if self.log_broken {
            self.replace_broken_log(counters, log_header)?;
        } else if self.log_bytes > MAX_LOG_BYTES {
            self.rotate_long_log(counters, log_header)?;
        }
        let log = self.log.as_ref().ok_or(CounterFileError::NoLog)?.try_clone()?;
        self.jobs.send(Job::Sync { log, number }).map_err(|_| CounterFileError::WorkerEnded)
    }

    /// Rotates a broken log. The broken log lacks frames whose counts only the snapshot contains, so the
    /// snapshot is written before the call returns.
    fn replace_broken_log(
        &mut self,
        counters: impl FnOnce() -> Saved,
        log_header: &[u8],
    ) -> Result<(), CounterFileError> {
        self.open_next_log(log_header)?;
        let written = write_snapshot(&self.dir, self.log_number, counters());
        self.log_broken = written.is_err();
        Ok(written?)
    }

    /// Rotates a log that is too long. The worker thread writes the snapshot; until it is in place, the
    /// previous snapshot and all logs since contain every count.
    fn rotate_long_log(
        &mut self,
        counters: impl FnOnce() -> Saved,
        log_header: &[u8],
    ) -> Result<(), CounterFileError> {
        self.open_next_log(log_header)?;
        let job = Job::Snapshot { next_log: self.log_number, counters: Box::new(counters()) };
        self.jobs.send(job).map_err(|_| CounterFileError::WorkerEnded)
    }

    /// Opens the log with the next number. If that fails, the present log counts as broken.
    fn open_next_log(&mut self, log_header: &[u8]) -> Result<(), CounterFileError> {
        self.log_number += 1;
        if let Err(error) = self.open_log(log_header) {
            self.log_number -= 1;
            self.log_broken = true;
            return Err(error.into());
        }
        Ok(())
    }

    /// Returns the syncs that finished since the last call.
    pub fn finished(&self) -> Vec<FinishedSync> {
        self.finished.try_iter().collect()
    }
}

#[cfg(test)]
mod tests;
