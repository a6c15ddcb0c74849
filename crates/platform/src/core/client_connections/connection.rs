//! One connection of a client: its stage and its time limits. All times are monotonic, in nanoseconds.

use super::buffer::RequestBuffer;
use super::id_reservations::IdReservation;
use crate::core::clock::MILLISECOND;
use linnetcart::Time;

/// Time limit for receiving a complete request. It counts from the accept for the first request of a
/// connection, and from the request's first byte for each later one.
pub const REQUEST_TIMEOUT: Time = 2000 * MILLISECOND;
/// Time limit for an idle connection, from the last response on it.
pub const IDLE_TIMEOUT: Time = 10_000 * MILLISECOND;
/// Time from the accept during which a connection without a request does not count as idle.
pub const FIRST_REQUEST_GRACE: Time = 200 * MILLISECOND;
/// When idle connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// After [`IDLE_TIMEOUT`].
    Keep,
    /// At once, in the shutdown.
    Close,
}

/// When bytes arrived that were just read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The earliest time at which they can have arrived.
    pub earliest: Time,
    /// When they were read.
    pub read_at: Time,
}

/// The stage of a connection in the sequence of requests and responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientStage {
    /// The first request is not answered yet; nothing, a part or all of it may have arrived.
    FirstRequest {
        /// When the connection was accepted.
        accepted_at: Time,
    },
    /// The last request was answered, and no byte of the next one has arrived.
    Idle {
        /// When the last request was answered.
        idle_since: Time,
    },
    /// Bytes of the next request have arrived.
    NextRequest {
        /// When the first byte of the next request arrived.
        request_began_at: Time,
    },
}

impl ClientStage {
    /// Returns when the stage began.
    pub(super) fn since(self) -> Time {
        match self {
            ClientStage::FirstRequest { accepted_at: since }
            | ClientStage::Idle { idle_since: since }
            | ClientStage::NextRequest { request_began_at: since } => since,
        }
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    pub(super) stage: ClientStage,
    /// When the last byte arrived at the earliest; before any byte, when the connection was accepted.
    pub last_byte_at: Time,
    /// The request that is not answered yet.
    pub request: RequestBuffer,
    /// Whether bytes have arrived that no iteration has parsed.
    pub is_unread: bool,
    /// The place of the request among those with its id, once it has named one.
    pub reservation: Option<IdReservation>,
    /// Until when the request waits, at most, for another one with its id; `None` if it never had to.
    pub deferred_until: Option<Time>,
    /// Whether a complete request has arrived and is not answered yet.
    pub awaits_answer: bool,
    /// Whether the last request was refused before all of it was read: the client may still send the rest.
    pub is_cut_off: bool,
}

impl ClientConnection {
    /// Creates a connection that was accepted now.
    pub fn new(now: Time) -> ClientConnection {
        ClientConnection {
            stage: ClientStage::FirstRequest { accepted_at: now },
            last_byte_at: now,
            request: RequestBuffer::default(),
            is_unread: false,
            reservation: None,
            deferred_until: None,
            awaits_answer: false,
            is_cut_off: false,
        }
    }

    /// Buffers received bytes.
    pub fn receive(&mut self, bytes: &[u8], arrival: Arrival) {
        self.last_byte_at = arrival.earliest;
        if let ClientStage::Idle { idle_since } = self.stage {
            self.stage = ClientStage::NextRequest { request_began_at: arrival.read_at };
            // A client sends its next request after the answer.
            self.last_byte_at = arrival.earliest.max(idle_since);
        }
        self.request.push(bytes);
    }

    /// Records that the request was answered.
    pub fn answered(&mut self, now: Time) {
        self.stage = ClientStage::Idle { idle_since: now };
        self.awaits_answer = false;
        self.deferred_until = None;
        self.request = RequestBuffer::default();
    }

    /// Whether a complete request, or one that cannot become valid, is buffered.
    pub(super) fn has_complete_request(&self) -> bool {
        !self.request.is_empty() && !self.request.is_partial()
    }

    /// Whether the connection has no complete request and has timed out or, with [`IdlePolicy::Close`], is
    /// idle.
    pub fn is_expired(&self, now: Time, idle: IdlePolicy) -> bool {
        if self.awaits_answer || self.has_complete_request() {
            return false;
        }
        self.deadline() <= now || (idle == IdlePolicy::Close && self.is_idle(now))
    }

    /// Returns when the time limit of the present stage ends, in monotonic time.
    fn deadline(&self) -> Time {
        let limit = match self.stage {
            ClientStage::FirstRequest { .. } | ClientStage::NextRequest { .. } => REQUEST_TIMEOUT,
            ClientStage::Idle { .. } => IDLE_TIMEOUT,
        };
        self.stage.since() + limit
    }

    /// Whether no byte of a request has arrived. A new connection counts as idle only after
    /// [`FIRST_REQUEST_GRACE`].
    fn is_idle(&self, now: Time) -> bool {
        match self.stage {
            ClientStage::FirstRequest { accepted_at } => {
                self.request.is_empty() && now >= accepted_at + FIRST_REQUEST_GRACE
            }
            ClientStage::Idle { .. } => true,
            ClientStage::NextRequest { .. } => false,
        }
    }
}
