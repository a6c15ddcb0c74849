//! The command line of `linnetcart-testbed`: one module a subcommand, with its arguments and what checks them.
//!
//! What subcommands do stands in the library's modules; here is what is read from and printed to the terminal.

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

/// Brings up local stacks of linnetcart, runs scenarios on real sockets and measures.
///
/// Everything stays on loopback, on ports that the system chooses.
///
/// Exit codes: 0 done and every rule kept; 1 a rule was broken, or something failed; 2 the command line is wrong.
#[derive(Debug, Parser)]
#[command(name = "linnetcart-testbed", version)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start couriers and stand-ins, print one line of JSON when all is ready, stay until a signal
    Up(up::Args),
    /// Run a scenario on sockets and check the six rules from what went over them
    #[command(name = "day")]
    SocketRun(socket_run::Args),
    /// Run a scenario in virtual time, with as many couriers as it takes, and check the six rules
    Emulate(emulate::Args),
    /// Run scenarios on sockets and in virtual time, seed by seed, and say how far they differ
    #[command(name = "faithful")]
    FidelityCheck(fidelity_check::Args),
    /// Run a grid of factors in virtual time and report what it shows
    Experiment(experiment::Args),
    /// Search for scenarios in virtual time that break a rule or lose most, and shrink them to what matters
    #[command(name = "hunt")]
    FaultSearch(fault_search::Args),
    /// Print the life of one message of a run in virtual time, every attempt with its reason
    Trace(inspect::TraceArgs),
    /// Measure what a message costs: an edge beside a relay that decides nothing
    #[command(name = "floor")]
    ThroughputBaseline(throughput_baseline::Args),
    /// Draw charts and a table from what `day --json`, `floor --json` and `tail --record` wrote
    Report(inspect::ReportArgs),
    /// Put recorded decision cycles to the decision library and compare what it decides, byte for byte
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

/// Runs the program.
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
