//! The endpoints of the harness: connections to them, the calls that they have received, and their responses.

use super::CoreHarness;
use bytes::Bytes;
use linnetcart_edge::core::UpstreamId;
use linnetcart_kafka::server::{self, Body, PartitionBatch, PartitionResult, Produce, Request};
use linnetcart_kafka::{Frames, Record};

const MAX_FRAME_BYTES: usize = 1 << 20;

/// A connection of the core to an endpoint.
pub struct UpstreamConnection {
    endpoint: u32,
    frames: Frames,
    /// How many bytes the core has written to the connection.
    pub received_bytes: u64,
    /// Whether the connection is established.
    pub connected: bool,
}

impl UpstreamConnection {
    pub(super) fn new(endpoint: u32) -> Self {
        UpstreamConnection {
            endpoint,
            frames: Frames::new(MAX_FRAME_BYTES),
            received_bytes: 0,
            connected: false,
        }
    }
}

/// The part of a call for one partition.
pub struct CallPart {
    topic: String,
    partition: i32,
    /// The values of the records for the partition.
    pub values: Vec<String>,
}

impl CallPart {
    fn new(batch: PartitionBatch) -> Self {
        let text = |record: &Record| String::from_utf8(record.value.clone().unwrap().to_vec()).unwrap();
        let values = batch.records.unwrap().iter().map(text).collect();
        CallPart { topic: batch.topic, partition: batch.partition, values }
    }
}

/// A call that an endpoint has received.
pub struct Call {
    pub connection: UpstreamId,
    pub endpoint: u32,
    pub correlation: i32,
    version: i16,
    /// When the endpoint received the call, by the monotonic clock in nanoseconds.
    pub received_at: u64,
    pub parts: Vec<CallPart>,
}

impl Call {
    /// Returns the values of the call's records.
    pub fn values(&self) -> impl Iterator<Item = &String> {
        self.parts.iter().flat_map(|part| &part.values)
    }

    pub fn contains(&self, value: &str) -> bool {
        self.values().any(|contained| contained == value)
    }
}

impl CoreHarness {
    pub(super) fn receive_upstream(&mut self, id: UpstreamId, bytes: &Bytes) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.frames.push(bytes);
        connection.received_bytes += bytes.len() as u64;
        while let Some(frame) = self.next_upstream_frame(id) {
            let Request { correlation, version, body, .. } = server::read(&frame).unwrap();
            match body {
                Body::ApiVersions if self.auto_connect => {
                    let versions = server::api_versions(correlation, version);
                    self.core.upstream_received(id, &versions);
                }
                Body::ApiVersions => {}
                Body::Produce(produce) => self.receive_call(id, correlation, version, produce),
                other => panic!("{other:?}"),
            }
        }
    }

    fn next_upstream_frame(&mut self, id: UpstreamId) -> Option<Bytes> {
        self.connections.get_mut(&id)?.frames.next_frame().unwrap()
    }

    fn receive_call(&mut self, id: UpstreamId, correlation: i32, version: i16, produce: Produce) {
        self.calls.push(Call {
            connection: id,
            endpoint: self.connections[&id].endpoint,
            correlation,
            version,
            received_at: self.now,
            parts: produce.parts.into_iter().map(CallPart::new).collect(),
        });
    }

    /// Establishes a connection. The version request is answered if `auto_connect` is set.
    pub fn connect(&mut self, id: UpstreamId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.connected = true;
            self.core.clock(self.now);
            self.core.upstream_connected(id);
            self.carry_out();
        }
    }

    /// Answers the version request, after which the core writes the calls that wait for the connection.
    pub fn negotiate(&mut self, id: UpstreamId) {
        self.core.clock(self.now);
        self.core.upstream_received(id, &server::api_versions(0, 0));
        self.carry_out();
    }

    /// Responds to the last call that contains this value, with this error code for all its partitions.
    pub fn reply(&mut self, value: &str, code: i16, throttle_ms: i32) {
        let index = self.call_with(value);
        let call = self.calls.remove(index);
        self.reply_to(&call, code, throttle_ms);
    }

    /// Responds to a call, with this error code for all its partitions.
    pub fn reply_to(&mut self, call: &Call, code: i16, throttle_ms: i32) {
        let result = |part: &CallPart| PartitionResult {
            topic: part.topic.clone(),
            partition: part.partition,
            code,
            ..PartitionResult::default()
        };
        let results: Vec<PartitionResult> = call.parts.iter().map(result).collect();
        let bytes = server::produce(call.correlation, call.version, &results, throttle_ms, None);
        self.core.clock(self.now);
        self.core.upstream_received(call.connection, &bytes);
        self.process_after_tick();
    }

    /// Returns the index of the last call that contains this value.
    pub fn call_with(&self, value: &str) -> usize {
        let index = self.calls.iter().rposition(|call| call.contains(value));
        index.unwrap_or_else(|| panic!("no call contains {value}"))
    }

    pub fn count_calls_with(&self, value: &str) -> usize {
        self.calls.iter().filter(|call| call.contains(value)).count()
    }
}
