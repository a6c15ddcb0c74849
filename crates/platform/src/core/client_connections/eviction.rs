//! Which connection ends when there are too many, or when requests take too much memory.

use super::connection::{ClientConnection, ClientStage, FIRST_REQUEST_GRACE};
use super::{ClientConnections, ClientId};
use crate::core::clock::MILLISECOND;
use linnetcart::Time;
use std::cmp::Reverse;

/// Minimum time since the last response before a connection that was answered counts as rested.
pub const EVICTABLE_IDLE_TIME: Time = 2000 * MILLISECOND;

/// A request whose rest has not come for this time is refused before new connections are, when there are too many.
pub const STALLED_REQUEST_TIME: Time = 1000 * MILLISECOND;

/// How a connection ends in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection has no request, was removed and has to be closed.
    Close(EvictedClient),
    /// A part of a request was read: it has to be refused with an answer.
    Refuse(ClientId),
}

/// A connection that has to be closed without an answer, and why this one. Written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedClient {
    /// The connection.
    pub client: ClientId,
    /// What it was doing.
    pub state: EvictedState,
    /// How long it had been in this state, in nanoseconds.
    pub idle_for: Time,
    /// The number of connections, which exceeds the maximum.
    pub connections: usize,
}

/// What a connection was doing that has no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictedState {
    /// No byte had been read from it since it was accepted.
    Unread,
    /// Its last request was answered.
    Answered,
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
    /// The connection was answered less than [`EVICTABLE_IDLE_TIME`] ago. The one that has rested for longest comes
    /// first: a client that goes on submitting keeps its connection, one that asks once and holds it does not.
    AnsweredRecently {
        /// When the last request was answered.
        since: Time,
    },
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
        matches!(self, ClientEvictionOrder::Silent { .. })
    }

    /// Whether a part of a request was read.
    pub fn has_part_of_request(self) -> bool {
        matches!(self, ClientEvictionOrder::StalledRequest { .. } | ClientEvictionOrder::PartialRequest(_))
    }
}

impl ClientConnection {
    /// Returns the sort key of the connection's request if it is not complete, `None` otherwise.
    fn partial_request(&self) -> Option<PartialRequest> {
        let is_partial = !self.awaits_answer && self.request.is_partial();
        is_partial.then(|| PartialRequest {
            held_bytes: Reverse(self.request.held_bytes()),
            since: self.stage.since(),
        })
    }

    /// Returns the connection's sort key for eviction; `None` if it has a request that is complete and not answered.
    fn eviction_order(&self, now: Time) -> Option<ClientEvictionOrder> {
        if self.awaits_answer || self.has_complete_request() {
            return None;
        }
        let since = self.stage.since();
        let partial = self.partial_request();
        Some(match (partial, self.stage) {
            (Some(_), _) if since + STALLED_REQUEST_TIME <= now => {
                ClientEvictionOrder::StalledRequest { since }
            }
            (Some(partial), _) => ClientEvictionOrder::PartialRequest(partial),
            (None, ClientStage::FirstRequest { .. }) if now < since + FIRST_REQUEST_GRACE => {
                ClientEvictionOrder::Silent { since }
            }
            (None, ClientStage::Idle { .. } | ClientStage::NextRequest { .. })
                if now < since + EVICTABLE_IDLE_TIME =>
            {
                ClientEvictionOrder::AnsweredRecently { since }
            }
            (None, _) => ClientEvictionOrder::Rested { since },
        })
    }
}

impl ClientConnections {
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

    /// If there are more connections than the capacity, returns the one that must end: the first in
    /// [`ClientEvictionOrder`]. Returns `None` within the capacity, or if each connection has a complete request that is
    /// not answered. Must be called once the input of an iteration is read.
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
        let evicted = self.evicted(id, now)?;
        self.closed(id);
        Some(Eviction::Close(evicted))
    }

    fn evicted(&self, client: ClientId, now: Time) -> Option<EvictedClient> {
        let stage = self.connections.get(&client)?.stage;
        let state = match stage {
            ClientStage::FirstRequest { .. } => EvictedState::Unread,
            ClientStage::Idle { .. } | ClientStage::NextRequest { .. } => EvictedState::Answered,
        };
        let idle_for = now.saturating_sub(stage.since());
        Some(EvictedClient { client, state, idle_for, connections: self.connections.len() })
    }
}
