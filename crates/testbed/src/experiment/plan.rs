//! The plan of an experiment: its factors, their levels, the seeds, and what is compared.

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
const MAX_SEEDS: u64 = 100_000;
const DEFAULT_SHOW: [&str; 6] =
    ["served_worth", "worst_10s", "late_worth", "refused", "calls_refused", "rules_broken"];

/// A plan, as it is written in TOML.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The question that the experiment answers, in one sentence.
    pub about: String,
    /// The name of a built-in scenario, or the path of a script.
    #[serde(rename = "day")]
    pub scenario: String,
    /// The factor by which the scenario is sped up.
    #[serde(default = "default_speed")]
    pub speed: f64,
    /// Number of seeds of each cell, counted up from `first_seed`.
    pub seeds: u64,
    /// The first seed.
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// Measures that tables and charts show.
    #[serde(default = "default_show")]
    pub show: Vec<String>,
    /// The comparison that is reported, if any.
    #[serde(default)]
    pub compare: Option<Compare>,
    /// The factors.
    pub factor: Vec<Factor>,
}

/// A factor and its levels.
///
/// The name is `couriers`, `policy`, `trouble` (a level is a scenario whose faults are used, `none`, or
/// `as-written`), `destinations` (a level multiplies their number), `delay_ms`, or any field of the
/// scenario's script, such as `traffic.load` or `kind.0.spare`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// Its name.
    pub name: String,
    /// Its levels.
    pub levels: Vec<Value>,
}

/// A comparison of the levels of one factor, on the same seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    /// The factor's name.
    pub factor: String,
    /// The level that the others are compared with.
    pub base: Value,
}

/// The place of a run in the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunKey {
    /// The number of the combination of levels.
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

/// A level as text.
pub fn level_text(level: &Value) -> String {
    match level {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

impl Plan {
    /// Reads a plan from a file and checks it, including the scenario of each cell.
    pub fn read(file: &Path) -> anyhow::Result<Plan> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Plan::parse(&text).with_context(|| file.display().to_string())
    }

    /// Parses a plan's text and checks it.
    pub fn parse(text: &str) -> anyhow::Result<Plan> {
        let plan: Plan = toml::from_str(text)?;
        plan.check_seeds_and_factors()?;
        plan.check_shown_measures()?;
        plan.check_comparison()?;
        plan.check_cells()?;
        Ok(plan)
    }

    fn check_seeds_and_factors(&self) -> anyhow::Result<()> {
        ensure!((1..=MAX_SEEDS).contains(&self.seeds), "seeds: 1 to {MAX_SEEDS}");
        ensure!(self.first_seed < 1 << 60, "first_seed: under 2^60");
        for factor in &self.factor {
            ensure!(!factor.levels.is_empty(), "factor {}: at least one level", factor.name);
        }
        Ok(())
    }

    fn check_shown_measures(&self) -> anyhow::Result<()> {
        let known = MEASURES.map(|measure| measure.name);
        for name in &self.show {
            ensure!(known.contains(&name.as_str()), "show: `{name}` is none of {}", known.join(", "));
        }
        Ok(())
    }

    fn check_comparison(&self) -> anyhow::Result<()> {
        let Some(Compare { factor: name, base }) = &self.compare else { return Ok(()) };
        let factor = self.factor.iter().find(|factor| factor.name == *name);
        let factor = factor.with_context(|| format!("compare.factor: `{name}` is no factor here"))?;
        ensure!(factor.levels.contains(base), "compare.base: {base} is no level of {name}");
        Ok(())
    }

    fn check_cells(&self) -> anyhow::Result<()> {
        let level_counts = self.factor.iter().map(|factor| factor.levels.len() as u64);
        let mut runs = Some(self.seeds);
        for levels in level_counts {
            runs = runs.and_then(|runs| runs.checked_mul(levels));
        }
        ensure!(runs.is_some_and(|runs| runs <= MAX_RUNS), "more than {MAX_RUNS} runs");
        for cell in 0..self.cells() {
            let recipe = self.recipe(cell, self.first_seed);
            recipe.with_context(|| format!("cell {:?}", self.levels(cell)))?;
        }
        Ok(())
    }

    /// Number of combinations of levels.
    pub fn cells(&self) -> u64 {
        self.factor.iter().map(|factor| factor.levels.len() as u64).product()
    }

    /// Number of runs.
    pub fn runs(&self) -> u64 {
        self.cells() * self.seeds
    }

    /// The place of a run, by its number.
    pub fn run(&self, number: u64) -> RunKey {
        RunKey { cell: number / self.seeds, seed: self.first_seed + number % self.seeds }
    }

    /// The levels of a cell, as indices; the last factor changes first.
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

    /// The levels of a cell, as texts.
    pub fn levels(&self, cell: u64) -> Vec<String> {
        let indices = self.level_indices(cell);
        let levels = self.factor.iter().zip(indices).map(|(factor, index)| &factor.levels[index]);
        levels.map(level_text).collect()
    }

    /// Everything that determines the run of a cell with a seed.
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
