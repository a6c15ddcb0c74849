//! Attempts: their outcomes, when they may be sent, and until when a Retry-After withholds them.

use crate::harness::*;
use crate::{harness_with_client, harness_with_client_and_settings, CLIENT};
use bytes::Bytes;
use linnetcart_edge::core::ConnectFailure;
use linnetcart_edge::delivery_events::DeliveryEvent;
use linnetcart_edge::settings::{EndpointEntry, EntryState};
use linnetcart_kafka::{codes, server};

#[test]
fn response_after_a_cancellation_only_frees_the_connection() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "status", 1, "x");
    // No message was served yet, so a hedge is sent to another endpoint after the latency objective (1000
    // ms).
    harness.advance(1010);
    assert_eq!(harness.count_calls_with("x"), 2);
    let (first, second) = (harness.calls.remove(0), harness.calls.remove(0));
    assert_ne!(first.endpoint, second.endpoint);
    harness.reply_to(&second, codes::NONE, 0);
    harness.process_after_tick();
    let answers = harness.results(CLIENT).len();
    assert_eq!(
        (answers, harness.core.status().abandoned_connections, harness.core.status().calls),
        (1, 1, 0)
    );
    harness.reply_to(&first, codes::NONE, 0);
    assert_eq!(harness.results(CLIENT).len(), 1, "the response to the cancelled attempt is dropped");
    assert_eq!(harness.core.status().abandoned_connections, 0);
}

#[test]
fn retry_after_for_an_abandoned_call_is_respected() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "status", 1, "x");
    harness.advance(1010);
    let (first, second) = (harness.calls.remove(0), harness.calls.remove(0));
    harness.reply_to(&second, codes::NONE, 0);
    harness.reply_to(&first, codes::THROTTLING_QUOTA_EXCEEDED, 700);
    assert_eq!(harness.results(CLIENT).len(), 1);
    harness.send_one(CLIENT, "status", 1, "y");
    harness.advance(680);
    assert_eq!(harness.count_calls_with("y"), 0, "nothing is sent before the Retry-After is over");
    harness.advance(3000);
    assert!(harness.count_calls_with("y") > 0, "it is sent after the Retry-After");
}

/// Returns how many protocol violations the core has reported since the last call.
fn count_violations(harness: &mut CoreHarness) -> usize {
    let events = harness.core.delivery_events();
    let is_violation = |event: &&DeliveryEvent| matches!(event, DeliveryEvent::ProtocolViolation { .. });
    events.iter().filter(is_violation).count()
}

#[test]
fn endpoint_that_violates_the_protocol_loses_its_connection() {
    let cases = [
        ("unknown correlation id", server::produce(99, 9, &[], 0, None)),
        ("garbage", Bytes::from_static(b"\0\0\0\x08not kafka")),
        ("frame too long", Bytes::from_static(b"\x7f\xff\xff\xff")),
    ];
    for (case, bytes) in cases {
        let mut harness = harness_with_client();
        harness.send_one(CLIENT, "order", 2, "x");
        harness.send_one(CLIENT, "order", 2, "y");
        let call = harness.calls.remove(harness.call_with("x"));
        harness.core.upstream_received(call.connection, &bytes);
        harness.process_after_tick();
        assert_eq!(count_violations(&mut harness), 1, "{case}");
        assert!(!harness.connections.contains_key(&call.connection), "{case}: the connection is closed");
        // The message may have been executed and must not be sent again.
        assert_eq!(harness.results(CLIENT), [result(1, codes::UNKNOWN_SERVER_ERROR)], "{case}");
    }
}

#[test]
fn endpoint_that_responds_twice_loses_its_connection() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "order", 2, "x");
    harness.send_one(CLIENT, "order", 2, "y");
    let call = harness.calls.remove(harness.call_with("x"));
    harness.reply_to(&call, codes::NONE, 0);
    harness.reply_to(&call, codes::NONE, 0);
    assert_eq!(count_violations(&mut harness), 1);
    assert!(!harness.connections.contains_key(&call.connection), "the connection is closed");
}

/// Returns the reasons of the protocol violations that the core has reported since the last call.
fn violations(harness: &mut CoreHarness) -> Vec<String> {
    let events = harness.core.delivery_events();
    let reason = |event: &DeliveryEvent| match event {
        DeliveryEvent::ProtocolViolation { reason, .. } => Some(reason.clone()),
        _ => None,
    };
    events.iter().filter_map(reason).collect()
}

