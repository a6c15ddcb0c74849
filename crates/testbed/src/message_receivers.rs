//! Receivers of messages for measurements and tests: endpoints that serve whatever comes, at once.

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
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Endpoints on a thread of their own. Dropping them ends them.
#[derive(Debug)]
pub struct MessageReceivers {
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MessageReceivers {
    /// Starts so many endpoints; the first `silent` of them read requests and never answer.
    pub fn start(count: usize, silent: usize) -> anyhow::Result<MessageReceivers> {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            if let Some((mut receivers, addresses)) = ReceiverLoop::listen(count, silent) {
                let _ = address_sender.send(addresses);
                receivers.run(&stop_flag);
            }
        });
        let addresses =
            address_receiver.recv_timeout(STARTUP_TIMEOUT).context("endpoints did not come up")?;
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

struct Connection {
    frames: Frames,
    is_silent: bool,
}

struct ReceiverLoop {
    net: Net,
    /// Listeners of endpoints that never answer.
    silent_listeners: Vec<Token>,
    connections: BTreeMap<Token, Connection>,
}

impl ReceiverLoop {
    fn listen(count: usize, silent: usize) -> Option<(ReceiverLoop, Vec<SocketAddr>)> {
        let mut net = Net::new(MAX_CONNECTIONS).ok()?;
        let mut silent_listeners = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..count {
            let bound = net.listen(SocketAddr::from(([127, 0, 0, 1], 0))).ok()?;
            addresses.push(bound.address);
            if number < silent {
                silent_listeners.push(bound.token);
            }
        }
        Some((ReceiverLoop { net, silent_listeners, connections: BTreeMap::new() }, addresses))
    }

    fn run(&mut self, stop: &AtomicBool) {
        let mut events = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if self.net.poll(POLL_INTERVAL, &mut events).is_err() {
                return;
            }
            for event in events.drain(..) {
                self.process(event);
            }
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, token, .. } => {
                let is_silent = self.silent_listeners.contains(&listener);
                let connection = Connection { frames: Frames::new(MAX_FRAME_BYTES), is_silent };
                self.connections.insert(token, connection);
            }
            Event::Data(token, bytes) => self.receive(token, &bytes),
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

    fn receive(&mut self, token: Token, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.frames.push(bytes);
        while let Ok(Some(frame)) = connection.frames.next_frame() {
            let Ok(request) = server::read(&frame) else { continue };
            if let Some(response) = respond(request, connection.is_silent) {
                self.net.send(token, &response);
            }
        }
    }
}

/// The response to a request, if one is given.
fn respond(request: Request, is_silent: bool) -> Option<bytes::Bytes> {
    let Request { correlation, version, body, .. } = request;
    match body {
        Body::Produce(_) if is_silent => None,
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
