//! Reconnection to discovery with exponential backoff.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// The first backoff; each following one is twice as long.
const MIN_BACKOFF: Time = 20 * MILLISECOND;
/// The maximum backoff.
const MAX_BACKOFF: Time = 500 * MILLISECOND;
/// A connect that takes longer than this has failed.
const CONNECT_TIMEOUT: Time = 1000 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Disconnected { retry_at: Time },
    Connecting { since: Time },
    Connected,
}

/// What the owner of a connection requires of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDemand {
    /// Nothing.
    Nothing,
    /// Establish the connection.
    Connect,
    /// Close the connection; it is established again later.
    Close,
}

/// The state of the connection and its backoff.
#[derive(Debug)]
pub struct Reconnect {
    state: State,
    backoff: Time,
}

impl Reconnect {
    /// Creates a state in which the connection is due at once.
    pub fn new() -> Reconnect {
        Reconnect { state: State::Disconnected { retry_at: 0 }, backoff: MIN_BACKOFF }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// Whether the connect has timed out.
    pub fn connect_timed_out(&self, now: Time) -> bool {
        matches!(self.state, State::Connecting { since } if since + CONNECT_TIMEOUT <= now)
    }

    /// Begins a connect if one is due. Returns whether the connection has to be established now.
    pub fn begin_connect(&mut self, now: Time) -> bool {
        let due = matches!(self.state, State::Disconnected { retry_at } if retry_at <= now);
        if due {
            self.state = State::Connecting { since: now };
        }
        due
    }

    /// Records that the connection is established.
    pub fn connected(&mut self) {
        self.state = State::Connected;
    }

    /// Records that the connection was lost or closed: it is established again after the backoff, which
    /// doubles.
    pub fn disconnected(&mut self, now: Time) {
        self.state = State::Disconnected { retry_at: now + self.backoff };
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
    }

    /// Records that this machine could not begin the connect: it is tried again soon, without a longer backoff.
    pub fn failed_locally(&mut self, now: Time) {
        self.schedule_retry(now + MIN_BACKOFF);
    }

    /// Schedules a new connect at `time`, without a longer backoff, after a connection that ended as
    /// expected.
    pub fn schedule_retry(&mut self, time: Time) {
        self.state = State::Disconnected { retry_at: time };
    }

    /// Resets the backoff after a valid answer.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Returns when to poll again; `connected_wake` applies while the connection is established.
    pub fn next_wake(&self, connected_wake: Time) -> Time {
        match self.state {
            State::Disconnected { retry_at } => retry_at,
            State::Connecting { since } => since + CONNECT_TIMEOUT,
            State::Connected => connected_wake,
        }
    }
}

#[cfg(test)]
mod tests;
