//! When the decision policy decides, and on which events.

use linnetcart::{Action, Dispatcher, Event, Time};

/// What decides. In service that is [`Dispatcher`], always; experiments compare others with it.
pub trait DecisionPolicy: std::fmt::Debug {
    /// One decision cycle: takes all events since the last one and says what is to be done.
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action>;
}

impl DecisionPolicy for Dispatcher {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        Dispatcher::decide(self, now, events)
    }
}

/// Makes a decision policy from the library's settings and a seed.
pub type PolicyFactory = fn(linnetcart::Settings, u64) -> Box<dyn DecisionPolicy>;

/// The decision library.
pub fn library(settings: linnetcart::Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    Box::new(Dispatcher::new(settings, seed))
}

/// The decision policy, the events that wait for its next cycle, and when that is due.
#[derive(Debug)]
pub(crate) struct DecisionCycle {
    policy: Box<dyn DecisionPolicy>,
    /// Shortest time between two cycles.
    tick: Time,
    events: Vec<Event>,
    last_cycle: Time,
    /// When the policy wants a cycle without further events; `Time::MAX` for never.
    wake_up_at: Time,
    cycles: u64,
}

impl DecisionCycle {
    pub(crate) fn new(policy: Box<dyn DecisionPolicy>, tick: Time) -> Self {
        DecisionCycle { policy, tick, events: Vec::new(), last_cycle: 0, wake_up_at: Time::MAX, cycles: 0 }
    }

    /// Shortest time between two cycles.
    pub(crate) fn tick(&self) -> Time {
        self.tick
    }

    /// Cycles so far.
    pub(crate) fn cycles(&self) -> u64 {
        self.cycles
    }

    /// Adds an event for the next cycle.
    pub(crate) fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(crate) fn set_wake_up(&mut self, at: Time) {
        self.wake_up_at = at;
    }

    /// When the next cycle is due; `Time::MAX` for never.
    pub(crate) fn next_cycle(&self) -> Time {
        let wanted_at = if self.events.is_empty() { self.wake_up_at } else { 0 };
        if wanted_at == Time::MAX {
            return Time::MAX;
        }
        wanted_at.max(self.last_cycle + self.tick)
    }

    /// Whether a cycle is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let wanted = !self.events.is_empty() || self.wake_up_at <= now;
        wanted && now >= self.last_cycle + self.tick
    }

    /// Lets the policy decide on all events since the last cycle.
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
