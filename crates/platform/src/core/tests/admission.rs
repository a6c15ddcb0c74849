//! Requests of clients and the responses to them.

use super::harness::*;
use crate::core::client_connections::reading_order::MAX_DEFERRAL;

#[test]
fn accepted_and_sent_message_recorded_in_same_iteration() {
    let mut harness = Harness::new();
    assert_eq!(harness.submit("order", "m", ""), 202);
    let kinds: Vec<u8> = harness.journal.iter().map(|r| r.encode().kind).collect();
    assert_eq!(kinds, [6, 1, 2], "the records names, accepted and attempt sent");
    let text = String::from_utf8(harness.first_attempt_bytes().to_vec()).unwrap();
    assert!(text.contains("X-Txn: m\r\nIdempotency-Key: t-m\r\n") && text.ends_with("\r\n\r\nhi"), "{text}");
}

#[test]
fn invalid_request_rejected_and_no_part_accepted() {
    let valid_head = "POST /order HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n";
    let mut harness = Harness::new();
    let two_framings = format!(
        "{valid_head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{valid_head}\r\n"
    );
    assert_eq!(harness.send_request(two_framings.as_bytes()), 411, "request smuggling");
    let pipelined = format!("{valid_head}\r\n{}\r\n", valid_head.replace("X-Txn: m", "X-Txn: n"));
    assert_eq!(harness.send_request(pipelined.as_bytes()), 400, "one request at a time");
    assert_eq!(
        harness.send_request(valid_head.replace("dest=3", "dest=4").as_bytes()),
        0,
        "an incomplete request"
    );
    assert_eq!(
        harness.send_request(format!("{}\r\n", valid_head.replace("dest=3", "dest=4")).as_bytes()),
        404
    );
    assert_eq!(harness.send_request(b"\x00\xff\x00\xff"), 400);
    assert!(harness.attempts().is_empty() && !harness.has_record(|r| !matches!(r, Record::Names { .. })));
    assert_eq!(
        harness.send_request(format!("{valid_head}\r\n").as_bytes()),
        0,
        "waits for the incomplete one"
    );
    harness.run_for(MAX_DEFERRAL);
    assert_eq!(
        harness.answers.last().map(|answer| status(&answer.bytes)),
        Some(202),
        "nothing was a message"
    );
    assert_eq!(harness.send_request(format!("{valid_head}\r\n").as_bytes()), 202, "the same message again");
    assert_eq!(
        harness.send_request(format!("{valid_head}Content-Length: 1\r\n\r\nx").as_bytes()),
        409,
        "a different message with its id is not accepted"
    );
    assert_eq!(harness.journal.iter().filter(|record| matches!(record, Record::Accepted { .. })).count(), 1);
    assert_eq!(harness.sent_ids(), ["m"]);
    // An incomplete request and an idle connection both time out.
    harness.answers.clear();
    harness.send_request(b"POST /order HT");
    harness.run_for(2200 * MILLISECOND);
    assert!(harness.answers.iter().any(|answer| status(&answer.bytes) == 408));
    let idle = harness.core.sizes().clients;
    assert!(idle <= 3, "{idle} clients are left, three were answered 202 and may stay");
}

#[test]
fn message_beyond_table_or_journal_capacity_rejected() {
    let mut harness = Harness::with_journal(vec![], 100 * SECOND, 4);
    let accepted = (0..9).filter(|n| harness.submit("status", &format!("m{n}"), "") == 202).count();
    assert!(accepted <= 4, "{accepted} accepted with a capacity of 4");
    let mut harness = Harness::new();
    let body = "x".repeat(60_000);
    let mut accepted = 0;
    for n in 0..10 {
        let head = format!(
            "POST /status HTTP/1.1\r\nX-Txn: m{n}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\
             Content-Length: 60000\r\n\r\n{body}"
        );
        let status = harness.send_request(head.as_bytes());
        assert!(status == 202 || status == 503);
        accepted += usize::from(status == 202);
    }
    assert_eq!(accepted, 3, "messages in flight may take a fifth of one megabyte");
    let snapshot_bytes: usize = harness.core.snapshot().map(|r| r.encode().payload.len() + 10).sum();
    assert!(snapshot_bytes < 200_000);
}

/// A message that has ended may be submitted again after its deadline, with new time.
#[test]
fn ended_id_is_known_after_deadline() {
    let mut harness = Harness::new();
    for (id, pause) in [("m", 10 * SECOND), ("later", MILLISECOND)] {
        assert_eq!(harness.submit("order", id, ""), 202);
        let connection = harness.attempts().last().expect("an attempt").connection;
        harness.respond(connection, SERVED.as_bytes());
        harness.run_for(pause);
    }
    assert_eq!(harness.submit("order", "m", ""), 202, "its end is known");
    assert_eq!(harness.sent_ids(), ["m", "later"], "it was sent again");
    let mut restarted = Harness::with_journal(harness.core.snapshot().collect(), harness.now, 40);
    assert_eq!(restarted.submit("order", "m", ""), 202, "the next process knows its end");
    assert!(restarted.attempts().is_empty(), "it was sent again");
}
