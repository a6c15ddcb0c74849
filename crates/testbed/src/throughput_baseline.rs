//! The throughput baseline: what a message costs an edge, beside a relay that decides nothing, in one run.
//!
//! Clients run on one thread, endpoints on another, edge and relay each in a process that stays on one core.
//! CPU time is the system's account of that process, so it does not matter which side is the slower one.

mod cases;
mod clients;
mod process_usage;
mod subject;
mod telemetry_case;

use anyhow::{bail, Context};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Connections of clients that stay idle, when their memory is measured.
const IDLE_CONNECTIONS: usize = 5000;

/// How the baseline is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose `edge` and `relay` commands are measured.
    pub program: PathBuf,
    /// A folder for state and logs.
    pub dir: PathBuf,
    /// Seconds of each stretch.
    pub seconds: f64,
    /// Stretches of each kind; medians are given.
    pub rounds: usize,
}

/// Which parts are measured, and over what.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Only the part of this name.
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

/// Measures the selected parts; each is printed as it comes, and all are one document.
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
