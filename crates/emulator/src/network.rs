//! The hosts of the couriers, and the network between them and the scenario, on one event queue in virtual
//! time.

mod arrivals;
mod hosts;
mod transport;

use crate::connections::{ConnectionTable, Direction, Peer, Segment, SendKind, Side, Transmission};
use crate::disk::Disk;
use crate::event_queue::EventQueue;
use crate::host::{CourierIncarnation, Host, Input};
use crate::model::Model;
use crate::trace::DeliveryTrace;
use bytes::Bytes;
use linnetcart_conformance::{FailedConnect, Time};
use linnetcart_edge::core::PolicyFactory;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::runner::Token;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// One-way delay between the scenario and the control interface of a courier, in nanoseconds.
const CONTROL_DELAY: Time = 200_000;
/// The port of every endpoint and courier.
const PORT: u16 = 9092;
/// The first byte of every endpoint's address, 10.x.y.z. The other bytes are the endpoint's number.
const ADDRESS_PREFIX: u8 = 10;
/// XORed with the seed of the fleet to seed the random number generator of delays, broken connections and
/// crashes, so that this generator is independent of all others.
const NETWORK_SEED_MASK: u64 = 0x3e7;
/// XORed with the seed of the fleet to seed the random number generator of clock deviations, so that this
/// generator is independent of all others.
const CLOCK_SEED_MASK: u64 = 0xc10c;

/// A network event that the scenario has to process.
#[derive(Debug)]
pub enum ScenarioInput {
    /// A courier connected to an endpoint.
    Accepted {
        /// The number of the endpoint.
        endpoint: u32,
        /// The connection.
        token: Token,
    },
    /// The connection of a client was established.
    Connected(Token),
    /// Bytes arrived from a courier.
    Received {
        /// The connection.
        token: Token,
        /// The bytes.
        bytes: Bytes,
    },
    /// A connection ended or was refused.
    Disconnected(Token),
    /// A control interface replied.
    ControlReply {
        /// The number of the courier.
        courier: u32,
        /// The incarnation that the document was sent to.
        incarnation: u32,
        /// `Ok` if the document was accepted, otherwise the reason why not.
        reply: Result<(), String>,
    },
}

/// The results of a run that the network collects; the scenario runner has the records of clients and
/// endpoints.
#[derive(Debug)]
pub struct NetworkResults {
    /// Failed connections of couriers to endpoints, with times on the network's clock.
    pub failed_connects: Vec<FailedConnect>,
    /// The delivery events that were traced, with times on the network's clock; `None` if the run has no
    /// trace.
    pub trace: Option<DeliveryTrace>,
    /// SHA-256 of all segments that arrived, with their times, in hexadecimal.
    pub digest: String,
    /// Number of events of the event queue that were processed.
    pub events: u64,
    /// The network's clock at the end, in nanoseconds.
    pub virtual_time: Time,
    /// The highest number of connections open at the same time.
    pub peak_connections: usize,
}

#[derive(Debug)]
enum Event {
    /// The event loop of a courier runs.
    Iteration { courier: u32 },
    /// A segment that was sent at `sent_at` arrives.
    Arrival { token: Token, direction: Direction, segment: Segment, sent_at: Time },
    /// A document arrives at a control interface.
    ControlPut { program: CourierIncarnation, path: &'static str, body: String },
    /// The reply of a control interface arrives.
    ControlReply { program: CourierIncarnation, reply: Result<(), String> },
}

/// The hosts, their disks, and the network between them and the scenario.
pub struct Network<'a> {
    fleet: &'a Fleet,
    model: Model,
    policy: PolicyFactory,
    events: EventQueue<Event>,
    hosts: BTreeMap<u32, Host>,
    disks: BTreeMap<u32, Disk>,
    connections: ConnectionTable,
    listening_endpoints: BTreeSet<u32>,
    rng: ChaCha8Rng,
    clock_rng: ChaCha8Rng,
    digest: Sha256,
    failed_connects: Vec<FailedConnect>,
    trace: Option<DeliveryTrace>,
    peak_connections: usize,
}

/// Returns the address of an endpoint.
fn endpoint_address(endpoint: u32) -> SocketAddr {
    let [_, high, middle, low] = endpoint.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(ADDRESS_PREFIX, high, middle, low)), PORT)
}

/// Returns the endpoint at an address: the lower 24 bits of an IPv4 address, and for an IPv6 address a number
/// that no endpoint has.
fn endpoint_at(address: SocketAddr) -> u32 {
    match address.ip() {
        IpAddr::V4(ip) => u32::from_be_bytes(ip.octets()) & 0x00ff_ffff,
        IpAddr::V6(_) => u32::MAX,
    }
}

