//! The decision cycle: the library, the events for it, and when it is asked next.

use super::clock::MILLISECOND;
use linnetcart::{Action, Dispatcher, Event, Time};

/// The first decision waits for discovery's first word, whose news count from the start, but no longer than
/// this: discovery answers at once or is silent, and clients wait 400 ms for their answers.
pub const INITIAL_SYNC_TIMEOUT: Time = 200 * MILLISECOND;

/// The decision cycle.
pub struct DecisionCycle {
    dispatcher: Dispatcher,
    /// What happened since the last decision.
    events: Vec<Event>,
    next_decision: Time,
    initial_sync_until: Time,
}

impl DecisionCycle {
    /// A cycle that begins with an initial sync.
    pub fn new(dispatcher: Dispatcher, now: Time) -> DecisionCycle {
        DecisionCycle {
            dispatcher,
            events: vec![],
            next_decision: now,
            initial_sync_until: now + INITIAL_SYNC_TIMEOUT,
        }
    }

    /// The library gets this event with the next decision.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Whether the initial sync may still wait for discovery.
    pub fn in_initial_sync(&self, now: Time) -> bool {
        now < self.initial_sync_until
    }

    /// Until when the initial sync may wait.
    pub fn initial_sync_until(&self) -> Time {
        self.initial_sync_until
    }

    /// Whether something happened since the last decision.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// When the next decision is due if nothing happens.
    pub fn next_decision(&self) -> Time {
        self.next_decision
    }

    /// Whether a decision is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_decision <= now || self.has_events()
    }

    /// Decides. What was recovered stands behind the endpoint list and before all that is new.
    pub fn decide(&mut self, now: Time, recovered: Vec<Event>) -> Vec<Action> {
        // A wake-up that is still to come stays: the library does not ask for it again.
        if self.next_decision <= now {
            self.next_decision = Time::MAX;
        }
        let mut events = std::mem::take(&mut self.events);
        // The first event of a process is the endpoint list that it has cached.
        let after_endpoint_list = events.len().min(1);
        events.splice(after_endpoint_list..after_endpoint_list, recovered);
        self.dispatcher.decide(now, events)
    }

    /// The library asks for a decision at this time. It takes the place of the one asked for before, also of an
    /// earlier one: what that was for has passed.
    pub fn wake_at(&mut self, time: Time) {
        self.next_decision = time;
    }

    /// No decision is made any more: events no longer go to the library.
    pub fn stop(&mut self) {
        self.next_decision = Time::MAX;
        self.events.clear();
    }

    /// Whether an endpoint's destination asked to wait, and still does.
    pub fn retry_after_pending(&mut self, now: Time, endpoint: u32) -> bool {
        self.dispatcher.retry_after_pending(now, endpoint)
    }
}

#[cfg(test)]
mod tests;
