//! The memory that the responses of endpoints take, and which connection ends if that is too much.

use super::connection::{Connection, ConnectionState};
use super::{CloseReason, ConnectionId, ConnectionPool, FinishedAttempt};

/// Sort key of the connections whose responses take too much memory; the greatest one is closed: an idle one before an
/// abandoned one before one in use, and of each kind the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClosingOrder {
    kind: ClosingKind,
    held_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClosingKind {
    InUse,
    Abandoned,
    Idle,
}

impl ClosingOrder {
    fn of(connection: &Connection) -> ClosingOrder {
        let kind = match connection.state() {
            ConnectionState::Idle { .. } => ClosingKind::Idle,
            ConnectionState::Abandoned { .. } | ConnectionState::ReadingRest { .. } => ClosingKind::Abandoned,
            ConnectionState::Connecting { .. } | ConnectionState::InUse { .. } => ClosingKind::InUse,
        };
        ClosingOrder { kind, held_bytes: connection.held_bytes() }
    }
}

impl ConnectionPool {
    /// Returns the number of bytes that are held of responses.
    pub fn response_bytes(&self) -> usize {
        self.memory.held()
    }

    /// Changes a connection, and accounts for the memory of its responses.
    pub(super) fn update<T>(
        &mut self,
        id: ConnectionId,
        change: impl FnOnce(&mut Connection) -> T,
    ) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        let before = connection.held_bytes();
        let result = change(connection);
        self.memory.resize(before, connection.held_bytes());
        Some(result)
    }

    /// Closes connections until the responses take no more memory than they may. Returns the results of the attempts
    /// to which the connections were assigned.
    pub fn free_memory(&mut self) -> Vec<FinishedAttempt> {
        let mut finished = Vec::new();
        while self.memory.is_exceeded() {
            let holding = self.connections.iter().filter(|(_, connection)| connection.held_bytes() > 0);
            let largest = holding.max_by_key(|(_, connection)| ClosingOrder::of(connection));
            let Some((&id, connection)) = largest else { break };
            let outcome = connection.outcome_on_timeout();
            let end = connection.doubtful_end();
            if let Some(attempt) = self.close(id, CloseReason::TooManyBytes) {
                finished.push(FinishedAttempt { end, ..FinishedAttempt::new(attempt, outcome) });
            }
        }
        finished
    }
}
