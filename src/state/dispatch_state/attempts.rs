//! Operations on attempts and calls: send, cancel, finish, and the check for silent endpoints.

use super::DispatchState;
use crate::interface::{AttemptResult, Time};
use crate::state::{
    AttemptId, DueAttempt, FinishedAttempt, InFlightAttempt, OpenCall, PossibleExecution, SentAttempt,
};

/// Whether the endpoint and the destination of an overdue attempt are silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) endpoint: u32,
    pub(crate) destination: u32,
    pub(crate) class: usize,
    /// Whether the endpoint has answered no call since the attempt was sent.
    pub(crate) endpoint_silent: bool,
    /// Whether no endpoint of the destination has answered a call since the attempt was sent. Always true for
    /// independent routes, as the destination's limiter records no outcomes of their calls.
    pub(crate) destination_silent: bool,
}

impl DispatchState {
    /// Whether the next message to an endpoint joins a call that was started in this decision cycle: the call
    /// holds fewer messages than the kind of the destination allows.
    pub(crate) fn has_joinable_call(&self, endpoint: u32, now: Time) -> bool {
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        let Some(destination) = self.destinations.get(endpoint.destination) else { return false };
        let sends = endpoint.sends_in_call_started_at(now);
        sends > 0 && sends < destination.kind.max_messages_per_call
    }

    /// Starts a new call to an endpoint, still without messages, and counts it as in flight.
    pub(crate) fn open_call(&mut self, endpoint: u32, destination: u32, now: Time) {
        let call = self.next_sequence();
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.open_call = OpenCall { call, started_at: now, sends: 0 };
            endpoint.calls_in_flight += 1;
        }
        if let Some(destination) = self.destinations.get_mut(destination) {
            destination.calls_in_flight += 1;
        }
    }

    /// Records that the next attempt of a message is sent in the open call of an endpoint. The attempt is
    /// overdue `overdue_span` nanoseconds from now.
    pub(crate) fn record_send(&mut self, id: u32, endpoint: u32, now: Time, overdue_span: Time) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(endpoint_state) = self.endpoints.get_mut(endpoint) else { return };
        endpoint_state.open_call.sends += 1;
        let call = endpoint_state.open_call.call;
        let attempt = message.attempts;
        message.attempts += 1;
        message.attempts_in_flight += 1;
        let zone = endpoint_state.zone;
        message.possibly_executed.push(PossibleExecution { sent_at: now, attempt, zone });
        if let Some(destination) = self.destinations.get_mut(message.destination) {
            destination.last_sent_at = now;
        }
        let sent = SentAttempt { sent_at: now, message: id, attempt };
        let group = self.overdue_group(&self.messages[&id]);
        self.overdue_index.insert(group, overdue_span, sent);
        self.leave_wait_queue(id);
        let id = AttemptId { message: id, attempt };
        self.attempts.insert(InFlightAttempt { id, endpoint, sent_at: now, call, cancelled: false });
    }

    /// Marks an attempt as cancelled; returns false when it is not in flight.
    pub(crate) fn mark_cancelled(&mut self, id: AttemptId) -> bool {
        let Some(sent_at) = self.attempts.mark_cancelled(id) else { return false };
        self.forget_overdue(id, sent_at);
        true
    }

    /// Removes a finished attempt, and its call if this was the last attempt in it. Returns `None` when the
    /// attempt is not in flight, for example because it had a result before.
    pub(crate) fn take_finished(&mut self, result: &AttemptResult) -> Option<FinishedAttempt> {
        let id = AttemptId { message: result.message, attempt: result.attempt };
        let finished = self.attempts.finish(id, result.outcome)?;
        if finished.call_ended {
            self.end_call(result.endpoint);
        }
        if !finished.cancelled {
            self.forget_overdue(id, finished.sent_at);
        }
        Some(finished)
    }

    fn end_call(&mut self, endpoint: u32) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else { return };
        endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        if let Some(destination) = self.destinations.get_mut(endpoint.destination) {
            destination.calls_in_flight = destination.calls_in_flight.saturating_sub(1);
        }
    }

    /// Updates the message of a finished attempt: one attempt fewer is in flight, and the attempt is no
    /// longer a possible execution if the outcome rules that out.
    pub(crate) fn record_result(&mut self, result: &AttemptResult) {
        let Some(message) = self.messages.get_mut(&result.message) else { return };
        message.attempts_in_flight -= 1;
        if result.outcome.not_executed() {
            message.record_not_executed(result.attempt, result.outcome);
        }
    }

    /// Checks whether the endpoint and the destination of an overdue attempt have answered since it was sent.
    /// Returns `None` when the attempt is not in flight or one of them is unknown.
    pub(crate) fn check_silence(&self, overdue: &DueAttempt) -> Option<Silence> {
        let endpoint = self.attempts.get(overdue.id())?.endpoint;
        let message = self.messages.get(&overdue.message)?;
        let destination = self.destinations.get(message.destination)?;
        let endpoint_answered_at = self.endpoints.get(endpoint)?.limiter.last_answer_at;
        Some(Silence {
            endpoint,
            destination: message.destination,
            class: message.class,
            endpoint_silent: endpoint_answered_at < overdue.sent_at,
            destination_silent: destination.limiter.last_answer_at < overdue.sent_at,
        })
    }
}
