//! One upstream connection, its state and every transition of that state.
//!
//! | from | event | to |
//! | --- | --- | --- |
//! | `Connecting` or `Idle` | the request is queued | `InUse` |
//! | `Connecting` or `Idle` | the attempt is withheld | `Idle` |
//! | `InUse` | the first byte of the answer arrives | `InUse` with that time |
//! | `InUse` | the answer permits another attempt | `Idle` |
//! | `InUse` | the request is not sent after all | `Idle` |
//! | `InUse` | the attempt is cancelled | `Abandoned` |
//!
//! Any state ends when the pool closes the connection.

use crate::core::attempts::AttemptId;
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_http::{parse_response, EarlyStatus, ParsedResponse};
use std::net::SocketAddr;

/// After an answer, a connection is not reused for this long: bytes that follow the answer must not be read
/// as the next answer.
const SETTLE_TIME: Time = 10 * MILLISECOND;
/// Time limit for the remaining bytes of an answer whose status line is 200; they may contain a load report.
const SUCCESS_COMPLETION_TIMEOUT: Time = 50 * MILLISECOND;
/// Time limit for the remaining bytes of any other answer. After it, the answer counts as damaged.
const RESPONSE_COMPLETION_TIMEOUT: Time = 1000 * MILLISECOND;

/// How long a connection may remain in a state.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time limit for a connect.
    pub connect: Time,
    /// How long a connection may be idle.
    pub idle: Time,
    /// How long the answer to an abandoned attempt is awaited.
    pub abandoned: Time,
}

/// The state of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being established for an attempt, or is established and the next iteration queues
    /// the request.
    Connecting {
        /// When the connect began.
        since: Time,
    },
    /// The request of an attempt is queued on the connection.
    InUse {
        /// When the first byte of the answer arrived; `None` before.
        first_byte_at: Option<Time>,
    },
    /// No request is outstanding. Within an iteration, an attempt may be assigned whose request is not queued
    /// yet.
    Idle {
        /// When the connection became idle.
        since: Time,
    },
    /// The attempt was cancelled: nothing more is sent, and an answer is still read.
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
    /// The endpoint that the connection leads to.
    pub endpoint: u32,
    /// The endpoint's address when the connect began.
    pub address: SocketAddr,
    /// The state of the connection; changed only by this module.
    state: ConnectionState,
    /// The attempt that the connection is assigned to.
    pub attempt: Option<AttemptId>,
    /// The bytes of the answer that have arrived.
    pub response: Vec<u8>,
    /// Number of bytes queued since the connect. The last byte of the present request is at this position.
    pub queued_bytes: u64,
    /// Number of bytes of the answer's body that have not arrived.
    pub body_remaining: usize,
    /// How long the connection had been idle before its attempt, in nanoseconds; `None` for a new one.
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
            queued_bytes: 0,
            body_remaining: 0,
            idle_before: None,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> &ConnectionState {
        &self.state
    }

    /// Whether the connection is being established, or is established and no request was queued yet.
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

    /// Whether a request is queued and no byte of its answer has arrived.
    pub fn awaits_first_byte(&self) -> bool {
        self.state == ConnectionState::InUse { first_byte_at: None }
    }

    /// Whether the incomplete answer has a complete status line with status 200.
    pub fn has_success_line(&self) -> bool {
        matches!(parse_response(&self.response), ParsedResponse::Incomplete { status: EarlyStatus::Ok })
    }

    /// Returns since when the connection is idle, or `None` if it must not carry another attempt now. A
    /// connection with an incomplete body is not reusable: the rest would be read as the next answer.
    pub fn reusable_since(&self, now: Time, idle_timeout: Time) -> Option<Time> {
        let ConnectionState::Idle { since } = self.state else { return None };
        let settled = self.body_remaining == 0 && since + SETTLE_TIME <= now;
        (settled && since + idle_timeout > now).then_some(since)
    }

    /// Assigns an attempt to an idle connection, which stays idle until the request is queued. `idle_time`
    /// is how long it has been idle, in nanoseconds.
    pub fn assign(&mut self, attempt: AttemptId, idle_time: Time) {
        self.attempt = Some(attempt);
        self.idle_before = Some(idle_time);
    }

    /// Releases the connection from an attempt whose request was not queued. If it was idle before, it
    /// remains idle since the same time.
    pub fn release_unused(&mut self, now: Time) {
        if !self.is_idle() {
            self.state = ConnectionState::Idle { since: now };
        }
        self.attempt = None;
        self.idle_before = None;
    }

    /// Records the time of the first byte of an answer.
    pub fn first_byte(&mut self, now: Time) {
        self.state = ConnectionState::InUse { first_byte_at: Some(now) };
    }

    /// Abandons an attempt that was cancelled after its request was queued.
    pub fn abandon(&mut self, attempt: AttemptId, now: Time) {
        self.state = ConnectionState::Abandoned { attempt, since: now };
        self.attempt = None;
    }

    /// Records that a request of `length` bytes was queued.
    pub fn sent(&mut self, length: usize) {
        self.queued_bytes += length as u64;
        self.state = ConnectionState::InUse { first_byte_at: None };
        self.response = Vec::new();
        self.body_remaining = 0;
    }

    /// Records that the request of `length` bytes that was queued last is not sent after all.
    pub fn unsent(&mut self, length: usize, now: Time) {
        self.queued_bytes -= length as u64;
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        self.idle_before = None;
    }

    /// Makes the connection idle after its attempt was answered.
    pub fn make_idle(&mut self, now: Time, body_remaining: usize) {
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        self.response = Vec::new();
        self.body_remaining = body_remaining;
    }

    /// Returns when the connection has to leave its present state; [`Time::MAX`] for no limit.
    pub fn deadline(&self, timeouts: Timeouts) -> Time {
        match self.state {
            ConnectionState::Connecting { since } => since + timeouts.connect,
            ConnectionState::Abandoned { since, .. } => since + timeouts.abandoned,
            ConnectionState::Idle { since } if self.body_remaining > 0 => since + SUCCESS_COMPLETION_TIMEOUT,
            ConnectionState::Idle { since } => since + timeouts.idle,
            ConnectionState::InUse { first_byte_at: None } => Time::MAX,
            ConnectionState::InUse { first_byte_at: Some(at) } if self.has_success_line() => {
                at + SUCCESS_COMPLETION_TIMEOUT
            }
            ConnectionState::InUse { first_byte_at: Some(at) } => at + RESPONSE_COMPLETION_TIMEOUT,
        }
    }

    /// Returns the outcome of the attempt when the connection's deadline passes.
    pub fn outcome_when_overdue(&self) -> AttemptOutcome {
        if self.is_connecting() {
            AttemptOutcome::NoConnection
        } else if self.has_success_line() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Error
        }
    }
}
