//! Graceful shutdown: from when nothing is accepted, and until when the messages in flight are worked on.

use linnetcart::Time;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    deadline: Option<Time>,
}

impl Drain {
    /// Begins to drain, or moves the deadline forward; it is never put off.
    pub(crate) fn begin(&mut self, deadline: Time) {
        self.deadline = Some(self.deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.deadline.is_some()
    }

    /// When what is still in flight ends; `None` while it is not draining.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.deadline
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}
