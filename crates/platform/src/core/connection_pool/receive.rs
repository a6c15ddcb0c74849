//! Handles bytes received from endpoints, and derives the outcomes of attempts from them.
//!
//! Nothing is concluded from a response that is not certainly the attempt's own (see
//! [`linnetcart_courier_common::attribution`]): its connection is closed, and the attempt counts as possibly
//! executed if its last byte was written.

use super::connection::{Connection, ConnectionState};
use super::{response, CloseReason, ConnectionId, ConnectionPool, FinishedAttempt, LoadReport, ReportedEnd};
use crate::core::attempts::AttemptId;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::attribution::{Attribution, Execution};
use linnetcart_courier_common::idle_reuse::CallResult;
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_http::{parse_response, ParsedResponse, Persistence, ResponseHead, MAX_HEAD_BYTES};

/// A response from which nothing was concluded, because it is not certainly the response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnattributedResponse {
    /// The connection, which was closed.
    pub connection: ConnectionId,
    /// Number of the endpoint.
    pub endpoint: u32,
    /// The attempt that awaited a response, or was cancelled; `None` on an idle connection.
    pub attempt: Option<AttemptId>,
    /// Why the response is not certain.
    pub attribution: Attribution,
}

impl ConnectionPool {
    /// Handles bytes received on a connection, on which the operating system had accepted `written` bytes
    /// since the connect. Returns the result of the connection's attempt once the bytes determine it,
    /// otherwise `None`.
    pub fn receive(
        &mut self,
        id: ConnectionId,
        bytes: &[u8],
        written: u64,
        now: Time,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        self.update(id, |connection| connection.received(bytes, written))?;
        let connection = self.connections.get_mut(&id)?;
        match *connection.state() {
            ConnectionState::Abandoned { attempt, .. } => self.evaluate_late_response(id, attempt, settings),
            ConnectionState::ReadingRest { .. } => {
                self.receive_rest(id, now);
                None
            }
            ConnectionState::Connecting { .. } | ConnectionState::Idle { .. } => {
                if connection.final_response_began() || connection.response.len() > MAX_HEAD_BYTES {
                    return self.disregard(id, Attribution::Unsolicited, now);
                }
                None
            }
            ConnectionState::InUse { first_byte_at } => {
                if first_byte_at.is_none() && connection.final_response_began() {
                    connection.first_byte_received(now);
                    self.reuse_policy.record_call(now, connection.idle_before, CallResult::Answered);
                }
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
        let attribution = connection.attribution(connection.response.len());
        if attribution == Attribution::Unsolicited {
            return self.disregard(id, attribution, now);
        }
        match parse_response(&connection.response) {
            ParsedResponse::Incomplete { status } => {
                let decided = response::interpret_status_line(status).filter(|_| attribution.is_certain())?;
                self.read_rest(id, attempt, now);
                Some(FinishedAttempt::interpreted(attempt, decided))
            }
            ParsedResponse::Malformed { status } => {
                if !attribution.is_certain() {
                    return self.disregard(id, attribution, now);
                }
                self.close(id, CloseReason::MalformedResponse);
                Some(FinishedAttempt::interpreted(attempt, response::interpret_malformed(status)))
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
        let connection = self.connections.get(&id)?;
        let received = ReceivedBody::new(connection, head);
        // A truncated response counts as possibly executed, unless its status line decides. Any other is
        // therefore evaluated only once it is complete. One that may still differ from an earlier response in
        // its body is awaited as well.
        let attribution = connection.attribution(received.end);
        let awaits_body = !response::is_decided_by_status(head.status) || !attribution.is_certain();
        if received.is_incomplete && awaits_body {
            return None;
        }
        if !attribution.is_certain() {
            return self.disregard(id, attribution, now);
        }
        let interpretation = response::interpret(head);
        let load = response::load_report(head, settings);
        // All responses 410 of an endpoint may be equal. After one, a later one would be ambiguous.
        let is_gone = interpretation.end == Some(ReportedEnd::Gone);
        if received.is_incomplete {
            self.read_rest(id, attempt, now);
        } else if received.is_exact && head.persistence == Persistence::KeepAlive && !is_gone {
            self.by_attempt.remove(&attempt);
            self.keep_for_reuse(id, head.status, now);
        } else {
            self.close(id, CloseReason::ResponseEndsConnection);
        }
        Some(FinishedAttempt { load, ..FinishedAttempt::interpreted(attempt, interpretation) })
    }

    /// Reads the rest of a response whose status line has ended the attempt. The message does not wait for it, but a
    /// close would reset the connection under an endpoint that is still writing.
    fn read_rest(&mut self, id: ConnectionId, attempt: AttemptId, now: Time) {
        self.by_attempt.remove(&attempt);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.read_rest(now);
        }
    }

    /// Ends the reading of the rest of a response once it is complete or cannot be read.
    fn receive_rest(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get(&id) else { return };
        match parse_response(&connection.response) {
            ParsedResponse::Incomplete { .. } => {}
            ParsedResponse::Malformed { .. } => {
                self.close(id, CloseReason::MalformedResponse);
            }
            ParsedResponse::Head(head) => {
                let received = ReceivedBody::new(connection, &head);
                let may_keep = received.is_exact
                    && head.persistence == Persistence::KeepAlive
                    && connection.attribution(received.end).is_certain()
                    && response::interpret(&head).end != Some(ReportedEnd::Gone);
                if may_keep {
                    self.keep_for_reuse(id, head.status, now);
                } else if !received.is_incomplete {
                    self.close(id, CloseReason::ResponseEndsConnection);
                }
            }
        }
    }

    /// Makes a connection idle after a complete response, or closes it if the response to another request on
    /// it could not be told from a copy of this one.
    fn keep_for_reuse(&mut self, id: ConnectionId, status: u16, now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let response = connection.final_response();
        let responses_differ = self.seen_responses.insert(connection.endpoint, status, response);
        let may_reuse = self.update(id, |connection| connection.make_idle(now)) == Some(true);
        if !may_reuse || !responses_differ {
            self.close(id, CloseReason::ResponseEndsConnection);
        }
    }

    /// Evaluates the response to an abandoned attempt. A rejection affects the endpoint's limit; a status
    /// line that reads 200 or 410 ends the message, although the attempt was cancelled. Any other response is
    /// ignored.
    fn evaluate_late_response(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        settings: &DeploymentSettings,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        let endpoint = connection.endpoint;
        let (attribution, interpretation, load) = match parse_response(&connection.response) {
            ParsedResponse::Incomplete { .. } if connection.decided_by_status_line().is_none() => {
                return None
            }
            ParsedResponse::Head(head) => {
                let received = ReceivedBody::new(connection, &head);
                let attribution = connection.attribution(received.end);
                if !attribution.is_certain() && received.is_incomplete {
                    return None;
                }
                let interpretation = response::outcome_of_status(&head);
                (attribution, interpretation, response::load_report(&head, settings))
            }
            ParsedResponse::Incomplete { status } | ParsedResponse::Malformed { status } => {
                let attribution = connection.attribution(connection.response.len());
                (attribution, response::interpret_malformed(status), LoadReport::default())
            }
        };
        if !attribution.is_certain() {
            let end = connection.doubtful_end();
            self.report_unattributed(id, Some(attempt), attribution);
            self.close(id, CloseReason::Unattributed);
            let unattributed = FinishedAttempt::new(attempt, AttemptOutcome::Cancelled);
            return end.map(|end| FinishedAttempt {
                end: Some(end),
                abandoned_endpoint: Some(endpoint),
                ..unattributed
            });
        }
        self.close(id, CloseReason::LateResponse);
        let is_rejection = matches!(interpretation.outcome, AttemptOutcome::Rejected { .. });
        if !is_rejection && interpretation.end.is_none() {
            return None;
        }
        Some(FinishedAttempt {
            load,
            abandoned_endpoint: Some(endpoint),
            ..FinishedAttempt::interpreted(attempt, interpretation)
        })
    }

    /// Closes a connection on which a response arrived that is not certainly the response to its attempt.
    /// Returns the result of the attempt that was in flight, if there is one. Connections that do so after an
    /// idle time count as lost calls, so that the reuse policy avoids them.
    fn disregard(
        &mut self,
        id: ConnectionId,
        attribution: Attribution,
        now: Time,
    ) -> Option<FinishedAttempt> {
        let connection = self.connections.get(&id)?;
        let outcome = match connection.execution_after_close() {
            _ if !connection.is_in_use() => AttemptOutcome::NoConnection,
            Execution::Never => AttemptOutcome::NoConnection,
            Execution::Possible => AttemptOutcome::Reset,
        };
        let end = connection.doubtful_end();
        if connection.is_in_use() {
            self.reuse_policy.record_call(now, connection.idle_before, CallResult::Lost);
        }
        self.report_unattributed(id, connection.attempt, attribution);
        let attempt = self.close(id, CloseReason::Unattributed)?;
        Some(FinishedAttempt { end, ..FinishedAttempt::new(attempt, outcome) })
    }

    fn report_unattributed(
        &mut self,
        id: ConnectionId,
        attempt: Option<AttemptId>,
        attribution: Attribution,
    ) {
        let Some(connection) = self.connections.get(&id) else { return };
        let endpoint = connection.endpoint;
        self.unattributed.push(UnattributedResponse { connection: id, endpoint, attempt, attribution });
    }
}

/// How much of a response's body has arrived.
struct ReceivedBody {
    /// Number of the bytes that have arrived of the response, interim responses before it included.
    end: usize,
    /// Whether the body has a known length and more of it is to come.
    is_incomplete: bool,
    /// Whether the body is complete, and no byte follows it.
    is_exact: bool,
}

impl ReceivedBody {
    fn new(connection: &Connection, head: &ResponseHead) -> ReceivedBody {
        let received = connection.response.len() - head.length;
        ReceivedBody {
            end: head.length + head.body.map_or(received, |length| length.min(received)),
            is_incomplete: head.body.is_some_and(|length| length > received),
            is_exact: head.body == Some(received),
        }
    }
}
