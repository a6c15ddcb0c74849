//! The decision cycle: the decision library, the events queued for it and the time of its next wake-up.

use super::attempts::AttemptId;
use super::clock::MILLISECOND;
use crate::records::Message;
use linnetcart::{AcceptedMessage, Action, Dispatcher, Event, SendRefusal, Time};

/// Time limit of the initial sync: the first decision waits this long for the first event of discovery, so
/// that it uses the current endpoint list. Discovery answers at once or not at all, and clients wait 400 ms
/// for their responses.
pub const INITIAL_SYNC_TIMEOUT: Time = 200 * MILLISECOND;

/// The decision library, the events queued for it and the time of its next wake-up.
pub struct DecisionCycle {
    dispatcher: Dispatcher,
    /// Events since the last decision.
    events: Vec<Event>,
    /// Monotonic time of the next decision without an event; [`Time::MAX`] for never.
    next_decision: Time,
    /// Monotonic time at which the time limit of the initial sync ends.
    initial_sync_until: Time,
}

impl DecisionCycle {
    /// Creates a cycle that begins with the initial sync.
    pub fn new(dispatcher: Dispatcher, now: Time) -> DecisionCycle {
        DecisionCycle {
            dispatcher,
            events: vec![],
            next_decision: now,
            initial_sync_until: now + INITIAL_SYNC_TIMEOUT,
        }
    }

    /// Queues an event for the next decision.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Whether the initial sync has reached its time limit.
    pub fn initial_sync_timed_out(&self, now: Time) -> bool {
        now >= self.initial_sync_until
    }

    /// Returns the monotonic time at which the time limit of the initial sync ends.
    pub fn initial_sync_until(&self) -> Time {
        self.initial_sync_until
    }

    /// Whether events were queued since the last decision.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns when the next decision is due if no event is queued earlier; [`Time::MAX`] for never.
    pub fn next_decision(&self) -> Time {
        self.next_decision
    }

    /// Whether a decision is due: an event is queued or the time of the wake-up has come.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_decision <= now || self.has_events()
    }

    /// Passes the queued events to the decision library and returns its actions. The events of `recovered`
    /// messages are inserted after the endpoint list and before all other events.
    pub fn decide(&mut self, now: Time, recovered: Vec<Event>) -> Vec<Action> {
        // A wake-up in the future stays scheduled, because the library does not request it again.
        if self.next_decision <= now {
            self.next_decision = Time::MAX;
        }
        let mut events = std::mem::take(&mut self.events);
        // The first event of a process is the cached endpoint list.
        let begins_with_list = matches!(events.first(), Some(Event::EndpointList { .. }));
        let after_list = usize::from(begins_with_list);
        events.splice(after_list..after_list, recovered);
        self.dispatcher.decide(now, events)
    }

    /// Schedules the wake-up that the library requests. It replaces the previous one even if that was
    /// earlier, because the library requests the earliest wake-up that it still needs.
    pub fn wake_at(&mut self, time: Time) {
        self.next_decision = time;
    }

    /// Cancels the wake-up and drops all queued events. Used in the shutdown, once no decision is made any
    /// more.
    pub fn stop(&mut self) {
        self.next_decision = Time::MAX;
        self.events.clear();
    }

    /// Judges an attempt right before it is sent ([`Dispatcher::check_unsent`]).
    pub fn check_unsent(&self, now: Time, attempt: AttemptId) -> Result<(), SendRefusal> {
        self.dispatcher.check_unsent(now, attempt.message, attempt.number)
    }
}

/// Converts a message to the decision library's form. `time_remaining` is the time until its deadline, in
/// nanoseconds. The tenant is always 0, because this platform has no tenants.
pub fn accepted_message(number: u32, message: &Message, time_remaining: Time) -> AcceptedMessage {
    AcceptedMessage {
        id: number,
        destination: message.destination,
        class: message.class,
        time_remaining,
        ordering_key: message.ordering_key,
        tenant: 0,
    }
}

#[cfg(test)]
mod tests;
