//! The Kafka side of endpoints: connections of couriers to endpoints, and the requests on them. The endpoint
//! simulator decides what an endpoint does.

mod calls;

pub(super) use calls::OpenCall;

use super::{Connection, ScenarioRunner, Timer, Token, Transport, MAX_FRAME_BYTES};
use crate::scenario::FaultKind;
use crate::units::seconds;
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_endpoint_model::{Caller, ConnectOutcome};
use linnetcart_kafka::server::{self, Body, Broker, Topic};
use linnetcart_kafka::Frames;
use std::collections::VecDeque;

/// Prefix of the Kafka client id of a courier; the number of the courier follows.
const COURIER_CLIENT_PREFIX: &str = "linnetcart-edge-";

/// A response in the queue of its connection; `bytes` is `None` until the call is answered.
struct QueuedAnswer {
    call: u64,
    bytes: Option<Bytes>,
}

/// The fields of a Kafka request header that the response depends on: it repeats the correlation id and is
/// encoded in the API version.
#[derive(Clone, Copy)]
struct RequestId {
    correlation: i32,
    version: i16,
}

/// A connection from a courier to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) endpoint: u32,
    /// Whether the simulator counts the connection against the connection limit of the endpoint.
    counted: bool,
    /// The courier, known from the client id of its first request.
    caller: Option<Caller>,
    frames: Frames,
    /// Responses in the order of their requests, as Kafka requires on a connection.
    answers: VecDeque<QueuedAnswer>,
    /// Whether the endpoint has accepted the connection, after its accept delay.
    accepted: bool,
    /// The ApiVersions request, if it arrived during the accept delay.
    deferred_handshake: Option<RequestId>,
    last_used: Time,
    /// Whether everything that arrives on the connection is ignored: the endpoint has vanished, or the idle
    /// timeout has dropped the connection without notice.
    ignored: bool,
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Handles a new connection from a courier to an endpoint.
    pub fn accepted(&mut self, endpoint: u32, token: Token) {
        let outcome = self.simulator.connect(endpoint);
        let accept_delay = match outcome {
            ConnectOutcome::Refused => return self.transport.reset(token),
            ConnectOutcome::Unanswered => 0,
            ConnectOutcome::Accepted { after } => after,
        };
        let connection = EndpointConnection {
            endpoint,
            counted: outcome != ConnectOutcome::Unanswered,
            caller: None,
            frames: Frames::new(MAX_FRAME_BYTES),
            answers: VecDeque::new(),
            accepted: accept_delay == 0,
            deferred_handshake: None,
            last_used: self.now,
            ignored: outcome == ConnectOutcome::Unanswered,
        };
        self.connections.insert(token, Connection::Endpoint(connection));
        if accept_delay > 0 {
            self.schedule_after(accept_delay, Timer::AcceptConnection { token });
        }
    }

    /// Ends the accept delay of a connection, and answers the ApiVersions request that arrived during it.
    pub(super) fn accept_delayed(&mut self, token: Token) {
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
        connection.accepted = true;
        if let Some(id) = connection.deferred_handshake.take() {
            self.answer_handshake(token, id);
        }
    }

    fn answer_handshake(&mut self, token: Token, id: RequestId) {
        let bytes = server::api_versions(id.correlation, id.version);
        self.transport.send(token, &bytes);
    }

    /// Handles bytes that an endpoint received from a courier.
    pub(super) fn received_at_endpoint(&mut self, token: Token, bytes: &[u8]) {
        let resets_idle_connections = self.idle_connections_are_reset();
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
        let fault = self.simulator.fault_mut(connection.endpoint);
        let idle_timeout = fault.and_then(|fault| fault.idle_timeout);
        let is_idle = connection.accepted && connection.answers.is_empty();
        let timed_out = idle_timeout.is_some_and(|timeout| self.now > connection.last_used + timeout);
        if is_idle && timed_out {
            if resets_idle_connections {
                return self.drop_connection(token);
            }
            connection.ignored = true;
        }
        connection.last_used = self.now;
        if connection.ignored {
            return;
        }
        connection.frames.push(bytes);
        self.read_requests(token);
    }

    /// Returns whether an idle-dropped fault with `hard` is in force. Such a fault resets a connection that
    /// is used after its idle timeout; without `hard`, what arrives on the connection is ignored.
    fn idle_connections_are_reset(&self) -> bool {
        self.fleet.scenario.faults.iter().any(|fault| {
            let begin = seconds(fault.at);
            let end = seconds(fault.at + fault.lasts);
            fault.what == FaultKind::IdleDropped && fault.hard && (begin..end).contains(&self.now)
        })
    }

    /// Reads and serves all requests that have arrived completely on a connection.
    fn read_requests(&mut self, token: Token) {
        loop {
            let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
            let frame = match connection.frames.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => return self.drop_connection(token),
            };
            let Ok(request) = server::read(&frame) else { return self.drop_connection(token) };
            if connection.caller.is_none() {
                let number = request.client.as_deref().and_then(courier_number);
                connection.caller = number.map(|courier| {
                    let process = self.couriers.get(courier as usize);
                    Caller { courier, incarnation: process.map_or(0, |process| process.incarnation) }
                });
            }
            self.serve_request(token, request);
        }
    }

    fn serve_request(&mut self, token: Token, request: server::Request) {
        let id = RequestId { correlation: request.correlation, version: request.version };
        match request.body {
            Body::ApiVersions | Body::ApiVersionsTooNew => {
                self.receive_handshake(token, id);
            }
            Body::Metadata(_) => {
                let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 0 };
                let topics: Vec<Topic> = Vec::new();
                let bytes = server::metadata(id.correlation, id.version, &broker, &topics);
                self.transport.send(token, &bytes);
            }
            Body::Fetch(topics) => {
                self.transport.send(token, &server::fetch_rejected(id.correlation, &topics));
            }
            Body::Produce(produce) => self.receive_call(token, id, produce),
        }
    }

    fn receive_handshake(&mut self, token: Token, id: RequestId) {
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
        if connection.accepted {
            self.answer_handshake(token, id);
        } else {
            connection.deferred_handshake = Some(id);
        }
    }

    /// Resets a connection to an endpoint.
    pub(super) fn drop_connection(&mut self, token: Token) {
        if let Some(Connection::Endpoint(connection)) = self.connections.remove(&token) {
            self.release_connection(&connection);
        }
        self.transport.reset(token);
    }

    /// Stops counting a connection against the connection limit of its endpoint.
    pub(super) fn release_connection(&mut self, connection: &EndpointConnection) {
        if connection.counted {
            self.simulator.disconnect(connection.endpoint);
        }
    }
}

impl EndpointConnection {
    /// Removes and returns the response at the head of the queue, or `None` if its call is not answered yet.
    fn next_answer(&mut self) -> Option<Bytes> {
        let bytes = self.answers.front_mut()?.bytes.take()?;
        self.answers.pop_front();
        Some(bytes)
    }
}

/// Returns the number of a courier from its client id, or `None` if the id is not that of a courier.
fn courier_number(client_id: &str) -> Option<u32> {
    client_id.strip_prefix(COURIER_CLIENT_PREFIX)?.parse().ok()
}
