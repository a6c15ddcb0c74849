//! Connections of clients: buffering and HTTP/1.1 framing of requests, timeouts, and eviction at the
//! capacity.
//!
//! The state of a single connection is in `connection`, the order in which requests are parsed in `reading_order`, and the end
//! of connections in favour of others in `eviction`. The content of requests is interpreted by `request`.

mod buffer;
mod connection;
mod eviction;
mod id_reservations;
pub(super) mod reading_order;

pub use connection::{Arrival, IdlePolicy};
pub use eviction::{EvictedClient, EvictedState, Eviction};

use super::clock::MILLISECOND;
use connection::ClientConnection;
use id_reservations::IdReservations;
use linnetcart::Time;
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_http::{Request, RequestError};
use std::collections::{BTreeMap, VecDeque};

/// Identifies a client's connection; assigned by the shell.
pub type ClientId = u64;

/// Interval between two searches for connections that have timed out.
const SWEEP_INTERVAL: Time = 100 * MILLISECOND;

/// The result of parsing the buffered bytes of a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum BufferedRequest<'a> {
    /// The request is incomplete.
    Incomplete,
    /// The bytes are exactly one complete request.
    Complete(Request<'a>),
    /// The bytes are not a valid request.
    Malformed(RequestError),
    /// The client sent further bytes after a request without waiting for its response (HTTP pipelining).
    Pipelined,
}

/// Whether received bytes can still become a valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The bytes can become a valid request; they are buffered until the next iteration parses them.
    Buffered,
    /// The bytes cannot become a valid request, which is rejected at once. [`ClientConnections::request`]
    /// returns the reason.
    Malformed,
}

/// A connection that has timed out or, with [`IdlePolicy::Close`], is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiredClient {
    /// No byte of a request has arrived.
    Idle(ClientId),
    /// A part of a request has arrived.
    InRequest(ClientId),
}

/// The open connections of clients, at most `capacity`, with their buffered requests. Times are monotonic, in
/// nanoseconds.
#[derive(Debug)]
pub struct ClientConnections {
    capacity: usize,
    connections: BTreeMap<ClientId, ClientConnection>,
    /// Connections with received bytes that no iteration has parsed yet, in the order in which those arrived.
    unread: VecDeque<ClientId>,
    /// Connections whose complete request waits for one that has named its id earlier, in the order of deferral.
    deferred: Vec<ClientId>,
    reservations: IdReservations,
    /// Connections that their client has half-closed; closed once an iteration has answered their requests.
    half_closed: Vec<ClientId>,
    next_sweep: Time,
    /// The bytes of the buffered requests.
    memory: MemoryAccount,
}

