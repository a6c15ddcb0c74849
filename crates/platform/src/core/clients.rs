//! Connections of clients: what they send as requests, and which of them have to go.

use linnetcart::Time;
use linnetcart_http::{parse_request, Request, RequestError};
use std::collections::{BTreeMap, BTreeSet};

/// A client's connection, as the shell names it.
pub type ClientId = u64;

/// A first request has to be there this long after the connection, any other this long after its first byte.
const REQUEST_WITHIN: Time = 2_000_000_000;
/// A connection that has had an answer and asks nothing is kept for this long.
const IDLE: Time = 10_000_000_000;
/// A client connects to ask: one that has not yet may do so for this long, also when all idle ones are to go.
const FIRST_WITHIN: Time = 200_000_000;
/// One that asks nothing may go after this when another needs its place.
const SPARE_AFTER: Time = 2_000_000_000;

#[derive(Debug)]
struct Client {
    /// When it came, had its last answer or began its request.
    since: Time,
    /// When the last of its bytes came.
    came: Time,
    bytes: Vec<u8>,
    /// It has had an answer.
    known: bool,
    /// Its request waits for the round.
    asks: bool,
}

/// What a connection's bytes came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Step<'a> {
    /// Nothing yet.
    Wait,
    /// A request, and nothing beside it.
    Request(Request<'a>),
    /// No request: the refusal is sent and the connection ends.
    Bad(RequestError),
    /// Further requests before the first has its answer.
    Rude,
}

/// The connections.
#[derive(Debug)]
pub struct Clients {
    most: usize,
    all: BTreeMap<ClientId, Client>,
    fresh: BTreeSet<ClientId>,
}

impl Clients {
    /// At most so many are kept.
    pub fn new(most: usize) -> Clients {
        Clients { most, all: BTreeMap::new(), fresh: BTreeSet::new() }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// A client connected. Where it is one too many, the one that goes: the longest silent of those that never
    /// asked, or else the longest idle, or else the new one.
    pub fn opened(&mut self, id: ClientId, now: Time) -> Option<ClientId> {
        let mut goes = None;
        if self.all.len() >= self.most {
            let quiet = |c: &Client| !c.asks && (!c.known || c.since + SPARE_AFTER <= now);
            // Bytes that await the turn may be a whole request: ending its connection would lose it.
            let awaits = |id, c: &Client| self.fresh.contains(id) && !c.bytes.is_empty();
            let candidates = self.all.iter().filter(|(id, c)| quiet(c) && !awaits(id, c));
            let oldest = candidates.min_by_key(|(&id, c)| (c.known, c.since, id)).map(|(&id, _)| id);
            goes = Some(oldest.unwrap_or(id));
        }
        self.all.insert(id, Client { since: now, came: now, bytes: vec![], known: false, asks: false });
        goes.inspect(|&id| self.gone(id))
    }

    /// It is gone, or to be forgotten.
    pub fn gone(&mut self, id: ClientId) {
        self.all.remove(&id);
        self.fresh.remove(&id);
    }

    /// Bytes came. True: what is there is an error already, and [`Clients::step`] says which.
    pub fn bytes(&mut self, id: ClientId, bytes: &[u8], now: Time) -> bool {
        let Some(c) = self.all.get_mut(&id) else { return false };
        if c.bytes.is_empty() && c.known {
            c.since = now;
        }
        c.came = now;
        c.bytes.extend_from_slice(bytes);
        self.fresh.insert(id);
        parse_request(&c.bytes).is_err()
    }

    /// Connections with new bytes.
    pub fn fresh(&mut self) -> BTreeSet<ClientId> {
        std::mem::take(&mut self.fresh)
    }

    /// What a connection's bytes come to.
    pub fn step(&self, id: ClientId) -> Step<'_> {
        let Some(c) = self.all.get(&id) else { return Step::Wait };
        match parse_request(&c.bytes) {
            Ok(None) => Step::Wait,
            Ok(Some(r)) if r.length() < c.bytes.len() => Step::Rude,
            Ok(Some(r)) => Step::Request(r),
            Err(refusal) => Step::Bad(refusal),
        }
    }

    /// When the last of a request's bytes came: its time runs from there.
    pub fn came(&self, id: ClientId) -> Option<Time> {
        self.all.get(&id).map(|c| c.came)
    }

    /// Its request waits for the round.
    pub fn asks(&mut self, id: ClientId) {
        self.all.get_mut(&id).into_iter().for_each(|c| c.asks = true);
    }

    /// Its request has its answer.
    pub fn answered(&mut self, id: ClientId, now: Time) {
        if let Some(c) = self.all.get_mut(&id) {
            (c.since, c.known, c.asks, c.bytes) = (now, true, false, Vec::new());
        }
    }

    /// Those that took too long, each with whether it is in the middle of a request; and those that ask nothing
    /// when all such are to go.
    pub fn overdue(&self, now: Time, all_idle: bool) -> Vec<(ClientId, bool)> {
        let late = |c: &Client| {
            let within = if c.known && c.bytes.is_empty() { IDLE } else { REQUEST_WITHIN };
            let idle = c.bytes.is_empty() && (c.known || c.since + FIRST_WITHIN <= now);
            !c.asks && (c.since + within <= now || all_idle && idle)
        };
        self.all.iter().filter(|(_, c)| late(c)).map(|(&id, c)| (id, !c.bytes.is_empty())).collect()
    }
}

#[cfg(test)]
mod tests;
