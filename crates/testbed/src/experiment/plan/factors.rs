//! Applies a factor's level to the recipe of a run.

use crate::baselines;
use crate::emulated_run::Recipe;
use anyhow::{bail, ensure, Context};
use linnetcart_scenario::scenario::Scenario;
use toml::{Table, Value};

const MAX_DELAY_MS: f64 = 10_000.0;
const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;

/// A factor and its level, as given on the command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting {
    /// The factor's name.
    pub factor: String,
    /// The level.
    pub level: Value,
}

impl Setting {
    /// Parses `NAME=LEVEL`. A level that is not a TOML value is taken as a string.
    pub fn parse(text: &str) -> Result<Setting, String> {
        let (factor, level) = text.split_once('=').ok_or("expected NAME=LEVEL")?;
        let table = toml::from_str::<Table>(&format!("level = {level}")).ok();
        let parsed = table.and_then(|mut table| table.remove("level"));
        let level = parsed.unwrap_or_else(|| Value::String(level.into()));
        Ok(Setting { factor: factor.to_owned(), level })
    }
}

/// Sets a factor of a recipe to a level.
///
/// # Errors
/// Fails if the name is neither a factor nor a field of the scenario, or the level is not valid for it.
pub fn apply_factor(recipe: &mut Recipe, name: &str, level: &Value) -> anyhow::Result<()> {
    match name {
        "policy" => set_policy(recipe, string_level(level)?),
        "trouble" => set_faults(&mut recipe.scenario, string_level(level)?),
        "destinations" => multiply_destinations(&mut recipe.scenario, numeric_level(level)?),
        "delay_ms" => set_delay(recipe, numeric_level(level)?),
        path => {
            recipe.scenario = with_field(&recipe.scenario, path, level)?;
            Ok(())
        }
    }
}

fn numeric_level(level: &Value) -> anyhow::Result<f64> {
    match level {
        Value::Integer(number) => Ok(*number as f64),
        Value::Float(number) => Ok(*number),
        _ => bail!("the level must be a number"),
    }
}

fn string_level(level: &Value) -> anyhow::Result<&str> {
    level.as_str().context("the level must be a string")
}

fn set_policy(recipe: &mut Recipe, policy: &str) -> anyhow::Result<()> {
    ensure!(
        baselines::NAMES.contains(&policy),
        "unknown policy; the policies are {}",
        baselines::NAMES.join(", ")
    );
    recipe.policy = policy.into();
    Ok(())
}

/// Replaces the faults of `scenario` by those of the scenario that `source` names. The start and the duration
/// of each fault are multiplied by `scenario.seconds / source.seconds`, so that they stay the same fractions
/// of the run. Two values of `source` name no scenario: `none` removes all faults, `as-written` keeps them.
fn set_faults(scenario: &mut Scenario, source: &str) -> anyhow::Result<()> {
    match source {
        "as-written" => {}
        "none" => scenario.faults.clear(),
        other => {
            let other = Scenario::find(other)?;
            let duration_ratio = scenario.seconds / other.seconds;
            scenario.faults = other.faults;
            for fault in &mut scenario.faults {
                fault.at *= duration_ratio;
                fault.lasts *= duration_ratio;
            }
        }
    }
    Ok(())
}

/// Multiplies the number of destinations of each kind; at least one remains of each.
fn multiply_destinations(scenario: &mut Scenario, factor: f64) -> anyhow::Result<()> {
    ensure!(factor > 0.0 && factor <= 1000.0, "the level must be more than 0 and at most 1000");
    for kind in &mut scenario.kind {
        let destinations = (f64::from(kind.destinations) * factor).round() as u32;
        kind.destinations = destinations.max(1);
    }
    Ok(())
}

/// Sets the minimum one-way network delay; the random part that is added to it stays.
fn set_delay(recipe: &mut Recipe, milliseconds: f64) -> anyhow::Result<()> {
    ensure!((0.0..=MAX_DELAY_MS).contains(&milliseconds), "the level must be 0 to {MAX_DELAY_MS}");
    recipe.model.delay.minimum = (milliseconds * NANOSECONDS_PER_MILLISECOND) as u64;
    Ok(())
}

/// Returns the scenario with one field of its script changed. The path consists of field names and array
/// indices, separated by dots. A floating-point field also takes an integer.
fn with_field(scenario: &Scenario, path: &str, level: &Value) -> anyhow::Result<Scenario> {
    let mut script = Value::try_from(scenario)?;
    let mut field = &mut script;
    for part in path.split('.') {
        let next = match field {
            Value::Table(table) => table.get_mut(part),
            Value::Array(items) => part.parse::<usize>().ok().and_then(|index| items.get_mut(index)),
            _ => None,
        };
        field = next.with_context(|| format!("the scenario has no field `{part}` there"))?;
    }
    *field = match (&*field, level) {
        (Value::Float(_), Value::Integer(number)) => Value::Float(*number as f64),
        (_, level) => level.clone(),
    };
    let changed: Scenario = script.try_into()?;
    changed.check()?;
    Ok(changed)
}
