//! Measures how closely runs in virtual time match runs on sockets: compares both for the same scenarios and
//! seeds, by paired differences `emulated - on sockets`.

use crate::emulated_run::Recipe;
use crate::experiment::intervals::{mean, paired_difference, Mean};
use crate::experiment::measures::{self, MEASURES};
use crate::parallel;
use crate::socket_run::{self, StackOptions};
use linnetcart_conformance::check;
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use serde_json::{json, Map, Value};
use std::fmt::Write;
use std::path::PathBuf;

/// The measures that are compared, by their names in [`MEASURES`].
const COMPARED: [&str; 6] = ["served_worth", "in_aim", "refused", "calls", "calls_refused", "p50_ms"];
/// The measure with the number of cases in which a rule was broken. It is summed over all runs of a scenario.
const RULES_BROKEN: &str = "rules_broken";

/// The runs that are compared.
#[derive(Clone, Debug)]
pub struct FidelityPlan {
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// Number of seeds of each scenario, counted up from 1.
    pub seeds: u64,
    /// Number of runs on sockets at the same time.
    pub parallel_runs: usize,
    /// The program whose `edge` command runs a courier.
    pub program: PathBuf,
    /// The folder for the state of couriers; each run uses a subfolder and removes it.
    pub dir: PathBuf,
}

/// The differences that were measured.
#[derive(Clone, Debug)]
pub struct FidelityResult {
    /// A table for the terminal: means on sockets and in virtual time, and the mean paired difference with
    /// half the width of its 95 % confidence interval.
    pub table: String,
    /// The means and differences of the table, and the numbers of broken cases, as JSON.
    pub figures: Value,
}

/// The values of all [`MEASURES`], in their order, for one scenario and seed on sockets and in virtual time.
struct RunPair {
    on_sockets: Vec<f64>,
    emulated: Vec<f64>,
}

fn run_on_sockets(plan: &FidelityPlan, fleet: &Fleet, number: u64) -> anyhow::Result<Vec<f64>> {
    let dir = plan.dir.join(number.to_string());
    let options = StackOptions::new(plan.program.clone(), dir.clone());
    let records = socket_run::run(fleet, &options)?;
    let _ = std::fs::remove_dir_all(dir);
    let report = check(&records.records, &fleet.invariants(Timebase::Sockets));
    Ok(measures::of_run(fleet, &records, 0, &report))
}

fn run_emulated(scenario: &Scenario, seed: u64) -> anyhow::Result<Vec<f64>> {
    let checked = Recipe::new(scenario.clone(), seed).run_checked()?;
    Ok(measures::of_checked_run(&checked))
}

fn measure_index(name: &str) -> usize {
    MEASURES.iter().position(|measure| measure.name == name).unwrap_or(0)
}

fn mean_json(mean: &Mean) -> Value {
    json!({"mean": mean.mean, "half": mean.half_width})
}

/// The progress of the runs on sockets of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number of the run on sockets that has finished, counted from 1.
    pub run: u64,
    /// Number of runs on sockets in total.
    pub total: u64,
}

/// Runs each scenario with each seed on sockets and in virtual time, and compares the measures for each
/// scenario and over all. `progress` is called after each run on sockets.
///
/// # Errors
/// Fails if a run on sockets or in virtual time fails.
pub fn run(plan: &FidelityPlan, progress: &(dyn Fn(Progress) + Sync)) -> anyhow::Result<FidelityResult> {
    let runs = plan.scenarios.len() as u64 * plan.seeds;
    let pairs = parallel::run_all(plan.parallel_runs, 0..runs, &|number| {
        let scenario = &plan.scenarios[(number / plan.seeds) as usize];
        let seed = 1 + number % plan.seeds;
        let fleet = Fleet::draw(scenario.clone(), seed);
        let on_sockets = run_on_sockets(plan, &fleet, number)?;
        progress(Progress { run: number + 1, total: runs });
        let emulated = run_emulated(scenario, seed)?;
        Ok(RunPair { on_sockets, emulated })
    })?;
    let mut table =
        format!("{:<18}{:<15}{:>10}{:>10}{:>20}\n", "day", "measure", "sockets", "emulated", "difference");
    let mut scenarios = Vec::new();
    for (scenario, pairs) in plan.scenarios.iter().zip(pairs.chunks(plan.seeds as usize)) {
        scenarios.push(compare(&scenario.name, pairs, &mut table));
    }
    scenarios.push(compare("all", &pairs, &mut table));
    let figures = json!({"seeds": plan.seeds, "days": scenarios});
    Ok(FidelityResult { table, figures })
}

/// Compares the runs of a scenario: appends a row to the table for each measure in [`COMPARED`], and returns
/// the figures as JSON.
fn compare(scenario: &str, pairs: &[RunPair], table: &mut String) -> Value {
    let mut fields = Map::new();
    for measure in COMPARED {
        fields.insert(measure.into(), compare_measure(scenario, measure, pairs, table));
    }
    let index = measure_index(RULES_BROKEN);
    let broken_on_sockets: f64 = pairs.iter().map(|pair| pair.on_sockets[index]).sum();
    let broken_emulated: f64 = pairs.iter().map(|pair| pair.emulated[index]).sum();
    json!({
        "day": scenario,
        "runs": pairs.len(),
        "measures": fields,
        "rules_broken": {"sockets": broken_on_sockets, "emulated": broken_emulated},
    })
}

fn compare_measure(scenario: &str, measure: &str, pairs: &[RunPair], table: &mut String) -> Value {
    let index = measure_index(measure);
    let on_sockets: Vec<f64> = pairs.iter().map(|pair| pair.on_sockets[index]).collect();
    let emulated: Vec<f64> = pairs.iter().map(|pair| pair.emulated[index]).collect();
    let difference = paired_difference(&on_sockets, &emulated);
    let on_sockets = mean(&on_sockets);
    let emulated = mean(&emulated);
    let difference_text = format!("{:+.4} ±{:.4}", difference.mean, difference.half_width);
    let _ = writeln!(
        table,
        "{scenario:<18}{measure:<15}{:>10.4}{:>10.4}{difference_text:>20}",
        on_sockets.mean, emulated.mean
    );
    json!({
        "sockets": mean_json(&on_sockets),
        "emulated": mean_json(&emulated),
        "difference": mean_json(&difference),
    })
}
