//! Selects the connection for an attempt: the idle one that was used last if it may be reused, otherwise a
//! new one. At the capacity, a new connection evicts an abandoned or idle one.

use super::connection::{Connection, ConnectionState};
use super::{CloseReason, ConnectionId, ConnectionPool};
use crate::core::attempts::AttemptId;
use linnetcart::Time;
use std::net::SocketAddr;

/// The connection that was assigned to an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection, on which the attempt can be sent now.
    Idle(ConnectionId),
    /// A new connection, on which the attempt can be sent once it is established.
    Connecting(ConnectionId),
    /// No connection: the pool is full, and every connection is in use or being established.
    Exhausted,
}

/// An idle connection that may be reused; the greatest one became idle last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleConnection {
    idle_since: Time,
    id: ConnectionId,
}

/// Sort key for eviction; the connection with the least key is evicted. Abandoned connections come before
/// idle ones, and within each group the one that entered its state first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PoolEvictionOrder {
    Abandoned { since: Time },
    Idle { since: Time },
}

impl PoolEvictionOrder {
    /// Returns the sort key of a connection, or `None` if it must not be evicted.
    fn of(connection: &Connection) -> Option<PoolEvictionOrder> {
        match *connection.state() {
            ConnectionState::Abandoned { since, .. } | ConnectionState::ReadingRest { since } => {
                Some(PoolEvictionOrder::Abandoned { since })
            }
            ConnectionState::Idle { since } => Some(PoolEvictionOrder::Idle { since }),
            ConnectionState::Connecting { .. } | ConnectionState::InUse { .. } => None,
        }
    }
}

impl ConnectionPool {
    /// Assigns an idle connection to an attempt, or else a new one that the caller has to connect.
    pub fn acquire(&mut self, attempt: AttemptId, endpoint: u32, address: SocketAddr, now: Time) -> Acquired {
        let new_id = self.allocate_id();
        if let Some(id) = self.acquire_idle(attempt, endpoint, address, now) {
            return Acquired::Idle(id);
        }
        if self.connections.len() >= self.capacity {
            let Some(evicted) = self.eviction_candidate() else { return Acquired::Exhausted };
            self.close(evicted, CloseReason::Evicted);
        }
        self.connections.insert(new_id, Connection::new(endpoint, address, attempt, now));
        self.by_attempt.insert(attempt, new_id);
        Acquired::Connecting(new_id)
    }

    /// Assigns the idle connection that was used last (LIFO). Closes it instead, and returns `None`, if the
    /// reuse policy expects a new connection to lose fewer calls.
    fn acquire_idle(
        &mut self,
        attempt: AttemptId,
        endpoint: u32,
        address: SocketAddr,
        now: Time,
    ) -> Option<ConnectionId> {
        let IdleConnection { idle_since, id } = self.last_used_idle(endpoint, address, now)?;
        let idle_time = now - idle_since;
        if !self.reuse_policy.may_reuse(now, idle_time) {
            self.close(id, CloseReason::Untrusted);
            return None;
        }
        let connection = self.connections.get_mut(&id)?;
        connection.assign(attempt, idle_time);
        self.by_attempt.insert(attempt, id);
        Some(id)
    }

    fn last_used_idle(&self, endpoint: u32, address: SocketAddr, now: Time) -> Option<IdleConnection> {
        let mut last_used = None;
        for (&id, connection) in &self.connections {
            if connection.endpoint != endpoint || connection.address != address {
                continue;
            }
            if let Some(idle_since) = connection.reusable_since(now, self.timeouts.idle) {
                last_used = last_used.max(Some(IdleConnection { idle_since, id }));
            }
        }
        last_used
    }

    fn eviction_candidate(&self) -> Option<ConnectionId> {
        let evictable = |(&id, connection)| PoolEvictionOrder::of(connection).map(|order| (order, id));
        let candidates = self.connections.iter().filter_map(evictable);
        candidates.min().map(|(_, id)| id)
    }
}
