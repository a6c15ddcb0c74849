//! The attempts of messages: how the core starts and cancels them, collects their outcomes, and gives
//! messages their final answers.

use super::delivery::{AttemptId, FinishedAttempt, OutgoingMessage, PendingWrite};
use super::in_flight::{InFlightMessage, Message, MessageState};
use super::responses::RecordOutcome;
use super::{Core, UpstreamId};
use crate::delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};
use linnetcart::{AttemptOutcome, AttemptResult, Event, Idempotency, Time};
use linnetcart_net::ConnectFailure;

/// How many ticks before a message's deadline the last attempt may be written. The library gives the final
/// answer two ticks before the deadline, and needs the outcome of an unwritten attempt before that.
const WRITE_MARGIN_TICKS: Time = 4;

impl Core {
    // ---- Connections to endpoints

    /// Handles an established connection to an endpoint.
    pub fn upstream_connected(&mut self, id: UpstreamId) {
        self.delivery.connected(id);
    }

    /// Handles a connection to an endpoint that could not be established.
    pub fn upstream_connect_failed(&mut self, id: UpstreamId, failure: ConnectFailure) {
        self.delivery.connect_failed(id, failure);
    }

    /// Handles a connection that the endpoint closed, or that failed. The operating system had accepted
    /// `accepted_bytes` of the bytes queued for it.
    pub fn upstream_disconnected(&mut self, id: UpstreamId, accepted_bytes: u64) {
        self.delivery.disconnected(id, accepted_bytes);
    }

    /// Takes back the calls on a connection of which the operating system has accepted no byte: in the send queue they
    /// could leave after their messages have ended. `accepted_bytes` is the number of bytes that it has accepted on the
    /// connection. Returns the number of bytes to be removed from the end of the send queue.
    pub fn take_back_unwritten(&mut self, id: UpstreamId, accepted_bytes: u64) -> usize {
        let length = self.delivery.take_back_unwritten(id, accepted_bytes);
        self.collect_attempt_outcomes();
        length
    }

    /// Handles bytes received from an endpoint. Closes the connection if they violate the protocol.
    pub fn upstream_received(&mut self, id: UpstreamId, bytes: &[u8]) {
        let now = self.clock.now();
        let (in_flight, endpoints, retry_after) = (&self.in_flight, &self.endpoints, &self.retry_after);
        let decisions = &self.decisions;
        let may_write = |write: PendingWrite| {
            let open = in_flight.get_open(write.attempt.message);
            open.is_some_and(|open| open.message.deadline > now)
                && endpoints.is_ready(write.endpoint)
                && !retry_after.is_blocked(write.endpoint, now)
                && decisions.check_unsent(now, write.attempt).is_ok()
        };
        self.delivery.receive(id, bytes, &may_write);
        self.collect_attempt_outcomes();
    }

    // ---- Attempts

    /// Starts an attempt that the library decided on. It times out at `min(until, message's deadline)`, or at
    /// the message's deadline if `until` is 0. The attempt is not sent if its message is completed or has
    /// used up its attempts, or if the endpoint has left the list.
    pub(super) fn start_attempt(&mut self, message: u32, endpoint: u32, until: Time) {
        let Some(begun) = self.in_flight.begin_attempt(message) else { return };
        let Some(in_flight) = self.in_flight.get(message) else { return };
        let Message { class, destination, .. } = in_flight.message;
        self.counters.attempt_started();
        self.delivery_events.push(DeliveryEvent::AttemptStarted {
            message,
            attempt: begun.number,
            class,
            destination,
            endpoint,
            hedge: begun.hedge,
        });
        let id = AttemptId { message, number: begun.number };
        let attempts_used_up = u32::from(begun.number) >= self.settings.limits.max_attempts;
        let may_start = !begun.message_completed && !attempts_used_up;
        match self.max_messages_per_call(endpoint) {
            Some(max_messages_per_call) if may_start => {
                let outgoing = outgoing_message(id, &in_flight.message, until, self.decisions.tick());
                self.delivery.send(endpoint, outgoing, max_messages_per_call);
            }
            _ => self.delivery.reject_unsent(id, endpoint),
        }
    }

