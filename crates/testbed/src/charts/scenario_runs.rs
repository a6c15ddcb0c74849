//! Runs of scenarios, as `day --json` and `emulate --json` write them: one table and one chart for each
//! scenario, over all seeds and policies.

use super::drawing::{drawing_error, ChartLayout, CAPTION_SIZE, COLOURS, SIZE};
use crate::statistics::{maximum, median, minimum};
use anyhow::Context;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// The results of one policy with one seed.
#[derive(Clone, Debug, PartialEq)]
struct Run {
    seed: u64,
    /// Delivered priority weight divided by requested weight.
    service: f64,
    /// The lowest value of this ratio in any interval of ten seconds. A message belongs to the interval of
    /// its first submission.
    worst_stretch: f64,
    /// Number of cases in which one of the six rules was broken.
    rules_broken: u64,
}

type RunsByPolicy = BTreeMap<String, Vec<Run>>;

/// A run and the name of its policy.
struct PolicyRun {
    policy: String,
    run: Run,
}

/// The content of one file: the runs of one or more policies on the same scenario and seed.
pub(super) struct RunsDocument {
    scenario: String,
    runs: Vec<PolicyRun>,
}

impl RunsDocument {
    /// Parses a document, or returns `None` if it lacks a field that documents of runs have.
    pub(super) fn parse(document: &Value) -> Option<RunsDocument> {
        let scenario = document["day"].as_str()?.to_owned();
        let seed = document["seed"].as_u64()?;
        let mut runs = Vec::new();
        for run in document["runs"].as_array()? {
            let policy = run["policy"].as_str()?.to_owned();
            runs.push(PolicyRun { policy, run: parse_run(seed, &run["report"])? });
        }
        Some(RunsDocument { scenario, runs })
    }
}

/// The runs of all files, by scenario and policy.
#[derive(Debug, Default)]
pub(super) struct ScenarioRuns {
    by_scenario: BTreeMap<String, RunsByPolicy>,
}

impl ScenarioRuns {
    /// Adds the runs of a document.
    pub(super) fn add(&mut self, document: RunsDocument) {
        for PolicyRun { policy, run } in document.runs {
            let by_policy = self.by_scenario.entry(document.scenario.clone()).or_default();
            by_policy.entry(policy).or_default().push(run);
        }
    }

    /// Writes `SCENARIO.svg` and `SCENARIO.md` for each scenario.
    pub(super) fn write(mut self, out: &Path) -> anyhow::Result<()> {
        for (scenario, by_policy) in &mut self.by_scenario {
            for runs in by_policy.values_mut() {
                runs.sort_by_key(|run| run.seed);
            }
            draw_chart(scenario, by_policy, &out.join(format!("{scenario}.svg")))?;
            let path = out.join(format!("{scenario}.md"));
            std::fs::write(&path, table(by_policy)).with_context(|| path.display().to_string())?;
        }
        Ok(())
    }
}

fn parse_run(seed: u64, report: &Value) -> Option<Run> {
    let rules = report["rules"].as_array()?;
    Some(Run {
        seed,
        service: report["service"].as_f64()?,
        worst_stretch: report["worst_stretch"].as_f64()?,
        rules_broken: rules.iter().filter_map(|rule| rule["broken"].as_u64()).sum(),
    })
}

/// A Markdown table with a row for each policy: median, minimum and maximum over its seeds.
fn table(by_policy: &RunsByPolicy) -> String {
    let mut text = String::from(
        "| policy | seeds | served worth: median | least | most | worst 10 s: median \
         | seeds that broke a rule |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (policy, runs) in by_policy {
        let services = || runs.iter().map(|run| run.service);
        let worst_stretches = runs.iter().map(|run| run.worst_stretch);
        let _ = writeln!(
            text,
            "| {policy} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            runs.len(),
            median(services().collect()),
            minimum(services()),
            maximum(services()),
            median(worst_stretches.collect()),
            runs.iter().filter(|run| run.rules_broken > 0).count()
        );
    }
    text
}

/// Draws [`Run::service`] over the seed as a scatter plot, with one colour for each policy.
fn draw_chart(scenario: &str, by_policy: &RunsByPolicy, path: &Path) -> anyhow::Result<()> {
    let last_seed = by_policy.values().flatten().map(|run| run.seed).max().unwrap_or(1) as f64;
    let caption = format!("{scenario}: served worth by seed");
    let layout = ChartLayout { caption: &caption, caption_size: CAPTION_SIZE, y_label_width: 45 };
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(drawing_error)?;
    let mut chart =
        layout.on(&area).build_cartesian_2d(0.0..last_seed + 1.0, 0.0..1.0).map_err(drawing_error)?;
    chart.configure_mesh().x_desc("seed").y_desc("served worth").draw().map_err(drawing_error)?;
    for (index, (policy, runs)) in by_policy.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let marks = runs.iter().map(|run| Circle::new((run.seed as f64, run.service), 4, colour.filled()));
        chart
            .draw_series(marks)
            .map_err(drawing_error)?
            .label(policy.as_str())
            .legend(move |(x, y)| Circle::new((x, y), 4, colour.filled()));
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE).draw().map_err(drawing_error)?;
    area.present().map_err(drawing_error)
}
