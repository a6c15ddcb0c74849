//! The connection pool: which connections to endpoints are idle, which carry abandoned calls, and when each
//! times out.

use super::{CallId, UpstreamId};
use crate::core::time_index::TimeIndex;
use linnetcart::Time;
use linnetcart_kafka::Frames;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How far a connection has been set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection is being established, or the endpoint has not answered the version request yet. Calls
    /// wait.
    Connecting,
    /// The connection carries calls, in the version of Produce that was negotiated.
    Ready { produce_version: i16 },
}

/// A connection to an endpoint, with the calls that it carries or that wait for it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) endpoint: u32,
    address: SocketAddr,
    pub(super) state: ConnectionState,
    pub(super) frames: Frames,
    /// How many bytes have been passed to the shell for the connection: the length of its byte stream so far.
    pub(super) queued_bytes: u64,
    last_correlation: i32,
    /// The calls that were written and have no response, by correlation id.
    pub(super) written_calls: BTreeMap<i32, CallId>,
    /// The calls that wait until the connection is ready.
    pub(super) waiting_calls: Vec<CallId>,
    /// How many of the written calls are abandoned.
    pub(super) abandoned_calls: usize,
    /// Monotonic time of the connection's creation, of its last dispatch of a call or of the last change that
    /// left it without awaited calls, whichever is latest.
    pub(super) last_used: Time,
    /// When the connection is next checked for a timeout, by the monotonic clock: at the connect timeout
    /// until the connection is ready, at the idle timeout after that.
    timeout_at: Time,
    /// The time under which the connection is in its endpoint's index of idle connections, or `None` if it is
    /// not idle.
    idle_since: Option<Time>,
}

impl Connection {
    pub(super) fn is_ready(&self) -> bool {
        self.state != ConnectionState::Connecting
    }

    /// Returns whether the connection is ready and carries no call, not even an abandoned one.
    fn is_idle(&self) -> bool {
        self.is_ready() && self.written_calls.is_empty() && self.waiting_calls.is_empty()
    }

    /// Returns whether the connection carries a call that is not abandoned.
    fn has_awaited_calls(&self) -> bool {
        self.written_calls.len() > self.abandoned_calls || !self.waiting_calls.is_empty()
    }

    /// Returns the correlation id of the next call: 1 to `i32::MAX`, then 1 again. The version request has 0.
    pub(super) fn next_correlation(&mut self) -> i32 {
        self.last_correlation = self.last_correlation % i32::MAX + 1;
        self.last_correlation
    }
}

/// The connections to one endpoint, with indexes of the idle ones and those with abandoned calls.
#[derive(Debug, Default)]
struct EndpointConnections {
    all: BTreeSet<UpstreamId>,
    /// The idle connections, by the time since when they have been idle.
    idle: TimeIndex<UpstreamId>,
    /// The connections with abandoned calls.
    abandoned: BTreeSet<UpstreamId>,
}

/// Connection counts for the status page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    /// Connections that are open or being established.
    pub(crate) open: usize,
    /// Connections with abandoned calls, which are part of `open`.
    pub(crate) abandoned: usize,
}

/// A connection that is requested from the shell.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewConnection {
    pub(super) id: UpstreamId,
    pub(super) endpoint: u32,
    pub(super) address: SocketAddr,
    pub(super) max_frame_bytes: usize,
    /// When the connection is closed unless the endpoint has answered the version request, by the monotonic
    /// clock.
    pub(super) timeout_at: Time,
}

/// All connections to endpoints, with indexes by endpoint and by timeout.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    connections: BTreeMap<UpstreamId, Connection>,
    by_endpoint: BTreeMap<u32, EndpointConnections>,
    timeouts: TimeIndex<UpstreamId>,
}

