//! Experiments in virtual time: a full factorial design, in which every combination of the factors' levels is
//! run with several seeds, in parallel.
//!
//! An experiment can be stopped at any moment; the same command resumes it. Its results, charts and report
//! are written to one folder, and do not depend on the number of threads or on interruptions.

mod cells;
mod chart;
pub mod intervals;
pub mod measures;
pub mod plan;
pub mod report_page;
pub mod results;
mod table;

use crate::parallel;
use anyhow::Context;
use cells::Cells;
use indicatif::{ProgressBar, ProgressStyle};
use plan::{Plan, RunKey};
use results::{Header, Results, Row};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// The option of `git rev-parse` that abbreviates a commit id to at least 12 digits.
const COMMIT_ID_LENGTH: &str = "--short=12";

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of concurrent runs.
    pub threads: usize,
    /// Maximum number of runs to start before the experiment stops; `None` for no limit.
    pub max_runs: Option<u64>,
    /// Whether a progress bar is drawn in the terminal.
    pub shows_progress: bool,
    /// The command that is stored with the results.
    pub command: String,
    /// The commit that is stored with the results; results of another commit are not resumed.
    pub commit: String,
}

/// Whether an experiment has the results of all its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Every run has its result.
    Complete,
    /// Some results are missing; the same command resumes with them.
    Partial,
}

/// The abbreviated id of the commit that is checked out in the current folder, followed by ` and changes` if
/// tracked files differ from it; `unknown` outside a Git repository.
pub fn commit() -> String {
    let Some(id) = git(&["rev-parse", COMMIT_ID_LENGTH, "HEAD"]) else { return "unknown".into() };
    match git(&["status", "--porcelain", "--untracked-files=no"]) {
        Some(changes) if changes.is_empty() => id,
        _ => format!("{id} and changes"),
    }
}

/// The output of a Git command without surrounding whitespace, or `None` if the command failed.
fn git(args: &[&str]) -> Option<String> {
    let output = Command::new("git").args(args).output().ok()?;
    if !output.status.success() {
        return None;
    }
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// Runs the combinations and seeds of a plan that have no result yet, then writes all results, charts and the
/// report to `out`.
///
/// # Errors
/// Fails if `out` holds results of another plan or commit, a file cannot be read or written, or a run fails.
pub fn run(plan: Plan, out: &Path, options: &Options) -> anyhow::Result<Completion> {
    let header = Header { plan, commit: options.commit.clone(), command: options.command.clone() };
    let results = Results::open(out, header)?;
    run_missing(&results, options)?;
    let plan = &results.header().plan;
    let rows = results.rows();
    let cells = Cells::new(plan, &rows);
    let parquet = results.write_parquet()?;
    write_pages(&cells, results.header(), out)?;
    println!("{}", cells.tables());
    println!("{} of {} runs in {}", rows.len(), plan.runs(), parquet.display());
    let is_complete = rows.len() as u64 == plan.runs();
    Ok(if is_complete { Completion::Complete } else { Completion::Partial })
}

fn run_missing(results: &Results, options: &Options) -> anyhow::Result<()> {
    let plan = &results.header().plan;
    let bar = progress_bar(plan, options);
    bar.set_position(results.count());
    let started_runs = AtomicU64::new(0);
    let max_runs = options.max_runs.unwrap_or(u64::MAX);
    parallel::run_all(options.threads, 0..plan.runs(), &|number| {
        if results.contains(number) || started_runs.fetch_add(1, Ordering::Relaxed) >= max_runs {
            return Ok(());
        }
        let RunKey { cell, seed } = plan.run(number);
        let row = run_one(plan, number)
            .with_context(|| format!("run {number}: {:?}, seed {seed}", plan.levels(cell)))?;
        results.add(row)?;
        bar.inc(1);
        Ok(())
    })?;
    bar.finish_and_clear();
    Ok(())
}

fn progress_bar(plan: &Plan, options: &Options) -> ProgressBar {
    if !options.shows_progress {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(plan.runs());
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {eta} left {msg}") {
        bar.set_style(style);
    }
    bar
}

fn run_one(plan: &Plan, number: u64) -> anyhow::Result<Row> {
    let RunKey { cell, seed } = plan.run(number);
    let checked = plan.recipe(cell, seed)?.run_checked()?;
    let values = measures::of_checked_run(&checked);
    Ok(Row { run: number, seed, values, digest: checked.run.digest })
}

fn write_pages(cells: &Cells, header: &Header, out: &Path) -> anyhow::Result<()> {
    for chart in cells.charts()? {
        let path = out.join(format!("{}.svg", chart.measure));
        std::fs::write(&path, chart.svg).with_context(|| path.display().to_string())?;
    }
    let page = out.join("report.html");
    std::fs::write(&page, cells.html(header)?).with_context(|| page.display().to_string())
}
