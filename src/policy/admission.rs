//! What may be sent: the admission check of every send, the retry budget, and load shedding.

use super::{health::FAILING_THRESHOLD, Dispatcher, NEVER};
use crate::interface::{EndpointStatus, Time};
use crate::state::{CircuitState, Destination, EndpointState, LimitContext, LimitScope, Message};
use std::collections::BTreeSet;

/// Tokens of a full retry budget: a few seconds of calls, as a courier makes a few a second to a destination.
pub(super) const RETRY_BUDGET_TOKENS: f64 = 10.0;
/// Tokens that a failure costs: after two failures in a row a full budget allows no retry and no hedge.
pub(super) const FAILURE_RETRY_TOKENS: f64 = 3.0;
/// Tokens above which retries and hedges are allowed.
pub(super) const MIN_RETRY_TOKENS: f64 = RETRY_BUDGET_TOKENS / 2.0;
/// Part of `max_in_flight_messages` from which load is shed: at all of it the courier rejects any message.
const SHED_THRESHOLD: f64 = 0.9;
/// Multiple of its usual latency above which a destination counts as slow.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;

impl Dispatcher {
    /// Checks whether a message may be sent to an endpoint now. Every send passes this check; `Err` is when
    /// to check again, [`NEVER`] when only an event can change the answer.
    pub(super) fn check_send(&self, message: &Message, endpoint: u32) -> Result<(), Time> {
        let endpoint_state = self.state.endpoints.get(endpoint).ok_or(NEVER)?;
        let destination = self.state.destinations.get(message.destination).ok_or(NEVER)?;
        if !self.may_attempt(message, endpoint_state) {
            return Err(NEVER);
        }
        if destination.local_backoff_until > self.now {
            return Err(destination.local_backoff_until);
        }
        self.check_key(message)?;
        // A send that joins a call of this cycle needs no token, no slot and no end of a Retry-After.
        let joins = self.state.has_joinable_call(endpoint, self.now);
        if !joins {
            // Rule 6: a Retry-After binds the whole limit. Rule 4: recovery trials, then a slow start.
            endpoint_state.limiter.check_limit(self.limit_context(destination.endpoint_scope()))?;
            destination.limiter.check_limit(self.limit_context(LimitScope::OwnLimit))?;
        }
        let has_slot = joins || self.has_slot(destination, endpoint_state);
        (has_slot && self.has_retry_budget(message, destination)).then_some(()).ok_or(NEVER)
    }

    /// Rule 5: one message of an ordering key at a time, in turn, the first attempt after the key's cooldown.
    fn check_key(&self, message: &Message) -> Result<(), Time> {
        match self.state.key_queues.get(message.ordering_key) {
            Some(queue) if !queue.is_first(message.position()) => Err(NEVER),
            Some(queue) if queue.cooldown_until > self.now && message.attempts == 0 => {
                Err(queue.cooldown_until)
            }
            _ => Ok(()),
        }
    }

    /// Rule 1: nothing for a message that is completed or about to be. Rule 2: no second effect, and two in
    /// flight only where hedging is allowed. Rule 3: nothing to an endpoint that is draining or removed.
    /// Rules 2 and 5 across restarts: nothing that cannot be recorded.
    fn may_attempt(&self, message: &Message, endpoint: &EndpointState) -> bool {
        !message.completed
            && !self.awaits_recording(message)
            && message.deadline > self.now + 2 * self.settings.tick
            && self.may_resend(message, Some(endpoint.zone))
            && (message.attempts_in_flight == 0 || self.settings.hedging_allowed)
            && endpoint.status == EndpointStatus::Ready
    }

    /// A retry or hedge needs the budget. With nothing else in flight one is allowed, to refill it.
    fn has_retry_budget(&self, message: &Message, destination: &Destination) -> bool {
        let others_in_flight = message.attempts_in_flight > 0 || destination.calls_in_flight > 0;
        let extra = !message.possibly_executed.is_empty() && others_in_flight;
        !extra || destination.retry_tokens > MIN_RETRY_TOKENS
    }

    /// One destination gets three quarters of the slots at most, and half of them while it fails or is slow.
    fn has_slot(&self, destination: &Destination, endpoint: &EndpointState) -> bool {
        let limiter = &destination.limiter;
        let healthy = [limiter.circuit, endpoint.limiter.circuit] == [CircuitState::Closed; 2];
        let failing = !healthy || limiter.failures.rate > FAILING_THRESHOLD;
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

    /// Whether at most `spare` slots are free while messages wait for a slot and nothing else.
    pub(super) fn is_short_of_slots(&self, spare: usize) -> bool {
        let lacks_slot = |&id: &u32| self.lacks_slot(id);
        self.free_slots() <= spare && self.state.wait_queue.destinations.iter().any(lacks_slot)
    }

    fn lacks_slot(&self, id: u32) -> bool {
        let destination = &self.state.destinations[id];
        let context = self.limit_context(destination.endpoint_scope());
        let is_open = |id: &u32| self.state.endpoints[*id].limiter.check_limit(context).is_ok();
        !destination.queue.is_empty()
            && destination.limiter.check_limit(context.for_destination()).is_ok()
            && destination.endpoints.iter().any(is_open)
    }

    /// Rejects waiting messages of least weight in two cases. Near the most messages in flight, as at that
    /// the courier would reject any new one, whatever its weight. And when no slot is free, as far as more
    /// messages wait for a slot only than the slots serve within the longest latency objective at the 95th
    /// percentile of latency: served oldest first, all of them would be late.
    pub(super) fn shed_load(&mut self) {
        let in_flight = self.state.deadlines.len() as f64;
        let excess = in_flight - SHED_THRESHOLD * f64::from(self.settings.max_in_flight_messages);
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

    /// Rejects up to `count` messages that wait for these destinations, those of least weight first.
    fn shed(&mut self, destinations: &BTreeSet<u32>, count: f64) {
        let weight = |class: usize, accepted_at: Time| {
            let age = self.now.saturating_sub(accepted_at);
            self.settings.classes[class].weight_at(age, self.settings.weight_halves)
        };
        for id in self.state.least_weight(destinations, count as usize, weight) {
            self.give_up(id, self.settings.max_retry_after);
        }
    }
}
