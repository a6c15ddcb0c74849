//! The pool of upstream connections: one attempt at a time on each, reused as long as they are clean.
//!
//! It owns every connection to an endpoint from the first connect to the close, and says how an attempt ended by
//! what its connection did. It knows attempts by id alone and never a message. An event for a connection that it no
//! longer has changes nothing.

mod acquire;
mod connection;
mod outcome;
mod receive;
mod response;

pub use acquire::Acquired;
pub use outcome::{FinishedAttempt, LoadReport};

use connection::{Connection, ConnectionState};

use super::attempts::AttemptId;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::idle_reuse::{CallResult, LossRatePolicy};
use linnetcart_deployment_settings::DeploymentSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection to an endpoint or to discovery, as the core names it to the shell.
pub type ConnectionId = u64;

/// Part of an endpoint's idle timeout after which we close: its close must not cross an attempt of ours.
const IDLE_TIMEOUT_NUMERATOR: Time = 3;
const IDLE_TIMEOUT_DENOMINATOR: Time = 4;

/// What became of an attempt that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// Its bytes were not queued: it is certainly not executed.
    Unsent,
    /// Its bytes were queued, so it may be executed. Its connection is abandoned.
    Abandoned,
}

/// How many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Connections.
    pub connections: usize,
    /// Attempts that have one.
    pub attempts: usize,
}

/// The pool.
#[derive(Debug)]
pub struct ConnectionPool {
    capacity: usize,
    idle_timeout: Time,
    connect_timeout: Time,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    by_attempt: BTreeMap<AttemptId, ConnectionId>,
    reuse_policy: LossRatePolicy,
    /// Connected since the core last took them.
    connected: Vec<ConnectionId>,
    /// To be closed by the shell.
    closed: Vec<ConnectionId>,
    /// On these the shell is to send no more.
    abandoned: Vec<ConnectionId>,
}

impl ConnectionPool {
    /// A pool of at most `capacity` connections.
    pub fn new(capacity: usize, settings: &DeploymentSettings) -> ConnectionPool {
        ConnectionPool {
            capacity,
            idle_timeout: settings.settings.idle_timeout / IDLE_TIMEOUT_DENOMINATOR * IDLE_TIMEOUT_NUMERATOR,
            connect_timeout: settings.settings.connect_timeout,
            last_id: 1,
            connections: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            reuse_policy: LossRatePolicy::default(),
            connected: vec![],
            closed: vec![],
            abandoned: vec![],
        }
    }

    /// How many there are.
    pub fn size(&self) -> PoolSize {
        PoolSize { connections: self.connections.len(), attempts: self.by_attempt.len() }
    }

    /// An id that no connection has, also for connections that are not the pool's.
    pub fn allocate_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        self.last_id
    }

    /// Takes the connections that were closed.
    pub fn take_closed(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closed)
    }

    /// Takes the connections that were abandoned: nothing more is sent on them.
    pub fn take_abandoned(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.abandoned)
    }

    /// Takes the connections that were connected.
    pub fn take_connected(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.connected)
    }

    /// A connection was connected. It is used in the iteration, not as this comes in.
    pub fn connected(&mut self, id: ConnectionId) {
        self.connected.push(id);
    }

    /// The attempt that a connection is for.
    pub fn attempt_of(&self, id: ConnectionId) -> Option<AttemptId> {
        self.connections.get(&id)?.attempt
    }

    /// Where a connection leads.
    pub fn address(&self, id: ConnectionId) -> Option<SocketAddr> {
        self.connections.get(&id).map(|connection| connection.address)
    }

    /// The bytes of the connection's attempt are queued now.
    pub fn sent(&mut self, id: ConnectionId, length: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent(length);
        }
    }

    /// Whether an attempt's bytes are queued.
    pub fn is_sent(&self, attempt: AttemptId) -> bool {
        let connection = self.by_attempt.get(&attempt).and_then(|id| self.connections.get(id));
        connection.is_some_and(Connection::is_in_use)
    }

    /// Cancels an attempt. The answer of one whose bytes were queued may be on its way, and a Retry-After in it
    /// binds all the same: it is read for as long as a connection may take to be made.
    pub fn cancel(&mut self, attempt: AttemptId, now: Time) -> Cancelled {
        let Some(&id) = self.by_attempt.get(&attempt) else { return Cancelled::Unsent };
        let Some(connection) = self.connections.get_mut(&id) else { return Cancelled::Unsent };
        if !connection.is_in_use() {
            self.close(id);
            return Cancelled::Unsent;
        }
        connection.state = ConnectionState::Abandoned { attempt, since: now };
        connection.attempt = None;
        self.by_attempt.remove(&attempt);
        self.abandoned.push(id);
        Cancelled::Abandoned
    }

    /// Leaves the connection of an attempt that is not sent to the next attempt: nothing was written on it.
    pub fn release_unused(&mut self, attempt: AttemptId, now: Time) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let since = match connection.state {
            ConnectionState::Idle { since } => since,
            _ => now,
        };
        connection.state = ConnectionState::Idle { since };
        connection.attempt = None;
        connection.idle_before = None;
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: u32) {
        let is_idle = |connection: &Connection| {
            connection.endpoint == endpoint && matches!(connection.state, ConnectionState::Idle { .. })
        };
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_idle(connection))
            .map(|(&id, _)| id)
            .collect();
        for id in idle {
            self.close(id);
        }
    }

    /// A connection could not be made.
    pub fn connect_failed(&mut self, id: ConnectionId) -> Option<FinishedAttempt> {
        let attempt = self.close(id)?;
        Some(FinishedAttempt::new(attempt, AttemptOutcome::NoConnection))
    }

    /// A connection ended; the system took `written` bytes of ours on it.
    pub fn disconnected(&mut self, id: ConnectionId, written: u64, now: Time) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        let outcome = if connection.is_connecting() || written < connection.queued_bytes {
            AttemptOutcome::NoConnection
        } else if connection.has_success_line() {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Reset
        };
        if connection.state == (ConnectionState::InUse { first_byte_at: None }) {
            self.reuse_policy.record_call(now, connection.idle_before, CallResult::Lost);
        }
        let attempt = self.close(id)?;
        Some(FinishedAttempt::new(attempt, outcome))
    }

    /// Closes the connections whose time is up: the attempts that ended with them.
    pub fn close_overdue(&mut self, now: Time) -> Vec<FinishedAttempt> {
        let mut overdue = Vec::new();
        for (&id, connection) in &self.connections {
            if connection.deadline(self.idle_timeout, self.connect_timeout) <= now {
                overdue.push((id, connection.outcome_when_overdue()));
            }
        }
        let mut finished = Vec::new();
        for (id, outcome) in overdue {
            if let Some(attempt) = self.close(id) {
                finished.push(FinishedAttempt::new(attempt, outcome));
            }
        }
        finished
    }

    /// When the time of the next connection is up.
    pub fn next_deadline(&self) -> Time {
        let deadline = |connection: &Connection| connection.deadline(self.idle_timeout, self.connect_timeout);
        self.connections.values().map(deadline).min().unwrap_or(Time::MAX)
    }

    /// Closes a connection: the attempt that it was for.
    fn close(&mut self, id: ConnectionId) -> Option<AttemptId> {
        let connection = self.connections.remove(&id)?;
        self.closed.push(id);
        if let Some(attempt) = connection.attempt {
            self.by_attempt.remove(&attempt);
        }
        connection.attempt
    }
}

#[cfg(test)]
mod tests;
