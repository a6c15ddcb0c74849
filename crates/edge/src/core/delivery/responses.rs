//! What delivery does with the responses of endpoints.

use super::connections::ConnectionState;
use super::{
    produce, AttemptId, CallId, Delivery, EndpointViolation, FinishedAttempt, UpstreamId, NOT_SENT,
    VERSION_REQUEST,
};
use crate::core::error::ProtocolError;
use bytes::Bytes;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::client::{self, ProduceVersions};
use linnetcart_kafka::PRODUCE;

impl Delivery {
    /// Bytes came. What is no response to a call on this connection ends the connection. `may_depart` says of a
    /// message and an endpoint whether the message may still leave for there.
    pub(crate) fn receive(&mut self, id: UpstreamId, bytes: &[u8], may_depart: &dyn Fn(u32, u32) -> bool) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.frames.push(bytes);
        }
        loop {
            let Some(connection) = self.connections.get_mut(id) else { return };
            let endpoint = connection.endpoint;
            let state = connection.state;
            let processed = match connection.frames.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => match state {
                    ConnectionState::Connecting => self.receive_versions(id, &frame, may_depart),
                    ConnectionState::Ready { produce_version } => {
                        self.receive_response(id, &frame, produce_version)
                    }
                },
                Err(error) => Err(error.into()),
            };
            if let Err(error) = processed {
                if self.connections.get(id).is_some() {
                    self.violations.push(EndpointViolation { endpoint, error });
                }
                self.close(id, AttemptOutcome::Reset);
                return;
            }
        }
    }

    /// The endpoint has said what it offers. Before a message leaves it is looked at again: it can have been
    /// completed, its endpoint can drain, and a Retry-After can have come while the connection was made.
    fn receive_versions(
        &mut self,
        id: UpstreamId,
        frame: &Bytes,
        may_depart: &dyn Fn(u32, u32) -> bool,
    ) -> Result<(), ProtocolError> {
        let ProduceVersions { correlation, offered } = client::read_produce_versions(frame)?;
        let offered = offered.ok_or(ProtocolError::ProduceNotOffered)?;
        let produce_version = offered.last.min(PRODUCE.last);
        if correlation != VERSION_REQUEST || produce_version < offered.first.max(PRODUCE.first) {
            return Err(ProtocolError::ProduceVersions { least: offered.first, most: offered.last });
        }
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        connection.state = ConnectionState::Ready { produce_version };
        let endpoint = connection.endpoint;
        for call_id in connection.waiting_calls.clone() {
            for attempt in self.stale_attempts(call_id, endpoint, may_depart) {
                self.give_up_attempt(call_id, attempt, NOT_SENT);
            }
        }
        self.write_waiting_calls(id);
        self.settle(Some(id));
        Ok(())
    }

    /// Attempts of a call that may not leave any more.
    fn stale_attempts(
        &self,
        call_id: CallId,
        endpoint: u32,
        may_depart: &dyn Fn(u32, u32) -> bool,
    ) -> Vec<AttemptId> {
        let Some(call) = self.calls.get(call_id) else { return Vec::new() };
        let attempts = call.messages.iter().map(|message| message.attempt);
        attempts.filter(|attempt| !may_depart(attempt.message, endpoint)).collect()
    }

    fn receive_response(&mut self, id: UpstreamId, frame: &Bytes, version: i16) -> Result<(), ProtocolError> {
        let reply = client::read_produced(frame, version)?;
        let correlation = reply.correlation;
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        let Some(call_id) = connection.written_calls.remove(&correlation) else {
            return Err(ProtocolError::UnexpectedResponse { correlation });
        };
        let Some(call) = self.calls.get(call_id) else { return Ok(()) };
        let (endpoint, started_at) = (call.endpoint, call.started_at);
        if call.is_abandoned() {
            connection.abandoned_calls = connection.abandoned_calls.saturating_sub(1);
            let retry_after = produce::retry_after(&reply);
            if retry_after > 0 && produce::is_throttled(&reply) {
                self.late_rejections.push(FinishedAttempt {
                    attempt: call.last_finished,
                    endpoint,
                    outcome: AttemptOutcome::Rejected { retry_after },
                    started_at,
                    load: reply.load,
                });
            }
        }
        let outcomes = produce::outcomes(&self.settings, call, &reply);
        self.note_silent_connections(endpoint, started_at);
        for (attempt, outcome) in outcomes {
            self.finish_attempt(call_id, attempt, outcome, reply.load);
        }
        self.calls.remove(call_id);
        self.settle(Some(id));
        Ok(())
    }

    /// An endpoint has answered a call that was started at this time: earlier ones that are abandoned, and that were
    /// the first on their connections after these were idle, are lost with their connections.
    fn note_silent_connections(&mut self, endpoint: u32, answered_started_at: Time) {
        let abandoned = self.connections.abandoned(endpoint);
        for call_id in abandoned.flat_map(|connection| connection.written_calls.values()) {
            let Some(call) = self.calls.get_mut(*call_id) else { continue };
            if call.connection_idle_for > 0 && call.started_at < answered_started_at {
                self.connection_reuse.record_loss(self.now, std::mem::take(&mut call.connection_idle_for));
            }
        }
    }
}
