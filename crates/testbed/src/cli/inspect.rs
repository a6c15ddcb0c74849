//! `trace`, `report`, `replay` and `days`: show what is in files.

use super::common::Outcome;
use crate::emulated_run::{trace_message, Recipe};
use crate::{charts, decision_record};
use linnetcart_scenario::scenario::{BuiltInScenario, Scenario, BUILT_IN};
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct TraceArgs {
    /// The run's recipe, as `emulate --recipe` writes it
    run: PathBuf,
    /// The number of the message
    message: u64,
}

#[derive(Debug, clap::Args)]
pub(super) struct ReportArgs {
    /// Files that `day --json`, `emulate --json`, `floor --json` or `tail --record` wrote
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Folder for the charts and the tables
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

#[derive(Debug, clap::Args)]
pub(super) struct ReplayArgs {
    /// Records, as `day --record` writes them
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
        println!("{}: the same in {cycles} rounds, {events} events, {actions} actions", file.display());
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
