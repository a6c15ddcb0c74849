//! `hunt`: searches for scenarios that break an invariant, or on which the policy loses most against the
//! baselines.

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
    /// The scenario whose fleet, traffic and faults every run has
    #[arg(long, default_value = "quiet")]
    day: String,
    /// Number of couriers, in place of the scenario's
    #[arg(long)]
    couriers: Option<u32>,
    /// Speed up the scenario by this factor
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Seed of the search
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Maximum number of scenarios that are tried
    #[arg(long, default_value_t = 1000)]
    runs: u64,
    /// Maximum number of faults that are added to a scenario
    #[arg(long, default_value_t = 5)]
    troubles: usize,
    /// The policy that decides
    #[arg(long, default_value = "library")]
    policy: String,
    /// Search for the scenario with the largest loss against the best baseline, not for broken rules
    #[arg(long)]
    loss: bool,
    /// Draw only faults that a run on sockets can cause
    #[arg(long)]
    on_sockets: bool,
    /// Do not search, but shrink the scenario of this recipe
    #[arg(long, value_name = "FILE")]
    shrink: Option<PathBuf>,
    /// Number of runs at the same time; one for each core if not given
    #[arg(long)]
    threads: Option<usize>,
    /// Write the scenario that was found to this file, as a script
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write its recipe to this file, for `trace`
    #[arg(long, value_name = "FILE")]
    recipe: Option<PathBuf>,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    if !(1..=10_000_000).contains(&args.runs) || !(1..=64).contains(&args.troubles) {
        bail!("--runs: 1 to 10000000; --troubles: 1 to 64");
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
        Some(file) => println!("{} breaks no rule", file.display()),
        None => println!("nothing found in {} runs", args.runs),
    }
}

/// Prints the finding and writes the files that were asked for.
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
