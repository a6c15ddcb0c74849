//! A courier process that reports to a test's receivers, and the values that the receivers have.

use super::control;
use linnetcart_telemetry::stream::Stream;
use linnetcart_testbed::courier_process::{CourierOptions, CourierProcess};
use linnetcart_testbed::message_receivers::MessageReceivers;
use linnetcart_testbed::report_receiver::{ListenAddresses, ReportReceiver};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum time that [`wait_until`] waits for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two evaluations of a condition.
const CONDITION_POLL: Duration = Duration::from_millis(20);

/// A loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A receiver for Graphite's protocols, without collectd's.
pub fn graphite_receiver() -> ReportReceiver {
    let addresses = ListenAddresses { graphite: Some(any_port()), ..ListenAddresses::default() };
    ReportReceiver::start(addresses, None).unwrap()
}

/// The Graphite address of a receiver, as telemetry settings write it.
pub fn graphite_address(receiver: &ReportReceiver) -> String {
    receiver.graphite.unwrap().to_string()
}

/// Starts a courier; dropping it kills it.
pub fn start(dir: &Path) -> CourierProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_linnetcart-testbed"));
    let options =
        CourierOptions { program, dir, seed: 1, policy: "library", drain_timeout: Duration::from_secs(1) };
    CourierProcess::start(&options).unwrap()
}

/// Gives a courier settings, and an endpoint list with a destination for each endpoint. Destinations are
/// numbered from the last endpoint to the first, so that silent endpoints have the highest numbers.
pub fn configure(courier: &CourierProcess, endpoints: &MessageReceivers) {
    control::put(courier.control, "/settings", &settings());
    control::put(courier.control, "/list", &endpoint_list(&endpoints.addresses));
}

fn settings() -> Value {
    let order = json!({"name": "order", "aim_ms": 500, "deadline_ms": 1500, "worth": 1, "repeat": "unsafe"});
    let query = json!({"name": "query", "aim_ms": 500, "deadline_ms": 1500, "worth": 1, "repeat": "safe"});
    json!({
        "deployment": "reports", "courier": {"me": 4, "of": 5, "zone": "a"}, "zones": ["a"],
        "classes": [order, query], "kinds": [{"name": "k"}],
        "limits": {"slots": 16, "held": 100, "attempts": 4},
        "rules": {
            "answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000,
            "fall_multiple": 2.0, "fall_span_ms": 1000
        }
    })
}

fn endpoint_list(addresses: &[SocketAddr]) -> Value {
    let mut entries = Vec::new();
    for (number, address) in addresses.iter().rev().enumerate() {
        entries.push(json!({
            "id": number, "destination": number, "kind": "k", "zone": "a", "state": "ready",
            "address": address.to_string()
        }));
    }
    json!({"version": 1, "whole": true, "entries": entries})
}

/// The document that the control interface returns for a path.
pub fn get_json(courier: &CourierProcess, path: &str) -> Value {
    let reply = control::request(courier.control, "GET", path, &Value::Null.to_string());
    serde_json::from_str(&reply.body).unwrap()
}

/// Waits until a condition holds, and panics if it does not within 20 seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait_until = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < wait_until, "{what} did not arrive within {CONDITION_TIMEOUT:?}");
        std::thread::sleep(CONDITION_POLL);
    }
}

/// Shuts a courier down with SIGTERM and asserts that it exits with code 0 within 10 seconds.
pub fn shut_down(mut courier: CourierProcess) {
    courier.terminate();
    assert_eq!(courier.wait(Duration::from_secs(10)), Some(0));
}

/// The protocol of a report; it determines the names of series.
#[derive(Clone, Copy, Debug)]
pub enum ReceiverKind {
    Graphite,
    Collectd,
}

/// The last received value of a metric of the courier; `None` if the receiver has no such series.
///
/// `subject` is the entity that the metric describes, such as `courier`, `class.order` or `dest.Bank_Lodz`.
pub fn last_value(stream: &Stream, subject: &str, metric: &str, kind: ReceiverKind) -> Option<f64> {
    let name = match kind {
        ReceiverKind::Graphite => format!("linnetcart.reports.edge.4.{subject}.{metric}"),
        ReceiverKind::Collectd => {
            format!("linnetcart-reports-4.linnetcart.{}.{metric}", subject.replace('.', "-"))
        }
    };
    stream.value(&name)
}
