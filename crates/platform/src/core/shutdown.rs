//! The phases of a graceful shutdown, and what ends each.
//!
//! This is the only place that compares times since the signal; all else asks for the phase.

use super::clock::MILLISECOND;
use linnetcart::Time;

/// Clients are served as before for this long after the signal. It is longer than the 400 ms that a client waits for
/// its answer, so that what the signal found under way ends as it began.
pub const SIGNAL_GRACE_PERIOD: Time = 500 * MILLISECOND;
/// No decision is made, so no attempt started, later than this after the signal. Attempts that are out then have
/// until [`LAST_ANSWER_TIMEOUT`] to end; stopping earlier would have a courier stand still until its restart.
pub const LAST_DECISION_TIMEOUT: Time = 2700 * MILLISECOND;
/// No answer is awaited later than this after the signal: the platform kills a process no sooner than 3.7 s after it,
/// and the last answers have to leave before. What is left belongs to the next process.
pub const LAST_ANSWER_TIMEOUT: Time = 3400 * MILLISECOND;

/// A phase. Each follows on the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No signal came.
    Serving,
    /// A signal came; nothing has changed for clients yet. Ends after [`SIGNAL_GRACE_PERIOD`].
    Signalled,
    /// Still taking connections; each answer says `Connection: close`, and idle connections are closed. Ends when
    /// the listener is closed, with the next sweep of clients.
    Draining,
    /// The listener is closed; clients that are connected are answered. Ends after [`LAST_DECISION_TIMEOUT`].
    ClosedToClients,
    /// No decision is made any more, and attempts are awaited. Ends when no attempt is out and no notification is
    /// unacknowledged, or after [`LAST_ANSWER_TIMEOUT`].
    LastAnswers,
    /// The program may end.
    Ended,
}

/// Whether connections of clients are still taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Open,
    Closed,
}

/// What is still awaited in [`Phase::LastAnswers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutstandingWork {
    /// Attempts or acknowledgements.
    Some,
    /// Nothing.
    None,
}

/// The shutdown of this process.
#[derive(Debug)]
pub struct Shutdown {
    phase: Phase,
    signalled_at: Option<Time>,
    listener: Listener,
}

impl Shutdown {
    /// A process that serves.
    pub fn new() -> Shutdown {
        Shutdown { phase: Phase::Serving, signalled_at: None, listener: Listener::Open }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The signal to end came. A second one changes nothing.
    pub fn signal(&mut self, now: Time) {
        self.signalled_at.get_or_insert(now);
        self.advance(now);
    }

    /// Ends the phases whose time is up.
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

    /// Whether each answer to a client ends its connection.
    pub fn closes_after_answer(&self) -> bool {
        self.phase >= Phase::Draining
    }

    /// Whether decisions are made, and attempts started.
    pub fn allows_decisions(&self) -> bool {
        self.phase < Phase::LastAnswers
    }

    /// The listener may be closed now. True once: it is to be closed.
    pub fn close_listener(&mut self) -> bool {
        if self.phase < Phase::Draining || self.listener == Listener::Closed {
            return false;
        }
        self.listener = Listener::Closed;
        self.phase = self.phase.max(Phase::ClosedToClients);
        true
    }

    /// Ends the last phase when nothing is outstanding, or its time is up.
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
