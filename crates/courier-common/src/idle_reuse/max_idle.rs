//! A single bound on the idle time, halved by a loss and doubled by time.

use linnetcart::Time;

/// The longest idle time after which a connection is still used.
///
/// A connection that dies, or stays silent where its endpoint answers others, under the first call after it was
/// idle is evidence: from then on connections are used after half of that idle time at most. Without further
/// evidence the bound doubles with each full idle timeout that passes, up to that timeout itself.
#[derive(Clone, Copy, Debug)]
pub struct MaxIdlePolicy {
    idle_timeout: Time,
    max_idle: Time,
    last_loss: Time,
}

impl MaxIdlePolicy {
    /// Starts with the timeout after which idle connections are closed anyway.
    pub fn new(idle_timeout: Time) -> Self {
        MaxIdlePolicy { idle_timeout, max_idle: idle_timeout, last_loss: 0 }
    }

    /// A connection that was idle for longer is not used any more.
    pub fn max_idle(&self, now: Time) -> Time {
        let since_loss = now.saturating_sub(self.last_loss);
        let doublings = (since_loss / self.idle_timeout.max(1)).min(63) as u32;
        match self.max_idle.checked_mul(1 << doublings) {
            Some(recovered) => recovered.min(self.idle_timeout),
            None => self.idle_timeout,
        }
    }

    /// A call was lost on a connection that had been idle for so long.
    pub fn record_loss(&mut self, now: Time, idle: Time) {
        self.max_idle = self.max_idle(now).min(idle) / 2;
        self.last_loss = now;
    }
}
