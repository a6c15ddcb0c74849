//! Calls to endpoints and the connections that carry them.
//!
//! A call is one Produce request with one or more messages. It holds a slot until each of them has its outcome.
//! A call that was written and whose last message was cancelled or timed out is abandoned: it holds its connection
//! only. Nothing new goes there until the response came or the idle time has passed, after which it is closed.
//!
//! A new connection first asks which versions the endpoint offers. An endpoint that takes no more connections
//! closes them after it has accepted; so only the response shows that it is there, and a message that waited for
//! it is known not to have been executed.

mod calls;
mod connections;
mod produce;
mod responses;
mod upstream;

pub(crate) use calls::AttemptId;
pub(crate) use connections::ConnectionCounts;

use super::error::ProtocolError;
use super::Output;
use calls::{CallBounds, CallTable};
use connections::{ConnectionPool, ConnectionState, NewConnection};
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::idle_reuse::MaxIdlePolicy;
use linnetcart_kafka::{LoadReport, Record};
use produce::RequestHeader;
use std::net::SocketAddr;

/// A connection to an endpoint, as the core numbers them.
pub type UpstreamId = u64;

type CallId = u64;

/// The correlation id of the version request that opens a connection; those of calls begin at 1.
const VERSION_REQUEST: i32 = 0;
/// The version of the version request.
const VERSION_REQUEST_VERSION: i16 = 0;
/// An attempt that never left, for another reason than a lack of slots.
const NOT_SENT: AttemptOutcome = AttemptOutcome::NotSent { no_capacity: false };

/// A message on its way to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) attempt: AttemptId,
    pub(crate) class: u8,
    pub(crate) destination: u32,
    pub(crate) record: Record,
    /// When the attempt times out.
    pub(crate) deadline: Time,
    /// What has not left by then does not leave any more, so that its message can still be rejected.
    pub(crate) depart_by: Time,
}

impl OutgoingMessage {
    /// When the attempt ends unless it has left.
    fn departure_deadline(&self) -> Time {
        self.depart_by.min(self.deadline)
    }
}

/// An attempt with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: u32,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) started_at: Time,
    /// What the endpoint said of its load.
    pub(crate) load: Option<LoadReport>,
}

/// An endpoint that did not keep to the protocol; its connection was closed.
#[derive(Debug)]
pub(crate) struct EndpointViolation {
    pub(crate) endpoint: u32,
    pub(crate) error: ProtocolError,
}

/// Bounds and time-outs.
#[derive(Clone, Debug)]
pub(crate) struct DeliverySettings {
    /// Calls out at once.
    pub(crate) max_calls: usize,
    pub(crate) calls_per_connection: usize,
    pub(crate) idle_timeout: Time,
    pub(crate) connect_timeout: Time,
    pub(crate) max_frame_bytes: usize,
    /// What this courier calls itself.
    pub(crate) client_name: String,
    /// Topics by class.
    pub(crate) topics: Vec<String>,
}

impl DeliverySettings {
    fn topic(&self, class: u8) -> &str {
        self.topics.get(usize::from(class)).map_or("", String::as_str)
    }
}

/// Numbers of calls and connections, from one sequence.
#[derive(Debug)]
struct IdSequence {
    last: u64,
}

impl IdSequence {
    fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// Attempts, calls and connections to endpoints.
#[derive(Debug)]
pub(crate) struct Delivery {
    settings: DeliverySettings,
    now: Time,
    ids: IdSequence,
    connection_reuse: MaxIdlePolicy,
    calls: CallTable,
    connections: ConnectionPool,
    finished: Vec<FinishedAttempt>,
    /// Rejections with a Retry-After of calls that had been abandoned.
    late_rejections: Vec<FinishedAttempt>,
    violations: Vec<EndpointViolation>,
    outputs: Vec<Output>,
}

impl Delivery {
    pub(crate) fn new(settings: DeliverySettings) -> Self {
        Delivery {
            connection_reuse: MaxIdlePolicy::new(settings.idle_timeout),
            settings,
            now: 0,
            ids: IdSequence { last: 1 },
            calls: CallTable::default(),
            connections: ConnectionPool::default(),
            finished: Vec::new(),
            late_rejections: Vec::new(),
            violations: Vec::new(),
            outputs: Vec::new(),
        }
    }

    pub(crate) fn set_clock(&mut self, now: Time) {
        self.now = now;
    }

    /// Calls out that hold a slot.
    pub(crate) fn calls_out(&self) -> usize {
        self.calls.out()
    }

    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.connections.counts()
    }

    /// Endpoints that connections are open to or being made to.
    pub(crate) fn connected_endpoints(&self) -> Vec<u32> {
        self.connections.endpoints()
    }

    /// Whether a connection to the endpoint is open or being made.
    pub(crate) fn is_connected(&self, endpoint: u32) -> bool {
        self.connections.has_endpoint(endpoint)
    }

    /// Whether an attempt of the message is out that has left.
    pub(crate) fn has_departed(&self, message: u32) -> bool {
        self.calls.has_departed(message)
    }

