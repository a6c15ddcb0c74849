//! The pool of upstream connections. Each connection carries one attempt at a time and is reused while it is
//! clean.
//!
//! The pool owns every connection to an endpoint from connect to close and derives the outcome of an attempt
//! from what its connection did. It knows attempts by id only and never sees a message. An event for a
//! connection that was already removed has no effect.

mod acquire;
mod connection;
mod outcome;
mod receive;
mod response;

pub use acquire::Acquired;
pub use outcome::{FinishedAttempt, LoadReport};

use connection::{Connection, Timeouts};

use super::attempts::AttemptId;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::idle_reuse::{CallResult, LossRatePolicy};
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_net::ConnectFailure;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a connection to an endpoint or to discovery; assigned by the core.
pub type ConnectionId = u64;

/// Fraction of an endpoint's idle timeout after which the courier closes an idle connection: the endpoint
/// must not close it while an attempt is being sent.
const IDLE_TIMEOUT_NUMERATOR: Time = 3;
const IDLE_TIMEOUT_DENOMINATOR: Time = 4;

/// The state in which an attempt was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was not queued: the attempt was certainly not executed.
    Unsent,
    /// The request was queued: the attempt was possibly executed. Its connection is abandoned.
    Abandoned,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// It could not be established.
    ConnectFailed,
    /// The other side or the operating system ended it.
    Disconnected,
    /// It was in its state for too long.
    Overdue,
    /// Its attempt was cancelled before it was sent.
    CancelledUnsent,
    /// No connections to the endpoint are to be kept idle.
    CloseIdle,
    /// A new connection needs its place.
    Evicted,
    /// It has been idle for too long to be trusted.
    Untrusted,
    /// Bytes arrived that no request asked for.
    UnexpectedBytes,
    /// The answer is malformed.
    MalformedResponse,
    /// The answer does not permit another request.
    ResponseEndsConnection,
    /// The answer to an abandoned attempt arrived.
    LateResponse,
}

/// The size of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Number of connections.
    pub connections: usize,
    /// Number of attempts that have a connection.
    pub attempts: usize,
}

/// The connection pool.
#[derive(Debug)]
pub struct ConnectionPool {
    capacity: usize,
    timeouts: Timeouts,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    by_attempt: BTreeMap<AttemptId, ConnectionId>,
    reuse_policy: LossRatePolicy,
    /// Connections established since the core last took them.
    connected: Vec<ConnectionId>,
    /// Connections that the shell has to close.
    closed: Vec<ConnectionId>,
    /// Connections on which the shell must send no more.
    abandoned: Vec<ConnectionId>,
}

impl ConnectionPool {
    /// Creates a pool of at most `capacity` connections.
    pub fn new(capacity: usize, settings: &DeploymentSettings) -> ConnectionPool {
        let endpoint_idle_timeout = settings.settings.idle_timeout;
        let connect_timeout = settings.settings.connect_timeout;
        let timeouts = Timeouts {
            connect: connect_timeout,
            idle: endpoint_idle_timeout / IDLE_TIMEOUT_DENOMINATOR * IDLE_TIMEOUT_NUMERATOR,
            // No setting of its own: the answer is awaited for as long as a new connection may take.
            abandoned: connect_timeout,
        };
        ConnectionPool {
            capacity,
            timeouts,
            last_id: 1,
            connections: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            reuse_policy: LossRatePolicy::default(),
            connected: vec![],
            closed: vec![],
            abandoned: vec![],
        }
    }

    /// Returns the size of the pool.
    pub fn size(&self) -> PoolSize {
        PoolSize { connections: self.connections.len(), attempts: self.by_attempt.len() }
    }

