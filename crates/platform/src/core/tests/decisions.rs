//! When the decision library is asked.

use super::harness::*;

#[test]
fn wake_up_outlasts_decisions_before_it() {
    // A hold full of messages that wait takes nothing, so no event comes: only the wake-up gets them going.
    let mut harness = Harness::new();
    for n in 0..3 {
        harness.submit("order", &format!("m{n}"), "");
    }
    let calls = harness.attempts();
    harness.respond(calls[0].0, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 500\r\nContent-Length: 0\r\n\r\n");
    harness.run_for(100 * MILLISECOND);
    for call in &calls[1..] {
        harness.respond(call.0, SERVED.as_bytes());
    }
    assert_eq!(harness.attempts().len(), 3, "told to wait");
    harness.run_for(SECOND);
    assert_eq!(harness.attempts().len(), 4, "and then it goes, though nothing else happens");
}

#[test]
fn wake_up_asked_for_last_counts_also_before_earlier_one() {
    let mut harness = Harness::new();
    harness.submit("order", "a", "");
    let a = harness.attempts()[0].0;
    let begun = harness.now;
    harness.run_for(SECOND);
    harness.submit("order", "b", "");
    let b = harness.attempts()[1].0;
    harness.respond(b, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
    // Within a tick before the end of the first comes its answer; the only event until the second has to end.
    harness.run_for(begun + 9 * SECOND - 13 * MILLISECOND - harness.now);
    harness.respond(a, SERVED.as_bytes());
    harness.run_for(begun + 10 * SECOND - harness.now);
    let end = |r: &Record| matches!(r, Record::Completed { outcome: FinalOutcome::Returned { .. }, .. });
    assert!(harness.has_record(end), "the second is handed back by its time");
}
