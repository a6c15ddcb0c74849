//! The send path: messages are batched into calls, calls are assigned to connections, and each call is
//! written as a Produce request.

use super::calls::CallBounds;
use super::connections::{ConnectionState, NewConnection};
use super::produce::{self, RequestHeader};
use super::{AttemptId, CallId, Delivery, FinishedAttempt, OutgoingMessage, UpstreamId, NOT_SENT};
use crate::core::Output;
use linnetcart::AttemptOutcome;
use std::net::SocketAddr;

impl Delivery {
    /// Starts an attempt: its message joins this cycle's call to the endpoint if that has capacity left,
    /// otherwise a new call. If the new call needs a slot and none is free, the attempt ends as not sent.
    /// Nothing is written before [`Delivery::dispatch`].
    pub(crate) fn send(&mut self, endpoint: u32, message: OutgoingMessage, max_messages_per_call: usize) {
        let attempt = message.attempt;
        let bounds = CallBounds { max_calls: self.settings.max_calls, max_messages_per_call };
        let added = self.calls.add_message(endpoint, message, bounds, &mut self.ids, self.now);
        if added.is_err() {
            self.finish_unsent(attempt, endpoint, AttemptOutcome::NotSent { no_capacity: true });
        }
    }

    /// Finishes an attempt as not sent, for a reason other than a lack of slots.
    pub(crate) fn reject_unsent(&mut self, attempt: AttemptId, endpoint: u32) {
        self.finish_unsent(attempt, endpoint, NOT_SENT);
    }

    fn finish_unsent(&mut self, attempt: AttemptId, endpoint: u32, outcome: AttemptOutcome) {
        let started_at = self.now;
        self.finished.push(FinishedAttempt { attempt, endpoint, outcome, started_at, load: None });
    }

    /// Assigns the calls of this cycle to connections, and writes those whose connection is ready. `address`
    /// returns where an endpoint listens, or `None` if it has left the list; calls to it are not sent.
    pub(crate) fn dispatch(&mut self, address: impl Fn(u32) -> Option<SocketAddr>) {
        for id in self.calls.take_undispatched() {
            let Some(call) = self.calls.get(id).filter(|call| !call.messages.is_empty()) else { continue };
            let endpoint = call.endpoint;
            match address(endpoint) {
                Some(address) => self.dispatch_call(id, endpoint, address),
                None => self.finish_call(id, NOT_SENT),
            }
        }
    }

    fn dispatch_call(&mut self, id: CallId, endpoint: u32, address: SocketAddr) {
        let connection_id = self.acquire_connection(endpoint, address);
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        call.connection = Some(connection_id);
        let ready = connection.is_ready();
        if ready && connection.written_calls.is_empty() {
            call.connection_idle_for = self.now.saturating_sub(connection.last_used);
        }
        connection.waiting_calls.push(id);
        connection.last_used = self.now;
        self.connections.update_index(connection_id);
        if ready {
            self.write_waiting_calls(connection_id);
        }
    }

    /// Returns a connection with capacity for another call. Opens one if there is none. Connections that have
    /// been idle for too long to be reused are closed first.
    fn acquire_connection(&mut self, endpoint: u32, address: SocketAddr) -> UpstreamId {
        self.close_unreliable_idle(endpoint);
        let found = self.connections.find_usable(endpoint, address, self.settings.calls_per_connection);
        if let Some(id) = found {
            return id;
        }
        let id = self.ids.next_id();
        let new = NewConnection {
            id,
            endpoint,
            address,
            max_frame_bytes: self.settings.max_frame_bytes,
            timeout_at: self.now + self.settings.connect_timeout,
        };
        self.connections.insert(new, self.now);
        self.outputs.push(Output::Connect(id, address));
        id
    }

    /// Writes the calls that wait for this connection. Does nothing while the connection is not ready.
    pub(super) fn write_waiting_calls(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let ConnectionState::Ready { produce_version } = connection.state else { return };
        for call_id in std::mem::take(&mut connection.waiting_calls) {
            self.write_call(id, call_id, produce_version);
        }
    }

    fn write_call(&mut self, id: UpstreamId, call_id: CallId, version: i16) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(call) = self.calls.get_mut(call_id) else { return };
        let header = RequestHeader { correlation: connection.next_correlation(), version };
        match produce::encode_call(&self.settings, header, call, self.now) {
            Ok(bytes) => {
                call.stream_offset = Some(connection.queued_bytes);
                connection.queued_bytes += bytes.len() as u64;
                connection.written_calls.insert(header.correlation, call_id);
                self.outputs.push(Output::ToUpstream(id, bytes));
            }
            Err(_) => self.finish_call(call_id, NOT_SENT),
        }
    }
}
