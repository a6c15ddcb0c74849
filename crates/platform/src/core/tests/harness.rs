//! The fixture of the core's tests: a core in virtual time, its journal and its outputs.

pub use crate::config::{Config, WatchEvent};
pub use crate::core::attempts::AttemptId;
pub use crate::core::clock::MILLISECOND;
pub use crate::core::decisions::INITIAL_SYNC_TIMEOUT;
pub use crate::core::shutdown::LAST_DECISION_TIMEOUT;
pub use crate::core::{ClientId, ConnectionId, Core, CoreEvent, NotificationCounts, OutcomeCounts, Output};
pub use crate::records::{FinalOutcome, Message, Record, Replay, SentAttempt};
pub use linnetcart::{AttemptOutcome, EndpointStatus, Event, Time};
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::net::SocketAddr;

use linnetcart_http::{parse_request, parse_response, ParsedResponse};

pub const SECOND: Time = 1_000 * MILLISECOND;
pub const DISCOVERY: &str = "127.0.0.1:8500";
pub const DISCOVERY_PORT: u16 = 8500;
/// The answer of an endpoint that serves a message.
pub const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// A core that needs more iterations than this at one moment never becomes idle.
const MAX_ITERATIONS: usize = 20;

/// A configuration of three classes and two endpoints of destination 3.
pub fn config(max_in_flight: u32) -> Config {
    let class = |name: &str, effect: &str, fifo: bool| {
        serde_json::json!({"name": name, "idempotency": effect, "group": "all", "key_ttl_ns": 8 * SECOND,
            "worth": 1, "slo_ns": 3 * SECOND, "hard_limit_ns": 10 * SECOND, "late_worth": 0.5,
            "fifo_by_key": fifo})
    };
    let entry = |name: &str, port: u16| {
        serde_json::json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": "bank",
            "group": 3, "status": "active", "weight": 0.0, "since_ms": 0})
    };
    let file = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:8443", "discovery": DISCOVERY, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
        "known": {"index": 41, "snapshot": true, "endpoints": [entry("s-1", 1001), entry("s-2", 1002)]},
        "settings": {
            "balancers": 3, "me": 0, "kinds": ["bank"], "zones": ["a"], "tick_ns": 5 * MILLISECOND,
            "services": [class("status", "pure", false), class("change", "token", true),
                         class("order", "side_effect", false)],
            "stats": {"names": ["x0", "x1"], "source": "inline"},
            "family_info": {"max_calls": 8, "kind_apart": [false], "per_call": [1]},
            "bounds": {"max_open": max_in_flight, "max_attempts": 12, "may_cancel": true,
                "parallel_tries": true, "retry_after": true, "max_retry_after_ns": 3 * SECOND,
                "conn_idle_ns": 10 * SECOND, "connect_timeout_ns": SECOND},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2 * SECOND, "cold_from": 0.2,
                "ramp_time_ns": 10 * SECOND, "turn_gap_ns": 100 * MILLISECOND, "drain_grace_ns": SECOND},
        },
    });
    Config::read(file.to_string().as_bytes()).unwrap()
}

/// A core in virtual time, with everything that it produced.
pub struct Harness {
    pub core: Core,
    pub now: Time,
    pub journal: Vec<Record>,
    /// Connections that the core requested and has not closed.
    pub connections: BTreeMap<ConnectionId, SocketAddr>,
    pub connected: BTreeSet<ConnectionId>,
    pub sent: Vec<(ConnectionId, Vec<u8>)>,
    pub answers: Vec<(ClientId, Vec<u8>)>,
    pub closed: Vec<ConnectionId>,
    /// Connections on which the core sends no more.
    pub write_ended: Vec<ConnectionId>,
    watches: BTreeSet<ConnectionId>,
    next_client: ClientId,
}

impl Harness {
    /// Starts with an empty journal and runs the initial sync with a silent discovery.
    pub fn new() -> Harness {
        Harness::with_journal(vec![], 100 * SECOND, 40)
    }

    pub fn with_journal(journal: Vec<Record>, now: Time, max_in_flight: u32) -> Harness {
        Harness::with_config(config(max_in_flight), journal, now)
    }