    /// Returns how many messages one call to the endpoint may carry, or `None` if the endpoint is not in the
    /// list.
    fn max_messages_per_call(&self, endpoint: u32) -> Option<usize> {
        let entry = self.endpoints.get(endpoint)?;
        let kind = self.settings.kind(&entry.kind)?;
        Some(kind.max_messages_per_call as usize)
    }

    pub(super) fn cancel_attempt(&mut self, message: u32, attempt: u16) {
        self.delivery.cancel(AttemptId { message, number: attempt });
    }

    /// Passes the outcomes of attempts on from delivery to the in-flight table, the Retry-After table and the
    /// library. Delivery may finish further attempts meanwhile, so this repeats until no outcome is left.
    pub(super) fn collect_attempt_outcomes(&mut self) {
        for violation in self.delivery.take_violations() {
            let peer = format!("endpoint {}", violation.endpoint);
            let reason = violation.error.to_string();
            self.delivery_events.push(DeliveryEvent::ProtocolViolation { peer, reason });
        }
        for rejection in self.delivery.take_late_rejections() {
            self.record_late_rejection(rejection);
        }
        for AttemptId { message, .. } in self.delivery.take_late_successes() {
            self.complete_late(message);
        }
        loop {
            let finished = self.delivery.take_finished();
            if finished.is_empty() {
                return;
            }
            for attempt in finished {
                self.finish_attempt(attempt);
            }
        }
    }

    /// Completes a message as served by an attempt that was given up, unless it has its final answer. The library is
    /// told that the client cancelled it, so that its other attempts end.
    fn complete_late(&mut self, message: u32) {
        if self.in_flight.get_open(message).is_some() {
            self.decisions.push(Event::ClientCancelled { message });
            self.complete(message, FinalAnswer::Served);
        }
    }

    /// Records the rejection of an abandoned call: its Retry-After applies to the limit of the endpoint,
    /// although the attempts of the call have their outcomes already.
    fn record_late_rejection(&mut self, rejection: FinishedAttempt) {
        let AttemptOutcome::Rejected { retry_after } = rejection.outcome else { return };
        self.retry_after.record(rejection.endpoint, retry_after, self.clock.now());
        self.decisions.push(Event::AttemptFinished(self.attempt_result(&rejection, MessageState::Completed)));
    }

    /// Records the outcome of an attempt. `Served` completes its message.
    fn finish_attempt(&mut self, finished: FinishedAttempt) {
        let message = finished.attempt.message;
        self.push_attempt_finished(&finished);
        if let AttemptOutcome::Rejected { retry_after } = finished.outcome {
            self.retry_after.record(finished.endpoint, retry_after, self.clock.now());
        }
        if finished.outcome == AttemptOutcome::Served {
            self.complete(message, FinalAnswer::Served);
        }
        let message_state = self.in_flight.finish_attempt(message, finished.outcome);
        let result = self.attempt_result(&finished, message_state);
        self.decisions.push(Event::AttemptFinished(result));
    }

    /// Pushes the delivery event of a finished attempt, unless its message is no longer in the table.
    fn push_attempt_finished(&mut self, finished: &FinishedAttempt) {
        let AttemptId { message, number: attempt } = finished.attempt;
        let Some(in_flight) = self.in_flight.get(message) else { return };
        let load = finished
            .load
            .map(|load| LoadReport { capacity_left: load.capacity_left, rate_limit: load.rate_limit });
        self.delivery_events.push(DeliveryEvent::AttemptFinished {
            message,
            attempt,
            class: in_flight.message.class,
            destination: in_flight.message.destination,
            endpoint: finished.endpoint,
            outcome: finished.outcome,
            elapsed: self.clock.now().saturating_sub(finished.started_at),
            load,
        });
    }

