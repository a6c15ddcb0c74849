//! Draws charts (SVG) and writes tables (Markdown) from the result files of other subcommands.

mod baseline;
pub(crate) mod drawing;
mod scenario_runs;
mod stream;
#[cfg(test)]
mod tests;

use anyhow::Context;
use scenario_runs::{RunsDocument, ScenarioRuns};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// The prefix of the first series name in a recorded stream of metrics; all other files are JSON.
const STREAM_START: &str = "linnetcart";

/// Reads files of any supported form and writes their charts and tables to a folder, which is created if it
/// does not exist.
///
/// # Errors
/// Fails if a file cannot be read or is of no supported form, or if a chart or table cannot be written.
pub fn report(files: &[PathBuf], out: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let mut scenario_runs = ScenarioRuns::default();
    for file in files {
        report_file(file, out, &mut scenario_runs)?;
    }
    scenario_runs.write(out)
}

/// Draws the charts of a recorded stream or a baseline. Runs of scenarios are only collected, since the runs
/// of all files are drawn together.
fn report_file(file: &Path, out: &Path, scenario_runs: &mut ScenarioRuns) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    if text.starts_with(STREAM_START) {
        return stream::draw(&text, file, out).with_context(|| file.display().to_string());
    }
    let document: Value = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    if baseline::is_baseline(&document) {
        return baseline::draw(&document, out);
    }
    let runs = RunsDocument::parse(&document).with_context(|| {
        format!("{}: not a result of `day`, `emulate`, `floor` or `tail`", file.display())
    })?;
    scenario_runs.add(runs);
    Ok(())
}
