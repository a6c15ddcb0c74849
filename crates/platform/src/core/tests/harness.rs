//! The test harness: a core in virtual time with an in-memory journal, whose outputs are collected.

pub use super::fixtures::{config, list_event, DISCOVERY, SECOND};
pub use super::observations::*;
pub use crate::config::{Config, WatchEvent};
pub use crate::core::attempts::AttemptId;
pub use crate::core::clock::MILLISECOND;
pub use crate::core::completion::CompletionReason;
pub use crate::core::decisions::INITIAL_SYNC_TIMEOUT;
pub use crate::core::shutdown::DECISION_CUTOFF;
pub use crate::core::{ClientId, ConnectionId, Core, CoreEvent, NotificationCounts, OutcomeCounts, Output};
pub use crate::records::{ClockReference, FinalOutcome, Message, Record, Replay, SentAttempt};
pub use linnetcart::{AttemptOutcome, EndpointStatus, Event, Time};
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::net::SocketAddr;

use linnetcart_http::parse_request;

pub const DISCOVERY_PORT: u16 = 8500;
/// The response of an endpoint that executed the message.
pub const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Maximum iterations at one moment; a core that needs more counts as never becoming idle.
const MAX_ITERATIONS: usize = 20;

/// A core in virtual time, and everything that it has output.
pub struct Harness {
    pub core: Core,
    pub now: Time,
    pub journal: Vec<Record>,
    /// Whether writing records fails.
    pub journal_fails: bool,
    /// Remote addresses of the connections that the core requested and has not closed.
    pub connections: BTreeMap<ConnectionId, SocketAddr>,
    pub connected: BTreeSet<ConnectionId>,
    pub sent: Vec<UpstreamBytes>,
    pub answers: Vec<ClientBytes>,
    pub closed: Vec<ConnectionId>,
    /// Connections whose write side the core has shut down.
    pub write_shutdown: Vec<ConnectionId>,
    watches: BTreeSet<ConnectionId>,
    next_client: ClientId,
}

impl Harness {
    /// Starts a core with an empty journal at 100 s and runs through the initial sync without any event of
    /// discovery.
    pub fn new() -> Harness {
        Harness::with_journal(vec![], 100 * SECOND, 40)
    }

    pub fn with_journal(journal: Vec<Record>, now: Time, max_in_flight: u32) -> Harness {
        Harness::with_config(config(max_in_flight), journal, now)
    }

    pub fn with_config(config: Config, journal: Vec<Record>, now: Time) -> Harness {
        let mut harness = Harness::starting(config, &journal, now);
        harness.process();
        harness.run_for(INITIAL_SYNC_TIMEOUT);
        harness
    }

    /// Creates a core from the records of a journal, before its first iteration. Monotonic and wall-clock
    /// time are equal.
    pub fn starting(config: Config, journal: &[Record], now: Time) -> Harness {
        let stored: Vec<_> = journal.iter().map(Record::encode).collect();
        let settings = &config.settings;
        let clock = ClockReference::default();
        let replay = Replay::from_records(&stored, &settings.class_names, &settings.zone_names, clock);
        let core = Core::new(config, replay, now, now);
        Harness {
            journal: core.snapshot().collect(),
            journal_fails: false,
            core,
            now,
            connections: BTreeMap::new(),
            connected: BTreeSet::new(),
            sent: vec![],
            answers: vec![],
            closed: vec![],
            write_shutdown: vec![],
            watches: BTreeSet::new(),
            next_client: 1 << 40,
        }
    }

    /// Iterates until nothing is due at the present time. Connects to endpoints succeed at once.
    pub fn process(&mut self) {
        for _ in 0..MAX_ITERATIONS {
            self.core.process(self.now);
            self.write_records();
            for output in self.core.take_outputs() {
                self.execute(output);
            }
            let new = self.connect_endpoints();
            if new == 0 && self.core.next_wake() > self.now {
                return;
            }
        }
        panic!("the core does not become idle");
    }

    fn write_records(&mut self) {
        let records = self.core.take_records();
        if self.journal_fails {
            self.core.records_not_written(&records);
        } else {
            self.journal.extend(records);
            self.core.records_written();
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::SendToClient(client, bytes) => {
                self.answers.push(ClientBytes { client, bytes: bytes.to_vec() });
            }
            Output::Connect(id, address) => {
                self.connections.insert(id, address);
            }
            Output::SendUpstream(connection, bytes) => {
                self.sent.push(UpstreamBytes { connection, bytes: bytes.to_vec() });
            }
            Output::CloseUpstream(id) => {
                self.connections.remove(&id);
                self.closed.push(id);
            }
            Output::ShutdownWrite(id) => self.write_shutdown.push(id),
            Output::CloseClient(_) | Output::CloseRefusedClient(_) | Output::StopListening => {}
        }
    }

    /// Establishes all requested connections to endpoints and returns their number.
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

