//! Requests of clients: admission, deadlines, the order of responses, load shedding and drain.

use crate::harness::*;
use crate::{harness_with_client, CLIENT};
use linnetcart_kafka::{codes, Record};

#[test]
fn message_to_a_ready_endpoint_is_delivered_and_answered() {
    let mut harness = harness_with_client();
    let n = harness.send_one(CLIENT, "status", 1, "hello");
    harness.reply("hello", codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::NONE)]);
    let status = harness.core.status();
    assert_eq!((status.in_flight, status.calls, status.classes["status"].served), (0, 0, 1));
}

#[test]
fn overdue_request_behind_an_older_one_cuts_the_older_one() {
    let mut harness = harness_with_client();
    // The older one has 8 s, the one behind it 300 ms; both hang.
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short = harness.send(CLIENT, &[("order", 2, &[record_with_header("short", "deadline-ms", "300")])]);
    harness.advance(250);
    assert_eq!(harness.response_codes(CLIENT), []);
    harness.advance(60);
    // What may not run twice has failed; what is safe to repeat is handed back, though it had seconds left.
    assert_eq!(
        harness.response_codes(CLIENT),
        [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::UNKNOWN_SERVER_ERROR)]
    );
    assert_eq!(harness.core.status().in_flight, 0);
}

#[test]
fn served_request_behind_an_older_one_is_answered_by_its_deadline() {
    let mut harness = harness_with_client();
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short = harness.send(CLIENT, &[("order", 2, &[record_with_header("short", "deadline-ms", "500")])]);
    harness.reply("short", codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), []);
    harness.advance(520);
    assert_eq!(harness.response_codes(CLIENT), [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NONE)]);
}

#[test]
fn batch_with_different_outcomes_is_final_and_lists_each_record() {
    let mut harness = harness_with_client();
    let n = harness.send(CLIENT, &[("order", 1, &[record("a"), record("b")]), ("order", 2, &[record("c")])]);
    harness.reply("a", codes::NONE, 0);
    harness.reply("b", codes::UNKNOWN_SERVER_ERROR, 0);
    harness.reply("c", codes::NONE, 0);
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::INVALID_RECORD), (n, codes::NONE)]);
    let mixed = &harness.responses[&CLIENT][0].parts[0];
    assert_eq!(
        mixed.record_errors.iter().map(|error| error.message.split(':').next().unwrap()).collect::<Vec<_>>(),
        ["served", "failed"]
    );
}

#[test]
fn batch_that_never_left_is_rejected_as_retriable() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let n = harness.send(CLIENT, &[("order", 1, &[record("a"), record("b")])]);
    harness.advance(3000);
    // No connection came up in all that time.
    assert_eq!(harness.response_codes(CLIENT).first().map(|c| c.0), Some(n));
    assert_eq!(harness.response_codes(CLIENT)[0].1, codes::NOT_ENOUGH_REPLICAS);
    assert!(harness.calls.is_empty());
}

#[test]
fn produce_request_that_is_invalid_is_rejected_as_a_whole() {
    let mut harness = harness_with_client();
    let unknown = harness.send_one(CLIENT, "nothing", 1, "x");
    let nowhere = harness.send_one(CLIENT, "status", 77, "x");
    let negative = harness.send_one(CLIENT, "status", -1, "x");
    let wrong = harness
        .send(CLIENT, &[("status", 1, &[record("fine"), record_with_header("x", "deadline-ms", "soon")])]);
    let codes: Vec<(i32, i16)> = harness.response_codes(CLIENT);
    assert_eq!(codes[0], (unknown, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[1], (nowhere, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[2], (negative, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[3], (wrong, codes::INVALID_RECORD));
    assert!(harness.responses[&CLIENT][3].parts[0].record_errors[0].message.contains("deadline-ms"));
    assert!(harness.calls.is_empty(), "nothing of a wrong batch is accepted");
    let request = harness.request(0, &[("status", 1, &[record("x")])]);
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
    assert!(harness.calls.is_empty(), "cancelled before its connection was there");
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
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::NONE)]);
    assert!(harness.closed.contains(&CLIENT));
}

