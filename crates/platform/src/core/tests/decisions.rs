//! Wake-ups that the decision library requests.

use super::harness::*;

#[test]
fn wake_up_scheduled_survives_earlier_decisions() {
    // A courier that loses a wake-up stalls once its in-flight table is full: it accepts no message, so no
    // event leads to a decision.
    let mut harness = Harness::new();
    for n in 0..3 {
        harness.submit("order", &format!("m{n}"), "");
    }
    let attempts = harness.attempts();
    harness.respond(
        attempts[0].connection,
        b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 500\r\nContent-Length: 0\r\n\r\n",
    );
    harness.run_for(100 * MILLISECOND);
    for attempt in &attempts[1..] {
        harness.respond(attempt.connection, SERVED.as_bytes());
    }
    assert_eq!(harness.attempts().len(), 3, "Retry-After pending");
    harness.run_for(SECOND);
    assert_eq!(harness.attempts().len(), 4, "sent after the Retry-After without any other event");
}

#[test]
fn wake_up_requested_last_replaces_earlier_one() {
    let mut harness = Harness::new();
    harness.submit("order", "a", "");
    let first = harness.attempts()[0].connection;
    let submitted_at = harness.now;
    harness.run_for(SECOND);
    harness.submit("order", "b", "");
    let second = harness.attempts()[1].connection;
    harness.respond(second, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
    // The first response arrives within a tick of its message's deadline, when the wake-up for that deadline
    // counts as used. It is the only event until the second message's deadline.
    harness.run_for(submitted_at + 9 * SECOND - 13 * MILLISECOND - harness.now);
    harness.respond(first, SERVED.as_bytes());
    harness.run_for(submitted_at + 10 * SECOND - harness.now);
    let is_returned =
        |r: &Record| matches!(r, Record::Completed { outcome: FinalOutcome::Returned { .. }, .. });
    assert!(harness.has_record(is_returned), "the second message is returned by its deadline");
}
