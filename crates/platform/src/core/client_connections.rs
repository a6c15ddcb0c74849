//! Connections of clients: buffering and HTTP/1.1 framing of requests, timeouts, and eviction at the
//! capacity.
//!
//! The state of a single connection is in `connection`; the content of requests is interpreted by `request`.

mod buffer;
mod connection;
mod id_reservations;

pub use connection::{Arrival, IdlePolicy};

use super::clock::MILLISECOND;
use super::request::first_named_id;
use connection::ClientConnection;
use id_reservations::IdReservations;
use linnetcart::Time;
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_http::{Request, RequestError};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Identifies a client's connection; assigned by the shell.
pub type ClientId = u64;

/// Interval between two searches for connections that have timed out.
const SWEEP_INTERVAL: Time = 100 * MILLISECOND;

/// Maximum time that a complete request waits for an incomplete one that has named its id earlier. Together with a
/// process that is held up it is less than the 400 ms that a client waits for its answer.
pub const MAX_DEFERRAL: Time = 150 * MILLISECOND;
/// A request waits at most 1 / `DEFERRAL_DIVISOR` of the time that its message has left.
const DEFERRAL_DIVISOR: Time = 4;

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

/// How a connection ends in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection has no request, was removed and has to be closed.
    Close(ClientId),
    /// A part of a request was read: it has to be refused with an answer.
    Refuse(ClientId),
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

    /// If the buffered requests take more memory than they may, returns the one to be refused: the largest of those
    /// that are not complete. Returns `None` if all are complete, which the next iteration reads.
    pub fn over_memory(&self) -> Option<ClientId> {
        if !self.memory.is_exceeded() {
            return None;
        }
        let partial =
            self.connections.iter().filter_map(|(&id, client)| Some((client.partial_request()?, id)));
        partial.min().map(|(_, id)| id)
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

    /// If there are more connections than the capacity, returns the one that must end: the first in
    /// [`ClientEvictionOrder`](connection::ClientEvictionOrder). Returns `None` within the capacity, or if each connection has a complete request that is not
    /// answered. Must be called once the input of an iteration is read.
    pub fn evict(&mut self, now: Time) -> Option<Eviction> {
        if self.connections.len() <= self.capacity {
            return None;
        }
        let orders =
            self.connections.iter().filter_map(|(&id, client)| Some((client.eviction_order(now)?, id)));
        let (order, id) =
            orders.min_by_key(|&(order, id)| (order, order.prefers_newest().then_some(Reverse(id)), id))?;
        if order.has_part_of_request() {
            return Some(Eviction::Refuse(id));
        }
        self.closed(id);
        Some(Eviction::Close(id))
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
        let (unread, read) =
            half_closed.into_iter().partition(|&id| self.is_unread(id) || self.deferred.contains(&id));
        self.half_closed = unread;
        read
    }

    fn is_unread(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|client| client.is_unread)
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

    /// Reserves the id that a request names, once its line has arrived.
    fn reserve_named_id(&mut self, id: ClientId) {
        let Some(client) = self.connections.get_mut(&id) else { return };
        if client.reservation.is_none() {
            let named = first_named_id(client.request.bytes());
            client.reservation = named.map(|named| self.reservations.reserve(&named));
        }
    }

    fn release_id(&mut self, id: ClientId) {
        let reservation = self.connections.get_mut(&id).and_then(|client| client.reservation.take());
        if let Some(reservation) = reservation {
            self.reservations.release(reservation);
        }
    }

    /// Whether another connection's request has named the same id earlier and is not answered.
    fn is_preceded(&self, id: ClientId) -> bool {
        let reservation = self.connections.get(&id).and_then(|client| client.reservation);
        reservation.is_some_and(|reservation| self.reservations.is_preceded(reservation))
    }

    /// Defers a connection's complete request while another one that has named its id earlier is incomplete: for
    /// [`MAX_DEFERRAL`] at most, or a part of the time that its message has left, and only while there is memory for it.
    /// Returns whether it is deferred.
    pub fn defer(&mut self, id: ClientId, time_remaining: Time, now: Time) -> bool {
        let is_preceded = self.is_preceded(id) && !self.is_memory_half_used();
        let Some(client) = self.connections.get_mut(&id).filter(|_| is_preceded) else { return false };
        let longest = MAX_DEFERRAL.min(time_remaining / DEFERRAL_DIVISOR);
        if *client.deferred_until.get_or_insert(now + longest) <= now {
            return false;
        }
        self.deferred.push(id);
        true
    }

    /// Returns until when a connection's request is deferred: 0 if it need not wait any longer.
    fn deferred_until(&self, id: ClientId) -> Time {
        if !self.is_preceded(id) || self.is_memory_half_used() {
            return 0;
        }
        self.connections.get(&id).and_then(|client| client.deferred_until).unwrap_or(0)
    }

    /// Returns when the first deferred request is due to be read again; `None` if none is deferred.
    pub fn next_deferred(&self) -> Option<Time> {
        self.deferred.iter().map(|&id| self.deferred_until(id)).min()
    }

    /// Passes the deferred requests that are due at `now` to the next parsing, behind those that have just arrived.
    pub fn resume_deferred(&mut self, now: Time) {
        let deferred = std::mem::take(&mut self.deferred);
        let (due, waiting) = deferred.into_iter().partition(|&id| self.deferred_until(id) <= now);
        self.deferred = waiting;
        let due: Vec<ClientId> = due;
        for id in due {
            self.mark_unread(id);
        }
    }

    fn mark_unread(&mut self, id: ClientId) {
        let Some(client) = self.connections.get_mut(&id) else { return };
        if !client.is_unread {
            client.is_unread = true;
            self.unread.push_back(id);
        }
    }

    /// Whether connections have received bytes that no iteration has parsed.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Whether connections have received bytes that no iteration has parsed, or requests that are deferred.
    pub fn has_unread_or_deferred(&self) -> bool {
        self.has_unread() || !self.deferred.is_empty()
    }

    /// Takes the next connection with bytes that no iteration has parsed, in the order in which those arrived.
    pub fn take_unread(&mut self) -> Option<ClientId> {
        let id = self.unread.pop_front()?;
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_unread = false;
        }
        Some(id)
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
