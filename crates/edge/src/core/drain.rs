//! Graceful shutdown: whether the courier drains, and until when it still delivers the messages in flight.

use linnetcart::Time;

/// Whether the courier drains, and the deadline for the messages in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    /// When the drain is over, by the monotonic clock; `None` while the courier does not drain.
    deadline: Option<Time>,
}

impl Drain {
    /// Begins to drain until `deadline`, by the monotonic clock. If the courier drains already, the earlier
    /// of the two deadlines applies.
    pub(crate) fn begin(&mut self, deadline: Time) {
        self.deadline = Some(self.deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns when the messages that are still in flight get their final answers without further attempts,
    /// by the monotonic clock, or `None` while the courier does not drain.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.deadline
    }

    /// Returns whether the courier drains and the deadline has passed.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}
