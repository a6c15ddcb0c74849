//! How much reporting costs the messages of an edge: CPU time and latency per message without reports, and
//! with reports to a receiver that reads, is absent, or never reads.

use super::clients::{Clients, Load};
use super::subject::{EdgeSetup, Measurement, Subject};
use super::Options;
use crate::report_receiver::{Behaviour, ListenAddresses, ReportReceiver};
use crate::statistics::spread;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Open-loop rate of every case, in messages per second.
const RATE: f64 = 6000.0;
/// Time under load before the first measurement of a case.
const WARM_UP: Duration = Duration::from_secs(1);
const SETUP: EdgeSetup = EdgeSetup { max_in_flight_calls: 512, destinations: 10, silent_destinations: 0 };

/// The name of a case, and the receiver that its edge reports to.
#[derive(Clone, Copy)]
struct CaseSetup {
    name: &'static str,
    /// The behaviour of the receiver, or `None` for an edge without reports.
    receiver: Option<Behaviour>,
}

const CASES: [CaseSetup; 5] = [
    CaseSetup { name: "off", receiver: None },
    CaseSetup { name: "up", receiver: Some(Behaviour::Reads) },
    CaseSetup { name: "down", receiver: Some(Behaviour::Absent) },
    CaseSetup { name: "never reads", receiver: Some(Behaviour::NeverReads) },
    // The same setup as the first case: the ratio of the two shows the measurement error of the other ratios.
    CaseSetup { name: "off again", receiver: None },
];

/// An edge with its receiver and its clients.
struct Case {
    name: &'static str,
    edge: Subject,
    clients: Clients,
    _receiver: Option<ReportReceiver>,
    /// One sample for each round.
    samples: Vec<Sample>,
}

/// CPU time per message and 99th percentile of latency in one measurement, in microseconds.
#[derive(Clone, Copy)]
struct Sample {
    cpu_us: f64,
    p99_us: f64,
}

impl Sample {
    fn of(measurement: &Measurement) -> Sample {
        let p99_ns = measurement.latency.value_at_quantile(0.99);
        Sample { cpu_us: measurement.cpu_us, p99_us: p99_ns as f64 / 1e3 }
    }
}

/// Measures each case in turn at the same open-loop rate. Reports are sent every second, ten times as often
/// as by default.
pub(super) fn telemetry(options: &Options) -> anyhow::Result<Value> {
    let mut cases = Vec::new();
    for (number, setup) in CASES.into_iter().enumerate() {
        let folder = options.dir.join(number.to_string());
        cases.push(start_case(options, &folder, setup)?);
    }
    for case in &mut cases {
        case.clients.run(WARM_UP, Load::OpenLoop(RATE))?;
    }
    for round in 0..options.rounds {
        // Each round begins with another case, so that no case is always measured first.
        for position in 0..cases.len() {
            let index = (position + round) % cases.len();
            let case = &mut cases[index];
            let measured = case.edge.measure(&mut case.clients, options.seconds, Load::OpenLoop(RATE))?;
            case.samples.push(Sample::of(&measured));
        }
    }
    let without_reports = &cases[0].samples;
    let rows: Vec<Value> = cases.iter().map(|case| case_json(case, without_reports)).collect();
    Ok(json!({"rate_per_s": RATE, "cases": rows}))
}

fn start_case(options: &Options, folder: &Path, setup: CaseSetup) -> anyhow::Result<Case> {
    let edge = Subject::edge_in(options, folder, SETUP)?;
    let receiver = setup.receiver.map(|behaviour| start_receiver(&edge, behaviour)).transpose()?;
    let clients = Clients::connect(edge.process.kafka, 64, 0..SETUP.destinations)?;
    Ok(Case { name: setup.name, edge, clients, _receiver: receiver, samples: Vec::new() })
}

/// Starts a receiver and has the edge report to it over Graphite's plaintext protocol.
fn start_receiver(edge: &Subject, behaviour: Behaviour) -> anyhow::Result<ReportReceiver> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let addresses = ListenAddresses { graphite: Some(any_port), ..ListenAddresses::default() };
    let receiver = ReportReceiver::start(addresses, None)?;
    receiver.behave(behaviour);
    let address = receiver.graphite.map(|address| address.to_string());
    let graphite = json!({"address": address, "stuck_s": 5, "queue_bytes": 1 << 20});
    edge.process.put("/telemetry", &json!({"interval_s": 1, "graphite": graphite}))?;
    Ok(receiver)
}

/// Minimum, median and maximum of a case's samples, and of the ratios sample / sample without reports of the
/// same round.
fn case_json(case: &Case, without_reports: &[Sample]) -> Value {
    let spread_of = |metric: fn(&Sample) -> f64| spread(case.samples.iter().map(metric).collect());
    let spread_of_ratios = |metric: fn(&Sample) -> f64| {
        let pairs = case.samples.iter().zip(without_reports);
        spread(pairs.map(|(with, without)| metric(with) / metric(without)).collect())
    };
    json!({
        "receiver": case.name,
        "cpu_us": spread_of(|sample| sample.cpu_us),
        "p99_us": spread_of(|sample| sample.p99_us),
        "cpu_over_off": spread_of_ratios(|sample| sample.cpu_us),
        "p99_over_off": spread_of_ratios(|sample| sample.p99_us),
    })
}
