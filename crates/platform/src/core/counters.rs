//! Counters since the start of the process and present table sizes, for the statistics in the log.

use linnetcart::AttemptOutcome;

/// Numbers of messages, requests, attempts, connects and notifications since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages accepted.
    pub accepted: u64,
    /// Messages rejected instead of accepted. If an acceptance is undone, each of its answers counts.
    pub rejected: u64,
    /// Requests that are not valid submissions.
    pub invalid_requests: u64,
    /// Valid submissions that were refused because their id is that of a message with different content.
    pub conflicting_submissions: u64,
    /// Valid submissions that had to wait because another request had named their id earlier.
    pub deferred_submissions: u64,
    /// Connections of clients without a request that were closed because too many were open.
    pub evicted_clients: u64,
    /// Requests that were refused before they were complete, because too many connections were open or too much
    /// memory was taken.
    pub refused_partial_requests: u64,
    /// Attempts whose request was queued and not taken back.
    pub attempts_sent: u64,
    /// Acceptances and attempts that were undone, mostly because their records could not be written.
    pub unrecorded: u64,
    /// Attempts by outcome.
    pub outcomes: OutcomeCounts,
    /// Responses of endpoints that were not certainly those of an attempt.
    pub unattributed: u64,
    /// Connects to endpoints that were started.
    pub connects: u64,
    /// Status notifications by the outcome that they report.
    pub notifications: NotificationCounts,
    /// Messages recovered from the journal of a previous process.
    pub recovery: RecoveryCounts,
}

/// Numbers of attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered with a status line that reads 200.
    pub served: u64,
    /// Answered with an error status or a malformed response.
    pub error: u64,
    /// Rejected by the endpoint (429 or 503), certainly not executed.
    pub rejected: u64,
    /// Not answered by the deadline of the attempt, after the request was queued.
    pub timed_out: u64,
    /// The connection was not established, or was lost before the last byte of the request.
    pub no_connection: u64,
    /// The connection was lost after the last byte of the request.
    pub reset: u64,
    /// Cancelled by the courier after the request was queued.
    pub cancelled: u64,
    /// Certainly not executed: not sent, or answered by 504, by 410 or by 503 with `x-egress-full`.
    pub not_sent: u64,
    /// Not sent because of a condition of this process or machine, such as no free connection or an
    /// unwritable journal.
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

/// Numbers of status notifications by the outcome that they report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotificationCounts {
    /// Messages that failed.
    pub failed: u64,
    /// Messages that were returned to their sender.
    pub returned: u64,
}

/// Numbers of messages that were accepted by a previous process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryCounts {
    /// Recovered from the journal.
    pub recovered: u64,
    /// Recovered messages without a final outcome that were certainly never executed.
    pub untried: u64,
    /// Untried messages that this process attempted.
    pub attempted: u64,
    /// Untried messages that were completed without an attempt.
    pub given_up: u64,
}

/// Present numbers of entries in the core's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Messages in flight.
    pub in_flight: usize,
    /// Unacknowledged status notifications, including those whose completion is not recorded yet.
    pub unacknowledged: usize,
    /// Endpoints of the endpoint list, including removed ones whose numbers are retained.
    pub endpoints: usize,
    /// Open connections of clients.
    pub clients: usize,
    /// Connections to endpoints in any state: connecting, in use, idle or abandoned.
    pub upstream_connections: usize,
    /// Attempts to which a connection is assigned; cancelled attempts are not counted, even while their
    /// abandoned connections are read.
    pub attempts: usize,
    /// Bytes that are held of the requests of clients that are not answered.
    pub request_bytes: usize,
    /// Estimate of the bytes of the messages in flight.
    pub in_flight_bytes: usize,
    /// Bytes that are held of the responses of endpoints.
    pub response_bytes: usize,
    /// Ids of messages that have ended and requests that were refused.
    pub ended_ids: usize,
}
