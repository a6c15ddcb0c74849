//! Exit codes, working folders, argument checks and output that several subcommands share.

use anyhow::{bail, Context};
use linnetcart_conformance::Report;
use linnetcart_scenario::runner::ScenarioRecords;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of couriers, each a process, in a run on sockets. Subcommands that run on sockets reject
/// larger fleets; `emulate` runs them in virtual time.
pub(super) const MAX_COURIERS_ON_SOCKETS: u32 = 64;
/// Maximum of `--threads`.
const MAX_THREADS: usize = 256;

/// How a subcommand ended; it determines the exit code.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The subcommand completed, and no check failed.
    Passed,
    /// The subcommand completed and a check failed, or an error occurred.
    Failed,
    /// The command line names an unknown policy.
    WrongUsage,
    /// The process ran as a courier; this is the courier's exit code.
    Courier(ExitCode),
}

impl Outcome {
    /// `Passed` if no rule was broken, otherwise `Failed`.
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

/// Whether a working folder remains after it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    Temporary,
    Persistent,
}

/// A folder for the state and logs of couriers. A temporary one is removed with its content when dropped.
pub(super) struct WorkFolder {
    pub(super) path: PathBuf,
    retention: Retention,
}

impl WorkFolder {
    /// Creates a folder in the system's temporary directory, named by process id and time, that is removed
    /// when dropped.
    pub(super) fn temporary() -> anyhow::Result<WorkFolder> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH)?.as_nanos();
        let name = format!("linnetcart-testbed-{}-{nanos:x}", std::process::id());
        WorkFolder::create(std::env::temp_dir().join(name), Retention::Temporary)
    }

    /// Creates the folder `path`, with any missing parents, that is not removed when dropped. The content of
    /// an existing folder is kept.
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

/// The path of this executable, from which couriers are started with the `edge` subcommand.
pub(super) fn this_program() -> anyhow::Result<PathBuf> {
    std::env::current_exe().context("the path of this executable is unknown")
}

/// Validates the value of `--threads`; without one, returns the number of CPU cores.
pub(super) fn thread_count(requested: Option<usize>) -> anyhow::Result<usize> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = requested.unwrap_or(cores);
    if !(1..=MAX_THREADS).contains(&threads) {
        bail!("--threads must be 1 to {MAX_THREADS}");
    }
    Ok(threads)
}

/// Writes a document as indented JSON to a file; does nothing if no file is given.
pub(super) fn write_json(file: Option<&Path>, document: &Value) -> anyhow::Result<()> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(document)? + "\n";
    std::fs::write(file, text).with_context(|| file.display().to_string())
}

/// Prints each overload of a recovering limit: the destination, and the time in seconds since the start.
pub(super) fn print_overloads(records: &ScenarioRecords) {
    for overload in &records.overloads {
        let destination = overload.destination;
        let seconds = overload.at as f64 / 1e9;
        println!("destination {destination} was overloaded during its recovery at {seconds:.1} s");
    }
}

/// Prints whether every case of the six rules passed.
pub(super) fn print_verdict(report: &Report) {
    println!("{}", if report.is_conformant() { "all rules kept" } else { "A RULE WAS BROKEN" });
}
