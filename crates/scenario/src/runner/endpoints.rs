//! Endpoints: connections, calls and answers on the wire, as the endpoint simulator decides them.

use super::{Connection, ScenarioRunner, Timer, Token, Transport, MAX_FRAME_BYTES};
use crate::scenario::FaultKind;
use crate::units::seconds;
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_endpoint_model::{
    CallItem, CallStep, Caller, ConnectOutcome, IncomingCall, ItemStatus, ReceivedCall, Reply,
};
use linnetcart_kafka::server::{self, Body, Broker, PartitionResult, Topic};
use linnetcart_kafka::{codes, Frames, LoadReport};
use std::collections::VecDeque;

/// Couriers have this and their number as their client id.
const COURIER_CLIENT_PREFIX: &str = "linnetcart-edge-";
/// Stands for a courier that did not say its number.
const UNKNOWN_CALLER: Caller = Caller { courier: u32::MAX, incarnation: 0 };
/// Stands for a message without an id.
const UNKNOWN_MESSAGE: u64 = u64::MAX;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The answer to a call on a connection, once there is one.
struct QueuedAnswer {
    call: u64,
    bytes: Option<Bytes>,
}

/// The ApiVersions request with which a connection begins.
#[derive(Clone, Copy)]
struct Handshake {
    correlation: i32,
    version: i16,
}

/// A connection from a courier to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) endpoint: u32,
    /// It counts among those that the endpoint accepted.
    counted: bool,
    caller: Option<Caller>,
    frames: Frames,
    /// Answers in the order of their requests.
    answers: VecDeque<QueuedAnswer>,
    accepted: bool,
    /// What it asked before it was accepted.
    deferred_handshake: Option<Handshake>,
    last_used: Time,
    /// Nothing that it brings is looked at.
    ignored: bool,
}

/// Part of a Produce request.
struct ProducePartition {
    topic: String,
    partition: i32,
}

/// A call that is not answered yet.
pub(super) struct OpenCall {
    token: Token,
    correlation: i32,
    version: i16,
    partitions: Vec<ProducePartition>,
    /// For each message, the position of its partition.
    partition_of_item: Vec<usize>,
}

/// A Produce request, taken apart.
struct ParsedCall {
    items: Vec<CallItem>,
    partitions: Vec<ProducePartition>,
    partition_of_item: Vec<usize>,
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// A courier connected to an endpoint.
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

    /// An endpoint accepts a connection after a delay, and answers what it asked first.
    pub(super) fn accept_delayed(&mut self, token: Token) {
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
        connection.accepted = true;
        if let Some(handshake) = connection.deferred_handshake.take() {
            self.answer_handshake(token, handshake);
        }
    }

    fn answer_handshake(&mut self, token: Token, handshake: Handshake) {
        let bytes = server::api_versions(handshake.correlation, handshake.version);
        self.transport.send(token, &bytes);
    }

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

    /// A fault is in force by which connections that were idle for too long are reset instead of ignored.
    fn idle_connections_are_reset(&self) -> bool {
        self.fleet.scenario.trouble.iter().any(|fault| {
            let begin = seconds(fault.at);
            let end = seconds(fault.at + fault.lasts);
            fault.what == FaultKind::IdleDropped && fault.hard && (begin..end).contains(&self.now)
        })
    }

