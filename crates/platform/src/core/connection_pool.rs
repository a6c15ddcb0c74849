//! The pool of HTTP/1.1 connections to endpoints. A connection carries one attempt at a time and is reused
//! after a complete response that permits it (keep-alive) and that differs from the responses of other
//! requests.
//!
//! The pool owns each connection from connect to close and derives the outcome of an attempt from the events
//! of its connection: bytes received, connect failure, disconnect or timeout. Attempts are known by id only.
//! An event for a connection that was already removed has no effect.

mod acquire;
mod connection;
mod memory;
mod outcome;
mod receive;
mod response;

pub use acquire::Acquired;
pub use outcome::{FinishedAttempt, LoadReport, ReportedEnd};
pub use receive::UnattributedResponse;

use connection::{Connection, Timeouts};

use super::attempts::AttemptId;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::attribution::SeenResponses;
use linnetcart_courier_common::idle_reuse::{CallResult, LossRatePolicy};
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_net::ConnectFailure;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Identifies a connection to an endpoint or to discovery; assigned by the core.
pub type ConnectionId = u64;

/// The courier closes an idle connection after 3/4 of the endpoint's idle timeout, so that the endpoint does
/// not close it while an attempt is being sent.
const IDLE_TIMEOUT_NUMERATOR: Time = 3;
const IDLE_TIMEOUT_DENOMINATOR: Time = 4;

/// Whether the request of a cancelled attempt was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was not queued, so the attempt was certainly not executed.
    Unsent,
    /// The request was queued, so the attempt was possibly executed. The connection is abandoned: it is
    /// read until its timeout, because a response may still arrive.
    Abandoned,
}

/// Why a connection is closed. Written to the log by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The connect failed.
    ConnectFailed,
    /// The endpoint closed the connection, or the operating system reported an error on it.
    Disconnected,
    /// The time limit of the connection's state passed.
    Overdue,
    /// The connection's attempt was cancelled before its request was queued.
    CancelledUnsent,
    /// The decision library requested that idle connections to the endpoint be closed.
    CloseIdle,
    /// The pool was full and a new connection was needed.
    Evicted,
    /// The reuse policy expects the connection, after its idle time, to lose more calls than a new one.
    Untrusted,
    /// A response arrived that is not certainly the response to the connection's attempt.
    Unattributed,
    /// The response is malformed.
    MalformedResponse,
    /// The response does not permit another request on the connection.
    ResponseEndsConnection,
    /// The response to an abandoned attempt arrived.
    LateResponse,
    /// The responses of all connections took too much memory, and this one was the largest.
    TooManyBytes,
}

/// The numbers of connections and attempts in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSize {
    /// Number of connections in all states: connecting, in use, idle and abandoned.
    pub connections: usize,
    /// Number of attempts to which a connection is assigned; a cancelled attempt is not counted, even while
    /// its abandoned connection is read.
    pub attempts: usize,
}

/// All connections to endpoints, and the attempts to which they are assigned.
#[derive(Debug)]
pub struct ConnectionPool {
    capacity: usize,
    timeouts: Timeouts,
    last_id: ConnectionId,
    connections: BTreeMap<ConnectionId, Connection>,
    by_attempt: BTreeMap<AttemptId, ConnectionId>,
    reuse_policy: LossRatePolicy,
    /// The bytes of responses, present and earlier ones.
    memory: MemoryAccount,
    seen_responses: SeenResponses,
    /// Responses since [`ConnectionPool::take_unattributed`] was last called.
    unattributed: Vec<UnattributedResponse>,
    /// Connections established since [`ConnectionPool::take_connected`] was last called.
    connected: Vec<ConnectionId>,
    /// Connections closed since [`ConnectionPool::take_closed`] was last called.
    closed: Vec<ConnectionId>,
    /// Connections abandoned since [`ConnectionPool::take_abandoned`] was last called.
    abandoned: Vec<ConnectionId>,
}

impl ConnectionPool {
    /// Creates a pool of at most `capacity` connections, whose responses may take `memory_bytes`.
    pub fn new(capacity: usize, memory_bytes: usize, settings: &DeploymentSettings) -> ConnectionPool {
        let endpoint_idle_timeout = settings.settings.idle_timeout;
        let connect_timeout = settings.settings.connect_timeout;
        let timeouts = Timeouts {
            connect: connect_timeout,
            idle: endpoint_idle_timeout / IDLE_TIMEOUT_DENOMINATOR * IDLE_TIMEOUT_NUMERATOR,
            // There is no separate setting: a late response is awaited for as long as a connect may take.
            abandoned: connect_timeout,
        };
        ConnectionPool {
            capacity,
            timeouts,
            last_id: 1,
            connections: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            reuse_policy: LossRatePolicy::default(),
            memory: MemoryAccount::new(memory_bytes),
            seen_responses: SeenResponses::default(),
            unattributed: vec![],
            connected: vec![],
            closed: vec![],
            abandoned: vec![],
        }
    }

    /// Returns the numbers of connections and attempts.
    pub fn size(&self) -> PoolSize {
        PoolSize { connections: self.connections.len(), attempts: self.by_attempt.len() }
    }

