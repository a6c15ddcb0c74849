//! The plan of an experiment: factors, their levels, the number of seeds, and the comparison to report.

mod factors;
#[cfg(test)]
mod tests;

use super::measures::MEASURES;
use crate::emulated_run::Recipe;
use anyhow::{ensure, Context};
pub use factors::{apply_factor, Setting};
use linnetcart_scenario::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::Value;

/// Maximum number of runs of an experiment.
const MAX_RUNS: u64 = 1_000_000;
/// Maximum number of seeds for each cell.
const MAX_SEEDS: u64 = 100_000;
/// Names of the measures that are shown if the plan names none.
const DEFAULT_SHOW: [&str; 6] =
    ["served_worth", "worst_10s", "late_worth", "refused", "calls_refused", "rules_broken"];

/// A plan, as it is written in a TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The title of the report.
    pub name: String,
    /// The question that the experiment answers, in one sentence.
    pub about: String,
    /// The name of a built-in scenario, or the path of a script.
    #[serde(rename = "day")]
    pub scenario: String,
    /// The speed-up of the scenario: durations are divided and rates multiplied by it.
    #[serde(default = "default_speed")]
    pub speed: f64,
    /// Number of seeds with which each cell is run, counted up from `first_seed`.
    pub seeds: u64,
    /// The lowest seed.
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// Names of the measures that tables and charts show, in this order.
    #[serde(default = "default_show")]
    pub show: Vec<String>,
    /// The comparison that is reported, if any.
    #[serde(default)]
    pub compare: Option<Compare>,
    /// The factors. Tables list them in this order; charts have the first on their horizontal axis.
    pub factor: Vec<Factor>,
}

/// A factor: a property of the run that the experiment varies.
///
/// The name is `couriers`, `policy`, `trouble` (a level is a scenario whose faults are used, `none`, or
/// `as-written`), `destinations` (a level multiplies their number), `delay_ms`, or any field of the
/// scenario's script, such as `traffic.load` or `kind.0.spare`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// The property that is varied.
    pub name: String,
    /// The values that the property takes.
    pub levels: Vec<Value>,
}

/// A comparison of the levels of one factor, paired by seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    /// The factor's name.
    pub factor: String,
    /// The level that the other levels are compared with.
    pub base: Value,
}

/// The cell and the seed that a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunKey {
    /// The number of the cell, which is a combination of levels, counted from 0.
    pub cell: u64,
    /// The seed.
    pub seed: u64,
}

fn default_speed() -> f64 {
    1.0
}

fn default_first_seed() -> u64 {
    1
}

fn default_show() -> Vec<String> {
    DEFAULT_SHOW.map(String::from).to_vec()
}

/// A level as text, strings without quotes.
pub fn level_text(level: &Value) -> String {
    match level {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

impl Plan {
    /// Reads a plan from a file and validates it, including the scenario of each cell.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is no valid plan, or a cell has an invalid scenario.
    pub fn read(file: &Path) -> anyhow::Result<Plan> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Plan::parse(&text).with_context(|| file.display().to_string())
    }

    /// Parses a plan and validates it, including the scenario of each cell.
    ///
    /// # Errors
    /// Fails if the text is no valid plan, or a cell has an invalid scenario.
    pub fn parse(text: &str) -> anyhow::Result<Plan> {
        let plan: Plan = toml::from_str(text)?;
        plan.check_seeds_and_factors()?;
        plan.check_shown_measures()?;
        plan.check_comparison()?;
        plan.check_cells()?;
        Ok(plan)
    }

    fn check_seeds_and_factors(&self) -> anyhow::Result<()> {
        ensure!((1..=MAX_SEEDS).contains(&self.seeds), "seeds must be 1 to {MAX_SEEDS}");
        ensure!(self.first_seed < 1 << 60, "first_seed must be less than 2^60");
        for factor in &self.factor {
            ensure!(!factor.levels.is_empty(), "factor {} has no level", factor.name);
        }
        Ok(())
    }

    fn check_shown_measures(&self) -> anyhow::Result<()> {
        let known = MEASURES.map(|measure| measure.name);
        for name in &self.show {
            ensure!(
                known.contains(&name.as_str()),
                "show: unknown measure `{name}`; known: {}",
                known.join(", ")
            );
        }
        Ok(())
    }

    fn check_comparison(&self) -> anyhow::Result<()> {
        let Some(Compare { factor: name, base }) = &self.compare else { return Ok(()) };
        let factor = self.factor.iter().find(|factor| factor.name == *name);
        let factor =
            factor.with_context(|| format!("compare.factor: `{name}` is not a factor of the plan"))?;
        ensure!(factor.levels.contains(base), "compare.base: {base} is not a level of {name}");
        Ok(())
    }

    fn check_cells(&self) -> anyhow::Result<()> {
        let level_counts = self.factor.iter().map(|factor| factor.levels.len() as u64);
        let mut runs = Some(self.seeds);
        for levels in level_counts {
            runs = runs.and_then(|runs| runs.checked_mul(levels));
        }
        ensure!(runs.is_some_and(|runs| runs <= MAX_RUNS), "the plan has more than {MAX_RUNS} runs");
        for cell in 0..self.cells() {
            let recipe = self.recipe(cell, self.first_seed);
            recipe.with_context(|| format!("cell {:?}", self.levels(cell)))?;
        }
        Ok(())
    }

    /// Number of combinations of levels: the product of the factors' numbers of levels.
    pub fn cells(&self) -> u64 {
        self.factor.iter().map(|factor| factor.levels.len() as u64).product()
    }

    /// Number of runs: cells times seeds.
    pub fn runs(&self) -> u64 {
        self.cells() * self.seeds
    }

    /// The cell and the seed of a run, by the run's number, counted from 0.
    pub fn run(&self, number: u64) -> RunKey {
        RunKey { cell: number / self.seeds, seed: self.first_seed + number % self.seeds }
    }

    /// The index of each factor's level in a cell. These are the digits of the cell's number in a mixed
    /// radix; the level of the last factor is the least significant digit.
    pub fn level_indices(&self, cell: u64) -> Vec<usize> {
        let mut indices = Vec::new();
        let mut rest = cell;
        for factor in self.factor.iter().rev() {
            let levels = factor.levels.len() as u64;
            indices.push((rest % levels) as usize);
            rest /= levels;
        }
        indices.reverse();
        indices
    }

    /// The level of each factor in a cell, as text.
    pub fn levels(&self, cell: u64) -> Vec<String> {
        let indices = self.level_indices(cell);
        let levels = self.factor.iter().zip(indices).map(|(factor, index)| &factor.levels[index]);
        levels.map(level_text).collect()
    }

    /// The recipe of the run of a cell with a seed. Factors are applied before the speed-up, so their levels
    /// refer to the scenario at its original speed.
    pub fn recipe(&self, cell: u64, seed: u64) -> anyhow::Result<Recipe> {
        let mut recipe = Recipe::new(Scenario::find(&self.scenario)?, seed);
        for (factor, index) in self.factor.iter().zip(self.level_indices(cell)) {
            let level = &factor.levels[index];
            let applied = apply_factor(&mut recipe, &factor.name, level);
            applied.with_context(|| format!("factor {} = {level}", factor.name))?;
        }
        recipe.scenario = recipe.scenario.with(None, self.speed)?;
        Ok(recipe)
    }
}
