//! Upstream connections: those to each endpoint, which of them are idle or abandoned, and their time-outs.

use super::{CallId, UpstreamId};
use linnetcart::Time;
use linnetcart_kafka::Frames;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being made, or the endpoint has not said yet which versions it offers.
    Connecting,
    /// Calls go in this version of Produce.
    Ready { produce_version: i16 },
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) endpoint: u32,
    address: SocketAddr,
    pub(super) state: ConnectionState,
    pub(super) frames: Frames,
    /// Bytes handed to the shell.
    pub(super) queued_bytes: u64,
    last_correlation: i32,
    /// Calls that were written and have no response, by correlation id.
    pub(super) written_calls: BTreeMap<i32, CallId>,
    /// Calls that wait until the connection is ready.
    pub(super) waiting_calls: Vec<CallId>,
    /// Written calls that nobody waits for any more.
    pub(super) abandoned_calls: usize,
    /// When it was last used.
    pub(super) last_used: Time,
    /// When it is looked at again.
    timeout_at: Time,
    /// Since when it stands as idle in its endpoint's index.
    idle_since: Option<Time>,
}

impl Connection {
    pub(super) fn is_ready(&self) -> bool {
        self.state != ConnectionState::Connecting
    }

    /// Nothing is on it, abandoned calls included.
    fn is_idle(&self) -> bool {
        self.is_ready() && self.written_calls.is_empty() && self.waiting_calls.is_empty()
    }

    /// Somebody waits for a call on it.
    fn has_awaited_calls(&self) -> bool {
        self.written_calls.len() > self.abandoned_calls || !self.waiting_calls.is_empty()
    }

    /// The correlation id of the next call; 0 is that of the version request.
    pub(super) fn next_correlation(&mut self) -> i32 {
        self.last_correlation = self.last_correlation % i32::MAX + 1;
        self.last_correlation
    }
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
struct EndpointConnections {
    all: BTreeSet<UpstreamId>,
    /// Those that nothing is on, by the time since then.
    idle: BTreeSet<(Time, UpstreamId)>,
    /// Those with abandoned calls.
    abandoned: BTreeSet<UpstreamId>,
}

/// Numbers of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    /// Open, or being made.
    pub(crate) open: usize,
    /// Of these, those with abandoned calls.
    pub(crate) abandoned: usize,
}

/// A connection to be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewConnection {
    pub(super) id: UpstreamId,
    pub(super) endpoint: u32,
    pub(super) address: SocketAddr,
    pub(super) max_frame_bytes: usize,
    /// When it has failed unless it is ready.
    pub(super) timeout_at: Time,
}

