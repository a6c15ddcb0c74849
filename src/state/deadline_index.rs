//! Deadline index: attempts in flight in the order in which they come due, for hedging or as overdue.
//!
//! An attempt comes due a span of time after it was sent. All attempts of a group have the same span, so the
//! order of sending is the order of deadlines within a group. Changing the span of a group moves only one
//! entry, that of the group's first deadline.

use super::AttemptId;
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Index entry of an attempt in flight. Entries sort by time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SentAttempt {
    /// Clock time of sending, in nanoseconds.
    pub(crate) sent_at: Time,
    pub(crate) message: u32,
    pub(crate) attempt: u16,
}

/// An attempt that has come due, with the clock times of sending and of its deadline in nanoseconds.
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

/// Result of [`DeadlineIndex::all_due`].
#[derive(Clone, Debug)]
pub(crate) struct DueAttempts {
    /// The attempts that are due, in order of message and attempt.
    pub(crate) attempts: Vec<DueAttempt>,
    /// Clock time at which the next attempt of any group comes due; `None` when there is none.
    pub(crate) next_due_at: Option<Time>,
}

/// Key of a group of attempts with the same span from sending to deadline: the attempts of one class to one
/// destination, or to all destinations without groups of their own (`None`, the shared group of the class).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptGroup {
    pub(crate) destination: Option<u32>,
    pub(crate) class: usize,
}

impl AttemptGroup {
    /// Returns the shared group of the same class.
    pub(crate) fn shared(self) -> Self {
        AttemptGroup { destination: None, class: self.class }
    }
}

/// The attempts of a group and the span in nanoseconds from sending until each comes due.
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

    /// Returns the first deadline in the group after `now`.
    fn next_due_at(&self, now: Time) -> Option<Time> {
        let sent_at = now.saturating_sub(self.span) + 1;
        let not_due = SentAttempt { sent_at, message: 0, attempt: 0 };
        self.attempts.range(not_due..).next().map(|next| self.due_at(next))
    }
}

/// Index entry of a group. Entries sort by the first deadline in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupDeadline {
    at: Time,
    group: AttemptGroup,
}

/// Two-level index of attempts by deadline: the groups in order of their first deadline, and the attempts of
/// a group in order of sending.
#[derive(Debug, Default)]
pub(crate) struct DeadlineIndex {
    groups: BTreeMap<AttemptGroup, GroupEntry>,
    deadlines: BTreeSet<GroupDeadline>,
}

impl DeadlineIndex {
    /// Applies `change` to a group, and moves the group in the order of groups if its first deadline changed.
    fn update_group(&mut self, group: AttemptGroup, change: impl FnOnce(&mut GroupEntry)) {
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

    /// Adds an attempt to a group and sets the span of the whole group to `span` nanoseconds.
    pub(crate) fn insert(&mut self, group: AttemptGroup, span: Time, attempt: SentAttempt) {
        self.update_group(group, |entry| {
            entry.attempts.insert(attempt);
            entry.span = span;
        });
    }

    /// Removes an attempt from a group.
    pub(crate) fn remove(&mut self, group: AttemptGroup, attempt: SentAttempt) {
        self.update_group(group, |entry| {
            entry.attempts.remove(&attempt);
        });
    }

    /// Sets the span of a group, in nanoseconds; a group without attempts is ignored.
    pub(crate) fn set_span(&mut self, group: AttemptGroup, span: Time) {
        if self.groups.get(&group).is_some_and(|entry| entry.span != span) {
            self.update_group(group, |entry| entry.span = span);
        }
    }

    /// Moves the attempts of the messages for which `belongs` is true from one group to another, and sets the
    /// span of the group `to`, in nanoseconds, if any attempt moved.
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

    /// Returns the attempts due at clock time `now` of the groups for which `included` is true, and the first
    /// deadline after `now` over all groups.
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

    /// Returns the groups that have an attempt due at clock time `now`.
    fn due_groups(&self, now: Time) -> impl Iterator<Item = AttemptGroup> + '_ {
        let due = self.deadlines.iter().take_while(move |deadline| deadline.at <= now);
        due.map(|deadline| deadline.group)
    }

    /// Returns the attempts of a group that are due at clock time `now`, in order of sending.
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