impl<'a> Network<'a> {
    /// Creates a network without hosts and connections.
    pub fn new(
        fleet: &'a Fleet,
        model: Model,
        policy: PolicyFactory,
        trace: Option<DeliveryTrace>,
    ) -> Network<'a> {
        Network {
            fleet,
            model,
            policy,
            events: EventQueue::new(),
            hosts: BTreeMap::new(),
            disks: BTreeMap::new(),
            connections: ConnectionTable::default(),
            listening_endpoints: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(fleet.seed ^ NETWORK_SEED_MASK),
            clock_rng: ChaCha8Rng::seed_from_u64(fleet.seed ^ CLOCK_SEED_MASK),
            digest: Sha256::new(),
            failed_connects: Vec::new(),
            trace,
            peak_connections: 0,
        }
    }

    /// Returns the time of the network's clock, in nanoseconds since the run began.
    pub fn now(&self) -> Time {
        self.events.now()
    }

    /// Advances the network's clock to `now`. The caller ensures that no event is due before `now`.
    pub fn advance_clock(&mut self, now: Time) {
        self.events.set_now(self.now().max(now));
    }

    /// Returns when the next event is due, on the network's clock, or `None` if there is none.
    pub fn next_event_at(&self) -> Option<Time> {
        self.events.next_due()
    }

    /// Ends the run and returns its results.
    pub fn into_results(self) -> NetworkResults {
        let virtual_time = self.now();
        let digest = self.digest.finalize();
        NetworkResults {
            failed_connects: self.failed_connects,
            trace: self.trace,
            digest: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
            events: self.events.processed(),
            virtual_time,
            peak_connections: self.peak_connections,
        }
    }

    /// Processes the next event. Returns what the scenario has to process, if the event is for it.
    pub fn process_next_event(&mut self) -> Option<ScenarioInput> {
        match self.events.pop()? {
            Event::Iteration { courier } => {
                self.run_iteration(courier);
                None
            }
            Event::Arrival { token, direction, segment, sent_at } => {
                self.connections.note_arrival(self.now(), sent_at, token, direction, &segment);
                self.deliver(token, direction, segment)
            }
            Event::ControlPut { program, path, body } => {
                self.deliver_to_host(program, Input::ControlPut { path, body });
                None
            }
            Event::ControlReply { program, reply } => {
                let CourierIncarnation { courier, incarnation } = program;
                Some(ScenarioInput::ControlReply { courier, incarnation, reply })
            }
        }
    }

    /// Sends a segment for the first time.
    fn transmit(&mut self, token: Token, direction: Direction, segment: Segment) {
        let sent_at = self.now();
        self.transmit_as(SendKind::First, sent_at, token, direction, segment);
    }

    /// Sends a segment now. `sent_at` is when the sender passed it to its kernel, which is earlier if the
    /// segment was queued until a partition ended.
    fn transmit_as(
        &mut self,
        kind: SendKind,
        sent_at: Time,
        token: Token,
        direction: Direction,
        segment: Segment,
    ) {
        let transmission = Transmission { now: self.now(), token, direction, segment: &segment, kind };
        let arrival = self.connections.send(transmission, &self.model.delay, &mut self.rng);
        if let Some(arrival) = arrival {
            self.events.schedule(arrival, Event::Arrival { token, direction, segment, sent_at });
        }
    }

    /// Closes one end of a connection, and notifies the other side if that end is still open.
    fn close(&mut self, token: Token, side: Side) {
        if self.connections.close_end(token, side) {
            self.transmit(token, side.sending_direction(), Segment::Close);
        }
    }

    /// Records the end of a connection to an endpoint as a failed connect, if the courier has received no
    /// data on the connection. Does nothing for a connection of a client.
    fn record_if_connect_failed(&mut self, token: Token) {
        let Some(connection) = self.connections.get(token) else { return };
        if connection.courier_received_data {
            return;
        }
        let Peer::Endpoint { endpoint, .. } = connection.peer else { return };
        let failed = FailedConnect {
            courier: connection.courier,
            incarnation: connection.incarnation,
            endpoint,
            from: connection.opened_at,
            at: self.now(),
        };
        self.failed_connects.push(failed);
    }

    /// Updates the peak number of connections.
    fn update_peak_connections(&mut self) {
        self.peak_connections = self.peak_connections.max(self.connections.count());
    }
}
