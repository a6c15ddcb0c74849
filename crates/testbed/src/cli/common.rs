//! Exit codes, work folders and output that several subcommands share.

use anyhow::{bail, Context};
use linnetcart_conformance::Report;
use linnetcart_scenario::runner::ScenarioRecords;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of couriers that run as processes.
pub(super) const MAX_COURIERS_ON_SOCKETS: u32 = 64;
const MAX_THREADS: usize = 256;

/// How a subcommand ended; it determines the exit code.
#[derive(Debug)]
pub(super) enum Outcome {
    /// Done, and every check passed.
    Passed,
    /// Done, and a check failed.
    Failed,
    /// The command line names something that does not exist.
    WrongUsage,
    /// The program ran as a courier, which chose the exit code.
    Courier(ExitCode),
}

impl Outcome {
    /// `Passed` if the run kept every invariant, otherwise `Failed`.
    pub(super) fn of_report(report: &Report) -> Outcome {
        if report.is_conformant() {
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

/// Whether a work folder outlives the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    Temporary,
    Persistent,
}

/// A folder for state and logs. A temporary one is removed when dropped.
pub(super) struct WorkFolder {
    pub(super) path: PathBuf,
    retention: Retention,
}

impl WorkFolder {
    /// Creates a folder with a unique name that is removed when dropped.
    pub(super) fn temporary() -> anyhow::Result<WorkFolder> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
        let name = format!("linnetcart-testbed-{}-{nanos:x}", std::process::id());
        WorkFolder::create(std::env::temp_dir().join(name), Retention::Temporary)
    }

    /// Creates a folder that is not removed.
    pub(super) fn persistent(path: PathBuf) -> anyhow::Result<WorkFolder> {
        WorkFolder::create(path, Retention::Persistent)
    }

    fn create(path: PathBuf, retention: Retention) -> anyhow::Result<WorkFolder> {
        std::fs::create_dir_all(&path).with_context(|| path.display().to_string())?;
        Ok(WorkFolder { path, retention })
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if self.retention == Retention::Temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// The path of this program; couriers are started from it.
pub(super) fn this_program() -> anyhow::Result<PathBuf> {
    std::env::current_exe().context("this program's own path")
}

/// Returns the requested number of threads, or one for each core if none is requested.
pub(super) fn thread_count(requested: Option<usize>) -> anyhow::Result<usize> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = requested.unwrap_or(cores);
    if !(1..=MAX_THREADS).contains(&threads) {
        bail!("--threads: 1 to {MAX_THREADS}");
    }
    Ok(threads)
}

/// Writes a JSON document to a file, if one is given.
pub(super) fn write_json(file: Option<&Path>, document: &Value) -> anyhow::Result<()> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(document)? + "\n";
    std::fs::write(file, text).with_context(|| file.display().to_string())
}

/// Prints the destinations that became overloaded, with the time since the start of the run.
pub(super) fn print_overloads(records: &ScenarioRecords) {
    for overload in &records.overloads {
        let destination = overload.destination;
        println!("destination {destination} fell over at {:.1} s", overload.at as f64 / 1e9);
    }
}

/// Prints whether the run kept every invariant.
pub(super) fn print_verdict(report: &Report) {
    println!("{}", if report.is_conformant() { "all rules kept" } else { "A RULE WAS BROKEN" });
}
