//! Connections as TCP makes them: in order in each direction, with a delay, and an end that each side learns
//! of for itself. A direction may be blocked; what is sent meanwhile waits in the sender's system and leaves
//! after.

mod connection;
mod faults;
#[cfg(test)]
mod tests;

use crate::model::DelayDistribution;
pub use connection::{
    Connection, Direction, HeldSegment, Peer, PerDirection, Segment, Side, SOCKET_BUFFER_BYTES,
};
use faults::ActiveFaults;
pub use faults::Block;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, UpstreamId};
use linnetcart_scenario::runner::Token;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whether a segment is sent for the first time or again, after a partition held it. Its bytes count once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// By its sender.
    First,
    /// By its sender's system, after a partition.
    Released,
}

/// A segment that is sent.
#[derive(Clone, Copy, Debug)]
pub struct Transmission<'a> {
    /// When.
    pub now: Time,
    /// On which connection.
    pub token: Token,
    /// In which direction.
    pub direction: Direction,
    /// What.
    pub segment: &'a Segment,
    /// Whether for the first time.
    pub kind: SendKind,
}

/// All connections, by token, courier and the numbers that couriers give them.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: BTreeMap<Token, Connection>,
    by_courier: BTreeMap<u32, BTreeSet<Token>>,
    by_client: BTreeMap<(u32, ClientId), Token>,
    by_upstream: BTreeMap<(u32, UpstreamId), Token>,
    faults: ActiveFaults,
    last_token: Token,
}

impl ConnectionTable {
    /// Opens a connection of a client, which the courier numbers by its token.
    pub fn open_from_client(&mut self, now: Time, courier: u32, incarnation: u32) -> Token {
        let token = self.next_token();
        self.by_client.insert((courier, token), token);
        self.insert(token, Connection::new(courier, incarnation, Peer::Client(token), now))
    }

    /// Opens a connection to an endpoint, under the courier's own number for it.
    pub fn open_to_endpoint(
        &mut self,
        now: Time,
        courier: u32,
        incarnation: u32,
        upstream: UpstreamId,
        endpoint: u32,
    ) -> Token {
        let token = self.next_token();
        self.by_upstream.insert((courier, upstream), token);
        let peer = Peer::Endpoint { upstream, endpoint };
        self.insert(token, Connection::new(courier, incarnation, peer, now))
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    fn insert(&mut self, token: Token, connection: Connection) -> Token {
        self.by_courier.entry(connection.courier).or_default().insert(token);
        self.connections.insert(token, connection);
        token
    }

    /// A connection.
    pub fn get(&self, token: Token) -> Option<&Connection> {
        self.connections.get(&token)
    }

    /// The connection of a client, by the courier's number.
    pub fn of_client(&self, courier: u32, client: ClientId) -> Option<Token> {
        self.by_client.get(&(courier, client)).copied()
    }

    /// The connection to an endpoint, by the courier's number.
    pub fn of_upstream(&self, courier: u32, upstream: UpstreamId) -> Option<Token> {
        self.by_upstream.get(&(courier, upstream)).copied()
    }

    /// All connections of a courier.
    pub fn of_courier(&self, courier: u32) -> Vec<Token> {
        self.by_courier.get(&courier).into_iter().flatten().copied().collect()
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Blocks directions of connections until [`ConnectionTable::end_partition`] of the same fault.
    pub fn begin_partition(&mut self, fault: usize, blocks: Vec<Block>) {
        self.faults.begin_partition(fault, blocks);
    }

    /// Ends a partition. Returns connections and directions on which something waits and that are open now.
    pub fn end_partition(&mut self, fault: usize) -> Vec<(Token, Direction)> {
        self.faults.end_partition(fault);
        let mut unblocked = Vec::new();
        for (&token, connection) in &self.connections {
            for direction in Direction::BOTH {
                let is_waiting = !connection.streams.get(direction).held.is_empty();
                if is_waiting && !self.faults.blocks(connection, direction) {
                    unblocked.push((token, direction));
                }
            }
        }
        unblocked
    }

    /// Adds a delay each way to connections of these couriers until [`ConnectionTable::end_slowdown`].
    pub fn begin_slowdown(&mut self, fault: usize, couriers: Vec<u32>, extra_delay: Time) {
        self.faults.begin_slowdown(fault, couriers, extra_delay);
    }

    /// Ends a slowdown.
    pub fn end_slowdown(&mut self, fault: usize) {
        self.faults.end_slowdown(fault);
    }

    /// Breaks a connection: this share of the next data still arrives. The first break of a connection
    /// counts.
    pub fn break_connection(&mut self, token: Token, surviving_share: PerDirection<f64>) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.surviving_share.get_or_insert(surviving_share);
        }
    }

