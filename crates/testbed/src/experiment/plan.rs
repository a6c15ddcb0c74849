//! The plan of an experiment: factors as a grid, seeds, what is compared.

use super::measures::MEASURES;
use crate::emulated::Recipe;
use anyhow::{bail, ensure, Context};
use linnetcart_emulator::model::Model;
use linnetcart_scenario::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::Value;

/// Runs of an experiment at most.
const MOST: u64 = 1_000_000;

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What it asks, in a sentence.
    pub about: String,
    /// A built-in day, or a script's file.
    pub day: String,
    /// So many times as fast.
    #[serde(default = "one")]
    pub speed: f64,
    /// Seeds of each cell: `first_seed` and those after it.
    pub seeds: u64,
    /// The first seed.
    #[serde(default = "first")]
    pub first_seed: u64,
    /// Measures that tables and charts show.
    #[serde(default = "show")]
    pub show: Vec<String>,
    /// Levels that are compared on the same seeds.
    #[serde(default)]
    pub compare: Option<Compare>,
    /// The factors.
    pub factor: Vec<Factor>,
}

/// A factor and its levels. `couriers`, `policy`, `trouble` (a day whose troubles are played, `none`, or
/// `as-written`), `destinations` (so many times as many), `delay_ms`, or the name of any field of the day's
/// script, as `traffic.load` or `kind.0.spare`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// Its name.
    pub name: String,
    /// Its levels.
    pub levels: Vec<Value>,
}

/// Which factor's levels are compared, with which of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Compare {
    /// The factor.
    pub factor: String,
    /// The level that others are compared with.
    pub base: Value,
}

fn one() -> f64 {
    1.0
}
fn first() -> u64 {
    1
}
fn show() -> Vec<String> {
    ["served_worth", "worst_10s", "late_worth", "refused", "calls_refused", "rules_broken"]
        .map(String::from)
        .to_vec()
}

/// A factor and its level from the command line, `NAME=LEVEL`; what is no number or list is a name.
pub fn setting(written: &str) -> Result<(String, Value), String> {
    let (name, level) = written.split_once('=').ok_or("NAME=LEVEL is expected")?;
    let read = toml::from_str::<toml::Table>(&format!("level = {level}"));
    let level = read.ok().and_then(|mut t| t.remove("level")).unwrap_or_else(|| Value::String(level.into()));
    Ok((name.to_owned(), level))
}

