//! The receive path: version responses complete the set-up of a connection, and Produce responses finish the
//! attempts of calls.

use super::connections::ConnectionState;
use super::produce::{self, StatedOutcome};
use super::{
    AttemptId, CallId, Delivery, EndpointViolation, FinishedAttempt, PendingWrite, UpstreamId, NOT_SENT,
    VERSION_REQUEST,
};
use crate::core::error::ProtocolError;
use bytes::Bytes;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::attribution::Attribution;
use linnetcart_kafka::client::{self, ProduceReply, ProduceVersions};
use linnetcart_kafka::{Frames, PRODUCE};

impl Delivery {
    /// Handles bytes that were received on a connection. Closes the connection if they violate the protocol.
    /// `may_write` returns whether a message that waited for the connection may still be written to it.
    pub(crate) fn receive(&mut self, id: UpstreamId, bytes: &[u8], may_write: &dyn Fn(PendingWrite) -> bool) {
        let Some(connection) = self.connections.get(id) else { return };
        let endpoint = connection.endpoint;
        self.with_frames(id, |frames| frames.push(bytes));
        self.process_frames(id, endpoint, may_write);
        self.free_response_memory();
    }

    /// Changes the received bytes of a connection, and accounts for their memory.
    fn with_frames<T>(&mut self, id: UpstreamId, change: impl FnOnce(&mut Frames) -> T) -> Option<T> {
        let connection = self.connections.get_mut(id)?;
        let before = connection.frames.held_bytes();
        let result = change(&mut connection.frames);
        self.response_memory.resize(before, connection.frames.held_bytes());
        Some(result)
    }

    /// Returns the bytes that are held of responses that are not complete.
    pub(crate) fn response_bytes(&self) -> usize {
        self.response_memory.held()
    }

    /// Closes the connections with the largest incomplete responses until these take no more memory than they may.
    fn free_response_memory(&mut self) {
        while self.response_memory.is_exceeded() {
            let Some((id, endpoint)) = self.connections.largest_response() else { return };
            self.violations.push(EndpointViolation { endpoint, error: ProtocolError::TooManyResponseBytes });
            self.close(id, AttemptOutcome::Reset);
        }
    }

    /// Handles the complete frames of a connection. Closes it if they violate the protocol.
    fn process_frames(&mut self, id: UpstreamId, endpoint: u32, may_write: &dyn Fn(PendingWrite) -> bool) {
        while self.connections.get(id).is_some() {
            match self.receive_frame(id, may_write) {
                Ok(FrameProgress::Processed) => {}
                Ok(FrameProgress::Incomplete) => return,
                Err(error) => {
                    if self.connections.get(id).is_some() {
                        self.violations.push(EndpointViolation { endpoint, error });
                    }
                    self.close(id, AttemptOutcome::Reset);
                    return;
                }
            }
        }
    }

    /// Handles the next frame of a connection if all its bytes have been received.
    fn receive_frame(
        &mut self,
        id: UpstreamId,
        may_write: &dyn Fn(PendingWrite) -> bool,
    ) -> Result<FrameProgress, ProtocolError> {
        let Some(next) = self.with_frames(id, Frames::next_frame) else {
            return Ok(FrameProgress::Incomplete);
        };
        let Some(frame) = next? else { return Ok(FrameProgress::Incomplete) };
        let Some(connection) = self.connections.get(id) else { return Ok(FrameProgress::Incomplete) };
        match connection.state {
            ConnectionState::Connecting => self.receive_versions(id, &frame, may_write)?,
            ConnectionState::Ready { produce_version } => {
                self.receive_response(id, &frame, produce_version)?
            }
        }
        Ok(FrameProgress::Processed)
    }

    /// Handles the response to the version request and writes the waiting calls. Before a call is written,
    /// each of its messages is checked again: while the connection was being established the message may have
    /// been completed, its endpoint may have begun to drain, and a Retry-After may have arrived.
    fn receive_versions(
        &mut self,
        id: UpstreamId,
        frame: &Bytes,
        may_write: &dyn Fn(PendingWrite) -> bool,
    ) -> Result<(), ProtocolError> {
        let produce_version = negotiate_produce_version(frame)?;
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        connection.state = ConnectionState::Ready { produce_version };
        let endpoint = connection.endpoint;
        for call_id in connection.waiting_calls.clone() {
            for attempt in self.stale_attempts(call_id, endpoint, may_write) {
                self.give_up_attempt(call_id, attempt, NOT_SENT);
            }
        }
        self.write_waiting_calls(id);
        self.calls_changed(Some(id));
        Ok(())
    }

    /// Returns the attempts of a call whose messages `may_write` no longer permits to be written to the
    /// endpoint.
    fn stale_attempts(
        &self,
        call_id: CallId,
        endpoint: u32,
        may_write: &dyn Fn(PendingWrite) -> bool,
    ) -> Vec<AttemptId> {
        let Some(call) = self.calls.get(call_id) else { return Vec::new() };
        let attempts = call.messages.iter().map(|message| message.attempt);
        attempts.filter(|&attempt| !may_write(PendingWrite { attempt, endpoint })).collect()
    }

