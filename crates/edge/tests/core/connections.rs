//! Upstream connections: when those with abandoned calls are closed, and how long idle ones are reused.

use crate::harness::*;
use crate::{harness_with_client, harness_with_client_and_settings, CLIENT};
use linnetcart_kafka::codes;

#[test]
fn connection_of_an_abandoned_call_is_closed_after_the_idle_timeout() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "status", 1, "x");
    harness.advance(1010);
    let second = harness.calls.remove(1);
    harness.reply_to(&second, codes::NONE, 0);
    harness.process_after_tick();
    // The library closes the idle connection. The one with the abandoned call waits for the response until
    // the idle timeout (5000 ms).
    let before = harness.connections.len();
    harness.advance(4950);
    let late = harness.connections.len();
    harness.advance(100);
    assert_eq!((before, late, harness.connections.len()), (1, 1, 0));
}

/// Responds to all calls but those on the connection `lost`.
fn reply_to_all(harness: &mut CoreHarness, lost: Option<u64>) {
    while let Some(index) = harness.calls.iter().position(|call| Some(call.connection) != lost) {
        let call = harness.calls.remove(index);
        harness.reply_to(&call, codes::NONE, 0);
    }
}

/// Sends messages until the library keeps connections to both endpoints open.
fn establish_connections(harness: &mut CoreHarness) {
    for n in 0..40 {
        // Two at a time, so that both endpoints are used.
        harness.send_one(CLIENT, "status", 1, &format!("warm{n}a"));
        harness.send_one(CLIENT, "status", 1, &format!("warm{n}b"));
        reply_to_all(harness, None);
        harness.advance(50);
    }
}

/// Sends a message. Returns the connection of its call.
fn connection_of(harness: &mut CoreHarness, value: &str) -> u64 {
    harness.send_one(CLIENT, "status", 1, value);
    harness.calls[harness.call_with(value)].connection
}

#[test]
fn idle_connection_lost_under_a_call_shortens_connection_reuse() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    // The connection is reset under the call, or the endpoint responds on other connections only.
    for loss in ["reset", "silent"] {
        let mut harness = harness_with_client_and_settings(&doc);
        establish_connections(&mut harness);
        let open: Vec<u64> = harness.connections.keys().copied().collect();
        assert!(!open.is_empty(), "a connection is open");
        harness.advance(2000);
        let lost = connection_of(&mut harness, "first");
        assert!(open.contains(&lost), "{loss}: an idle connection is reused before the first loss");
        if loss == "reset" {
            let accepted_bytes = harness.connections.remove(&lost).unwrap().received_bytes;
            harness.core.upstream_disconnected(lost, accepted_bytes);
            harness.process_after_tick();
        } else {
            // No response arrives. The hedge and later calls are answered.
            harness.advance(1500);
        }
        for n in 0..6 {
            reply_to_all(&mut harness, Some(lost));
            harness.send_one(CLIENT, "status", 1, &format!("after{n}"));
            harness.advance(20);
        }
        reply_to_all(&mut harness, Some(lost));
        harness.advance(1900);
        let before: Vec<u64> = harness.connections.keys().copied().collect();
        let connection = connection_of(&mut harness, "later");
        assert!(
            !before.contains(&connection),
            "{loss}: connections are not reused after 1.9 s, as one was lost after 2 s"
        );
    }
}
