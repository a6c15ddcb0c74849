//! The service of calls. Admission, planned results and service time are decided on arrival; execution and
//! answer are decided when the call finishes.

use super::{EndpointSimulator, EndpointState, LimitOwner, Overload};
use crate::calls::{CallItem, CallStep, IncomingCall, ItemStatus, ReceivedCall, Reply, ReportedLoad};
use crate::deduplication::Execution;
use crate::limit::{Admission, LoadEffect, RejectionDraws};
use linnetcart_conformance::{Arrival, EndpointVerdict, Time};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use std::ops::Range;

/// Probability that a message that fails is executed nevertheless, which the courier cannot know.
const EXECUTED_FAILURE_FRACTION: f64 = 0.3;
/// Time from the arrival of a call that fails quickly to its answer, in nanoseconds.
const QUICK_FAILURE_TIME: Time = 2_000_000;
/// Shortest service time of a call, in nanoseconds.
const MIN_SERVICE_TIME: Time = 1000;

/// The result of a message, as decided on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlannedResult {
    Served,
    Error,
    /// The message fails, and its call is not answered.
    Unanswered,
}

/// A call that has not finished.
#[derive(Debug)]
pub(super) struct PendingCall {
    endpoint: u32,
    items: Vec<CallItem>,
    /// The positions of the call's records in `EndpointSimulator::arrivals`, one for each message.
    records: Range<usize>,
    /// The planned result of each message. The call is not answered if the endpoint is down, silent or
    /// vanished when the call finishes.
    planned: Vec<PlannedResult>,
    /// Whether the call is executed but not answered.
    answer_lost: bool,
}

/// The decision of a limit about a call, including overload and faults.
enum LimitDecision {
    BeginsAt(Time),
    Rejected { retry_after: Time, load: Option<ReportedLoad> },
    Unanswered,
}

impl EndpointSimulator {
    /// Handles the arrival of a call, and returns its number and next step.
    pub fn receive_call(&mut self, now: Time, incoming: IncomingCall<'_>) -> ReceivedCall {
        self.last_call += 1;
        let call = self.last_call;
        let step = match self.endpoints.get(&incoming.endpoint).copied() {
            Some(state) => self.begin_call(now, call, incoming, state),
            None => CallStep::Break,
        };
        ReceivedCall { call, step }
    }

    fn begin_call(
        &mut self,
        now: Time,
        call: u64,
        incoming: IncomingCall<'_>,
        state: EndpointState,
    ) -> CallStep {
        self.record_arrivals(now, call, incoming, state);
        if !state.is_listening() {
            self.calls.remove(&call);
            return CallStep::Break;
        }
        match self.decide_at_limit(now, incoming, state) {
            LimitDecision::Unanswered => {
                self.calls.remove(&call);
                CallStep::Silent
            }
            LimitDecision::Rejected { retry_after, load } => {
                let statuses = vec![ItemStatus::Rejected; incoming.items.len()];
                self.answer(call, now, Reply { statuses, retry_after, load })
            }
            LimitDecision::BeginsAt(begin) => self.plan_service(now, call, incoming.items, state, begin),
        }
    }

    /// Records the arrival of each message of a call, as unanswered until the call finishes.
    fn record_arrivals(&mut self, now: Time, call: u64, incoming: IncomingCall<'_>, state: EndpointState) {
        let independent_route = self.kind(state.destination).is_some_and(|kind| kind.independent_routes);
        let first = self.arrivals.len();
        for item in incoming.items {
            self.arrivals.push(Arrival {
                message: item.message,
                call,
                courier: incoming.caller.courier,
                incarnation: incoming.caller.incarnation,
                destination: state.destination,
                endpoint: incoming.endpoint,
                zone: state.zone,
                independent_route,
                at: now,
                travelled: incoming.travelled,
                verdict: EndpointVerdict::Unanswered,
                answered: None,
                effect: false,
            });
        }
        let pending = PendingCall {
            endpoint: incoming.endpoint,
            items: incoming.items.to_vec(),
            records: first..self.arrivals.len(),
            planned: vec![PlannedResult::Served; incoming.items.len()],
            answer_lost: false,
        };
        self.calls.insert(call, pending);
    }

    fn decide_at_limit(
        &mut self,
        now: Time,
        incoming: IncomingCall<'_>,
        state: EndpointState,
    ) -> LimitDecision {
        let destination = state.destination;
        let kind = &self.kinds[self.destinations[&destination].kind];
        let owner = LimitOwner::new(kind, destination, incoming.endpoint);
        // An endpoint is inserted together with its limit, so the limit exists.
        let Some(limit) = self.limits.get_mut(&owner) else { return LimitDecision::Unanswered };
        if limit.count_call(now, &self.recovery, kind) == LoadEffect::Overloads {
            self.overloads.push(Overload { at: now, destination });
        }
        if state.fault.vanished || state.fault.silent || limit.is_overloaded() {
            return LimitDecision::Unanswered;
        }
        let additional_messages = incoming.items.len() as f64 - 1.0;
        let work = 1.0 + kind.additional_message_work * additional_messages;
        let draws = RejectionDraws { gives_retry_after: self.rng.random(), length: self.rng.random() };
        match limit.admit(now, work, kind, &self.recovery, draws) {
            Admission::BeginsAt(begin) => LimitDecision::BeginsAt(begin),
            Admission::Rejected { retry_after } => {
                let load = limit.reported_load(now, kind);
                LimitDecision::Rejected { retry_after, load }
            }
        }
    }

