//! Graceful shutdown: whether the courier drains, and until when it works on the messages in flight.

use linnetcart::Time;

/// The state of the graceful shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    deadline: Option<Time>,
}

impl Drain {
    /// Begins to drain until `deadline`. If it drains already, the earlier deadline holds.
    pub(crate) fn begin(&mut self, deadline: Time) {
        self.deadline = Some(self.deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns when the messages that are still in flight end, or `None` while it is not draining.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.deadline
    }

    /// Returns whether the deadline has passed.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}
