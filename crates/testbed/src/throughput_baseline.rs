//! The throughput baseline: CPU time per message, throughput, latency and memory of an edge, compared within
//! one run with a relay that has no decision policy.
//!
//! Clients run on one thread and endpoints on another; edge and relay are child processes, each pinned to a
//! CPU core. CPU time is read from `/proc/PID/stat` of the measured process, so that CPU time per message
//! does not depend on whether clients, endpoints or the process limit the throughput.

mod cases;
mod clients;
mod process_usage;
mod subject;
mod telemetry_case;

use anyhow::{bail, Context};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Number of idle client connections when memory per connection is measured.
const IDLE_CONNECTIONS: usize = 5000;

/// How the baseline is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose `edge` and `relay` commands are measured.
    pub program: PathBuf,
    /// The folder for the processes' state and logs.
    pub dir: PathBuf,
    /// Length of each measurement in seconds.
    pub seconds: f64,
    /// Number of repetitions of the cases that compare processes; minimum, median and maximum over them are
    /// given.
    pub rounds: usize,
}

/// Which parts are measured, and the parameter values for the parts that have one.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The name of the only part that is measured; all parts if `None`.
    pub only: Option<String>,
    /// Numbers of messages in flight, for the part `held`.
    pub in_flight: Vec<usize>,
    /// Numbers of destinations, for the part `destinations`.
    pub destinations: Vec<usize>,
}

/// A part of the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// An edge compared with a relay.
    EdgeAndRelay,
    /// CPU time per message of an edge, for each selected number of destinations.
    Destinations,
    /// CPU time per message and memory of an edge, for each selected number of messages in flight.
    InFlight,
    /// Memory of an edge per idle client connection.
    Connections,
    /// CPU time and latency of messages with and without reports.
    Telemetry,
}

impl Part {
    const ALL: [Part; 5] =
        [Part::EdgeAndRelay, Part::Destinations, Part::InFlight, Part::Connections, Part::Telemetry];

    /// The name on the command line and in the JSON output.
    fn name(self) -> &'static str {
        match self {
            Part::EdgeAndRelay => "beside",
            Part::Destinations => "destinations",
            Part::InFlight => "held",
            Part::Connections => "connections",
            Part::Telemetry => "telemetry",
        }
    }

    fn measure(self, options: &Options, selection: &Selection) -> anyhow::Result<Value> {
        match self {
            Part::EdgeAndRelay => cases::edge_and_relay(options),
            Part::Destinations => cases::destinations(options, &selection.destinations),
            Part::InFlight => cases::in_flight(options, &selection.in_flight),
            Part::Connections => cases::connections(options, IDLE_CONNECTIONS),
            Part::Telemetry => telemetry_case::telemetry(options),
        }
    }
}

/// Measures the selected parts. Prints the results of each part when it is done and returns all of them as
/// one JSON document.
///
/// # Errors
/// Fails if no part has the selected name, or a process or a client fails.
pub fn run(options: Options, selection: &Selection) -> anyhow::Result<Value> {
    let parts = selected_parts(selection)?;
    let mut document = json!({"seconds": options.seconds, "rounds": options.rounds});
    for part in parts {
        let name = part.name();
        let results = part.measure(&options, selection).with_context(|| name.to_owned())?;
        println!("{name}: {}", serde_json::to_string_pretty(&results)?);
        document[name] = results;
    }
    Ok(document)
}

fn selected_parts(selection: &Selection) -> anyhow::Result<Vec<Part>> {
    let Some(only) = &selection.only else { return Ok(Part::ALL.to_vec()) };
    match Part::ALL.into_iter().find(|part| part.name() == only) {
        Some(part) => Ok(vec![part]),
        None => bail!("unknown part `{only}`; the parts are {}", Part::ALL.map(Part::name).join(", ")),
    }
}
