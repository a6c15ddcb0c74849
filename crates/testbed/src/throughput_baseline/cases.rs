//! The cases without reports: an edge compared with a relay, and an edge with varying numbers of
//! destinations, messages in flight and idle connections.

use super::clients::{Clients, Load};
use super::subject::{EdgeSetup, Measurement, Subject};
use super::Options;
use crate::statistics::{minimum, round, spread};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::time::Duration;

/// Time under load before the first measurement of a process.
const WARM_UP: Duration = Duration::from_secs(1);
/// Load of the case with varying numbers of destinations.
const DESTINATIONS_LOAD: Load = Load::OpenLoop(2000.0);
/// Load of the case with varying numbers of messages in flight.
const IN_FLIGHT_LOAD: Load = Load::OpenLoop(50.0);
/// Number of connections on which the messages that stay in flight are submitted.
const WAITING_CLIENTS: usize = 4;
/// Number of messages that [`submit_waiting_messages`] submits between two polls; a poll writes the queued
/// requests to the sockets.
const SUBMISSION_BATCH: usize = 500;

/// One measurement of the relay and one of the edge, both under closed-loop load.
struct Round {
    relay: Measurement,
    edge: Measurement,
}

/// Measures edge and relay alternately under closed-loop load. Then measures the latency of both under
/// open-loop load, at half the lowest throughput that the edge had in the closed-loop rounds.
pub(super) fn edge_and_relay(options: &Options) -> anyhow::Result<Value> {
    let setup = EdgeSetup { max_in_flight_calls: 512, destinations: 10, silent_destinations: 0 };
    let edge = Subject::edge(options, setup)?;
    let relay = Subject::relay(options, setup.destinations)?;
    let rounds = closed_loop_rounds(options, &edge, &relay)?;
    let half_rate = minimum(rounds.iter().map(|round| round.edge.messages_per_second)) / 2.0;
    let mut edge_clients = connect_clients(&edge)?;
    let mut relay_clients = connect_clients(&relay)?;
    let relay = relay.measure(&mut relay_clients, options.seconds, Load::OpenLoop(half_rate))?;
    let edge = edge.measure(&mut edge_clients, options.seconds, Load::OpenLoop(half_rate))?;
    let spread_of = |metric: fn(&Round) -> f64| spread(rounds.iter().map(metric).collect());
    Ok(json!({
        "relay_cpu_us": spread_of(|round| round.relay.cpu_us),
        "edge_cpu_us": spread_of(|round| round.edge.cpu_us),
        "relay_over_edge": spread_of(|round| round.relay.cpu_us / round.edge.cpu_us),
        "relay_per_s": spread_of(|round| round.relay.messages_per_second),
        "edge_per_s": spread_of(|round| round.edge.messages_per_second),
        "half_load_per_s": round(half_rate),
        "half_load_us": {"relay": percentiles(&relay.latency), "edge": percentiles(&edge.latency)},
    }))
}

fn connect_clients(subject: &Subject) -> anyhow::Result<Clients> {
    Clients::connect(subject.process.kafka, 256, 0..10)
}

/// Measures relay and edge alternately under closed-loop load. All clients are disconnected at the end.
fn closed_loop_rounds(options: &Options, edge: &Subject, relay: &Subject) -> anyhow::Result<Vec<Round>> {
    let mut edge_clients = connect_clients(edge)?;
    let mut relay_clients = connect_clients(relay)?;
    edge_clients.run(WARM_UP, Load::ClosedLoop)?;
    relay_clients.run(WARM_UP, Load::ClosedLoop)?;
    let mut rounds = Vec::new();
    for _ in 0..options.rounds {
        let relay = relay.measure(&mut relay_clients, options.seconds, Load::ClosedLoop)?;
        let edge = edge.measure(&mut edge_clients, options.seconds, Load::ClosedLoop)?;
        rounds.push(Round { relay, edge });
    }
    Ok(rounds)
}

/// The 50th and 99th percentile of latencies in nanoseconds, as microseconds.
fn percentiles(nanoseconds: &Histogram<u64>) -> Value {
    let microseconds = |quantile: f64| round(nanoseconds.value_at_quantile(quantile) as f64 / 1e3);
    json!({"p50": microseconds(0.5), "p99": microseconds(0.99)})
}

/// Measures CPU time per message in microseconds for each number of destinations, at a fixed rate.
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

/// Measures, for each number of messages in flight, the resident memory per such message and the CPU time per
/// further message. The messages in flight are for a destination whose endpoint never answers.
pub(super) fn in_flight(options: &Options, counts: &[usize]) -> anyhow::Result<Value> {
    let mut rows = Vec::new();
    for &count in counts {
        let setup = EdgeSetup { max_in_flight_calls: 64, destinations: 11, silent_destinations: 1 };
        let edge = Subject::edge(options, setup)?;
        let bytes_before = edge.resident_bytes()?;
        let _waiting = submit_waiting_messages(&edge, count)?;
        let bytes_after = edge.resident_bytes()?;
        let mut clients = Clients::connect(edge.process.kafka, 64, 1..11)?;
        clients.run(WARM_UP, IN_FLIGHT_LOAD)?;
        let measured = edge.measure(&mut clients, options.seconds, IN_FLIGHT_LOAD)?;
        rows.push(json!({
            "held": count,
            "cpu_us": round(measured.cpu_us),
            "per_s": round(measured.messages_per_second),
            "bytes_each": bytes_per_item(bytes_before, bytes_after, count),
        }));
    }
    Ok(json!(rows))
}

/// Submits `count` messages for destination 0, whose endpoint never answers. The connections of the messages
/// stay open until the returned clients are dropped.
fn submit_waiting_messages(edge: &Subject, count: usize) -> anyhow::Result<Clients> {
    let mut waiting = Clients::connect(edge.process.kafka, WAITING_CLIENTS, 0..1)?;
    for number in 0..count {
        waiting.submit(number % WAITING_CLIENTS)?;
        if number % SUBMISSION_BATCH == 0 {
            waiting.poll_ignoring_answers(Duration::from_millis(1));
        }
    }
    for _ in 0..40 {
        waiting.poll_ignoring_answers(Duration::from_millis(20));
    }
    Ok(waiting)
}

/// Measures resident memory per idle client connection, in bytes.
pub(super) fn connections(options: &Options, count: usize) -> anyhow::Result<Value> {
    let setup = EdgeSetup { max_in_flight_calls: 64, destinations: 1, silent_destinations: 0 };
    let edge = Subject::edge(options, setup)?;
    let bytes_before = edge.resident_bytes()?;
    let _clients = Clients::connect(edge.process.kafka, count, 0..1)?;
    std::thread::sleep(Duration::from_millis(300));
    let bytes_after = edge.resident_bytes()?;
    Ok(json!({"connections": count, "bytes_each": bytes_per_item(bytes_before, bytes_after, count)}))
}

/// The growth of resident memory per message or connection, in bytes.
fn bytes_per_item(bytes_before: u64, bytes_after: u64, count: usize) -> f64 {
    (bytes_after.saturating_sub(bytes_before) as f64 / count as f64).round()
}
