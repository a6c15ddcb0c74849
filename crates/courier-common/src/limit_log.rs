//! Log line for a change of the health of a limit, shared by both fronts.

use linnetcart::LimitChange;

/// Logs that a limit changed its state, with the evidence for the change unless the cause was silence.
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
