//! Requests of clients: admission, load shedding, backpressure, and draining.

use crate::harness::*;
use crate::{harness_with_client, harness_with_client_and_settings, CLIENT};
use linnetcart_kafka::codes;

#[test]
fn message_to_a_ready_endpoint_is_delivered_and_answered() {
    let mut harness = harness_with_client();
    let n = harness.send_one(CLIENT, "status", 1, "hello");
    harness.reply("hello", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::NONE)]);
    let status = harness.core.status();
    assert_eq!((status.in_flight, status.calls, status.classes["status"].served), (0, 0, 1));
}

/// Guards against a record being answered by another client's: nothing is kept by the id that a record names.
#[test]
fn records_of_two_clients_with_one_message_id_are_two_messages() {
    const OTHER: u64 = 2;
    let mut harness = harness_with_client();
    harness.connect_client(OTHER);
    let named = |value| [record_with_header(value, "message-id", "m")];
    let first = harness.send(CLIENT, &[target("order", 1, &named("a"))]);
    let second = harness.send(OTHER, &[target("order", 1, &named("b"))]);
    harness.reply("b", codes::UNKNOWN_SERVER_ERROR, 0);
    assert!(harness.results(CLIENT).is_empty(), "the other client's answer is not its own");
    harness.reply("a", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(first, codes::NONE)]);
    assert_eq!(harness.results(OTHER), [result(second, codes::UNKNOWN_SERVER_ERROR)]);
}

#[test]
fn batch_with_different_outcomes_is_final_and_lists_each_record() {
    let mut harness = harness_with_client();
    let n = harness
        .send(CLIENT, &[target("order", 1, &[record("a"), record("b")]), target("order", 2, &[record("c")])]);
    harness.reply("a", codes::NONE, 0);
    harness.reply("b", codes::UNKNOWN_SERVER_ERROR, 0);
    harness.reply("c", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::INVALID_RECORD), result(n, codes::NONE)]);
    let mixed = &harness.responses[&CLIENT][0].parts[0];
    assert_eq!(
        mixed.record_errors.iter().map(|error| error.message.split(':').next().unwrap()).collect::<Vec<_>>(),
        ["served", "failed"]
    );
}

#[test]
fn batch_that_was_never_sent_is_rejected_as_retriable() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let n = harness.send(CLIENT, &[target("order", 1, &[record("a"), record("b")])]);
    harness.advance(3000);
    // No connection was established before the deadline (3000 ms).
    let first = harness.results(CLIENT).first().copied();
    assert_eq!(first, Some(result(n, codes::NOT_ENOUGH_REPLICAS)));
    assert!(harness.calls.is_empty());
}

