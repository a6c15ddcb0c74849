//! Runs in virtual time: what a run is drawn from, so that it can be repeated, and the trace of one message.

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

/// What a run is drawn from; nothing else goes into it. Recipe files keep the names of their first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recipe {
    /// The whole script, as it was run.
    #[serde(rename = "day")]
    pub scenario: Scenario,
    /// The seed of fleet, traffic, network and decisions.
    pub seed: u64,
    /// The name of the policy that decides.
    pub policy: String,
    /// Timing of hosts and network.
    #[serde(default)]
    pub model: Model,
}

/// A run with its fleet and the outcome of the conformance checks.
#[derive(Debug)]
pub struct CheckedRun {
    /// The fleet that was drawn.
    pub fleet: Fleet,
    /// What happened.
    pub run: EmulatedRun,
    /// What the checks say.
    pub report: Report,
}

impl CheckedRun {
    /// Checks a run against the invariants of its fleet.
    pub fn new(fleet: Fleet, run: EmulatedRun) -> CheckedRun {
        let report = check(&run.records.records, &fleet.invariants(Timebase::Emulated));
        CheckedRun { fleet, run, report }
    }
}

impl Recipe {
    /// A run of the decision library on the default model.
    pub fn new(scenario: Scenario, seed: u64) -> Recipe {
        Recipe { scenario, seed, policy: baselines::NAMES[0].into(), model: Model::default() }
    }

    /// Runs it, with a trace if one is given.
    pub fn run(&self, trace: Option<DeliveryTrace>) -> anyhow::Result<(Fleet, EmulatedRun)> {
        let policy = baselines::policy(&self.policy).with_context(|| {
            format!("`{}` is no policy; there are {}", self.policy, baselines::NAMES.join(", "))
        })?;
        let fleet = Fleet::draw(self.scenario.clone(), self.seed);
        let run = linnetcart_emulator::run(&fleet, Options { policy, model: self.model, trace })?;
        Ok((fleet, run))
    }

    /// Runs it and checks the invariants.
    pub fn run_checked(&self) -> anyhow::Result<CheckedRun> {
        let (fleet, run) = self.run(None)?;
        Ok(CheckedRun::new(fleet, run))
    }

    /// Reads a recipe that `emulate --recipe` or `hunt --recipe` wrote.
    pub fn read(file: &Path) -> anyhow::Result<Recipe> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        let recipe: Recipe = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        recipe.scenario.check().with_context(|| file.display().to_string())?;
        Ok(recipe)
    }

    /// Writes the recipe to a file.
    pub fn write(&self, file: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(self)? + "\n";
        std::fs::write(file, text).with_context(|| file.display().to_string())
    }
}
