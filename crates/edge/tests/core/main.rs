//! The core's hard cases, without sockets and in virtual time.

mod attempts;
mod connections;
#[path = "../harness/mod.rs"]
mod harness;
mod requests;

use harness::CoreHarness;

const CLIENT: u64 = 1;

fn harness_with_client() -> CoreHarness {
    let mut harness = CoreHarness::new();
    harness.connect_client(CLIENT);
    harness
}
