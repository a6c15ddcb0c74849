//! Delivery: executes the actions of the decision library and takes each attempt from its decision to its
//! outcome. The final outcome of a message is in `completion`.
//!
//! Attempts are started only by an iteration, after its decision, and never directly by the input that makes
//! one possible, such as an established connection or an acknowledgement. Another input of the same poll may
//! be a Retry-After, a drain of the endpoint, a new address or the outcome of the message.

use super::attempts::{AttemptId, InFlightAttempt};
use super::clock::MILLISECOND;
use super::completion::{CompletionReason, ReportedDelivery};
use super::connection_pool::{Acquired, Cancelled, ConnectionId, FinishedAttempt};
use super::effects::{CoreEvent, Output};
use super::send_check::{UnsentReason, NOT_SENT};
use super::{upstream_request, Core};
use crate::records::{FinalOutcome, Record, SentAttempt};
use linnetcart::{Action, AttemptOutcome, AttemptResult, Event, Time};
use std::net::SocketAddr;

/// The address and zone of an endpoint in the current endpoint list.
struct Target {
    address: SocketAddr,
    zone: u8,
}

/// Whether the message of an attempt has a final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageState {
    InFlight,
    Completed,
}

impl Core {
    /// Executes an action of the decision library. A rejection or failure here concerns a message that was
    /// accepted before, so its sender gets a status notification; the client of a message that is not
    /// accepted yet gets its response from `answer_decided`.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { message, endpoint, until } => self.begin_attempt(message, endpoint, until),
            Action::Cancel { message, attempt } => {
                let id = AttemptId { message, number: attempt };
                self.cancel_attempt(id, AttemptOutcome::Cancelled);
            }
            Action::Reject { message, retry_after } => {
                let retry_after_ms = (retry_after / MILLISECOND) as u32;
                let outcome = FinalOutcome::Returned { retry_after_ms };
                self.complete_undelivered(message, outcome, CompletionReason::GivenUp);
            }
            Action::Fail { message } => {
                self.complete_undelivered(message, FinalOutcome::Failed, CompletionReason::GivenUp);
            }
            Action::CloseIdle { endpoint } => self.pool.close_idle(endpoint),
            Action::WakeUp { at } => self.decisions.wake_at(at),
            Action::LimitChanged(change) => self.effects.event(CoreEvent::LimitChanged(change)),
            // The endpoint list is always watched; health checks and gossip are disabled on this platform.
            Action::WatchEndpoints | Action::HealthCheck { .. } | Action::Gossip { .. } => {}
        }
    }

    /// Begins an attempt with the deadline min(`until`, deadline of the message); `until` = 0 sets no
    /// deadline of its own.
    fn begin_attempt(&mut self, message: u32, endpoint: u32, until: Time) {
        let Some(attempt) = self.in_flight.begin_attempt(message) else { return };
        let deadline =
            if until == 0 { attempt.message_deadline } else { until.min(attempt.message_deadline) };
        self.attempts.add(attempt.id, endpoint, self.clock.now(), deadline);
        self.start_attempt(attempt.id);
    }

    /// Sends the attempts whose connections were established, and starts the pending attempts whose ordering
    /// key no longer blocks them.
    pub(super) fn start_ready_attempts(&mut self) {
        for connection in self.pool.take_connected() {
            if let Some(attempt) = self.pool.attempt_of(connection) {
                self.send_attempt(attempt, connection);
            }
        }
        for attempt in self.attempts.pending() {
            self.start_attempt(attempt);
        }
    }

    /// Acquires a connection for an attempt, and sends the attempt if the connection is an idle one. Ends it if
    /// it must not be sent any more, and does nothing while the ordering key blocks it.
    fn start_attempt(&mut self, id: AttemptId) {
        match self.check_send(id, self.clock.now()) {
            Ok(()) => {}
            Err(UnsentReason::KeyBlocked) => return,
            Err(reason) => return self.finish_unsent(id, reason),
        }
        let Some(endpoint) = self.attempts.get(id).map(|attempt| attempt.endpoint) else { return };
        self.attempts.start(id);
        let Some(address) = self.discovery.endpoints().ready(endpoint).map(|ready| ready.address) else {
            return self.finish_unsent(id, UnsentReason::EndpointNotReady);
        };
        match self.pool.acquire(id, endpoint, address, self.clock.now()) {
            Acquired::Idle(connection) => self.send_checked(id, connection),
            Acquired::Connecting(connection) => {
                self.counters.connects += 1;
                self.effects.output(Output::Connect(connection, address));
            }
            Acquired::Exhausted => self.finish_unsent(id, UnsentReason::NoFreeConnection),
        }
    }

    /// Sends an attempt on its connection, which has been established meanwhile. Ends it unsent if it must not be sent
    /// any more.
    fn send_attempt(&mut self, id: AttemptId, connection: ConnectionId) {
        match self.check_send(id, self.clock.now()) {
            Ok(()) => self.send_checked(id, connection),
            Err(reason) => self.finish_unsent(id, reason),
        }
    }

    /// Sends an attempt that was checked in this instant. Ends it unsent if its endpoint is no longer ready at the
    /// connection's address.
    fn send_checked(&mut self, id: AttemptId, connection: ConnectionId) {
        let (Some(attempt), Some(message)) = (self.attempts.get(id), self.in_flight.get(id.message)) else {
            return;
        };
        let target = match self.target_of(attempt.endpoint, connection) {
            Ok(target) => target,
            Err(reason) => return self.finish_unsent(id, reason),
        };
        let time_remaining = attempt.deadline.saturating_sub(self.clock.now());
        tracing::info!(
            id = %message.message().id_text(),
            attempt = id.number,
            endpoint = attempt.endpoint,
            connection,
            time_remaining,
            "attempt sent"
        );
        let bytes = upstream_request::encode(message.message(), target.address, time_remaining);
        let sent = SentAttempt { number: id.number, zone: target.zone, sent_at: self.clock.wall_now() };
        self.in_flight.attempt_sent(id.message, sent);
        self.effects.record(Record::AttemptSent { message: id.message, attempt: sent });
        self.counters.attempts_sent += 1;
        self.pool.request_queued(connection, bytes.len());
        self.effects.attempt(id, connection, bytes.into());
        let recovery = self.recovery.attempted(id.message);
        self.report_recovery(recovery);
    }

    /// Ends an attempt without sending it, and releases its connection if it has one.
    fn finish_unsent(&mut self, id: AttemptId, reason: UnsentReason) {
        if let (Some(message), Some(attempt)) = (self.in_flight.get(id.message), self.attempts.get(id)) {
            let message = message.message().id_text();
            let endpoint = attempt.endpoint;
            if reason == UnsentReason::RetryAfterPending {
                tracing::info!(
                    id = %message,
                    attempt = id.number,
                    endpoint,
                    "attempt withheld, Retry-After pending"
                );
            } else {
                tracing::info!(id = %message, attempt = id.number, endpoint, ?reason, "attempt not sent");
            }
        }
        if reason.leaves_connection_usable() {
            self.pool.release_unused(id, self.clock.now());
        } else {
            self.pool.cancel(id, self.clock.now());
        }
        self.finish_attempt(FinishedAttempt::new(id, reason.outcome()));
    }

    /// Returns the endpoint's listed address and zone if the endpoint is ready and the connection leads to
    /// that address.
    fn target_of(&self, endpoint: u32, connection: ConnectionId) -> Result<Target, UnsentReason> {
        let ready = self.discovery.endpoints().ready(endpoint).ok_or(UnsentReason::EndpointNotReady)?;
        if self.pool.address(connection) != Some(ready.address) {
            return Err(UnsentReason::AddressChanged);
        }
        Ok(Target { address: ready.address, zone: ready.zone })
    }

    /// Cancels an attempt. Its outcome is `outcome` if its request was queued, otherwise
    /// [`AttemptOutcome::NotSent`].
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome) {
        if self.attempts.get(id).is_none() {
            return;
        }
        let outcome = match self.pool.cancel(id, self.clock.now()) {
            Cancelled::Abandoned => outcome,
            Cancelled::Unsent => NOT_SENT,
        };
        self.finish_attempt(FinishedAttempt::new(id, outcome));
    }

    /// Handles the end of an attempt, or the late response to an abandoned one.
    pub(super) fn finish_attempt(&mut self, finished: FinishedAttempt) {
        if let Some(endpoint) = finished.abandoned_endpoint {
            return self.handle_late_response(&finished, endpoint);
        }
        let id = finished.id;
        let Some(attempt) = self.attempts.remove(id) else { return };
        self.counters.outcomes.count(finished.outcome);
        let Some(message) = self.in_flight.get(id.message) else { return };
        let message_id = message.message().id_text();
        let outcome = finished.outcome;
        let endpoint = attempt.endpoint;
        let was_completed = message.is_completed();
        tracing::info!(
            id = %message_id,
            attempt = id.number,
            endpoint,
            ?outcome,
            reported_end = ?finished.end,
            was_completed,
            "attempt finished"
        );
        let Some(effect) = self.in_flight.attempt_ended(id, outcome) else { return };
        if effect.retracts_sent {
            self.effects.record(Record::NotExecuted { message: id.message, attempt: id.number });
        }
        if may_still_execute(outcome) {
            self.start_key_cooldown(effect.ordering_key);
        }
        if let Some(end) = finished.end {
            self.complete_reported(id.message, end);
        }
        let is_completed = effect.was_completed || finished.end.is_some();
        let state = if is_completed { MessageState::Completed } else { MessageState::InFlight };
        self.report_result(&finished, &attempt, state);
        self.remove_if_settled(id.message);
    }

    /// Handles the late response to an abandoned attempt. If the response reports the end of the message, the
    /// message is completed and its other attempts are cancelled; any other response only affects the limit
    /// of the endpoint.
    fn handle_late_response(&mut self, finished: &FinishedAttempt, endpoint: u32) {
        let message = finished.id.message;
        self.log_late_response(finished, endpoint);
        let Some(end) = finished.end else {
            let now = self.clock.now();
            let attempt = InFlightAttempt::ended_at(endpoint, now);
            return self.report_result(finished, &attempt, MessageState::InFlight);
        };
        if self.complete_reported(message, end) != ReportedDelivery::AlreadyCompleted {
            self.decisions.push(Event::ClientCancelled { message });
            self.remove_if_settled(message);
        }
    }

    fn log_late_response(&self, finished: &FinishedAttempt, endpoint: u32) {
        let message = self.in_flight.get(finished.id.message);
        tracing::info!(
            id = message.map(|message| message.message().id_text().into_owned()),
            number = finished.id.message,
            attempt = finished.id.number,
            endpoint,
            outcome = ?finished.outcome,
            reported_end = ?finished.end,
            "late response to an abandoned attempt"
        );
    }

    /// Queues the result of an attempt for the decision library.
    fn report_result(&mut self, finished: &FinishedAttempt, attempt: &InFlightAttempt, state: MessageState) {
        self.decisions.push(Event::AttemptFinished(AttemptResult {
            message: finished.id.message,
            attempt: finished.id.number,
            endpoint: attempt.endpoint,
            outcome: finished.outcome,
            elapsed: self.clock.now() - attempt.started_at,
            completed: state == MessageState::Completed,
            capacity_left: finished.load.capacity_left,
            rate_limit: finished.load.rate_limit,
        }));
    }

    /// Starts and records the cooldown of an ordering key: an attempt of a message with this key ended for
    /// the courier, but may still be executing at its endpoint.
    pub(super) fn start_key_cooldown(&mut self, ordering_key: u64) {
        if let Some(until) = self.attempts.key_cooldowns.start(ordering_key, self.clock.now()) {
            let until = self.clock.to_wall(until);
            self.effects.record(Record::KeyCooldown { ordering_key, until });
        }
    }
}

/// Whether the endpoint may still be executing the message after an attempt ended with this outcome.
fn may_still_execute(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
}
