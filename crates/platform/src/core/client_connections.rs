//! Client connections: the framing of their requests, idle timeouts and eviction.
//!
//! This module owns the connections and their timeouts; the stage of a single one is in `connection`. It
//! never interprets the content of a request.

mod connection;

pub use connection::IdlePolicy;

use super::clock::MILLISECOND;
use connection::ClientConnection;
use linnetcart::Time;
use linnetcart_http::{parse_request, Request, RequestError};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a client's connection; assigned by the shell.
pub type ClientId = u64;

/// Interval of the search for connections that have timed out.
const SWEEP_INTERVAL: Time = 100 * MILLISECOND;

/// The request in the buffered bytes of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestEvent<'a> {
    /// The request is incomplete.
    Incomplete,
    /// One complete request and no further bytes.
    Complete(Request<'a>),
    /// The bytes are not a valid request.
    Malformed(RequestError),
    /// Further bytes follow a request that is not answered yet.
    Pipelined,
}

/// Whether received bytes have to be processed before the next iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The bytes are buffered until the next iteration.
    Buffered,
    /// The bytes cannot become a valid request; [`ClientConnections::request`] returns the reason.
    Malformed,
}

/// A connection that has timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueClient {
    /// The connection is idle.
    Idle(ClientId),
    /// The connection has sent part of a request.
    InRequest(ClientId),
}

/// The client connections.
#[derive(Debug)]
pub struct ClientConnections {
    capacity: usize,
    connections: BTreeMap<ClientId, ClientConnection>,
    /// Connections with bytes that no iteration has processed yet.
    unread: BTreeSet<ClientId>,
    /// Connections whose client sends no more. They are closed after the next iteration has answered their
    /// requests.
    half_closed: Vec<ClientId>,
    next_sweep: Time,
}

impl ClientConnections {
    /// Creates an empty set of at most `capacity` connections.
    pub fn new(capacity: usize, now: Time) -> ClientConnections {
        ClientConnections {
            capacity,
            connections: BTreeMap::new(),
            unread: BTreeSet::new(),
            half_closed: vec![],
            next_sweep: now,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection. If that exceeds the capacity, returns the connection that must be closed: the
    /// longest silent one of those that never sent a request, otherwise the longest idle one, otherwise the
    /// new one.
    pub fn opened(&mut self, id: ClientId, now: Time) -> Option<ClientId> {
        let evicted = if self.connections.len() >= self.capacity {
            Some(self.eviction_candidate(now).unwrap_or(id))
        } else {
            None
        };
        self.connections.insert(id, ClientConnection::new(now));
        if let Some(evicted) = evicted {
            self.closed(evicted);
        }
        evicted
    }

    fn eviction_candidate(&self, now: Time) -> Option<ClientId> {
        // Unread bytes may be a complete request, which would be lost with its connection.
        let has_unread_bytes =
            |id: &ClientId, client: &ClientConnection| self.unread.contains(id) && !client.request.is_empty();
        let candidates = self
            .connections
            .iter()
            .filter(|(id, client)| client.is_evictable(now) && !has_unread_bytes(id, client));
        let longest = candidates.min_by_key(|(&id, client)| (client.eviction_order(), id));
        longest.map(|(&id, _)| id)
    }

    /// Forgets a connection that is closed or is being closed.
    pub fn closed(&mut self, id: ClientId) {
        self.connections.remove(&id);
        self.unread.remove(&id);
    }

    /// Records that the client of a connection will send no more bytes.
    pub fn half_closed(&mut self, id: ClientId) {
        self.half_closed.push(id);
    }

    /// Takes the connections whose client sends no more.
    pub fn take_half_closed(&mut self) -> Vec<ClientId> {
        std::mem::take(&mut self.half_closed)
    }

    /// Buffers received bytes.
    pub fn receive(&mut self, id: ClientId, bytes: &[u8], now: Time) -> Received {
        let Some(client) = self.connections.get_mut(&id) else { return Received::Buffered };
        client.receive(bytes, now);
        self.unread.insert(id);
        match parse_request(&client.request) {
            Ok(_) => Received::Buffered,
            Err(_) => Received::Malformed,
        }
    }

    /// Takes the connections with bytes that no iteration has processed.
    pub fn take_unread(&mut self) -> BTreeSet<ClientId> {
        std::mem::take(&mut self.unread)
    }

    /// Returns the request in the buffered bytes of a connection.
    pub fn request(&self, id: ClientId) -> RequestEvent<'_> {
        let Some(client) = self.connections.get(&id) else { return RequestEvent::Incomplete };
        match parse_request(&client.request) {
            Ok(None) => RequestEvent::Incomplete,
            Ok(Some(request)) if request.length() < client.request.len() => RequestEvent::Pipelined,
            Ok(Some(request)) => RequestEvent::Complete(request),
            Err(error) => RequestEvent::Malformed(error),
        }
    }

    /// Returns when the last byte of the request arrived; the request's time limit counts from there.
    pub fn last_byte_at(&self, id: ClientId) -> Option<Time> {
        self.connections.get(&id).map(|client| client.last_byte_at)
    }

    /// Records that the connection's request will be answered later.
    pub fn mark_awaiting_answer(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.awaits_answer = true;
        }
    }

    /// Records that the connection's request was answered.
    pub fn answered(&mut self, id: ClientId, now: Time) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.answered(now);
        }
    }

    /// Returns when the next sweep is due.
    pub fn next_sweep(&self) -> Time {
        self.next_sweep
    }

    /// Begins a sweep if one is due, and schedules the next one. Returns whether it is due.
    pub fn begin_sweep(&mut self, now: Time) -> bool {
        if now < self.next_sweep {
            return false;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        true
    }

    /// Returns the connections that have timed out and, with [`IdlePolicy::Close`], all idle ones.
    pub fn overdue(&self, now: Time, idle: IdlePolicy) -> Vec<OverdueClient> {
        let mut overdue = Vec::new();
        for (&id, client) in &self.connections {
            if !client.is_overdue(now, idle) {
                continue;
            }
            overdue.push(if client.request.is_empty() {
                OverdueClient::Idle(id)
            } else {
                OverdueClient::InRequest(id)
            });
        }
        overdue
    }
}

#[cfg(test)]
mod tests;
