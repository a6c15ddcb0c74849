//! Drives the core without sockets: a clock, clients, endpoints that do as they are told.
#![allow(dead_code)]

use bytes::Bytes;
use linnetcart_edge::core::{library, ClientId, Core, Output, StartOptions, UpstreamId};
use linnetcart_edge::settings::{EndpointEntry, EndpointListUpdate, EntryState, Settings};
use linnetcart_kafka::client::{self, ProduceReply};
use linnetcart_kafka::server::{self, Body, Broker, PartitionResult, Request};
use linnetcart_kafka::{Frames, Record, RecordHeader};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MS: u64 = 1_000_000;
pub const VERSION: i16 = 9;
const START: u64 = 3600 * 1000 * MS;

/// A connection of the core's to an endpoint.
pub struct UpstreamConnection {
    pub endpoint: u32,
    pub frames: Frames,
    pub received_bytes: u64,
    pub connected: bool,
}

/// A call that reached an endpoint.
pub struct Call {
    pub connection: UpstreamId,
    pub endpoint: u32,
    pub correlation: i32,
    pub version: i16,
    pub at: u64,
    /// Topic, partition and values.
    pub parts: Vec<(String, i32, Vec<String>)>,
}

pub struct CoreHarness {
    pub core: Core,
    pub now: u64,
    pub connections: BTreeMap<UpstreamId, UpstreamConnection>,
    /// Connects that were asked for and not answered yet.
    pub connecting: Vec<UpstreamId>,
    pub calls: Vec<Call>,
    pub responses: BTreeMap<ClientId, Vec<ProduceReply>>,
    /// When each of them came.
    pub response_times: BTreeMap<ClientId, Vec<u64>>,
    pub frames: BTreeMap<ClientId, Frames>,
    pub closed: BTreeSet<ClientId>,
    pub paused: BTreeSet<ClientId>,
    /// Connections are made and greeted as soon as they are asked for.
    pub auto_connect: bool,
    pub correlation: i32,
    pub list_version: u64,
}

pub fn settings() -> serde_json::Value {
    serde_json::json!({
        "deployment": "test",
        "courier": {"me": 3, "of": 4, "zone": "a"},
        "zones": ["a", "b"],
        "classes": [
            {"name": "status", "aim_ms": 1000, "deadline_ms": 8000, "worth": 1, "late_worth": 0.5, "repeat": "safe"},
            {"name": "proxy", "aim_ms": 1000, "deadline_ms": 6000, "worth": 1, "late_worth": 0.5,
             "repeat": {"keyed": {"window_ms": 8000}}, "ordered": true},
            {"name": "order", "aim_ms": 1000, "deadline_ms": 3000, "worth": 4, "late_worth": 0.5, "repeat": "unsafe"}
        ],
        "kinds": [{"name": "large"}, {"name": "small", "routes_apart": true}, {"name": "batch", "per_call": 3}],
        "limits": {"slots": 8, "held": 100, "attempts": 6},
        "rules": {"answer_slack_ms": 20, "cold_share": 0.2, "warm_after_ms": 10000, "fall_multiple": 2.0,
                  "fall_span_ms": 2000, "key_rest_ms": 100},
        "connections": {"calls": 1, "idle_ms": 5000, "connect_timeout_ms": 1000},
        "tick_us": 1000
    })
}

pub fn entry(id: u32, destination: u32, kind: &str, state: EntryState) -> EndpointEntry {
    EndpointEntry {
        id,
        destination,
        kind: kind.into(),
        zone: "a".into(),
        rate: 0.0,
        state,
        address: SocketAddr::from(([127, 0, 0, 1], id as u16)),
    }
}

impl CoreHarness {
    /// Destination 1 (large): endpoints 10, 11; 2 (small): 20; 3 (batch): 30.
    pub fn new() -> CoreHarness {
        CoreHarness::with(&settings(), 1)
    }

    pub fn with(settings: &serde_json::Value, first_number: u32) -> CoreHarness {
        let settings = Settings::parse(settings.to_string().as_bytes()).unwrap();
        let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 9092 };
        let core = Core::new(
            settings,
            StartOptions { seed: 5, now: START, broker, run: 1, first_number, policy: library },
        );
        let mut harness = CoreHarness {
            core,
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
        harness.update_list(
            true,
            vec![ready(10, 1, "large"), ready(11, 1, "large"), ready(20, 2, "small"), ready(30, 3, "batch")],
        );
        harness
    }

    pub fn update_list(&mut self, whole: bool, entries: Vec<EndpointEntry>) {
        self.list_version += 1;
        self.core
            .update_endpoints(&EndpointListUpdate { version: self.list_version, complete: whole, entries })
            .unwrap();
        self.process();
    }

