//! Upstream connections: abandoned ones, and how long idle ones are reused.

use crate::harness::*;
use crate::{harness_with_client, CLIENT};
use linnetcart_kafka::codes;

#[test]
fn connection_of_an_abandoned_call_is_closed_after_the_idle_timeout() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "status", 1, "x");
    harness.advance(1010);
    let second = harness.calls.remove(1);
    harness.reply_to(&second, codes::NONE, 0);
    harness.process_after_tick();
    // The library has the idle one closed; the hung one is kept for its answer, as long as an idle one would
    // be.
    let before = harness.connections.len();
    harness.advance(4950);
    let late = harness.connections.len();
    harness.advance(100);
    assert_eq!((before, late, harness.connections.len()), (1, 1, 0));
}

#[test]
fn idle_connection_lost_under_a_call_shortens_connection_reuse() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    for how in ["reset", "silent"] {
        let mut harness = CoreHarness::with(&doc, 1);
        harness.connect_client(CLIENT);
        // Busy enough that its connections are kept by the library.
        for n in 0..40 {
            // Two at a time, so that both endpoints are used.
            harness.send_one(CLIENT, "status", 1, &format!("warm{n}a"));
            harness.send_one(CLIENT, "status", 1, &format!("warm{n}b"));
            while !harness.calls.is_empty() {
                let call = harness.calls.remove(0);
                harness.reply_to(&call, codes::NONE, 0);
            }
            harness.advance(50);
        }
        let kept: Vec<u64> = harness.connections.keys().copied().collect();
        assert!(!kept.is_empty(), "a connection is kept");
        harness.advance(2000);
        let fresh_for = |harness: &mut CoreHarness, value: &str| {
            harness.send_one(CLIENT, "status", 1, value);
            let call = &harness.calls[harness.call_with(value)];
            (call.connection, !kept.contains(&call.connection))
        };
        let (connection, fresh) = fresh_for(&mut harness, "first");
        assert!(!fresh, "{how}: there is no reason for distrust yet");
        if how == "reset" {
            let written = harness.connections.remove(&connection).unwrap().received_bytes;
            harness.core.upstream_disconnected(connection, written);
            harness.process_after_tick();
        } else {
            // Nothing comes; the copy and later calls are answered.
            harness.advance(1500);
        }
        for n in 0..6 {
            while let Some(at) = harness.calls.iter().position(|c| c.connection != connection) {
                let call = harness.calls.remove(at);
                harness.reply_to(&call, codes::NONE, 0);
            }
            harness.send_one(CLIENT, "status", 1, &format!("after{n}"));
            harness.advance(20);
        }
        while let Some(at) = harness.calls.iter().position(|c| c.connection != connection) {
            let call = harness.calls.remove(at);
            harness.reply_to(&call, codes::NONE, 0);
        }
        harness.advance(1900);
        let before: Vec<u64> = harness.connections.keys().copied().collect();
        harness.send_one(CLIENT, "status", 1, "later");
        let call = &harness.calls[harness.call_with("later")];
        assert!(
            !before.contains(&call.connection),
            "{how}: idle for 1.9 s, where not even half of what was lost is trusted"
        );
    }
}
