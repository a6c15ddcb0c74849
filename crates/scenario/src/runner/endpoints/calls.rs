//! Calls: Produce requests of couriers, and the responses of endpoints.

use super::{QueuedAnswer, RequestId};
use crate::runner::{Connection, ScenarioRunner, Timer, Token, Transport};
use bytes::Bytes;
use linnetcart_endpoint_model::{CallItem, CallStep, Caller, IncomingCall, ItemStatus, ReceivedCall, Reply};
use linnetcart_kafka::server::{self, PartitionResult};
use linnetcart_kafka::{codes, LoadReport};

/// The caller on a connection whose client id is not that of a courier.
const UNKNOWN_CALLER: Caller = Caller { courier: u32::MAX, incarnation: 0 };
/// The message number of a record without a valid `message-id` header.
const UNKNOWN_MESSAGE: u64 = u64::MAX;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// A partition of a Produce request.
struct ProducePartition {
    topic: String,
    partition: i32,
}

/// A call that is not answered yet.
pub(in crate::runner) struct OpenCall {
    token: Token,
    id: RequestId,
    partitions: Vec<ProducePartition>,
    /// For each message, the position of its partition in `partitions`.
    partition_of_item: Vec<usize>,
}

/// The contents of a Produce request, with one item for each record.
struct ParsedCall {
    items: Vec<CallItem>,
    partitions: Vec<ProducePartition>,
    partition_of_item: Vec<usize>,
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Passes a Produce request to the endpoint simulator. Resets the connection if the request is invalid.
    pub(super) fn receive_call(&mut self, token: Token, id: RequestId, produce: server::Produce) {
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
            id,
            partitions: parsed.partitions,
            partition_of_item: parsed.partition_of_item,
        };
        self.calls.insert(call, open);
        self.apply_step(call, step);
    }

    /// Advances a call whose timer has fired.
    pub(in crate::runner) fn finish_call(&mut self, call: u64) {
        let step = self.simulator.finish_call(self.now, call);
        self.apply_step(call, step);
    }

    /// Carries out what the simulator decided about a call.
    fn apply_step(&mut self, call: u64, step: CallStep) {
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

    /// Stores the response to a call, then sends the stored responses that no unanswered call precedes on the
    /// connection: Kafka requires responses in the order of the requests.
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
}

impl OpenCall {
    /// Encodes the Produce response. A partition has an error code if any of its messages does.
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
        server::produce(self.id.correlation, self.id.version, &results, throttle_ms, load)
    }
}

/// Returns the contents of a Produce request, or `None` if a topic is not that of a class or records cannot
/// be decoded.
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
