//! The notifier's connections to discovery, each for one batch: how many there are, when a new one is established and
//! how long each waits for its answer.
//!
//! A slow answer delays no other batch, but connections are then spaced; only failures lead to a growing backoff.

use crate::core::clock::MILLISECOND;
use crate::core::connection_pool::ConnectionId;
use linnetcart::Time;
use std::collections::BTreeMap;

/// The delay before a new connection after a failure, until failures have gone on for [`NOTIFICATION_TIME`]. Each
/// following one is twice as long, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Time = 20 * MILLISECOND;
/// The time in which a notification that is due has to arrive.
const NOTIFICATION_TIME: Time = 300 * MILLISECOND;
/// Maximum delay before a new connection. A notification has 300 ms to arrive once discovery is back.
const MAX_BACKOFF: Time = 150 * MILLISECOND;
/// A connection that is not established within this time counts as failed.
const CONNECT_TIMEOUT: Time = 1000 * MILLISECOND;
/// While a connection is being established for longer than this, another one is tried beside it.
const CONNECT_PATIENCE: Time = 100 * MILLISECOND;
/// A connection whose answer does not come within this time is closed.
const ANSWER_TIMEOUT: Time = 3000 * MILLISECOND;
/// While this many batches are unanswered, a new connection begins [`SPACING`] after the last batch.
const UNSPACED_BATCHES: usize = 3;
/// Minimum time from a batch to the connect for the next one while many are unanswered. A notification has 300 ms to
/// arrive.
const SPACING: Time = 150 * MILLISECOND;
/// Maximum number of connections: an answer has `MAX_CONNECTIONS * SPACING`, more than a second, before its
/// connection makes room for another. They are among the file descriptors that the core reserves.
const MAX_CONNECTIONS: usize = 8;

/// The progress of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The connection is being established.
    Connecting {
        /// When the connect began.
        since: Time,
    },
    /// The connection is established, and carries no batch yet.
    Ready,
    /// A batch was sent and is not answered.
    AwaitingAnswer {
        /// When the batch was sent.
        sent_at: Time,
    },
}

/// A connection to discovery.
#[derive(Debug)]
pub struct NotifierConnection {
    stage: Stage,
    /// Numbers of the messages whose notifications the batch on the connection contains.
    pub messages: Vec<u32>,
    /// Length of the request with the batch, in bytes.
    pub request_bytes: u64,
    /// The bytes received so far.
    pub response: Vec<u8>,
}

impl NotifierConnection {
    /// Whether a batch was sent on the connection.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::AwaitingAnswer { .. })
    }

    fn deadline(&self) -> Time {
        match self.stage {
            Stage::Connecting { since } => since + CONNECT_TIMEOUT,
            Stage::Ready => Time::MAX,
            Stage::AwaitingAnswer { sent_at } => sent_at + ANSWER_TIMEOUT,
        }
    }
}

/// The connections, at most [`MAX_CONNECTIONS`]. Times are monotonic, in nanoseconds.
#[derive(Debug)]
pub struct NotifierConnections {
    connections: BTreeMap<ConnectionId, NotifierConnection>,
    /// No connect begins before this time, because of a failure.
    retry_at: Time,
    backoff: Time,
    /// When the first failure since the last valid answer was; `None` for none.
    failing_since: Option<Time>,
    last_sent_at: Time,
}

impl NotifierConnections {
    /// Creates an empty table.
    pub fn new() -> NotifierConnections {
        NotifierConnections {
            connections: BTreeMap::new(),
            retry_at: 0,
            backoff: MIN_BACKOFF,
            failing_since: None,
            last_sent_at: 0,
        }
    }

    /// Whether a connection is in the table.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Returns a connection, or `None` if it was removed.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut NotifierConnection> {
        self.connections.get_mut(&id)
    }

    /// Adds a connection that is being established.
    pub fn connecting(&mut self, id: ConnectionId, now: Time) {
        let stage = Stage::Connecting { since: now };
        let connection = NotifierConnection { stage, messages: vec![], request_bytes: 0, response: vec![] };
        self.connections.insert(id, connection);
    }

    /// Records that a connection was established.
    pub fn connected(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = Stage::Ready;
        }
    }

    /// Returns an established connection that carries no batch.
    pub fn ready(&self) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        connections.find(|(_, connection)| connection.stage == Stage::Ready).map(|(&id, _)| id)
    }

    /// Records that a batch was sent on a connection.
    pub fn sent(&mut self, id: ConnectionId, messages: Vec<u32>, request_bytes: u64, now: Time) {
        self.last_sent_at = now;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = Stage::AwaitingAnswer { sent_at: now };
            connection.messages = messages;
            connection.request_bytes = request_bytes;
        }
    }

    /// Removes a connection and returns it.
    pub fn remove(&mut self, id: ConnectionId) -> Option<NotifierConnection> {
        self.connections.remove(&id)
    }

    /// Returns a connection whose time limit has passed.
    pub fn timed_out(&self, now: Time) -> Option<ConnectionId> {
        let mut connections = self.connections.iter();
        connections.find(|(_, connection)| connection.deadline() <= now).map(|(&id, _)| id)
    }

    /// Removes all connections and returns their ids. The next connect may begin at once.
    pub fn clear(&mut self) -> Vec<ConnectionId> {
        self.valid_answer();
        self.retry_at = 0;
        std::mem::take(&mut self.connections).into_keys().collect()
    }

    /// Whether there are as many connections as the maximum.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= MAX_CONNECTIONS
    }

    /// Returns the connection whose batch has waited longest for its answer.
    pub fn longest_unanswered(&self) -> Option<ConnectionId> {
        let unanswered = self.connections.iter().filter(|(_, connection)| connection.awaits_answer());
        unanswered.min_by_key(|(_, connection)| connection.deadline()).map(|(&id, _)| id)
    }

    /// Returns when the next connect may begin; [`Time::MAX`] if all connections are still being established.
    pub fn next_connect_at(&self) -> Time {
        if self.is_full() && self.longest_unanswered().is_none() {
            return Time::MAX;
        }
        let mut at = self.retry_at;
        let mut unanswered = 0;
        for connection in self.connections.values() {
            match connection.stage {
                Stage::Connecting { since } => at = at.max(since + CONNECT_PATIENCE),
                Stage::Ready => {}
                Stage::AwaitingAnswer { .. } => unanswered += 1,
            }
        }
        if unanswered >= UNSPACED_BATCHES {
            at = at.max(self.last_sent_at + SPACING);
        }
        at
    }

    /// Returns when the next time limit of a connection ends; [`Time::MAX`] for none.
    pub fn next_timeout(&self) -> Time {
        self.connections.values().map(NotifierConnection::deadline).min().unwrap_or(Time::MAX)
    }

    /// Records a failure of discovery: the next connect begins after the backoff. It doubles once a notification that
    /// fell due with the first failure is late.
    pub fn failed(&mut self, now: Time) {
        self.retry_at = now + self.backoff;
        let failing_since = *self.failing_since.get_or_insert(now);
        if now >= failing_since + NOTIFICATION_TIME {
            self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
        }
    }

    /// Records that a connect failed locally, before it reached the network. The backoff does not grow.
    pub fn failed_locally(&mut self, now: Time) {
        self.retry_at = now + MIN_BACKOFF;
    }

    /// Records a valid answer, which resets the backoff.
    pub fn valid_answer(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.failing_since = None;
    }
}