    /// Allocates an unused connection id, also for connections that the pool does not own.
    pub fn allocate_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        self.last_id
    }

    /// Takes the connections that were closed since the last call; the shell has to close their sockets.
    pub fn take_closed(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closed)
    }

    /// Takes the connections that were abandoned since the last call; nothing more may be sent on them.
    pub fn take_abandoned(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.abandoned)
    }

    /// Takes the responses since the last call that were not certainly those of an attempt.
    pub fn take_unattributed(&mut self) -> Vec<UnattributedResponse> {
        std::mem::take(&mut self.unattributed)
    }

    /// Takes the connections that were established since the last call.
    pub fn take_connected(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.connected)
    }

    /// Records that a connection was established. The connection keeps the state `Connecting` until the next
    /// iteration queues the request of its attempt.
    pub fn connected(&mut self, id: ConnectionId) {
        self.connected.push(id);
    }

    /// Returns the attempt to which a connection is assigned; `None` if there is none or the connection was
    /// removed.
    pub fn attempt_of(&self, id: ConnectionId) -> Option<AttemptId> {
        self.connections.get(&id)?.attempt
    }

    /// Returns the remote address of a connection, or `None` if the connection was removed.
    pub fn address(&self, id: ConnectionId) -> Option<SocketAddr> {
        self.connections.get(&id).map(|connection| connection.address)
    }

    /// Records that the request of an attempt, `length` bytes, was queued on a connection.
    pub fn request_queued(&mut self, id: ConnectionId, length: usize) {
        self.update(id, |connection| connection.request_queued(length));
    }

    /// Whether the request of an attempt is queued on a connection.
    pub fn is_request_queued(&self, attempt: AttemptId) -> bool {
        let connection = self.by_attempt.get(&attempt).and_then(|id| self.connections.get(id));
        connection.is_some_and(Connection::is_in_use)
    }

    /// Cancels an attempt. If its request was queued, a response may still arrive, and a Retry-After in it
    /// has to be respected: the connection is abandoned, which means that it is read until its timeout.
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

    /// Releases the connection of an attempt whose request was not queued, for reuse by another attempt.
    pub fn release_unused(&mut self, attempt: AttemptId, now: Time) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.release_unused(now);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: u32) {
        let is_idle = |connection: &Connection| connection.endpoint == endpoint && connection.is_idle();
        for id in self.ids_where(is_idle) {
            self.close(id, CloseReason::CloseIdle);
        }
    }

    /// Handles a failed connect. Returns the result of the attempt that was waiting for the connection, if
    /// there is one.
    pub fn connect_failed(&mut self, id: ConnectionId, failure: ConnectFailure) -> Option<FinishedAttempt> {
        let attempt = self.close(id, CloseReason::ConnectFailed)?;
        let outcome = match failure {
            ConnectFailure::Local => AttemptOutcome::LocalFault,
            ConnectFailure::Remote => AttemptOutcome::NoConnection,
        };
        Some(FinishedAttempt::new(attempt, outcome))
    }

    /// Releases the connection of an attempt whose queued request of `length` bytes is taken back before any
    /// byte was written.
    pub fn retract_request(&mut self, attempt: AttemptId, length: usize, now: Time) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request_retracted(length, now);
        }
    }

    /// Handles the disconnect of a connection on which the operating system accepted `written` bytes since
    /// the connect. Returns the result of the attempt to which the connection was assigned, if there is one.
    pub fn disconnected(&mut self, id: ConnectionId, written: u64, now: Time) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        // By the protocol, a call counts once its last byte has arrived. A request of which the operating
        // system accepted only a part was certainly not executed, just as without a connection.
        let outcome = if connection.is_connecting() || written < connection.queued_bytes {
            AttemptOutcome::NoConnection
        } else {
            AttemptOutcome::Reset
        };
        let end = connection.doubtful_end();
        if connection.awaits_first_byte() {
            self.reuse_policy.record_call(now, connection.idle_before, CallResult::Lost);
        }
        let attempt = self.close(id, CloseReason::Disconnected)?;
        Some(FinishedAttempt { end, ..FinishedAttempt::new(attempt, outcome) })
    }

    /// Closes the connections whose deadline has passed. Returns the results of the attempts to which they
    /// were assigned.
    pub fn close_timed_out(&mut self, now: Time) -> Vec<FinishedAttempt> {
        let is_overdue = |connection: &Connection| connection.deadline(self.timeouts) <= now;
        let mut finished = Vec::new();
        for id in self.ids_where(is_overdue) {
            let Some(connection) = self.connections.get(&id) else { continue };
            let outcome = connection.outcome_on_timeout();
            let end = connection.doubtful_end();
            if let Some(attempt) = self.close(id, CloseReason::Overdue) {
                finished.push(FinishedAttempt { end, ..FinishedAttempt::new(attempt, outcome) });
            }
        }
        finished
    }

    fn ids_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, connection)| predicate(connection));
        matching.map(|(&id, _)| id).collect()
    }

    /// Returns the earliest deadline of all connections, in monotonic time; [`Time::MAX`] for none.
    pub fn next_deadline(&self) -> Time {
        let deadline = |connection: &Connection| connection.deadline(self.timeouts);
        self.connections.values().map(deadline).min().unwrap_or(Time::MAX)
    }

    /// Closes a connection. Returns the attempt to which the connection was assigned, if there is one.
    fn close(&mut self, id: ConnectionId, reason: CloseReason) -> Option<AttemptId> {
        let connection = self.connections.remove(&id)?;
        self.memory.resize(connection.held_bytes(), 0);
        let endpoint = connection.endpoint;
        if let Some(AttemptId { message, number }) = connection.attempt_or_abandoned() {
            tracing::info!(
                connection = id,
                endpoint,
                number = message,
                attempt = number,
                ?reason,
                "upstream connection of an attempt closed"
            );
        } else {
            tracing::debug!(connection = id, endpoint, ?reason, "upstream connection closed");
        }
        self.closed.push(id);
        if let Some(attempt) = connection.attempt {
            self.by_attempt.remove(&attempt);
        }
        connection.attempt
    }
}

#[cfg(test)]
mod tests;