    /// Draws the results of the messages of an admitted call, and the call's service time, which is the
    /// longest service time of its messages.
    fn plan_service(
        &mut self,
        now: Time,
        call: u64,
        items: &[CallItem],
        state: EndpointState,
        begin: Time,
    ) -> CallStep {
        if self.rng.random::<f64>() < state.fault.error_probability {
            if let Some(pending) = self.calls.get_mut(&call) {
                pending.planned.fill(PlannedResult::Error);
            }
            return CallStep::FinishAt(now + QUICK_FAILURE_TIME);
        }
        let answer_lost = self.rng.random::<f64>() < state.fault.lost_answer_probability;
        // One draw for all messages: the answer has one error code for all messages of a class.
        let class_draw = self.rng.random::<f64>();
        let planned = items.iter().map(|item| plan_result(item, &state, class_draw)).collect();
        let mut service_time = MIN_SERVICE_TIME;
        for item in items {
            service_time = service_time.max(self.draw_service_time(item, &state));
        }
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.planned = planned;
            pending.answer_lost = answer_lost;
        }
        CallStep::FinishAt(begin + service_time)
    }

    /// Draws a service time from a log-normal distribution with the mean of the class and the coefficient of
    /// variation `cv` of the kind: `sigma^2 = ln(1 + cv^2)` and `mu = ln(mean) - sigma^2 / 2`.
    fn draw_service_time(&mut self, item: &CallItem, state: &EndpointState) -> Time {
        let destination = &self.destinations[&state.destination];
        let class_mean = self.classes[usize::from(item.class)].service_time as f64;
        let fault_slowdown = state.fault.slowdown.max(1.0);
        let mean = class_mean * destination.service_time_factor * self.shared_slowdown * fault_slowdown;
        let cv = self.kinds[destination.kind].service_time_variation;
        let sigma = (1.0 + cv * cv).ln().sqrt();
        let mu = mean.ln() - sigma * sigma / 2.0;
        // A finite, non-negative sigma always gives a valid distribution.
        match LogNormal::new(mu, sigma) {
            Ok(distribution) => distribution.sample(&mut self.rng) as Time,
            Err(_) => mean as Time,
        }
    }

    /// Advances a call at the time that [`CallStep::FinishAt`] gave, and returns its next step.
    pub fn finish_call(&mut self, now: Time, call: u64) -> CallStep {
        let Some(pending) = self.calls.get(&call) else { return CallStep::Silent };
        let endpoint = pending.endpoint;
        let Some(state) = self.endpoints.get(&endpoint).copied() else { return CallStep::Break };
        if state.fault.down {
            return CallStep::Break;
        }
        if state.fault.paused_until > now {
            return CallStep::FinishAt(state.fault.paused_until);
        }
        // A call that was admitted before the endpoint became silent is executed but not answered.
        let silent = state.fault.silent || state.fault.vanished || pending.answer_lost;
        let fails_unanswered = pending.planned.contains(&PlannedResult::Unanswered);
        let statuses = self.execute(now, call, state);
        if silent || fails_unanswered {
            self.calls.remove(&call);
            return CallStep::Silent;
        }
        let load = self.reported_load(now, endpoint, state.destination);
        self.answer(call, now, Reply { statuses, retry_after: 0, load })
    }

    /// Executes the messages of a call that are planned as served, and each other one with probability
    /// [`EXECUTED_FAILURE_FRACTION`]. Records which messages took effect, and returns the status of each
    /// message.
    fn execute(&mut self, now: Time, call: u64, state: EndpointState) -> Vec<ItemStatus> {
        let Some(pending) = self.calls.get(&call) else { return Vec::new() };
        let mut statuses = Vec::new();
        for (position, item) in pending.items.iter().enumerate() {
            let served = pending.planned[position] == PlannedResult::Served;
            let executed = served || self.rng.random::<f64>() < EXECUTED_FAILURE_FRACTION;
            if executed {
                let execution = Execution {
                    at: now,
                    destination: state.destination,
                    zone: state.zone,
                    message: item.message,
                };
                let idempotency = self.classes[usize::from(item.class)].idempotency;
                let effect = self.deduplication.takes_effect(execution, idempotency);
                self.arrivals[pending.records.start + position].effect = effect;
            }
            statuses.push(if served { ItemStatus::Served } else { ItemStatus::Error });
        }
        statuses
    }

    fn reported_load(&mut self, now: Time, endpoint: u32, destination: u32) -> Option<ReportedLoad> {
        let kind = &self.kinds[self.destinations.get(&destination)?.kind];
        let limit = self.limits.get_mut(&LimitOwner::new(kind, destination, endpoint))?;
        limit.reported_load(now, kind)
    }

    /// Records the answer to a call and removes the call.
    fn answer(&mut self, call: u64, now: Time, reply: Reply) -> CallStep {
        if let Some(pending) = self.calls.remove(&call) {
            for (record, status) in pending.records.zip(&reply.statuses) {
                let arrival = &mut self.arrivals[record];
                arrival.answered = Some(now);
                arrival.verdict = match status {
                    ItemStatus::Served => EndpointVerdict::Served,
                    ItemStatus::Rejected => EndpointVerdict::Rejected { retry_after: reply.retry_after },
                    ItemStatus::Error => EndpointVerdict::Error,
                };
            }
        }
        CallStep::Answer(reply)
    }
}

/// Returns the result of a message under the class fault of its endpoint. `class_draw` is uniform in [0, 1);
/// the message fails if it is below the probability of the fault.
fn plan_result(item: &CallItem, state: &EndpointState, class_draw: f64) -> PlannedResult {
    match state.fault.class_fault {
        Some(fault) if fault.class == item.class && class_draw < fault.probability => {
            if fault.unanswered {
                PlannedResult::Unanswered
            } else {
                PlannedResult::Error
            }
        }
        _ => PlannedResult::Served,
    }
}
