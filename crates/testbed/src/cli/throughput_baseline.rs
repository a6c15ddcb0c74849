//! `floor`: measures what a message costs.

use super::common::{this_program, write_json, Outcome, WorkFolder};
use crate::throughput_baseline::{self, Options, Selection};
use crate::{decision_cost, report_cost};
use anyhow::bail;
use serde_json::Value;
use std::path::PathBuf;

/// Decision cycles per turn of a case, when the cost of decisions is measured.
const DECISION_CYCLES: u64 = 400;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Length of each measurement in seconds
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Number of measurements of edge and relay, in turn; medians are given
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Measure only this part: beside, destinations, held, connections or telemetry
    #[arg(long)]
    part: Option<String>,
    /// Numbers of messages in flight
    #[arg(long, value_delimiter = ',', default_values_t = [10, 1000, 10_000])]
    held: Vec<usize>,
    /// Numbers of destinations
    #[arg(long, value_delimiter = ',', default_values_t = [1, 10, 100, 1000])]
    destinations: Vec<usize>,
    /// Measure only the cost of a decision, of the library alone and in virtual time
    #[arg(long, conflicts_with_all = ["part", "seconds"])]
    decisions: bool,
    /// Measure only the cost of reports, of the reporting alone and in virtual time
    #[arg(long, conflicts_with_all = ["part", "seconds", "decisions"])]
    reports: bool,
    /// Write the figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

pub(super) fn run(args: Args) -> anyhow::Result<Outcome> {
    if !(1..=100).contains(&args.rounds) {
        bail!("--rounds: 1 to 100");
    }
    let json = args.json.clone();
    let figures = if args.decisions {
        print_figures(decision_cost::run(DECISION_CYCLES, args.rounds))
    } else if args.reports {
        print_figures(report_cost::run(args.rounds))
    } else {
        measure_processes(args)?
    };
    write_json(json.as_deref(), &figures)?;
    Ok(Outcome::Passed)
}

fn print_figures(figures: Value) -> Value {
    println!("{figures:#}");
    figures
}

fn measure_processes(args: Args) -> anyhow::Result<Value> {
    if args.held.iter().any(|count| !(1..=80_000).contains(count)) {
        bail!("--held: 1 to 80000");
    }
    if args.destinations.iter().any(|count| !(1..=5000).contains(count)) {
        bail!("--destinations: 1 to 5000");
    }
    if !(args.seconds > 0.0 && args.seconds <= 600.0) {
        bail!("--seconds: more than 0 and at most 600");
    }
    let folder = WorkFolder::temporary()?;
    let options = Options {
        program: this_program()?,
        dir: folder.path.clone(),
        seconds: args.seconds,
        rounds: args.rounds,
    };
    let selection = Selection { only: args.part, in_flight: args.held, destinations: args.destinations };
    throughput_baseline::run(options, &selection)
}
