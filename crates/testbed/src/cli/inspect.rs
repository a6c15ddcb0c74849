//! `trace`, `report`, `replay` and `days`: show recipes, results, decision records and built-in scenarios.

use super::common::Outcome;
use crate::emulated_run::{trace_message, Recipe};
use crate::{charts, decision_record};
use linnetcart_scenario::scenario::{BuiltInScenario, Scenario, BUILT_IN};
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct TraceArgs {
    /// Recipe of the run, as `emulate --recipe` or `hunt --recipe` writes it
    run: PathBuf,
    /// Number of the message in the run, counted from 0
    message: u64,
}

#[derive(Debug, clap::Args)]
pub(super) struct ReportArgs {
    /// Files written by `day --json`, `emulate --json`, `floor --json` or `tail --record`
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Folder for the charts and the tables
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

#[derive(Debug, clap::Args)]
pub(super) struct ReplayArgs {
    /// Decision records, as `day --record` writes them
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub(super) fn trace(args: &TraceArgs) -> anyhow::Result<Outcome> {
    let recipe = Recipe::read(&args.run)?;
    print!("{}", trace_message(&recipe, args.message)?);
    Ok(Outcome::Passed)
}

pub(super) fn report(args: &ReportArgs) -> anyhow::Result<Outcome> {
    charts::report(&args.files, &args.out)?;
    Ok(Outcome::Passed)
}

pub(super) fn replay(args: &ReplayArgs) -> anyhow::Result<Outcome> {
    for file in &args.files {
        let replayed = decision_record::replay(file)?;
        let decision_record::Replayed { cycles, events, actions } = replayed;
        println!("{}: same actions: {cycles} cycles, {events} events, {actions} actions", file.display());
    }
    Ok(Outcome::Passed)
}

pub(super) fn list_scenarios() -> anyhow::Result<Outcome> {
    for BuiltInScenario { name, text: script } in BUILT_IN {
        let about = Scenario::parse(script).map(|scenario| scenario.about).unwrap_or_default();
        println!("{name:<18}{about}");
    }
    Ok(Outcome::Passed)
}
