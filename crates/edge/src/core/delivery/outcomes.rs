//! The end of attempts and calls: by a response, by cancellation, by timeout, or with their connection.

use super::calls::{Call, CallTable, RemovedAttempt};
use super::{AttemptId, CallId, Delivery, FinishedAttempt, UpstreamId, NOT_SENT};
use linnetcart::AttemptOutcome;
use linnetcart_kafka::LoadReport;

impl Delivery {
    /// Finishes one attempt of a call. Returns `None` if the call does not carry the attempt.
    pub(super) fn finish_attempt(
        &mut self,
        call: CallId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) -> Option<RemovedAttempt> {
        let removed = self.calls.remove_attempt(call, attempt)?;
        let RemovedAttempt { endpoint, started_at, .. } = removed;
        self.finished.push(FinishedAttempt { attempt, endpoint, outcome, started_at, load });
        Some(removed)
    }

    /// Finishes one attempt of a call without a response. Abandons the call if no other attempt of it is
    /// left.
    pub(super) fn give_up_attempt(&mut self, call_id: CallId, attempt: AttemptId, outcome: AttemptOutcome) {
        let Some(removed) = self.finish_attempt(call_id, attempt, outcome, None) else { return };
        if let Some(call) = self.calls.get_mut(call_id).filter(|call| call.is_written()) {
            call.given_up.push(removed.message);
        }
        if removed.was_last {
            self.abandon_call(call_id);
        }
    }

    /// Abandons a call whose attempts all have outcomes. A call that was written may still be executed, so
    /// its connection waits for the response and carries nothing else meanwhile. A call that was not written
    /// is removed.
    fn abandon_call(&mut self, call_id: CallId) {
        let Some(call) = self.calls.get(call_id) else { return };
        let (endpoint, connection_id) = (call.endpoint, call.connection);
        if call.is_written() {
            if let Some(connection) = connection_id.and_then(|id| self.connections.get_mut(id)) {
                connection.abandoned_calls += 1;
            }
            self.calls_changed(connection_id);
            self.close_excess_abandoned(endpoint);
            return;
        }
        self.calls.remove(call_id);
        if let Some(connection) = connection_id.and_then(|id| self.connections.get_mut(id)) {
            connection.waiting_calls.retain(|&waiting| waiting != call_id);
        }
        self.calls_changed(connection_id);
    }

    /// Removes a call and finishes its remaining attempts with this outcome.
    pub(super) fn finish_call(&mut self, id: CallId, outcome: AttemptOutcome) {
        finish_call(&mut self.calls, &mut self.finished, id, outcome);
    }

    /// Updates a connection, if there is one, after its calls changed.
    pub(super) fn calls_changed(&mut self, id: Option<UpstreamId>) {
        if let Some(id) = id {
            self.connections.calls_changed(id, self.now, self.settings.idle_timeout);
        }
    }

    /// Closes the least recently used connection with abandoned calls to an endpoint if there are more such
    /// connections to it than slots.
    fn close_excess_abandoned(&mut self, endpoint: u32) {
        if let Some(oldest) = self.connections.excess_abandoned(endpoint, self.settings.max_calls) {
            self.close(oldest, AttemptOutcome::Reset);
        }
    }

    /// Cancels an attempt that has no outcome yet. If its call was not written to the connection, the attempt
    /// ends as not sent, because it cannot have been executed; otherwise as cancelled, and may be executed.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let Some(call_id) = self.calls.call_of_attempt(attempt) else { return };
        let written = self.calls.get(call_id).is_some_and(Call::is_written);
        let outcome = if written { AttemptOutcome::Cancelled } else { NOT_SENT };
        self.give_up_attempt(call_id, attempt, outcome);
    }

    /// Finishes the attempts that have timed out, and closes the connections that have timed out.
    pub(crate) fn expire(&mut self) {
        while let Some(expired) = self.calls.next_expired(self.now) {
            self.give_up_attempt(expired.call, expired.attempt, expired.outcome);
        }
        while let Some(id) = self.connections.take_timed_out(self.now) {
            self.close(id, AttemptOutcome::NoConnection);
        }
    }
}

/// Removes a call and adds its remaining attempts, with this outcome, to those that have finished.
pub(super) fn finish_call(
    calls: &mut CallTable,
    finished: &mut Vec<FinishedAttempt>,
    id: CallId,
    outcome: AttemptOutcome,
) {
    let Some(call) = calls.remove(id) else { return };
    for message in call.messages {
        finished.push(FinishedAttempt {
            attempt: message.attempt,
            endpoint: call.endpoint,
            outcome,
            started_at: call.started_at,
            load: None,
        });
    }
}
