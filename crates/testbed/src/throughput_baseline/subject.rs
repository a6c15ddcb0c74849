//! Starts and measures the edge or relay under test.

use super::clients::{Clients, Load};
use super::process_usage;
use super::Options;
use crate::courier_process::{CourierOptions, CourierProcess};
use crate::message_receivers::{MessageReceivers, ReceiverCounts};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The number of the CPU core that the measured process is pinned to.
const MEASURED_CORE: usize = 1;

/// The concurrency limit and the destinations that an edge is configured with.
#[derive(Clone, Copy, Debug)]
pub(super) struct EdgeSetup {
    /// Maximum number of calls in flight to endpoints.
    pub(super) max_in_flight_calls: usize,
    /// Number of destinations with one endpoint each.
    pub(super) destinations: usize,
    /// Number of destinations whose endpoints never answer; they have the lowest numbers.
    pub(super) silent_destinations: usize,
}

/// A process under test and the endpoints that it calls.
pub(super) struct Subject {
    pub(super) process: CourierProcess,
    _receivers: MessageReceivers,
}

/// The results of one measurement.
pub(super) struct Measurement {
    /// CPU time of the process per answered message, in microseconds.
    pub(super) cpu_us: f64,
    /// Answered messages per second.
    pub(super) messages_per_second: f64,
    /// Nanoseconds from a message's submission to its answer.
    pub(super) latency: Histogram<u64>,
}

impl Subject {
    /// Starts an edge with settings and an endpoint list. The edge's state is in a new folder within
    /// [`Options::dir`].
    pub(super) fn edge(options: &Options, setup: EdgeSetup) -> anyhow::Result<Subject> {
        Subject::edge_in(options, &options.dir, setup)
    }

    /// Starts an edge with settings and an endpoint list. The edge's state is in a new folder within
    /// `folder`.
    pub(super) fn edge_in(options: &Options, folder: &Path, setup: EdgeSetup) -> anyhow::Result<Subject> {
        let EdgeSetup { max_in_flight_calls, destinations, silent_destinations } = setup;
        let serving = destinations - silent_destinations;
        let receivers = MessageReceivers::start(ReceiverCounts { silent: silent_destinations, serving })?;
        let dir = folder.join(format!("edge-{max_in_flight_calls}-{destinations}-{silent_destinations}"));
        let _ = std::fs::remove_dir_all(&dir);
        let courier = CourierOptions {
            program: &options.program,
            dir: &dir,
            seed: 1,
            policy: "library",
            drain_timeout: Duration::ZERO,
        };
        let process = CourierProcess::start_pinned(&courier, MEASURED_CORE)?;
        process.put("/settings", &settings(max_in_flight_calls, destinations))?;
        process.put("/list", &endpoint_list(&receivers.addresses))?;
        Ok(Subject { process, _receivers: receivers })
    }

    /// Starts a relay to `destinations` endpoints that answer every message.
    pub(super) fn relay(options: &Options, destinations: usize) -> anyhow::Result<Subject> {
        let receivers = MessageReceivers::start(ReceiverCounts::serving(destinations))?;
        let addresses: Vec<String> = receivers.addresses.iter().map(ToString::to_string).collect();
        let process =
            CourierProcess::start_relay_pinned(&options.program, &options.dir, &addresses, MEASURED_CORE)?;
        Ok(Subject { process, _receivers: receivers })
    }

    /// Applies a load for a number of seconds and measures the process during that time.
    pub(super) fn measure(
        &self,
        clients: &mut Clients,
        seconds: f64,
        load: Load,
    ) -> anyhow::Result<Measurement> {
        let pid = self.process.pid();
        let cpu_before = process_usage::cpu_seconds(pid)?;
        let results = clients.run(Duration::from_secs_f64(seconds), load)?;
        let cpu_used = process_usage::cpu_seconds(pid)? - cpu_before;
        let messages = results.messages.max(1) as f64;
        Ok(Measurement {
            cpu_us: cpu_used * 1e6 / messages,
            messages_per_second: messages / results.seconds,
            latency: results.latency,
        })
    }

    /// Resident set size of the process, in bytes.
    pub(super) fn resident_bytes(&self) -> anyhow::Result<u64> {
        process_usage::resident_bytes(self.process.pid())
    }
}

fn settings(max_in_flight_calls: usize, destinations: usize) -> Value {
    json!({
        "deployment": "floor", "courier": {"me": 0, "of": 1, "zone": "a"}, "zones": ["a"],
        "classes": [{
            "name": "m", "aim_ms": 10000, "deadline_ms": 600_000,
            "worth": 1, "late_worth": 0.5, "repeat": "safe"
        }],
        "kinds": [{"name": "k"}],
        "limits": {
            "slots": max_in_flight_calls, "held": 100_000, "attempts": 3,
            "destinations": destinations.max(10_000), "pipelined": 20_000
        },
        "connections": {"idle_ms": 60_000, "connect_timeout_ms": 5000},
        "rules": {
            "answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000,
            "fall_multiple": 2.0, "fall_span_ms": 1000
        },
        "tick_us": 200
    })
}

fn endpoint_list(addresses: &[SocketAddr]) -> Value {
    let mut entries = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        entries.push(json!({
            "id": number, "destination": number, "kind": "k", "zone": "a", "state": "ready",
            "address": address.to_string()
        }));
    }
    json!({"version": 1, "whole": true, "entries": entries})
}