    /// Handles the response to a call: finishes the call's attempts and removes it.
    fn receive_response(&mut self, id: UpstreamId, frame: &Bytes, version: i16) -> Result<(), ProtocolError> {
        let reply = client::read_produced(frame, version)?;
        let correlation = reply.correlation;
        self.check_correlation(id, correlation)?;
        let Some(connection) = self.connections.get_mut(id) else { return Ok(()) };
        let Some(call_id) = connection.written_calls.remove(&correlation) else { return Ok(()) };
        let Some(call) = self.calls.get(call_id) else { return Ok(()) };
        let (endpoint, started_at) = (call.endpoint, call.started_at);
        if call.is_abandoned() {
            connection.abandoned_calls = connection.abandoned_calls.saturating_sub(1);
        }
        let outcomes = produce::outcomes(&self.settings, &call.messages, &reply);
        for late in produce::outcomes(&self.settings, &call.given_up, &reply) {
            if late.outcome == AttemptOutcome::Served {
                self.late_successes.push(late.attempt);
            }
        }
        self.report_late_rejection(call_id, &reply);
        self.record_lost_connections(endpoint, started_at);
        for StatedOutcome { attempt, outcome } in outcomes {
            self.finish_attempt(call_id, attempt, outcome, reply.load);
        }
        self.calls.remove(call_id);
        self.calls_changed(Some(id));
        Ok(())
    }

    /// Checks that a response names the oldest request without a response: responses come in the order of the
    /// requests. After any other response, nothing on the connection can be relied on.
    fn check_correlation(&self, id: UpstreamId, correlation: i32) -> Result<(), ProtocolError> {
        let Some(connection) = self.connections.get(id) else { return Ok(()) };
        let offset = |call_id: CallId| self.calls.get(call_id).and_then(|call| call.stream_offset);
        let mut outstanding: Vec<_> =
            connection.written_calls.iter().map(|(&id, &call_id)| (offset(call_id), id)).collect();
        outstanding.sort_unstable();
        let mut correlations = outstanding.iter().map(|&(_, id)| id);
        match Attribution::of_correlated(correlation, correlations.clone()) {
            Attribution::Certain => Ok(()),
            Attribution::OutOfOrder => {
                let oldest = correlations.next().unwrap_or(correlation);
                Err(ProtocolError::ResponseOutOfOrder { correlation, oldest })
            }
            Attribution::Unsolicited | Attribution::Ambiguous => {
                Err(ProtocolError::UnexpectedResponse { correlation })
            }
        }
    }

    /// Reports the Retry-After of a response to an abandoned call, under the attempt of the call that
    /// finished last. The Retry-After applies although no attempt of the call is left to report it.
    fn report_late_rejection(&mut self, call_id: CallId, reply: &ProduceReply) {
        let Some(call) = self.calls.get(call_id).filter(|call| call.is_abandoned()) else { return };
        let retry_after = produce::retry_after(reply);
        if retry_after > 0 && produce::is_throttled(reply) {
            self.late_rejections.push(FinishedAttempt {
                attempt: call.last_finished,
                endpoint: call.endpoint,
                outcome: AttemptOutcome::Rejected { retry_after },
                started_at: call.started_at,
                load: reply.load,
            });
        }
    }

    /// Records lost connections to an endpoint that has answered a call started at `answered_started_at`. If
    /// an abandoned call was started earlier, as the first after an idle period of its connection, that
    /// connection counts as lost: the endpoint responds, but on other connections only. Such a loss shortens
    /// the idle time up to which connections are reused, once for each call.
    fn record_lost_connections(&mut self, endpoint: u32, answered_started_at: Time) {
        let abandoned = self.connections.abandoned(endpoint);
        for call_id in abandoned.flat_map(|connection| connection.written_calls.values()) {
            let Some(call) = self.calls.get_mut(*call_id) else { continue };
            if call.connection_idle_for > 0 && call.started_at < answered_started_at {
                self.connection_reuse.record_loss(self.now, std::mem::take(&mut call.connection_idle_for));
            }
        }
    }
}

/// Whether a complete frame of a connection was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameProgress {
    /// A complete frame was handled.
    Processed,
    /// The frame needs more bytes.
    Incomplete,
}

/// Returns the version of Produce for a connection: the newest that both this courier and the endpoint offer,
/// by the endpoint's response to the version request.
fn negotiate_produce_version(frame: &Bytes) -> Result<i16, ProtocolError> {
    let ProduceVersions { correlation, offered } = client::read_produce_versions(frame)?;
    if correlation != VERSION_REQUEST {
        return Err(ProtocolError::UnexpectedResponse { correlation });
    }
    let offered = offered.ok_or(ProtocolError::ProduceNotOffered)?;
    let produce_version = offered.last.min(PRODUCE.last);
    if produce_version < offered.first.max(PRODUCE.first) {
        return Err(ProtocolError::ProduceVersions { least: offered.first, most: offered.last });
    }
    Ok(produce_version)
}
