//! The files of the counter store: a snapshot, and logs of what was counted since. A thread of its own brings
//! them to disk, so that no message waits for it.

use crate::snapshot::{decode_file, encode_file, move_aside, replace_file, SnapshotError};
use linnetcart_telemetry::counts::Saved;
use linnetcart_telemetry::RestoredState;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

/// The first word of a snapshot of the counters.
const MAGIC: &str = "linnetcart-counts";
const FILE_NAME: &str = "counts";
/// A log that is longer is followed by a new one after another snapshot.
const MAX_LOG_BYTES: u64 = 16 << 20;

/// Why counters cannot be kept.
#[derive(Debug, thiserror::Error)]
pub enum CounterFileError {
    /// A snapshot cannot be written.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A log cannot be made or brought to disk, or the thread cannot be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The thread that brings the files to disk has ended.
    #[error("the thread that keeps the counts is gone")]
    ThreadGone,
    /// No log is open.
    #[error("there is no log")]
    NoLog,
}

/// A snapshot, and the number of the log that goes on from it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CounterSnapshot {
    #[serde(rename = "log")]
    next_log: u64,
    #[serde(rename = "saved")]
    counters: Saved,
}

/// A snapshot that is damaged and was moved aside.
#[derive(Debug)]
pub struct DamagedCounters {
    /// What is wrong with it.
    pub error: SnapshotError,
    /// Where it is now.
    pub moved_to: PathBuf,
}

impl fmt::Display for DamagedCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the counts were set aside as {}: {}", self.moved_to.display(), self.error)
    }
}

/// What an earlier run left.
#[derive(Debug)]
pub struct LoadedCounters {
    /// The snapshot and the logs since.
    pub restored: RestoredState,
    /// The number of the next log; it was never used.
    pub next_log: u64,
    /// The snapshot was damaged.
    pub damaged: Option<DamagedCounters>,
}

/// Reads what an earlier run left in a directory, which is made if it is not there.
pub fn load(dir: &Path) -> io::Result<LoadedCounters> {
    fs::create_dir_all(dir)?;
    let mut snapshot = None;
    let mut damaged = None;
    match fs::read(dir.join(FILE_NAME)) {
        Ok(bytes) => match decode_file::<CounterSnapshot>(MAGIC, &bytes) {
            Ok(good) => snapshot = Some(good),
            Err(error) => {
                let moved_to = move_aside(dir, FILE_NAME)?;
                damaged = Some(DamagedCounters { error, moved_to });
            }
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(error),
    }
    let log_numbers = log_numbers(dir)?;
    let after_last_log = log_numbers.last().map_or(0, |last| last + 1);
    let next_log = after_last_log.max(snapshot.as_ref().map_or(0, |snapshot| snapshot.next_log));
    // Without its snapshot a log is of no use: it would count from nothing.
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

fn log_name(number: u64) -> String {
    format!("{FILE_NAME}.{number}.log")
}

fn log_number(file_name: &str) -> Option<u64> {
    file_name.strip_prefix(FILE_NAME)?.strip_prefix('.')?.strip_suffix(".log")?.parse().ok()
}

/// The numbers of the logs that are there, in order.
fn log_numbers(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let name = entry?.file_name();
        numbers.extend(name.to_str().and_then(log_number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Writes a snapshot and removes the logs before it.
fn write_snapshot(dir: &Path, next_log: u64, counters: Saved) -> Result<(), SnapshotError> {
    let bytes = encode_file(MAGIC, &CounterSnapshot { next_log, counters })?;
    replace_file(dir, FILE_NAME, &bytes)?;
    // The logs before it are in it. One that cannot be removed does no harm: its number is not used again.
    for old in log_numbers(dir).unwrap_or_default() {
        if old < next_log {
            let _ = fs::remove_file(dir.join(log_name(old)));
        }
    }
    Ok(())
}

/// What the thread is to do.
enum Job {
    Sync { log: File, number: u64 },
    Snapshot { next_log: u64, counters: Box<Saved> },
}

/// A sync that was asked for and is done.
#[derive(Debug)]
pub struct FinishedSync {
    /// The number it was asked for with.
    pub number: u64,
    /// Whether the log is on disk.
    pub result: Result<(), CounterFileError>,
}

/// The files, and the thread that brings them to disk.
#[derive(Debug)]
pub struct CounterFiles {
    dir: PathBuf,
    log: Option<File>,
    log_number: u64,
    log_bytes: u64,
    /// A write failed: what follows a frame that is cut could not be read again.
    log_broken: bool,
    jobs: Sender<Job>,
    finished: Receiver<FinishedSync>,
}

impl CounterFiles {
    /// Goes on with a new snapshot and a new log of this number, which begins with `log_head`.
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
            .name("counts".into())
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

    /// Appends a frame to the log. A process that dies after this has lost nothing of it.
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

    /// Begins to bring the log to disk; [`CounterFiles::finished`] says when it is there. A log that is long,
    /// or broken, is followed by another after a snapshot.
    pub fn sync(
        &mut self,
        number: u64,
        counters: impl FnOnce() -> Saved,
        log_head: &[u8],
    ) -> Result<(), CounterFileError> {
        if self.log_broken {
            self.replace_broken_log(counters, log_head)?;
        } else if self.log_bytes > MAX_LOG_BYTES {
            self.follow_long_log(counters, log_head)?;
        }
        let log = self.log.as_ref().ok_or(CounterFileError::NoLog)?.try_clone()?;
        self.jobs.send(Job::Sync { log, number }).map_err(|_| CounterFileError::ThreadGone)
    }

    /// Counts that only a snapshot holds are not safe before it is there: it is written at once.
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

    /// The thread writes the snapshot; until it is there, the long log counts.
    fn follow_long_log(
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

    /// Syncs that finished since the last call.
    pub fn finished(&self) -> Vec<FinishedSync> {
        self.finished.try_iter().collect()
    }
}

/// The thread. The end of the program ends the channel, and this.
fn run_jobs(dir: &Path, jobs: &Receiver<Job>, results: &Sender<FinishedSync>) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Sync { log, number } => {
                let result = log.sync_data().map_err(CounterFileError::from);
                if results.send(FinishedSync { number, result }).is_err() {
                    return;
                }
            }
            // If it fails, the logs stay, and all is there when they are read again.
            Job::Snapshot { next_log, counters } => {
                if let Err(error) = write_snapshot(dir, next_log, *counters) {
                    tracing::warn!(%error, "counter snapshot not written");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