#[test]
fn produce_request_that_is_invalid_is_rejected_completely() {
    let mut harness = harness_with_client();
    let unknown_class = harness.send_one(CLIENT, "nothing", 1, "x");
    let unknown_destination = harness.send_one(CLIENT, "status", 77, "x");
    let negative_partition = harness.send_one(CLIENT, "status", -1, "x");
    let invalid_header = harness.send(
        CLIENT,
        &[target("status", 1, &[record("fine"), record_with_header("x", "deadline-ms", "soon")])],
    );
    let results = harness.results(CLIENT);
    assert_eq!(results[0], result(unknown_class, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(results[1], result(unknown_destination, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(results[2], result(negative_partition, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(results[3], result(invalid_header, codes::INVALID_RECORD));
    assert!(harness.responses[&CLIENT][3].parts[0].record_errors[0].message.contains("deadline-ms"));
    assert!(harness.calls.is_empty(), "no record of an invalid batch is accepted");
    let request = harness.request(0, &[target("status", 1, &[record("x")])]);
    harness.core.client_received(CLIENT, &request);
    harness.process_after_tick();
    assert!(harness.closed.contains(&CLIENT), "acks=0 cannot carry a final answer");
}

#[test]
fn client_that_disconnects_cancels_its_messages() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    harness.send_one(CLIENT, "order", 2, "x");
    harness.core.client_disconnected(CLIENT);
    harness.process_after_tick();
    let connection = harness.connecting[0];
    harness.connect(connection);
    harness.negotiate(connection);
    assert!(harness.calls.is_empty(), "cancelled before its connection was established");
    assert_eq!(harness.core.status().in_flight, 0);
    assert_eq!(harness.core.status().classes["order"].client_cancelled, 1);
}

#[test]
fn client_that_half_closes_still_gets_its_responses() {
    let mut harness = harness_with_client();
    let n = harness.send_one(CLIENT, "status", 1, "x");
    harness.core.client_half_closed(CLIENT);
    harness.process_after_tick();
    assert!(!harness.closed.contains(&CLIENT));
    harness.reply("x", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::NONE)]);
    assert!(harness.closed.contains(&CLIENT));
}

#[test]
fn request_received_byte_by_byte_is_processed() {
    let mut harness = harness_with_client();
    let request = harness.request(ACKS_ALL, &[target("status", 1, &[record("slow")])]);
    for byte in request.iter() {
        harness.core.client_received(CLIENT, &[*byte]);
    }
    harness.process_after_tick();
    assert_eq!(harness.count_calls_with("slow"), 1);
}

#[test]
fn client_at_its_limits_is_paused_and_others_are_served() {
    let mut doc = settings();
    doc["limits"]["unsent_bytes"] = 4096.into();
    doc["limits"]["pipelined"] = 4.into();
    let mut harness = harness_with_client_and_settings(&doc);
    harness.connect_client(2);
    // The backlog is never reported as sent, so the limit on unsent bytes is reached.
    let metadata = linnetcart_kafka::client::metadata(1, "t", 9, None).unwrap();
    for _ in 0..200 {
        harness.core.client_received(CLIENT, &metadata);
    }
    harness.process();
    assert!(harness.paused.contains(&CLIENT));
    let n = harness.send_one(2, "status", 1, "other");
    harness.reply("other", codes::NONE, 0);
    assert_eq!(harness.results(2), [result(n, codes::NONE)]);
    // The client reads its responses, so its remaining requests are processed.
    for _ in 0..200 {
        harness.core.set_client_backlog(CLIENT, 0);
        harness.process();
    }
    assert!(!harness.paused.contains(&CLIENT));
    // The number of requests without a response is limited too (`pipelined`).
    for n in 0..6 {
        harness.send_one(2, "status", 1, &format!("p{n}"));
    }
    assert!(harness.paused.contains(&2));
    assert_eq!(harness.core.status().in_flight, 4);
    harness.reply("p0", codes::NONE, 0);
    assert_eq!(harness.core.status().in_flight, 4, "the next request was accepted once there was capacity");
}

#[test]
fn in_flight_table_at_its_limit_sheds_with_a_retry_after() {
    let mut doc = settings();
    doc["limits"]["held"] = 3.into();
    let mut harness = harness_with_client_and_settings(&doc);
    harness.connect_client(2);
    for n in 0..3 {
        harness.send_one(2, "status", 1, &format!("h{n}"));
    }
    let in_flight = harness.core.status().in_flight;
    let batch: Vec<_> = (0..3).map(|n| record(&format!("b{n}"))).collect();
    let n = harness.send(CLIENT, &[target("status", 1, &batch)]);
    assert!(in_flight > 0);
    assert_eq!(harness.results(CLIENT), [result(n, codes::NOT_ENOUGH_REPLICAS)]);
    assert_eq!(harness.responses[&CLIENT][0].throttle_ms, 3000);
    let big: Vec<_> = (0..4).map(|n| record(&format!("c{n}"))).collect();
    let n = harness.send(CLIENT, &[target("status", 1, &big)]);
    assert_eq!(
        harness.results(CLIENT)[1],
        result(n, codes::MESSAGE_TOO_LARGE),
        "a batch above the limit can never be accepted"
    );
}

#[test]
fn messages_with_one_key_across_the_last_number_are_delivered_in_order() {
    let mut harness = CoreHarness::with_first_number(u32::MAX - 1);
    harness.connect_client(CLIENT);
    for n in 0..4 {
        harness.send(CLIENT, &[target("proxy", 1, &[record_with_key(&format!("k{n}"), "same")])]);
    }
    for n in 0..4 {
        assert_eq!(harness.calls.len(), 1, "one at a time");
        harness.reply(&format!("k{n}"), codes::NONE, 0);
        harness.process_after_tick();
    }
    assert_eq!(
        harness.results(CLIENT).iter().map(|result| result.code).collect::<Vec<_>>(),
        [codes::NONE; 4]
    );
}

#[test]
fn draining_core_rejects_new_messages_and_completes_the_others_by_their_class() {
    let mut harness = harness_with_client();
    harness.connect_client(2);
    let open = harness.send_one(CLIENT, "order", 2, "x");
    harness.core.begin_drain(harness.now + 1000 * MS);
    let late = harness.send_one(2, "status", 1, "late");
    assert_eq!(harness.results(2), [result(late, codes::NOT_ENOUGH_REPLICAS)]);
    assert!(!harness.core.is_done());
    harness.advance(1010);
    assert_eq!(
        harness.results(CLIENT),
        [result(open, codes::UNKNOWN_SERVER_ERROR)],
        "it may have been executed"
    );
    assert!(harness.core.is_done());
}
