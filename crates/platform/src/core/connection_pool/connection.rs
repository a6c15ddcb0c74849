//! One upstream connection and its state.

use crate::core::attempts::AttemptId;
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_http::{parse_response, ParsedResponse};
use std::net::SocketAddr;

/// After an answer, a connection is not reused for this long: bytes that follow the answer must not be read
/// as the next answer.
const SETTLE_TIME: Time = 10 * MILLISECOND;
/// Time limit for the remaining bytes of an answer whose status line is 200; they may contain a load report.
const SUCCESS_COMPLETION_TIMEOUT: Time = 50 * MILLISECOND;
/// Time limit for the remaining bytes of any other answer. After it, the answer counts as damaged.
const RESPONSE_COMPLETION_TIMEOUT: Time = 1000 * MILLISECOND;

/// The state of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is being established for an attempt.
    Connecting {
        /// When the connect began.
        since: Time,
    },
    /// The request of an attempt is queued on the connection.
    InUse {
        /// When the first byte of the answer arrived; `None` before.
        first_byte_at: Option<Time>,
    },
    /// No attempt is assigned to the connection.
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
    /// The state of the connection.
    pub state: ConnectionState,
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

    /// Whether the connection is being established.
    pub fn is_connecting(&self) -> bool {
        matches!(self.state, ConnectionState::Connecting { .. })
    }

    /// Whether the request of an attempt is queued on the connection.
    pub fn is_in_use(&self) -> bool {
        matches!(self.state, ConnectionState::InUse { .. })
    }

    /// Whether the incomplete answer has a complete status line with status 200.
    pub fn has_success_line(&self) -> bool {
        matches!(parse_response(&self.response), ParsedResponse::Incomplete { ok: true })
    }

    /// Returns since when the connection is idle, or `None` if it must not carry another attempt now. A
    /// connection with an incomplete body is not reusable: the rest would be read as the next answer.
    pub fn reusable_since(&self, now: Time, idle_timeout: Time) -> Option<Time> {
        let ConnectionState::Idle { since } = self.state else { return None };
        let settled = self.body_remaining == 0 && since + SETTLE_TIME <= now;
        (settled && since + idle_timeout > now).then_some(since)
    }

    /// Records that a request of `length` bytes was queued.
    pub fn sent(&mut self, length: usize) {
        self.queued_bytes += length as u64;
        self.state = ConnectionState::InUse { first_byte_at: None };
        self.response = Vec::new();
        self.body_remaining = 0;
    }

    /// Makes the connection idle after its attempt was answered.
    pub fn make_idle(&mut self, now: Time, body_remaining: usize) {
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        self.response = Vec::new();
        self.body_remaining = body_remaining;
    }

    /// Returns when the connection has to leave its present state; [`Time::MAX`] for no limit.
    pub fn deadline(&self, idle_timeout: Time, connect_timeout: Time) -> Time {
        match self.state {
            ConnectionState::Connecting { since } | ConnectionState::Abandoned { since, .. } => {
                since + connect_timeout
            }
            ConnectionState::Idle { since } if self.body_remaining > 0 => since + SUCCESS_COMPLETION_TIMEOUT,
            ConnectionState::Idle { since } => since + idle_timeout,
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
