//! What delivery does as upstream connections open, close and fail.

use super::{Delivery, UpstreamId, VERSION_REQUEST, VERSION_REQUEST_VERSION};
use crate::core::Output;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::client;

impl Delivery {
    /// Closes a connection. What was written to it has this outcome.
    pub(super) fn close(&mut self, id: UpstreamId, written_outcome: AttemptOutcome) {
        if self.connections.get(id).is_some() {
            self.outputs.push(Output::CloseUpstream(id));
            self.remove_connection(id, u64::MAX, written_outcome);
        }
    }

    /// The connection is no more. The system took `taken_bytes` of what was queued there; calls from there on are
    /// known not to have left.
    fn remove_connection(&mut self, id: UpstreamId, taken_bytes: u64, written_outcome: AttemptOutcome) {
        let Some(connection) = self.connections.remove(id) else { return };
        for call_id in connection.written_calls.into_values() {
            let Some(call) = self.calls.get(call_id) else { continue };
            if call.connection_idle_for > 0 && written_outcome == AttemptOutcome::Reset {
                self.connection_reuse.record_loss(self.now, call.connection_idle_for);
            }
            let departed = call.stream_offset.unwrap_or(0) < taken_bytes;
            let outcome = if departed { written_outcome } else { AttemptOutcome::NoConnection };
            self.finish_call(call_id, outcome);
        }
        for call_id in connection.waiting_calls {
            self.finish_call(call_id, AttemptOutcome::NoConnection);
        }
    }

    /// Closes the connections to an endpoint that nothing is on.
    pub(crate) fn close_idle(&mut self, endpoint: u32) {
        for id in self.connections.idle_while(endpoint, |_| true) {
            self.close(id, AttemptOutcome::Reset);
        }
    }

    /// Closes those that have been idle for longer than connections are known to survive.
    pub(super) fn close_unreliable_idle(&mut self, endpoint: u32) {
        let longest = self.connection_reuse.max_idle(self.now);
        let now = self.now;
        let is_unreliable = |since: Time| longest == 0 || since.saturating_add(longest) < now;
        for id in self.connections.idle_while(endpoint, is_unreliable) {
            self.close(id, AttemptOutcome::Reset);
        }
    }

    /// The connection is there: ask which versions the endpoint offers.
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

    /// The connection could not be made.
    pub(crate) fn connect_failed(&mut self, id: UpstreamId) {
        self.remove_connection(id, 0, AttemptOutcome::NoConnection);
    }

    /// The other side closed the connection, or it broke, after the system took `taken_bytes`.
    pub(crate) fn disconnected(&mut self, id: UpstreamId, taken_bytes: u64) {
        self.remove_connection(id, taken_bytes, AttemptOutcome::Reset);
    }
}
