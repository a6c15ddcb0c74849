//! One connection: its two directions, and who still has an end of it.

use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, UpstreamId};
use std::collections::VecDeque;

/// Bytes that a host's system takes for a connection whose other side takes none.
pub const SOCKET_BUFFER_BYTES: u64 = 256 << 10;

/// What travels on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// The connection is requested.
    Connect,
    /// The connection is established.
    Connected,
    /// The connection is refused: nobody listens.
    Refused,
    /// Bytes.
    Data(Bytes),
    /// The sender closed its end, or the connection broke.
    Close,
}

impl Segment {
    /// Bytes of data in it.
    pub(super) fn length(&self) -> u64 {
        match self {
            Segment::Data(bytes) => bytes.len() as u64,
            _ => 0,
        }
    }
}

/// Who is at the other end of a courier's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client, which connected to the courier.
    Client(ClientId),
    /// An endpoint, which the courier connected to.
    Endpoint {
        /// The connection as the courier numbers it.
        upstream: UpstreamId,
        /// The endpoint.
        endpoint: u32,
    },
}

/// Towards whom something travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To the courier.
    ToCourier,
    /// From the courier.
    FromCourier,
}

impl Direction {
    /// Both, in the order in which they are gone through.
    pub(super) const BOTH: [Direction; 2] = [Direction::ToCourier, Direction::FromCourier];
}

/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The courier's.
    Courier,
    /// The client's or endpoint's.
    Peer,
}

impl Side {
    /// The direction in which this side sends.
    pub fn sends(self) -> Direction {
        match self {
            Side::Courier => Direction::FromCourier,
            Side::Peer => Direction::ToCourier,
        }
    }
}

/// A value for each direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerDirection<T> {
    /// For what goes to the courier.
    pub to_courier: T,
    /// For what comes from the courier.
    pub from_courier: T,
}

impl<T> PerDirection<T> {
    pub(super) fn get(&self, direction: Direction) -> &T {
        match direction {
            Direction::ToCourier => &self.to_courier,
            Direction::FromCourier => &self.from_courier,
        }
    }

    pub(super) fn get_mut(&mut self, direction: Direction) -> &mut T {
        match direction {
            Direction::ToCourier => &mut self.to_courier,
            Direction::FromCourier => &mut self.from_courier,
        }
    }
}

/// A segment that waits behind a partition.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldSegment {
    /// When it was sent.
    pub sent_at: Time,
    /// The segment.
    pub segment: Segment,
}

/// One direction of a connection.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// When the segment sent last arrives.
    pub(super) last_arrival: Time,
    pub(super) bytes_sent: u64,
    /// What waits while a partition blocks the direction, and its bytes.
    pub(super) held: VecDeque<HeldSegment>,
    pub(super) bytes_held: u64,
    /// How long the segment that arrived last was on its way.
    pub(super) last_transit: Time,
}

impl Stream {
    pub(super) fn hold(&mut self, sent_at: Time, segment: Segment) {
        self.bytes_held += segment.length();
        self.held.push_back(HeldSegment { sent_at, segment });
    }

    /// Takes out everything that is held.
    pub(super) fn release(&mut self) -> VecDeque<HeldSegment> {
        self.bytes_held = 0;
        std::mem::take(&mut self.held)
    }

    /// Drops the data that is held: its sender has closed, and does not wait until a partition ends.
    pub(super) fn drop_held_data(&mut self) {
        self.held.retain(|held| held.segment == Segment::Close);
        self.bytes_held = 0;
    }

    /// Bytes that the sender's system has not taken.
    pub(super) fn backlog(&self) -> u64 {
        self.bytes_held.saturating_sub(SOCKET_BUFFER_BYTES)
    }

    /// Bytes that the sender's system has taken.
    pub(super) fn bytes_taken(&self) -> u64 {
        self.bytes_sent - self.backlog()
    }
}

/// A connection between a courier and a client or endpoint.
#[derive(Debug)]
pub struct Connection {
    /// The courier.
    pub courier: u32,
    /// The incarnation of the courier.
    pub incarnation: u32,
    /// Who is at the other end.
    pub peer: Peer,
    /// When it was requested.
    pub opened_at: Time,
    /// The courier has received data on it.
    pub courier_received_data: bool,
    pub(super) open_at_courier: bool,
    pub(super) open_at_peer: bool,
    pub(super) streams: PerDirection<Stream>,
    /// The connection broke: the share of the next data that still arrives.
    pub(super) surviving_share: Option<PerDirection<f64>>,
}

impl Connection {
    pub(super) fn new(courier: u32, incarnation: u32, peer: Peer, opened_at: Time) -> Connection {
        Connection {
            courier,
            incarnation,
            peer,
            opened_at,
            courier_received_data: false,
            open_at_courier: true,
            open_at_peer: true,
            streams: PerDirection::default(),
            surviving_share: None,
        }
    }

    /// If the connection broke: the share of the next data in this direction that still arrives.
    pub fn surviving_share(&self, direction: Direction) -> Option<f64> {
        self.surviving_share.as_ref().map(|share| *share.get(direction))
    }

    /// The receiver of this direction still has its end open.
    pub fn is_received(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToCourier => self.open_at_courier,
            Direction::FromCourier => self.open_at_peer,
        }
    }

    /// Closes one end; true if it was open until now.
    pub(super) fn close_end(&mut self, side: Side) -> bool {
        let end = match side {
            Side::Courier => &mut self.open_at_courier,
            Side::Peer => &mut self.open_at_peer,
        };
        std::mem::replace(end, false)
    }

    pub(super) fn is_open(&self, side: Side) -> bool {
        match side {
            Side::Courier => self.open_at_courier,
            Side::Peer => self.open_at_peer,
        }
    }
}
