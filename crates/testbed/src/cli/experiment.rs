//! `experiment`: runs every combination of factor levels in virtual time (a full factorial design).

use super::common::{thread_count, Outcome};
use crate::experiment::plan::Plan;
use crate::experiment::{self, Completion, Options};
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Path of the plan, a TOML file
    plan: PathBuf,
    /// Folder for results, charts and the report; results there of the same plan and commit are kept
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Number of concurrent runs; the default is the number of CPU cores
    #[arg(long)]
    threads: Option<usize>,
    /// Stop after this many runs; the same command resumes with the remaining ones
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
        commit: experiment::commit(),
    };
    if experiment::run(plan, &args.out, &options)? == Completion::Partial {
        println!("incomplete: the same command resumes the experiment");
    }
    Ok(Outcome::Passed)
}