impl ConnectionPool {
    pub(super) fn get(&self, id: UpstreamId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    pub(super) fn counts(&self) -> ConnectionCounts {
        let is_abandoned = |connection: &&Connection| connection.abandoned_calls > 0;
        ConnectionCounts {
            open: self.connections.len(),
            abandoned: self.connections.values().filter(is_abandoned).count(),
        }
    }

    /// Returns the connection with the largest incomplete response and its endpoint; `None` if there is none.
    pub(super) fn largest_response(&self) -> Option<(UpstreamId, u32)> {
        let holding = self.connections.iter().filter(|(_, connection)| connection.frames.held_bytes() > 0);
        let largest = holding.max_by_key(|(_, connection)| connection.frames.held_bytes());
        largest.map(|(&id, connection)| (id, connection.endpoint))
    }

    /// Returns the endpoints with a connection that is open or being established.
    pub(super) fn endpoints(&self) -> Vec<u32> {
        self.by_endpoint.keys().copied().collect()
    }

    /// Returns whether a connection to the endpoint is open or being established.
    pub(super) fn has_endpoint(&self, endpoint: u32) -> bool {
        self.by_endpoint.contains_key(&endpoint)
    }

    /// Returns when the next connection must be checked for a timeout, by the monotonic clock, or `None` when
    /// there is no connection.
    pub(super) fn next_timeout(&self) -> Option<Time> {
        self.timeouts.earliest()
    }

    /// Returns a connection to the endpoint with capacity for another call, or `None` if there is none.
    ///
    /// The most recently used idle connection is preferred (last in, first out), so that surplus connections
    /// reach the idle timeout. Where a connection may carry several calls, the most recently used ready one
    /// is next, and then one that is being established. A connection with abandoned calls, or to another
    /// address than the endpoint's present one, is never used.
    pub(super) fn find_usable(
        &self,
        endpoint: u32,
        address: SocketAddr,
        calls_per_connection: usize,
    ) -> Option<UpstreamId> {
        let of_endpoint = self.by_endpoint.get(&endpoint)?;
        let has_capacity = |connection: &Connection| {
            let calls = connection.written_calls.len() + connection.waiting_calls.len();
            calls < calls_per_connection && connection.abandoned_calls == 0 && connection.address == address
        };
        let usable = |id: UpstreamId| self.connections.get(&id).filter(|connection| has_capacity(connection));
        let mut newest_idle_first = of_endpoint.idle.iter().rev().map(|entry| entry.id);
        let newest_idle = newest_idle_first.find(|&id| usable(id).is_some());
        if newest_idle.is_some() || calls_per_connection <= 1 {
            return newest_idle;
        }
        let preference = |&id: &UpstreamId| usable(id).map(|c| (c.is_ready(), c.last_used, id));
        of_endpoint.all.iter().filter_map(preference).max().map(|(_, _, id)| id)
    }

    /// Adds a connection that is being established.
    pub(super) fn insert(&mut self, new: NewConnection, now: Time) {
        let connection = Connection {
            endpoint: new.endpoint,
            address: new.address,
            state: ConnectionState::Connecting,
            frames: Frames::new(new.max_frame_bytes),
            queued_bytes: 0,
            last_correlation: 0,
            written_calls: BTreeMap::new(),
            waiting_calls: Vec::new(),
            abandoned_calls: 0,
            last_used: now,
            timeout_at: new.timeout_at,
            idle_since: None,
        };
        self.connections.insert(new.id, connection);
        self.timeouts.insert(new.timeout_at, new.id);
        self.by_endpoint.entry(new.endpoint).or_default().all.insert(new.id);
    }

    /// Removes a connection from the pool and from all indexes.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.timeouts.remove(connection.timeout_at, id);
        if let Some(of_endpoint) = self.by_endpoint.get_mut(&connection.endpoint) {
            of_endpoint.all.remove(&id);
            of_endpoint.abandoned.remove(&id);
            if let Some(since) = connection.idle_since {
                of_endpoint.idle.remove(since, id);
            }
            if of_endpoint.all.is_empty() {
                self.by_endpoint.remove(&connection.endpoint);
            }
        }
        Some(connection)
    }

    /// Updates a connection after its calls changed. If it is ready and no call on it is awaited, its idle
    /// timeout starts now.
    pub(super) fn calls_changed(&mut self, id: UpstreamId, now: Time, idle_timeout: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.is_ready() && !connection.has_awaited_calls() {
                connection.last_used = now;
                self.timeouts.remove(connection.timeout_at, id);
                connection.timeout_at = now + idle_timeout;
                self.timeouts.insert(connection.timeout_at, id);
            }
        }
        self.update_index(id);
    }

    /// Updates the indexes of idle connections and of those with abandoned calls after a connection changed.
    pub(super) fn update_index(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(of_endpoint) = self.by_endpoint.get_mut(&connection.endpoint) else { return };
        let idle_since = connection.is_idle().then_some(connection.last_used);
        if connection.idle_since != idle_since {
            if let Some(before) = connection.idle_since {
                of_endpoint.idle.remove(before, id);
            }
            if let Some(since) = idle_since {
                of_endpoint.idle.insert(since, id);
            }
            connection.idle_since = idle_since;
        }
        if connection.abandoned_calls > 0 {
            of_endpoint.abandoned.insert(id);
        } else {
            of_endpoint.abandoned.remove(&id);
        }
    }

    /// Returns the next connection that has timed out: either it did not become ready within the connect
    /// timeout, or it has carried no awaited call for the idle timeout.
    pub(super) fn take_timed_out(&mut self, now: Time) -> Option<UpstreamId> {
        while let Some(due) = self.timeouts.first_due(now) {
            self.timeouts.remove(due.at, due.id);
            let Some(connection) = self.connections.get(&due.id) else { continue };
            if !(connection.is_ready() && connection.has_awaited_calls()) {
                return Some(due.id);
            }
        }
        None
    }

    /// Returns the idle connections to an endpoint, longest idle first, up to the first for which `condition`
    /// does not hold. `condition` takes the time since when the connection has been idle, by the monotonic
    /// clock.
    pub(super) fn idle_while(&self, endpoint: u32, condition: impl Fn(Time) -> bool) -> Vec<UpstreamId> {
        let Some(of_endpoint) = self.by_endpoint.get(&endpoint) else { return Vec::new() };
        let matching = of_endpoint.idle.iter().take_while(|entry| condition(entry.at));
        matching.map(|entry| entry.id).collect()
    }

    /// Returns the connections to an endpoint that carry abandoned calls.
    pub(super) fn abandoned(&self, endpoint: u32) -> impl Iterator<Item = &Connection> {
        let ids = self.by_endpoint.get(&endpoint).into_iter().flat_map(|of| &of.abandoned);
        ids.filter_map(|id| self.connections.get(id))
    }

    /// Returns the least recently used connection to an endpoint with abandoned calls, if there are more than
    /// `max` of them.
    pub(super) fn excess_abandoned(&self, endpoint: u32, max: usize) -> Option<UpstreamId> {
        let abandoned = &self.by_endpoint.get(&endpoint)?.abandoned;
        if abandoned.len() <= max {
            return None;
        }
        let last_used = |id: &&UpstreamId| self.connections.get(id).map(|connection| connection.last_used);
        abandoned.iter().min_by_key(last_used).copied()
    }
}
