//! `emulate`: runs a scenario in virtual time and checks the six rules.

use super::common::{print_overloads, print_verdict, write_json, Outcome};
use crate::emulated_run::{CheckedRun, Recipe};
use crate::experiment::plan::{apply_factor, Setting};
use crate::run_report::{self, PolicyReport};
use anyhow::Context;
use linnetcart_emulator::EmulatedRun;
use linnetcart_scenario::scenario::Scenario;
use std::path::PathBuf;
use std::time::Instant;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Name of a built-in scenario, or path of a scenario script
    #[arg(value_name = "DAY")]
    name: String,
    /// Seed of the random numbers of fleet, traffic, network and decisions
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Speed-up factor: the scenario's durations are divided and its rates multiplied by it
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Number of couriers; replaces the scenario's
    #[arg(long)]
    couriers: Option<u32>,
    /// Name of the decision policy
    #[arg(long, default_value = "library")]
    policy: String,
    /// Set a factor, as in the plan of an experiment: destinations=10, traffic.load=0.9, trouble=none
    #[arg(long = "set", value_name = "NAME=LEVEL", value_parser = Setting::parse)]
    settings: Vec<Setting>,
    /// Write the report of the checks as JSON to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the inputs that determine the run (its recipe) to this file, for `trace` and `hunt --shrink`
    #[arg(long, value_name = "FILE")]
    recipe: Option<PathBuf>,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    let scenario = Scenario::find(&args.name)?.with(args.couriers, 1.0)?;
    let name = scenario.name.clone();
    let recipe = recipe(args, scenario)?;
    if let Some(file) = &args.recipe {
        recipe.write(file)?;
    }
    let started = Instant::now();
    let unchecked = recipe.run(None)?;
    let elapsed = started.elapsed().as_secs_f64();
    let CheckedRun { fleet, run, report } = unchecked.check();
    println!("{name}, seed {}: {}", args.seed, fleet.about());
    println!("\n{}", run_report::table(&report));
    print_overloads(&run.records);
    print_speed(&run, elapsed);
    println!("digest {}", run.digest);
    let reports = [PolicyReport { policy: args.policy.clone(), report }];
    write_json(args.json.as_deref(), &run_report::json(&name, args.seed, &reports))?;
    let [PolicyReport { report, .. }] = &reports;
    print_verdict(report);
    Ok(Outcome::of_report(report))
}

/// The recipe of the run. The factors are applied before the speed, so their levels refer to the scenario at
/// its original speed.
fn recipe(args: &Args, scenario: Scenario) -> anyhow::Result<Recipe> {
    let mut recipe = Recipe::new(scenario, args.seed);
    recipe.policy = args.policy.clone();
    for Setting { factor, level } in &args.settings {
        apply_factor(&mut recipe, factor, level).with_context(|| format!("--set {factor}"))?;
    }
    recipe.scenario = recipe.scenario.with(None, args.speed)?;
    Ok(recipe)
}

/// Prints how fast the emulation was; `elapsed` is its wall-clock time in seconds.
fn print_speed(run: &EmulatedRun, elapsed: f64) {
    let virtual_seconds = run.virtual_time as f64 / 1e9;
    let times_real_time = virtual_seconds / elapsed;
    let events_per_second = run.events as f64 / elapsed;
    println!(
        "{virtual_seconds:.1} s of virtual time in {elapsed:.2} s: {times_real_time:.1} times real time, \
         {events_per_second:.0} events per second, at most {} open connections",
        run.peak_connections
    );
}
