//! Draws charts (SVG) and tables (Markdown) from figures that other subcommands wrote.

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

/// The start of a recorded stream of reports; other files are JSON.
const STREAM_START: &str = "linnetcart";

/// Reads files of any supported form and writes their charts and tables to a folder.
///
/// # Errors
/// Fails if a file cannot be read or has no supported form, or if a chart or table cannot be written.
pub fn report(files: &[PathBuf], out: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let mut scenario_runs = ScenarioRuns::default();
    for file in files {
        report_file(file, out, &mut scenario_runs)?;
    }
    scenario_runs.write(out)
}

/// Draws what a file holds, or collects the runs of a scenario, which are drawn together.
fn report_file(file: &Path, out: &Path, scenario_runs: &mut ScenarioRuns) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    if text.starts_with(STREAM_START) {
        return stream::draw(&text, file, out).with_context(|| file.display().to_string());
    }
    let document: Value = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    if baseline::is_baseline(&document) {
        return baseline::draw(&document, out);
    }
    let runs = RunsDocument::parse(&document)
        .with_context(|| format!("{}: neither a day's nor a floor's figures", file.display()))?;
    scenario_runs.add(runs);
    Ok(())
}
