//! Counters since the start and sizes of the tables, for the log.

use linnetcart::AttemptOutcome;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages accepted.
    pub accepted: u64,
    /// Messages rejected without being accepted.
    pub rejected: u64,
    /// Requests that are no valid submission.
    pub invalid_requests: u64,
    /// Attempts whose bytes were queued.
    pub attempts_sent: u64,
    /// Attempts by outcome.
    pub outcomes: OutcomeCounts,
    /// Connections begun to endpoints.
    pub connects: u64,
    /// Status notifications by what they say.
    pub notifications: NotificationCounts,
    /// Messages of an earlier process.
    pub recovery: RecoveryCounts,
}

/// Attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Delivered.
    pub served: u64,
    /// Answered with an error, or with what is no answer.
    pub error: u64,
    /// Rejected, harmless to repeat.
    pub rejected: u64,
    /// Not answered in time.
    pub timed_out: u64,
    /// The connection was not made, or broke before the attempt's last byte.
    pub no_connection: u64,
    /// The connection broke afterwards.
    pub reset: u64,
    /// Cancelled by the courier.
    pub cancelled: u64,
    /// Never sent.
    pub not_sent: u64,
}

impl OutcomeCounts {
    /// Counts one.
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
        };
        *counter += 1;
    }
}

/// Status notifications by what they say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotificationCounts {
    /// The message failed.
    pub failed: u64,
    /// The message is returned.
    pub returned: u64,
}

/// Messages that an earlier process accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryCounts {
    /// Found in the journal.
    pub recovered: u64,
    /// Those of them that were certainly never executed.
    pub untried: u64,
    /// Untried messages that this process sent.
    pub attempted: u64,
    /// Untried messages that were completed without an attempt.
    pub given_up: u64,
}

/// Entries in the tables at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Messages in flight.
    pub in_flight: usize,
    /// Status notifications that are not acknowledged.
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
