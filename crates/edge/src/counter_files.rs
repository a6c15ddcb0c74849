//! The files of the counter store: a snapshot, and logs of the changes since.
//!
//! Frames are appended to a log by the event loop. A thread of its own brings the files to disk, so that no
//! message waits for that. What the counters mean is up to [`linnetcart_telemetry::counts`].

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

/// A log that is longer than this is followed by a new one, after another snapshot.
const MAX_LOG_BYTES: u64 = 16 << 20;
/// The name of the thread.
const THREAD_NAME: &str = "counts";

/// Why the counters cannot be saved.
#[derive(Debug, thiserror::Error)]
pub enum CounterFileError {
    /// A snapshot cannot be written.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A log cannot be created or synced, or the thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The thread that brings the files to disk has ended.
    #[error("the thread that keeps the counts is gone")]
    ThreadGone,
    /// No log is open.
    #[error("there is no log")]
    NoLog,
}

/// The open log, and the thread that brings the files to disk.
#[derive(Debug)]
pub struct CounterFiles {
    dir: PathBuf,
    log: Option<File>,
    log_number: u64,
    log_bytes: u64,
    /// Whether a write failed. Frames after an incomplete one could not be read back.
    log_broken: bool,
    jobs: Sender<Job>,
    finished: Receiver<FinishedSync>,
}

impl CounterFiles {
    /// Writes a snapshot, and opens a log with this number that begins with `log_head`.
    pub fn create(
        dir: &Path,
        log_number: u64,
        counters: Saved,
        log_head: &[u8],
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
        files.open_log(log_head)?;
        let dir = dir.to_owned();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || run_jobs(&dir, &job_receiver, &result_sender))?;
        Ok(files)
    }

    fn open_log(&mut self, head: &[u8]) -> io::Result<()> {
        let mut log = File::create(self.dir.join(log_name(self.log_number)))?;
        log.write_all(head)?;
        self.log = Some(log);
        self.log_bytes = 0;
        self.log_broken = false;
        Ok(())
    }

    /// Appends a frame to the log. The frame survives the end of the process from then on, but not that of
    /// the host before the next sync.
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

    /// Starts to sync the log. [`CounterFiles::finished`] returns the result under this number. A broken log,
    /// or one that is too long, is first followed by a new one and a snapshot.
    pub fn sync(
        &mut self,
        number: u64,
        counters: impl FnOnce() -> Saved,
        log_head: &[u8],
    ) -> Result<(), CounterFileError> {
        if self.log_broken {
            self.replace_broken_log(counters, log_head)?;
        } else if self.log_bytes > MAX_LOG_BYTES {
            self.rotate_long_log(counters, log_head)?;
        }
        let log = self.log.as_ref().ok_or(CounterFileError::NoLog)?.try_clone()?;
        self.jobs.send(Job::Sync { log, number }).map_err(|_| CounterFileError::ThreadGone)
    }

    /// Opens a new log and writes the snapshot at once, because the broken log lacks counts that only the
    /// snapshot contains.
    fn replace_broken_log(
        &mut self,
        counters: impl FnOnce() -> Saved,
        log_head: &[u8],
    ) -> Result<(), CounterFileError> {
        self.open_next_log(log_head)?;
        let written = write_snapshot(&self.dir, self.log_number, counters());
        self.log_broken = written.is_err();
        Ok(written?)
    }

    /// Opens a new log and has the thread write the snapshot. The long log is valid until the snapshot is in
    /// place.
    fn rotate_long_log(
        &mut self,
        counters: impl FnOnce() -> Saved,
        log_head: &[u8],
    ) -> Result<(), CounterFileError> {
        self.open_next_log(log_head)?;
        let job = Job::Snapshot { next_log: self.log_number, counters: Box::new(counters()) };
        self.jobs.send(job).map_err(|_| CounterFileError::ThreadGone)
    }

    fn open_next_log(&mut self, log_head: &[u8]) -> Result<(), CounterFileError> {
        self.log_number += 1;
        if let Err(error) = self.open_log(log_head) {
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
