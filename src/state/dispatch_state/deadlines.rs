//! The deadline indexes over attempts in flight, and the groups that attempts belong to in them.

use super::DispatchState;
use crate::interface::Time;
use crate::state::{AttemptGroup, AttemptId, Message, SentAttempt};

/// Time after sending at which the attempts of a group come due in each index.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupSpans {
    /// An attempt of the group is overdue after this.
    pub(crate) overdue: Time,
    /// The same for the class's group of all destinations that have no groups of their own.
    pub(crate) shared_overdue: Time,
    /// A lone attempt of the group may be hedged after this.
    pub(crate) hedge: Time,
}

impl DispatchState {
    /// Returns the group in which a message's attempts become overdue.
    pub(crate) fn overdue_group(&self, message: &Message) -> AttemptGroup {
        let destination = self.destinations.get(message.destination);
        let has_own_groups = destination.is_some_and(|destination| destination.has_own_groups);
        AttemptGroup { destination: has_own_groups.then_some(message.destination), class: message.class }
    }

    /// Removes an attempt from the index of overdue attempts.
    pub(super) fn forget_overdue(&mut self, id: AttemptId, sent_at: Time) {
        let Some(message) = self.messages.get(&id.message) else { return };
        let group = self.overdue_group(message);
        let sent = SentAttempt { sent_at, message: id.message, attempt: id.attempt };
        self.overdue_index.remove(group, sent);
    }

    /// Updates the index of lone attempts after an attempt of the message, or the message itself, changed.
    pub(crate) fn update_lone_attempt(&mut self, id: u32, hedge_delay: Time) {
        let first = self.attempts.running(id).next();
        let first = first.map(|running| SentAttempt {
            sent_at: running.sent_at,
            message: id,
            attempt: running.id.attempt,
        });
        let Some(message) = self.messages.get_mut(&id) else { return };
        let lone = first.filter(|_| message.attempts_in_flight == 1 && !message.completed);
        let before = std::mem::replace(&mut message.lone_attempt, lone);
        if before == lone {
            return;
        }
        let group = message.group();
        if let Some(attempt) = before {
            self.hedge_index.remove(group, attempt);
        }
        if let Some(attempt) = lone {
            self.hedge_index.insert(group, hedge_delay, attempt);
        }
    }

    /// Sets the times after which the attempts of a destination's group come due.
    pub(crate) fn set_spans(&mut self, group: AttemptGroup, spans: GroupSpans) {
        self.overdue_index.set_span(group, spans.overdue);
        self.overdue_index.set_span(group.shared(), spans.shared_overdue);
        self.hedge_index.set_span(group, spans.hedge);
    }

    /// Gives a destination groups of its own once its latencies are known; returns true if it got them now.
    pub(crate) fn start_own_groups(&mut self, destination: u32) -> bool {
        let Some(destination) = self.destinations.get_mut(destination) else { return false };
        let starts = !destination.has_own_groups && destination.latencies.high_percentile.is_some();
        destination.has_own_groups |= starts;
        starts
    }

    /// Moves the attempts of a destination's group out of the shared group of their class.
    pub(crate) fn leave_shared_group(&mut self, group: AttemptGroup, overdue_span: Time) {
        let messages = &self.messages;
        let belongs = |message: u32| Some(messages[&message].destination) == group.destination;
        self.overdue_index.move_attempts(group.shared(), group, overdue_span, belongs);
    }
}