/// Kafka responses come in the order of the requests. After one that does not, no response on the connection
/// can be relied on.
#[test]
fn response_out_of_order_ends_connection_and_its_calls_may_have_run() {
    let mut settings = settings();
    settings["connections"]["calls"] = 4.into();
    let mut harness = harness_with_client_and_settings(&settings);
    for value in ["x", "y", "z", "w"] {
        harness.send_one(CLIENT, "order", 2, value);
    }
    let shared = harness.calls[0].connection;
    let on_shared = harness.calls.iter().filter(|call| call.connection == shared).count();
    assert!(on_shared >= 2, "a connection carries several calls");
    let last = harness.calls.iter().rposition(|call| call.connection == shared).unwrap();
    let last = harness.calls.remove(last);
    harness.reply_to(&last, codes::NONE, 0);
    let reasons = violations(&mut harness);
    assert!(reasons.len() == 1 && reasons[0].contains("before the earlier one"), "{reasons:?}");
    assert!(!harness.connections.contains_key(&shared), "the connection is closed");
    let failed = harness.results(CLIENT);
    assert_eq!(failed.len(), on_shared, "all its calls may have run, and none is sent again");
    assert!(failed.iter().all(|result| result.code == codes::UNKNOWN_SERVER_ERROR), "{failed:?}");
}

#[test]
fn version_response_with_other_correlation_id_ends_connection_with_that_reason() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    harness.send_one(CLIENT, "order", 2, "x");
    let connection = *harness.connections.keys().next().unwrap();
    harness.connect(connection);
    harness.core.upstream_received(connection, &server::api_versions(7, 0));
    harness.process_after_tick();
    let reasons = violations(&mut harness);
    assert!(reasons.len() == 1 && reasons[0].contains("correlation id 7"), "{reasons:?}");
    assert!(!harness.connections.contains_key(&connection), "the connection is closed");
    assert!(harness.results(CLIENT).is_empty(), "the message was not sent, and is sent again");
}

#[test]
fn response_in_the_iteration_of_its_timeout_counts_as_response() {
    let mut harness = harness_with_client();
    let n = harness.send_one(CLIENT, "order", 2, "x");
    let call = harness.calls.remove(0);
    harness.now += 3_000 * MS;
    harness.core.clock(harness.now);
    harness.reply_to(&call, codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::NONE)]);
}

/// How an attempt on a new connection fails. Only in the last two cases may it have been executed.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection cannot be established.
    Refused,
    /// The connection is not established within the connect timeout.
    TimedOut,
    /// The connection is closed before the version request is answered.
    NotNegotiated,
    /// The connection is closed before the operating system has accepted a byte of the call.
    Unwritten,
    /// The connection is closed after the operating system has accepted one byte of the call.
    PartlyWritten,
    /// The connection is closed after the operating system has accepted the complete call.
    Written,
}

/// Makes the attempt that waits for this connection fail.
fn fail_attempt(harness: &mut CoreHarness, connection: u64, failure: Failure) {
    match failure {
        Failure::Refused => harness.core.upstream_connect_failed(connection, ConnectFailure::Remote),
        Failure::TimedOut => harness.advance(1010),
        Failure::NotNegotiated => {
            harness.connect(connection);
            let written = harness.connections[&connection].received_bytes;
            harness.core.upstream_disconnected(connection, written);
        }
        _ => {
            harness.connect(connection);
            let before_call = harness.connections[&connection].received_bytes;
            harness.negotiate(connection);
            assert_eq!(harness.count_calls_with("x"), 1);
            let accepted_bytes = match failure {
                Failure::Unwritten => before_call,
                Failure::PartlyWritten => before_call + 1,
                _ => harness.connections[&connection].received_bytes,
            };
            harness.core.upstream_disconnected(connection, accepted_bytes);
        }
    }
}

#[test]
fn attempt_of_which_no_byte_was_sent_is_known_not_to_be_executed() {
    for failure in [
        Failure::Refused,
        Failure::TimedOut,
        Failure::NotNegotiated,
        Failure::Unwritten,
        Failure::PartlyWritten,
        Failure::Written,
    ] {
        let mut harness = harness_with_client();
        harness.auto_connect = false;
        let n = harness.send_one(CLIENT, "order", 2, "x");
        let connection = harness.connecting.pop().unwrap();
        fail_attempt(&mut harness, connection, failure);
        harness.process_after_tick();
        if matches!(failure, Failure::PartlyWritten | Failure::Written) {
            assert_eq!(
                harness.results(CLIENT),
                [result(n, codes::UNKNOWN_SERVER_ERROR)],
                "{failure:?}: it may have been executed"
            );
        } else {
            assert_eq!(harness.results(CLIENT), [], "{failure:?}: it is still attempted");
            harness.auto_connect = true;
            harness.advance(2700);
            let attempts = harness.connecting.len() + harness.count_calls_with("x");
            assert!(attempts > 0 || !harness.results(CLIENT).is_empty(), "{failure:?}");
            assert_ne!(
                harness.results(CLIENT).first().map(|result| result.code),
                Some(codes::UNKNOWN_SERVER_ERROR),
                "{failure:?}: it was never executed"
            );
        }
    }
}

