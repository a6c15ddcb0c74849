//! Experiments in virtual time: a grid of factors, run in parallel, that can be stopped at any moment and continued,
//! and what it shows.

mod chart;
pub mod intervals;
pub mod measures;
pub mod plan;
pub mod report_page;
pub mod results;

use crate::parallel;
use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use plan::{Plan, RunKey};
use report_page::Cells;
use results::{Header, Results, Row};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

const COMMIT_LENGTH: &str = "--short=12";

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Runs at the same time.
    pub threads: usize,
    /// End after so many runs, to be continued later.
    pub max_runs: Option<u64>,
    /// Draw a progress bar.
    pub shows_progress: bool,
    /// The command, as it is stored with the results.
    pub command: String,
}

/// Whether an experiment has all its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Every run has its result.
    Complete,
    /// Some are left; the same command continues with them.
    Partial,
}

/// The commit of the folder that the program is run in; says so if files were changed.
pub fn commit() -> String {
    let Some(id) = git(&["rev-parse", COMMIT_LENGTH, "HEAD"]) else { return "unknown".into() };
    match git(&["status", "--porcelain", "--untracked-files=no"]) {
        Some(changes) if changes.is_empty() => id,
        _ => format!("{id} and changes"),
    }
}

fn git(args: &[&str]) -> Option<String> {
    let output = Command::new("git").args(args).output().ok()?;
    if !output.status.success() {
        return None;
    }
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// Runs what is left of a plan, and writes all it shows.
pub fn run(plan: Plan, out: &Path, options: &Options) -> anyhow::Result<Completion> {
    let header = Header { plan, commit: commit(), command: options.command.clone() };
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
    let begun = AtomicU64::new(0);
    let max_runs = options.max_runs.unwrap_or(u64::MAX);
    parallel::run_all(options.threads, 0..plan.runs(), &|number| {
        if results.contains(number) || begun.fetch_add(1, Ordering::Relaxed) >= max_runs {
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
