//! Counters since the start and sizes of the tables, for the log.

use linnetcart::AttemptOutcome;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages accepted.
    pub accepted: u64,
    /// Messages rejected without being accepted.
    pub rejected: u64,
    /// Requests that are not valid submissions.
    pub invalid_requests: u64,
    /// Attempts whose request was queued.
    pub attempts_sent: u64,
    /// Messages and attempts that were undone because they could not be recorded.
    pub unrecorded: u64,
    /// Attempts by outcome.
    pub outcomes: OutcomeCounts,
    /// Connects begun to endpoints.
    pub connects: u64,
    /// Status notifications by the outcome that they report.
    pub notifications: NotificationCounts,
    /// Messages that a previous process accepted.
    pub recovery: RecoveryCounts,
}

/// Attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Delivered.
    pub served: u64,
    /// Answered with an error or with a malformed answer.
    pub error: u64,
    /// Rejected, certainly not executed.
    pub rejected: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// The connection was not established, or was lost before the last byte of the request.
    pub no_connection: u64,
    /// The connection was lost after the last byte of the request.
    pub reset: u64,
    /// Cancelled by the courier.
    pub cancelled: u64,
    /// Certainly not executed: not sent, or answered by 504, by 410 or by 503 with `x-egress-full`.
    pub not_sent: u64,
    /// Not begun, because this machine could not.
    pub local_fault: u64,
}

impl OutcomeCounts {
    /// Counts an outcome.
    pub fn count(&mut self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Served => &mut self.served,
            AttemptOutcome::Error => &mut self.error,
            AttemptOutcome::Rejected { .. } => &mut self.rejected,
            AttemptOutcome::TimedOut => &mut self.timed_out,
            AttemptOutcome::NoConnection => &mut self.no_connection,
            AttemptOutcome::Reset => &mut self.reset,
            AttemptOutcome::Cancelled => &mut self.cancelled,
            AttemptOutcome::NotSent { .. } => &mut self.not_sent,
            AttemptOutcome::LocalFault => &mut self.local_fault,
        };
        *counter += 1;
    }
}

/// Status notifications by the outcome that they report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotificationCounts {
    /// The message failed.
    pub failed: u64,
    /// The message is returned.
    pub returned: u64,
}

/// Messages that a previous process accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryCounts {
    /// Found in the journal.
    pub recovered: u64,
    /// Recovered messages that were certainly never executed.
    pub untried: u64,
    /// Untried messages that this process attempted.
    pub attempted: u64,
    /// Untried messages that were completed without an attempt.
    pub given_up: u64,
}

/// Present numbers of entries in the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Messages in flight.
    pub in_flight: usize,
    /// Unacknowledged status notifications.
    pub unacknowledged: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
    /// Attempts that have a connection.
    pub attempts: usize,
}
