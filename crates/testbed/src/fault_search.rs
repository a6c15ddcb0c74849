//! Searches for scenarios that break an invariant or on which the library loses most, and shrinks what it finds to
//! what matters.
//!
//! Scenario number k is drawn from the search's seed and k alone, so a search finds the same with any number of
//! threads.

mod describe;
mod draw;
mod shrink;

use crate::baselines;
use crate::emulated_run::Recipe;
use crate::parallel;
pub use describe::{describe, script};
use linnetcart_conformance::Report;
use linnetcart_scenario::scenario::Scenario;

/// Scenarios that a search for losses draws from the worst one so far, at a time.
const GENERATION_SIZE: u64 = 32;
/// Of the worth lost that was found, the part that must remain while its scenario shrinks.
const REMAINING_LOSS: f64 = 0.8;

/// What is searched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// An invariant that breaks.
    BrokenInvariant,
    /// A scenario on which the best of the baselines serves more worth than the policy that is tested.
    WorthLost,
}

/// A search.
#[derive(Clone, Debug)]
pub struct FaultSearch {
    /// Fleet and traffic.
    pub base: Scenario,
    /// Everything is drawn from it.
    pub seed: u64,
    /// Scenarios that are tried at most.
    pub runs: u64,
    /// The policy that is tested.
    pub policy: String,
    /// What is searched for.
    pub goal: Goal,
    /// Faults of a scenario at most.
    pub max_faults: usize,
    /// Only faults that sockets can cause.
    pub sockets_only: bool,
    /// Runs at the same time.
    pub threads: usize,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The run that found it, counted from 1; 0 if it was given.
    pub run: u64,
    /// What is wrong, in words.
    pub summary: String,
    /// The scenario as drawn.
    pub drawn: Recipe,
    /// The scenario with what matters.
    pub shrunk: Recipe,
    /// Runs that shrinking took.
    pub shrink_runs: u64,
}

/// Called with the number of each run that is done.
pub type ProgressFn<'a> = &'a (dyn Fn(u64) + Sync);

/// How bad a scenario is: the invariants broken, and the worth lost against the best baseline.
#[derive(Clone, Debug, PartialEq)]
struct Severity {
    broken_rules: Vec<&'static str>,
    first_example: String,
    worth_lost: f64,
}

impl Severity {
    fn of(report: &Report) -> Severity {
        let broken: Vec<_> = report.rules.iter().filter(|invariant| invariant.violations > 0).collect();
        let first_example = broken.iter().find_map(|invariant| invariant.examples.first());
        Severity {
            broken_rules: broken.iter().map(|invariant| invariant.rule).collect(),
            first_example: first_example.cloned().unwrap_or_default(),
            worth_lost: 0.0,
        }
    }

    fn reaches(&self, goal: Goal) -> bool {
        match goal {
            Goal::BrokenInvariant => !self.broken_rules.is_empty(),
            Goal::WorthLost => self.worth_lost > 0.0,
        }
    }

    /// A smaller scenario with this severity still shows what `found` showed.
    fn still_shows(&self, found: &Severity, goal: Goal) -> bool {
        match goal {
            Goal::BrokenInvariant => {
                found.broken_rules.first().is_some_and(|rule| self.broken_rules.contains(rule))
            }
            Goal::WorthLost => self.worth_lost >= REMAINING_LOSS * found.worth_lost,
        }
    }

    fn summary(&self, goal: Goal) -> String {
        match goal {
            Goal::BrokenInvariant => format!("{}: {}", self.broken_rules.join("; "), self.first_example),
            Goal::WorthLost => format!("{:.3} of the worth less than the best baseline", self.worth_lost),
        }
    }
}

/// A scenario that was tried.
#[derive(Clone, Debug)]
struct Candidate {
    run: u64,
    recipe: Recipe,
    severity: Severity,
}

impl FaultSearch {
    /// Searches.
    pub fn run(&self, progress: ProgressFn) -> anyhow::Result<Option<Finding>> {
        let found = match self.goal {
            Goal::BrokenInvariant => self.find_broken_invariant(progress)?,
            Goal::WorthLost => self.find_worst_loss(progress)?,
        };
        found.map(|candidate| self.finding(candidate)).transpose()
    }

    /// Shrinks a run that is known to be bad; none if it is not.
    pub fn shrink_run(&self, recipe: Recipe) -> anyhow::Result<Option<Finding>> {
        let severity = self.assess(&recipe)?;
        if !severity.reaches(self.goal) {
            return Ok(None);
        }
        self.finding(Candidate { run: 0, recipe, severity }).map(Some)
    }

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

    fn assess(&self, recipe: &Recipe) -> anyhow::Result<Severity> {
        let report = recipe.run_checked()?.report;
        let mut severity = Severity::of(&report);
        if self.goal == Goal::WorthLost {
            for baseline in baselines::NAMES.iter().filter(|name| **name != recipe.policy) {
                let with_baseline = Recipe { policy: (*baseline).into(), ..recipe.clone() };
                let baseline_report = with_baseline.run_checked()?.report;
                severity.worth_lost = severity.worth_lost.max(baseline_report.service - report.service);
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
        Ok(found.map(|(_, candidate)| candidate))
    }

    /// The first half of the runs looks everywhere, the second near the worst scenario so far.
    fn find_worst_loss(&self, progress: ProgressFn) -> anyhow::Result<Option<Candidate>> {
        let mut worst: Option<Candidate> = None;
        let mut next_run = 1;
        while next_run <= self.runs {
            let end = (next_run + GENERATION_SIZE).min(self.runs + 1);
            let is_second_half = next_run > self.runs / 2;
            let parent = worst.clone().filter(|_| is_second_half);
            let generation = parallel::run_all(self.threads, next_run..end, &|run| {
                let recipe = match &parent {
                    Some(parent) => self.mutate(&parent.recipe, run),
                    None => self.draw(run),
                };
                let severity = self.assess(&recipe)?;
                progress(run);
                Ok(Candidate { run, recipe, severity })
            })?;
            for candidate in generation {
                let loss = candidate.severity.worth_lost;
                if worst.as_ref().is_none_or(|worst| loss > worst.severity.worth_lost) {
                    worst = Some(candidate);
                }
            }
            next_run = end;
        }
        Ok(worst.filter(|worst| worst.severity.reaches(Goal::WorthLost)))
    }
}