    fn attempt_result(&self, finished: &FinishedAttempt, message_state: MessageState) -> AttemptResult {
        AttemptResult {
            message: finished.attempt.message,
            attempt: finished.attempt.number,
            endpoint: finished.endpoint,
            outcome: finished.outcome,
            elapsed: self.clock.now().saturating_sub(finished.started_at),
            completed: message_state == MessageState::Completed,
            capacity_left: finished.load.map(|load| load.capacity_left),
            rate_limit: finished.load.map(|load| load.rate_limit),
        }
    }

    // ---- Final answers

    pub(super) fn reject(&mut self, message: u32, retry_after: Time) {
        self.complete(message, FinalAnswer::Rejected { retry_after });
    }

    pub(super) fn fail(&mut self, message: u32) {
        self.complete(message, FinalAnswer::Failed);
    }

    /// Completes a message without a decision of the library, because its request or a later one on the same
    /// connection is due, or because the drain deadline has passed. The message is rejected if it is harmless
    /// to submit it again, and failed otherwise. The library is told that the client cancelled it.
    pub(super) fn force_complete(&mut self, message: u32) {
        let Some(in_flight) = self.in_flight.get_open(message) else { return };
        let repeat_is_harmless = matches!(
            self.idempotency[usize::from(in_flight.message.class)],
            Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. }
        );
        let answer = if repeat_is_harmless || !self.is_possibly_executed(message, in_flight) {
            FinalAnswer::Rejected { retry_after: 0 }
        } else {
            FinalAnswer::Failed
        };
        self.decisions.push(Event::ClientCancelled { message });
        self.complete(message, answer);
    }

    /// Gives a message its final answer: counts it, pushes the delivery event, and sends the responses that
    /// are complete now.
    fn complete(&mut self, message: u32, answer: FinalAnswer) {
        let Some(in_flight) = self.in_flight.get_open(message) else { return };
        let Message { position, class, destination, accepted_at, .. } = in_flight.message;
        let elapsed = self.clock.now() - accepted_at;
        let not_executed = !self.is_possibly_executed(message, in_flight);
        let record_outcome = match answer {
            FinalAnswer::Served => RecordOutcome::Served,
            FinalAnswer::Rejected { retry_after } => RecordOutcome::Rejected { retry_after, not_executed },
            FinalAnswer::Failed => RecordOutcome::Failed,
        };
        let objective = self.settings.classes[usize::from(class)].latency_objective();
        self.counters.completed(class, answer, elapsed, objective);
        self.delivery_events.push(DeliveryEvent::Completed { message, class, destination, answer, elapsed });
        self.in_flight.complete(message);
        self.clients.complete(position, record_outcome);
        self.send_responses(position.client);
        if self.clients.is_paused(position.client) {
            self.process_requests(position.client);
        }
    }

    /// Returns whether an attempt of the message may have been executed: one that has finished, or one in
    /// flight that has been written to its connection.
    fn is_possibly_executed(&self, message: u32, in_flight: &InFlightMessage) -> bool {
        in_flight.possibly_executed || self.delivery.has_written_attempt(message)
    }
}

/// Builds the outgoing message of an attempt. The attempt times out at `timeout_at`, or at the message's
/// deadline if that is earlier or `timeout_at` is 0. It must be written by
/// `deadline - WRITE_MARGIN_TICKS * tick`.
fn outgoing_message(attempt: AttemptId, message: &Message, timeout_at: Time, tick: Time) -> OutgoingMessage {
    let deadline = message.deadline;
    OutgoingMessage {
        attempt,
        class: message.class,
        destination: message.destination,
        record: message.record.clone(),
        deadline: if timeout_at == 0 { deadline } else { timeout_at.min(deadline) },
        write_by: deadline.saturating_sub(WRITE_MARGIN_TICKS * tick),
    }
}
