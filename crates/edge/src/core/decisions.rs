//! When the decision policy runs, and on which events.

use linnetcart::{Action, Dispatcher, Event, Time};

/// A decision policy. In service it is always [`Dispatcher`]; experiments compare other policies with it.
pub trait DecisionPolicy: std::fmt::Debug {
    /// Runs one decision cycle: takes all events since the last one and returns the actions to carry out.
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action>;
}

impl DecisionPolicy for Dispatcher {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        Dispatcher::decide(self, now, events)
    }
}

/// Makes a decision policy from the library's settings and a seed.
pub type PolicyFactory = fn(linnetcart::Settings, u64) -> Box<dyn DecisionPolicy>;

/// Makes the policy of the decision library.
pub fn library(settings: linnetcart::Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    Box::new(Dispatcher::new(settings, seed))
}

/// The decision policy, the events for its next cycle, and when that cycle is due.
#[derive(Debug)]
pub(crate) struct DecisionCycle {
    policy: Box<dyn DecisionPolicy>,
    /// The shortest time between two cycles.
    tick: Time,
    events: Vec<Event>,
    last_cycle: Time,
    /// When the policy wants a cycle even without events, `Time::MAX` for never.
    wake_up_at: Time,
    cycles: u64,
}

impl DecisionCycle {
    pub(crate) fn new(policy: Box<dyn DecisionPolicy>, tick: Time) -> Self {
        DecisionCycle { policy, tick, events: Vec::new(), last_cycle: 0, wake_up_at: Time::MAX, cycles: 0 }
    }

    /// Returns the shortest time between two cycles.
    pub(crate) fn tick(&self) -> Time {
        self.tick
    }

    /// Returns the number of cycles so far.
    pub(crate) fn cycles(&self) -> u64 {
        self.cycles
    }

    /// Adds an event for the next cycle.
    pub(crate) fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Sets when a cycle runs even without events.
    pub(crate) fn set_wake_up(&mut self, at: Time) {
        self.wake_up_at = at;
    }

    /// Returns when the next cycle is due, `Time::MAX` for never.
    pub(crate) fn next_cycle(&self) -> Time {
        let wanted_at = if self.events.is_empty() { self.wake_up_at } else { 0 };
        if wanted_at == Time::MAX {
            return Time::MAX;
        }
        wanted_at.max(self.last_cycle + self.tick)
    }

    /// Returns whether a cycle is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let wanted = !self.events.is_empty() || self.wake_up_at <= now;
        wanted && now >= self.last_cycle + self.tick
    }

    /// Runs a cycle on all events since the last one. Returns the actions to carry out.
    pub(crate) fn decide(&mut self, now: Time) -> Vec<Action> {
        self.last_cycle = now;
        self.cycles += 1;
        if self.wake_up_at <= now {
            self.wake_up_at = Time::MAX;
            self.events.push(Event::WokenUp);
        }
        self.policy.decide(now, std::mem::take(&mut self.events))
    }
}

#[cfg(test)]
mod tests;
