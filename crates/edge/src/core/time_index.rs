//! An ordered index of ids by a time. It serves as a timer queue for deadlines and timeouts, and orders
//! connections by the time since when they have been idle.

use linnetcart::Time;
use std::collections::BTreeSet;

/// An id and the time that it is indexed by. Entries are ordered by time, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimeEntry<Id> {
    pub(crate) at: Time,
    pub(crate) id: Id,
}

/// Ids in the order of their times. An id may have several entries.
#[derive(Debug)]
pub(crate) struct TimeIndex<Id> {
    entries: BTreeSet<TimeEntry<Id>>,
}

impl<Id> Default for TimeIndex<Id> {
    fn default() -> Self {
        TimeIndex { entries: BTreeSet::new() }
    }
}

impl<Id: Copy + Ord> TimeIndex<Id> {
    /// Adds an entry. Does nothing if the index has it already.
    pub(crate) fn insert(&mut self, at: Time, id: Id) {
        self.entries.insert(TimeEntry { at, id });
    }

    /// Removes an entry. Does nothing if the index does not have it.
    pub(crate) fn remove(&mut self, at: Time, id: Id) {
        self.entries.remove(&TimeEntry { at, id });
    }

    /// Returns the earliest time, or `None` when the index is empty.
    pub(crate) fn earliest(&self) -> Option<Time> {
        self.entries.first().map(|entry| entry.at)
    }

    /// Returns the first entry whose time is at or before `now`, or `None` when there is none.
    pub(crate) fn first_due(&self, now: Time) -> Option<TimeEntry<Id>> {
        self.entries.first().copied().filter(|entry| entry.at <= now)
    }

    /// Returns the ids whose times are at or before `now`, earliest first.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = Id> + '_ {
        self.iter().take_while(move |entry| entry.at <= now).map(|entry| entry.id)
    }

    /// Returns all entries, earliest first.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = TimeEntry<Id>> + '_ {
        self.entries.iter().copied()
    }
}

#[cfg(test)]
mod tests;
