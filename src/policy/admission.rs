//! Admission control: the check that every send passes, the retry budget, the slots of each destination, and
//! load shedding.

use super::{health::FAILING_THRESHOLD, Dispatcher, NEVER};
use crate::interface::{EndpointStatus, Time};
use crate::state::{CircuitState, Destination, EndpointState, LimitContext, LimitScope, Message};
use std::collections::BTreeSet;

/// Tokens in a full retry budget of a destination. A served call adds one, and a courier makes a few calls a
/// second to a destination, so a full budget takes a few seconds of calls.
pub(super) const RETRY_BUDGET_TOKENS: f64 = 10.0;
/// Tokens that a failed or rejected call takes: two in a row bring a full budget below [`MIN_RETRY_TOKENS`].
pub(super) const FAILURE_RETRY_TOKENS: f64 = 3.0;
/// Tokens that the retry budget must exceed to allow retries and hedges.
pub(super) const MIN_RETRY_TOKENS: f64 = RETRY_BUDGET_TOKENS / 2.0;
/// Ratio of the messages in flight to `max_in_flight_messages` above which load is shed. At 1, the courier
/// would reject any new message, whatever its weight.
const SHED_THRESHOLD: f64 = 0.9;
/// A destination counts as slow while its recent latency exceeds this multiple of its usual latency.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;

impl Dispatcher {
    /// Checks whether a message may be sent to an endpoint now. Every send passes this check. `Err` is the
    /// clock time at which to check again, or [`NEVER`] when only an event can change the result.
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
        // A message that joins a call started in this cycle needs no token, slot or Retry-After check of its
        // own.
        let joins = self.state.has_joinable_call(endpoint, self.now);
        if !joins {
            // Rule 6: a Retry-After applies to the whole limit. Rule 4: recovery trials, then slow start.
            endpoint_state.limiter.check_limit(self.limit_context(destination.endpoint_scope()))?;
            destination.limiter.check_limit(self.limit_context(LimitScope::OwnLimit))?;
        }
        let has_slot = joins || self.has_slot(destination, endpoint_state);
        (has_slot && self.has_retry_budget(message, destination)).then_some(()).ok_or(NEVER)
    }

    /// Rule 5: only the oldest message of an ordering key may be sent, and its first attempt only after the
    /// cooldown of the key.
    fn check_key(&self, message: &Message) -> Result<(), Time> {
        match self.state.key_queues.get(message.ordering_key) {
            Some(queue) if !queue.is_first(message.position()) => Err(NEVER),
            Some(queue) if queue.cooldown_until > self.now && message.attempts == 0 => {
                Err(queue.cooldown_until)
            }
            _ => Ok(()),
        }
    }

    /// Rule 1: no attempt for a message that is completed or within two ticks of its deadline. Rule 2: no
    /// attempt that could take effect a second time, and two in flight only where hedging is allowed. Rule 3:
    /// no attempt at an endpoint that is draining or removed. Rules 2 and 5 across restarts: no attempt that
    /// needs a record while none can be written.
    fn may_attempt(&self, message: &Message, endpoint: &EndpointState) -> bool {
        !message.completed
            && !self.awaits_recording(message)
            && message.deadline > self.now + 2 * self.settings.tick
            && self.may_resend(message, Some(endpoint.zone))
            && (message.attempts_in_flight == 0 || self.settings.hedging_allowed)
            && endpoint.status == EndpointStatus::Ready
    }

    /// Whether the destination's retry budget allows this send. The budget limits only messages with an
    /// attempt that may have been executed, and only while the destination has a call in flight: as only a
    /// served call refills the budget, an empty one could otherwise block all retries for good.
    fn has_retry_budget(&self, message: &Message, destination: &Destination) -> bool {
        let others_in_flight = message.attempts_in_flight > 0 || destination.calls_in_flight > 0;
        let needs_budget = !message.possibly_executed.is_empty() && others_in_flight;
        !needs_budget || destination.retry_tokens > MIN_RETRY_TOKENS
    }

    /// Whether a slot is free for a new call to the destination (bulkhead): one destination may occupy three
    /// quarters of the slots, or half of them while it fails, recovers or is slow, and always at least one.
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

    /// Number of calls that may be started until `max_in_flight_calls` are in flight.
    pub(super) fn free_slots(&self) -> usize {
        (self.settings.max_in_flight_calls as usize).saturating_sub(self.state.attempts.call_count())
    }

    /// Whether at most `spare` slots are free while messages wait that need only a slot to be sent.
    pub(super) fn is_short_of_slots(&self, spare: usize) -> bool {
        let lacks_slot = |&id: &u32| self.lacks_slot(id);
        self.free_slots() <= spare && self.state.wait_queue.destinations.iter().any(lacks_slot)
    }

    /// Whether the messages that wait for a destination need only a slot: the limiter of the destination and
    /// that of at least one of its endpoints would admit a call. False if no message waits.
    fn lacks_slot(&self, id: u32) -> bool {
        let destination = &self.state.destinations[id];
        let context = self.limit_context(destination.endpoint_scope());
        let is_open = |id: &u32| self.state.endpoints[*id].limiter.check_limit(context).is_ok();
        !destination.queue.is_empty()
            && destination.limiter.check_limit(context.for_destination()).is_ok()
            && destination.endpoints.iter().any(is_open)
    }

    /// Load shedding: rejects waiting messages of least weight, in two cases.
    ///
    /// - More messages are in flight than [`SHED_THRESHOLD`] of `max_in_flight_messages`: rejects the excess.
    /// - No slot is free, and more messages wait only for a slot than the slots can serve within the longest
    ///   latency objective, `slots * objective / 95th percentile of latency`: rejects the excess. As the
    ///   oldest message is sent first, every message of a longer queue would miss its objective.
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
        let lacking_slot: BTreeSet<u32> = destinations.filter(|&id| self.lacks_slot(id)).collect();
        let waiting: usize = lacking_slot.iter().map(|&id| self.state.destinations[id].queue.len()).sum();
        self.shed(&lacking_slot, waiting as f64 - served);
    }

    /// Sheds up to `count` messages that wait for these destinations, those of least weight first. The final
    /// answers carry the longest Retry-After, `max_retry_after`.
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