    /// Advances the time by `duration` nanoseconds and iterates whenever an iteration is due.
    pub fn run_for(&mut self, duration: Time) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.core.next_wake().clamp(self.now + MILLISECOND, until);
            self.process();
        }
    }

    /// Submits a message with 9 s until its deadline. Returns the status of the response; 0 for none.
    pub fn submit(&mut self, class: &str, id: &str, key: &str) -> u16 {
        let request = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 9000\r\n\
             Cookie: subject={key}\r\nX-Route-To: dest=3\r\nContent-Length: 2\r\n\r\nhi"
        );
        self.send_request(request.as_bytes())
    }

    /// Submits a message and returns the connection of its attempt, which is not established yet.
    pub fn begin_connecting(&mut self) -> ConnectionId {
        self.core.client_opened(7);
        let head = "POST /order HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n";
        self.core.client_received(7, head.as_bytes());
        self.core.process(self.now);
        self.write_records();
        let requested = self.core.take_outputs().into_iter().find_map(|output| match output {
            Output::Connect(id, address) if address.port() != DISCOVERY_PORT => Some(id),
            _ => None,
        });
        requested.expect("a connection")
    }

    /// Sends bytes from a new client. Returns the status of the response; 0 for none.
    pub fn send_request(&mut self, bytes: &[u8]) -> u16 {
        self.next_client += 1;
        let client = self.next_client;
        self.core.client_opened(client);
        self.core.client_received(client, bytes);
        self.process();
        let answer = self.answers.iter().rev().find(|answer| answer.client == client);
        answer.map_or(0, |answer| status(&answer.bytes))
    }

    /// Returns the attempts that were sent, in order.
    pub fn attempts(&self) -> Vec<AttemptRequest> {
        let mut attempts = Vec::new();
        for UpstreamBytes { connection, bytes } in &self.sent {
            let request = parse_request(bytes).unwrap().unwrap();
            if let Some(id) = request.field("x-txn").unwrap() {
                let message_id = String::from_utf8(id.to_vec()).unwrap();
                attempts.push(AttemptRequest { connection: *connection, message_id });
            }
        }
        attempts
    }

    /// Returns the message ids of the attempts that were sent, in order.
    pub fn sent_ids(&self) -> Vec<String> {
        self.attempts().into_iter().map(|attempt| attempt.message_id).collect()
    }

    /// Returns the encoded request of the first attempt.
    pub fn first_attempt_bytes(&self) -> &[u8] {
        let mut all = self.sent.iter().map(|sent| &sent.bytes[..]);
        all.find(|bytes| bytes.starts_with(b"POST")).expect("an attempt")
    }

    /// Delivers bytes from an endpoint or discovery to the core.
    pub fn respond(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.core.upstream_received(connection, bytes, u64::MAX);
        self.process();
    }

    /// Submits ten messages, each after the previous one was served. Returns the connection of the last one.
    pub fn serve_ten_messages(&mut self, served: &str) -> ConnectionId {
        let mut last = 0;
        for n in 0..10 {
            self.submit("status", &format!("w{n}"), "");
            last = self.attempts().last().unwrap().connection;
            self.respond(last, served.as_bytes());
            self.run_for(20 * MILLISECOND);
        }
        last
    }

    /// Submits an idempotent message whose first attempt gets no response and whose hedge is served. Returns
    /// the connection of the first attempt, which is abandoned.
    pub fn abandon_attempt(&mut self) -> ConnectionId {
        self.submit("status", "a", "");
        let first = self.attempts()[0].connection;
        self.run_for(4 * SECOND);
        let hedge = self.attempts()[1].connection;
        self.respond(hedge, SERVED.as_bytes());
        first
    }

    /// Establishes the newest requested connection to discovery.
    pub fn connect_discovery(&mut self) -> ConnectionId {
        let is_new = |id: &ConnectionId, address: &SocketAddr| {
            address.port() == DISCOVERY_PORT && !self.connected.contains(id)
        };
        let newest = self.connections.iter().rev().find(|(id, address)| is_new(id, address));
        let (&id, _) = newest.expect("a connection to discovery");
        self.connected.insert(id);
        self.core.upstream_connected(id);
        self.process();
        id
    }

    /// Returns the batches of status notifications that were sent.
    pub fn notifications(&self) -> Vec<NotificationBatch> {
        let mut notifications = Vec::new();
        for UpstreamBytes { connection, bytes } in &self.sent {
            let request = parse_request(bytes).unwrap().unwrap();
            if request.path() == b"/status" {
                let body = String::from_utf8(request.body().to_vec()).unwrap();
                notifications.push(NotificationBatch { connection: *connection, body });
            }
        }
        notifications
    }

    pub fn has_record(&self, predicate: impl Fn(&Record) -> bool) -> bool {
        self.journal.iter().any(predicate)
    }

    /// Delivers a line of the watch as one chunk of a chunked response, after the response head if it is the
    /// first line.
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