    pub fn with_config(config: Config, journal: Vec<Record>, now: Time) -> Harness {
        let mut harness = Harness::starting(config, &journal, now);
        harness.process();
        // Discovery is silent.
        harness.run_for(INITIAL_SYNC_TIMEOUT);
        harness
    }

    /// Returns a core before its first iteration.
    pub fn starting(config: Config, journal: &[Record], now: Time) -> Harness {
        let stored: Vec<_> = journal.iter().map(Record::encode).collect();
        let settings = &config.settings;
        let replay = Replay::from_records(&stored, &settings.class_names, &settings.zone_names);
        let core = Core::new(config, replay, now, now);
        Harness {
            journal: core.snapshot(),
            core,
            now,
            connections: BTreeMap::new(),
            connected: BTreeSet::new(),
            sent: vec![],
            answers: vec![],
            closed: vec![],
            write_ended: vec![],
            watches: BTreeSet::new(),
            next_client: 1 << 40,
        }
    }

    /// Iterates until nothing is due at this time. Connections to endpoints are established at once.
    pub fn process(&mut self) {
        for _ in 0..MAX_ITERATIONS {
            self.core.process(self.now);
            self.journal.extend(self.core.take_records());
            for output in self.core.take_outputs() {
                self.carry_out(output);
            }
            let new = self.connect_endpoints();
            if new == 0 && self.core.next_wake() > self.now {
                return;
            }
        }
        panic!("the core does not become idle");
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SendToClient(client, bytes) => self.answers.push((client, bytes.to_vec())),
            Output::Connect(id, address) => {
                self.connections.insert(id, address);
            }
            Output::SendUpstream(id, bytes) => self.sent.push((id, bytes.to_vec())),
            Output::CloseUpstream(id) => {
                self.connections.remove(&id);
                self.closed.push(id);
            }
            Output::ShutdownWrite(id) => self.write_ended.push(id),
            Output::CloseClient(_) | Output::StopListening => {}
        }
    }

    /// Establishes the requested connections to endpoints and returns their number.
    fn connect_endpoints(&mut self) -> usize {
        let discovery: SocketAddr = DISCOVERY.parse().unwrap();
        let is_new =
            |id: &ConnectionId, address: &SocketAddr| *address != discovery && !self.connected.contains(id);
        let new: Vec<ConnectionId> =
            self.connections.iter().filter(|(id, address)| is_new(id, address)).map(|(&id, _)| id).collect();
        for &id in &new {
            self.connected.insert(id);
            self.core.upstream_connected(id);
        }
        new.len()
    }

    /// Iterates whenever an iteration is due, for `span` nanoseconds.
    pub fn run_for(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.core.next_wake().clamp(self.now + MILLISECOND, until);
            self.process();
        }
    }

    /// Submits a message and returns the status of the answer; 0 for none.
    pub fn submit(&mut self, class: &str, id: &str, key: &str) -> u16 {
        let request = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 9000\r\n\
             Cookie: subject={key}\r\nX-Route-To: dest=3\r\nContent-Length: 2\r\n\r\nhi"
        );
        self.send_request(request.as_bytes())
    }

    /// Submits a message and returns its connection, which is requested and not established.
    pub fn begin_connecting(&mut self) -> ConnectionId {
        self.core.client_opened(7);
        let head = "POST /order HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n";
        self.core.client_received(7, head.as_bytes());
        self.core.process(self.now);
        self.journal.extend(self.core.take_records());
        let begun = self.core.take_outputs().into_iter().find_map(|output| match output {
            Output::Connect(id, address) if address.port() != DISCOVERY_PORT => Some(id),
            _ => None,
        });
        begun.expect("a connection")
    }

    /// Sends bytes from a new client and returns the status of the answer; 0 for none.
    pub fn send_request(&mut self, bytes: &[u8]) -> u16 {
        self.next_client += 1;
        let client = self.next_client;
        self.core.client_opened(client);
        self.core.client_received(client, bytes);
        self.process();
        let answer = self.answers.iter().rev().find(|(id, _)| *id == client);
        answer.map_or(0, |(_, bytes)| status(bytes))
    }

    /// Returns connection and message id of each attempt that was sent.
    pub fn attempts(&self) -> Vec<(ConnectionId, String)> {
        let mut attempts = Vec::new();
        for (connection, bytes) in &self.sent {
            let request = parse_request(bytes).unwrap().unwrap();
            if let Some(id) = request.field("x-txn").unwrap() {
                attempts.push((*connection, String::from_utf8(id.to_vec()).unwrap()));
            }
        }
        attempts
    }

    /// Returns the ids of the messages that were sent, in order.
    pub fn sent_ids(&self) -> Vec<String> {
        self.attempts().into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the request of the first attempt.
    pub fn first_attempt_bytes(&self) -> &[u8] {
        let mut all = self.sent.iter().map(|(_, bytes)| &bytes[..]);
        all.find(|bytes| bytes.starts_with(b"POST")).expect("an attempt")
    }

    /// An endpoint or discovery sends bytes.
    pub fn respond(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.core.upstream_received(connection, bytes);
        self.process();
    }

    /// Has ten messages served one after another and returns the connection of the last one.
    pub fn connection_in_use(&mut self, served: &str) -> ConnectionId {
        let mut last = 0;
        for n in 0..10 {
            self.submit("status", &format!("w{n}"), "");
            last = self.attempts().last().unwrap().0;
            self.respond(last, served.as_bytes());
            self.run_for(20 * MILLISECOND);
        }
        last
    }

    /// Establishes the newest connection to discovery.
    pub fn connect_discovery(&mut self) -> ConnectionId {
        let is_new = |id: &ConnectionId, address: &SocketAddr| {
            address.port() == DISCOVERY_PORT && !self.connected.contains(id)
        };
        let newest = self.connections.iter().rev().find(|(id, address)| is_new(id, address));
        let id = *newest.expect("a connection to discovery").0;
        self.connected.insert(id);
        self.core.upstream_connected(id);
        self.process();
        id
    }

    /// Returns connection and body of each batch of status notifications that was sent.
    pub fn notifications(&self) -> Vec<(ConnectionId, String)> {
        let mut notifications = Vec::new();
        for (connection, bytes) in &self.sent {
            let request = parse_request(bytes).unwrap().unwrap();
            if request.path() == b"/status" {
                notifications.push((*connection, String::from_utf8(request.body().to_vec()).unwrap()));
            }
        }
        notifications
    }

    pub fn has_record(&self, wanted: impl Fn(&Record) -> bool) -> bool {
        self.journal.iter().any(wanted)
    }

    /// Sends a line of the watch in a chunk of its own, after the head if it is the first.
    pub fn watch_event(&mut self, watch: ConnectionId, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let is_first = self.watches.insert(watch);
        self.respond(watch, format!("{}{chunk}", if is_first { head } else { "" }).as_bytes());
    }

    pub fn outcomes(&self) -> OutcomeCounts {
        self.core.counters().outcomes
    }
}

/// Returns an event that changes both endpoints, whose ports follow `base`.
pub fn list_event(version: u64, zone: &str, kind: &str, group: u32, status: &str, base: u16) -> String {
    let entry = |n: u16| {
        serde_json::json!({"name": format!("s-{n}"), "address": format!("127.0.0.1:{}", base + n), "zone": zone,
            "type": kind, "group": group, "status": status, "weight": 0, "since_ms": 0})
    };
    serde_json::json!({"index": version, "snapshot": false, "endpoints": [entry(1), entry(2)]}).to_string()
}

/// Returns the status of an answer.
pub fn status(bytes: &[u8]) -> u16 {
    match parse_response(bytes) {
        ParsedResponse::Head(head) => head.status,
        other => panic!("{other:?}"),
    }
}

/// Returns the counts for these outcomes.
pub fn counts_of(outcomes: &[AttemptOutcome]) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for &outcome in outcomes {
        counts.count(outcome);
    }
    counts
}

/// Whether an output asks for a connection to an endpoint.
pub fn is_endpoint_connect(output: &Output) -> bool {
    matches!(output, Output::Connect(_, address) if address.port() != DISCOVERY_PORT)
}
