//! Dispatch: which message is sent next, and to which endpoint (least cost).

use super::{rate::BURST_SECONDS, Dispatcher, NEVER};
use crate::interface::{Action, Time};
use crate::state::{LimitContext, LimitScope, Limiter};
use std::collections::VecDeque;

/// Cost of a jitter of 1 ([`EndpointState::jitter`](crate::state::EndpointState)), in calls in flight. Jitter
/// makes couriers prefer different endpoints.
const JITTER_CALLS: f64 = 0.5;
/// Cost of a failure rate of 1 at an endpoint, in calls in flight.
const FAILURE_RATE_CALLS: f64 = 4.0;
/// Cost of a price of 1 (cross-zone price and route fee) for a call to an endpoint, in calls in flight.
const PRICE_CALLS: f64 = 10.0;

/// An endpoint that a message may be sent to. Candidates are ordered by `avoided`, false first, then by cost.
struct Candidate {
    /// Whether the message's class avoids the endpoint after a failure there.
    avoided: bool,
    /// Cost of a call to the endpoint, in equivalent calls in flight.
    cost: f64,
    endpoint: u32,
}

impl Dispatcher {
    /// Fills the free slots, round-robin over the destinations that messages wait for, from the one with the
    /// least recent send. Each turn starts one call with the oldest message that may be sent.
    pub(super) fn dispatch(&mut self) {
        let mut destinations = VecDeque::from(self.state.waiting_by_last_send());
        while let Some(destination) = destinations.pop_front() {
            if self.free_slots() == 0 {
                return;
            }
            if let Some(endpoint) = self.send_next(destination) {
                self.fill_call(destination, endpoint);
                destinations.push_back(destination);
            }
        }
    }

    /// Batching: adds messages that wait for the same destination to the call just started, until it is full.
    fn fill_call(&mut self, destination: u32, endpoint: u32) {
        while self.state.has_joinable_call(endpoint, self.now) {
            let mut heads = self.state.destinations[destination].queue.heads().into_iter();
            let may_join = |id: &u32| self.check_send(&self.state.messages[id], endpoint).is_ok();
            let Some(message) = heads.find(may_join) else { return };
            self.send(message, endpoint);
        }
    }

    /// Sends the oldest message of a destination that may be sent; returns the endpoint, or `None` if no
    /// message may be sent now. Before that, requeues the messages whose key cooldown has ended, and gives up
    /// the messages that are too late for a recovery trial.
    fn send_next(&mut self, destination: u32) -> Option<u32> {
        for id in self.state.cooled_down(destination, self.now) {
            self.enqueue(id);
        }
        while let Some(message) = self.too_late_for_trial(destination) {
            self.give_up(message, self.settings.max_retry_after);
        }
        let destination = self.state.destinations.get_mut(destination)?;
        destination.update_waiting_messages(&mut self.state.endpoints);
        for message in destination.queue.heads() {
            match self.choose_endpoint(message, None) {
                Ok(endpoint) => {
                    self.send(message, endpoint);
                    return Some(endpoint);
                }
                Err(retry_at) => self.wake_up.want_by(retry_at),
            }
        }
        None
    }

    /// If the limits of all endpoints of a destination are ejected, returns a waiting message whose deadline
    /// is no later than the time at which a recovery trial sent now would be overdue. Such a trial could be
    /// cancelled at the deadline without a result, and the limit would stay ejected. Recovered messages that
    /// await their first call are exempt.
    fn too_late_for_trial(&self, destination: u32) -> Option<u32> {
        let destination = self.state.destinations.get(destination)?;
        let ejected = |&id: &u32| self.state.limiter(id).is_some_and(Limiter::is_ejected);
        let all_ejected = destination.endpoints.iter().all(ejected);
        let too_late = |id: &u32| {
            let message = &self.state.messages[id];
            let overdue_span = self.overdue_span(self.state.overdue_group(message));
            !message.awaits_first_call() && message.deadline <= self.now + overdue_span
        };
        destination.queue.heads().into_iter().find(|id| all_ejected && too_late(id))
    }

