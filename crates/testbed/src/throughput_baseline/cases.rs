//! The cases without reports: an edge beside a relay, and an edge over numbers of destinations, messages in
//! flight and connections.

use super::clients::{Clients, Load};
use super::subject::{EdgeSetup, Measurement, Subject};
use super::Options;
use crate::statistics::{minimum, round, spread};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::time::Duration;

const WARM_UP: Duration = Duration::from_secs(1);
/// Load of the case over numbers of destinations.
const DESTINATIONS_LOAD: Load = Load::PerSecond(2000.0);
/// Load of the case over numbers of messages in flight.
const IN_FLIGHT_LOAD: Load = Load::PerSecond(50.0);
/// Number of connections on which the messages that stay in flight are submitted.
const WAITING_CLIENTS: usize = 4;
/// Number of these messages that are submitted between two polls of the connections.
const SUBMITTED_AT_ONCE: usize = 500;

/// One measurement of the relay and one of the edge, at full speed.
struct Round {
    relay: Measurement,
    edge: Measurement,
}

/// Measures edge and relay in turn at full speed, then both at half of the edge's lowest throughput.
pub(super) fn edge_and_relay(options: &Options) -> anyhow::Result<Value> {
    let setup = EdgeSetup { max_in_flight_calls: 512, destinations: 10, silent_destinations: 0 };
    let edge = Subject::edge(options, setup)?;
    let relay = Subject::relay(options, setup.destinations)?;
    let rounds = full_speed_rounds(options, &edge, &relay)?;
    let half_load = minimum(rounds.iter().map(|round| round.edge.messages_per_second)) / 2.0;
    let mut edge_clients = connect_clients(&edge)?;
    let mut relay_clients = connect_clients(&relay)?;
    let relay = relay.measure(&mut relay_clients, options.seconds, Load::PerSecond(half_load))?;
    let edge = edge.measure(&mut edge_clients, options.seconds, Load::PerSecond(half_load))?;
    let column = |figure: fn(&Round) -> f64| spread(rounds.iter().map(figure).collect());
    Ok(json!({
        "relay_cpu_us": column(|round| round.relay.cpu_us),
        "edge_cpu_us": column(|round| round.edge.cpu_us),
        "relay_over_edge": column(|round| round.relay.cpu_us / round.edge.cpu_us),
        "relay_per_s": column(|round| round.relay.messages_per_second),
        "edge_per_s": column(|round| round.edge.messages_per_second),
        "half_load_per_s": round(half_load),
        "half_load_us": {"relay": percentiles(&relay.latency), "edge": percentiles(&edge.latency)},
    }))
}

fn connect_clients(subject: &Subject) -> anyhow::Result<Clients> {
    Clients::connect(subject.process.kafka, 256, 0..10)
}

/// Measures relay and edge in turn. Their clients are disconnected at the end.
fn full_speed_rounds(options: &Options, edge: &Subject, relay: &Subject) -> anyhow::Result<Vec<Round>> {
    let mut edge_clients = connect_clients(edge)?;
    let mut relay_clients = connect_clients(relay)?;
    edge_clients.run(WARM_UP, Load::FullSpeed)?;
    relay_clients.run(WARM_UP, Load::FullSpeed)?;
    let mut rounds = Vec::new();
    for _ in 0..options.rounds {
        let relay = relay.measure(&mut relay_clients, options.seconds, Load::FullSpeed)?;
        let edge = edge.measure(&mut edge_clients, options.seconds, Load::FullSpeed)?;
        rounds.push(Round { relay, edge });
    }
    Ok(rounds)
}

fn percentiles(nanoseconds: &Histogram<u64>) -> Value {
    let microseconds = |quantile: f64| round(nanoseconds.value_at_quantile(quantile) as f64 / 1e3);
    json!({"p50": microseconds(0.5), "p99": microseconds(0.99)})
}

/// CPU time per message over numbers of destinations, at a fixed rate.
pub(super) fn destinations(options: &Options, counts: &[usize]) -> anyhow::Result<Value> {
    let mut rows = Vec::new();
    for &count in counts {
        let setup = EdgeSetup { max_in_flight_calls: 512, destinations: count, silent_destinations: 0 };
        let edge = Subject::edge(options, setup)?;
        let mut clients = Clients::connect(edge.process.kafka, 64, 0..count)?;
        clients.run(WARM_UP, DESTINATIONS_LOAD)?;
        let measured = edge.measure(&mut clients, options.seconds, DESTINATIONS_LOAD)?;
        rows.push(json!({"destinations": count, "cpu_us": round(measured.cpu_us)}));
    }
    Ok(json!(rows))
}

/// CPU time per message and memory over numbers of messages in flight, which wait for an endpoint that never
/// answers.
pub(super) fn in_flight(options: &Options, counts: &[usize]) -> anyhow::Result<Value> {
    let mut rows = Vec::new();
    for &count in counts {
        let setup = EdgeSetup { max_in_flight_calls: 64, destinations: 11, silent_destinations: 1 };
        let edge = Subject::edge(options, setup)?;
        let empty_bytes = edge.resident_bytes()?;
        let _waiting = submit_waiting_messages(&edge, count)?;
        let full_bytes = edge.resident_bytes()?;
        let mut clients = Clients::connect(edge.process.kafka, 64, 1..11)?;
        clients.run(WARM_UP, IN_FLIGHT_LOAD)?;
        let measured = edge.measure(&mut clients, options.seconds, IN_FLIGHT_LOAD)?;
        rows.push(json!({
            "held": count,
            "cpu_us": round(measured.cpu_us),
            "per_s": round(measured.messages_per_second),
            "bytes_each": bytes_each(empty_bytes, full_bytes, count),
        }));
    }
    Ok(json!(rows))
}

/// Submits messages for the first destination, which never answers. They wait until the returned clients are
/// dropped.
fn submit_waiting_messages(edge: &Subject, count: usize) -> anyhow::Result<Clients> {
    let mut waiting = Clients::connect(edge.process.kafka, WAITING_CLIENTS, 0..1)?;
    for number in 0..count {
        waiting.submit(number % WAITING_CLIENTS)?;
        if number % SUBMITTED_AT_ONCE == 0 {
            waiting.poll_ignoring_answers(Duration::from_millis(1));
        }
    }
    for _ in 0..40 {
        waiting.poll_ignoring_answers(Duration::from_millis(20));
    }
    Ok(waiting)
}

/// Memory per idle client connection.
pub(super) fn connections(options: &Options, count: usize) -> anyhow::Result<Value> {
    let setup = EdgeSetup { max_in_flight_calls: 64, destinations: 1, silent_destinations: 0 };
    let edge = Subject::edge(options, setup)?;
    let empty_bytes = edge.resident_bytes()?;
    let _clients = Clients::connect(edge.process.kafka, count, 0..1)?;
    std::thread::sleep(Duration::from_millis(300));
    let full_bytes = edge.resident_bytes()?;
    Ok(json!({"connections": count, "bytes_each": bytes_each(empty_bytes, full_bytes, count)}))
}

fn bytes_each(empty_bytes: u64, full_bytes: u64, count: usize) -> f64 {
    (full_bytes.saturating_sub(empty_bytes) as f64 / count as f64).round()
}