#[test]
fn endpoint_that_drains_during_the_connect_gets_no_message() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    harness.send_one(CLIENT, "order", 2, "x");
    let connection = harness.connecting.pop().unwrap();
    harness.connect(connection);
    harness.change_list(vec![entry(20, 2, "small", EntryState::Draining)]);
    harness.negotiate(connection);
    assert!(harness.calls.is_empty());
}

#[test]
fn retry_after_during_the_connect_withholds_the_message() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    let mut harness = harness_with_client_and_settings(&doc);
    let with_rate = |id| EndpointEntry { rate: 100.0, ..entry(id, 1, "large", EntryState::Ready) };
    harness.change_list(vec![with_rate(10), with_rate(11)]);
    harness.send_one(CLIENT, "status", 1, "first");
    harness.auto_connect = false;
    harness.send_one(CLIENT, "status", 1, "second");
    let connection = harness.connecting.pop().expect("a further connection");
    harness.reply("first", codes::THROTTLING_QUOTA_EXCEEDED, 700);
    harness.connect(connection);
    harness.negotiate(connection);
    assert_eq!(harness.count_calls_with("second"), 0);
    harness.auto_connect = true;
    harness.advance(650);
    assert!(harness.calls.is_empty());
    harness.advance(3000);
    assert!(harness.count_calls_with("second") > 0, "it is sent after the Retry-After");
}

/// The connection of a repetition is established when the endpoint is about to forget the message's key.
#[test]
fn repetition_is_not_written_after_its_window() {
    for (established_after, calls) in [(600, 2), (1000, 1)] {
        let mut doc = settings();
        doc["classes"][1]["repeat"]["keyed"]["window_ms"] = 1300.into();
        let mut harness = harness_with_client_and_settings(&doc);
        harness.auto_connect = false;
        harness.send_one(CLIENT, "proxy", 1, "x");
        let first = harness.connecting.pop().unwrap();
        harness.connect(first);
        harness.negotiate(first);
        let written = harness.connections[&first].received_bytes;
        harness.core.upstream_disconnected(first, written);
        harness.advance(150);
        let repetition = harness.connecting.pop().expect("it may be sent again within the window");
        harness.advance(established_after - 50);
        harness.connect(repetition);
        harness.negotiate(repetition);
        assert_eq!(harness.count_calls_with("x"), calls, "established after {established_after} ms");
    }
}

#[test]
fn attempt_cancelled_before_it_was_written_is_known_not_to_be_executed() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let long = harness.send_one(CLIENT, "order", 1, "x");
    let short = harness.send(CLIENT, &[target("order", 2, &[record_with_header("y", "deadline-ms", "200")])]);
    harness.advance(210);
    assert_eq!(
        harness.results(CLIENT),
        [result(long, codes::NOT_ENOUGH_REPLICAS), result(short, codes::NOT_ENOUGH_REPLICAS)]
    );
}

#[test]
fn messages_of_one_call_are_sent_together_and_share_its_outcome() {
    let mut harness = harness_with_client();
    let batch: Vec<_> = (0..5).map(|n| record(&format!("r{n}"))).collect();
    let n = harness.send(CLIENT, &[target("status", 3, &batch)]);
    let sizes: Vec<usize> = harness.calls.iter().map(|call| call.values().count()).collect();
    assert_eq!(sizes, [3, 2]);
    assert_eq!(harness.core.status().calls, 2, "each call occupies a slot");
    harness.reply("r0", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), []);
    harness.reply("r4", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::NONE)]);
}

/// The only slot goes to another message, so an overdue attempt is cancelled while its message goes on.
#[test]
fn success_of_a_cancelled_attempt_completes_its_message() {
    let mut settings = settings();
    settings["limits"]["slots"] = 1.into();
    let mut harness = harness_with_client_and_settings(&settings);
    let first = harness.send_one(CLIENT, "status", 1, "x");
    let call = harness.calls.remove(0);
    harness.send_one(CLIENT, "order", 2, "y");
    let mut waited = 0;
    while harness.core.status().abandoned_connections == 0 {
        assert!(waited < 5000, "the overdue attempt is not cancelled");
        harness.advance(10);
        waited += 10;
    }
    let retries = harness.count_calls_with("x");
    harness.reply_to(&call, codes::NONE, 0);
    harness.process_after_tick();
    assert_eq!(harness.results(CLIENT), [result(first, codes::NONE)]);
    harness.advance(5000);
    assert_eq!(harness.count_calls_with("x"), retries, "it is delivered, and it was sent again");
}