/// All connections to endpoints.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    connections: BTreeMap<UpstreamId, Connection>,
    by_endpoint: BTreeMap<u32, EndpointConnections>,
    timeouts: BTreeSet<(Time, UpstreamId)>,
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

    /// Endpoints that connections are open to or being made to.
    pub(super) fn endpoints(&self) -> Vec<u32> {
        self.by_endpoint.keys().copied().collect()
    }

    pub(super) fn has_endpoint(&self, endpoint: u32) -> bool {
        self.by_endpoint.contains_key(&endpoint)
    }

    /// When the next connection is looked at again.
    pub(super) fn next_timeout(&self) -> Option<Time> {
        self.timeouts.first().map(|&(at, _)| at)
    }

    /// A connection to the endpoint that takes a further call: an idle one, the last used first, so that those not
    /// needed grow old; else, where connections carry several calls, the last used one that is ready, else one
    /// that is being made.
    pub(super) fn find(
        &self,
        endpoint: u32,
        address: SocketAddr,
        calls_per_connection: usize,
    ) -> Option<UpstreamId> {
        let of_endpoint = self.by_endpoint.get(&endpoint)?;
        let takes_call = |connection: &Connection| {
            let calls = connection.written_calls.len() + connection.waiting_calls.len();
            calls < calls_per_connection && connection.abandoned_calls == 0 && connection.address == address
        };
        let fits = |id: UpstreamId| self.connections.get(&id).filter(|connection| takes_call(connection));
        let newest_idle = of_endpoint.idle.iter().rev().map(|&(_, id)| id).find(|&id| fits(id).is_some());
        if newest_idle.is_some() || calls_per_connection <= 1 {
            return newest_idle;
        }
        let preference = |&id: &UpstreamId| fits(id).map(|c| (c.is_ready(), c.last_used, id));
        of_endpoint.all.iter().filter_map(preference).max().map(|(_, _, id)| id)
    }

    /// Adds a connection that is being made.
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
        self.timeouts.insert((new.timeout_at, new.id));
        self.by_endpoint.entry(new.endpoint).or_default().all.insert(new.id);
    }

    /// Removes a connection, with every mention of it.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.timeouts.remove(&(connection.timeout_at, id));
        if let Some(of_endpoint) = self.by_endpoint.get_mut(&connection.endpoint) {
            of_endpoint.all.remove(&id);
            of_endpoint.abandoned.remove(&id);
            if let Some(since) = connection.idle_since {
                of_endpoint.idle.remove(&(since, id));
            }
            if of_endpoint.all.is_empty() {
                self.by_endpoint.remove(&connection.endpoint);
            }
        }
        Some(connection)
    }

    /// After the calls on a connection changed: one without awaited calls is out of use from now on.
    pub(super) fn settle(&mut self, id: UpstreamId, now: Time, idle_timeout: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.is_ready() && !connection.has_awaited_calls() {
                connection.last_used = now;
                self.timeouts.remove(&(connection.timeout_at, id));
                connection.timeout_at = now + idle_timeout;
                self.timeouts.insert((connection.timeout_at, id));
            }
        }
        self.update_index(id);
    }

    /// Puts a connection where it belongs in its endpoint's index.
    pub(super) fn update_index(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(of_endpoint) = self.by_endpoint.get_mut(&connection.endpoint) else { return };
        let idle_since = connection.is_idle().then_some(connection.last_used);
        if connection.idle_since != idle_since {
            if let Some(before) = connection.idle_since {
                of_endpoint.idle.remove(&(before, id));
            }
            if let Some(since) = idle_since {
                of_endpoint.idle.insert((since, id));
            }
            connection.idle_since = idle_since;
        }
        if connection.abandoned_calls > 0 {
            of_endpoint.abandoned.insert(id);
        } else {
            of_endpoint.abandoned.remove(&id);
        }
    }

    /// The next connection that timed out: it was not ready in time, or nobody waited for anything on it for the
    /// idle time.
    pub(super) fn take_timed_out(&mut self, now: Time) -> Option<UpstreamId> {
        while let Some(&(at, id)) = self.timeouts.first().filter(|(at, _)| *at <= now) {
            self.timeouts.remove(&(at, id));
            let Some(connection) = self.connections.get(&id) else { continue };
            if !(connection.is_ready() && connection.has_awaited_calls()) {
                return Some(id);
            }
        }
        None
    }

    /// Connections to an endpoint that are idle, longest first, as far as `closes` holds for the time since when.
    pub(super) fn idle_while(&self, endpoint: u32, closes: impl Fn(Time) -> bool) -> Vec<UpstreamId> {
        let Some(of_endpoint) = self.by_endpoint.get(&endpoint) else { return Vec::new() };
        of_endpoint.idle.iter().take_while(|(since, _)| closes(*since)).map(|&(_, id)| id).collect()
    }

    /// Connections to an endpoint with abandoned calls.
    pub(super) fn abandoned(&self, endpoint: u32) -> impl Iterator<Item = &Connection> {
        let ids = self.by_endpoint.get(&endpoint).into_iter().flat_map(|of| &of.abandoned);
        ids.filter_map(|id| self.connections.get(id))
    }

    /// The abandoned connection to an endpoint that has been so for longest, if there are more than `max`.
    pub(super) fn excess_abandoned(&self, endpoint: u32, max: usize) -> Option<UpstreamId> {
        let abandoned = &self.by_endpoint.get(&endpoint)?.abandoned;
        if abandoned.len() <= max {
            return None;
        }
        let last_used = |id: &&UpstreamId| self.connections.get(id).map(|connection| connection.last_used);
        abandoned.iter().min_by_key(last_used).copied()
    }
}
