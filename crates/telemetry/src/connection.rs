//! A connection to a receiver, with a bounded send buffer and backoff between attempts to connect.
//!
//! [`ReceiverConnection`] holds no socket: its owner reports what happened to one, and polls it for what to
//! do. What a receiver does not accept stays in the buffer until newer reports displace it.

mod send_buffer;
#[cfg(test)]
mod tests;

use crate::graphite::Chunk;
use crate::time::SECOND;
use bytes::Bytes;
use linnetcart::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use send_buffer::SendBuffer;
use std::net::SocketAddr;

/// The backoff after a failure, doubled with each further one up to the longest.
const FIRST_BACKOFF: Time = SECOND;
const MAX_BACKOFF: Time = 60 * SECOND;
/// A backoff is multiplied by a random factor, so that couriers don't reconnect at the same moment.
const BACKOFF_JITTER: std::ops::Range<f64> = 0.5..1.5;
/// Bytes handed to the system and not yet written by it: the rest stays in the buffer, where it can be
/// dropped.
const MAX_UNWRITTEN_BYTES: u64 = 256 << 10;

/// What the owner of a connection is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionAction {
    /// Connect to this address.
    Connect(SocketAddr),
    /// Write.
    Write(Bytes),
    /// Close at once.
    Close,
}

/// What a receiver has missed since the connection was configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Points that the send buffer dropped.
    pub points_dropped: u64,
    /// Connections that failed or broke.
    pub connection_failures: u64,
}

#[derive(Debug, PartialEq)]
enum ConnectionState {
    Disconnected {
        /// When to connect again at the earliest.
        retry_at: Time,
    },
    Connecting {
        since: Time,
    },
    Connected(Progress),
}

/// Bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Progress {
    /// Handed to the system.
    handed_over: u64,
    /// Written by the system.
    written: u64,
    /// When the system wrote some, or had nothing to write, last.
    last_progress: Time,
}

/// A connection to a receiver and what waits to be sent over it.
#[derive(Debug)]
pub struct ReceiverConnection {
    address: SocketAddr,
    /// A connection that makes no progress for so long is closed.
    stuck_timeout: Time,
    state: ConnectionState,
    buffer: SendBuffer,
    next_backoff: Time,
    random: ChaCha8Rng,
    failures: u64,
}

impl ReceiverConnection {
    /// A connection that buffers at most so many bytes and gives up one that makes no progress for so long.
    /// The seed spreads its attempts to connect.
    pub fn new(address: SocketAddr, max_bytes: usize, stuck_timeout: Time, seed: u64) -> ReceiverConnection {
        ReceiverConnection {
            address,
            stuck_timeout,
            state: ConnectionState::Disconnected { retry_at: 0 },
            buffer: SendBuffer::new(max_bytes),
            next_backoff: FIRST_BACKOFF,
            random: ChaCha8Rng::seed_from_u64(seed),
            failures: 0,
        }
    }

    /// What the receiver has missed so far.
    pub fn losses(&self) -> Losses {
        Losses { points_dropped: self.buffer.points_dropped(), connection_failures: self.failures }
    }

    /// Bytes that are not yet written, handed over or not.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.bytes()
    }

    /// Whether it is connected.
    pub fn is_connected(&self) -> bool {
        matches!(self.state, ConnectionState::Connected(_))
    }

    /// Queues chunks. Beyond the limit of bytes the oldest that are not handed over are dropped.
    pub fn send(&mut self, chunks: Vec<Chunk>) {
        for chunk in chunks {
            self.buffer.push(chunk);
        }
    }

    /// The connection was established.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.state, ConnectionState::Connecting { .. }) {
            let progress = Progress { handed_over: 0, written: 0, last_progress: now };
            self.state = ConnectionState::Connected(progress);
        }
    }

    /// The connection could not be established, or broke. What was not written completely is sent again.
    pub fn disconnected(&mut self, now: Time) {
        if matches!(self.state, ConnectionState::Disconnected { .. }) {
            return;
        }
        self.failures += 1;
        self.buffer.return_in_flight();
        let jitter = self.random.random_range(BACKOFF_JITTER);
        let backoff = (self.next_backoff as f64 * jitter) as Time;
        self.state = ConnectionState::Disconnected { retry_at: now + backoff };
        self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
    }

    /// The system has written so many bytes of this connection.
    pub fn written(&mut self, now: Time, bytes: u64) {
        let ConnectionState::Connected(progress) = &mut self.state else { return };
        let bytes = bytes.min(progress.handed_over);
        if bytes <= progress.written {
            return;
        }
        progress.written = bytes;
        progress.last_progress = now;
        if self.buffer.acknowledge(bytes) {
            self.next_backoff = FIRST_BACKOFF;
        }
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: Time) -> Vec<ConnectionAction> {
        let mut actions = Vec::new();
        if self.is_stuck(now) {
            actions.push(ConnectionAction::Close);
            self.disconnected(now);
        } else if self.may_connect(now) {
            self.state = ConnectionState::Connecting { since: now };
            actions.push(ConnectionAction::Connect(self.address));
        }
        self.hand_over(now, &mut actions);
        actions
    }

    /// When [`ReceiverConnection::poll`] has something to do next, if nothing happens before.
    pub fn next_wakeup(&self) -> Option<Time> {
        match &self.state {
            ConnectionState::Disconnected { retry_at } => self.buffer.has_unsent().then_some(*retry_at),
            ConnectionState::Connecting { since } => Some(since + self.stuck_timeout),
            ConnectionState::Connected(progress) => {
                self.buffer.has_in_flight().then_some(progress.last_progress + self.stuck_timeout)
            }
        }
    }

    fn may_connect(&self, now: Time) -> bool {
        match self.state {
            ConnectionState::Disconnected { retry_at } => retry_at <= now && self.buffer.has_unsent(),
            ConnectionState::Connecting { .. } | ConnectionState::Connected(_) => false,
        }
    }

    fn is_stuck(&self, now: Time) -> bool {
        match &self.state {
            ConnectionState::Disconnected { .. } => false,
            ConnectionState::Connecting { since } => since + self.stuck_timeout <= now,
            ConnectionState::Connected(progress) => {
                self.buffer.has_in_flight() && progress.last_progress + self.stuck_timeout <= now
            }
        }
    }

    fn hand_over(&mut self, now: Time, actions: &mut Vec<ConnectionAction>) {
        let ConnectionState::Connected(progress) = &mut self.state else { return };
        if !self.buffer.has_in_flight() {
            progress.last_progress = now;
        }
        while progress.handed_over - progress.written < MAX_UNWRITTEN_BYTES {
            let Some(bytes) = self.buffer.next(progress.handed_over) else { break };
            progress.handed_over += bytes.len() as u64;
            actions.push(ConnectionAction::Write(bytes));
        }
    }
}
