//! When the decision library is asked.

use super::harness::*;

#[test]
fn wake_up_outlasts_decisions_before_it() {
    // A full table of messages that wait accepts nothing, so no event comes: only the wake-up gets them going.
    let mut harness = Harness::new();
    for n in 0..3 {
        harness.submit("order", &format!("m{n}"), "");
    }
    let attempts = harness.attempts();
    harness.respond(attempts[0].0, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 500\r\nContent-Length: 0\r\n\r\n");
    harness.run_for(100 * MILLISECOND);
    for attempt in &attempts[1..] {
        harness.respond(attempt.0, SERVED.as_bytes());
    }
    assert_eq!(harness.attempts().len(), 3, "Retry-After pending");
    harness.run_for(SECOND);
    assert_eq!(harness.attempts().len(), 4, "and then it is sent, though nothing else happens");
}

#[test]
fn wake_up_asked_for_last_counts_also_before_earlier_one() {
    let mut harness = Harness::new();
    harness.submit("order", "a", "");
    let first = harness.attempts()[0].0;
    let begun = harness.now;
    harness.run_for(SECOND);
    harness.submit("order", "b", "");
    let second = harness.attempts()[1].0;
    harness.respond(second, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
    // Within a tick before the end of the first comes its answer; the only event until the second has to end.
    harness.run_for(begun + 9 * SECOND - 13 * MILLISECOND - harness.now);
    harness.respond(first, SERVED.as_bytes());
    harness.run_for(begun + 10 * SECOND - harness.now);
    let end = |r: &Record| matches!(r, Record::Completed { outcome: FinalOutcome::Returned { .. }, .. });
    assert!(harness.has_record(end), "the second is returned by its deadline");
}
