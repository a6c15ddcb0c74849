//! Stub endpoints for measurements and tests: they acknowledge every Produce request at once, or never
//! answer.
//!
//! They do not evaluate the records. Endpoints with service times, limits and faults are simulated by
//! [`ScenarioRunner`](linnetcart_scenario::runner::ScenarioRunner).

use crate::protocol::{MAX_CONNECTIONS, MAX_FRAME_BYTES};
use anyhow::Context;
use linnetcart_kafka::server::{self, Body, PartitionResult, Request};
use linnetcart_kafka::Frames;
use linnetcart_net::{Event, Net, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait of one poll, and so the delay until the thread notices that it is to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How many endpoints to start of each behaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiverCounts {
    /// Endpoints that read Produce requests and never answer them.
    pub silent: usize,
    /// Endpoints that acknowledge every Produce request at once.
    pub serving: usize,
}

impl ReceiverCounts {
    /// This many serving endpoints and no silent ones.
    pub fn serving(serving: usize) -> ReceiverCounts {
        ReceiverCounts { silent: 0, serving }
    }
}

/// Stub endpoints, which run on one thread of their own. Dropping them stops the thread.
#[derive(Debug)]
pub struct MessageReceivers {
    /// The address of each endpoint; the silent ones come first.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MessageReceivers {
    /// Starts the endpoints and waits until they listen.
    ///
    /// # Errors
    /// Fails if a port cannot be bound or the endpoints do not listen within ten seconds.
    pub fn start(counts: ReceiverCounts) -> anyhow::Result<MessageReceivers> {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let Some(mut receivers) = ReceiverLoop::listen(counts) else { return };
            let _ = address_sender.send(receivers.addresses());
            receivers.run(&stop_flag);
        });
        let addresses = address_receiver
            .recv_timeout(STARTUP_TIMEOUT)
            .context("the endpoints cannot listen, or not within 10 s")?;
        Ok(MessageReceivers { addresses, stop, thread: Some(thread) })
    }
}

impl Drop for MessageReceivers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Whether an endpoint answers Produce requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Serves,
    NeverAnswers,
}

struct Listener {
    token: Token,
    address: SocketAddr,
    behaviour: Behaviour,
}

struct Connection {
    frames: Frames,
    /// The behaviour of the endpoint that accepted the connection.
    behaviour: Behaviour,
}

/// The event loop of all endpoints.
struct ReceiverLoop {
    net: Net,
    /// In the order of [`MessageReceivers::addresses`].
    listeners: Vec<Listener>,
    connections: BTreeMap<Token, Connection>,
}

impl ReceiverLoop {
    /// Binds a loopback port for each endpoint; `None` if one cannot be bound.
    fn listen(counts: ReceiverCounts) -> Option<ReceiverLoop> {
        let mut net = Net::new(MAX_CONNECTIONS).ok()?;
        let mut listeners = Vec::new();
        for number in 0..counts.silent + counts.serving {
            let bound = net.listen(SocketAddr::from(([127, 0, 0, 1], 0))).ok()?;
            let behaviour = if number < counts.silent { Behaviour::NeverAnswers } else { Behaviour::Serves };
            listeners.push(Listener { token: bound.token, address: bound.address, behaviour });
        }
        Some(ReceiverLoop { net, listeners, connections: BTreeMap::new() })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().map(|listener| listener.address).collect()
    }

    /// Serves connections until `stop` is set.
    fn run(&mut self, stop: &AtomicBool) {
        let mut events = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.net.poll(POLL_INTERVAL, &mut events);
            for event in events.drain(..) {
                self.process(event);
            }
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, token, .. } => {
                self.accept(listener, token);
            }
            Event::Data { token, bytes, .. } => self.receive(token, &bytes),
            Event::HalfClosed(token) => {
                self.net.close(token);
                self.connections.remove(&token);
            }
            Event::Closed { token, .. } => {
                self.connections.remove(&token);
            }
            _ => {}
        }
    }

    fn accept(&mut self, listener_token: Token, token: Token) {
        let accepting = self.listeners.iter().find(|listener| listener.token == listener_token);
        let behaviour = accepting.map_or(Behaviour::Serves, |listener| listener.behaviour);
        let connection = Connection { frames: Frames::new(MAX_FRAME_BYTES), behaviour };
        self.connections.insert(token, connection);
    }

    fn receive(&mut self, token: Token, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.frames.push(bytes);
        while let Ok(Some(frame)) = connection.frames.next_frame() {
            let Ok(request) = server::read(&frame) else { continue };
            if let Some(response) = respond(request, connection.behaviour) {
                self.net.send(token, &response);
            }
        }
    }
}

/// Returns the response to a request, or `None` if the endpoint does not answer it. Every request that is not
/// a Produce request is answered as an ApiVersions request, the only other one that couriers send.
fn respond(request: Request, behaviour: Behaviour) -> Option<bytes::Bytes> {
    let Request { correlation, version, body, .. } = request;
    match body {
        Body::Produce(_) if behaviour == Behaviour::NeverAnswers => None,
        Body::Produce(produce) => {
            let mut results = Vec::new();
            for part in produce.parts {
                results.push(PartitionResult {
                    topic: part.topic,
                    partition: part.partition,
                    ..PartitionResult::default()
                });
            }
            Some(server::produce(correlation, version, &results, 0, None))
        }
        _ => Some(server::api_versions(correlation, version)),
    }
}
