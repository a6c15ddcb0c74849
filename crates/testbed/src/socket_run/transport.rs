//! The scenario runner's transport on real sockets: connections, endpoint listeners and courier processes.

use super::StackOptions;
use crate::courier_process::{CourierOptions, CourierProcess};
use anyhow::Context;
use linnetcart_conformance::Time;
use linnetcart_net::{Net, Reserved, Token};
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::runner::{StoredState, Transport, TransportError};
use serde_json::json;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// A loopback address at which nothing listens, so that connecting to it is refused. It is used for couriers
/// that are not running and endpoints that were never opened.
const UNREACHABLE: SocketAddr = SocketAddr::new(LOOPBACK, 1);
const MAX_CONNECTIONS: usize = 60_000;
/// How long couriers continue to deliver the messages in flight after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The reply to a PUT at a courier's control interface, which is complete when its connection is closed.
pub(super) struct PendingReply {
    pub(super) courier: u32,
    /// The incarnation of the courier to which the request was sent.
    pub(super) incarnation: u32,
    /// The bytes that have arrived so far.
    pub(super) received: Vec<u8>,
}

/// The listening socket of an endpoint, and the port that is reserved for it.
struct EndpointListener {
    /// The listening socket; `None` while the endpoint is shut.
    token: Option<Token>,
    /// The port stays reserved until the end of the run, so that no other process is given it and receives
    /// calls to an endpoint that was shut.
    port: Reserved,
}

/// The sockets of the runner and the processes of the couriers, by courier number.
pub(super) struct SocketTransport<'a> {
    fleet: &'a Fleet,
    options: &'a StackOptions,
    pub(super) net: Net,
    pub(super) couriers: BTreeMap<u32, CourierProcess>,
    /// The endpoint number of each listening socket.
    pub(super) listeners: BTreeMap<Token, u32>,
    pub(super) pending_replies: BTreeMap<Token, PendingReply>,
    endpoints: BTreeMap<u32, EndpointListener>,
    /// The name of each destination in reports, KIND-NUMBER, by its number as the telemetry settings write
    /// it.
    destination_names: BTreeMap<String, String>,
}

impl<'a> SocketTransport<'a> {
    pub(super) fn new(fleet: &'a Fleet, options: &'a StackOptions) -> anyhow::Result<SocketTransport<'a>> {
        let mut destination_names = BTreeMap::new();
        for (number, destination) in fleet.listed() {
            destination_names.insert(number.to_string(), format!("{}-{number}", destination.kind));
        }
        Ok(SocketTransport {
            fleet,
            options,
            net: Net::new(MAX_CONNECTIONS)?,
            couriers: BTreeMap::new(),
            listeners: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            destination_names,
        })
    }
}

impl Transport for SocketTransport<'_> {
    fn wall(&self) -> Time {
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
    }

    fn connect(&mut self, courier: u32) -> Token {
        self.net.connect(self.couriers.get(&courier).map_or(UNREACHABLE, |courier| courier.kafka))
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        self.net.send(token, bytes);
    }

    fn close(&mut self, token: Token) {
        self.net.close(token);
    }

    fn reset(&mut self, token: Token) {
        self.net.reset(token);
    }

    fn start(&mut self, number: u32, incarnation: u32) -> Result<StoredState, TransportError> {
        let first = incarnation == 0;
        let dir = self.options.dir.join(format!("courier-{number}"));
        if first && dir.exists() {
            std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
        }
        let courier = CourierProcess::start(&CourierOptions {
            program: &self.options.program,
            dir: &dir,
            seed: self.fleet.courier_seed(number, incarnation),
            policy: &self.options.policy,
            drain_timeout: DRAIN_TIMEOUT,
        })?;
        // A restarted courier recovers its telemetry settings from its snapshot.
        if let Some(address) = self.options.graphite.filter(|_| first) {
            let graphite = json!({"address": address.to_string()});
            let settings = json!({"interval_s": 1, "names": self.destination_names, "graphite": graphite});
            courier.put("/telemetry", &settings)?;
        }
        self.couriers.insert(number, courier);
        Ok(if first { StoredState::Missing } else { StoredState::Recovered })
    }

    fn kill(&mut self, courier: u32) {
        self.couriers.remove(&courier);
    }

    fn stall(&mut self, courier: u32) {
        if let Some(courier) = self.couriers.get(&courier) {
            courier.stall();
        }
    }

    fn resume(&mut self, courier: u32) {
        if let Some(courier) = self.couriers.get(&courier) {
            courier.resume();
        }
    }

    fn put(&mut self, number: u32, incarnation: u32, path: &'static str, body: String) {
        let Some(courier) = self.couriers.get(&number) else { return };
        let token = self.net.connect(courier.control);
        let length = body.len();
        let head = format!("PUT {path} HTTP/1.1\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
        self.net.send(token, head.as_bytes());
        self.net.send(token, body.as_bytes());
        let pending = PendingReply { courier: number, incarnation, received: Vec::new() };
        self.pending_replies.insert(token, pending);
    }

    fn open(&mut self, endpoint: u32) -> Result<(), TransportError> {
        let listener = match self.endpoints.entry(endpoint) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                new.insert(EndpointListener { token: None, port: Reserved::new(LOOPBACK)? })
            }
        };
        let address = listener.port.addr();
        let bound = self.net.listen(address).with_context(|| format!("endpoint {endpoint}"))?;
        listener.token = Some(bound.token);
        self.listeners.insert(bound.token, endpoint);
        Ok(())
    }

    fn shut(&mut self, endpoint: u32) {
        let Some(listener) = self.endpoints.get_mut(&endpoint) else { return };
        if let Some(token) = listener.token.take() {
            self.net.stop_listening(token);
            self.listeners.remove(&token);
        }
    }

    fn address(&self, endpoint: u32) -> SocketAddr {
        self.endpoints.get(&endpoint).map_or(UNREACHABLE, |listener| listener.port.addr())
    }
}
