//! A proxy without a decision policy, on the same event loop and Kafka codec as the edge. The CPU time per
//! message of the relay is the cost of forwarding alone, with which that of the edge is compared.
//!
//! A Produce request for one partition, the only kind that the measuring clients send, becomes one call to
//! the endpoint of that partition. A connection to an endpoint carries one call at a time and returns to a
//! pool once the reply is forwarded to the client. The relay has no retries, limits or timeouts of its own.

use crate::protocol::{ALL_REPLICAS, MAX_CONNECTIONS, MAX_FRAME_BYTES, PRODUCE_VERSION};
use linnetcart_kafka::server::{self, Body, Broker, Request, Topic};
use linnetcart_kafka::{client, Frames};
use linnetcart_net::{Event, Net, Token};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum wait of one poll.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The `timeout_ms` field of the Produce requests to endpoints.
const PRODUCE_TIMEOUT_MS: i32 = 1000;

/// A client's Produce request whose call is in flight.
struct PendingRequest {
    /// The connection of the client.
    client: Token,
    /// The correlation id of the client's request.
    correlation: i32,
    /// The API version of the client's request.
    version: i16,
}

enum Connection {
    Client { frames: Frames },
    Endpoint { endpoint: usize, frames: Frames, pending: Option<PendingRequest> },
}

struct Relay<'a> {
    net: Net,
    address: SocketAddr,
    listener: Token,
    endpoints: &'a [SocketAddr],
    connections: BTreeMap<Token, Connection>,
    /// The pool of idle connections to each endpoint, by index in `endpoints`.
    idle: Vec<Vec<Token>>,
    /// The correlation id of the last call to an endpoint.
    last_correlation: i32,
}

/// Prints a ready line with the address that clients connect to, as a courier does, and then forwards their
/// messages until the process is killed. Partition p belongs to endpoint p modulo the number of endpoints.
///
/// # Errors
/// Fails if it cannot listen, a call cannot be encoded, or an endpoint sends a malformed reply.
pub fn run(endpoints: &[SocketAddr]) -> anyhow::Result<()> {
    let mut net = Net::new(MAX_CONNECTIONS)?;
    let listener = net.listen("127.0.0.1:0".parse()?)?;
    let address = listener.address;
    println!("{}", json!({"kafka": address.to_string(), "control": address.to_string()}));
    std::io::stdout().flush()?;
    let mut relay = Relay {
        net,
        address,
        listener: listener.token,
        endpoints,
        connections: BTreeMap::new(),
        idle: vec![Vec::new(); endpoints.len()],
        last_correlation: 0,
    };
    let mut events = Vec::new();
    loop {
        relay.net.poll(POLL_INTERVAL, &mut events);
        for event in events.drain(..) {
            relay.process(event)?;
        }
    }
}

impl Relay<'_> {
    fn process(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Accepted { listener, token, .. } if listener == self.listener => {
                let frames = Frames::new(MAX_FRAME_BYTES);
                self.connections.insert(token, Connection::Client { frames });
            }
            Event::Data { token, bytes, .. } => self.receive(token, &bytes)?,
            Event::HalfClosed(token) => {
                self.net.close(token);
                self.remove(token);
            }
            Event::Closed { token, .. } | Event::ConnectFailed { token, .. } => self.remove(token),
            _ => {}
        }
        Ok(())
    }

    /// Removes a closed connection from the table and from the pool of idle connections.
    fn remove(&mut self, token: Token) {
        self.connections.remove(&token);
        for idle in &mut self.idle {
            idle.retain(|&other| other != token);
        }
    }

    fn receive(&mut self, token: Token, bytes: &[u8]) -> anyhow::Result<()> {
        match self.connections.get_mut(&token) {
            Some(Connection::Client { frames }) => {
                frames.push(bytes);
                self.receive_from_client(token)
            }
            Some(Connection::Endpoint { frames, .. }) => {
                frames.push(bytes);
                self.receive_from_endpoint(token)
            }
            None => Ok(()),
        }
    }

    /// Serves the complete requests among the bytes that a client has sent.
    fn receive_from_client(&mut self, token: Token) -> anyhow::Result<()> {
        let Some(Connection::Client { frames }) = self.connections.get_mut(&token) else { return Ok(()) };
        let mut requests = Vec::new();
        while let Ok(Some(frame)) = frames.next_frame() {
            requests.extend(server::read(&frame));
        }
        for request in requests {
            self.serve(token, request)?;
        }
        Ok(())
    }

    /// Forwards each complete reply of an endpoint to its client and returns the connection to the pool.
    fn receive_from_endpoint(&mut self, token: Token) -> anyhow::Result<()> {
        let Some(Connection::Endpoint { endpoint, frames, pending }) = self.connections.get_mut(&token)
        else {
            return Ok(());
        };
        while let Ok(Some(frame)) = frames.next_frame() {
            let reply = client::read_produced(&frame, PRODUCE_VERSION)?;
            if let Some(PendingRequest { client, correlation, version }) = pending.take() {
                let response = server::produce(correlation, version, &reply.parts, 0, None);
                self.net.send(client, &response);
            }
            self.idle[*endpoint].push(token);
        }
        Ok(())
    }

    /// Forwards a Produce request; answers Metadata and ApiVersions requests itself.
    fn serve(&mut self, client: Token, request: Request) -> anyhow::Result<()> {
        let Request { correlation, version, body, .. } = request;
        match body {
            Body::Produce(produce) => {
                for part in produce.parts {
                    let Ok(records) = part.records else { continue };
                    let target = client::ProduceTarget {
                        topic: &part.topic,
                        partition: part.partition,
                        records: &records,
                    };
                    self.forward(PendingRequest { client, correlation, version }, target)?;
                }
            }
            Body::Metadata(_) => {
                let broker = Broker { id: 0, host: "127.0.0.1".into(), port: self.address.port() };
                let no_topics: &[Topic] = &[];
                self.net.send(client, &server::metadata(correlation, version, &broker, no_topics));
            }
            _ => self.net.send(client, &server::api_versions(correlation, version)),
        }
        Ok(())
    }

    /// Sends a call to the endpoint of the partition, on an idle connection from the pool or a new one.
    fn forward(&mut self, request: PendingRequest, target: client::ProduceTarget) -> anyhow::Result<()> {
        let endpoint = target.partition as usize % self.endpoints.len();
        self.last_correlation = self.last_correlation % i32::MAX + 1;
        let required = client::RequiredAcks { acks: ALL_REPLICAS, timeout_ms: PRODUCE_TIMEOUT_MS };
        let call = client::produce(self.last_correlation, "relay", PRODUCE_VERSION, required, &[target])?;
        let token = match self.idle[endpoint].pop() {
            Some(idle) => idle,
            None => self.net.connect(self.endpoints[endpoint]),
        };
        self.net.send(token, &call);
        let connection = self.connections.entry(token).or_insert_with(|| Connection::Endpoint {
            endpoint,
            frames: Frames::new(MAX_FRAME_BYTES),
            pending: None,
        });
        if let Connection::Endpoint { pending, .. } = connection {
            *pending = Some(request);
        }
        Ok(())
    }
}
