//! Upkeep of the deadline indexes over attempts in flight and of the groups in them.

use super::DispatchState;
use crate::interface::Time;
use crate::state::{AttemptGroup, AttemptId, Message, SentAttempt};

/// Time from sending until the attempts of a group come due in each deadline index, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupSpans {
    /// Time from sending until an attempt of the group is overdue.
    pub(crate) overdue: Time,
    /// Time from sending until an attempt of the shared group of the same class is overdue.
    pub(crate) shared_overdue: Time,
    /// Time from sending until the only attempt in flight of a message in the group may be hedged.
    pub(crate) hedge: Time,
}

impl DispatchState {
    /// Returns the group of a message's attempts in the overdue index: the shared group of the class until
    /// the destination has its own groups.
    pub(crate) fn overdue_group(&self, message: &Message) -> AttemptGroup {
        let destination = self.destinations.get(message.destination);
        let has_own_groups = destination.is_some_and(|destination| destination.has_own_groups);
        AttemptGroup { destination: has_own_groups.then_some(message.destination), class: message.class }
    }

    /// Removes an attempt from the overdue index; `sent_at` is the clock time of sending, in nanoseconds.
    pub(super) fn forget_overdue(&mut self, id: AttemptId, sent_at: Time) {
        let Some(message) = self.messages.get(&id.message) else { return };
        let group = self.overdue_group(message);
        let sent = SentAttempt { sent_at, message: id.message, attempt: id.attempt };
        self.overdue_index.remove(group, sent);
    }

    /// Updates the hedge index after a message or one of its attempts changed. A message without a final
    /// answer has an entry for its lone attempt, which may be hedged `hedge_delay` nanoseconds after sending.
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

    /// Sets the spans after which the attempts of a destination's group come due, and the overdue span of the
    /// shared group of the same class.
    pub(crate) fn set_spans(&mut self, group: AttemptGroup, spans: GroupSpans) {
        self.overdue_index.set_span(group, spans.overdue);
        self.overdue_index.set_span(group.shared(), spans.shared_overdue);
        self.hedge_index.set_span(group, spans.hedge);
    }

    /// Gives a destination its own groups in the overdue index once it has enough latency samples for a
    /// percentile. Returns true if this call gave it the groups.
    pub(crate) fn start_own_groups(&mut self, destination: u32) -> bool {
        let Some(destination) = self.destinations.get_mut(destination) else { return false };
        let starts = !destination.has_own_groups && destination.latencies.high_percentile.is_some();
        destination.has_own_groups |= starts;
        starts
    }

    /// Moves the attempts that were sent to the destination of `group` from the shared group of the class to
    /// `group`, with an overdue span in nanoseconds.
    pub(crate) fn leave_shared_group(&mut self, group: AttemptGroup, overdue_span: Time) {
        let messages = &self.messages;
        let belongs = |message: u32| Some(messages[&message].destination) == group.destination;
        self.overdue_index.move_attempts(group.shared(), group, overdue_span, belongs);
    }
}