    /// Allocates an unused connection id, also for connections that the pool does not own.
    pub fn allocate_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        self.last_id
    }

    /// Takes the connections that were closed.
    pub fn take_closed(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closed)
    }

    /// Takes the connections that were abandoned; nothing more may be sent on them.
    pub fn take_abandoned(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.abandoned)
    }

    /// Takes the connections that were established.
    pub fn take_connected(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.connected)
    }

    /// Records an established connection. The next iteration queues the request of its attempt, if that is
    /// still to be sent; the connection keeps its state until then.
    pub fn connected(&mut self, id: ConnectionId) {
        self.connected.push(id);
    }

    /// Returns the attempt that a connection is assigned to.
    pub fn attempt_of(&self, id: ConnectionId) -> Option<AttemptId> {
        self.connections.get(&id)?.attempt
    }

    /// Returns the address that a connection leads to.
    pub fn address(&self, id: ConnectionId) -> Option<SocketAddr> {
        self.connections.get(&id).map(|connection| connection.address)
    }

    /// Records that `length` bytes of an attempt's request were queued on its connection.
    pub fn sent(&mut self, id: ConnectionId, length: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent(length);
        }
    }

    /// Whether the request of an attempt is queued on a connection.
    pub fn is_sent(&self, attempt: AttemptId) -> bool {
        let connection = self.by_attempt.get(&attempt).and_then(|id| self.connections.get(id));
        connection.is_some_and(Connection::is_in_use)
    }

    /// Cancels an attempt. If its request was queued, an answer may be on its way, and a Retry-After in that
    /// answer has to be respected: the connection is read until its timeout.
    pub fn cancel(&mut self, attempt: AttemptId, now: Time) -> Cancelled {
        let Some(&id) = self.by_attempt.get(&attempt) else { return Cancelled::Unsent };
        let Some(connection) = self.connections.get_mut(&id) else { return Cancelled::Unsent };
        if !connection.is_in_use() {
            self.close(id, CloseReason::CancelledUnsent);
            return Cancelled::Unsent;
        }
        connection.abandon(attempt, now);
        self.by_attempt.remove(&attempt);
        self.abandoned.push(id);
        Cancelled::Abandoned
    }

    /// Releases the connection of an attempt that was not sent, for use by another attempt.
    pub fn release_unused(&mut self, attempt: AttemptId, now: Time) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.release_unused(now);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: u32) {
        let is_idle = |connection: &Connection| connection.endpoint == endpoint && connection.is_idle();
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .map(|(&id, _)| id)
            .collect();
        for id in idle {
            self.close(id, CloseReason::CloseIdle);
        }
    }

    /// Handles a failed connect. Returns the attempt that failed with it.
    pub fn connect_failed(&mut self, id: ConnectionId, failure: ConnectFailure) -> Option<FinishedAttempt> {
        let attempt = self.close(id, CloseReason::ConnectFailed)?;
        let outcome = match failure {
            ConnectFailure::Local => AttemptOutcome::LocalFault,
            ConnectFailure::Remote => AttemptOutcome::NoConnection,
        };
        Some(FinishedAttempt::new(attempt, outcome))
    }

    /// Releases the connection of an attempt whose request of `length` bytes is not sent after all.
    pub fn release_unsent(&mut self, attempt: AttemptId, length: usize, now: Time) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unsent(length, now);
        }
    }

    /// Handles the end of a connection on which the operating system accepted `written` bytes. Returns the
    /// attempt that ended with it.
    pub fn disconnected(&mut self, id: ConnectionId, written: u64, now: Time) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        // The protocol counts a call when its last byte has arrived. A request of which the operating system
        // accepted only a part was certainly not executed, as if there had been no connection.
        let outcome = if connection.is_connecting() || written < connection.queued_bytes {
            AttemptOutcome::NoConnection
        } else if connection.has_success_line() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Reset
        };
        if connection.awaits_first_byte() {
            self.reuse_policy.record_call(now, connection.idle_before, CallResult::Lost);
        }
        let attempt = self.close(id, CloseReason::Disconnected)?;
        Some(FinishedAttempt::new(attempt, outcome))
    }

    /// Closes the connections whose deadline has passed. Returns the attempts that ended with them.
    pub fn close_overdue(&mut self, now: Time) -> Vec<FinishedAttempt> {
        let mut overdue = Vec::new();
        for (&id, connection) in &self.connections {
            if connection.deadline(self.timeouts) <= now {
                overdue.push((id, connection.outcome_when_overdue()));
            }
        }
        let mut finished = Vec::new();
        for (id, outcome) in overdue {
            if let Some(attempt) = self.close(id, CloseReason::Overdue) {
                finished.push(FinishedAttempt::new(attempt, outcome));
            }
        }
        finished
    }

    /// Returns the earliest deadline of a connection; [`Time::MAX`] for none.
    pub fn next_deadline(&self) -> Time {
        let deadline = |connection: &Connection| connection.deadline(self.timeouts);
        self.connections.values().map(deadline).min().unwrap_or(Time::MAX)
    }

    /// Closes a connection. Returns the attempt that it was assigned to.
    fn close(&mut self, id: ConnectionId, reason: CloseReason) -> Option<AttemptId> {
        let connection = self.connections.remove(&id)?;
        let endpoint = connection.endpoint;
        tracing::debug!(connection = id, endpoint, ?reason, "upstream connection closed");
        self.closed.push(id);
        if let Some(attempt) = connection.attempt {
            self.by_attempt.remove(&attempt);
        }
        connection.attempt
    }
}

#[cfg(test)]
mod tests;
