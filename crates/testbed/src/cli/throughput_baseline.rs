//! `floor`: measures the CPU time and memory that messages, decisions and reports cost.

use super::common::{this_program, write_json, Outcome, WorkFolder};
use crate::throughput_baseline::{self, Options, Selection};
use crate::{decision_cost, report_cost};
use anyhow::bail;
use serde_json::Value;
use std::path::PathBuf;

/// Number of decision cycles in each measurement of `--decisions`; `--rounds` is the number of measurements.
const DECISION_CYCLES: u64 = 400;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Duration of each measurement, in seconds
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Repetitions of beside, telemetry, --decisions and --reports; the other parts are measured once
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Measure only one part: beside (courier and relay), destinations, held, connections or telemetry
    #[arg(long)]
    part: Option<String>,
    /// Numbers of messages in flight to measure, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [10, 1000, 10_000])]
    held: Vec<usize>,
    /// Numbers of destinations to measure, separated by commas
    #[arg(long, value_delimiter = ',', default_values_t = [1, 10, 100, 1000])]
    destinations: Vec<usize>,
    /// Measure only the CPU time of decisions: the library without sockets, in virtual time
    #[arg(long, conflicts_with_all = ["part", "seconds"])]
    decisions: bool,
    /// Measure only the CPU time of metrics reports: the telemetry without sockets, in virtual time
    #[arg(long, conflicts_with_all = ["part", "seconds", "decisions"])]
    reports: bool,
    /// Write the results as JSON to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

pub(super) fn run(args: Args) -> anyhow::Result<Outcome> {
    if !(1..=100).contains(&args.rounds) {
        bail!("--rounds must be 1 to 100");
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

/// Prints the results as indented JSON and returns them unchanged.
fn print_figures(figures: Value) -> Value {
    println!("{figures:#}");
    figures
}

/// Measures a courier and, for comparison, a relay as child processes, and prints the results of each part.
fn measure_processes(args: Args) -> anyhow::Result<Value> {
    if args.held.iter().any(|count| !(1..=80_000).contains(count)) {
        bail!("each number of --held must be 1 to 80000");
    }
    if args.destinations.iter().any(|count| !(1..=5000).contains(count)) {
        bail!("each number of --destinations must be 1 to 5000");
    }
    if !(args.seconds > 0.0 && args.seconds <= 600.0) {
        bail!("--seconds must be more than 0 and at most 600");
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
