//! `faithful`: measures how far runs in virtual time differ from runs on sockets with the same seeds.

use super::common::{this_program, write_json, Outcome, WorkFolder, MAX_COURIERS_ON_SOCKETS};
use crate::fidelity_check::{self, FidelityPlan, Progress};
use anyhow::bail;
use linnetcart_scenario::scenario::Scenario;
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Names of built-in scenarios, or paths of scenario scripts
    #[arg(required = true)]
    days: Vec<String>,
    /// Number of seeds for each scenario: 1 up to this number
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Speed-up factor: the scenarios' durations are divided and their rates multiplied by it
    #[arg(long, default_value_t = 3.0)]
    speed: f64,
    /// Number of concurrent runs on sockets
    #[arg(long, default_value_t = 1)]
    beside: usize,
    /// Write the means and differences as JSON to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    if !(1..=1000).contains(&args.seeds) || !(1..=16).contains(&args.beside) {
        bail!("--seeds must be 1 to 1000, --beside 1 to 16");
    }
    let mut scenarios = Vec::new();
    for name in &args.days {
        scenarios.push(Scenario::find(name)?.with(None, args.speed)?);
    }
    let needs_emulator = |scenario: &&Scenario| {
        scenario.couriers > MAX_COURIERS_ON_SOCKETS || !scenario.emulated_only().is_empty()
    };
    if let Some(scenario) = scenarios.iter().find(needs_emulator) {
        bail!("{} cannot run on sockets: too many couriers, or a fault that is only emulated", scenario.name);
    }
    let folder = WorkFolder::temporary()?;
    let plan = FidelityPlan {
        scenarios,
        seeds: args.seeds,
        parallel_runs: args.beside,
        program: this_program()?,
        dir: folder.path.clone(),
    };
    let shows_progress = std::io::stderr().is_terminal();
    let result = fidelity_check::run(&plan, &|Progress { run, total }| {
        if shows_progress {
            eprint!("\r{run} of {total} runs   ");
        }
    })?;
    println!("{}", result.table);
    write_json(args.json.as_deref(), &result.figures)?;
    Ok(Outcome::Passed)
}
