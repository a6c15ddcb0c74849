//! Tests of the core without sockets and in virtual time: single cases, and a property test with random
//! inputs.

mod attempts;
mod connections;
mod deadlines;
mod harness;
mod random;
mod requests;

use harness::CoreHarness;

const CLIENT: u64 = 1;

fn harness_with_client() -> CoreHarness {
    let mut harness = CoreHarness::new();
    harness.connect_client(CLIENT);
    harness
}

fn harness_with_client_and_settings(settings: &serde_json::Value) -> CoreHarness {
    let mut harness = CoreHarness::with_settings(settings);
    harness.connect_client(CLIENT);
    harness
}
