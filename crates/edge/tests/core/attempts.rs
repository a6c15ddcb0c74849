//! Attempts: what their outcomes are, what may leave and what a Retry-After holds back.

use crate::harness::*;
use crate::{harness_with_client, CLIENT};
use linnetcart_edge::settings::EntryState;
use linnetcart_kafka::codes;

#[test]
fn response_after_a_cancellation_only_frees_the_connection() {
    let mut harness = harness_with_client();
    harness.send_one(CLIENT, "status", 1, "x");
    // The resend time is the aim as long as nothing was served; then a copy goes elsewhere.
    harness.advance(1010);
    assert_eq!(harness.count_calls_with("x"), 2);
    let (first, second) = (harness.calls.remove(0), harness.calls.remove(0));
    assert_ne!(first.endpoint, second.endpoint);
    harness.reply_to(&second, codes::NONE, 0);
    harness.process_after_tick();
    let answers = harness.response_codes(CLIENT).len();
    assert_eq!(
        (answers, harness.core.status().abandoned_connections, harness.core.status().calls),
        (1, 1, 0)
    );
    harness.reply_to(&first, codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT).len(), 1, "the loser's answer goes to nobody");
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
    assert_eq!(harness.response_codes(CLIENT).len(), 1);
    harness.send_one(CLIENT, "status", 1, "y");
    harness.advance(680);
    assert_eq!(harness.count_calls_with("y"), 0);
    harness.advance(3000);
    assert!(harness.count_calls_with("y") > 0, "after the wait it goes");
}

#[test]
fn endpoint_that_violates_the_protocol_loses_its_connection() {
    for bad in ["twice", "unknown", "garbage", "huge"] {
        let mut harness = harness_with_client();
        harness.send_one(CLIENT, "order", 2, "x");
        harness.send_one(CLIENT, "order", 2, "y");
        let call = harness.calls.remove(harness.call_with("x"));
        let bytes = match bad {
            "twice" => {
                harness.reply_to(&call, codes::NONE, 0);
                None
            }
            "unknown" => Some(linnetcart_kafka::server::produce(99, 9, &[], 0, None)),
            "garbage" => Some(bytes::Bytes::from_static(b"\0\0\0\x08not kafka")),
            _ => Some(bytes::Bytes::from_static(b"\x7f\xff\xff\xff")),
        };
        let violations = |harness: &mut CoreHarness| {
            let events = harness.core.delivery_events();
            events
                .iter()
                .filter(|f| {
                    matches!(f, linnetcart_edge::delivery_events::DeliveryEvent::ProtocolViolation { .. })
                })
                .count()
        };
        match bytes {
            None => harness.reply_to(&call, codes::NONE, 0),
            Some(bytes) => {
                harness.core.upstream_received(call.connection, &bytes);
                harness.process_after_tick();
            }
        }
        assert_eq!(violations(&mut harness), 1, "{bad}");
        assert!(!harness.connections.contains_key(&call.connection), "{bad}: the connection is closed");
        if bad != "twice" {
            // It may have run, and must not run again.
            assert_eq!(harness.response_codes(CLIENT), [(1, codes::UNKNOWN_SERVER_ERROR)], "{bad}");
        }
    }
}

#[test]
fn response_in_the_iteration_of_its_timeout_counts_as_response() {
    let mut harness = harness_with_client();
    let n = harness.send_one(CLIENT, "order", 2, "x");
    let call = harness.calls.remove(0);
    harness.now += 3_000 * MS;
    harness.core.clock(harness.now);
    harness.reply_to(&call, codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::NONE)]);
}

#[test]
fn attempt_that_never_left_is_known_not_to_be_executed() {
    // Refused, hanging, closed before it was greeted, and closed before the system took a byte of the call.
    for how in ["refused", "hangs", "ungreeted", "unwritten", "partly", "written"] {
        let mut harness = harness_with_client();
        harness.auto_connect = false;
        let n = harness.send_one(CLIENT, "order", 2, "x");
        let connection = harness.connecting.pop().unwrap();
        match how {
            "refused" => harness.core.upstream_connect_failed(connection),
            "hangs" => harness.advance(1010),
            "ungreeted" => {
                harness.connect(connection);
                let written = harness.connections[&connection].received_bytes;
                harness.core.upstream_disconnected(connection, written);
            }
            _ => {
                harness.connect(connection);
                let greeting = harness.connections[&connection].received_bytes;
                harness.negotiate(connection);
                assert_eq!(harness.count_calls_with("x"), 1);
                let all = harness.connections[&connection].received_bytes;
                harness.core.upstream_disconnected(
                    connection,
                    match how {
                        "unwritten" => greeting,
                        "partly" => greeting + 1,
                        _ => all,
                    },
                );
            }
        }
        harness.process_after_tick();
        if matches!(how, "partly" | "written") {
            assert_eq!(
                harness.response_codes(CLIENT),
                [(n, codes::UNKNOWN_SERVER_ERROR)],
                "{how}: it may have run"
            );
        } else {
            assert_eq!(harness.response_codes(CLIENT), [], "{how}: it is still tried");
            harness.auto_connect = true;
            harness.advance(2700);
            let tried = harness.connecting.len() + harness.count_calls_with("x");
            assert!(tried > 0 || !harness.response_codes(CLIENT).is_empty(), "{how}");
            assert_ne!(
                harness.response_codes(CLIENT).first().map(|c| c.1),
                Some(codes::UNKNOWN_SERVER_ERROR),
                "{how}: it never ran"
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
    harness.update_list(false, vec![entry(20, 2, "small", EntryState::Draining)]);
    harness.negotiate(connection);
    assert!(harness.calls.is_empty());
}

#[test]
fn retry_after_during_the_connect_holds_the_message_back() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    let mut harness = CoreHarness::with(&doc, 1);
    harness.connect_client(CLIENT);
    let told = |id| linnetcart_edge::settings::EndpointEntry {
        rate: 100.0,
        ..entry(id, 1, "large", EntryState::Ready)
    };
    harness.update_list(false, vec![told(10), told(11)]);
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
    assert!(harness.count_calls_with("second") > 0, "after the wait it goes");
}

#[test]
fn attempt_cancelled_before_it_left_is_known_not_to_be_executed() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let long = harness.send_one(CLIENT, "order", 1, "x");
    let short = harness.send(CLIENT, &[("order", 2, &[record_with_header("y", "deadline-ms", "200")])]);
    harness.advance(210);
    assert_eq!(
        harness.response_codes(CLIENT),
        [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NOT_ENOUGH_REPLICAS)]
    );
}

#[test]
fn messages_of_one_call_leave_together_and_share_its_outcome() {
    let mut harness = harness_with_client();
    let batch: Vec<_> = (0..5).map(|n| record(&format!("r{n}"))).collect();
    let n = harness.send(CLIENT, &[("status", 3, &batch)]);
    let sizes: Vec<usize> = harness.calls.iter().map(|c| c.parts.iter().map(|p| p.2.len()).sum()).collect();
    assert_eq!(sizes, [3, 2]);
    assert_eq!(harness.core.status().calls, 2, "a call is a slot");
    harness.reply("r0", codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), []);
    harness.reply("r4", codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::NONE)]);
}
