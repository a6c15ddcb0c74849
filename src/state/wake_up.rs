//! The timer by which a dispatcher asks for its next decision cycle.

use crate::interface::Time;

/// No wake-up is wanted or pending.
const NO_WAKE_UP: Time = Time::MAX;

/// The earliest time at which the present cycle wants the next one, and the wake-up that was requested last.
#[derive(Debug)]
pub(crate) struct WakeUpTimer {
    wanted_at: Time,
    pending_at: Time,
}

impl Default for WakeUpTimer {
    fn default() -> Self {
        WakeUpTimer { wanted_at: NO_WAKE_UP, pending_at: NO_WAKE_UP }
    }
}

impl WakeUpTimer {
    /// Starts a decision cycle; returns how much later it came than the pending wake-up was due, 0 if it did
    /// not.
    pub(crate) fn start_cycle(&mut self, now: Time) -> Time {
        self.wanted_at = NO_WAKE_UP;
        now.saturating_sub(self.pending_at)
    }

    /// Wants the next decision cycle at this time at the latest.
    pub(crate) fn want_by(&mut self, at: Time) {
        self.wanted_at = self.wanted_at.min(at);
    }

    /// Ends a decision cycle; returns the wake-up to request, or `None` when the pending one is early enough
    /// or none is wanted.
    pub(crate) fn end_cycle(&mut self, now: Time, tick: Time) -> Option<Time> {
        // A wake-up may come rounded down: one that is due within a tick counts as used.
        let used = self.pending_at <= now + tick;
        if !used && self.wanted_at >= self.pending_at {
            return None;
        }
        self.pending_at = self.wanted_at.max(now + 1);
        (self.pending_at != NO_WAKE_UP).then_some(self.pending_at)
    }
}