    /// Nothing more arrives of what was sent before the connection broke.
    pub fn end_surviving_data(&mut self, token: Token, direction: Direction) {
        let connection = self.connections.get_mut(&token);
        if let Some(share) = connection.and_then(|connection| connection.surviving_share.as_mut()) {
            *share.get_mut(direction) = 0.0;
        }
    }

    /// Takes out what waits on a direction, to be sent again.
    pub fn release(&mut self, token: Token, direction: Direction) -> VecDeque<HeldSegment> {
        match self.connections.get_mut(&token) {
            Some(connection) => connection.streams.get_mut(direction).release(),
            None => VecDeque::new(),
        }
    }

    /// Sends a segment. Returns when it arrives, or none if it waits behind a partition. A delay is drawn
    /// only for a segment that leaves.
    pub fn send(
        &mut self,
        transmission: Transmission<'_>,
        delay: &DelayDistribution,
        rng: &mut ChaCha8Rng,
    ) -> Option<Time> {
        let Transmission { now, token, direction, segment, kind } = transmission;
        let connection = self.connections.get_mut(&token)?;
        let blocked = self.faults.blocks(connection, direction);
        let extra_delay = self.faults.extra_delay(connection.courier);
        let stream = connection.streams.get_mut(direction);
        if kind == SendKind::First {
            stream.bytes_sent += segment.length();
        }
        if blocked {
            stream.hold(now, segment.clone());
            return None;
        }
        let arrival = now + extra_delay + delay.sample(rng);
        stream.last_arrival = stream.last_arrival.max(arrival);
        Some(stream.last_arrival)
    }

    /// Notes the arrival of a segment that was sent at `sent_at`.
    pub fn note_arrival(
        &mut self,
        now: Time,
        sent_at: Time,
        token: Token,
        direction: Direction,
        segment: &Segment,
    ) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.streams.get_mut(direction).last_transit = now.saturating_sub(sent_at);
        if direction == Direction::ToCourier && matches!(segment, Segment::Data(_)) {
            connection.courier_received_data = true;
        }
    }

    /// How long the segment that came last from the courier was on its way.
    pub fn last_transit_from_courier(&self, token: Token) -> Time {
        self.courier_stream(token).map_or(0, |stream| stream.last_transit)
    }

    /// Bytes that the courier's system has taken of what the courier sent.
    pub fn bytes_taken(&self, token: Token) -> u64 {
        self.courier_stream(token).map_or(0, connection::Stream::bytes_taken)
    }

    /// Bytes that the courier's system has not taken yet.
    pub fn backlog(&self, token: Token) -> u64 {
        self.courier_stream(token).map_or(0, connection::Stream::backlog)
    }

    fn courier_stream(&self, token: Token) -> Option<&connection::Stream> {
        Some(&self.connections.get(&token)?.streams.from_courier)
    }

    /// Closes one end; true if the other side is still to learn of it. What was sent before still travels,
    /// but not what a partition holds: a connection that is given up then breaks.
    pub fn close_end(&mut self, token: Token, side: Side) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let other = match side {
            Side::Courier => Side::Peer,
            Side::Peer => Side::Courier,
        };
        let closed_now = connection.close_end(side);
        let other_open = connection.is_open(other);
        connection.streams.get_mut(side.sends()).drop_held_data();
        if !connection.is_open(side) && !other_open {
            self.remove(token);
        }
        closed_now && other_open
    }

    fn remove(&mut self, token: Token) {
        let Some(connection) = self.connections.remove(&token) else { return };
        let courier = connection.courier;
        match connection.peer {
            Peer::Client(client) => self.by_client.remove(&(courier, client)),
            Peer::Endpoint { upstream, .. } => self.by_upstream.remove(&(courier, upstream)),
        };
        if let Some(tokens) = self.by_courier.get_mut(&courier) {
            tokens.remove(&token);
        }
    }
}
