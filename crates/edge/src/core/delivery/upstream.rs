//! Upstream connections that are established, closed or lost, and what that means for the calls on them.

use super::outcomes::finish_call;
use super::{CallId, Delivery, UpstreamId, VERSION_REQUEST, VERSION_REQUEST_VERSION};
use crate::core::Output;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::client;
use linnetcart_net::ConnectFailure;

/// The outcomes of the calls on a connection that is closed or lost.
#[derive(Clone, Copy, Debug)]
struct CallOutcomes {
    /// The outcome of calls of which the endpoint may have received a byte.
    possibly_sent: AttemptOutcome,
    /// The outcome of calls of which the endpoint cannot have received any byte.
    unsent: AttemptOutcome,
}

/// A call whose bytes are all in the send queue.
#[derive(Clone, Copy, Debug)]
struct UnwrittenCall {
    correlation: i32,
    call_id: CallId,
    is_abandoned: bool,
}

impl CallOutcomes {
    fn possibly_sent(possibly_sent: AttemptOutcome) -> CallOutcomes {
        CallOutcomes { possibly_sent, unsent: AttemptOutcome::NoConnection }
    }
}

impl Delivery {
    /// Closes a connection. Calls that were written to it end with `written_outcome`, calls that wait for it
    /// with `NoConnection`.
    pub(super) fn close(&mut self, id: UpstreamId, written_outcome: AttemptOutcome) {
        if self.connections.get(id).is_some() {
            self.outputs.push(Output::CloseUpstream(id));
            self.remove_connection(id, u64::MAX, CallOutcomes::possibly_sent(written_outcome));
        }
    }

    /// Removes a connection that was closed or lost, and finishes its calls. The operating system had
    /// accepted the first `accepted_bytes` of its byte stream, so a written call may have been sent if
    /// `stream_offset < accepted_bytes`. No other call was sent.
    fn remove_connection(&mut self, id: UpstreamId, accepted_bytes: u64, outcomes: CallOutcomes) {
        let Some(connection) = self.connections.remove(id) else { return };
        self.response_memory.resize(connection.frames.held_bytes(), 0);
        for call_id in connection.written_calls.into_values() {
            let Some(call) = self.calls.get(call_id) else { continue };
            if call.connection_idle_for > 0 && outcomes.possibly_sent == AttemptOutcome::Reset {
                self.connection_reuse.record_loss(self.now, call.connection_idle_for);
            }
            let possibly_sent = call.stream_offset.unwrap_or(0) < accepted_bytes;
            let outcome = if possibly_sent { outcomes.possibly_sent } else { outcomes.unsent };
            self.finish_call(call_id, outcome);
        }
        for call_id in connection.waiting_calls {
            self.finish_call(call_id, outcomes.unsent);
        }
    }

    /// Takes back the calls on a connection of which the operating system has accepted no byte, given how many
    /// bytes it has accepted on the connection: their attempts end as local faults, and are decided anew. Returns the
    /// number of bytes that the caller has to remove from the end of the connection's send queue.
    pub(crate) fn take_back_unwritten(&mut self, id: UpstreamId, accepted_bytes: u64) -> usize {
        let Some(connection) = self.connections.get_mut(id) else { return 0 };
        let mut first_offset = connection.queued_bytes;
        let mut unwritten = Vec::new();
        for (&correlation, &call_id) in &connection.written_calls {
            let Some(call) = self.calls.get(call_id) else { continue };
            let Some(offset) = call.stream_offset.filter(|&offset| offset >= accepted_bytes) else {
                continue;
            };
            first_offset = first_offset.min(offset);
            unwritten.push(UnwrittenCall { correlation, call_id, is_abandoned: call.is_abandoned() });
        }
        let length = connection.queued_bytes - first_offset;
        connection.queued_bytes = first_offset;
        for call in unwritten {
            connection.written_calls.remove(&call.correlation);
            connection.abandoned_calls -= usize::from(call.is_abandoned);
            finish_call(&mut self.calls, &mut self.finished, call.call_id, AttemptOutcome::LocalFault);
        }
        self.calls_changed(Some(id));
        length as usize
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&mut self, endpoint: u32) {
        for id in self.connections.idle_while(endpoint, |_| true) {
            self.close(id, AttemptOutcome::Reset);
        }
    }

    /// Closes the connections to an endpoint that have been idle for longer than [`MaxIdlePolicy`] permits
    /// them to be reused. Endpoints and middleboxes may have dropped them without notice.
    ///
    /// [`MaxIdlePolicy`]: linnetcart_courier_common::idle_reuse::MaxIdlePolicy
    pub(super) fn close_unreliable_idle(&mut self, endpoint: u32) {
        let max_idle = self.connection_reuse.max_idle(self.now);
        let now = self.now;
        let is_unreliable = |since: Time| max_idle == 0 || since.saturating_add(max_idle) < now;
        for id in self.connections.idle_while(endpoint, is_unreliable) {
            self.close(id, AttemptOutcome::Reset);
        }
    }

    /// Handles an established connection: sends the version request.
    pub(crate) fn connected(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let name = &self.settings.client_name;
        match client::api_versions(VERSION_REQUEST, name, VERSION_REQUEST_VERSION) {
            Ok(bytes) => {
                connection.queued_bytes += bytes.len() as u64;
                self.outputs.push(Output::ToUpstream(id, bytes));
            }
            Err(_) => self.close(id, AttemptOutcome::NoConnection),
        }
    }

    /// Handles a connection that could not be established. A failure of this machine ends its calls as a
    /// local fault, which says nothing about the endpoint.
    pub(crate) fn connect_failed(&mut self, id: UpstreamId, failure: ConnectFailure) {
        let unsent = match failure {
            ConnectFailure::Local => AttemptOutcome::LocalFault,
            ConnectFailure::Remote => AttemptOutcome::NoConnection,
        };
        self.remove_connection(id, 0, CallOutcomes { possibly_sent: unsent, unsent });
    }

    /// Handles a connection that the endpoint closed, or that failed. The operating system had accepted
    /// `accepted_bytes` of the bytes queued for it.
    pub(crate) fn disconnected(&mut self, id: UpstreamId, accepted_bytes: u64) {
        self.remove_connection(id, accepted_bytes, CallOutcomes::possibly_sent(AttemptOutcome::Reset));
    }
}
