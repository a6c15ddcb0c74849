//! One connection of a client: its stage, its timeouts and whether it may be evicted.

use crate::core::clock::MILLISECOND;
use linnetcart::Time;

/// Time limit for a request: the first one counts from the connection, any other from its first byte.
pub const REQUEST_TIMEOUT: Time = 2000 * MILLISECOND;
/// A connection that was answered and is idle is closed after this time.
pub const IDLE_TIMEOUT: Time = 10_000 * MILLISECOND;
/// A new connection is given this long to send its first request even when idle connections are being closed.
pub const FIRST_REQUEST_GRACE: Time = 200 * MILLISECOND;
/// An idle connection may be evicted after this time when a new one needs its place.
pub const EVICTABLE_IDLE_TIME: Time = 2000 * MILLISECOND;

/// How idle connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// Idle connections are closed after their timeout.
    Keep,
    /// Idle connections are closed at once.
    Close,
}

/// The progress of a connection from request to request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientStage {
    /// The first request was not answered yet; the connection may have sent a part of it or nothing.
    First {
        /// When the connection was accepted, from which the time limit of the first request counts.
        accepted_at: Time,
    },
    /// The last request was answered and no byte of a further one arrived.
    Idle {
        /// When the last request was answered.
        idle_since: Time,
    },
    /// Bytes of a further request arrived.
    Further {
        /// When its first byte arrived.
        request_began_at: Time,
    },
}

/// The order in which connections are evicted: those that never had an answer first, then the one that is
/// longest in its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionOrder {
    /// No request was answered yet.
    NeverAnswered {
        /// When the connection was accepted.
        since: Time,
    },
    /// A request was answered.
    Answered {
        /// When the last request was answered, or the further one began.
        since: Time,
    },
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    stage: ClientStage,
    /// When the last byte arrived, or the connection was accepted.
    pub last_byte_at: Time,
    /// The bytes of the request that is not answered yet.
    pub request: Vec<u8>,
    /// Whether a complete request was read and is not answered yet.
    pub awaits_answer: bool,
}

impl ClientConnection {
    /// Creates a connection that was accepted now.
    pub fn new(now: Time) -> ClientConnection {
        ClientConnection {
            stage: ClientStage::First { accepted_at: now },
            last_byte_at: now,
            request: vec![],
            awaits_answer: false,
        }
    }

    /// Buffers received bytes.
    pub fn receive(&mut self, bytes: &[u8], now: Time) {
        if matches!(self.stage, ClientStage::Idle { .. }) {
            self.stage = ClientStage::Further { request_began_at: now };
        }
        self.last_byte_at = now;
        self.request.extend_from_slice(bytes);
    }

    /// Records that the request was answered.
    pub fn answered(&mut self, now: Time) {
        self.stage = ClientStage::Idle { idle_since: now };
        self.awaits_answer = false;
        self.request = Vec::new();
    }

    /// Returns the connection's place in the order of eviction; the least is evicted first.
    pub fn eviction_order(&self) -> EvictionOrder {
        match self.stage {
            ClientStage::First { accepted_at } => EvictionOrder::NeverAnswered { since: accepted_at },
            ClientStage::Idle { idle_since: since } | ClientStage::Further { request_began_at: since } => {
                EvictionOrder::Answered { since }
            }
        }
    }

    /// Whether the connection may be closed when a new one needs its place.
    pub fn is_evictable(&self, now: Time) -> bool {
        let long_enough = match self.eviction_order() {
            EvictionOrder::NeverAnswered { .. } => true,
            EvictionOrder::Answered { since } => since + EVICTABLE_IDLE_TIME <= now,
        };
        long_enough && !self.awaits_answer
    }

    /// Whether the connection has timed out or, with [`IdlePolicy::Close`], is idle.
    pub fn is_overdue(&self, now: Time, idle: IdlePolicy) -> bool {
        if self.awaits_answer {
            return false;
        }
        self.deadline() <= now || (idle == IdlePolicy::Close && self.is_idle(now))
    }

    /// Returns when the connection has to have left its stage.
    fn deadline(&self) -> Time {
        match self.stage {
            ClientStage::First { accepted_at } => accepted_at + REQUEST_TIMEOUT,
            ClientStage::Idle { idle_since } => idle_since + IDLE_TIMEOUT,
            ClientStage::Further { request_began_at } => request_began_at + REQUEST_TIMEOUT,
        }
    }

    /// Whether the connection has sent nothing of a request. A new connection counts as idle only after it
    /// had time to send its first one.
    fn is_idle(&self, now: Time) -> bool {
        match self.stage {
            ClientStage::First { accepted_at } => {
                self.request.is_empty() && now >= accepted_at + FIRST_REQUEST_GRACE
            }
            ClientStage::Idle { .. } => true,
            ClientStage::Further { .. } => false,
        }
    }
}
