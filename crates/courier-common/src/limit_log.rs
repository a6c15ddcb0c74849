//! The log line for a limit that changed its state, the same from both fronts.

use linnetcart::LimitChange;

/// Logs that the decision library sees a limit in another state, and what settled it.
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
