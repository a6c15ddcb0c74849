//! Connections that behave like TCP: segments arrive in order in each direction, with a delay, and each side
//! learns separately that the connection ended. A direction may be blocked by a partition; segments sent
//! meanwhile are queued at the sender and leave when the partition ends.

mod connection;
mod faults;
#[cfg(test)]
mod tests;

use crate::host::CourierIncarnation;
use crate::model::DelayDistribution;
pub use connection::{
    Connection, Direction, Peer, PerDirection, QueuedSegment, Segment, Side, StreamId, SOCKET_BUFFER_BYTES,
};
use faults::ActiveFaults;
pub use faults::Block;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, UpstreamId};
use linnetcart_scenario::runner::Token;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whether a segment is sent for the first time, or released from the queue after a partition. Its bytes are
/// counted as sent only the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// Sent by the courier, client or endpoint.
    First,
    /// Released from the queue of its sender after a partition.
    Released,
}

/// A segment that is sent, with its connection, direction and time.
#[derive(Clone, Copy, Debug)]
pub struct Transmission<'a> {
    /// When the segment is sent, in nanoseconds on the network's clock.
    pub now: Time,
    /// The connection that carries the segment.
    pub token: Token,
    /// Whether the segment travels to or from the courier.
    pub direction: Direction,
    /// The data, or the step of opening or closing the connection, that is sent.
    pub segment: &'a Segment,
    /// Whether the segment is sent for the first time.
    pub kind: SendKind,
}

/// The id of a client or upstream connection, with the number of the courier that uses the id. Couriers
/// assign ids independently, so only both together are unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LocalId<Id> {
    courier: u32,
    id: Id,
}

/// All connections, indexed by token, by courier, and by the ids that couriers assigned to them.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: BTreeMap<Token, Connection>,
    by_courier: BTreeMap<u32, BTreeSet<Token>>,
    by_client: BTreeMap<LocalId<ClientId>, Token>,
    by_upstream: BTreeMap<LocalId<UpstreamId>, Token>,
    faults: ActiveFaults,
    last_token: Token,
}

impl ConnectionTable {
    /// Opens a connection from a client to a courier at `now`, and returns its token, which is also the
    /// courier's id of the client.
    pub fn open_from_client(&mut self, now: Time, program: CourierIncarnation) -> Token {
        let token = self.next_token();
        let courier = program.courier;
        self.by_client.insert(LocalId { courier, id: token }, token);
        self.insert(token, Connection::new(program, Peer::Client(token), now))
    }

