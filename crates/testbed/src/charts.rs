//! Charts (SVG) and tables (Markdown) from figures that other subcommands wrote.

mod baseline;
pub(crate) mod drawing;
mod scenario_runs;
mod stream;
#[cfg(test)]
mod tests;

use anyhow::Context;
use scenario_runs::ScenarioRuns;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// How a recorded stream of reports begins.
const STREAM_START: &str = "linnetcart";

/// Reads the files and writes what they show.
pub fn report(files: &[PathBuf], out: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(out).with_context(|| out.display().to_string())?;
    let mut scenario_runs = ScenarioRuns::default();
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        if text.starts_with(STREAM_START) {
            stream::draw(&text, file, out).with_context(|| file.display().to_string())?;
            continue;
        }
        let document: Value = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        if baseline::is_baseline(&document) {
            baseline::draw(&document, out)?;
            continue;
        }
        scenario_runs
            .add(&document)
            .with_context(|| format!("{}: neither a day's nor a floor's figures", file.display()))?;
    }
    scenario_runs.write(out)
}
