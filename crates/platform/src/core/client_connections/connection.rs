//! One connection of a client: its stage, its time limits and its eligibility for eviction. All times are
//! monotonic, in nanoseconds.

use super::buffer::RequestBuffer;
use super::id_reservations::IdReservation;
use crate::core::clock::MILLISECOND;
use linnetcart::Time;
use std::cmp::Reverse;

/// Time limit for receiving a complete request. It counts from the accept for the first request of a
/// connection, and from the request's first byte for each later one.
pub const REQUEST_TIMEOUT: Time = 2000 * MILLISECOND;
/// Time limit for an idle connection, from the last response on it.
pub const IDLE_TIMEOUT: Time = 10_000 * MILLISECOND;
/// Time from the accept during which a connection without a request does not count as idle.
pub const FIRST_REQUEST_GRACE: Time = 200 * MILLISECOND;
/// Minimum time since the last response before a connection that was answered counts as rested.
pub const EVICTABLE_IDLE_TIME: Time = 2000 * MILLISECOND;

/// A request whose rest has not come for this time is refused before new connections are, when there are too many.
pub const STALLED_REQUEST_TIME: Time = 1000 * MILLISECOND;

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
enum ClientStage {
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

/// Sort key for eviction: the connection with the least key ends first. One from which a part of a request was read
/// comes after all that have rested, and is answered. One that was answered just now comes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientEvictionOrder {
    /// The connection was answered [`EVICTABLE_IDLE_TIME`] ago, or has sent no byte for [`FIRST_REQUEST_GRACE`].
    Rested {
        /// When the last request was answered, or the connection was accepted.
        since: Time,
    },
    /// The rest of a request has not come for [`STALLED_REQUEST_TIME`].
    StalledRequest {
        /// When the request began.
        since: Time,
    },
    /// No byte has arrived yet. Of several that were accepted together, the newest comes first.
    Silent {
        /// When the connection was accepted.
        since: Time,
    },
    /// A part of a request was read.
    PartialRequest(PartialRequest),
    /// The connection was answered just now. The newest comes first.
    AnsweredRecently,
}

/// Sort key of requests that are not complete: the largest comes first, and of equal ones the one that began first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartialRequest {
    held_bytes: Reverse<usize>,
    since: Time,
}

impl ClientEvictionOrder {
    /// Whether of several connections with this key the newest comes first.
    pub fn prefers_newest(self) -> bool {
        matches!(self, ClientEvictionOrder::Silent { .. } | ClientEvictionOrder::AnsweredRecently)
    }

    /// Whether a part of a request was read.
    pub fn has_part_of_request(self) -> bool {
        matches!(self, ClientEvictionOrder::StalledRequest { .. } | ClientEvictionOrder::PartialRequest(_))
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    stage: ClientStage,
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

    /// Returns the sort key of the connection's request if it is not complete, `None` otherwise.
    pub fn partial_request(&self) -> Option<PartialRequest> {
        let since = match self.stage {
            ClientStage::FirstRequest { accepted_at } => accepted_at,
            ClientStage::NextRequest { request_began_at } => request_began_at,
            ClientStage::Idle { .. } => return None,
        };
        let is_partial = !self.awaits_answer && self.request.is_partial();
        is_partial.then(|| PartialRequest { held_bytes: Reverse(self.request.held_bytes()), since })
    }

    /// Records that the request was answered.
    pub fn answered(&mut self, now: Time) {
        self.stage = ClientStage::Idle { idle_since: now };
        self.awaits_answer = false;
        self.deferred_until = None;
        self.request = RequestBuffer::default();
    }

    /// Returns the connection's sort key for eviction; `None` if it has a request that is complete and not answered.
    pub fn eviction_order(&self, now: Time) -> Option<ClientEvictionOrder> {
        if self.awaits_answer {
            return None;
        }
        if !self.request.is_empty() {
            return self.request.is_partial().then(|| self.eviction_order_of_request(now));
        }
        Some(match self.stage {
            ClientStage::FirstRequest { accepted_at: since } if since + FIRST_REQUEST_GRACE <= now => {
                ClientEvictionOrder::Rested { since }
            }
            ClientStage::FirstRequest { accepted_at: since } => ClientEvictionOrder::Silent { since },
            ClientStage::Idle { idle_since: since }
            | ClientStage::NextRequest { request_began_at: since }
                if since + EVICTABLE_IDLE_TIME <= now =>
            {
                ClientEvictionOrder::Rested { since }
            }
            ClientStage::Idle { .. } | ClientStage::NextRequest { .. } => {
                ClientEvictionOrder::AnsweredRecently
            }
        })
    }

    fn eviction_order_of_request(&self, now: Time) -> ClientEvictionOrder {
        let since = match self.stage {
            ClientStage::FirstRequest { accepted_at: since }
            | ClientStage::NextRequest { request_began_at: since }
            | ClientStage::Idle { idle_since: since } => since,
        };
        if since + STALLED_REQUEST_TIME <= now {
            return ClientEvictionOrder::StalledRequest { since };
        }
        let held_bytes = Reverse(self.request.held_bytes());
        ClientEvictionOrder::PartialRequest(PartialRequest { held_bytes, since })
    }

    /// Whether the connection has no complete request and has timed out or, with [`IdlePolicy::Close`], is
    /// idle.
    pub fn is_expired(&self, now: Time, idle: IdlePolicy) -> bool {
        let is_complete = !self.request.is_empty() && !self.request.is_partial();
        if self.awaits_answer || is_complete {
            return false;
        }
        self.deadline() <= now || (idle == IdlePolicy::Close && self.is_idle(now))
    }

    /// Returns when the time limit of the present stage ends, in monotonic time.
    fn deadline(&self) -> Time {
        match self.stage {
            ClientStage::FirstRequest { accepted_at } => accepted_at + REQUEST_TIMEOUT,
            ClientStage::Idle { idle_since } => idle_since + IDLE_TIMEOUT,
            ClientStage::NextRequest { request_began_at } => request_began_at + REQUEST_TIMEOUT,
        }
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
