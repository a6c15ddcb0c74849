//! A connection to discovery that is made again, with backoff, whenever it is lost.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// The first backoff; each further one is twice as long.
const MIN_BACKOFF: Time = 20 * MILLISECOND;
/// The longest backoff.
const MAX_BACKOFF: Time = 500 * MILLISECOND;
/// A connection that is not there by then has failed.
const CONNECT_TIMEOUT: Time = 1000 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Disconnected { retry_at: Time },
    Connecting { since: Time },
    Connected,
}

/// What a connection's owner asks of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDemand {
    /// Nothing.
    Nothing,
    /// Make it.
    Connect,
    /// Close it; it is made again later.
    Close,
}

/// State and backoff of the connection.
#[derive(Debug)]
pub struct Reconnect {
    state: State,
    backoff: Time,
}

impl Reconnect {
    /// One that is to be made at once.
    pub fn new() -> Reconnect {
        Reconnect { state: State::Disconnected { retry_at: 0 }, backoff: MIN_BACKOFF }
    }

    /// Whether it is there.
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// Whether it is taking too long to be made.
    pub fn connect_timed_out(&self, now: Time) -> bool {
        matches!(self.state, State::Connecting { since } if since + CONNECT_TIMEOUT <= now)
    }

    /// Begins to connect where it is time to. True: a connection is to be made now.
    pub fn begin_connect(&mut self, now: Time) -> bool {
        let due = matches!(self.state, State::Disconnected { retry_at } if retry_at <= now);
        if due {
            self.state = State::Connecting { since: now };
        }
        due
    }

    /// It is there.
    pub fn connected(&mut self) {
        self.state = State::Connected;
    }

    /// It was lost, or given up: it is made again after the backoff, which grows.
    pub fn disconnected(&mut self, now: Time) {
        self.state = State::Disconnected { retry_at: now + self.backoff };
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
    }

    /// It ended as it should: it is made again from this time on, and the backoff does not grow.
    pub fn retry_at(&mut self, time: Time) {
        self.state = State::Disconnected { retry_at: time };
    }

    /// The other side answered as it should.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// When to look again; `connected_wake` counts while it is there.
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
