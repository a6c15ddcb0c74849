//! A harness that drives the core without sockets: a virtual clock, clients, and endpoints that respond when
//! the test tells them to.

mod documents;
mod upstream;

pub use documents::{entry, record, record_with_header, record_with_key, settings};
pub use upstream::{Call, UpstreamConnection};

use bytes::Bytes;
use linnetcart_edge::core::{library, ClientId, Core, MemoryBudget, Output, StartOptions, UpstreamId};
use linnetcart_edge::settings::{EndpointEntry, EndpointListUpdate, EntryState, Settings};
use linnetcart_kafka::client::{self, ProduceReply, ProduceTarget, RequiredAcks};
use linnetcart_kafka::server::Broker;
use linnetcart_kafka::{Frames, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;
/// The version of Produce that clients use.
const PRODUCE_VERSION: i16 = 9;
/// The `acks` value of a request that waits for all in-sync replicas.
pub const ACKS_ALL: i16 = -1;
/// The timeout that requests of clients state. The core does not use it.
const REQUEST_TIMEOUT_MS: i32 = 30_000;
/// The reading of the monotonic clock at the start: one hour, in nanoseconds.
const START: u64 = 3600 * 1000 * MS;
const MAX_CLIENT_FRAME_BYTES: usize = 1 << 22;

/// A core with virtual time, clients and endpoints.
pub struct CoreHarness {
    pub core: Core,
    /// The reading of the monotonic clock that the core is given, in nanoseconds.
    pub now: u64,
    pub connections: BTreeMap<UpstreamId, UpstreamConnection>,
    /// The connections that the core has requested and that are neither established nor failed, oldest first.
    pub connecting: Vec<UpstreamId>,
    /// The calls that endpoints have received and not responded to, in the order of arrival.
    pub calls: Vec<Call>,
    /// The Produce responses that each client has received.
    pub responses: BTreeMap<ClientId, Vec<ProduceReply>>,
    /// When each response in `responses` was received, by the monotonic clock in nanoseconds.
    pub response_times: BTreeMap<ClientId, Vec<u64>>,
    /// The byte stream that each client has received, split into frames.
    frames: BTreeMap<ClientId, Frames>,
    /// The clients whose connections the core has closed.
    pub closed: BTreeSet<ClientId>,
    /// The clients that the core has paused.
    pub paused: BTreeSet<ClientId>,
    /// Whether connections are established as soon as the core requests them, and the version request
    /// answered at once.
    pub auto_connect: bool,
    /// The correlation id of the last request of any client.
    pub correlation: i32,
    list_version: u64,
}

impl CoreHarness {
    /// Creates a harness whose endpoint list has endpoints 10 and 11 for destination 1 (kind `large`), 20 for
    /// destination 2 (`small`), and 30 for destination 3 (`batch`).
    pub fn new() -> CoreHarness {
        CoreHarness::start(&settings(), 1)
    }

    /// As [`CoreHarness::new`], with these settings.
    pub fn with_settings(settings: &serde_json::Value) -> CoreHarness {
        CoreHarness::start(settings, 1)
    }

    /// As [`CoreHarness::new`], with this number for the first message.
    pub fn with_first_number(first_number: u32) -> CoreHarness {
        CoreHarness::start(&settings(), first_number)
    }

    fn start(settings: &serde_json::Value, first_number: u32) -> CoreHarness {
        let settings = Settings::parse(settings.to_string().as_bytes()).unwrap();
        let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 9092 };
        let memory = MemoryBudget::unlimited();
        let options =
            StartOptions { seed: 5, now: START, broker, run: 1, first_number, memory, policy: library };
        let mut harness = CoreHarness {
            core: Core::new(settings, options),
            now: START,
            connections: BTreeMap::new(),
            connecting: Vec::new(),
            calls: Vec::new(),
            responses: BTreeMap::new(),
            response_times: BTreeMap::new(),
            frames: BTreeMap::new(),
            closed: BTreeSet::new(),
            paused: BTreeSet::new(),
            auto_connect: true,
            correlation: 0,
            list_version: 0,
        };
        let ready = |id, destination, kind| entry(id, destination, kind, EntryState::Ready);
        let entries =
            [ready(10, 1, "large"), ready(11, 1, "large"), ready(20, 2, "small"), ready(30, 3, "batch")];
        harness.update_list(EndpointListUpdate { version: 0, complete: true, entries: entries.to_vec() });
        harness
    }

    /// Updates the endpoint list with these entries and keeps the others.
    pub fn change_list(&mut self, entries: Vec<EndpointEntry>) {
        self.update_list(EndpointListUpdate { version: 0, complete: false, entries });
    }

    fn update_list(&mut self, update: EndpointListUpdate) {
        self.list_version += 1;
        let update = EndpointListUpdate { version: self.list_version, ..update };
        self.core.update_endpoints(&update).unwrap();
        self.process();
    }

    // ---- Iterations

    /// Advances the clock by this many milliseconds, and runs an iteration whenever one is due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while self.now < until {
            let next = self.core.next_wakeup().max(self.now + MS / 4).min(until);
            self.now = next;
            self.process();
        }
    }

    /// Runs one iteration.
    pub fn process(&mut self) {
        self.core.process(self.now);
        self.carry_out();
    }

    /// Advances the clock by one tick and runs an iteration, so that the decision policy takes all events so
    /// far.
    pub fn process_after_tick(&mut self) {
        self.now += MS;
        self.process();
    }

    fn carry_out(&mut self) {
        loop {
            let outputs = self.core.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out_one(output);
            }
            if self.auto_connect {
                for id in std::mem::take(&mut self.connecting) {
                    self.connect(id);
                }
            }
        }
    }

    fn carry_out_one(&mut self, output: Output) {
        match output {
            Output::ToClient(id, bytes) => self.receive_client(id, &bytes),
            Output::CloseClient(id) | Output::AbortClient(id) => {
                self.closed.insert(id);
            }
            Output::ResumeClient(id) => {
                self.paused.remove(&id);
            }
            Output::PauseClient(id) => {
                self.paused.insert(id);
            }
            Output::Connect(id, address) => {
                let endpoint = u32::from(address.port());
                self.connections.insert(id, UpstreamConnection::new(endpoint));
                self.connecting.push(id);
            }
            Output::ToUpstream(id, bytes) => self.receive_upstream(id, &bytes),
            Output::CloseUpstream(id) => {
                self.connections.remove(&id);
                self.connecting.retain(|&connecting| connecting != id);
            }
        }
    }

    // ---- Clients

    pub fn connect_client(&mut self, id: ClientId) {
        self.core.client_connected(id);
        self.frames.insert(id, Frames::new(MAX_CLIENT_FRAME_BYTES));
    }

    fn receive_client(&mut self, id: ClientId, bytes: &[u8]) {
        let frames = self.frames.get_mut(&id).unwrap();
        frames.push(bytes);
        while let Some(frame) = frames.next_frame().unwrap() {
            if let Ok(reply) = client::read_produced(&frame, PRODUCE_VERSION) {
                self.responses.entry(id).or_default().push(reply);
                self.response_times.entry(id).or_default().push(self.now);
            }
        }
    }

    /// Encodes a Produce request under the next correlation id.
    pub fn request(&mut self, acks: i16, targets: &[ProduceTarget]) -> Bytes {
        self.correlation += 1;
        let required = RequiredAcks { acks, timeout_ms: REQUEST_TIMEOUT_MS };
        client::produce(self.correlation, "tester", PRODUCE_VERSION, required, targets).unwrap()
    }

    /// Sends a Produce request. Returns its correlation id.
    pub fn send(&mut self, id: ClientId, targets: &[ProduceTarget]) -> i32 {
        let request = self.request(ACKS_ALL, targets);
        self.core.clock(self.now);
        self.core.client_received(id, &request);
        self.process_after_tick();
        self.correlation
    }

    /// Sends a Produce request with one record. Returns its correlation id.
    pub fn send_one(&mut self, id: ClientId, topic: &str, partition: i32, value: &str) -> i32 {
        self.send(id, &[target(topic, partition, &[record(value)])])
    }

    /// Returns the results of all partitions in the responses to a client, in the order of the responses.
    pub fn results(&self, id: ClientId) -> Vec<PartitionCode> {
        let mut results = Vec::new();
        for reply in self.responses.get(&id).into_iter().flatten() {
            results.extend(reply.parts.iter().map(|part| result(reply.correlation, part.code)));
        }
        results
    }
}

/// The result of a partition in a Produce response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionCode {
    /// The correlation id of the Produce request.
    pub correlation: i32,
    /// The error code of the partition.
    pub code: i16,
}

/// Returns the result of a partition in the response to the request with this correlation id.
pub fn result(correlation: i32, code: i16) -> PartitionCode {
    PartitionCode { correlation, code }
}

/// Returns the part of a Produce request for one partition.
pub fn target<'a>(topic: &'a str, partition: i32, records: &'a [Record]) -> ProduceTarget<'a> {
    ProduceTarget { topic, partition, records }
}
