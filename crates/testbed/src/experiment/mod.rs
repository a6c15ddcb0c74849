//! Experiments in virtual time: a grid of factors, run in parallel, that can be stopped at any moment and gone on
//! with, and what it shows.

pub mod measures;
pub mod page;
pub mod plan;
pub mod results;
pub mod stats;

use crate::parallel;
use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use page::Cells;
use plan::Plan;
use results::{Head, Results, Row};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Runs beside each other.
    pub threads: usize,
    /// End after so many runs, to be gone on with later.
    pub at_most: Option<u64>,
    /// Draw a progress bar.
    pub show: bool,
    /// The command, as it is to be kept.
    pub command: String,
}

/// The commit of the folder that the program is run in; changed files are said.
pub fn commit() -> String {
    let git = |args: &[&str]| {
        let out = Command::new("git").args(args).output().ok().filter(|o| o.status.success())?;
        Some(String::from_utf8_lossy(&out.stdout).trim().to_owned())
    };
    match (git(&["rev-parse", "--short=12", "HEAD"]), git(&["status", "--porcelain", "--untracked-files=no"]))
    {
        (Some(id), Some(changes)) if changes.is_empty() => id,
        (Some(id), _) => format!("{id} and changes"),
        _ => "unknown".into(),
    }
}

/// Runs what is left of a plan, and writes all it shows. True if it is whole.
pub fn run(plan: Plan, out: &Path, options: &Options) -> anyhow::Result<bool> {
    let head = Head { plan, commit: commit(), command: options.command.clone() };
    let results = Results::open(out, head)?;
    let plan = &results.head().plan;
    let bar = if options.show { ProgressBar::new(plan.runs()) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {eta} left {msg}") {
        bar.set_style(style);
    }
    bar.set_position(results.count());
    let begun = AtomicU64::new(0);
    let most = options.at_most.unwrap_or(u64::MAX);
    parallel::all(options.threads, 0..plan.runs(), &|number| {
        if results.has(number) || begun.fetch_add(1, Ordering::Relaxed) >= most {
            return Ok(());
        }
        let (cell, seed) = plan.run(number);
        let row = || -> anyhow::Result<Row> {
            let recipe = plan.recipe(cell, seed)?;
            let (fleet, run, report) = recipe.judged()?;
            let values = measures::of(&fleet, &run.records, run.peak_connections, &report);
            Ok(Row { run: number, seed, values, digest: run.digest })
        };
        let row = row().with_context(|| format!("run {number}: {:?}, seed {seed}", plan.levels(cell)))?;
        results.put(row)?;
        bar.inc(1);
        Ok(())
    })?;
    bar.finish_and_clear();
    let rows = results.rows();
    let cells = Cells::new(plan, &rows);
    let parquet = results.parquet()?;
    for (name, svg) in cells.charts()? {
        let path = out.join(format!("{name}.svg"));
        std::fs::write(&path, svg).with_context(|| path.display().to_string())?;
    }
    let page = out.join("report.html");
    std::fs::write(&page, cells.html(results.head())?).with_context(|| page.display().to_string())?;
    println!("{}", cells.tables());
    println!("{} of {} runs in {}", rows.len(), plan.runs(), parquet.display());
    Ok(rows.len() as u64 == plan.runs())
}