impl ClientConnections {
    /// Creates an empty table for at most `capacity` connections, whose requests may take `memory_bytes`.
    pub fn new(capacity: usize, memory_bytes: usize, now: Time) -> ClientConnections {
        ClientConnections {
            capacity,
            connections: BTreeMap::new(),
            unread: VecDeque::new(),
            deferred: vec![],
            reservations: IdReservations::default(),
            half_closed: vec![],
            next_sweep: now,
            memory: MemoryAccount::new(memory_bytes),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of bytes that are held of requests that are not answered.
    pub fn request_bytes(&self) -> usize {
        self.memory.held()
    }

    /// Whether the buffered requests take more than half of the memory that they may take.
    pub fn is_memory_half_used(&self) -> bool {
        self.memory.is_half_used()
    }

    /// Changes a connection, and accounts for the memory of its request.
    fn update<T>(&mut self, id: ClientId, change: impl FnOnce(&mut ClientConnection) -> T) -> Option<T> {
        let client = self.connections.get_mut(&id)?;
        let before = client.request.held_bytes();
        let result = change(client);
        self.memory.resize(before, client.request.held_bytes());
        Some(result)
    }

    /// Adds a connection. [`ClientConnections::evict`] keeps the number within the capacity.
    pub fn opened(&mut self, id: ClientId, now: Time) {
        self.connections.insert(id, ClientConnection::new(now));
    }

    /// Removes a connection that is closed or is being closed.
    pub fn closed(&mut self, id: ClientId) {
        let Some(client) = self.connections.remove(&id) else { return };
        self.memory.resize(client.request.held_bytes(), 0);
        if client.is_unread {
            self.unread.retain(|unread| *unread != id);
        }
        self.deferred.retain(|deferred| *deferred != id);
        if let Some(reservation) = client.reservation {
            self.reservations.release(reservation);
        }
    }

    /// Records that the client has half-closed a connection: it sends no more bytes.
    pub fn half_closed(&mut self, id: ClientId) {
        self.half_closed.push(id);
    }

    /// Takes the connections that their client has half-closed and whose bytes were all parsed.
    pub fn take_half_closed(&mut self) -> Vec<ClientId> {
        let half_closed = std::mem::take(&mut self.half_closed);
        let (unread, read) = half_closed.into_iter().partition(|&id| self.is_unread_or_deferred(id));
        self.half_closed = unread;
        read
    }

    /// Buffers received bytes, and checks whether they can become a valid request.
    pub fn receive(&mut self, id: ClientId, bytes: &[u8], arrival: Arrival) -> Received {
        let progress = self.update(id, |client| {
            let was_in_head = client.request.is_in_head();
            client.receive(bytes, arrival);
            (was_in_head, client.request.is_malformed())
        });
        let Some((was_in_head, is_malformed)) = progress else { return Received::Buffered };
        self.mark_unread(id);
        if is_malformed {
            return Received::Malformed;
        }
        // A field ends with its line.
        if was_in_head && bytes.contains(&b'\n') {
            self.reserve_named_id(id);
        }
        Received::Buffered
    }

    /// Parses the buffered bytes of a connection.
    pub fn request(&self, id: ClientId) -> BufferedRequest<'_> {
        let Some(client) = self.connections.get(&id) else { return BufferedRequest::Incomplete };
        if client.awaits_answer {
            return BufferedRequest::Pipelined;
        }
        match client.request.request() {
            Ok(None) => BufferedRequest::Incomplete,
            Ok(Some(request)) if request.length() < client.request.bytes().len() => {
                BufferedRequest::Pipelined
            }
            Ok(Some(request)) => BufferedRequest::Complete(request),
            Err(error) => BufferedRequest::Malformed(error),
        }
    }

    /// Returns the received bytes of a connection's request, complete or not; none if the connection is closed.
    pub fn received(&self, id: ClientId) -> &[u8] {
        self.connections.get(&id).map_or(&[], |client| client.request.bytes())
    }

    /// Returns when the last byte of a connection's request arrived at the earliest, from which the message's time
    /// remaining counts; `None` if the connection is closed.
    pub fn last_byte_at(&self, id: ClientId) -> Option<Time> {
        self.connections.get(&id).map(|client| client.last_byte_at)
    }

    /// Records that a connection's request is complete and will be answered later. Its body is not needed any more.
    pub fn mark_awaiting_answer(&mut self, id: ClientId) {
        self.update(id, |client| {
            client.awaits_answer = true;
            client.request.free_body();
        });
        self.release_id(id);
    }

    /// Records that a connection's request is refused before all of it was read.
    pub fn mark_cut_off(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_cut_off = true;
        }
    }

    /// Whether a connection's request was refused before all of it was read.
    pub fn is_cut_off(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|client| client.is_cut_off)
    }

    /// Records that a connection's request was answered.
    pub fn answered(&mut self, id: ClientId, now: Time) {
        self.update(id, |client| client.answered(now));
        self.release_id(id);
        self.deferred.retain(|deferred| *deferred != id);
    }

    /// Returns when the next sweep, the search for connections that have timed out, is due.
    pub fn next_sweep(&self) -> Time {
        self.next_sweep
    }

    /// Returns whether a sweep is due, and if so schedules the next one.
    pub fn begin_sweep(&mut self, now: Time) -> bool {
        if now < self.next_sweep {
            return false;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        true
    }

    /// Returns the connections that have timed out and, with [`IdlePolicy::Close`], all idle ones.
    pub fn expired(&self, now: Time, idle: IdlePolicy) -> Vec<ExpiredClient> {
        let mut expired = Vec::new();
        for (&id, client) in &self.connections {
            if !client.is_expired(now, idle) {
                continue;
            }
            expired.push(if client.request.is_empty() {
                ExpiredClient::Idle(id)
            } else {
                ExpiredClient::InRequest(id)
            });
        }
        expired
    }
}

#[cfg(test)]
mod tests;