    /// Opens a connection from a courier to an endpoint at `now`, and returns its token. `upstream` is the
    /// courier's id of the connection.
    pub fn open_to_endpoint(
        &mut self,
        now: Time,
        program: CourierIncarnation,
        upstream: UpstreamId,
        endpoint: u32,
    ) -> Token {
        let token = self.next_token();
        self.by_upstream.insert(LocalId { courier: program.courier, id: upstream }, token);
        let peer = Peer::Endpoint { upstream, endpoint };
        self.insert(token, Connection::new(program, peer, now))
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

    /// Returns a connection, or `None` if both its ends are closed.
    pub fn get(&self, token: Token) -> Option<&Connection> {
        self.connections.get(&token)
    }

    /// Returns the token of the connection that the courier identifies by this client id, or `None` if there
    /// is none.
    pub fn of_client(&self, courier: u32, client: ClientId) -> Option<Token> {
        self.by_client.get(&LocalId { courier, id: client }).copied()
    }

    /// Returns the token of the connection that the courier identifies by this upstream connection id, or
    /// `None` if there is none.
    pub fn of_upstream(&self, courier: u32, upstream: UpstreamId) -> Option<Token> {
        self.by_upstream.get(&LocalId { courier, id: upstream }).copied()
    }

    /// Returns the tokens of all connections of a courier, in ascending order.
    pub fn of_courier(&self, courier: u32) -> Vec<Token> {
        self.by_courier.get(&courier).into_iter().flatten().copied().collect()
    }

    /// Returns the number of connections of which at least one end is open.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Begins a partition, which blocks these directions until [`ConnectionTable::end_partition`] is called
    /// with the same fault number.
    pub fn begin_partition(&mut self, fault: usize, blocks: Vec<Block>) {
        self.faults.begin_partition(fault, blocks);
    }

    /// Ends the partition with this fault number. Returns the streams that have queued segments and that no
    /// other partition blocks.
    pub fn end_partition(&mut self, fault: usize) -> Vec<StreamId> {
        self.faults.end_partition(fault);
        let mut unblocked = Vec::new();
        for (&token, connection) in &self.connections {
            for direction in Direction::BOTH {
                let has_queued = !connection.streams.get(direction).queued.is_empty();
                if has_queued && !self.faults.blocks(connection, direction) {
                    unblocked.push(StreamId { token, direction });
                }
            }
        }
        unblocked
    }

    /// Adds `extra_delay` nanoseconds in each direction to the connections of these couriers, until
    /// [`ConnectionTable::end_slowdown`] is called with the same fault number.
    pub fn begin_slowdown(&mut self, fault: usize, couriers: Vec<u32>, extra_delay: Time) {
        self.faults.begin_slowdown(fault, couriers, extra_delay);
    }

    /// Removes the additional delay of the slowdown with this fault number.
    pub fn end_slowdown(&mut self, fault: usize) {
        self.faults.end_slowdown(fault);
    }

    /// Breaks a connection: of the next data segment in each direction only the first part still arrives,
    /// given as a fraction from 0 to 1 of its bytes. Does nothing if the connection is already broken.
    pub fn break_connection(&mut self, token: Token, surviving_fraction: PerDirection<f64>) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.surviving_fraction.get_or_insert(surviving_fraction);
        }
    }

    /// Sets the surviving fraction of a broken connection to 0 in this direction, so that all further data is
    /// lost.
    pub fn end_surviving_data(&mut self, token: Token, direction: Direction) {
        let connection = self.connections.get_mut(&token);
        if let Some(fraction) = connection.and_then(|connection| connection.surviving_fraction.as_mut()) {
            *fraction.get_mut(direction) = 0.0;
        }
    }

    /// Removes and returns the segments of a stream that a partition had queued, to be sent now.
    pub fn release(&mut self, stream: StreamId) -> VecDeque<QueuedSegment> {
        match self.connections.get_mut(&stream.token) {
            Some(connection) => connection.streams.get_mut(stream.direction).release(),
            None => VecDeque::new(),
        }
    }

    /// Sends a segment. Returns when it arrives, which is `now + extra_delay + delay` but no earlier than the
    /// segment before it, or `None` if it is queued until a partition ends. A delay is drawn from `rng` only
    /// for a segment that is not queued.
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
            stream.enqueue(now, segment.clone());
            return None;
        }
        let arrival = now + extra_delay + delay.sample(rng);
        stream.last_arrival = stream.last_arrival.max(arrival);
        Some(stream.last_arrival)
    }

    /// Records the travel time `now - sent_at` of a segment that arrives, and whether it brought data to the
    /// courier.
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

    /// Returns the travel time, in nanoseconds, of the segment from the courier that arrived last, with any
    /// wait for a partition to end; 0 if there is no such segment or connection.
    pub fn last_transit_from_courier(&self, token: Token) -> Time {
        self.courier_stream(token).map_or(0, |stream| stream.last_transit)
    }

    /// Returns the number of bytes from the courier that its socket buffer has accepted; 0 if there is no
    /// such connection.
    pub fn bytes_accepted(&self, token: Token) -> u64 {
        self.courier_stream(token).map_or(0, connection::Stream::bytes_accepted)
    }

    /// Returns the number of bytes from the courier that wait because its socket buffer is full; 0 if there
    /// is no such connection.
    pub fn backlog(&self, token: Token) -> u64 {
        self.courier_stream(token).map_or(0, connection::Stream::backlog)
    }

    fn courier_stream(&self, token: Token) -> Option<&connection::Stream> {
        Some(&self.connections.get(&token)?.streams.from_courier)
    }

    /// Closes one end. Returns whether the other side must be notified, which it must if both ends were open.
    /// Segments that this end sent before still arrive, except data that a partition has queued, which is
    /// lost.
    pub fn close_end(&mut self, token: Token, side: Side) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let other = match side {
            Side::Courier => Side::Peer,
            Side::Peer => Side::Courier,
        };
        let closed_now = connection.close_end(side);
        let other_open = connection.is_open(other);
        connection.streams.get_mut(side.sending_direction()).drop_queued_data();
        if !connection.is_open(side) && !other_open {
            self.remove(token);
        }
        closed_now && other_open
    }

    fn remove(&mut self, token: Token) {
        let Some(connection) = self.connections.remove(&token) else { return };
        let courier = connection.courier;
        match connection.peer {
            Peer::Client(client) => self.by_client.remove(&LocalId { courier, id: client }),
            Peer::Endpoint { upstream, .. } => self.by_upstream.remove(&LocalId { courier, id: upstream }),
        };
        if let Some(tokens) = self.by_courier.get_mut(&courier) {
            tokens.remove(&token);
        }
    }
}
