//! The decision cycle: the decision library, the events for it and the time of its next decision.

use super::clock::MILLISECOND;
use crate::records::Message;
use linnetcart::{AcceptedMessage, Action, Dispatcher, Event, Time};

/// The first decision waits at most this long for the first event of discovery, so that it uses the current
/// endpoint list. Discovery answers at once or not at all, and clients wait 400 ms for their answers.
pub const INITIAL_SYNC_TIMEOUT: Time = 200 * MILLISECOND;

/// The decision cycle.
pub struct DecisionCycle {
    dispatcher: Dispatcher,
    /// Events since the last decision.
    events: Vec<Event>,
    next_decision: Time,
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

    /// Whether the first decision must no longer wait for discovery.
    pub fn initial_sync_timed_out(&self, now: Time) -> bool {
        now >= self.initial_sync_until
    }

    /// Returns when the initial sync ends at the latest.
    pub fn initial_sync_until(&self) -> Time {
        self.initial_sync_until
    }

    /// Whether events were queued since the last decision.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns when the next decision is due if no event is queued before; [`Time::MAX`] for never.
    pub fn next_decision(&self) -> Time {
        self.next_decision
    }

    /// Whether a decision is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_decision <= now || self.has_events()
    }

    /// Runs one decision on the queued events. The events of recovered messages come after the endpoint list
    /// and before all other events.
    pub fn decide(&mut self, now: Time, recovered: Vec<Event>) -> Vec<Action> {
        // A wake-up in the future stays scheduled: the library does not request it again.
        if self.next_decision <= now {
            self.next_decision = Time::MAX;
        }
        let mut events = std::mem::take(&mut self.events);
        // The first event of a process is the endpoint list that it has cached.
        let begins_with_list = matches!(events.first(), Some(Event::EndpointList { .. }));
        let after_list = usize::from(begins_with_list);
        events.splice(after_list..after_list, recovered);
        self.dispatcher.decide(now, events)
    }

    /// Schedules the wake-up that the library requests. It replaces the previous one even if that was
    /// earlier: the reason for that one no longer exists.
    pub fn wake_at(&mut self, time: Time) {
        self.next_decision = time;
    }

    /// Ends decisions for good: queued events are dropped.
    pub fn stop(&mut self) {
        self.next_decision = Time::MAX;
        self.events.clear();
    }

    /// Whether a Retry-After of the endpoint's destination is still in force.
    pub fn retry_after_pending(&mut self, now: Time, endpoint: u32) -> bool {
        self.dispatcher.retry_after_pending(now, endpoint)
    }
}

/// Returns a message in the form of the decision library's events. This platform has no tenants.
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
