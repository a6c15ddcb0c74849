//! Phases of the shutdown and the times at which they begin.

use super::*;

const SIGNAL: Time = 1_000_000 * MILLISECOND;

fn signalled() -> Shutdown {
    let mut shutdown = Shutdown::new();
    shutdown.signal(SIGNAL);
    shutdown
}

#[test]
fn shutdown_without_signal_keeps_serving() {
    let mut shutdown = Shutdown::new();
    shutdown.advance(Time::MAX);
    shutdown.finish(Time::MAX, OutstandingWork::None);
    assert_eq!(shutdown.phase(), Phase::Serving);
    assert!(!shutdown.close_listener() && !shutdown.closes_after_answer() && shutdown.allows_decisions());
}

#[test]
fn shutdown_phases_advance_at_their_times() {
    let mut shutdown = signalled();
    shutdown.advance(SIGNAL + SIGNAL_GRACE_PERIOD - 1);
    assert_eq!(shutdown.phase(), Phase::Signalled);
    assert!(!shutdown.close_listener() && !shutdown.closes_after_answer());
    shutdown.advance(SIGNAL + SIGNAL_GRACE_PERIOD);
    assert_eq!(shutdown.phase(), Phase::Draining);
    assert!(shutdown.closes_after_answer() && shutdown.allows_decisions());
    assert!(shutdown.close_listener() && !shutdown.close_listener(), "once");
    shutdown.advance(SIGNAL + DECISION_CUTOFF - 1);
    shutdown.finish(SIGNAL + DECISION_CUTOFF - 1, OutstandingWork::None);
    assert_eq!(shutdown.phase(), Phase::ClosedToClients);
    shutdown.advance(SIGNAL + DECISION_CUTOFF);
    assert_eq!(shutdown.phase(), Phase::AwaitingAttempts);
    assert!(!shutdown.allows_decisions());
    shutdown.finish(SIGNAL + ATTEMPT_CUTOFF - 1, OutstandingWork::Some);
    assert_eq!(shutdown.phase(), Phase::AwaitingAttempts);
    shutdown.finish(SIGNAL + ATTEMPT_CUTOFF, OutstandingWork::Some);
    assert_eq!(shutdown.phase(), Phase::Ended);
}

#[test]
fn shutdown_with_nothing_outstanding_ends_early() {
    let mut shutdown = signalled();
    shutdown.advance(SIGNAL + DECISION_CUTOFF);
    shutdown.finish(SIGNAL + DECISION_CUTOFF, OutstandingWork::None);
    assert_eq!(shutdown.phase(), Phase::Ended);
    shutdown.advance(SIGNAL + DECISION_CUTOFF);
    assert_eq!(shutdown.phase(), Phase::Ended, "the end is final");
}

#[test]
fn shutdown_second_signal_changes_nothing() {
    let mut shutdown = signalled();
    shutdown.signal(SIGNAL + DECISION_CUTOFF);
    assert_eq!(shutdown.phase(), Phase::AwaitingAttempts, "times count from the first signal");
}

#[test]
fn shutdown_stalled_past_last_decision_still_closes_listener() {
    let mut shutdown = signalled();
    shutdown.advance(SIGNAL + DECISION_CUTOFF);
    assert!(shutdown.close_listener());
    assert_eq!(shutdown.phase(), Phase::AwaitingAttempts);
}
