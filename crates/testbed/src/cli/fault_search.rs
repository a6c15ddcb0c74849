//! `hunt`: searches for faults that break a rule, or with which a policy delivers the least priority weight
//! compared with the best baseline.

use super::common::{thread_count, Outcome};
use crate::emulated_run::Recipe;
use crate::fault_search::{self, FaultSearch, Finding, Goal};
use anyhow::{bail, Context};
use linnetcart_scenario::scenario::Scenario;
use std::io::IsTerminal;
use std::path::PathBuf;

/// Number of runs between two updates of the progress line.
const PROGRESS_INTERVAL: u64 = 16;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Scenario whose fleet, traffic and faults every run starts from
    #[arg(long, default_value = "quiet")]
    day: String,
    /// Number of couriers; replaces the scenario's
    #[arg(long)]
    couriers: Option<u32>,
    /// Speed-up factor: the scenario's durations are divided and its rates multiplied by it
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Seed from which the faults and the seeds of the runs are drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Maximum number of scenarios to run
    #[arg(long, default_value_t = 1000)]
    runs: u64,
    /// Maximum number of faults to add to the scenario
    #[arg(long, default_value_t = 5)]
    troubles: usize,
    /// Name of the decision policy under test
    #[arg(long, default_value = "library")]
    policy: String,
    /// Search for the largest loss of priority weight against the best baseline instead of for broken rules
    #[arg(long)]
    loss: bool,
    /// Draw only faults that can be injected on sockets, so that `day` can run the scenario
    #[arg(long)]
    on_sockets: bool,
    /// Minimize the faults of this recipe instead of searching
    #[arg(long, value_name = "FILE")]
    shrink: Option<PathBuf>,
    /// Number of concurrent runs; the default is the number of CPU cores
    #[arg(long)]
    threads: Option<usize>,
    /// Write the minimized scenario as a script to this file
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write the recipe of the minimized run to this file, for `trace`
    #[arg(long, value_name = "FILE")]
    recipe: Option<PathBuf>,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    if !(1..=10_000_000).contains(&args.runs) || !(1..=64).contains(&args.troubles) {
        bail!("--runs must be 1 to 10000000, --troubles 1 to 64");
    }
    let shows_progress = std::io::stderr().is_terminal();
    let search = search(args)?;
    let finding = match &args.shrink {
        Some(file) => search.shrink_run(Recipe::read(file)?)?,
        None => search.run(&|number| {
            if shows_progress && number % PROGRESS_INTERVAL == 0 {
                eprint!("\r{number} of {} runs   ", args.runs);
            }
        })?,
    };
    if shows_progress {
        eprintln!();
    }
    match finding {
        Some(finding) => {
            report_finding(args, &finding)?;
            Ok(Outcome::Failed)
        }
        None => {
            print_nothing_found(args);
            Ok(Outcome::Passed)
        }
    }
}

fn search(args: &Args) -> anyhow::Result<FaultSearch> {
    Ok(FaultSearch {
        base: Scenario::find(&args.day)?.with(args.couriers, args.speed)?,
        seed: args.seed,
        runs: args.runs,
        policy: args.policy.clone(),
        goal: if args.loss { Goal::WeightLoss } else { Goal::BrokenInvariant },
        max_faults: args.troubles,
        sockets_only: args.on_sockets,
        threads: thread_count(args.threads)?,
    })
}

fn print_nothing_found(args: &Args) {
    match &args.shrink {
        Some(file) => println!("{}: no broken rule or loss to minimize", file.display()),
        None => println!("nothing found in {} runs", args.runs),
    }
}

/// Prints the finding, and writes its script and recipe if `--out` and `--recipe` ask for them.
fn report_finding(args: &Args, finding: &Finding) -> anyhow::Result<()> {
    print!("{}", fault_search::describe(finding)?);
    if let Some(file) = &args.out {
        let script = fault_search::script(finding)?;
        std::fs::write(file, script).with_context(|| file.display().to_string())?;
    }
    if let Some(file) = &args.recipe {
        finding.shrunk.write(file)?;
    }
    Ok(())
}
