//! One maximum idle time for all connections, halved by a loss and doubled by time without losses.

use linnetcart::Time;

/// Maximum time for which a connection may be idle and still be reused.
///
/// A loss is a connection that breaks on the first call after an idle period, or leaves that call unanswered
/// while the endpoint answers other calls. It sets the maximum to half of that idle time, or to half of the
/// present maximum if that is shorter. Without further losses the maximum doubles each time a full
/// `idle_timeout` has passed, up to `idle_timeout`.
#[derive(Clone, Copy, Debug)]
pub struct MaxIdlePolicy {
    /// Idle time in nanoseconds after which a connection is closed even without any loss.
    idle_timeout: Time,
    /// Maximum idle time that the loss at `last_loss` left, in nanoseconds; `idle_timeout` before the first
    /// loss.
    max_idle: Time,
    /// Clock time of the last loss in nanoseconds; 0 before the first.
    last_loss: Time,
}

impl MaxIdlePolicy {
    /// Creates a policy whose initial maximum is `idle_timeout`, the idle time in nanoseconds after which a
    /// connection is closed even without any loss.
    pub fn new(idle_timeout: Time) -> Self {
        MaxIdlePolicy { idle_timeout, max_idle: idle_timeout, last_loss: 0 }
    }

    /// Returns the maximum idle time at clock time `now`, in nanoseconds.
    pub fn max_idle(&self, now: Time) -> Time {
        let since_loss = now.saturating_sub(self.last_loss);
        let doublings = (since_loss / self.idle_timeout.max(1)).min(63) as u32;
        match self.max_idle.checked_mul(1 << doublings) {
            Some(recovered) => recovered.min(self.idle_timeout),
            None => self.idle_timeout,
        }
    }

    /// Records that a call was lost at clock time `now` on a connection that had been idle for `idle`
    /// nanoseconds.
    pub fn record_loss(&mut self, now: Time, idle: Time) {
        self.max_idle = self.max_idle(now).min(idle) / 2;
        self.last_loss = now;
    }
}
