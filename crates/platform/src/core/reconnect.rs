//! The state machine of a connection to discovery that is re-established with exponential backoff.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// The delay before the first reconnect; each following one is twice as long, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Time = 20 * MILLISECOND;
/// The maximum delay before a reconnect.
const MAX_BACKOFF: Time = 500 * MILLISECOND;
/// A connection that is not established within this time counts as failed.
const CONNECT_TIMEOUT: Time = 1000 * MILLISECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Disconnected { retry_at: Time },
    Connecting { since: Time },
    Connected,
}

/// What the core has to do with a connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing has to be done.
    Nothing,
    /// Establish the connection.
    Connect,
    /// Close the connection; a later poll establishes it again.
    Close,
}

/// The state of one connection to discovery, and the delay before the reconnect after its next loss, in
/// nanoseconds.
#[derive(Debug)]
pub struct Reconnect {
    state: State,
    backoff: Time,
}

impl Reconnect {
    /// Creates a disconnected state in which a connect is due at once.
    pub fn new() -> Reconnect {
        Reconnect { state: State::Disconnected { retry_at: 0 }, backoff: MIN_BACKOFF }
    }

    /// Whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// Whether a connect is in progress and began at least [`CONNECT_TIMEOUT`] ago.
    pub fn connect_timed_out(&self, now: Time) -> bool {
        matches!(self.state, State::Connecting { since } if since + CONNECT_TIMEOUT <= now)
    }

    /// Begins a connect if one is due. Returns whether the caller has to establish the connection now.
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

    /// Records that the connection was lost or closed: a new connect is due after the backoff, which then
    /// doubles.
    pub fn disconnected(&mut self, now: Time) {
        self.state = State::Disconnected { retry_at: now + self.backoff };
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
    }

    /// Records that the connect failed locally, before it reached the network: a new one is due after
    /// [`MIN_BACKOFF`], and the backoff stays as it is.
    pub fn failed_locally(&mut self, now: Time) {
        self.schedule_retry(now + MIN_BACKOFF);
    }

    /// Schedules a new connect at `time` and leaves the backoff as it is. Used after a connection that
    /// discovery had accepted: it fell silent, or its only request was answered.
    pub fn schedule_retry(&mut self, time: Time) {
        self.state = State::Disconnected { retry_at: time };
    }

    /// Resets the backoff after a valid answer.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Returns the monotonic time of the next poll: the next connect or the connect timeout, or
    /// `connected_wake` while the connection is established.
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
