//! The command line of `linnetcart-testbed`: one module for each subcommand, with its arguments and their
//! checks.
//!
//! The modules here read arguments and print results; the work itself is done by the other modules of the
//! library.

mod child;
mod common;
mod emulate;
mod experiment;
mod fault_search;
mod fidelity_check;
mod inspect;
mod listen;
mod socket_run;
mod throughput_baseline;
mod up;

use clap::{Parser, Subcommand};
use common::Outcome;
use std::process::ExitCode;

/// Starts local stacks of linnetcart, runs scenarios on real sockets and in virtual time, and measures.
///
/// Everything stays on loopback, on ports that the system chooses.
///
/// Exit codes: 0 done and every rule kept; 1 a rule was broken or something failed; 2 the command line is
/// wrong.
#[derive(Debug, Parser)]
#[command(name = "linnetcart-testbed", version)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a courier and its endpoints, print one line of JSON when all is ready, run until a signal
    Up(up::Args),
    /// Run a scenario on sockets and check the six rules on the recorded traffic
    #[command(name = "day")]
    SocketRun(socket_run::Args),
    /// Run a scenario in virtual time, with any number of couriers, and check the six rules
    Emulate(emulate::Args),
    /// Run scenarios on sockets and in virtual time on the same seeds, and report how far they differ
    #[command(name = "faithful")]
    FidelityCheck(fidelity_check::Args),
    /// Run a grid of factors in virtual time and report the results
    Experiment(experiment::Args),
    /// Search in virtual time for scenarios that break a rule or lose most, and shrink them
    #[command(name = "hunt")]
    FaultSearch(fault_search::Args),
    /// Print the lifecycle of one message of a run in virtual time, every attempt with its reason
    Trace(inspect::TraceArgs),
    /// Measure the cost of a message: an edge beside a relay that decides nothing
    #[command(name = "floor")]
    ThroughputBaseline(throughput_baseline::Args),
    /// Draw charts and tables from files that `day --json`, `floor --json` and `tail --record` wrote
    Report(inspect::ReportArgs),
    /// Replay recorded decision cycles through the decision library and compare its decisions, byte for byte
    Replay(inspect::ReplayArgs),
    /// Receive reports as Graphite or collectd would, and show them live
    #[command(name = "tail")]
    Listen(listen::Args),
    /// List the built-in scenarios
    #[command(name = "days")]
    ListScenarios,
    /// Relay and decide nothing; `floor` starts it
    #[command(hide = true)]
    Relay(child::RelayArgs),
    /// Run a courier; other subcommands start theirs with this
    #[command(hide = true)]
    Edge(child::EdgeArgs),
}

/// Runs the program and returns its exit code.
pub fn run(args: Args) -> ExitCode {
    let outcome = match args.command {
        Command::Up(args) => up::run(&args),
        Command::SocketRun(args) => socket_run::run(&args),
        Command::Emulate(args) => emulate::run(&args),
        Command::FidelityCheck(args) => fidelity_check::run(&args),
        Command::Experiment(args) => experiment::run(&args),
        Command::FaultSearch(args) => fault_search::run(&args),
        Command::Trace(args) => inspect::trace(&args),
        Command::ThroughputBaseline(args) => throughput_baseline::run(args),
        Command::Report(args) => inspect::report(&args),
        Command::Replay(args) => inspect::replay(&args),
        Command::Listen(args) => listen::run(args),
        Command::ListScenarios => inspect::list_scenarios(),
        Command::Relay(args) => child::run_relay(&args),
        Command::Edge(args) => child::run_edge(args),
    };
    match outcome {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => {
            eprintln!("error: {error:#}");
            Outcome::Failed.exit_code()
        }
    }
}