    /// Returns the endpoint of least cost that the message may be sent to, other than `except`. An endpoint
    /// that the message's class avoids is chosen only if there is no other. `Err` is the clock time at which
    /// to check again.
    pub(super) fn choose_endpoint(&self, message: u32, except: Option<u32>) -> Result<u32, Time> {
        let message = &self.state.messages[&message];
        let destination = self.state.destinations.get(message.destination).ok_or(NEVER)?;
        let mut retry_at = NEVER;
        let mut candidates = Vec::new();
        for &endpoint in destination.endpoints.iter().filter(|&&endpoint| Some(endpoint) != except) {
            if let Err(at) = self.check_send(message, endpoint) {
                retry_at = retry_at.min(at);
                continue;
            }
            let avoided = self.state.endpoints[endpoint].is_avoided(message.class, self.now);
            candidates.push(Candidate { avoided, cost: self.cost(endpoint), endpoint });
        }
        let order = |a: &Candidate, b: &Candidate| a.avoided.cmp(&b.avoided).then(a.cost.total_cmp(&b.cost));
        let best = candidates.into_iter().min_by(order);
        best.map(|candidate| candidate.endpoint).ok_or(retry_at)
    }

    /// Cost of an endpoint in the selection, in calls in flight: `calls in flight + 4 * failure rate +
    /// 10 * (cross-zone price + route fee) + 0.5 * sparse^3 * jitter`, with `sparse = max(0, 1 - equal share
    /// in calls a second * BURST_SECONDS)`. Without jitter, couriers with few calls in flight would all
    /// choose the same endpoint.
    fn cost(&self, id: u32) -> f64 {
        let settings = &self.settings;
        let endpoint = &self.state.endpoints[id];
        let zone_price = if endpoint.zone == settings.zone { 0.0 } else { settings.cross_zone_price };
        let independent = self.state.has_independent_routes(endpoint.destination);
        let fee = settings.route_fees.get(usize::from(endpoint.zone)).filter(|_| independent);
        let price = zone_price + fee.unwrap_or(&0.0);
        let equal_share = self.state.limiter(id).map_or(0.0, |limiter| limiter.equal_share(settings));
        let sparse = 1.0 - equal_share * BURST_SECONDS;
        let jitter = JITTER_CALLS * sparse.max(0.0).powi(3) * endpoint.jitter;
        let failures = FAILURE_RATE_CALLS * endpoint.limiter.failures.rate;
        f64::from(endpoint.calls_in_flight) + failures + PRICE_CALLS * price + jitter
    }

    /// Sends a message to an endpoint: in the call to it that this cycle started, if that may still be joined
    /// (batching), or else in a new call.
    pub(super) fn send(&mut self, id: u32, endpoint: u32) {
        let chance = self.random.draw();
        let Some(message) = self.state.messages.get(&id) else { return };
        let overdue_span = self.overdue_span(self.state.overdue_group(message));
        if !self.state.has_joinable_call(endpoint, self.now) {
            self.start_call(message.destination, endpoint, chance);
        }
        self.state.record_send(id, endpoint, self.now, overdue_span);
        self.update_hedge_index(id);
        self.actions.push(Action::Send { message: id, endpoint, until: 0 });
    }

    /// Starts a call, and takes a token for it from the limiter of the endpoint and, if the endpoints share
    /// a limit, from the limiter of the destination.
    fn start_call(&mut self, destination: u32, endpoint: u32, chance: f64) {
        self.state.open_call(endpoint, destination, self.now);
        let scope = self.state.endpoint_scope(endpoint);
        let context = LimitContext { now: self.now, scope, settings: &self.settings };
        if let Some(endpoint) = self.state.endpoints.get_mut(endpoint) {
            endpoint.limiter.spend_token(chance, context);
        }
        let destination = self.state.destinations.get_mut(destination);
        if let Some(destination) = destination.filter(|_| scope == LimitScope::SharedEndpoint) {
            destination.limiter.spend_token(chance, context.for_destination());
        }
    }
}
