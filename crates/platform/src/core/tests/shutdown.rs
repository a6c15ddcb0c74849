//! The phases of the shutdown.

use super::harness::*;

#[test]
fn shutdown_after_last_decision_awaits_only_attempts_in_flight() {
    let mut harness = Harness::new();
    harness.submit("order", "a", "");
    harness.core.begin_shutdown();
    assert_eq!(harness.submit("order", "b", ""), 202);
    let attempts = harness.attempts();
    assert_eq!(attempts.len(), 2);
    harness.run_for(2800 * MILLISECOND);
    assert!(!harness.core.is_ended());
    let before = harness.attempts().len();
    assert_eq!(harness.submit("order", "c", ""), 202, "accepted, to be sent by the next process");
    assert_eq!(harness.attempts().len(), before, "no attempt starts after the last decision");
    for attempt in attempts {
        harness.respond(attempt.connection, SERVED.as_bytes());
    }
    assert!(harness.core.is_ended());
    let restarted = Harness::with_journal(harness.journal.clone(), harness.now + SECOND, 40);
    assert_eq!(restarted.sent_ids(), ["c"]);
    let mut harness = Harness::new();
    harness.submit("order", "a", "");
    harness.core.begin_shutdown();
    harness.run_for(3400 * MILLISECOND);
    assert!(harness.core.is_ended(), "a silent endpoint does not delay the end");
}

#[test]
fn attempt_without_connection_at_last_decision_not_started() {
    let mut harness = Harness::new();
    harness.core.begin_shutdown();
    harness.now += DECISION_CUTOFF - 100 * MILLISECOND;
    let connection = harness.begin_connecting();
    harness.now += 200 * MILLISECOND;
    harness.core.upstream_connected(connection);
    harness.process();
    assert!(
        harness.attempts().is_empty() && harness.core.is_ended(),
        "the message is left to the next process"
    );
    assert!(
        !harness.has_record(|record| matches!(record, Record::AttemptSent { .. } | Record::Completed { .. }))
    );
}
