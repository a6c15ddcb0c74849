//! Runs in virtual time: the recipe, from which a run can be repeated exactly, and the trace of one message.

mod message_trace;
#[cfg(test)]
mod tests;

use crate::baselines;
use anyhow::Context;
use linnetcart_conformance::{check, Report};
use linnetcart_emulator::model::Model;
use linnetcart_emulator::trace::DeliveryTrace;
use linnetcart_emulator::{EmulatedRun, Options};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
pub use message_trace::trace_message;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Everything that a run depends on, besides the version of the program. Recipe files keep the field names of
/// their first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recipe {
    /// The complete scenario, as it was run.
    #[serde(rename = "day")]
    pub scenario: Scenario,
    /// The seed of all random numbers of the run: fleet, traffic, network, clocks and decisions.
    pub seed: u64,
    /// The name of the delivery policy of all couriers, one of [`baselines::NAMES`].
    pub policy: String,
    /// The timing of hosts and network.
    #[serde(default)]
    pub model: Model,
}

/// A run with its fleet, not yet checked.
#[derive(Debug)]
pub struct UncheckedRun {
    /// The fleet that was drawn.
    pub fleet: Fleet,
    /// The records for the conformance checks, the digest, the trace, and the totals of events, connections
    /// and virtual time.
    pub run: EmulatedRun,
}

/// A run with its fleet and the results of the conformance checks.
#[derive(Debug)]
pub struct CheckedRun {
    /// The fleet that was drawn.
    pub fleet: Fleet,
    /// The records for the conformance checks, the digest, the trace, and the totals of events, connections
    /// and virtual time.
    pub run: EmulatedRun,
    /// The results of the conformance checks.
    pub report: Report,
}

impl UncheckedRun {
    /// Checks the records of the run against the invariants of the fleet.
    pub fn check(self) -> CheckedRun {
        let UncheckedRun { fleet, run } = self;
        let report = check(&run.records.records, &fleet.invariants(Timebase::Emulated));
        CheckedRun { fleet, run, report }
    }
}

impl Recipe {
    /// Creates the recipe of a run with the decision library as policy and the default model.
    pub fn new(scenario: Scenario, seed: u64) -> Recipe {
        Recipe { scenario, seed, policy: baselines::NAMES[0].into(), model: Model::default() }
    }

    /// Runs the recipe. A trace records the delivery events of the message that it was created for, or of
    /// all.
    ///
    /// # Errors
    /// Fails if the policy is unknown, or the emulation fails.
    pub fn run(&self, trace: Option<DeliveryTrace>) -> anyhow::Result<UncheckedRun> {
        let policy = baselines::policy(&self.policy).with_context(|| {
            format!("unknown policy `{}`; known policies: {}", self.policy, baselines::NAMES.join(", "))
        })?;
        let fleet = Fleet::draw(self.scenario.clone(), self.seed);
        let run = linnetcart_emulator::run(&fleet, Options { policy, model: self.model, trace })?;
        Ok(UncheckedRun { fleet, run })
    }

    /// Runs the recipe without a trace and checks the invariants.
    ///
    /// # Errors
    /// Fails if the policy is unknown, or the emulation fails; a broken invariant is no error.
    pub fn run_checked(&self) -> anyhow::Result<CheckedRun> {
        Ok(self.run(None)?.check())
    }

    /// Reads and validates a recipe that `emulate --recipe` or `hunt --recipe` wrote.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is no recipe, or has an invalid scenario.
    pub fn read(file: &Path) -> anyhow::Result<Recipe> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        let recipe: Recipe = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        recipe.scenario.check().with_context(|| file.display().to_string())?;
        Ok(recipe)
    }

    /// Writes the recipe to a file as indented JSON.
    pub fn write(&self, file: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(self)? + "\n";
        std::fs::write(file, text).with_context(|| file.display().to_string())
    }
}
