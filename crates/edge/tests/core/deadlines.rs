//! Deadlines of requests, and head-of-line blocking: responses are sent in the order of the requests.

use crate::harness::*;
use crate::{harness_with_client, harness_with_client_and_settings, CLIENT};
use linnetcart_kafka::{codes, Record};

#[test]
fn overdue_request_behind_an_older_one_completes_the_older_one() {
    let mut harness = harness_with_client();
    // The older request has 8 s, the one behind it 300 ms. Neither call is answered.
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short =
        harness.send(CLIENT, &[target("order", 2, &[record_with_header("short", "deadline-ms", "300")])]);
    harness.advance(250);
    assert_eq!(harness.results(CLIENT), []);
    harness.advance(60);
    // The message that is not idempotent has failed, because it may have been executed. The idempotent one is
    // rejected, although its own deadline was seconds away.
    assert_eq!(
        harness.results(CLIENT),
        [result(long, codes::NOT_ENOUGH_REPLICAS), result(short, codes::UNKNOWN_SERVER_ERROR)]
    );
    assert_eq!(harness.core.status().in_flight, 0);
}

#[test]
fn served_request_behind_an_older_one_is_answered_by_its_deadline() {
    let mut harness = harness_with_client();
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short =
        harness.send(CLIENT, &[target("order", 2, &[record_with_header("short", "deadline-ms", "500")])]);
    harness.reply("short", codes::NONE, 0);
    assert_eq!(harness.results(CLIENT), []);
    harness.advance(520);
    assert_eq!(
        harness.results(CLIENT),
        [result(long, codes::NOT_ENOUGH_REPLICAS), result(short, codes::NONE)]
    );
}

#[test]
fn shed_request_behind_an_older_one_is_answered_by_its_deadline() {
    let mut doc = settings();
    doc["limits"]["held"] = 1.into();
    let mut harness = harness_with_client_and_settings(&doc);
    let long = harness.send_one(CLIENT, "status", 1, "long");
    let short =
        harness.send(CLIENT, &[target("order", 2, &[record_with_header("short", "deadline-ms", "300")])]);
    assert_eq!(harness.core.status().classes["order"].shed, 1);
    assert_eq!(harness.results(CLIENT), []);
    harness.advance(310);
    assert_eq!(
        harness.results(CLIENT),
        [result(long, codes::NOT_ENOUGH_REPLICAS), result(short, codes::NOT_ENOUGH_REPLICAS)]
    );
}

#[test]
fn request_read_after_a_stall_has_its_deadline_from_the_earliest_arrival() {
    let mut harness = harness_with_client();
    harness.auto_connect = false;
    let request =
        harness.request(ACKS_ALL, &[target("order", 2, &[record_with_header("x", "deadline-ms", "1000")])]);
    // The process was stalled for 700 ms, at any time of which the request may have arrived.
    let arrived_since = harness.now;
    harness.now += 700 * MS;
    harness.core.clock(harness.now);
    harness.core.arrived_since(arrived_since);
    harness.core.client_received(CLIENT, &request);
    harness.process();
    harness.advance(320);
    assert_eq!(harness.response_times[&CLIENT].len(), 1);
    assert!(harness.response_times[&CLIENT][0] <= arrived_since + 1000 * MS);
}

#[test]
fn record_long_in_transit_is_answered_by_its_clients_deadline_and_not_sent_after() {
    const WALL: u64 = 1_700_000_000_000;
    let mut harness = harness_with_client();
    let created_ms_ago =
        |ms: u64| Record { timestamp: (WALL - ms) as i64, ..record_with_header("x", "deadline-ms", "2000") };
    // 1,200 ms of 2,000 ms have passed, and clocks differ by at most 50 ms: 2000 - 1200 - 50 = 750 ms remain.
    harness.core.wall_clock(WALL * MS);
    harness.send(CLIENT, &[target("order", 2, &[created_ms_ago(1200)])]);
    harness.advance(740);
    assert_eq!(harness.response_times.get(&CLIENT).map_or(0, Vec::len), 0);
    harness.advance(20);
    assert_eq!(harness.results(CLIENT), [result(1, codes::UNKNOWN_SERVER_ERROR)]);
    // A record that expired before it arrived is rejected at once and never sent.
    harness.core.wall_clock(WALL * MS);
    let late = harness.send(
        CLIENT,
        &[target("order", 1, &[Record { value: Some("late".into()), ..created_ms_ago(1960) }])],
    );
    harness.advance(5);
    assert_eq!(
        (harness.results(CLIENT)[1], harness.count_calls_with("late")),
        (result(late, codes::NOT_ENOUGH_REPLICAS), 0)
    );
    // The creation time by a clock that is an hour ahead is ignored, and the message counted as such.
    harness.core.wall_clock((WALL - 3_600_000) * MS);
    harness
        .send(CLIENT, &[target("order", 1, &[Record { value: Some("ahead".into()), ..created_ms_ago(0) }])]);
    harness.reply("ahead", codes::NONE, 0);
    let status = harness.core.status();
    assert_eq!(
        (harness.results(CLIENT)[2].code, status.expired_on_arrival, status.clocks_ahead),
        (codes::NONE, 1, 1)
    );
    // A stated deadline applies to a record without a creation time.
    let stated = record_with_header("stated", "deadline-at-ms", &(WALL + 500).to_string());
    harness.core.wall_clock(WALL * MS);
    harness.send(CLIENT, &[target("order", 1, &[stated])]);
    harness.advance(455);
    assert_eq!(harness.results(CLIENT)[3].code, codes::UNKNOWN_SERVER_ERROR);
    let wrong =
        harness.send(CLIENT, &[target("order", 1, &[record_with_header("y", "deadline-at-ms", "soon")])]);
    assert_eq!(harness.results(CLIENT)[4], result(wrong, codes::INVALID_RECORD));
    assert!(harness.responses[&CLIENT][4].parts[0].record_errors[0]
        .message
        .contains("deadline-at-ms: `soon`"));
}
