//! Decision cycles: when the decision policy runs, and on which events.
//!
//! Events are collected and passed to the policy at most once per tick.

use super::delivery::AttemptId;
use linnetcart::{Action, Dispatcher, Event, SendRefusal, Time};

/// A decision policy. In production it is always [`Dispatcher`]; experiments compare other policies with it.
pub trait DecisionPolicy: std::fmt::Debug {
    /// Runs one decision cycle at `now` by the monotonic clock: takes all events since the last cycle and
    /// returns the actions to carry out.
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action>;

    /// Judges an attempt right before it is sent at `now` ([`Dispatcher::check_unsent`]). A policy that keeps no
    /// state of attempts permits all of them.
    ///
    /// # Errors
    ///
    /// If the attempt must not be sent any more.
    fn check_unsent(&self, _now: Time, _message: u32, _attempt: u16) -> Result<(), SendRefusal> {
        Ok(())
    }
}

impl DecisionPolicy for Dispatcher {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        Dispatcher::decide(self, now, events)
    }

    fn check_unsent(&self, now: Time, message: u32, attempt: u16) -> Result<(), SendRefusal> {
        Dispatcher::check_unsent(self, now, message, attempt)
    }
}

/// Creates a decision policy from the library's settings and a seed.
pub type PolicyFactory = fn(linnetcart::Settings, u64) -> Box<dyn DecisionPolicy>;

/// Creates the policy of the decision library, a [`Dispatcher`].
pub fn library(settings: linnetcart::Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    Box::new(Dispatcher::new(settings, seed))
}

/// The decision policy, the events for its next cycle, and when that cycle is due.
#[derive(Debug)]
pub(crate) struct DecisionCycle {
    policy: Box<dyn DecisionPolicy>,
    /// The shortest time between two cycles, in nanoseconds.
    tick: Time,
    /// The events since the last cycle, in order.
    events: Vec<Event>,
    last_cycle: Time,
    /// When the policy has requested a cycle even without events, by the monotonic clock; `Time::MAX` for
    /// never.
    wake_up_at: Time,
    cycles: u64,
}

impl DecisionCycle {
    pub(crate) fn new(policy: Box<dyn DecisionPolicy>, tick: Time) -> Self {
        DecisionCycle { policy, tick, events: Vec::new(), last_cycle: 0, wake_up_at: Time::MAX, cycles: 0 }
    }

    /// Returns the shortest time between two cycles, in nanoseconds.
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

    /// Sets when a cycle runs even without events, by the monotonic clock. Replaces the time that was set
    /// before.
    pub(crate) fn set_wake_up(&mut self, at: Time) {
        self.wake_up_at = at;
    }

    /// Returns when the next cycle is due, by the monotonic clock: at once if there are events, otherwise at
    /// the wake-up time, but never before `last_cycle + tick`. `Time::MAX` means never.
    pub(crate) fn next_cycle(&self) -> Time {
        let requested_at = if self.events.is_empty() { self.wake_up_at } else { 0 };
        if requested_at == Time::MAX {
            return Time::MAX;
        }
        requested_at.max(self.last_cycle + self.tick)
    }

    /// Returns whether a cycle is due at `now`: there are events or the wake-up time has come, and `now >=
    /// last_cycle + tick`.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        let requested = !self.events.is_empty() || self.wake_up_at <= now;
        requested && now >= self.last_cycle + self.tick
    }

    /// Judges an attempt right before it is sent at `now`.
    pub(crate) fn check_unsent(&self, now: Time, attempt: AttemptId) -> Result<(), SendRefusal> {
        self.policy.check_unsent(now, attempt.message, attempt.number)
    }

    /// Runs a cycle on all events since the last one, whether or not one is due. Returns the actions to carry
    /// out.
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
