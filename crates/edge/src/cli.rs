//! The command line of `linnetcart-edge`.

use crate::core::{MemoryBudget, PolicyFactory};
use crate::log_writer::LogWriter;
use crate::shell::{self, Exit, HostPort, Options};
use clap::{Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code after a second signal, which ended the process before every message had its final answer.
const EXIT_INTERRUPTED: u8 = 3;

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Takes messages from Kafka producers and delivers each to one endpoint of its destination.
///
/// It starts without settings: give it some with PUT /settings and PUT /list on the control address, or let
/// it find the snapshot of an earlier run in --state-dir. When it listens, it prints one line of JSON with
/// both addresses on standard output. Logs go to standard error.
///
/// Exit codes: 0 every message has its final answer; 1 it could not start or run; 2 the command line is
/// wrong; 3 a second signal ended it before every message had its final answer.
#[derive(Clone, Debug, Parser)]
#[command(name = "linnetcart-edge", version, args_conflicts_with_subcommands = true)]
pub struct Args {
    /// Instead of taking messages from Kafka producers
    #[command(subcommand)]
    pub front: Option<Front>,
    /// Where producers connect; port 0 lets the system choose
    #[arg(long, default_value = "127.0.0.1:9092", value_name = "ADDR")]
    pub kafka: SocketAddr,
    /// Where the control interface listens; keep it where only operators reach it
    #[arg(long, default_value = "127.0.0.1:9080", value_name = "ADDR")]
    pub control: SocketAddr,
    /// Host and port that producers are given, if others than --kafka
    #[arg(long, value_name = "HOST:PORT", value_parser = host_port)]
    pub advertise: Option<HostPort>,
    /// Folder of the saved settings and list; without it nothing is saved
    #[arg(long, value_name = "DIR")]
    pub state_dir: Option<PathBuf>,
    /// Seed of the decisions' randomness; by default from the system
    #[arg(long, value_name = "N")]
    pub seed: Option<u64>,
    /// How long messages are still worked on after SIGTERM, in milliseconds
    #[arg(long, default_value_t = 10_000, value_name = "MS")]
    pub drain_ms: u64,
    /// Greatest number of connections, clients and endpoints together
    #[arg(long, default_value_t = 20_000, value_name = "N")]
    pub connections: usize,
    /// Memory that the process may take, in megabytes (10^6 bytes); at its limits, requests are refused
    #[arg(long, default_value_t = 512, value_name = "MB", value_parser = clap::value_parser!(u64).range(32..=1_000_000))]
    pub memory_mb: u64,
    /// Form of the logs; by default plain on a terminal and JSON elsewhere
    #[arg(long, value_name = "FORM", global = true)]
    pub log: Option<LogForm>,
    /// What is logged: error, warn, info, debug or trace
    #[arg(long, default_value = "info", value_name = "LEVEL", global = true)]
    pub log_level: tracing::Level,
}

/// Other ways in and out than Kafka's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
pub enum Front {
    /// The platform's protocol on HTTP/1.1, configured by RELAY_CONFIG and RELAY_STATE; ends within 4 s of
    /// SIGTERM
    Platform,
}

/// Form of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    /// Lines for people.
    Plain,
    /// One JSON object a line.
    Json,
}

/// Why a text is not a valid `HOST:PORT`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum HostPortError {
    #[error("HOST:PORT is expected")]
    NoPort,
    #[error("`{port}` is not a port number")]
    InvalidPort { port: String },
}

/// Parses `HOST:PORT`, where an IPv6 address is in brackets.
fn host_port(text: &str) -> Result<HostPort, HostPortError> {
    let (host, port) = text.rsplit_once(':').ok_or(HostPortError::NoPort)?;
    let port = port.parse().map_err(|_| HostPortError::InvalidPort { port: port.to_owned() })?;
    Ok(HostPort { host: host.trim_matches(['[', ']']).to_owned(), port })
}

/// Starts logging to standard error, which never waits for the reader of a pipe. Without `form`, logs are plain on a terminal and JSON elsewhere. Does
/// nothing if the process has a subscriber already.
pub fn start_logs(form: Option<LogForm>, level: tracing::Level) {
    let is_terminal = std::io::stderr().is_terminal();
    let form = form.unwrap_or(if is_terminal { LogForm::Plain } else { LogForm::Json });
    let logs = tracing_subscriber::fmt()
        .with_writer(LogWriter::new(form))
        .with_max_level(level)
        .with_target(false)
        // By default a line that cannot be written is reported with `eprintln!`, which panics if standard
        // error is closed.
        .log_internal_errors(false);
    let started = match form {
        LogForm::Json => logs.json().flatten_event(true).try_init(),
        LogForm::Plain => logs.with_ansi(is_terminal).try_init(),
    };
    // A process that uses this crate as a library may have installed its own subscriber, which stays.
    drop(started);
}

/// Runs the program with the decision library and returns the exit code.
pub fn run(args: Args) -> ExitCode {
    run_with(args, crate::core::library)
}

/// Runs the program with another decision policy, for comparisons, and returns the exit code.
pub fn run_with(args: Args, policy: PolicyFactory) -> ExitCode {
    start_logs(args.log, args.log_level);
    match args.front {
        Some(Front::Platform) => exit_code(run_platform()),
        None => exit_code(shell::run(shell_options(args, policy)).map(exit_status)),
    }
}

/// Runs the front for the platform's protocol, which is configured by environment variables.
fn run_platform() -> anyhow::Result<ExitCode> {
    let environment = linnetcart_platform::shell::Environment::read()?;
    linnetcart_platform::shell::run(environment)?;
    Ok(ExitCode::SUCCESS)
}

fn shell_options(args: Args, policy: PolicyFactory) -> Options {
    Options {
        kafka: args.kafka,
        control: args.control,
        advertise: args.advertise,
        state_dir: args.state_dir,
        seed: args.seed,
        drain: Duration::from_millis(args.drain_ms),
        max_connections: args.connections,
        memory: MemoryBudget::new(args.memory_mb * BYTES_PER_MEGABYTE, args.connections),
        policy,
    }
}

fn exit_status(exit: Exit) -> ExitCode {
    match exit {
        Exit::Drained => ExitCode::SUCCESS,
        Exit::Interrupted => ExitCode::from(EXIT_INTERRUPTED),
    }
}

fn exit_code(result: anyhow::Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|error| {
        tracing::error!(error = format!("{error:#}"), "stopped by an error");
        ExitCode::FAILURE
    })
}
