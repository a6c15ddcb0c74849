//! A single maximum of the idle time, halved by a loss and doubled by time.

use linnetcart::Time;

/// The maximum idle time after which a connection may be reused.
///
/// The evidence is a connection that is lost, or silent while its endpoint answers others, under the first
/// call after an idle period: from then on, connections are reused after at most half of that idle time.
/// Without further evidence the maximum doubles with each full idle timeout that passes, up to that timeout.
#[derive(Clone, Copy, Debug)]
pub struct MaxIdlePolicy {
    idle_timeout: Time,
    max_idle: Time,
    last_loss: Time,
}

impl MaxIdlePolicy {
    /// Creates a policy whose maximum is the timeout after which idle connections are closed in any case.
    pub fn new(idle_timeout: Time) -> Self {
        MaxIdlePolicy { idle_timeout, max_idle: idle_timeout, last_loss: 0 }
    }

    /// Returns the maximum idle time at `now`, in nanoseconds.
    pub fn max_idle(&self, now: Time) -> Time {
        let since_loss = now.saturating_sub(self.last_loss);
        let doublings = (since_loss / self.idle_timeout.max(1)).min(63) as u32;
        match self.max_idle.checked_mul(1 << doublings) {
            Some(recovered) => recovered.min(self.idle_timeout),
            None => self.idle_timeout,
        }
    }

    /// Records the loss of a call on a connection that had been idle for `idle` nanoseconds.
    pub fn record_loss(&mut self, now: Time, idle: Time) {
        self.max_idle = self.max_idle(now).min(idle) / 2;
        self.last_loss = now;
    }
}
