//! The event queue and the virtual clock that it drives.

use linnetcart_conformance::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// Events by time; those of the same instant in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    now: Time,
    last_sequence: u64,
    processed: u64,
    scheduled: BinaryHeap<Reverse<ScheduledEvent<E>>>,
}

struct ScheduledEvent<E> {
    due: Time,
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { now: 0, last_sequence: 0, processed: 0, scheduled: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Sets the clock. It may go back: what a host sends leaves at the end of its iteration, while other
    /// events of that span are still to come.
    pub(crate) fn set_now(&mut self, now: Time) {
        self.now = now;
    }

    /// Events processed so far.
    pub(crate) fn processed(&self) -> u64 {
        self.processed
    }

    /// When the next event is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.scheduled.peek().map(|Reverse(next)| next.due)
    }

    /// Schedules an event, at the present at the earliest.
    pub(crate) fn schedule(&mut self, due: Time, event: E) {
        self.last_sequence += 1;
        let due = due.max(self.now);
        self.scheduled.push(Reverse(ScheduledEvent { due, sequence: self.last_sequence, event }));
    }

    /// Takes the next event and sets the clock to its time.
    pub(crate) fn pop(&mut self) -> Option<E> {
        let Reverse(next) = self.scheduled.pop()?;
        self.now = next.due;
        self.processed += 1;
        Some(next.event)
    }
}

impl<E> ScheduledEvent<E> {
    fn order(&self) -> (Time, u64) {
        (self.due, self.sequence)
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
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
        self.order().cmp(&other.order())
    }
}
