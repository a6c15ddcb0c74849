//! Connections of clients: what their bytes amount to, and which of them are closed for their silence.
//!
//! It owns the connections and their timeouts. It never knows what a request asks.

use super::clock::MILLISECOND;
use linnetcart::Time;
use linnetcart_http::{parse_request, Request, RequestError};
use std::collections::{BTreeMap, BTreeSet};

/// A client's connection, as the shell names it.
pub type ClientId = u64;

/// A first request is complete this long after the connection, any other this long after its first byte.
const REQUEST_TIMEOUT: Time = 2000 * MILLISECOND;
/// A connection that has had an answer and asks nothing is kept for this long.
const IDLE_TIMEOUT: Time = 10_000 * MILLISECOND;
/// A client connects to ask: one that has not yet may do so for this long, also when all idle ones are closed.
const FIRST_REQUEST_GRACE: Time = 200 * MILLISECOND;
/// A connection that asks nothing may be closed after this when another needs its place.
const EVICTABLE_IDLE_TIME: Time = 2000 * MILLISECOND;
/// How often connections are looked through for those whose time is up.
const SWEEP_INTERVAL: Time = 100 * MILLISECOND;

/// A client's connection.
#[derive(Debug)]
struct ClientConnection {
    /// When it came, had its last answer or began its request.
    since: Time,
    last_byte_at: Time,
    request: Vec<u8>,
    had_answer: bool,
    /// Its request has no answer yet.
    awaits_answer: bool,
}

impl ClientConnection {
    fn new(now: Time) -> ClientConnection {
        ClientConnection {
            since: now,
            last_byte_at: now,
            request: vec![],
            had_answer: false,
            awaits_answer: false,
        }
    }

    fn is_evictable(&self, now: Time) -> bool {
        !self.awaits_answer && (!self.had_answer || self.since + EVICTABLE_IDLE_TIME <= now)
    }

    fn is_overdue(&self, now: Time, idle: IdlePolicy) -> bool {
        if self.awaits_answer {
            return false;
        }
        let is_silent = self.request.is_empty();
        let timeout = if self.had_answer && is_silent { IDLE_TIMEOUT } else { REQUEST_TIMEOUT };
        let may_still_ask = !self.had_answer && now < self.since + FIRST_REQUEST_GRACE;
        let is_idle = is_silent && !may_still_ask;
        self.since + timeout <= now || (idle == IdlePolicy::Close && is_idle)
    }
}

/// What a connection's bytes amount to.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestEvent<'a> {
    /// No complete request.
    Incomplete,
    /// A request, and nothing behind it.
    Complete(Request<'a>),
    /// No request.
    Malformed(RequestError),
    /// Further bytes behind a request that has no answer yet.
    Pipelined,
}

/// Whether bytes have to be looked at before the iteration that they came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// They wait for the iteration.
    Buffered,
    /// They are no request already, and [`ClientConnections::request`] says why.
    Malformed,
}

/// What becomes of connections that ask nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// They are kept for a while.
    Keep,
    /// They are closed.
    Close,
}

/// A connection whose time is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdueClient {
    /// It asks nothing.
    Idle(ClientId),
    /// Its request is incomplete.
    InRequest(ClientId),
}

/// The connections.
#[derive(Debug)]
pub struct ClientConnections {
    capacity: usize,
    connections: BTreeMap<ClientId, ClientConnection>,
    /// With bytes that no iteration has looked at.
    unread: BTreeSet<ClientId>,
    /// Send no more; they are closed when what they asked before is answered.
    half_closed: Vec<ClientId>,
    next_sweep: Time,
}

impl ClientConnections {
    /// At most `capacity` are kept.
    pub fn new(capacity: usize, now: Time) -> ClientConnections {
        ClientConnections {
            capacity,
            connections: BTreeMap::new(),
            unread: BTreeSet::new(),
            half_closed: vec![],
            next_sweep: now,
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// A client connected. Where it is one too many, the one that is to be closed: the longest silent of those that
    /// never asked, or else the longest idle, or else the new one.
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
        // Unread bytes may be a whole request: closing its connection would lose it.
        let has_unread_bytes =
            |id: &ClientId, client: &ClientConnection| self.unread.contains(id) && !client.request.is_empty();
        let candidates = self
            .connections
            .iter()
            .filter(|(id, client)| client.is_evictable(now) && !has_unread_bytes(id, client));
        let longest = candidates.min_by_key(|(&id, client)| (client.had_answer, client.since, id));
        longest.map(|(&id, _)| id)
    }

    /// It is closed, or is being closed.
    pub fn closed(&mut self, id: ClientId) {
        self.connections.remove(&id);
        self.unread.remove(&id);
    }

    /// It sends no more.
    pub fn half_closed(&mut self, id: ClientId) {
        self.half_closed.push(id);
    }

    /// Takes those that send no more.
    pub fn take_half_closed(&mut self) -> Vec<ClientId> {
        std::mem::take(&mut self.half_closed)
    }

    /// Bytes came.
    pub fn receive(&mut self, id: ClientId, bytes: &[u8], now: Time) -> Received {
        let Some(client) = self.connections.get_mut(&id) else { return Received::Buffered };
        if client.request.is_empty() && client.had_answer {
            client.since = now;
        }
        client.last_byte_at = now;
        client.request.extend_from_slice(bytes);
        self.unread.insert(id);
        match parse_request(&client.request) {
            Ok(_) => Received::Buffered,
            Err(_) => Received::Malformed,
        }
    }

    /// Takes the connections with unread bytes.
    pub fn take_unread(&mut self) -> BTreeSet<ClientId> {
        std::mem::take(&mut self.unread)
    }

    /// What a connection's bytes amount to.
    pub fn request(&self, id: ClientId) -> RequestEvent<'_> {
        let Some(client) = self.connections.get(&id) else { return RequestEvent::Incomplete };
        match parse_request(&client.request) {
            Ok(None) => RequestEvent::Incomplete,
            Ok(Some(request)) if request.length() < client.request.len() => RequestEvent::Pipelined,
            Ok(Some(request)) => RequestEvent::Complete(request),
            Err(error) => RequestEvent::Malformed(error),
        }
    }

    /// When the last byte of its request came, from which the request's time runs.
    pub fn last_byte_at(&self, id: ClientId) -> Option<Time> {
        self.connections.get(&id).map(|client| client.last_byte_at)
    }

    /// Its request is answered later.
    pub fn awaits_answer(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.awaits_answer = true;
        }
    }

    /// Its request is answered.
    pub fn answered(&mut self, id: ClientId, now: Time) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.since = now;
            client.had_answer = true;
            client.awaits_answer = false;
            client.request = Vec::new();
        }
    }

    /// When the next sweep is due.
    pub fn next_sweep(&self) -> Time {
        self.next_sweep
    }

    /// True where a sweep is due; the next one is an interval later.
    pub fn begin_sweep(&mut self, now: Time) -> bool {
        if now < self.next_sweep {
            return false;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        true
    }

    /// Connections whose time is up, and those that ask nothing where such are to be closed.
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