    /// Lets time pass, in steps of a millisecond at most where something is due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms * MS;
        while self.now < until {
            let next = self.core.next_wakeup().max(self.now + MS / 4).min(until);
            self.now = next;
            self.process();
        }
    }

    pub fn process(&mut self) {
        self.core.process(self.now);
        self.carry_out();
    }

    /// One turn late enough for a round.
    pub fn process_after_tick(&mut self) {
        self.now += MS;
        self.process();
    }

    pub fn carry_out(&mut self) {
        loop {
            let outputs = self.core.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::ToClient(id, bytes) => {
                        let frames = self.frames.get_mut(&id).unwrap();
                        frames.push(&bytes);
                        while let Some(f) = frames.next_frame().unwrap() {
                            if let Ok(p) = client::read_produced(&f, VERSION) {
                                self.responses.entry(id).or_default().push(p);
                                self.response_times.entry(id).or_default().push(self.now);
                            }
                        }
                    }
                    Output::CloseClient(id) => {
                        self.closed.insert(id);
                    }
                    Output::ResumeClient(id) => {
                        self.paused.remove(&id);
                    }
                    Output::PauseClient(id) => {
                        self.paused.insert(id);
                    }
                    Output::Connect(id, addr) => {
                        let endpoint = u32::from(addr.port());
                        let new = UpstreamConnection {
                            endpoint,
                            frames: Frames::new(1 << 20),
                            received_bytes: 0,
                            connected: false,
                        };
                        self.connections.insert(id, new);
                        self.connecting.push(id);
                    }
                    Output::ToUpstream(id, bytes) => self.receive_upstream(id, &bytes),
                    Output::CloseUpstream(id) => {
                        self.connections.remove(&id);
                        self.connecting.retain(|&l| l != id);
                    }
                }
            }
            if self.auto_connect {
                for id in std::mem::take(&mut self.connecting) {
                    self.connect(id);
                }
            }
        }
    }

    fn receive_upstream(&mut self, id: UpstreamId, bytes: &Bytes) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.frames.push(bytes);
        connection.received_bytes += bytes.len() as u64;
        while let Some(frame) =
            self.connections.get_mut(&id).and_then(|connection| connection.frames.next_frame().unwrap())
        {
            let Request { correlation, version, body, .. } = server::read(&frame).unwrap();
            match body {
                Body::ApiVersions => {
                    if self.auto_connect {
                        let greeting = server::api_versions(correlation, version);
                        self.core.upstream_received(id, &greeting);
                    }
                }
                Body::Produce(p) => {
                    let text = |r: &Record| String::from_utf8(r.value.clone().unwrap().to_vec()).unwrap();
                    let parts = p
                        .parts
                        .into_iter()
                        .map(|p| (p.topic, p.partition, p.records.unwrap().iter().map(text).collect()));
                    let endpoint = self.connections[&id].endpoint;
                    self.calls.push(Call {
                        connection: id,
                        endpoint,
                        correlation,
                        version,
                        at: self.now,
                        parts: parts.collect(),
                    });
                }
                other => panic!("{other:?}"),
            }
        }
    }

    /// The connection is made; it is greeted at once if the harness is easy.
    pub fn connect(&mut self, id: UpstreamId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.connected = true;
            self.core.clock(self.now);
            self.core.upstream_connected(id);
            self.carry_out();
        }
    }

    pub fn negotiate(&mut self, id: UpstreamId) {
        self.core.clock(self.now);
        self.core.upstream_received(id, &server::api_versions(0, 0));
        self.carry_out();
    }

    pub fn connect_client(&mut self, id: ClientId) {
        self.core.client_connected(id);
        self.frames.insert(id, Frames::new(1 << 22));
    }

    pub fn request(&mut self, acks: i16, to: &[(&str, i32, &[Record])]) -> Bytes {
        self.correlation += 1;
        let to: Vec<client::ProduceTarget> = to
            .iter()
            .map(|&(topic, partition, records)| client::ProduceTarget { topic, partition, records })
            .collect();
        let required = client::RequiredAcks { acks, timeout_ms: 30_000 };
        client::produce(self.correlation, "tester", VERSION, required, &to).unwrap()
    }

    pub fn send(&mut self, id: ClientId, to: &[(&str, i32, &[Record])]) -> i32 {
        let request = self.request(-1, to);
        self.core.clock(self.now);
        self.core.client_received(id, &request);
        self.process_after_tick();
        self.correlation
    }

    /// Sends one record.
    pub fn send_one(&mut self, id: ClientId, topic: &str, partition: i32, value: &str) -> i32 {
        self.send(id, &[(topic, partition, &[record(value)])])
    }

    /// Answers the call that holds this value.
    pub fn reply(&mut self, value: &str, code: i16, throttle_ms: i32) {
        let at = self.call_with(value);
        let call = self.calls.remove(at);
        self.reply_to(&call, code, throttle_ms);
    }

    pub fn reply_to(&mut self, call: &Call, code: i16, throttle_ms: i32) {
        let ended = |(topic, partition, _): &(String, i32, Vec<String>)| PartitionResult {
            topic: topic.clone(),
            partition: *partition,
            code,
            ..PartitionResult::default()
        };
        let ended: Vec<PartitionResult> = call.parts.iter().map(ended).collect();
        let bytes = server::produce(call.correlation, call.version, &ended, throttle_ms, None);
        self.core.clock(self.now);
        self.core.upstream_received(call.connection, &bytes);
        self.process_after_tick();
    }

    /// The place of the last call that holds this value.
    pub fn call_with(&self, value: &str) -> usize {
        let holds = |c: &Call| c.parts.iter().any(|p| p.2.iter().any(|v| v == value));
        self.calls.iter().rposition(holds).unwrap_or_else(|| panic!("no call holds {value}"))
    }

    pub fn count_calls_with(&self, value: &str) -> usize {
        self.calls.iter().filter(|c| c.parts.iter().any(|p| p.2.iter().any(|v| v == value))).count()
    }

    /// The codes that a client was answered, by request number.
    pub fn response_codes(&self, id: ClientId) -> Vec<(i32, i16)> {
        let all = self.responses.get(&id).map_or(&[][..], Vec::as_slice);
        all.iter().flat_map(|p| p.parts.iter().map(move |e| (p.correlation, e.code))).collect()
    }
}

pub fn record(value: &str) -> Record {
    Record { key: None, value: Some(Bytes::copy_from_slice(value.as_bytes())), headers: vec![], timestamp: 0 }
}

pub fn record_with_key(value: &str, key: &str) -> Record {
    Record { key: Some(Bytes::copy_from_slice(key.as_bytes())), ..record(value) }
}

pub fn record_with_header(value: &str, name: &str, text: &str) -> Record {
    Record { headers: vec![RecordHeader::new(name, text.to_owned())], ..record(value) }
}
