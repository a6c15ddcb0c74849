//! The state machine of a graceful shutdown: its phases and the conditions that end them.
//!
//! This is the only module that compares times since the signal; all others query the phase.
//!
//! No wake-up of the event loop is scheduled for the end of a phase. The loop wakes at least every 100 ms for
//! the sweep of client connections, so a phase may begin up to 100 ms late.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// Time after the signal during which clients are served as before. It is longer than the 400 ms that a
/// client waits for its answer, so that requests in progress at the signal are answered as usual.
pub const SIGNAL_GRACE_PERIOD: Time = 500 * MILLISECOND;
/// Time after the signal at which decisions stop, and with them new attempts. Attempts in flight then have
/// until [`ATTEMPT_CUTOFF`] to end. An earlier cutoff would leave the courier idle until its restart.
pub const DECISION_CUTOFF: Time = 2700 * MILLISECOND;
/// Time after the signal at which the process stops waiting for attempts and acknowledgements and exits. The
/// platform kills a process 3.7 s after the signal at the earliest; the last answers to clients have to be
/// sent before. The next process recovers the remaining messages from the journal.
pub const ATTEMPT_CUTOFF: Time = 3400 * MILLISECOND;

/// A phase of the shutdown. Phases only ever advance, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No termination signal has arrived.
    Serving,
    /// A signal arrived; clients are served as before. Ends [`SIGNAL_GRACE_PERIOD`] after the signal.
    Signalled,
    /// Connections are still accepted, but each answer says `Connection: close` and idle connections are
    /// closed. Ends when the listener is closed, with the next sweep of clients.
    Draining,
    /// The listener is closed; requests on open connections are answered. Ends [`DECISION_CUTOFF`] after the
    /// signal.
    ClosedToClients,
    /// No decision is made any more; the process waits for attempts in flight and for the acknowledgement of
    /// notifications. Ends when there are none, or [`ATTEMPT_CUTOFF`] after the signal.
    AwaitingAttempts,
    /// The process may exit.
    Ended,
}

/// Whether connections of clients are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Open,
    Closed,
}

/// Whether [`Phase::AwaitingAttempts`] has anything to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutstandingWork {
    /// Attempts are in flight or notifications are unacknowledged.
    Some,
    /// No attempt is in flight and no notification is unacknowledged.
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
    /// Creates the state before any signal, [`Phase::Serving`].
    pub fn new() -> Shutdown {
        Shutdown { phase: Phase::Serving, signalled_at: None, listener: Listener::Open }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles a termination signal. Further signals have no effect: all times count from the first.
    pub fn signal(&mut self, now: Time) {
        self.signalled_at.get_or_insert(now);
        self.advance(now);
    }

    /// Advances to the phase that the time since the signal requires, but never back.
    pub fn advance(&mut self, now: Time) {
        let Some(signalled_at) = self.signalled_at else { return };
        let by_time = if now < signalled_at + SIGNAL_GRACE_PERIOD {
            Phase::Signalled
        } else if now >= signalled_at + DECISION_CUTOFF {
            Phase::AwaitingAttempts
        } else if self.listener == Listener::Open {
            Phase::Draining
        } else {
            Phase::ClosedToClients
        };
        self.phase = self.phase.max(by_time);
    }

    /// Whether each answer to a client says `Connection: close` and idle connections are closed.
    pub fn closes_after_answer(&self) -> bool {
        self.phase >= Phase::Draining
    }

    /// Whether decisions are made and attempts started.
    pub fn allows_decisions(&self) -> bool {
        self.phase < Phase::AwaitingAttempts
    }

    /// Returns `true` once, when the caller has to close the listener: from [`Phase::Draining`] on.
    pub fn close_listener(&mut self) -> bool {
        if self.phase < Phase::Draining || self.listener == Listener::Closed {
            return false;
        }
        self.listener = Listener::Closed;
        self.phase = self.phase.max(Phase::ClosedToClients);
        true
    }

    /// Ends the shutdown if no work is outstanding in [`Phase::AwaitingAttempts`], or [`ATTEMPT_CUTOFF`]
    /// after the signal.
    pub fn finish(&mut self, now: Time, work: OutstandingWork) {
        let Some(signalled_at) = self.signalled_at else { return };
        let timed_out = now >= signalled_at + ATTEMPT_CUTOFF;
        let done = self.phase == Phase::AwaitingAttempts && work == OutstandingWork::None;
        if timed_out || done {
            self.phase = Phase::Ended;
        }
    }
}

#[cfg(test)]
mod tests;
