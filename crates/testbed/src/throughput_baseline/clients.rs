//! A load generator: clients that submit messages and measure the time until each is answered.

use crate::protocol::{ALL_REPLICAS, MAX_CONNECTIONS, MAX_FRAME_BYTES, PRODUCE_VERSION};
use anyhow::bail;
use hdrhistogram::Histogram;
use linnetcart_kafka::{client, codes, Frames, Record};
use linnetcart_net::{Event, Net, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Maximum time until all clients are connected.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_POLL: Duration = Duration::from_millis(50);
/// The `timeout_ms` field of the Produce requests.
const PRODUCE_TIMEOUT_MS: i32 = 30_000;
/// Size of a record's value.
const RECORD_BYTES: usize = 200;

/// When clients submit messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Load {
    /// Closed loop: each connection submits its next message when the last is answered, so that throughput
    /// follows the speed of the measured process.
    ClosedLoop,
    /// Open loop: this many messages per second over all connections, whether or not earlier ones are
    /// answered.
    OpenLoop(f64),
}

impl Load {
    /// Maximum wait of one poll. It is short in an open loop, since the next message may be due.
    fn poll_interval(self) -> Duration {
        match self {
            Load::ClosedLoop => Duration::from_millis(20),
            Load::OpenLoop(_) => Duration::from_micros(200),
        }
    }
}

/// The answers that clients received over a period of time.
pub(super) struct ClientResults {
    /// Number of answered messages.
    pub(super) messages: u64,
    /// Length of the period in seconds.
    pub(super) seconds: f64,
    /// Nanoseconds from a message's submission to its answer.
    pub(super) latency: Histogram<u64>,
}

struct Connection {
    token: Token,
    frames: Frames,
    /// When each unanswered message was submitted, by correlation id.
    pending: BTreeMap<i32, Instant>,
}

/// Connected clients, which submit messages for a range of destinations in round-robin order.
pub(super) struct Clients {
    net: Net,
    connections: Vec<Connection>,
    /// The index in `connections` of each token.
    by_token: BTreeMap<Token, usize>,
    last_correlation: i32,
    destinations: Range<usize>,
    /// The record that every message consists of.
    record: Record,
}

impl Clients {
    /// Opens `count` client connections and waits until all are established.
    pub(super) fn connect(
        address: SocketAddr,
        count: usize,
        destinations: Range<usize>,
    ) -> anyhow::Result<Clients> {
        let mut net = Net::new(MAX_CONNECTIONS)?;
        let mut connections = Vec::new();
        let mut by_token = BTreeMap::new();
        for index in 0..count {
            let token = net.connect(address);
            by_token.insert(token, index);
            let frames = Frames::new(MAX_FRAME_BYTES);
            connections.push(Connection { token, frames, pending: BTreeMap::new() });
        }
        let record = Record { value: Some(vec![b'x'; RECORD_BYTES].into()), ..Record::default() };
        let mut clients = Clients { net, connections, by_token, last_correlation: 0, destinations, record };
        clients.wait_until_connected()?;
        Ok(clients)
    }

    fn wait_until_connected(&mut self) -> anyhow::Result<()> {
        let count = self.connections.len();
        let connect_by = Instant::now() + CONNECT_TIMEOUT;
        let mut connected = 0;
        let mut events = Vec::new();
        while connected < count {
            self.net.poll(CONNECT_POLL, &mut events);
            connected += events.drain(..).filter(|event| matches!(event, Event::Connected(_))).count();
            if Instant::now() > connect_by {
                bail!("only {connected} of {count} clients connected within 10 s");
            }
        }
        Ok(())
    }

    /// Submits a message for the next destination on the connection with this index.
    pub(super) fn submit(&mut self, index: usize) -> anyhow::Result<()> {
        self.last_correlation = self.last_correlation % i32::MAX + 1;
        let correlation = self.last_correlation;
        let destinations = self.destinations.len() as i32;
        let partition = self.destinations.start as i32 + correlation % destinations;
        let records = std::slice::from_ref(&self.record);
        let target = client::ProduceTarget { topic: "m", partition, records };
        let required = client::RequiredAcks { acks: ALL_REPLICAS, timeout_ms: PRODUCE_TIMEOUT_MS };
        let request = client::produce(correlation, "floor", PRODUCE_VERSION, required, &[target])?;
        let connection = &mut self.connections[index];
        connection.pending.insert(correlation, Instant::now());
        self.net.send(connection.token, &request);
        Ok(())
    }

    /// Polls the connections once with this timeout and discards the answers that arrive.
    pub(super) fn poll_ignoring_answers(&mut self, timeout: Duration) {
        self.net.poll(timeout, &mut Vec::new());
    }

    /// Submits messages for the duration and records the answers that arrive within it.
    pub(super) fn run(&mut self, duration: Duration, load: Load) -> anyhow::Result<ClientResults> {
        let started = Instant::now();
        let mut results = ClientResults { messages: 0, seconds: 0.0, latency: Histogram::new(3)? };
        let mut submitted = 0u64;
        if load == Load::ClosedLoop {
            self.submit_on_idle_connections()?;
        }
        let mut events = Vec::new();
        while started.elapsed() < duration {
            if let Load::OpenLoop(rate) = load {
                let due = started.elapsed().as_secs_f64() * rate;
                self.submit_due(&mut submitted, due)?;
            }
            self.net.poll(load.poll_interval(), &mut events);
            for event in events.drain(..) {
                if let Event::Data { token, bytes, .. } = event {
                    self.receive(token, &bytes, load, &mut results)?;
                }
            }
        }
        results.seconds = started.elapsed().as_secs_f64();
        Ok(results)
    }

    /// Submits messages on the connections in turn until `due` have been submitted since the start of the
    /// run.
    fn submit_due(&mut self, submitted: &mut u64, due: f64) -> anyhow::Result<()> {
        while (*submitted as f64) < due {
            self.submit(*submitted as usize % self.connections.len())?;
            *submitted += 1;
        }
        Ok(())
    }

    /// Submits a message on each connection that waits for no answer.
    fn submit_on_idle_connections(&mut self) -> anyhow::Result<()> {
        for index in 0..self.connections.len() {
            if self.connections[index].pending.is_empty() {
                self.submit(index)?;
            }
        }
        Ok(())
    }

    /// Records the answers among the bytes that have arrived on a connection and, in a closed loop, submits
    /// the next message for each.
    fn receive(
        &mut self,
        token: Token,
        bytes: &[u8],
        load: Load,
        results: &mut ClientResults,
    ) -> anyhow::Result<()> {
        let index = self.by_token[&token];
        self.connections[index].frames.push(bytes);
        while let Some(frame) = self.connections[index].frames.next_frame()? {
            let reply = client::read_produced(&frame, PRODUCE_VERSION)?;
            if reply.parts.iter().any(|part| part.code != codes::NONE) {
                bail!("a message was not served: {:?}", reply.parts);
            }
            if let Some(submitted_at) = self.connections[index].pending.remove(&reply.correlation) {
                results.latency.record(submitted_at.elapsed().as_nanos() as u64)?;
                results.messages += 1;
            }
            if load == Load::ClosedLoop {
                self.submit(index)?;
            }
        }
        Ok(())
    }
}
