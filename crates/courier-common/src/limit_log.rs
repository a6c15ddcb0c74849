//! The log line for a change of a limit's state, the same in both fronts.

use linnetcart::LimitChange;

/// Logs a change of a limit's state, with the evidence that led to it.
pub fn log_limit_change(change: &LimitChange) {
    let evidence = change.evidence;
    tracing::info!(
        destination = change.destination,
        endpoint = change.endpoint,
        state = ?change.state,
        outcome = ?evidence.map(|evidence| evidence.outcome),
        failure_rate = evidence.map(|evidence| evidence.failure_rate),
        consecutive_failures = evidence.map(|evidence| evidence.consecutive_failures),
        "limit state changed"
    );
}