#[test]
fn request_received_byte_by_byte_is_processed() {
    let mut harness = harness_with_client();
    let request = harness.request(-1, &[("status", 1, &[record("slow")])]);
    for byte in request.iter() {
        harness.core.client_received(CLIENT, &[*byte]);
    }
    harness.process_after_tick();
    assert_eq!(harness.count_calls_with("slow"), 1);
}

#[test]
fn client_beyond_its_bounds_is_paused_and_others_are_served() {
    let mut doc = settings();
    doc["limits"]["unsent_bytes"] = 4096.into();
    doc["limits"]["pipelined"] = 4.into();
    let mut harness = CoreHarness::with(&doc, 1);
    harness.connect_client(CLIENT);
    harness.connect_client(2);
    // Nothing is ever said to have left: answers pile up to the bound.
    let ask = linnetcart_kafka::client::metadata(1, "t", 9, None).unwrap();
    for _ in 0..200 {
        harness.core.client_received(CLIENT, &ask);
    }
    harness.process();
    assert!(harness.paused.contains(&CLIENT));
    let n = harness.send_one(2, "status", 1, "other");
    harness.reply("other", codes::NONE, 0);
    assert_eq!(harness.response_codes(2), [(n, codes::NONE)]);
    // It reads at last: what it had sent is worked through.
    for _ in 0..200 {
        harness.core.set_client_backlog(CLIENT, 0);
        harness.process();
    }
    assert!(!harness.paused.contains(&CLIENT));
    // Requests without an answer are bounded too.
    for n in 0..6 {
        harness.send_one(2, "status", 1, &format!("p{n}"));
    }
    assert!(harness.paused.contains(&2));
    assert_eq!(harness.core.status().in_flight, 4);
    harness.reply("p0", codes::NONE, 0);
    assert_eq!(harness.core.status().in_flight, 4, "the next was taken when there was room");
}

#[test]
fn in_flight_table_at_its_bound_sheds_with_a_retry_after() {
    let mut doc = settings();
    doc["limits"]["held"] = 3.into();
    let mut harness = CoreHarness::with(&doc, 1);
    harness.connect_client(CLIENT);
    harness.connect_client(2);
    for n in 0..3 {
        harness.send_one(2, "status", 1, &format!("h{n}"));
    }
    let held = harness.core.status().in_flight as i32;
    let batch: Vec<_> = (0..3).map(|n| record(&format!("b{n}"))).collect();
    let n = harness.send(CLIENT, &[("status", 1, &batch)]);
    assert!(held > 0);
    assert_eq!(harness.response_codes(CLIENT), [(n, codes::NOT_ENOUGH_REPLICAS)]);
    assert_eq!(harness.responses[&CLIENT][0].throttle_ms, 3000);
    let big: Vec<_> = (0..4).map(|n| record(&format!("c{n}"))).collect();
    let n = harness.send(CLIENT, &[("status", 1, &big)]);
    assert_eq!(
        harness.response_codes(CLIENT)[1],
        (n, codes::MESSAGE_TOO_LARGE),
        "no retry could ever fit it"
    );
}

#[test]
fn shed_request_behind_an_older_one_is_answered_by_its_deadline() {
    let mut doc = settings();
    doc["limits"]["held"] = 1.into();
    let mut harness = CoreHarness::with(&doc, 1);
    harness.connect_client(CLIENT);
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short = harness.send(CLIENT, &[("order", 2, &[record_with_header("short", "deadline-ms", "300")])]);
    assert_eq!(harness.core.status().classes["order"].shed, 1);
    assert_eq!(harness.response_codes(CLIENT), []);
    harness.advance(310);
    assert_eq!(
        harness.response_codes(CLIENT),
        [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NOT_ENOUGH_REPLICAS)]
    );
}

#[test]
fn request_read_after_a_stall_has_its_deadline_from_the_earliest_arrival() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let request = harness.request(-1, &[("order", 2, &[record_with_header("x", "deadline-ms", "1000")])]);
    // It may have come at any time in the 700 ms before it is read.
    let came = harness.now;
    harness.now += 700 * MS;
    harness.core.clock(harness.now);
    harness.core.arrived_since(came);
    harness.core.client_received(CLIENT, &request);
    harness.process();
    harness.advance(320);
    assert_eq!(harness.response_times[&CLIENT].len(), 1);
    assert!(harness.response_times[&CLIENT][0] <= came + 1000 * MS);
}

