//! The event queue of the discrete-event simulation, and the virtual clock that it drives.

use linnetcart_conformance::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// Events ordered by time. Events of the same instant are processed in the order in which they were
/// scheduled.
pub(crate) struct EventQueue<E> {
    now: Time,
    last_sequence: u64,
    processed: u64,
    scheduled: BinaryHeap<Reverse<ScheduledEvent<E>>>,
}

/// The position of an event in the queue: by time, then in the order of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventPosition {
    due: Time,
    sequence: u64,
}

struct ScheduledEvent<E> {
    position: EventPosition,
    event: E,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { now: 0, last_sequence: 0, processed: 0, scheduled: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Sets the clock, forward or back. The outputs of an event loop iteration are sent with the clock at the
    /// end of the iteration; then the clock is set back to the beginning of the iteration, since earlier
    /// events are still queued.
    pub(crate) fn set_now(&mut self, now: Time) {
        self.now = now;
    }

    /// Returns the number of events processed so far.
    pub(crate) fn processed(&self) -> u64 {
        self.processed
    }

    /// Returns when the next event is due, or `None` if there is none.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.scheduled.peek().map(|Reverse(next)| next.position.due)
    }

    /// Schedules an event for `due`, or for the present time if `due` is in the past.
    pub(crate) fn schedule(&mut self, due: Time, event: E) {
        self.last_sequence += 1;
        let position = EventPosition { due: due.max(self.now), sequence: self.last_sequence };
        self.scheduled.push(Reverse(ScheduledEvent { position, event }));
    }

    /// Removes and returns the next event, and sets the clock to the time at which the event is due.
    pub(crate) fn pop(&mut self) -> Option<E> {
        let Reverse(next) = self.scheduled.pop()?;
        self.now = next.position.due;
        self.processed += 1;
        Some(next.event)
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.position == other.position
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.position.cmp(&other.position)
    }
}
