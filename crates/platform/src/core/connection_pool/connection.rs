//! The state machine of one connection to an endpoint:
//!
//! | from | event | to |
//! | --- | --- | --- |
//! | `Connecting` or `Idle` | the request is queued | `InUse` |
//! | `Connecting` or `Idle` | the attempt ends before its request is queued | `Idle` |
//! | `InUse` | the first byte of the response arrives | `InUse` with that time |
//! | `InUse` | the response permits another request | `Idle` |
//! | `InUse` | the queued request is taken back | `Idle` |
//! | `InUse` | the attempt is cancelled | `Abandoned` |
//!
//! The pool may close the connection in any state. All times are monotonic, in nanoseconds.

use super::response::{self, Interpretation};
use super::ReportedEnd;
use crate::core::attempts::AttemptId;
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::attribution::{Attribution, Execution, RequestProgress, ResponseHistory};
use linnetcart_courier_common::memory_budget::reserve;
use linnetcart_http::{interim_length, parse_response, ParsedResponse};
use std::net::SocketAddr;

/// Delay between a response and the reuse of its connection. Bytes that follow the response then close an idle
/// connection, and no attempt is lost with it.
const REUSE_DELAY: Time = 10 * MILLISECOND;
/// Time limit for a response whose status line does not decide, from its first byte. At the limit, the
/// attempt counts as failed ([`AttemptOutcome::Error`]) and the connection is closed.
const RESPONSE_COMPLETION_TIMEOUT: Time = 1000 * MILLISECOND;
/// Time limit for the rest of a response whose status line has ended its attempt.
const REST_TIMEOUT: Time = 50 * MILLISECOND;

/// Time limits of the states of a connection, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time limit for establishing a connection, from the start of the connect.
    pub connect: Time,
    /// Time limit for an idle connection, from the moment at which it became idle.
    pub idle: Time,
    /// Time limit for the response to an abandoned attempt, from its cancellation.
    pub abandoned: Time,
}

/// The state of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being established for an attempt, or was established and the request is not queued
    /// yet.
    Connecting {
        /// When the connect began.
        since: Time,
    },
    /// The request of an attempt is queued on the connection.
    InUse {
        /// When the first byte of the response arrived; `None` before.
        first_byte_at: Option<Time>,
    },
    /// No request is outstanding. Within an iteration, an attempt may already be assigned whose request is
    /// not queued yet.
    Idle {
        /// When the connection became idle.
        since: Time,
    },
    /// The status line of the response has ended the attempt; the rest of the response is read.
    ReadingRest {
        /// When the attempt ended.
        since: Time,
    },
    /// The attempt was cancelled after its request was queued: nothing more is sent, but a response is still
    /// read.
    Abandoned {
        /// The cancelled attempt.
        attempt: AttemptId,
        /// When the attempt was cancelled.
        since: Time,
    },
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    /// Number of the endpoint to which the connection leads.
    pub endpoint: u32,
    /// The endpoint's address when the connect began.
    pub address: SocketAddr,
    /// Private, so that only this module makes transitions.
    state: ConnectionState,
    /// The attempt to which the connection is assigned; `None` if it is assigned to none.
    pub attempt: Option<AttemptId>,
    /// The bytes that have arrived of the response to the present or abandoned attempt, after those of interim
    /// responses.
    pub response: Vec<u8>,
    /// Number of bytes at the start of `response` that arrived before the last byte of the request was
    /// written.
    early_bytes: usize,
    /// The responses to earlier requests.
    history: ResponseHistory,
    /// Number of request bytes queued since the connect, including those of the present request.
    pub queued_bytes: u64,
    /// Number of request bytes that the operating system had accepted when bytes last arrived.
    written_bytes: u64,
    /// How long the connection was idle before the present attempt, in nanoseconds; `None` for a new one.
    pub idle_before: Option<Time>,
}

