//! One upstream connection and its state.

use crate::core::attempts::AttemptId;
use crate::core::clock::MILLISECOND;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_http::{parse_response, ParsedResponse};
use std::net::SocketAddr;

/// A connection settles after an answer before it is reused: what comes beside the answer must not be read as the next one.
const SETTLE_TIME: Time = 10 * MILLISECOND;
/// A head that began with 200 may still bring a load report, for this long.
const SUCCESS_COMPLETION_TIMEOUT: Time = 50 * MILLISECOND;
/// Any other answer that began and does not go on for this long is damaged.
const RESPONSE_COMPLETION_TIMEOUT: Time = 1000 * MILLISECOND;

/// The state of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is being made for an attempt.
    Connecting {
        /// Since when.
        since: Time,
    },
    /// An attempt's bytes are queued on it.
    InUse {
        /// When the first byte of the answer came.
        first_byte_at: Option<Time>,
    },
    /// No attempt is out on it.
    Idle {
        /// Since when.
        since: Time,
    },
    /// Its attempt was cancelled: nothing more is sent, and an answer is still read.
    Abandoned {
        /// The attempt.
        attempt: AttemptId,
        /// Since when.
        since: Time,
    },
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    /// The endpoint that it was made for.
    pub endpoint: u32,
    /// Where it leads.
    pub address: SocketAddr,
    /// Its state.
    pub state: ConnectionState,
    /// The attempt that it is for.
    pub attempt: Option<AttemptId>,
    /// Bytes of the answer so far.
    pub response: Vec<u8>,
    /// Bytes queued since it was made: the last byte of the attempt is at this position.
    pub queued_bytes: u64,
    /// Bytes of the answer's body that are still to come.
    pub body_remaining: usize,
    /// How long it had been idle before its attempt; a new one never was.
    pub idle_before: Option<Time>,
}

impl Connection {
    /// One that is being made for an attempt.
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

    /// Whether it is being made.
    pub fn is_connecting(&self) -> bool {
        matches!(self.state, ConnectionState::Connecting { .. })
    }

    /// Whether an attempt's bytes are queued on it.
    pub fn is_in_use(&self) -> bool {
        matches!(self.state, ConnectionState::InUse { .. })
    }

    /// Whether the answer begins with a first line that says 200.
    pub fn has_success_line(&self) -> bool {
        matches!(parse_response(&self.response), ParsedResponse::Incomplete { ok: true })
    }

    /// Since when it is idle, if it may carry another attempt. What is still to come of an answer's body would be
    /// read as the next answer.
    pub fn reusable_since(&self, now: Time, idle_timeout: Time) -> Option<Time> {
        let ConnectionState::Idle { since } = self.state else { return None };
        let settled = self.body_remaining == 0 && since + SETTLE_TIME <= now;
        (settled && since + idle_timeout > now).then_some(since)
    }

    /// An attempt's bytes are queued now.
    pub fn sent(&mut self, length: usize) {
        self.queued_bytes += length as u64;
        self.state = ConnectionState::InUse { first_byte_at: None };
        self.response = Vec::new();
        self.body_remaining = 0;
    }

    /// Its attempt has its answer.
    pub fn becomes_idle(&mut self, now: Time, body_remaining: usize) {
        self.state = ConnectionState::Idle { since: now };
        self.attempt = None;
        self.response = Vec::new();
        self.body_remaining = body_remaining;
    }

    /// When its time in this state is up.
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

    /// How its attempt ends where its time is up.
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
