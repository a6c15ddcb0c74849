//! How long an idle connection is trusted with a call.
//!
//! Something between a courier and an endpoint may drop connections that are idle, unseen by both. The next
//! call on such a connection is lost, and a message that must not run twice fails with it. A connection that
//! dies, or stays silent where its endpoint answers others, under the first call after it was idle, is evidence
//! of that: from then on connections are trusted for half of that idle time. Without further evidence the trust
//! doubles with each full idle time that passes, up to that time itself.
//!
//! It guards against middleboxes that forget flows, endpoints that close idle connections while a request is
//! under way, and restarts that nobody told of. Its harm: an endpoint that dies under such a call looks the
//! same, and for a while some connections are made anew that need not be.

use linnetcart::Time;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Trust {
    most: Time,
    trusted: Time,
    since: Time,
}

impl Trust {
    /// Full trust: up to the time after which idle connections are closed anyway.
    pub(crate) fn new(most: Time) -> Self {
        Trust { most, trusted: most, since: 0 }
    }

    /// A connection that was idle for longer is not used any more.
    pub(crate) fn now(&self, now: Time) -> Time {
        let doublings = (now.saturating_sub(self.since) / self.most.max(1)).min(63) as u32;
        self.trusted.checked_mul(1 << doublings).map_or(self.most, |t| t.min(self.most))
    }

    /// A call was lost on a connection that had been idle for so long.
    pub(crate) fn lost(&mut self, now: Time, idle: Time) {
        self.trusted = self.now(now).min(idle) / 2;
        self.since = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_loss_halves_and_time_doubles() {
        let mut t = Trust::new(1000);
        assert_eq!(t.now(5), 1000);
        t.lost(10, 600);
        assert_eq!(t.now(10), 300);
        t.lost(20, 900);
        assert_eq!(t.now(20), 150, "a longer idle time that was lost tells nothing new");
        assert_eq!(t.now(1020), 300);
        assert_eq!(t.now(2020), 600);
        assert_eq!(t.now(3020), 1000);
        assert_eq!(t.now(Time::MAX), 1000);
    }
}
