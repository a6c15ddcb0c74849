//! Handles bytes received from endpoints, and derives the outcomes of attempts from them.

use super::connection::ConnectionState;
use super::{response, CloseReason, ConnectionId, ConnectionPool, FinishedAttempt, LoadReport};
use crate::core::attempts::AttemptId;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::idle_reuse::CallResult;
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_http::{parse_response, EarlyStatus, ParsedResponse, Persistence, ResponseHead};

impl ConnectionPool {
    /// Handles bytes received on a connection. Returns the result of the connection's attempt once the bytes
    /// determine it, otherwise `None`.
    pub fn receive(
        &mut self,
        id: ConnectionId,
        bytes: &[u8],
        now: Time,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get_mut(&id)?;
        match *connection.state() {
            ConnectionState::Abandoned { attempt, .. } => {
                connection.response.extend_from_slice(bytes);
                self.evaluate_late_response(id, attempt, settings)
            }
            ConnectionState::Connecting { .. } | ConnectionState::Idle { .. } => {
                // No request is outstanding: the bytes are the rest of a response body, or unexpected.
                if bytes.len() > connection.body_remaining {
                    self.close(id, CloseReason::UnexpectedBytes);
                } else {
                    connection.body_remaining -= bytes.len();
                }
                None
            }
            ConnectionState::InUse { first_byte_at } => {
                if first_byte_at.is_none() {
                    connection.first_byte_received(now);
                    self.reuse_policy.record_call(now, connection.idle_before, CallResult::Answered);
                }
                connection.response.extend_from_slice(bytes);
                self.evaluate_response(id, now, settings)
            }
        }
    }

    /// Evaluates the bytes of the response to an attempt in flight.
    fn evaluate_response(
        &mut self,
        id: ConnectionId,
        now: Time,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        let attempt = connection.attempt?;
        match parse_response(&connection.response) {
            ParsedResponse::Incomplete { .. } => None,
            ParsedResponse::Malformed { status } => {
                self.close(id, CloseReason::MalformedResponse);
                Some(FinishedAttempt::new(attempt, response::outcome_of_malformed(status)))
            }
            ParsedResponse::Head(head) => self.evaluate_response_head(id, attempt, &head, now, settings),
        }
    }

    /// Evaluates the complete head of the response to an attempt in flight.
    fn evaluate_response_head(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        head: &ResponseHead,
        now: Time,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get_mut(&id)?;
        let body_received = connection.response.len() - head.length;
        // A truncated response counts as possibly executed, whatever its status. A status other than 200 is
        // therefore evaluated only once the response is complete.
        if head.status != 200 && head.body.is_some_and(|length| length > body_received) {
            return None;
        }
        let interpretation = response::interpret(head);
        let load = response::load_report(head, settings);
        match head.body {
            Some(length) if head.persistence == Persistence::KeepAlive && length >= body_received => {
                connection.make_idle(now, length - body_received);
                self.by_attempt.remove(&attempt);
            }
            _ => {
                self.close(id, CloseReason::ResponseEndsConnection);
            }
        }
        Some(FinishedAttempt {
            id: attempt,
            outcome: interpretation.outcome,
            message_completed: interpretation.message_completed,
            load,
            abandoned_endpoint: None,
        })
    }

    /// Evaluates the response to an abandoned attempt. A rejection affects the endpoint's limit; a status
    /// line that reads 200 means that the message was delivered, although the attempt was cancelled. Any
    /// other response is ignored.
    fn evaluate_late_response(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        let endpoint = connection.endpoint;
        let (outcome, load) = match parse_response(&connection.response) {
            ParsedResponse::Incomplete { status: EarlyStatus::Other } => return None,
            ParsedResponse::Head(head) => {
                (response::outcome_of_status(&head).outcome, response::load_report(&head, settings))
            }
            ParsedResponse::Incomplete { status } | ParsedResponse::Malformed { status } => {
                (response::outcome_of_malformed(status), LoadReport::default())
            }
        };
        self.close(id, CloseReason::LateResponse);
        if !matches!(outcome, AttemptOutcome::Rejected { .. } | AttemptOutcome::Served) {
            return None;
        }
        Some(FinishedAttempt {
            load,
            abandoned_endpoint: Some(endpoint),
            ..FinishedAttempt::new(attempt, outcome)
        })
    }
}