    /// Reads the requests that have come completely on a connection to an endpoint.
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
        let correlation = request.correlation;
        let version = request.version;
        match request.body {
            Body::ApiVersions | Body::ApiVersionsTooNew => {
                self.receive_handshake(token, Handshake { correlation, version });
            }
            Body::Metadata(_) => {
                let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 0 };
                let topics: Vec<Topic> = Vec::new();
                let bytes = server::metadata(correlation, version, &broker, &topics);
                self.transport.send(token, &bytes);
            }
            Body::Fetch(topics) => {
                self.transport.send(token, &server::fetch_rejected(correlation, &topics));
            }
            Body::Produce(produce) => self.receive_call(token, correlation, version, produce),
        }
    }

    fn receive_handshake(&mut self, token: Token, handshake: Handshake) {
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) else { return };
        if connection.accepted {
            self.answer_handshake(token, handshake);
        } else {
            connection.deferred_handshake = Some(handshake);
        }
    }

    fn receive_call(&mut self, token: Token, correlation: i32, version: i16, produce: server::Produce) {
        let Some(Connection::Endpoint(connection)) = self.connections.get(&token) else { return };
        let endpoint = connection.endpoint;
        let caller = connection.caller.unwrap_or(UNKNOWN_CALLER);
        let Some(parsed) = parse_call(produce, &self.fleet.topics()) else {
            return self.drop_connection(token);
        };
        let travelled = self.transport.travelled(token);
        let incoming = IncomingCall { caller, travelled, endpoint, items: &parsed.items };
        let ReceivedCall { call, step } = self.simulator.receive_call(self.now, incoming);
        if let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&token) {
            connection.answers.push_back(QueuedAnswer { call, bytes: None });
        }
        let open = OpenCall {
            token,
            correlation,
            version,
            partitions: parsed.partitions,
            partition_of_item: parsed.partition_of_item,
        };
        self.calls.insert(call, open);
        self.take_step(call, step);
    }

    /// The time of a call has come.
    pub(super) fn finish_call(&mut self, call: u64) {
        let step = self.simulator.finish_call(self.now, call);
        self.take_step(call, step);
    }

    fn take_step(&mut self, call: u64, step: CallStep) {
        match step {
            CallStep::FinishAt(at) => self.timers.schedule(at, Timer::FinishCall { call }),
            CallStep::Silent => {
                self.calls.remove(&call);
            }
            CallStep::Break => {
                if let Some(open) = self.calls.remove(&call) {
                    self.drop_connection(open.token);
                }
            }
            CallStep::Answer(reply) => self.answer_call(call, &reply),
        }
    }

    /// Puts the answer to a call in its place, and sends what has its turn.
    fn answer_call(&mut self, call: u64, reply: &Reply) {
        let Some(open) = self.calls.remove(&call) else { return };
        let bytes = open.response(reply);
        let Some(Connection::Endpoint(connection)) = self.connections.get_mut(&open.token) else { return };
        connection.last_used = self.now;
        if let Some(answer) = connection.answers.iter_mut().find(|answer| answer.call == call) {
            answer.bytes = Some(bytes);
        }
        while let Some(bytes) = connection.next_answer() {
            self.transport.send(open.token, &bytes);
        }
    }

    /// Breaks a connection to an endpoint.
    pub(super) fn drop_connection(&mut self, token: Token) {
        if let Some(Connection::Endpoint(connection)) = self.connections.remove(&token) {
            self.release_endpoint(&connection);
        }
        self.transport.reset(token);
    }

    /// The endpoint of a connection may accept another in its place.
    pub(super) fn release_endpoint(&mut self, connection: &EndpointConnection) {
        if connection.counted {
            self.simulator.disconnect(connection.endpoint);
        }
    }
}

impl EndpointConnection {
    /// The next answer, if it is ready.
    fn next_answer(&mut self) -> Option<Bytes> {
        let bytes = self.answers.front_mut()?.bytes.take()?;
        self.answers.pop_front();
        Some(bytes)
    }
}

impl OpenCall {
    /// The Produce response: an error of any message is that of its partition.
    fn response(&self, reply: &Reply) -> Bytes {
        let mut results: Vec<PartitionResult> = Vec::new();
        for part in &self.partitions {
            let topic = part.topic.clone();
            results.push(PartitionResult { topic, partition: part.partition, ..PartitionResult::default() });
        }
        for (&position, status) in self.partition_of_item.iter().zip(&reply.statuses) {
            match status {
                ItemStatus::Served => {}
                ItemStatus::Rejected => results[position].code = codes::THROTTLING_QUOTA_EXCEEDED,
                ItemStatus::Error => results[position].code = codes::UNKNOWN_SERVER_ERROR,
            }
        }
        let throttle_ms = reply.retry_after.div_ceil(NANOS_PER_MILLI);
        let throttle_ms = i32::try_from(throttle_ms).unwrap_or(i32::MAX);
        let load = reply
            .load
            .map(|load| LoadReport { capacity_left: load.capacity_left, rate_limit: load.rate_limit });
        server::produce(self.correlation, self.version, &results, throttle_ms, load)
    }
}

/// The number of a courier, from its client id.
fn courier_number(client_id: &str) -> Option<u32> {
    client_id.strip_prefix(COURIER_CLIENT_PREFIX)?.parse().ok()
}

/// The messages of a Produce request; none if a topic is no class or records cannot be read.
fn parse_call(produce: server::Produce, topics: &[String]) -> Option<ParsedCall> {
    let mut items = Vec::new();
    let mut partitions = Vec::new();
    let mut partition_of_item = Vec::new();
    for part in produce.parts {
        let class = topics.iter().position(|topic| *topic == part.topic)?;
        for record in &part.records.ok()? {
            let id = record.header("message-id").and_then(|value| std::str::from_utf8(value).ok());
            let message = id.and_then(|id| id.parse().ok()).unwrap_or(UNKNOWN_MESSAGE);
            items.push(CallItem { message, class: class as u8 });
            partition_of_item.push(partitions.len());
        }
        partitions.push(ProducePartition { topic: part.topic, partition: part.partition });
    }
    Some(ParsedCall { items, partitions, partition_of_item })
}
