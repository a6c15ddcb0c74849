//! What several subcommands need.

use anyhow::{bail, Context};
use linnetcart_scenario::runner::ScenarioRecords;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Couriers in processes of their own, at most.
pub(super) const MAX_COURIERS_ON_SOCKETS: u32 = 64;
const MAX_THREADS: usize = 256;

/// How a subcommand ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// Done, and every check passed.
    Passed,
    /// Done, and a check failed.
    Failed,
    /// The command line asks for something that does not exist.
    WrongUsage,
    /// A courier ended with a code of its own.
    Courier(ExitCode),
}

impl Outcome {
    pub(super) fn of_check(passed: bool) -> Outcome {
        if passed {
            Outcome::Passed
        } else {
            Outcome::Failed
        }
    }

    pub(super) fn exit_code(self) -> ExitCode {
        match self {
            Outcome::Passed => ExitCode::SUCCESS,
            Outcome::Failed => ExitCode::FAILURE,
            Outcome::WrongUsage => ExitCode::from(2),
            Outcome::Courier(code) => code,
        }
    }
}

/// A folder for state and logs, removed at the end unless it is to be kept.
pub(super) struct WorkFolder {
    pub(super) path: PathBuf,
    keep: bool,
}

impl WorkFolder {
    /// A folder that is removed when dropped.
    pub(super) fn temporary() -> anyhow::Result<WorkFolder> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
        let name = format!("linnetcart-testbed-{}-{nanos:x}", std::process::id());
        WorkFolder::create(std::env::temp_dir().join(name), false)
    }

    /// A folder that stays.
    pub(super) fn kept(path: PathBuf) -> anyhow::Result<WorkFolder> {
        WorkFolder::create(path, true)
    }

    fn create(path: PathBuf, keep: bool) -> anyhow::Result<WorkFolder> {
        std::fs::create_dir_all(&path).with_context(|| path.display().to_string())?;
        Ok(WorkFolder { path, keep })
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// The path of this program, which couriers are started from.
pub(super) fn this_program() -> anyhow::Result<PathBuf> {
    std::env::current_exe().context("this program's own path")
}

/// The number of threads asked for, or one for each core.
pub(super) fn thread_count(requested: Option<usize>) -> anyhow::Result<usize> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = requested.unwrap_or(cores);
    if !(1..=MAX_THREADS).contains(&threads) {
        bail!("--threads: 1 to {MAX_THREADS}");
    }
    Ok(threads)
}

/// Writes a document, if a file is given for it.
pub(super) fn write_json(file: Option<&Path>, document: &Value) -> anyhow::Result<()> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(document)? + "\n";
    std::fs::write(file, text).with_context(|| file.display().to_string())
}

pub(super) fn print_overloads(records: &ScenarioRecords) {
    for overload in &records.overloads {
        let destination = overload.destination;
        println!("destination {destination} fell over at {:.1} s", overload.at as f64 / 1e9);
    }
}

pub(super) fn print_verdict(rules_kept: bool) {
    println!("{}", if rules_kept { "all rules kept" } else { "A RULE WAS BROKEN" });
}
