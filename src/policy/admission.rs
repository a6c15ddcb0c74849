//! What may be sent: the admission check of every send, the retry budget, and load shedding.

use super::{health::RISKY_FAILURE_RATE, rate::LimitContext, Dispatcher, NEVER};
use crate::interface::{EndpointStatus, Time};
use crate::state::{least_weight, CircuitState, Destination, EndpointState, LimitScope, Message};
use std::collections::BTreeSet;

/// Tokens of a full retry budget. A courier sees a few calls a second at a destination: ten are seconds.
pub(super) const RETRY_BUDGET_TOKENS: f64 = 10.0;
/// Tokens that a failure costs: two failures in a row close a full budget to retries and hedges.
pub(super) const FAILURE_RETRY_TOKENS: f64 = 3.0;
/// Tokens above which retries and hedges may go.
pub(super) const MIN_RETRY_TOKENS: f64 = RETRY_BUDGET_TOKENS / 2.0;
/// Part of `max_in_flight_messages` from which load is shed, before messages are rejected unseen.
const SHED_THRESHOLD: f64 = 0.9;
/// Multiple of its usual latency at which a destination runs slow.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;

impl Dispatcher {
    /// Every send passes here, and only here; `Err` is when to look again.
    pub(super) fn check_send(&self, message: &Message, endpoint: u32) -> Result<(), Time> {
        let endpoint_state = self.state.endpoints.get(endpoint).ok_or(NEVER)?;
        let destination = self.state.destinations.get(message.destination).ok_or(NEVER)?;
        // Rule 5: one at a time for a key, in turn, and after its cooldown.
        match self.state.key_queues.get(message.ordering_key) {
            _ if !self.may_go(message, endpoint_state) => return Err(NEVER),
            Some(queue) if !queue.is_first(message.position()) => return Err(NEVER),
            Some(queue) if queue.cooldown_until > self.now && message.attempts == 0 => {
                return Err(queue.cooldown_until);
            }
            _ => {}
        }
        // What joins a call of this cycle adds no call to a wait, a rate, a slot or a cap.
        let joins = self.state.has_joinable_call(endpoint, self.now);
        if !joins {
            // Rule 6: a Retry-After binds the whole limit. Rule 4: trials while ejected, a budget until warm.
            endpoint_state.limiter.check_open(self.limit_context(destination.endpoint_scope()))?;
            destination.limiter.check_open(self.limit_context(LimitScope::OwnLimit))?;
        }
        let has_slot = joins || self.has_slot(destination, endpoint_state);
        (has_slot && self.has_retry_budget(message, destination)).then_some(()).ok_or(NEVER)
    }

    /// Rule 1: nothing for a message that is completed or about to be. Rule 2: no second effect, and two in
    /// flight only where hedging is allowed. Rule 3: nothing to an endpoint that drains or was removed.
    fn may_go(&self, message: &Message, endpoint: &EndpointState) -> bool {
        !message.completed
            && message.deadline > self.now + 2 * self.settings.tick
            && self.may_resend(message, Some(endpoint.zone))
            && (message.attempts_in_flight == 0 || self.settings.hedging_allowed)
            && endpoint.status == EndpointStatus::Ready
    }

    /// A retry or hedge needs the budget; with nothing else in flight one may go, or none could ever fill it.
    fn has_retry_budget(&self, message: &Message, destination: &Destination) -> bool {
        let others = message.attempts_in_flight > 0 || destination.calls_in_flight > 0;
        let extra = !message.possibly_executed.is_empty() && others;
        !extra || destination.retry_tokens > MIN_RETRY_TOKENS
    }

    /// Three quarters of the slots for one destination, half while it fails or runs slow.
    fn has_slot(&self, destination: &Destination, endpoint: &EndpointState) -> bool {
        let limiter = &destination.limiter;
        let healthy = [limiter.circuit, endpoint.limiter.circuit] == [CircuitState::Closed; 2];
        let failing = !healthy || limiter.failure_rate > RISKY_FAILURE_RATE;
        let slow = destination.recent_latency > SLOW_LATENCY_MULTIPLE * destination.usual_latency;
        let slots = self.settings.max_in_flight_calls;
        let cap = if failing || slow { slots / 2 } else { slots * 3 / 4 };
        self.free_slots() > 0 && destination.calls_in_flight < cap.max(1)
    }

    pub(super) fn limit_context(&self, scope: LimitScope) -> LimitContext<'_> {
        LimitContext { now: self.now, scope, settings: &self.settings }
    }

    pub(super) fn free_slots(&self) -> usize {
        (self.settings.max_in_flight_calls as usize).saturating_sub(self.state.attempts.call_count())
    }

    /// No more slots are free than `spare`, and messages wait for one and nothing else.
    pub(super) fn is_short_of_slots(&self, spare: usize) -> bool {
        let lacks_slot = |&id: &u32| self.lacks_slot(id);
        self.free_slots() <= spare && self.state.wait_queue.destinations.iter().any(lacks_slot)
    }

    fn lacks_slot(&self, id: u32) -> bool {
        let destination = &self.state.destinations[id];
        let context = self.limit_context(destination.endpoint_scope());
        let is_open = |id: &u32| self.state.endpoints[*id].limiter.check_open(context).is_ok();
        !destination.queue.is_empty()
            && destination.limiter.check_open(context.for_destination()).is_ok()
            && destination.endpoints.iter().any(is_open)
    }

    /// With too much in flight messages are rejected unseen, whatever they are; so those of least weight go
    /// first. And what waits for a slot only is held to what the slots serve within a latency objective at
    /// the 95th percentile of latency: beyond that the oldest first would have all of them late.
    pub(super) fn shed_load(&mut self) {
        let held = self.state.deadlines.len() as f64;
        let excess = held - SHED_THRESHOLD * f64::from(self.settings.max_in_flight_messages);
        if excess >= 1.0 {
            self.shed(&self.state.wait_queue.destinations.clone(), excess);
        }
        let Some(latency) = self.latencies.high_percentile.filter(|_| self.free_slots() == 0) else { return };
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let slots = f64::from(self.settings.max_in_flight_calls);
        let served = slots * objectives.max().unwrap_or(0) as f64 / latency.max(1) as f64;
        let destinations = self.state.wait_queue.destinations.iter().copied();
        let blocked: BTreeSet<u32> = destinations.filter(|&id| self.lacks_slot(id)).collect();
        let waiting: usize = blocked.iter().map(|&id| self.state.destinations[id].queue.len()).sum();
        self.shed(&blocked, waiting as f64 - served);
    }

    /// Rejects so many of those that wait for these destinations, those of least weight first.
    fn shed(&mut self, destinations: &BTreeSet<u32>, count: f64) {
        let queues = destinations.iter().map(|&id| (id, &self.state.destinations[id].queue));
        let weight = |class: usize, accepted_at: Time| {
            let age = self.now.saturating_sub(accepted_at);
            self.settings.classes[class].weight_at(age, self.settings.weight_halves)
        };
        for id in least_weight(queues, count as usize, weight) {
            self.give_up(id, self.settings.max_retry_after);
        }
    }
}
