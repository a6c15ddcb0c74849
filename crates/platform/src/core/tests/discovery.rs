//! The watch on the endpoint list, changes of the list, and the initial sync.

use super::harness::*;
use crate::core::discovery::{EndpointList, WATCH_SILENCE_TIMEOUT};

#[test]
fn watch_silent_or_disconnected_reopened() {
    let mut harness = Harness::new();
    let watch = harness.connect_discovery();
    assert!(harness.sent[0].bytes.starts_with(b"GET /v1/endpoints?follow=1&since=41 HTTP/1.1\r\n"));
    harness.watch_event(watch, "");
    harness.run_for(2600 * MILLISECOND);
    assert!(!harness.closed.contains(&watch));
    harness.run_for(200 * MILLISECOND);
    assert!(harness.closed.contains(&watch), "no line within the silence timeout");
    let second = harness.connect_discovery();
    harness.watch_event(second, "{\"index\":50,\"snapshot\":true,\"endpoints\":[]}");
    harness.core.upstream_disconnected(second, 0);
    harness.run_for(50 * MILLISECOND);
    harness.connect_discovery();
    let request = harness.sent.last().unwrap();
    assert!(
        request.bytes.starts_with(b"GET /v1/endpoints?follow=1&since=50 "),
        "only changes since the last version are requested"
    );
}

#[test]
fn watch_event_indented_or_fragmented_read() {
    let value: serde_json::Value =
        serde_json::from_str(&list_event(43, "a", "bank", 3, "left", 1000)).unwrap();
    let text = format!("\n{}\n\n", serde_json::to_string_pretty(&value).unwrap());
    for cut in 1..text.len() {
        let mut harness = Harness::new();
        let watch = harness.connect_discovery();
        harness.watch_event(watch, "");
        for part in [&text[..cut], &text[cut..]] {
            harness.respond(watch, format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
        }
        harness.submit("order", "a", "");
        assert!(
            harness.attempts().is_empty() && !harness.closed.contains(&watch),
            "both endpoints are removed; cut at {cut}"
        );
    }
}

#[test]
fn watch_reopened_without_delay_while_discovery_silent() {
    let mut harness = Harness::new();
    for _ in 0..8 {
        let watch = harness.connect_discovery();
        harness.run_for(WATCH_SILENCE_TIMEOUT);
        assert!(harness.closed.contains(&watch));
        harness.run_for(MILLISECOND);
    }
    let watch = harness.connect_discovery();
    harness.watch_event(watch, &list_event(43, "a", "bank", 3, "left", 1000));
    harness.submit("order", "a", "");
    assert!(harness.attempts().is_empty(), "the event is applied at once");
}

#[test]
fn endpoint_changing_destination_gets_no_message_of_previous_one() {
    let mut harness = Harness::new();
    let watch = harness.connect_discovery();
    harness.watch_event(watch, &list_event(43, "b", "new", 4, "active", 1000));
    assert_eq!(harness.submit("order", "m", ""), 202);
    harness.run_for(SECOND);
    assert!(harness.attempts().is_empty(), "destination 3 has no endpoint");
    let head = "POST /order HTTP/1.1\r\nX-Txn: n\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=4\r\n\r\n";
    assert_eq!(harness.send_request(head.as_bytes()), 202);
    assert_eq!(harness.sent_ids(), ["n"]);
}

#[test]
fn endpoint_changing_destination_removed_with_previous_kind() {
    let config = config(40);
    let event = |text: &str| serde_json::from_str::<WatchEvent>(text).unwrap();
    let first = event(&list_event(1, "a", "bank", 3, "active", 1000));
    let second = event(&list_event(2, "b", "new", 4, "active", 1000));
    let mut endpoints = EndpointList::new(usize::MAX);
    endpoints.apply(&first, &config.settings, SECOND);
    let update = endpoints.apply(&second, &config.settings, SECOND);
    let Event::EndpointList { entries, .. } = update.event else { panic!("{:?}", update.event) };
    let listed: Vec<_> = entries.iter().map(|e| (e.id, e.destination, e.kind, e.zone, e.status)).collect();
    let removed = EndpointStatus::Removed;
    let ready = EndpointStatus::Ready;
    assert_eq!(
        listed,
        [(1, 3, 0, 0, removed), (3, 4, 1, 1, ready), (2, 3, 0, 0, removed), (4, 4, 1, 1, ready)]
    );
    assert_eq!(update.stale, [1, 2]);
}

#[test]
fn initial_sync_delays_requests_until_discovery_answers_or_times_out() {
    let start = || {
        let mut harness = Harness::starting(config(40), &[], 100 * SECOND);
        harness.process();
        let watch = harness.connect_discovery();
        assert_eq!(
            (harness.submit("order", "a", ""), harness.send_request(b"GET /ready HTTP/1.1\r\n\r\n")),
            (0, 0)
        );
        harness.run_for(100 * MILLISECOND);
        assert!(harness.answers.is_empty() && harness.attempts().is_empty(), "requests wait for discovery");
        (harness, watch)
    };
    // Both endpoints were removed since the cached list.
    let (mut harness, watch) = start();
    harness.watch_event(watch, &list_event(43, "a", "bank", 3, "left", 1000));
    assert_eq!(harness.answers.iter().map(|answer| status(&answer.bytes)).collect::<Vec<_>>(), [200, 202]);
    harness.run_for(SECOND);
    assert!(harness.attempts().is_empty());
    let (mut harness, watch) = start();
    harness.watch_event(watch, "");
    assert_eq!(harness.attempts().len(), 1, "the cached list is current");
    let (mut harness, _) = start();
    harness.run_for(INITIAL_SYNC_TIMEOUT - 101 * MILLISECOND);
    assert!(harness.attempts().is_empty());
    harness.run_for(2 * MILLISECOND);
    assert_eq!(
        (harness.attempts().len(), harness.answers.len()),
        (1, 2),
        "the cached list is used when discovery is silent"
    );
    let journal = &harness.journal;
    let Record::Accepted { message, .. } = &journal[journal.len() - 2] else { panic!("{journal:?}") };
    assert_eq!(
        message.wall_deadline,
        109 * SECOND,
        "the time remaining counts from the arrival of the request"
    );
}
