//! The throughput baseline: the cost of a message in an edge, compared in one run with a relay that decides
//! nothing.
//!
//! Clients run on one thread and endpoints on another; edge and relay are processes that are each pinned to a
//! core. CPU time is what the system accounts to that process, so it does not matter which side limits the
//! throughput.

mod cases;
mod clients;
mod process_usage;
mod subject;
mod telemetry_case;

use anyhow::{bail, Context};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Number of idle client connections in the measurement of memory.
const IDLE_CONNECTIONS: usize = 5000;

/// How the baseline is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose `edge` and `relay` commands are measured.
    pub program: PathBuf,
    /// A folder for state and logs.
    pub dir: PathBuf,
    /// Length of each measurement in seconds.
    pub seconds: f64,
    /// Number of measurements of each kind; medians are given.
    pub rounds: usize,
}

/// The parts that are measured, and the numbers that they are measured over.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The name of the only part that is measured; all parts if `None`.
    pub only: Option<String>,
    /// Numbers of messages in flight.
    pub in_flight: Vec<usize>,
    /// Numbers of destinations.
    pub destinations: Vec<usize>,
}

/// A part of the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    EdgeAndRelay,
    Destinations,
    InFlight,
    Connections,
    Telemetry,
}

impl Part {
    const ALL: [Part; 5] =
        [Part::EdgeAndRelay, Part::Destinations, Part::InFlight, Part::Connections, Part::Telemetry];

    /// The name on the command line and in the figures.
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

/// Measures the selected parts. Prints the figures of each part when it is done and returns all of them as
/// one document.
///
/// # Errors
/// Fails if there is no part of the selected name, or a process or a client fails.
pub fn run(options: Options, selection: &Selection) -> anyhow::Result<Value> {
    let parts = selected_parts(selection)?;
    let mut document = json!({"seconds": options.seconds, "rounds": options.rounds});
    for part in parts {
        let name = part.name();
        let figures = part.measure(&options, selection).with_context(|| name.to_owned())?;
        println!("{name}: {}", serde_json::to_string_pretty(&figures)?);
        document[name] = figures;
    }
    Ok(document)
}

fn selected_parts(selection: &Selection) -> anyhow::Result<Vec<Part>> {
    let Some(only) = &selection.only else { return Ok(Part::ALL.to_vec()) };
    match Part::ALL.into_iter().find(|part| part.name() == only) {
        Some(part) => Ok(vec![part]),
        None => bail!("`{only}` is no part; there are {}", Part::ALL.map(Part::name).join(", ")),
    }
}
