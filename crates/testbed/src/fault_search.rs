//! Fault search, by the method of property-based testing: draws scenarios with random faults and runs them in
//! virtual time. It looks for a scenario that breaks an invariant, or for the one with the largest loss
//! `max(0, b - p)`, where `b` and `p` are the fractions of the requested priority weight that the best
//! baseline and the tested policy deliver. The scenario found is shrunk: faults, traffic and fleet are
//! reduced as long as the problem persists.
//!
//! The scenario of run k depends on the seed of the search and on k alone, so a search finds the same
//! scenario with any number of threads.

mod describe;
mod draw;
mod shrink;

use crate::baselines;
use crate::emulated_run::Recipe;
use crate::parallel;
pub use describe::{describe, script};
use linnetcart_conformance::Report;
use linnetcart_scenario::scenario::Scenario;
use std::ops::Range;

/// Number of runs in a generation of a search for losses. A generation in the second half of the runs mutates
/// the scenario with the largest loss before it.
const GENERATION_SIZE: u64 = 32;
/// A scenario is shrunk only as long as its loss is at least this fraction of the loss before shrinking; see
/// [`Severity::weight_loss`].
const MIN_REMAINING_LOSS: f64 = 0.8;

/// What a search looks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// A scenario on which an invariant is broken.
    BrokenInvariant,
    /// The scenario on which the best baseline delivers more priority weight than the tested policy, by the
    /// largest margin.
    WeightLoss,
}

/// The parameters of a search.
#[derive(Clone, Debug)]
pub struct FaultSearch {
    /// The scenario whose fleet, traffic and faults are used; the drawn faults are added.
    pub base: Scenario,
    /// The seed that all scenarios are drawn from.
    pub seed: u64,
    /// Maximum number of scenarios that are tried.
    pub runs: u64,
    /// The name of the policy that is tested.
    pub policy: String,
    /// What the search looks for.
    pub goal: Goal,
    /// Maximum number of faults of a scenario.
    pub max_faults: usize,
    /// Whether only faults are drawn that can also be injected in a run on sockets.
    pub sockets_only: bool,
    /// Number of runs at the same time.
    pub threads: usize,
}

/// A scenario that a search found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The number of the run that found the scenario, counted from 1; 0 if the scenario was given and not
    /// drawn.
    pub run: u64,
    /// The broken invariants with an example, or the loss against the best baseline.
    pub summary: String,
    /// The scenario as drawn.
    pub drawn: Recipe,
    /// The scenario after shrinking.
    pub shrunk: Recipe,
    /// Number of runs that shrinking took.
    pub shrink_runs: u64,
}

/// Called with the number of each run when it has finished.
pub type ProgressFn<'a> = &'a (dyn Fn(u64) + Sync);

/// The result of running a scenario: the broken invariants and the loss against the best baseline.
#[derive(Clone, Debug, PartialEq)]
struct Severity {
    broken_rules: Vec<&'static str>,
    /// An example of a broken invariant; empty if none is broken.
    first_example: String,
    /// `max(0, service of the best baseline - service of the tested policy)`, where service is the fraction
    /// of the requested priority weight that was delivered.
    weight_loss: f64,
}

impl Severity {
    fn of(report: &Report) -> Severity {
        let broken: Vec<_> = report.rules.iter().filter(|invariant| invariant.violations > 0).collect();
        let first_example = broken.iter().find_map(|invariant| invariant.examples.first());
        Severity {
            broken_rules: broken.iter().map(|invariant| invariant.rule).collect(),
            first_example: first_example.cloned().unwrap_or_default(),
            weight_loss: 0.0,
        }
    }

    /// Whether a scenario with this severity shows a problem of the kind that the search looks for.
    fn reaches(&self, goal: Goal) -> bool {
        match goal {
            Goal::BrokenInvariant => !self.broken_rules.is_empty(),
            Goal::WeightLoss => self.weight_loss > 0.0,
        }
    }

    /// Whether a scenario with this severity still shows the problem that was `found`: the first of the
    /// broken rules is broken again, or at least [`MIN_REMAINING_LOSS`] of the loss remains.
    fn still_shows(&self, found: &Severity, goal: Goal) -> bool {
        match goal {
            Goal::BrokenInvariant => {
                found.broken_rules.first().is_some_and(|rule| self.broken_rules.contains(rule))
            }
            Goal::WeightLoss => self.weight_loss >= MIN_REMAINING_LOSS * found.weight_loss,
        }
    }