/// A level as text.
pub fn text(level: &Value) -> String {
    match level {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

impl Plan {
    /// Reads a plan and checks it as a whole, down to each run's day.
    pub fn read(file: &Path) -> anyhow::Result<Plan> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Plan::parse(&text).with_context(|| file.display().to_string())
    }

    /// Reads a plan's text and checks it.
    pub fn parse(text: &str) -> anyhow::Result<Plan> {
        let plan: Plan = toml::from_str(text)?;
        ensure!((1..=100_000).contains(&plan.seeds), "seeds: 1 to 100000");
        ensure!(plan.first_seed < 1 << 60, "first_seed: under 2^60");
        for f in &plan.factor {
            ensure!(!f.levels.is_empty(), "factor {}: at least one level", f.name);
        }
        for name in &plan.show {
            let known: Vec<&str> = MEASURES.iter().map(|m| m.name).collect();
            ensure!(known.contains(&name.as_str()), "show: `{name}` is none of {}", known.join(", "));
        }
        if let Some(c) = &plan.compare {
            let factor = plan.factor.iter().find(|f| f.name == c.factor);
            let factor =
                factor.with_context(|| format!("compare.factor: `{}` is no factor here", c.factor))?;
            ensure!(factor.levels.contains(&c.base), "compare.base: {} is no level of {}", c.base, c.factor);
        }
        let cells = plan.factor.iter().try_fold(1u64, |n, f| n.checked_mul(f.levels.len() as u64));
        let runs = cells.and_then(|c| c.checked_mul(plan.seeds)).filter(|&n| n <= MOST);
        ensure!(runs.is_some(), "more than {MOST} runs");
        for cell in 0..plan.cells() {
            plan.recipe(cell, plan.first_seed).with_context(|| format!("cell {:?}", plan.levels(cell)))?;
        }
        Ok(plan)
    }

    /// Combinations of levels.
    pub fn cells(&self) -> u64 {
        self.factor.iter().map(|f| f.levels.len() as u64).product()
    }

    /// Runs in all.
    pub fn runs(&self) -> u64 {
        self.cells() * self.seeds
    }

    /// The cell and seed of a run.
    pub fn run(&self, number: u64) -> (u64, u64) {
        (number / self.seeds, self.first_seed + number % self.seeds)
    }

    /// The levels of a cell, as indices; the last factor changes first.
    pub fn indices(&self, mut cell: u64) -> Vec<usize> {
        let mut all: Vec<usize> = self
            .factor
            .iter()
            .rev()
            .map(|f| {
                let at = cell % f.levels.len() as u64;
                cell /= f.levels.len() as u64;
                at as usize
            })
            .collect();
        all.reverse();
        all
    }

    /// The levels of a cell, as texts.
    pub fn levels(&self, cell: u64) -> Vec<String> {
        self.factor.iter().zip(self.indices(cell)).map(|(f, at)| text(&f.levels[at])).collect()
    }

    /// What a run is drawn from.
    pub fn recipe(&self, cell: u64, seed: u64) -> anyhow::Result<Recipe> {
        let day = Scenario::find(&self.day)?;
        let mut recipe = Recipe { day, seed, policy: "library".into(), model: Model::default() };
        for (f, at) in self.factor.iter().zip(self.indices(cell)) {
            let level = &f.levels[at];
            set(&mut recipe, &f.name, level).with_context(|| format!("factor {} = {level}", f.name))?;
        }
        recipe.day = recipe.day.with(None, self.speed)?;
        Ok(recipe)
    }
}

fn number(level: &Value) -> anyhow::Result<f64> {
    match level {
        Value::Integer(n) => Ok(*n as f64),
        Value::Float(x) => Ok(*x),
        _ => bail!("a number is wanted"),
    }
}

fn word(level: &Value) -> anyhow::Result<&str> {
    level.as_str().context("a name is wanted")
}

/// Sets a factor of a run.
pub fn set(recipe: &mut Recipe, name: &str, level: &Value) -> anyhow::Result<()> {
    match name {
        "policy" => {
            let policy = word(level)?;
            let known = crate::baselines::NAMES;
            ensure!(known.contains(&policy), "there are {}", known.join(", "));
            recipe.policy = policy.into();
        }
        "trouble" => match word(level)? {
            "as-written" => {}
            "none" => recipe.day.trouble.clear(),
            other => {
                let day = Scenario::find(other)?;
                let stretch = recipe.day.seconds / day.seconds;
                recipe.day.trouble = day.trouble;
                // They begin and end at the same parts of the day.
                for t in &mut recipe.day.trouble {
                    (t.at, t.lasts) = (t.at * stretch, t.lasts * stretch);
                }
            }
        },
        "destinations" => {
            let times = number(level)?;
            ensure!(times > 0.0 && times <= 1000.0, "more than 0 and at most 1000");
            for k in &mut recipe.day.kind {
                k.destinations = ((f64::from(k.destinations) * times).round() as u32).max(1);
            }
        }
        "delay_ms" => {
            let ms = number(level)?;
            ensure!((0.0..=10_000.0).contains(&ms), "0 to 10000");
            recipe.model.delay.minimum = (ms * 1e6) as u64;
        }
        path => recipe.day = changed(&recipe.day, path, level)?,
    }
    Ok(())
}

/// The day with one field of its script changed.
fn changed(day: &Scenario, path: &str, level: &Value) -> anyhow::Result<Scenario> {
    let mut all = Value::try_from(day)?;
    let mut at = &mut all;
    for part in path.split('.') {
        let next = match at {
            Value::Table(t) => t.get_mut(part),
            Value::Array(a) => part.parse::<usize>().ok().and_then(|n| a.get_mut(n)),
            _ => None,
        };
        at = next.with_context(|| format!("the day's script has no `{part}` there"))?;
    }
    *at = match (&*at, level) {
        (Value::Float(_), Value::Integer(n)) => Value::Float(*n as f64),
        (_, level) => level.clone(),
    };
    let day: Scenario = all.try_into()?;
    day.check()?;
    Ok(day)
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
name = "t"
about = "A test."
day = "quiet"
seeds = 3
compare = { factor = "couriers", base = 2 }
[[factor]]
name = "couriers"
levels = [2, 5]
[[factor]]
name = "traffic.load"
levels = [0.5, 1]
[[factor]]
name = "trouble"
levels = ["none", "slow", "as-written"]
"#;

    #[test]
    fn a_grid_has_each_combination_once() {
        let plan = Plan::parse(GOOD).unwrap();
        assert_eq!((plan.cells(), plan.runs()), (12, 36));
        let all: std::collections::BTreeSet<_> = (0..12).map(|c| plan.levels(c)).collect();
        assert_eq!(all.len(), 12);
        assert_eq!(plan.levels(7), ["5", "0.5", "slow"]);
        assert_eq!(plan.run(7), (2, 2));
        let r = plan.recipe(7, 9).unwrap();
        assert_eq!((r.day.couriers, r.day.traffic.load, r.day.trouble.len(), r.seed), (5, 0.5, 1, 9));
        assert_eq!(plan.recipe(9, 9).unwrap().day.traffic.load, 1.0, "a whole number for a fraction");
    }

    #[test]
    fn a_factor_on_the_command_line_is_read_as_in_a_plan() {
        assert_eq!(setting("couriers=30").unwrap(), ("couriers".into(), Value::Integer(30)));
        assert_eq!(setting("traffic.load=0.5").unwrap().1, Value::Float(0.5));
        assert_eq!(setting("policy=one-try").unwrap().1, Value::String("one-try".into()));
        assert!(setting("couriers").is_err());
    }

    #[test]
    fn a_wrong_plan_names_its_place() {
        let said = |from: &str, to: &str| {
            assert!(GOOD.contains(from));
            format!("{:#}", Plan::parse(&GOOD.replacen(from, to, 1)).unwrap_err())
        };
        assert!(said("seeds = 3", "seeds = 0").contains("seeds"));
        assert!(said("traffic.load", "traffic.lode").contains("lode"));
        assert!(said("\"slow\"", "\"no-such-day\"").contains("no-such-day"));
        assert!(said("base = 2", "base = 4").contains("compare.base"));
        assert!(said("[2, 5]", "[2, 5000]").contains("5000"));
        assert!(said("[2, 5]", "[]").contains("level"));
        assert!(said("day = ", "show = [\"nothing\"]\nday = ").contains("served_worth"));
    }
}
