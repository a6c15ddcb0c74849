//! The wake-up timer of a dispatcher: when it needs its next decision cycle.

use crate::interface::Time;

/// Value of [`WakeUpTimer`] fields for no wake-up.
const NO_WAKE_UP: Time = Time::MAX;

/// Merges the wake-up times of one decision cycle into at most one request to the courier.
#[derive(Debug)]
pub(crate) struct WakeUpTimer {
    /// Clock time, in nanoseconds, by which the present cycle needs the next one: the minimum over the calls
    /// of [`want_by`](Self::want_by) in this cycle.
    wanted_at: Time,
    /// Clock time, in nanoseconds, of the wake-up that was requested last; a new request replaces it.
    pending_at: Time,
}

impl Default for WakeUpTimer {
    fn default() -> Self {
        WakeUpTimer { wanted_at: NO_WAKE_UP, pending_at: NO_WAKE_UP }
    }
}

impl WakeUpTimer {
    /// Starts a decision cycle. Returns its delay in nanoseconds: `now` minus the time of the pending
    /// wake-up, or 0 if none is due yet.
    pub(crate) fn start_cycle(&mut self, now: Time) -> Time {
        self.wanted_at = NO_WAKE_UP;
        now.saturating_sub(self.pending_at)
    }

    /// Asks for the next decision cycle at clock time `at` or before.
    pub(crate) fn want_by(&mut self, at: Time) {
        self.wanted_at = self.wanted_at.min(at);
    }

    /// Ends a decision cycle. Returns the clock time of the wake-up to request, or `None` when the pending
    /// one is early enough or none is needed. `tick` is the shortest interval between two decision cycles.
    pub(crate) fn end_cycle(&mut self, now: Time, tick: Time) -> Option<Time> {
        // The courier may round wake-up times down: one that is due within a tick may have started this
        // cycle, so it counts as used.
        let used = self.pending_at <= now + tick;
        if !used && self.wanted_at >= self.pending_at {
            return None;
        }
        self.pending_at = self.wanted_at.max(now + 1);
        (self.pending_at != NO_WAKE_UP).then_some(self.pending_at)
    }
}