#[test]
fn record_long_under_way_is_answered_by_its_clients_deadline_and_not_sent_after() {
    const WALL: u64 = 1_700_000_000_000;
    let mut harness = harness_with_client();
    let made =
        |ms: u64| Record { timestamp: (WALL - ms) as i64, ..record_with_header("x", "deadline-ms", "2000") };
    // 1,200 ms on its way, clocks apart by 50 ms at most: 750 ms are left.
    harness.core.wall_clock(WALL * MS);
    harness.send(CLIENT, &[("order", 2, &[made(1200)])]);
    harness.advance(740);
    assert_eq!(harness.response_times.get(&CLIENT).map_or(0, Vec::len), 0);
    harness.advance(20);
    assert_eq!(harness.response_codes(CLIENT), [(1, codes::UNKNOWN_SERVER_ERROR)]);
    // Its time was up before it came: it is handed back at once, and nothing of it is sent.
    harness.core.wall_clock(WALL * MS);
    let late = harness.send(CLIENT, &[("order", 1, &[Record { value: Some("late".into()), ..made(1960) }])]);
    harness.advance(5);
    assert_eq!(
        (harness.response_codes(CLIENT)[1], harness.count_calls_with("late")),
        ((late, codes::NOT_ENOUGH_REPLICAS), 0)
    );
    // A clock that is an hour ahead tells nothing, and is counted.
    harness.core.wall_clock((WALL - 3_600_000) * MS);
    harness.send(CLIENT, &[("order", 1, &[Record { value: Some("ahead".into()), ..made(0) }])]);
    harness.reply("ahead", codes::NONE, 0);
    let status = harness.core.status();
    assert_eq!(
        (harness.response_codes(CLIENT)[2].1, status.expired_on_arrival, status.clocks_ahead),
        (codes::NONE, 1, 1)
    );
    // A stated end counts where records' times do not.
    let end = record_with_header("end", "deadline-at-ms", &(WALL + 500).to_string());
    harness.core.wall_clock(WALL * MS);
    harness.send(CLIENT, &[("order", 1, &[end])]);
    harness.advance(455);
    assert_eq!(harness.response_codes(CLIENT)[3].1, codes::UNKNOWN_SERVER_ERROR);
    let wrong = harness.send(CLIENT, &[("order", 1, &[record_with_header("y", "deadline-at-ms", "soon")])]);
    assert_eq!(harness.response_codes(CLIENT)[4], (wrong, codes::INVALID_RECORD));
    assert!(harness.responses[&CLIENT][4].parts[0].record_errors[0]
        .message
        .contains("deadline-at-ms: `soon`"));
}

#[test]
fn messages_with_one_key_across_the_last_number_are_delivered_in_turn() {
    let mut harness = CoreHarness::with(&settings(), u32::MAX - 1);
    harness.connect_client(CLIENT);
    for n in 0..4 {
        harness.send(CLIENT, &[("proxy", 1, &[record_with_key(&format!("k{n}"), "same")])]);
    }
    for n in 0..4 {
        assert_eq!(harness.calls.len(), 1, "one at a time");
        harness.reply(&format!("k{n}"), codes::NONE, 0);
        harness.process_after_tick();
    }
    assert_eq!(harness.response_codes(CLIENT).iter().map(|c| c.1).collect::<Vec<_>>(), [codes::NONE; 4]);
}

#[test]
fn draining_core_rejects_new_messages_and_completes_the_others_by_their_class() {
    let mut harness = harness_with_client();
    harness.connect_client(2);
    let held = harness.send_one(CLIENT, "order", 2, "x");
    harness.core.begin_drain(harness.now + 1000 * MS);
    let late = harness.send_one(2, "status", 1, "late");
    assert_eq!(harness.response_codes(2), [(late, codes::NOT_ENOUGH_REPLICAS)]);
    assert!(!harness.core.is_done());
    harness.advance(1010);
    assert_eq!(harness.response_codes(CLIENT), [(held, codes::UNKNOWN_SERVER_ERROR)], "it may have run");
    assert!(harness.core.is_done());
}
