//! The last check of an attempt that had to wait after its decision: for a connection, a record or the
//! acknowledgement of a notification.

use super::Dispatcher;
use crate::interface::{EndpointStatus, Idempotency, SendRefusal, Time};
use crate::state::{AttemptId, CircuitState, EndpointState, InFlightAttempt, Limiter, Message};

/// Time that a request may take from its last check until its last byte is at the endpoint: a standstill of
/// the process and the way there.
const SEND_MARGIN: Time = 250_000_000;

impl Dispatcher {
    /// Judges an attempt right before its bytes leave, by the conditions of its decision that can change
    /// while it waits. A courier asks for every attempt, and ends a refused one as not sent.
    ///
    /// # Errors
    ///
    /// If the attempt must not be sent at clock time `now`.
    pub fn check_unsent(&self, now: Time, message: u32, attempt: u16) -> Result<(), SendRefusal> {
        let in_flight = self.state.attempts.get(AttemptId { message, attempt });
        let in_flight = in_flight.filter(|attempt| !attempt.cancelled).ok_or(SendRefusal::Cancelled)?;
        let message = self.state.messages.get(&message).ok_or(SendRefusal::MessageEnded)?;
        if message.completed {
            return Err(SendRefusal::MessageEnded);
        }
        if message.deadline <= now {
            return Err(SendRefusal::DeadlinePassed);
        }
        let endpoint = self.state.endpoints.get(in_flight.endpoint);
        let ready = endpoint.filter(|endpoint| endpoint.status == EndpointStatus::Ready);
        let endpoint = ready.ok_or(SendRefusal::EndpointNotReady)?;
        if !self.may_still_repeat(message, in_flight, endpoint, now) {
            return Err(SendRefusal::PossibleRepetition);
        }
        self.check_limits(in_flight, endpoint, now)
    }

    /// Rule 2: whether no earlier attempt may have been executed, or the endpoint suppresses a second
    /// execution and still does when the request arrives.
    fn may_still_repeat(
        &self,
        message: &Message,
        attempt: &InFlightAttempt,
        endpoint: &EndpointState,
        now: Time,
    ) -> bool {
        let others = message.possibly_executed.iter().filter(|other| other.attempt != attempt.id.attempt);
        let Some(first) = others.min() else { return true };
        match self.settings.classes[message.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { dedup_window, per_zone } => {
                let in_window = now + SEND_MARGIN < first.sent_at + dedup_window;
                in_window && !(per_zone && endpoint.zone != first.zone)
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// Rules 4 and 6: no Retry-After is pending, and no outage of the endpoint or its destination has begun
    /// since the decision. The rate of an outage's recovery does not include attempts decided before it.
    fn check_limits(
        &self,
        attempt: &InFlightAttempt,
        endpoint: &EndpointState,
        now: Time,
    ) -> Result<(), SendRefusal> {
        let destination = self.state.destinations.get(endpoint.destination);
        let limiters = [Some(&endpoint.limiter), destination.map(|destination| &destination.limiter)];
        for limiter in limiters.into_iter().flatten() {
            if limiter.retry_after_until > now {
                return Err(SendRefusal::RetryAfterPending);
            }
            if limiter.outage_since().is_some_and(|since| since > attempt.sent_at) {
                return Err(SendRefusal::OutageBegan);
            }
        }
        Ok(())
    }
}

impl Limiter {
    /// Returns the start of the outage from which the limit has not fully recovered; `None` for a limit that
    /// is only silent, because this attempt itself may be what it has not answered.
    fn outage_since(&self) -> Option<Time> {
        match self.circuit {
            CircuitState::Closed | CircuitState::Open { confirmed: false, .. } => None,
            CircuitState::Open { confirmed: true, .. } | CircuitState::SlowStart { .. } => {
                Some(self.failures.since)
            }
        }
    }
}
