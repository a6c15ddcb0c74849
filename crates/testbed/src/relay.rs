//! A relay that decides nothing, on the same event loop and codec as the edge: the cost of moving messages
//! alone.
//!
//! A request of one record for a partition becomes one call to the endpoint of that partition, on a
//! connection that carries nothing else until its reply is forwarded to the client. The relay has no retries,
//! limits or timeouts.

use crate::protocol::{ALL_REPLICAS, MAX_CONNECTIONS, MAX_FRAME_BYTES, PRODUCE_VERSION};
use linnetcart_kafka::server::{self, Body, Broker, Request, Topic};
use linnetcart_kafka::{client, Frames};
use linnetcart_net::{Event, Net, Token};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const PRODUCE_TIMEOUT_MS: i32 = 1000;

/// A client's request that waits for the reply of an endpoint.
struct PendingRequest {
    client: Token,
    correlation: i32,
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
    /// Idle connections to each endpoint.
    idle: Vec<Vec<Token>>,
    last_correlation: i32,
}

/// Relays between clients and these endpoints, by partition, until the process is killed. Prints a ready line
/// as a courier does.
///
/// # Errors
/// Fails if it cannot listen, or an endpoint sends a malformed reply.
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
            Event::Data(token, bytes) => self.receive(token, &bytes)?,
            Event::HalfClosed(token) => {
                self.net.close(token);
                self.remove(token);
            }
            Event::Closed { token, .. } | Event::ConnectFailed { token, .. } => self.remove(token),
            _ => {}
        }
        Ok(())
    }

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

    /// Serves the requests that are complete.
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

    /// Forwards the replies that are complete, after each of which the connection is idle.
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

    /// Sends a call to the endpoint of the partition, on an idle connection or a new one.
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
