//! The files of the counts: a snapshot, and logs of what was counted since. Another thread brings them to disk, so
//! that no message waits for it.

use crate::snapshot::{opened, replace, sealed, set_aside};
use linnetcart_telemetry::counts::Saved;
use linnetcart_telemetry::RestoredState;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

const MAGIC: &str = "linnetcart-counts";
const FILE: &str = "counts";
/// A log that is longer makes place for a new one after another snapshot.
const LOG: u64 = 16 << 20;

/// A snapshot, and the number of the log that goes on from it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kept {
    log: u64,
    saved: Saved,
}

enum Job {
    Sync(File, u64),
    Snapshot(u64, Box<Saved>),
}

/// What the other thread finished.
pub type Done = (u64, Result<(), String>);

/// The files, and the thread that brings them to disk.
#[derive(Debug)]
pub struct Accounts {
    dir: PathBuf,
    log: Option<File>,
    number: u64,
    bytes: u64,
    /// Why the log is of no use from here on.
    broken: Option<String>,
    jobs: Sender<Job>,
    done: Receiver<Done>,
}

fn log_name(number: u64) -> String {
    format!("{FILE}.{number}.log")
}

/// The numbers of the logs that are there, in order.
fn logs(dir: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(dir)? {
        let name = entry?.file_name();
        let middle =
            name.to_str().and_then(|n| n.strip_prefix(FILE)?.strip_prefix('.')?.strip_suffix(".log"));
        numbers.extend(middle.and_then(|n| n.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads what an earlier run left. Text about what was of no use, if anything was.
pub fn load(dir: &Path) -> io::Result<(RestoredState, u64, Option<String>)> {
    fs::create_dir_all(dir)?;
    let (mut trouble, mut kept) = (None, None);
    match fs::read(dir.join(FILE)) {
        Ok(bytes) => match opened::<Kept>(MAGIC, &bytes) {
            Ok(good) => kept = Some(good),
            Err(why) => {
                let aside = set_aside(dir, FILE)?;
                trouble = Some(format!("the counts were set aside as {}: {why}", aside.display()));
            }
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(e),
    }
    let there = logs(dir)?;
    let next = there.last().map_or(0, |last| last + 1).max(kept.as_ref().map_or(0, |k| k.log));
    // Without its snapshot a log is of no use: it would count from nothing.
    let first = kept.as_ref().map_or(u64::MAX, |k| k.log);
    let read = |number: &u64| fs::read(dir.join(log_name(*number)));
    let logs = there.iter().filter(|n| **n >= first).map(read).collect::<io::Result<_>>()?;
    Ok((RestoredState { saved: kept.map(|k| k.saved), logs }, next, trouble))
}

fn snapshot(dir: &Path, number: u64, saved: Saved) -> Result<(), String> {
    replace(dir, FILE, &sealed(MAGIC, &Kept { log: number, saved })?)?;
    // Those before it are in it. One that cannot be removed does no harm: its number is not used again.
    for old in logs(dir).unwrap_or_default() {
        if old < number {
            let _ = fs::remove_file(dir.join(log_name(old)));
        }
    }
    Ok(())
}

impl Accounts {
    /// Goes on with a new snapshot and a new log of this number.
    pub fn begin(dir: &Path, number: u64, saved: Saved, head: &[u8]) -> Result<Accounts, String> {
        let (jobs, work) = channel();
        let (tell, done) = channel();
        let mut accounts =
            Accounts { dir: dir.to_owned(), log: None, number, bytes: 0, broken: None, jobs, done };
        snapshot(dir, number, saved)?;
        accounts.open(head).map_err(|e| e.to_string())?;
        let dir = dir.to_owned();
        std::thread::Builder::new()
            .name("counts".into())
            .spawn(move || keep(&dir, &work, &tell))
            .map_err(|e| e.to_string())?;
        Ok(accounts)
    }

    fn open(&mut self, head: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.dir.join(log_name(self.number)))?;
        file.write_all(head)?;
        (self.log, self.bytes, self.broken) = (Some(file), 0, None);
        Ok(())
    }

    /// Puts a frame at the log's end. A process that dies after this has lost nothing of it.
    pub fn append(&mut self, frame: &[u8]) {
        if self.broken.is_some() {
            return;
        }
        let Some(log) = &mut self.log else { return };
        match log.write_all(frame) {
            Ok(()) => self.bytes += frame.len() as u64,
            // What follows a frame that is cut could not be read again.
            Err(e) => self.broken = Some(format!("{}: {e}", self.dir.join(log_name(self.number)).display())),
        }
    }

    /// Brings the log to disk. A log that is long, or broken, is followed by another after a snapshot.
    pub fn sync(&mut self, number: u64, saved: impl FnOnce() -> Saved, head: &[u8]) -> Option<Done> {
        if self.broken.is_some() || self.bytes > LOG {
            let whole = self.broken.is_none();
            self.number += 1;
            if let Err(e) = self.open(head) {
                self.number -= 1;
                self.broken = Some(e.to_string());
                return Some((number, Err(e.to_string())));
            }
            if !whole {
                // Counts that only a snapshot holds are not safe before it is there.
                if let Err(e) = snapshot(&self.dir, self.number, saved()) {
                    self.broken = Some(e.clone());
                    return Some((number, Err(e)));
                }
            } else if self.jobs.send(Job::Snapshot(self.number, Box::new(saved()))).is_err() {
                return Some((number, Err("the thread that keeps the counts is gone".into())));
            }
        }
        let gone = || "the thread that keeps the counts is gone".to_owned();
        let asked = match self.log.as_ref().map(File::try_clone) {
            Some(Ok(file)) => self.jobs.send(Job::Sync(file, number)).map_err(|_| gone()),
            Some(Err(e)) => Err(e.to_string()),
            None => Err("there is no log".into()),
        };
        asked.err().map(|e| (number, Err(e)))
    }

    /// What is done since the last call.
    pub fn done(&self) -> Vec<Done> {
        self.done.try_iter().collect()
    }
}

fn keep(dir: &Path, work: &Receiver<Job>, tell: &Sender<Done>) {
    // The end of the program ends the channel, and this.
    while let Ok(job) = work.recv() {
        match job {
            Job::Sync(file, number) => {
                let done = file.sync_data().map_err(|e| e.to_string());
                if tell.send((number, done)).is_err() {
                    return;
                }
            }
            // If it fails, the logs stay, and all is there when they are read again.
            Job::Snapshot(number, saved) => {
                if let Err(e) = snapshot(dir, number, *saved) {
                    tracing::warn!("a snapshot of the counts could not be written: {e}");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use linnetcart_telemetry::counts::{CounterKey, CounterStore, Field};
    use std::collections::BTreeMap;

    fn folder(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("linnetcart-accounts-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        dir
    }

    fn book() -> CounterStore {
        CounterStore::new(vec!["order".into()], 100)
    }

    fn head() -> Vec<u8> {
        linnetcart_telemetry::counts::mark(&linnetcart_telemetry::counts::CounterLogEntry::Classes(vec![
            "order".into(),
        ]))
    }

    fn read(dir: &Path) -> (u64, u64, Option<String>) {
        let (found, next, trouble) = load(dir).expect("it can be read");
        let mut book = book();
        found.saved.iter().for_each(|s| book.restore(s));
        found.logs.iter().for_each(|l| {
            book.replay(l);
        });
        let taken = book.cells().get(&CounterKey::Cell(1, 0)).map_or(0, |c| c[Field::Accepted]);
        (taken, next, trouble)
    }

    #[test]
    fn counts_are_there_after_any_end_and_while_a_log_is_followed_by_another() {
        let dir = folder("follow");
        let mut book = book();
        let none = BTreeMap::new();
        let (_, next, _) = load(&dir).expect("a new folder");
        let mut accounts =
            Accounts::begin(&dir, next, book.saved(&none, 0), &head()).expect("it can be written");
        for n in 1..=50u64 {
            book.add(CounterKey::Cell(1, 0), Field::Accepted, 2);
            accounts.append(&book.frame().expect("a change"));
            assert_eq!(read(&dir).0, 2 * n, "without a sync: the process alone died");
            if n % 10 == 0 {
                accounts.bytes = LOG + 1;
                assert_eq!(accounts.sync(n, || book.saved(&none, 0), &head()), None);
                assert_eq!(read(&dir).0, 2 * n, "whether or not the snapshot is there already");
                assert_eq!(accounts.done.recv(), Ok((n, Ok(()))));
            }
        }
        drop(accounts);
        let (taken, next, _) = read(&dir);
        let mut again = Accounts::begin(&dir, next, book.saved(&none, 0), &head()).expect("again");
        assert_eq!(taken, 100);
        // A log that broke: nothing of it counts until a snapshot is there.
        again.broken = Some("no space".into());
        book.add(CounterKey::Cell(1, 0), Field::Accepted, 5);
        again.append(&book.frame().expect("a change"));
        assert_eq!(read(&dir).0, 100);
        assert_eq!(again.sync(1, || book.saved(&none, 0), &head()), None);
        assert_eq!(read(&dir).0, 105);
        let logs = fs::read_dir(&dir).expect("a folder").count();
        assert!(logs <= 3, "{logs} files");
        fs::remove_dir_all(&dir).expect("it goes");
    }

    #[test]
    fn damaged_counts_are_set_aside_and_told() {
        let dir = folder("damaged");
        fs::create_dir_all(&dir).expect("a folder");
        fs::write(dir.join(FILE), b"linnetcart-counts 1 0 3\n{}").expect("written");
        let (taken, _, trouble) = read(&dir);
        assert!(taken == 0 && trouble.is_some_and(|t| t.contains("counts.damaged-1")));
        fs::remove_dir_all(&dir).expect("it goes");
    }
}
