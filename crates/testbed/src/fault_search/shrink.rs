//! Shrinks a scenario as long as it shows the same.

use super::{FaultSearch, Severity};
use crate::emulated_run::Recipe;
use linnetcart_scenario::scenario::Scenario;

/// Runs that shrinking may take.
const MAX_SHRINK_RUNS: u64 = 400;

/// A recipe that was shrunk.
pub(super) struct Shrunk {
    pub(super) recipe: Recipe,
    pub(super) runs: u64,
}

impl FaultSearch {
    /// Takes away what does not matter, as long as the scenario shows the same.
    pub(super) fn shrink(&self, found: &Recipe, severity: &Severity) -> anyhow::Result<Shrunk> {
        let mut shrunk = Shrunk { recipe: found.clone(), runs: 0 };
        while let Some(smaller) = self.find_smaller(&mut shrunk, severity)? {
            shrunk.recipe = smaller;
        }
        Ok(shrunk)
    }

    /// The first smaller recipe that shows the same; none if there is none, or no run left to look for it.
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

/// Recipes that differ from one in a single step.
struct Steps<'a> {
    from: &'a Recipe,
    smaller: Vec<Recipe>,
}

impl Steps<'_> {
    /// Adds a recipe with a change, unless it changes nothing.
    fn add(&mut self, change: impl FnOnce(&mut Scenario)) {
        let mut recipe = self.from.clone();
        change(&mut recipe.scenario);
        if recipe != *self.from {
            self.smaller.push(recipe);
        }
    }
}

/// Recipes that are somewhat smaller, the greatest steps first.
fn smaller_recipes(from: &Recipe) -> Vec<Recipe> {
    let mut steps = Steps { from, smaller: Vec::new() };
    for index in 0..from.scenario.trouble.len() {
        steps.add(|scenario| {
            scenario.trouble.remove(index);
        });
    }
    add_smaller_fleets(&mut steps);
    for index in 0..from.scenario.trouble.len() {
        add_simpler_faults(&mut steps, index);
    }
    steps.smaller
}

fn add_smaller_fleets(steps: &mut Steps) {
    let scenario = &steps.from.scenario;
    let kinds = scenario.kind.len();
    let fault_ends = scenario.trouble.iter().map(|fault| fault.at + fault.lasts);
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

fn add_simpler_faults(steps: &mut Steps, index: usize) {
    if steps.from.scenario.trouble[index].lasts > 0.3 {
        // Half as long, to a tenth of a second.
        steps.add(|scenario| {
            let lasts = &mut scenario.trouble[index].lasts;
            *lasts = (*lasts * 5.0).round() / 10.0;
        });
    }
    steps.add(|scenario| {
        let at = &mut scenario.trouble[index].at;
        *at = (*at * 10.0).round() / 10.0;
    });
    steps.add(|scenario| {
        let size = &mut scenario.trouble[index].size;
        *size = (*size * 100.0).round() / 100.0;
    });
    steps.add(|scenario| {
        let part = &mut scenario.trouble[index].part;
        *part = (*part * 100.0).round() / 100.0;
    });
    steps.add(|scenario| scenario.trouble[index].hard = false);
}
