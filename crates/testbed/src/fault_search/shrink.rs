//! Shrinks a scenario greedily, one step at a time, as long as it still shows the problem that was found.

use super::{FaultSearch, Severity};
use crate::emulated_run::Recipe;
use linnetcart_scenario::scenario::{FaultSpec, Scenario};

/// Maximum number of runs that shrinking takes.
const MAX_SHRINK_RUNS: u64 = 400;

/// Faults that last longer than this, in seconds, are tried at half their duration.
const MIN_HALVED_SECONDS: f64 = 0.3;
/// Arguments of [`round_to`] for the fields of faults, in steps per unit.
const TENTHS: f64 = 10.0;
const HUNDREDTHS: f64 = 100.0;

/// The result of shrinking.
pub(super) struct Shrunk {
    pub(super) recipe: Recipe,
    /// Number of runs that shrinking took.
    pub(super) runs: u64,
}

impl FaultSearch {
    /// Removes and simplifies parts of a scenario until no smaller one shows the same problem, or
    /// [`MAX_SHRINK_RUNS`] runs have been made.
    pub(super) fn shrink(&self, found: &Recipe, severity: &Severity) -> anyhow::Result<Shrunk> {
        let mut shrunk = Shrunk { recipe: found.clone(), runs: 0 };
        while let Some(smaller) = self.find_smaller(&mut shrunk, severity)? {
            shrunk.recipe = smaller;
        }
        Ok(shrunk)
    }

    /// Returns the first smaller recipe that shows the same problem, or `None` if there is none or the runs
    /// are used up.
    fn find_smaller(&self, shrunk: &mut Shrunk, severity: &Severity) -> anyhow::Result<Option<Recipe>> {
        for smaller in smaller_recipes(&shrunk.recipe) {
            if shrunk.runs >= MAX_SHRINK_RUNS {
                return Ok(None);
            }
            shrunk.runs += 1;
            let is_valid = smaller.scenario.check().is_ok();
            if is_valid && self.assess(&smaller)?.still_shows(severity, self.goal) {
                return Ok(Some(smaller));
            }
        }
        Ok(None)
    }
}

/// Collects candidates for shrinking: copies of the recipe `from`, each with one change.
struct Steps<'a> {
    from: &'a Recipe,
    smaller: Vec<Recipe>,
}

impl Steps<'_> {
    /// Applies `change` to the scenario of a copy of `from`, and collects the copy if it differs from `from`.
    fn add(&mut self, change: impl FnOnce(&mut Scenario)) {
        let mut recipe = self.from.clone();
        change(&mut recipe.scenario);
        if recipe != *self.from {
            self.smaller.push(recipe);
        }
    }

    /// As [`Steps::add`], with `change` applied to the fault at position `index`.
    fn add_fault_change(&mut self, index: usize, change: impl FnOnce(&mut FaultSpec)) {
        self.add(|scenario| change(&mut scenario.faults[index]));
    }
}

/// Returns the recipes that are one step smaller, the largest steps first.
fn smaller_recipes(from: &Recipe) -> Vec<Recipe> {
    let mut steps = Steps { from, smaller: Vec::new() };
    for index in 0..from.scenario.faults.len() {
        steps.add(|scenario| {
            scenario.faults.remove(index);
        });
    }
    add_smaller_fleets(&mut steps);
    for index in 0..from.scenario.faults.len() {
        add_simpler_faults(&mut steps, index);
    }
    steps.smaller
}

/// Adds steps that shorten the scenario, reduce its traffic, and reduce the numbers of couriers, destinations
/// and kinds of destination.
fn add_smaller_fleets(steps: &mut Steps) {
    let scenario = &steps.from.scenario;
    let kinds = scenario.kind.len();
    let fault_ends = scenario.faults.iter().map(|fault| fault.at + fault.lasts);
    // The shorter scenario lasts `1.2 * t + 1` seconds, where `t` is the end of its last fault, at least 2 s.
    let last_fault_end = fault_ends.fold(2.0, f64::max);
    let enough_seconds = (last_fault_end * 1.2 + 1.0).ceil();
    steps.add(|scenario| scenario.seconds = scenario.seconds.min(enough_seconds));
    steps.add(|scenario| scenario.couriers = (scenario.couriers / 2).max(1));
    steps.add(|scenario| scenario.traffic.burst_share = 0.0);
    steps.add(|scenario| scenario.traffic.load = (scenario.traffic.load * 0.6).max(0.05));
    for index in 0..kinds {
        steps.add(|scenario| {
            if scenario.kind.len() > 1 {
                scenario.kind.remove(index);
            }
        });
        steps.add(|scenario| {
            let destinations = &mut scenario.kind[index].destinations;
            *destinations = (*destinations / 2).max(1);
        });
    }
}

/// Adds steps that simplify the fault at position `index`, each in one field: halve `lasts`, rounded to
/// tenths of a second; round `at` to tenths of a second, or `size` or `part` to hundredths; clear `hard`.
fn add_simpler_faults(steps: &mut Steps, index: usize) {
    if steps.from.scenario.faults[index].lasts > MIN_HALVED_SECONDS {
        steps.add_fault_change(index, |fault| fault.lasts = round_to(fault.lasts / 2.0, TENTHS));
    }
    steps.add_fault_change(index, |fault| fault.at = round_to(fault.at, TENTHS));
    steps.add_fault_change(index, |fault| fault.size = round_to(fault.size, HUNDREDTHS));
    steps.add_fault_change(index, |fault| fault.part = round_to(fault.part, HUNDREDTHS));
    steps.add_fault_change(index, |fault| fault.hard = false);
}

/// Rounds to a multiple of `1 / steps_per_unit`.
fn round_to(value: f64, steps_per_unit: f64) -> f64 {
    (value * steps_per_unit).round() / steps_per_unit
}