    /// When [`Delivery::expire`] has something to do at the earliest.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        let attempt = self.calls.next_deadline();
        let connection = self.connections.next_timeout();
        attempt.into_iter().chain(connection).min()
    }

    // ---- Results

    /// Attempts that finished since the last call.
    pub(crate) fn take_finished(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.finished)
    }

    /// Rejections since the last call of calls that had been abandoned, as far as they have a Retry-After.
    pub(crate) fn take_late_rejections(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.late_rejections)
    }

    pub(crate) fn take_violations(&mut self) -> Vec<EndpointViolation> {
        std::mem::take(&mut self.violations)
    }

    /// What the shell is to do since the last call.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- Sending

    /// Starts an attempt, in the call of this cycle to the endpoint if that takes more. Nothing is written before
    /// [`Delivery::dispatch`].
    pub(crate) fn send(&mut self, endpoint: u32, message: OutgoingMessage, max_messages_per_call: usize) {
        let attempt = message.attempt;
        let bounds = CallBounds { max_calls: self.settings.max_calls, max_messages_per_call };
        let added = self.calls.add(endpoint, message, bounds, &mut self.ids, self.now);
        if added.is_err() {
            self.finish_unsent(attempt, endpoint, AttemptOutcome::NotSent { no_capacity: true });
        }
    }

    /// Finishes an attempt that cannot be begun.
    pub(crate) fn reject_unsent(&mut self, attempt: AttemptId, endpoint: u32) {
        self.finish_unsent(attempt, endpoint, NOT_SENT);
    }

    fn finish_unsent(&mut self, attempt: AttemptId, endpoint: u32, outcome: AttemptOutcome) {
        let started_at = self.now;
        self.finished.push(FinishedAttempt { attempt, endpoint, outcome, started_at, load: None });
    }

    /// Puts the calls of this cycle on connections. `address`: where an endpoint listens.
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
        let connection_id = self.connection_for(endpoint, address);
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

    /// A connection that takes a further call, made if there is none.
    fn connection_for(&mut self, endpoint: u32, address: SocketAddr) -> UpstreamId {
        self.close_unreliable_idle(endpoint);
        let found = self.connections.find(endpoint, address, self.settings.calls_per_connection);
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

    /// Writes the calls that wait for this connection.
    fn write_waiting_calls(&mut self, id: UpstreamId) {
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

    // ---- Outcomes

    /// Finishes one attempt of a call; whether it was the last one.
    fn finish_attempt(
        &mut self,
        call: CallId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) -> bool {
        let Some(removed) = self.calls.remove_attempt(call, attempt) else { return false };
        let (endpoint, started_at) = (removed.endpoint, removed.started_at);
        self.finished.push(FinishedAttempt { attempt, endpoint, outcome, started_at, load });
        removed.was_last
    }

    /// Finishes one attempt of a call without a response.
    fn give_up_attempt(&mut self, call_id: CallId, attempt: AttemptId, outcome: AttemptOutcome) {
        let was_last = self.finish_attempt(call_id, attempt, outcome, None);
        if was_last {
            self.abandon_call(call_id);
        }
    }

    /// Nobody waits for this call any more. One that was written may still be executed: its connection waits for
    /// the response.
    fn abandon_call(&mut self, call_id: CallId) {
        let Some(call) = self.calls.get(call_id) else { return };
        let (endpoint, connection_id) = (call.endpoint, call.connection);
        if call.is_written() {
            if let Some(connection) = connection_id.and_then(|id| self.connections.get_mut(id)) {
                connection.abandoned_calls += 1;
            }
            self.settle(connection_id);
            self.close_excess_abandoned(endpoint);
            return;
        }
        self.calls.remove(call_id);
        if let Some(connection) = connection_id.and_then(|id| self.connections.get_mut(id)) {
            connection.waiting_calls.retain(|&waiting| waiting != call_id);
        }
        self.settle(connection_id);
    }

    /// Finishes what is left of a call and forgets it.
    fn finish_call(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(call) = self.calls.remove(id) else { return };
        for message in call.messages {
            self.finished.push(FinishedAttempt {
                attempt: message.attempt,
                endpoint: call.endpoint,
                outcome,
                started_at: call.started_at,
                load: None,
            });
        }
    }

    fn settle(&mut self, id: Option<UpstreamId>) {
        if let Some(id) = id {
            self.connections.settle(id, self.now, self.settings.idle_timeout);
        }
    }

    /// Abandoned calls hold at most as many connections to an endpoint as there are slots.
    fn close_excess_abandoned(&mut self, endpoint: u32) {
        if let Some(oldest) = self.connections.excess_abandoned(endpoint, self.settings.max_calls) {
            self.close(oldest, AttemptOutcome::Reset);
        }
    }

    /// Cancels an attempt. What never left is known not to have been executed.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let Some(call_id) = self.calls.of_attempt(attempt) else { return };
        let departed = self.calls.get(call_id).is_some_and(calls::Call::is_written);
        let outcome = if departed { AttemptOutcome::Cancelled } else { NOT_SENT };
        self.give_up_attempt(call_id, attempt, outcome);
    }

    /// Ends attempts and connections whose time is up.
    pub(crate) fn expire(&mut self) {
        while let Some(expired) = self.calls.next_expired(self.now) {
            self.give_up_attempt(expired.call, expired.attempt, expired.outcome);
        }
        while let Some(id) = self.connections.take_timed_out(self.now) {
            self.close(id, AttemptOutcome::NoConnection);
        }
    }
}
