//! One connection: its two directions, and which of its ends are open.

use crate::host::CourierIncarnation;
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, UpstreamId};
use linnetcart_scenario::runner::Token;
use std::collections::VecDeque;

/// Size of a socket's send buffer: the bytes that the sender's kernel accepts while a partition blocks them.
pub const SOCKET_BUFFER_BYTES: u64 = 256 << 10;

/// What travels on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// The connection is requested, as by a TCP SYN.
    Connect,
    /// The connection is established, as by a SYN-ACK.
    Connected,
    /// The connection is refused, because nobody listens, as by an RST.
    Refused,
    /// Bytes of the stream.
    Data(Bytes),
    /// The sender closed its end (FIN), or the connection broke (RST).
    Close,
}

impl Segment {
    /// Returns the number of data bytes.
    pub(super) fn length(&self) -> u64 {
        match self {
            Segment::Data(bytes) => bytes.len() as u64,
            _ => 0,
        }
    }
}

/// The other end of a courier's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client, which connected to the courier.
    Client(ClientId),
    /// An endpoint, which the courier connected to.
    Endpoint {
        /// The id by which the courier identifies the connection.
        upstream: UpstreamId,
        /// The number of the endpoint.
        endpoint: u32,
    },
}

/// The direction in which a segment travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To the courier.
    ToCourier,
    /// From the courier.
    FromCourier,
}

impl Direction {
    /// Both directions, in the order in which they are processed.
    pub(super) const BOTH: [Direction; 2] = [Direction::ToCourier, Direction::FromCourier];
}

/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end of the courier.
    Courier,
    /// The end of the client or endpoint.
    Peer,
}

impl Side {
    /// Returns the direction in which this side sends.
    pub fn sending_direction(self) -> Direction {
        match self {
            Side::Courier => Direction::FromCourier,
            Side::Peer => Direction::ToCourier,
        }
    }
}

/// One direction of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamId {
    /// The token of the connection.
    pub token: Token,
    /// The direction of the stream.
    pub direction: Direction,
}

/// A value for each direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PerDirection<T> {
    /// The value for the direction to the courier.
    pub to_courier: T,
    /// The value for the direction from the courier.
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

/// A segment that waits for the end of a partition.
#[derive(Debug, PartialEq, Eq)]
pub struct QueuedSegment {
    /// When the segment was sent, in nanoseconds on the network's clock.
    pub sent_at: Time,
    /// The segment that waits.
    pub segment: Segment,
}

/// One direction of a connection.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// Arrival time of the segment sent last, in nanoseconds on the network's clock. A segment sent later
    /// arrives no earlier, which keeps segments in order.
    pub(super) last_arrival: Time,
    /// Number of data bytes sent so far, including those in `queued`.
    pub(super) bytes_sent: u64,
    /// Segments that wait while a partition blocks the direction.
    pub(super) queued: VecDeque<QueuedSegment>,
    /// Number of data bytes in `queued`.
    pub(super) queued_bytes: u64,
    /// Travel time of the segment that arrived last, in nanoseconds, with any wait for a partition to end.
    pub(super) last_transit: Time,
}

impl Stream {
    /// Queues a segment until the partition ends.
    pub(super) fn enqueue(&mut self, sent_at: Time, segment: Segment) {
        self.queued_bytes += segment.length();
        self.queued.push_back(QueuedSegment { sent_at, segment });
    }

    /// Removes and returns all queued segments.
    pub(super) fn release(&mut self) -> VecDeque<QueuedSegment> {
        self.queued_bytes = 0;
        std::mem::take(&mut self.queued)
    }

    /// Drops all queued segments except a close: their sender has closed the connection and does not wait for
    /// the end of a partition.
    pub(super) fn drop_queued_data(&mut self) {
        self.queued.retain(|queued| queued.segment == Segment::Close);
        self.queued_bytes = 0;
    }

    /// Returns the number of queued data bytes that exceed the sender's socket buffer
    /// ([`SOCKET_BUFFER_BYTES`]).
    pub(super) fn backlog(&self) -> u64 {
        self.queued_bytes.saturating_sub(SOCKET_BUFFER_BYTES)
    }

    /// Returns the number of data bytes that the sender's socket buffer has accepted: those sent, and those
    /// queued up to [`SOCKET_BUFFER_BYTES`].
    pub(super) fn bytes_accepted(&self) -> u64 {
        self.bytes_sent - self.backlog()
    }
}

/// A connection between a courier and a client or endpoint.
#[derive(Debug)]
pub struct Connection {
    /// The number of the courier.
    pub courier: u32,
    /// The incarnation of the courier that the connection belongs to.
    pub incarnation: u32,
    /// The client or endpoint at the other end.
    pub peer: Peer,
    /// When the connection was requested, in nanoseconds on the network's clock.
    pub opened_at: Time,
    /// Whether the courier has received data on the connection.
    pub courier_received_data: bool,
    pub(super) open_at_courier: bool,
    pub(super) open_at_peer: bool,
    pub(super) streams: PerDirection<Stream>,
    /// For a broken connection, the fraction of the next data segment in each direction that still arrives,
    /// from 0 to 1; `None` while the connection is not broken.
    pub(super) surviving_fraction: Option<PerDirection<f64>>,
}

impl Connection {
    pub(super) fn new(program: CourierIncarnation, peer: Peer, opened_at: Time) -> Connection {
        Connection {
            courier: program.courier,
            incarnation: program.incarnation,
            peer,
            opened_at,
            courier_received_data: false,
            open_at_courier: true,
            open_at_peer: true,
            streams: PerDirection::default(),
            surviving_fraction: None,
        }
    }

    /// Returns the incarnation of the courier that the connection belongs to.
    pub fn program(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }

    /// Returns the fraction of the next data segment in this direction that still arrives, from 0 to 1, or
    /// `None` if the connection is not broken.
    pub fn surviving_fraction(&self, direction: Direction) -> Option<f64> {
        self.surviving_fraction.as_ref().map(|fraction| *fraction.get(direction))
    }

    /// Returns whether the end that receives in this direction is open.
    pub fn is_receiver_open(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToCourier => self.open_at_courier,
            Direction::FromCourier => self.open_at_peer,
        }
    }

    /// Closes one end. Returns whether it was open.
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
