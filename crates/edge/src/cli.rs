//! The command line of `linnetcart-edge`.

use crate::core::PolicyFactory;
use crate::shell::{self, End, Options};
use clap::{Parser, Subcommand, ValueEnum};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Takes messages from Kafka producers and delivers each to one endpoint of its destination.
///
/// It starts without settings: give it some with PUT /settings and PUT /list on the control address, or let it
/// find the snapshot of an earlier run in --state-dir. When it listens, it prints one line of JSON with both
/// addresses on standard output. Logs go to standard error.
///
/// Exit codes: 0 everything held has its answer; 1 it could not start or run; 2 the command line is wrong;
/// 3 a second signal ended it before everything held had its answer.
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
    /// Host and port that producers are told, if others than --kafka
    #[arg(long, value_name = "HOST:PORT", value_parser = host_port)]
    pub advertise: Option<(String, u16)>,
    /// Folder of the saved settings and list; without it nothing is saved
    #[arg(long, value_name = "DIR")]
    pub state_dir: Option<PathBuf>,
    /// Seed of the decisions' randomness; by default from the system
    #[arg(long, value_name = "N")]
    pub seed: Option<u64>,
    /// How long messages are still worked on after SIGTERM, in milliseconds
    #[arg(long, default_value_t = 10_000, value_name = "MS")]
    pub drain_ms: u64,
    /// Connections that are held at most, clients and endpoints together
    #[arg(long, default_value_t = 20_000, value_name = "N")]
    pub connections: usize,
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
    /// The platform's protocol on HTTP/1.1, told by RELAY_CONFIG and RELAY_STATE; ends within 4 s of SIGTERM
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

fn host_port(text: &str) -> Result<(String, u16), String> {
    let (host, port) = text.rsplit_once(':').ok_or("HOST:PORT is expected")?;
    let port = port.parse().map_err(|_| format!("`{port}` is no port"))?;
    Ok((host.trim_matches(['[', ']']).to_owned(), port))
}

/// Starts the logs.
pub fn start_logs(form: Option<LogForm>, level: tracing::Level) {
    let terminal = std::io::stderr().is_terminal();
    let logs =
        tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(level).with_target(false);
    let json = form.map_or(!terminal, |f| f == LogForm::Json);
    let started =
        if json { logs.json().flatten_event(true).try_init() } else { logs.with_ansi(terminal).try_init() };
    // Whoever started the program as a library may have logs of their own already.
    drop(started);
}

/// Runs the program.
pub fn run(args: Args) -> ExitCode {
    run_with(args, crate::core::library)
}

/// Runs the program with someone else deciding, for comparisons.
pub fn run_with(args: Args, policy: PolicyFactory) -> ExitCode {
    start_logs(args.log, args.log_level);
    if let Some(Front::Platform) = args.front {
        let run = linnetcart_platform::shell::Environment::read().and_then(linnetcart_platform::shell::run);
        return run.map_or_else(
            |e| {
                tracing::error!("{e:#}");
                ExitCode::FAILURE
            },
            |()| ExitCode::SUCCESS,
        );
    }
    let options = Options {
        kafka: args.kafka,
        control: args.control,
        advertise: args.advertise,
        state_dir: args.state_dir,
        seed: args.seed,
        drain: Duration::from_millis(args.drain_ms),
        connections: args.connections,
        policy,
    };
    match shell::run(options) {
        Ok(End::Done) => ExitCode::SUCCESS,
        Ok(End::Cut) => ExitCode::from(3),
        Err(e) => {
            tracing::error!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
