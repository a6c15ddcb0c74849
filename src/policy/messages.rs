//! Lifecycle of a message: accepted, queued, completed, dropped.

use super::{Dispatcher, NEVER};
use crate::interface::{AcceptedMessage, Action, Idempotency, Time};
use crate::state::{AttemptId, Message, QueueEntry, QueueState, RecoveredAttempts};

impl Dispatcher {
    /// Adds an accepted message to the queue of its destination; `recovered` is given for a message that an
    /// earlier process of this courier accepted.
    pub(super) fn accept(&mut self, accepted: AcceptedMessage, recovered: Option<RecoveredAttempts>) {
        let Some(class) = self.settings.classes.get(usize::from(accepted.class)) else { return };
        if !self.state.insert_message(&accepted, class, recovered.as_ref(), self.now) {
            return;
        }
        // Rule 5: an attempt that was in flight when the earlier process ended may still run: the endpoint
        // may have noticed the lost connection only now, so the cooldown starts now.
        if class.ordered && recovered.is_some_and(|recovered| !recovered.unresolved.is_empty()) {
            let cooldown_until = self.now + self.settings.key_cooldown;
            self.state.key_queues.cool_down(accepted.ordering_key, cooldown_until);
        }
        self.add_destination(accepted.destination);
        self.enqueue(accepted.id);
    }

    /// Puts a message into the queue of its destination, or requeues it, by its present state.
    pub(super) fn enqueue(&mut self, id: u32) {
        self.state.leave_wait_queue(id);
        let Some(message) = self.state.messages.get(&id) else { return };
        let idempotency = self.settings.classes[message.class].idempotency;
        let state = if self.awaits_recording(message) {
            QueueState::AwaitsRecording
        } else {
            self.state.queue_state(message, idempotency, self.now)
        };
        let entry = QueueEntry {
            state,
            retry_expiry: self.retry_expiry(message),
            sheddable: self.may_reject(message) && !message.awaits_first_call(),
        };
        self.state.join_wait_queue(id, entry);
    }

    /// Clock time from which [`may_resend`](Self::may_resend) forbids any attempt: `now` if it already does;
    /// for a keyed message that may have been executed, the end of the deduplication window less the connect
    /// timeout; otherwise `None`.
    fn retry_expiry(&self, message: &Message) -> Option<Time> {
        if !self.may_resend(message, None) {
            return Some(self.now);
        }
        let idempotency = self.settings.classes[message.class].idempotency;
        let Idempotency::Keyed { dedup_window, .. } = idempotency else { return None };
        let first = message.first_possible_execution()?;
        Some((first.sent_at + dedup_window).saturating_sub(self.settings.connect_timeout))
    }

    /// Completes a message that has its final answer (rule 1), and cancels its attempts in flight where
    /// cancellation is allowed.
    pub(super) fn finish(&mut self, id: u32) {
        let running = self.state.complete(id);
        if self.settings.cancellation_allowed {
            for attempt in running {
                self.cancel(id, attempt);
            }
        }
        self.update_hedge_index(id);
        self.drop_finished(id);
    }

    /// Cancels an attempt in flight; its slot stays taken until its result arrives.
    pub(super) fn cancel(&mut self, message: u32, attempt: u16) {
        if self.state.mark_cancelled(AttemptId { message, attempt }) {
            self.actions.push(Action::Cancel { message, attempt });
        }
    }

    /// Drops a message if it is completed and has no attempt in flight, and requeues the next message of its
    /// ordering key.
    pub(super) fn drop_finished(&mut self, id: u32) {
        if let Some(next) = self.state.drop_finished(id) {
            self.enqueue(next);
        }
    }

    /// Rule 2: whether a message may be rejected. That is so if no attempt can have been executed, if the
    /// message is idempotent, or if endpoints of all zones suppress a second execution by its idempotency
    /// key.
    fn may_reject(&self, message: &Message) -> bool {
        match self.settings.classes[message.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. } => true,
            _ => message.possibly_executed.is_empty(),
        }
    }

    /// Whether another attempt is allowed by the maximum number of attempts (local faults do not count) and
    /// by rule 2. `zone` is the zone of the endpoint; `None` asks for an endpoint in any zone, the best case.
    pub(super) fn may_resend(&self, message: &Message, zone: Option<u8>) -> bool {
        if u32::from(message.attempts.saturating_sub(message.local_faults)) >= self.settings.max_attempts {
            return false;
        }
        let Some(first) = message.first_possible_execution() else { return true };
        match self.settings.classes[message.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { dedup_window, per_zone } => {
                // The attempt must arrive within the window, and a connection may have to be made first.
                let in_window = self.now + self.settings.connect_timeout < first.sent_at + dedup_window;
                let other_zone = zone.is_some_and(|zone| zone != first.zone);
                in_window && !(per_zone && other_zone)
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Gives the final answer to a message that was not served: rejected if the message may be submitted
    /// again without harm, with `retry_after` nanoseconds or `max_retry_after` if that is shorter; or else
    /// failed.
    pub(super) fn give_up(&mut self, id: u32, retry_after: Time) {
        let Some(message) = self.state.messages.get(&id).filter(|message| !message.completed) else { return };
        self.actions.push(if self.may_reject(message) {
            Action::Reject { message: id, retry_after: retry_after.min(self.settings.max_retry_after) }
        } else {
            Action::Fail { message: id }
        });
        self.finish(id);
    }

    /// Rule 1: gives up messages without a final answer two ticks before their deadline, and waiting messages
    /// as soon as they may no longer be retried.
    pub(super) fn answer_expired(&mut self) {
        let margin = 2 * self.settings.tick;
        for id in self.state.expired(self.now + margin, self.now) {
            self.give_up(id, 0);
        }
        let next = self.state.deadlines.first().map(|deadline| deadline.at - margin);
        self.wake_up.want_by(next.unwrap_or(NEVER));
    }
}
