//! The phases of a graceful shutdown, and what ends each of them.
//!
//! This is the only module that compares times since the signal; all others query the phase.
//!
//! Phases begin by time, but no wake-up of the event loop is scheduled for them. The loop wakes at least
//! every 100 ms for the sweep of client connections, so that a phase begins up to that much late.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// Clients are served as before for this long after the signal. It is longer than the 400 ms that a client
/// waits for its answer, so that requests in progress at the signal are answered as usual.
pub const SIGNAL_GRACE_PERIOD: Time = 500 * MILLISECOND;
/// No decision is made, and so no attempt is started, later than this after the signal. Attempts in flight
/// then have until [`LAST_ANSWER_TIMEOUT`] to end. An earlier end would leave the courier idle until its
/// restart.
pub const LAST_DECISION_TIMEOUT: Time = 2700 * MILLISECOND;
/// No answer is awaited later than this after the signal. The platform kills a process 3.7 s after the signal
/// at the earliest, and the last answers have to be sent before. The next process takes over what is left.
pub const LAST_ANSWER_TIMEOUT: Time = 3400 * MILLISECOND;

/// A phase of the shutdown. Phases only ever advance, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No signal arrived.
    Serving,
    /// A signal arrived; nothing has changed for clients yet. Ends after [`SIGNAL_GRACE_PERIOD`].
    Signalled,
    /// Connections are still accepted, but each answer says `Connection: close` and idle connections are
    /// closed. Ends when the listener is closed, with the next sweep of clients.
    Draining,
    /// The listener is closed; requests on open connections are answered. Ends after
    /// [`LAST_DECISION_TIMEOUT`].
    ClosedToClients,
    /// No decision is made any more; attempts in flight are awaited. Ends when no attempt is in flight and no
    /// notification is unacknowledged, or after [`LAST_ANSWER_TIMEOUT`].
    LastAnswers,
    /// The program may exit.
    Ended,
}

/// Whether connections of clients are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Open,
    Closed,
}

/// Whether anything is awaited in [`Phase::LastAnswers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutstandingWork {
    /// Attempts are in flight or notifications are unacknowledged.
    Some,
    /// Nothing is awaited.
    None,
}

/// The state of this process's shutdown.
#[derive(Debug)]
pub struct Shutdown {
    phase: Phase,
    signalled_at: Option<Time>,
    listener: Listener,
}

impl Shutdown {
    /// Creates the state of a process that serves.
    pub fn new() -> Shutdown {
        Shutdown { phase: Phase::Serving, signalled_at: None, listener: Listener::Open }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles a termination signal. A second one has no effect.
    pub fn signal(&mut self, now: Time) {
        self.signalled_at.get_or_insert(now);
        self.advance(now);
    }

    /// Ends the phases whose time has passed.
    pub fn advance(&mut self, now: Time) {
        let Some(signalled_at) = self.signalled_at else { return };
        let by_time = if now < signalled_at + SIGNAL_GRACE_PERIOD {
            Phase::Signalled
        } else if now >= signalled_at + LAST_DECISION_TIMEOUT {
            Phase::LastAnswers
        } else if self.listener == Listener::Open {
            Phase::Draining
        } else {
            Phase::ClosedToClients
        };
        self.phase = self.phase.max(by_time);
    }

    /// Whether each answer to a client closes its connection.
    pub fn closes_after_answer(&self) -> bool {
        self.phase >= Phase::Draining
    }

    /// Whether decisions are made and attempts started.
    pub fn allows_decisions(&self) -> bool {
        self.phase < Phase::LastAnswers
    }

    /// Closes the listener if the phase requires it. Returns `true` once, when the caller has to close it.
    pub fn close_listener(&mut self) -> bool {
        if self.phase < Phase::Draining || self.listener == Listener::Closed {
            return false;
        }
        self.listener = Listener::Closed;
        self.phase = self.phase.max(Phase::ClosedToClients);
        true
    }

    /// Ends the last phase when nothing is awaited any more or its time has passed.
    pub fn finish(&mut self, now: Time, work: OutstandingWork) {
        let Some(signalled_at) = self.signalled_at else { return };
        let timed_out = now >= signalled_at + LAST_ANSWER_TIMEOUT;
        let done = self.phase == Phase::LastAnswers && work == OutstandingWork::None;
        if timed_out || done {
            self.phase = Phase::Ended;
        }
    }
}

#[cfg(test)]
mod tests;