    fn summary(&self, goal: Goal) -> String {
        match goal {
            Goal::BrokenInvariant => format!("{}: {}", self.broken_rules.join("; "), self.first_example),
            Goal::WeightLoss => {
                format!("{:.3} of the priority weight less than the best baseline", self.weight_loss)
            }
        }
    }
}

/// A scenario that was run, with its result.
#[derive(Clone, Debug)]
struct Candidate {
    run: u64,
    recipe: Recipe,
    severity: Severity,
}

impl FaultSearch {
    /// Runs the search and shrinks the scenario found. Returns `None` if no run reaches the goal.
    ///
    /// # Errors
    /// Fails if a run fails, for example because the policy is unknown.
    pub fn run(&self, progress: ProgressFn) -> anyhow::Result<Option<Finding>> {
        let found = match self.goal {
            Goal::BrokenInvariant => self.find_broken_invariant(progress)?,
            Goal::WeightLoss => self.find_worst_loss(progress)?,
        };
        found.map(|candidate| self.finding(candidate)).transpose()
    }

    /// Shrinks the scenario of a given recipe. Returns `None` if its run does not reach the goal.
    ///
    /// # Errors
    /// Fails if a run fails, for example because the policy is unknown.
    pub fn shrink_run(&self, recipe: Recipe) -> anyhow::Result<Option<Finding>> {
        let severity = self.assess(&recipe)?;
        if !severity.reaches(self.goal) {
            return Ok(None);
        }
        self.finding(Candidate { run: 0, recipe, severity }).map(Some)
    }

    /// Shrinks a candidate and describes what it shows.
    fn finding(&self, candidate: Candidate) -> anyhow::Result<Finding> {
        let Candidate { run, recipe, severity } = candidate;
        let shrunk = self.shrink(&recipe, &severity)?;
        Ok(Finding {
            run,
            summary: severity.summary(self.goal),
            drawn: recipe,
            shrunk: shrunk.recipe,
            shrink_runs: shrunk.runs,
        })
    }

    /// Runs a recipe and returns its severity. In a search for losses, runs it also with every other policy.
    fn assess(&self, recipe: &Recipe) -> anyhow::Result<Severity> {
        let report = recipe.run_checked()?.report;
        let mut severity = Severity::of(&report);
        if self.goal == Goal::WeightLoss {
            for baseline in baselines::NAMES.iter().filter(|name| **name != recipe.policy) {
                let with_baseline = Recipe { policy: (*baseline).into(), ..recipe.clone() };
                let baseline_report = with_baseline.run_checked()?.report;
                severity.weight_loss = severity.weight_loss.max(baseline_report.service - report.service);
            }
        }
        Ok(severity)
    }

    fn find_broken_invariant(&self, progress: ProgressFn) -> anyhow::Result<Option<Candidate>> {
        let found = parallel::find_first(self.threads, 1..=self.runs, &|run| {
            let recipe = self.draw(run);
            let severity = self.assess(&recipe)?;
            progress(run);
            let is_found = severity.reaches(Goal::BrokenInvariant);
            Ok(is_found.then_some(Candidate { run, recipe, severity }))
        })?;
        Ok(found.map(|found| found.result))
    }

    /// Draws independent scenarios in the first half of the runs, and in the second half mutates the one with
    /// the largest loss so far (hill climbing).
    fn find_worst_loss(&self, progress: ProgressFn) -> anyhow::Result<Option<Candidate>> {
        let mut worst: Option<Candidate> = None;
        let mut next_run = 1;
        while next_run <= self.runs {
            let end = (next_run + GENERATION_SIZE).min(self.runs + 1);
            let is_second_half = next_run > self.runs / 2;
            let parent = worst.clone().filter(|_| is_second_half);
            let generation = self.run_generation(next_run..end, parent.as_ref(), progress)?;
            for candidate in generation {
                let loss = candidate.severity.weight_loss;
                if worst.as_ref().is_none_or(|worst| loss > worst.severity.weight_loss) {
                    worst = Some(candidate);
                }
            }
            next_run = end;
        }
        Ok(worst.filter(|worst| worst.severity.reaches(Goal::WeightLoss)))
    }

    /// Runs mutations of the parent, or independently drawn scenarios if there is no parent.
    fn run_generation(
        &self,
        runs: Range<u64>,
        parent: Option<&Candidate>,
        progress: ProgressFn,
    ) -> anyhow::Result<Vec<Candidate>> {
        parallel::run_all(self.threads, runs, &|run| {
            let recipe = match parent {
                Some(parent) => self.mutate(&parent.recipe, run),
                None => self.draw(run),
            };
            let severity = self.assess(&recipe)?;
            progress(run);
            Ok(Candidate { run, recipe, severity })
        })
    }
}
