//! A connection to a receiver, with a bounded send buffer and exponential backoff between reconnections.
//!
//! [`ReceiverConnection`] owns no socket: its owner reports the events of a socket and polls for actions.
//! Bytes that a receiver does not accept stay in the buffer until newer reports displace them, oldest first.
//! Times are readings of the monotonic clock, and all durations are in nanoseconds.

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

/// Backoff after the first failure, in nanoseconds; each further failure doubles it up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Time = SECOND;
const MAX_BACKOFF: Time = 60 * SECOND;
/// Jitter: a backoff is multiplied by a random factor in this range, so that couriers do not reconnect at the
/// same time.
const BACKOFF_JITTER: std::ops::Range<f64> = 0.5..1.5;
/// A chunk is handed to the system only while fewer than this many bytes are handed over and not yet written.
/// The last chunk may exceed it, since chunks are not split. Chunks not handed over can still be dropped.
const MAX_UNWRITTEN_BYTES: u64 = 256 << 10;

/// An action for the owner of a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionAction {
    /// Connect to this address.
    Connect(SocketAddr),
    /// Write these bytes after those of earlier actions.
    Write(Bytes),
    /// Close at once, without waiting for unwritten bytes.
    Close,
}

/// Losses of a receiver since its connection was configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Points dropped by the send buffer.
    pub points_dropped: u64,
    /// Connections that failed or broke.
    pub connection_failures: u64,
}

#[derive(Debug, PartialEq)]
enum ConnectionState {
    Disconnected {
        /// Earliest time of the next connection attempt.
        retry_at: Time,
    },
    Connecting {
        /// When the connection attempt was started.
        since: Time,
    },
    Connected(Progress),
}

/// Progress of writing on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Progress {
    /// Number of bytes handed to the system on this connection.
    handed_over: u64,
    /// Number of the bytes handed over that the system has written to the socket.
    written: u64,
    /// When the system last wrote bytes, or last had no bytes to write.
    last_progress: Time,
}

/// A connection to a receiver, with the chunks that wait to be sent.
#[derive(Debug)]
pub struct ReceiverConnection {
    address: SocketAddr,
    /// A connection without progress for this long, in nanoseconds, is closed.
    stuck_timeout: Time,
    state: ConnectionState,
    buffer: SendBuffer,
    /// Backoff after the next failure, before jitter.
    next_backoff: Time,
    /// Source of the jitter.
    random: ChaCha8Rng,
    failures: u64,
}

impl ReceiverConnection {
    /// Creates a connection that buffers at most `max_bytes` and is closed after `stuck_timeout` nanoseconds
    /// without progress. The seed determines the jitter and should differ between couriers.
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

    /// Returns the losses of the receiver so far.
    pub fn losses(&self) -> Losses {
        Losses { points_dropped: self.buffer.points_dropped(), connection_failures: self.failures }
    }

    /// Returns the number of bytes that are not yet written, including those handed to the system.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.bytes()
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        matches!(self.state, ConnectionState::Connected(_))
    }

    /// Appends chunks to the send buffer. Beyond its maximum size, the oldest unsent chunks are dropped.
    pub fn send(&mut self, chunks: Vec<Chunk>) {
        for chunk in chunks {
            self.buffer.push(chunk);
        }
    }

    /// Handles that the connection was established.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.state, ConnectionState::Connecting { .. }) {
            let progress = Progress { handed_over: 0, written: 0, last_progress: now };
            self.state = ConnectionState::Connected(progress);
        }
    }

    /// Handles that the connection failed or broke, and schedules the next attempt. Chunks that were not
    /// written completely are sent again.
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

    /// Handles that the system has written `bytes` bytes in total since the connection was established. The
    /// first chunk written completely resets the backoff.
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

    /// Closes a connection that is stuck, connects if the backoff has elapsed and there is something to send,
    /// and hands chunks to an established connection. Returns these actions for the caller to carry out.
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

    /// Returns the time at which [`Self::poll`] must be called next, or `None` if no timer is running.
    pub fn next_wakeup(&self) -> Option<Time> {
        match &self.state {
            ConnectionState::Disconnected { retry_at } => self.buffer.has_unsent().then_some(*retry_at),
            ConnectionState::Connecting { since } => Some(since + self.stuck_timeout),
            ConnectionState::Connected(progress) => {
                self.buffer.has_in_flight().then_some(progress.last_progress + self.stuck_timeout)
            }
        }
    }

    /// Whether a connection attempt is due: the backoff has elapsed and there is something to send.
    fn may_connect(&self, now: Time) -> bool {
        match self.state {
            ConnectionState::Disconnected { retry_at } => retry_at <= now && self.buffer.has_unsent(),
            ConnectionState::Connecting { .. } | ConnectionState::Connected(_) => false,
        }
    }

    /// Whether connecting, or writing what is in flight, made no progress for [`Self::stuck_timeout`].
    fn is_stuck(&self, now: Time) -> bool {
        match &self.state {
            ConnectionState::Disconnected { .. } => false,
            ConnectionState::Connecting { since } => since + self.stuck_timeout <= now,
            ConnectionState::Connected(progress) => {
                self.buffer.has_in_flight() && progress.last_progress + self.stuck_timeout <= now
            }
        }
    }

    /// Hands chunks to the system until [`MAX_UNWRITTEN_BYTES`] are unwritten.
    fn hand_over(&mut self, now: Time, actions: &mut Vec<ConnectionAction>) {
        let ConnectionState::Connected(progress) = &mut self.state else { return };
        if !self.buffer.has_in_flight() {
            progress.last_progress = now;
        }
        while progress.handed_over - progress.written < MAX_UNWRITTEN_BYTES {
            let Some(bytes) = self.buffer.next_chunk(progress.handed_over) else { break };
            progress.handed_over += bytes.len() as u64;
            actions.push(ConnectionAction::Write(bytes));
        }
    }
}