impl Connection {
    /// Creates a connection that is being established for an attempt.
    pub fn new(endpoint: u32, address: SocketAddr, attempt: AttemptId, now: Time) -> Connection {
        Connection {
            endpoint,
            address,
            state: ConnectionState::Connecting { since: now },
            attempt: Some(attempt),
            response: vec![],
            early_bytes: 0,
            history: ResponseHistory::default(),
            queued_bytes: 0,
            written_bytes: 0,
            idle_before: None,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> &ConnectionState {
        &self.state
    }

    /// Returns the attempt to which the connection is assigned, or whose late response it awaits.
    pub fn attempt_or_abandoned(&self) -> Option<AttemptId> {
        match self.state {
            ConnectionState::Abandoned { attempt, .. } => Some(attempt),
            _ => self.attempt,
        }
    }

    /// Whether the connection is being established, or was established and no request is queued yet.
    pub fn is_connecting(&self) -> bool {
        matches!(self.state, ConnectionState::Connecting { .. })
    }

    /// Whether the request of an attempt is queued on the connection.
    pub fn is_in_use(&self) -> bool {
        matches!(self.state, ConnectionState::InUse { .. })
    }

    /// Whether no request is outstanding.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Idle { .. })
    }

    /// Whether a request is queued and no byte of its response has arrived.
    pub fn awaits_first_byte(&self) -> bool {
        self.state == ConnectionState::InUse { first_byte_at: None }
    }

    /// Returns what an incomplete head reports, if it certainly belongs to the request and begins with a
    /// complete status line that decides.
    pub fn decided_by_status_line(&self) -> Option<Interpretation> {
        let ParsedResponse::Incomplete { status } = parse_response(&self.response) else { return None };
        let decided = response::interpret_status_line(status)?;
        self.attribution(self.response.len()).is_certain().then_some(decided)
    }

    /// Returns the end that a response reports perhaps: it arrived while a request is outstanding, reads 410,
    /// and is not certainly the response to that request.
    pub fn doubtful_end(&self) -> Option<ReportedEnd> {
        let has_request =
            matches!(self.state, ConnectionState::InUse { .. } | ConnectionState::Abandoned { .. });
        (has_request && response::states_gone(&self.response)).then_some(ReportedEnd::PossiblyGone)
    }

    /// Appends received bytes. `written` is the number of request bytes that the operating system had
    /// accepted since the connect when they were read.
    pub fn received(&mut self, bytes: &[u8], written: u64) {
        reserve(&mut self.response, bytes.len());
        self.response.extend_from_slice(bytes);
        self.written_bytes = written;
        let has_request =
            !matches!(self.state, ConnectionState::Connecting { .. } | ConnectionState::Idle { .. });
        if !has_request || self.request_progress() == RequestProgress::Incomplete {
            self.early_bytes = self.response.len();
        }
    }

    /// Returns the bytes that are held of the present response and of earlier ones.
    pub fn held_bytes(&self) -> usize {
        self.response.capacity() + self.history.held_bytes()
    }

    /// Returns the bytes that have arrived behind complete interim (1xx) responses.
    pub fn final_response(&self) -> &[u8] {
        &self.response[interim_length(&self.response)..]
    }

    /// Whether a byte has arrived that belongs to no complete interim (1xx) response.
    pub fn final_response_began(&self) -> bool {
        !self.final_response().is_empty()
    }

    /// Attributes the response in the first `end` bytes that have arrived.
    pub fn attribution(&self, end: usize) -> Attribution {
        let start = interim_length(&self.response);
        let began_early = start < self.early_bytes;
        let progress = if began_early { RequestProgress::Incomplete } else { RequestProgress::Complete };
        Attribution::of_unnamed(progress, &self.history, &self.response[start..end])
    }

    /// Returns what is known of the request's execution if the connection is closed now without a response
    /// that is certainly its own.
    pub fn execution_after_close(&self) -> Execution {
        Execution::after_close(self.request_progress())
    }

    fn request_progress(&self) -> RequestProgress {
        RequestProgress::new(self.queued_bytes, self.written_bytes)
    }

    /// Returns since when the connection is idle, or `None` if it must not be reused now.
    pub fn reusable_since(&self, now: Time, idle_timeout: Time) -> Option<Time> {
        let ConnectionState::Idle { since } = self.state else { return None };
        (since + REUSE_DELAY <= now && since + idle_timeout > now).then_some(since)
    }

    /// Assigns an idle connection to an attempt; it stays idle until the request is queued. `idle_time` is
    /// how long it has been idle, in nanoseconds.
    pub fn assign(&mut self, attempt: AttemptId, idle_time: Time) {
        self.attempt = Some(attempt);
        self.idle_before = Some(idle_time);
    }

    /// Releases the connection from an attempt whose request was not queued. A connection that was idle
    /// before keeps the time since which it is idle.
    pub fn release_unused(&mut self, now: Time) {
        if !self.is_idle() {
            self.state = ConnectionState::Idle { since: now };
        }
        self.attempt = None;
        self.idle_before = None;
    }

    /// Records the arrival of the first byte of a response.
    pub fn first_byte_received(&mut self, now: Time) {
        self.state = ConnectionState::InUse { first_byte_at: Some(now) };
    }

    /// Records that the status line of the response has ended the attempt.
    pub fn read_rest(&mut self, now: Time) {
        self.state = ConnectionState::ReadingRest { since: now };
        self.attempt = None;
    }

    /// Abandons the connection: its attempt was cancelled after the request was queued.
    pub fn abandon(&mut self, attempt: AttemptId, now: Time) {
        self.state = ConnectionState::Abandoned { attempt, since: now };
        self.attempt = None;
    }

    /// Records that a request of `length` bytes was queued.
    pub fn request_queued(&mut self, length: usize) {
        self.queued_bytes += length as u64;
        self.state = ConnectionState::InUse { first_byte_at: None };
        self.response = Vec::new();
        self.early_bytes = 0;
    }

    /// Records that the last queued request, `length` bytes, is taken back before any byte was written.
    pub fn request_retracted(&mut self, length: usize, now: Time) {
        self.queued_bytes -= length as u64;
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        self.idle_before = None;
    }

    /// Makes the connection idle after a complete response, behind which no byte has arrived. Returns `false` if the connection must not be reused.
    pub fn make_idle(&mut self, now: Time) -> bool {
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        let start = interim_length(&self.response);
        let may_reuse = self.history.push(&self.response[start..]);
        self.response = Vec::new();
        self.early_bytes = 0;
        may_reuse
    }

    /// Returns when the time limit of the present state ends, in monotonic time; [`Time::MAX`] for no limit.
    pub fn deadline(&self, timeouts: Timeouts) -> Time {
        match self.state {
            ConnectionState::Connecting { since } => since + timeouts.connect,
            ConnectionState::Abandoned { since, .. } => since + timeouts.abandoned,
            ConnectionState::Idle { since } => since + timeouts.idle,
            ConnectionState::ReadingRest { since } => since + REST_TIMEOUT,
            ConnectionState::InUse { first_byte_at: None } => Time::MAX,
            ConnectionState::InUse { first_byte_at: Some(at) } => at + RESPONSE_COMPLETION_TIMEOUT,
        }
    }

    /// Returns the outcome of the attempt if the connection times out in its present state.
    pub fn outcome_on_timeout(&self) -> AttemptOutcome {
        if self.is_connecting() {
            AttemptOutcome::NoConnection
        } else if self.attribution(self.response.len()).is_certain() {
            AttemptOutcome::Error
        } else {
            // A piece of another response: the attempt may still be executing.
            AttemptOutcome::Reset
        }
    }
}
