//! The command line of `linnetcart-testbed`. Each module declares the arguments of its subcommands, validates
//! them, calls the module of the library that does the work, and prints the results.

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

/// Runs test scenarios of linnetcart on real sockets and in virtual time, and measures its cost per message.
///
/// Couriers and simulated endpoints listen on the loopback interface, on ports that the system chooses.
///
/// Exit codes: 0 success; 1 a check failed, such as a broken rule, or an error occurred; 2 invalid arguments.
#[derive(Debug, Parser)]
#[command(name = "linnetcart-testbed", version)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a courier and its endpoints, print the addresses as one line of JSON, run until a signal
    Up(up::Args),
    /// Run a scenario with courier processes on sockets and check the six rules on the recorded traffic
    #[command(name = "day")]
    SocketRun(socket_run::Args),
    /// Run a scenario in virtual time, which allows more couriers than `day`, and check the six rules
    Emulate(emulate::Args),
    /// Run scenarios on sockets and in virtual time with the same seeds, and report the differences
    #[command(name = "faithful")]
    FidelityCheck(fidelity_check::Args),
    /// Run each combination of factor levels in virtual time and report means with confidence intervals
    Experiment(experiment::Args),
    /// Search in virtual time for faults that break a rule or lose most priority weight, and minimize them
    #[command(name = "hunt")]
    FaultSearch(fault_search::Args),
    /// Repeat a run in virtual time and print what happened to one message, every attempt with its reason
    Trace(inspect::TraceArgs),
    /// Measure CPU time per message of a courier, compared with a relay that makes no delivery decisions
    #[command(name = "floor")]
    ThroughputBaseline(throughput_baseline::Args),
    /// Draw charts and tables from files of `day --json`, `emulate --json`, `floor --json`, `tail --record`
    Report(inspect::ReportArgs),
    /// Replay recorded decision cycles through the decision library and compare its actions byte for byte
    Replay(inspect::ReplayArgs),
    /// Receive the couriers' metrics as Graphite or collectd would, and show them live
    #[command(name = "tail")]
    Listen(listen::Args),
    /// List the built-in scenarios
    #[command(name = "days")]
    ListScenarios,
    /// Forward messages without delivery decisions; `floor` starts this process
    #[command(hide = true)]
    Relay(child::RelayArgs),
    /// Run a courier; other subcommands start their couriers with this
    #[command(hide = true)]
    Edge(child::EdgeArgs),
}

/// Runs the subcommand and returns the exit code. An error is printed with its causes to standard error.
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
