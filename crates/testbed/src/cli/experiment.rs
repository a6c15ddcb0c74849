//! `experiment`: a grid of factors in virtual time.

use super::common::{thread_count, Outcome};
use crate::experiment::plan::Plan;
use crate::experiment::{self, Completion, Options};
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// The plan, TOML
    plan: PathBuf,
    /// Where results, charts and the report go; what is there of the same plan and commit is continued
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Runs at the same time; as many as there are cores if not given
    #[arg(long)]
    threads: Option<usize>,
    /// End after so many runs; the same command continues with the rest
    #[arg(long)]
    at_most: Option<u64>,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    let plan = Plan::read(&args.plan)?;
    let command =
        format!("linnetcart-testbed experiment {} --out {}", args.plan.display(), args.out.display());
    let options = Options {
        threads: thread_count(args.threads)?,
        max_runs: args.at_most,
        shows_progress: std::io::stderr().is_terminal(),
        command,
    };
    if experiment::run(plan, &args.out, &options)? == Completion::Partial {
        println!("not whole yet: the same command goes on with it");
    }
    Ok(Outcome::Passed)
}
