//! The deadline index: attempts in flight in the order in which they come due, to be hedged or as overdue.

use super::AttemptId;
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt in flight; the first sent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SentAttempt {
    pub(crate) sent_at: Time,
    pub(crate) message: u32,
    pub(crate) attempt: u16,
}

/// An attempt that has come due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueAttempt {
    pub(crate) message: u32,
    pub(crate) attempt: u16,
    pub(crate) sent_at: Time,
    pub(crate) due_at: Time,
}

impl DueAttempt {
    /// Returns the id of the attempt.
    pub(crate) fn id(&self) -> AttemptId {
        AttemptId { message: self.message, attempt: self.attempt }
    }
}

/// Attempts that have come due, and when the next one will, of any group.
#[derive(Clone, Debug)]
pub(crate) struct DueAttempts {
    pub(crate) attempts: Vec<DueAttempt>,
    pub(crate) next_due_at: Option<Time>,
}

/// Attempts that come due the same span of time after they were sent: those of one class to one destination,
/// or to all destinations that have no groups of their own yet (`None`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptGroup {
    pub(crate) destination: Option<u32>,
    pub(crate) class: usize,
}

impl AttemptGroup {
    /// Returns the group of the same class for all destinations that have no groups of their own.
    pub(crate) fn shared(self) -> Self {
        AttemptGroup { destination: None, class: self.class }
    }
}

/// The attempts of a group and the span of time after sending at which each comes due.
#[derive(Debug, Default)]
struct GroupEntry {
    span: Time,
    attempts: BTreeSet<SentAttempt>,
}

impl GroupEntry {
    fn due_at(&self, attempt: &SentAttempt) -> Time {
        attempt.sent_at.saturating_add(self.span)
    }

    fn first_due_at(&self) -> Option<Time> {
        self.attempts.first().map(|first| self.due_at(first))
    }

    /// Returns when the first attempt comes due that is not due at `now`.
    fn next_due_at(&self, now: Time) -> Option<Time> {
        let sent_at = now.saturating_sub(self.span) + 1;
        let not_due = SentAttempt { sent_at, message: 0, attempt: 0 };
        self.attempts.range(not_due..).next().map(|next| self.due_at(next))
    }
}

/// A group and when the first of its attempts comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupDeadline {
    at: Time,
    group: AttemptGroup,
}

/// Attempts in flight by when they come due: the groups by their first attempt, and within a group in the
/// order in which the attempts were sent.
#[derive(Debug, Default)]
pub(crate) struct DeadlineIndex {
    groups: BTreeMap<AttemptGroup, GroupEntry>,
    deadlines: BTreeSet<GroupDeadline>,
}

impl DeadlineIndex {
    /// Changes a group and updates its position among the others.
    fn change(&mut self, group: AttemptGroup, change: impl FnOnce(&mut GroupEntry)) {
        let entry = self.groups.entry(group).or_default();
        let before = entry.first_due_at();
        change(entry);
        let after = entry.first_due_at();
        if entry.attempts.is_empty() {
            self.groups.remove(&group);
        }
        if before == after {
            return;
        }
        if let Some(at) = before {
            self.deadlines.remove(&GroupDeadline { at, group });
        }
        if let Some(at) = after {
            self.deadlines.insert(GroupDeadline { at, group });
        }
    }

    /// Adds an attempt; all attempts of its group come due after `span` from now on.
    pub(crate) fn insert(&mut self, group: AttemptGroup, span: Time, attempt: SentAttempt) {
        self.change(group, |entry| {
            entry.attempts.insert(attempt);
            entry.span = span;
        });
    }

    /// Removes an attempt.
    pub(crate) fn remove(&mut self, group: AttemptGroup, attempt: SentAttempt) {
        self.change(group, |entry| {
            entry.attempts.remove(&attempt);
        });
    }

    /// Sets the span after which the attempts of a group come due.
    pub(crate) fn set_span(&mut self, group: AttemptGroup, span: Time) {
        if self.groups.get(&group).is_some_and(|entry| entry.span != span) {
            self.change(group, |entry| entry.span = span);
        }
    }

    /// Moves the attempts of the messages for which `belongs` is true from one group to another.
    pub(crate) fn move_attempts(
        &mut self,
        from: AttemptGroup,
        to: AttemptGroup,
        span: Time,
        belongs: impl Fn(u32) -> bool,
    ) {
        let Some(entry) = self.groups.get(&from) else { return };
        let moving = entry.attempts.iter().filter(|attempt| belongs(attempt.message));
        let moving: Vec<SentAttempt> = moving.copied().collect();
        for attempt in moving {
            self.remove(from, attempt);
            self.insert(to, span, attempt);
        }
    }

    /// Returns the attempts due at `now` of the groups for which `included` is true, by message and attempt,
    /// and when the next attempt of any group comes due after that.
    pub(crate) fn all_due(&self, now: Time, included: impl Fn(AttemptGroup) -> bool) -> DueAttempts {
        let groups: Vec<AttemptGroup> = self.due_groups(now).collect();
        let mut attempts = Vec::new();
        for &group in groups.iter().filter(|&&group| included(group)) {
            attempts.extend(self.due_in_group(group, now));
        }
        attempts.sort_unstable();
        let next_group = self.deadlines.iter().nth(groups.len()).map(|deadline| deadline.at);
        let within_groups = groups.iter().filter_map(|group| self.groups[group].next_due_at(now));
        DueAttempts { attempts, next_due_at: within_groups.chain(next_group).min() }
    }

    /// Returns the groups that have an attempt due at `now`.
    fn due_groups(&self, now: Time) -> impl Iterator<Item = AttemptGroup> + '_ {
        let due = self.deadlines.iter().take_while(move |deadline| deadline.at <= now);
        due.map(|deadline| deadline.group)
    }

    /// Returns the attempts of a group that are due at `now`.
    fn due_in_group(&self, group: AttemptGroup, now: Time) -> impl Iterator<Item = DueAttempt> + '_ {
        let entry = &self.groups[&group];
        let due = entry.attempts.iter().map(|sent| DueAttempt {
            message: sent.message,
            attempt: sent.attempt,
            sent_at: sent.sent_at,
            due_at: entry.due_at(sent),
        });
        due.take_while(move |attempt| attempt.due_at <= now)
    }
}
