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

pub(crate) use calls::AttemptId;
pub(crate) use connections::ConnectionCounts;

use super::error::ProtocolError;
use super::trust::Trust;
use super::Output;
use bytes::Bytes;
use calls::{CallBounds, CallTable};
use connections::{ConnectionPool, ConnectionState, NewConnection};
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::{client, LoadReport, Record, PRODUCE};
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
    connection_reuse: Trust,
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
            connection_reuse: Trust::new(settings.idle_timeout),
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

    // ---- Connections

    /// Closes a connection. What was written to it has this outcome.
    fn close(&mut self, id: UpstreamId, written_outcome: AttemptOutcome) {
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
                self.connection_reuse.lost(self.now, call.connection_idle_for);
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
    fn close_unreliable_idle(&mut self, endpoint: u32) {
        let longest = self.connection_reuse.now(self.now);
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

    // ---- Responses

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
        let (correlation, offered) = client::read_produce_versions(frame)?;
        let (least, most) = offered.ok_or(ProtocolError::ProduceNotOffered)?;
        let (first_spoken, last_spoken) = PRODUCE;
        let produce_version = most.min(last_spoken);
        if correlation != VERSION_REQUEST || produce_version < least.max(first_spoken) {
            return Err(ProtocolError::ProduceVersions { least, most });
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
                self.connection_reuse.lost(self.now, std::mem::take(&mut call.connection_idle_for));
            }
        }
    }
}
