//! The couriers' hosts and the network between them and the stage, on one queue of events in virtual time.

use crate::disk::{Crash, Disk};
use crate::host::{Host, Input, Pace, Turned};
use crate::links::{Block, Delay, End, Links, Parcel, Way};
use crate::trace::Story;
use bytes::Bytes;
use linnetcart_conformance::{FailedConnect, Time};
use linnetcart_edge::core::{Output, PolicyFactory, StartOptions};
use linnetcart_kafka::server::Broker;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::stage::{InfrastructureFault, Token, Transport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// How long a document takes to a control interface, one way.
const CONTROL: Time = 200_000;
/// The port of every endpoint.
const PORT: u16 = 9092;

/// How hosts and network behave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// What hosts take for what they do.
    pub pace: Pace,
    /// Delays.
    pub delay: Delay,
    /// Clocks run at most so many parts of a million too fast or too slow.
    pub drift: i64,
    /// Clocks show times that differ by up to so much.
    pub apart: Time,
}

impl Default for Model {
    /// A machine's loopback, and hosts as the floor measured them.
    fn default() -> Self {
        Model {
            pace: Pace { turn: 20_000, each: 8_000, save: 3_000_000 },
            delay: Delay { least: 30_000, more: 15_000 },
            drift: 50,
            apart: 5_000_000_000,
        }
    }
}

/// What the network brings to the stage.
#[derive(Debug)]
pub enum ToStage {
    /// A courier connected to an endpoint.
    Accepted(u32, Token),
    /// A client's connection is there.
    Connected(Token),
    /// Bytes came.
    Data(Token, Bytes),
    /// A connection has ended.
    Gone(Token),
    /// A control interface answered.
    Put(u32, u32, Result<(), String>),
}

#[derive(Debug)]
enum Event {
    /// A courier looks at its connections.
    Look(u32),
    /// Something arrives that left then.
    Arrive(Token, Way, Parcel, Time),
    /// A document arrives at a control interface; its answer arrives.
    Put(u32, u32, &'static str, String),
    Answer(u32, u32, Result<(), String>),
}

struct Due(Time, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Hosts and network.
pub struct Network<'a> {
    fleet: &'a Fleet,
    model: Model,
    policy: PolicyFactory,
    now: Time,
    queue: BinaryHeap<Reverse<Due>>,
    seq: u64,
    hosts: BTreeMap<u32, Host>,
    disks: BTreeMap<u32, Disk>,
    links: Links,
    /// Endpoints that listen.
    open: std::collections::BTreeSet<u32>,
    rng: ChaCha8Rng,
    /// For clocks alone, so that they change nothing else.
    clocks: ChaCha8Rng,
    digest: Sha256,
    /// Connections of couriers that failed, on the network's clock.
    pub failed_connects: Vec<FailedConnect>,
    /// What happened in the couriers, if it is asked for.
    pub story: Option<Story>,
    /// Events worked through.
    pub events: u64,
    /// Connections at the same time at most.
    pub most_links: usize,
}

fn address(endpoint: u32) -> SocketAddr {
    let [_, b, c, d] = endpoint.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, b, c, d)), PORT)
}

fn endpoint(at: SocketAddr) -> u32 {
    match at.ip() {
        IpAddr::V4(ip) => u32::from_be_bytes(ip.octets()) & 0x00ff_ffff,
        IpAddr::V6(_) => u32::MAX,
    }
}

impl<'a> Network<'a> {
    /// No hosts yet.
    pub fn new(fleet: &'a Fleet, model: Model, policy: PolicyFactory) -> Network<'a> {
        Network {
            fleet,
            model,
            policy,
            now: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            hosts: BTreeMap::new(),
            disks: BTreeMap::new(),
            links: Links::default(),
            open: std::collections::BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x3e7),
            clocks: ChaCha8Rng::seed_from_u64(fleet.seed ^ 0xc10c),
            digest: Sha256::new(),
            failed_connects: Vec::new(),
            story: None,
            events: 0,
            most_links: 0,
        }
    }

    /// The clock of hosts and network.
    pub fn now(&self) -> Time {
        self.now
    }

    /// The clock goes on; nothing is due before then.
    pub fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Time> {
        self.queue.peek().map(|Reverse(due)| due.0)
    }

    /// What all that arrived, and when, amounts to.
    pub fn digest(&self) -> String {
        self.digest.clone().finalize().iter().map(|b| format!("{b:02x}")).collect()
    }

    fn at(&mut self, when: Time, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse(Due(when.max(self.now), self.seq, event)));
    }

    /// Works through the next event. Some of them are for the stage.
    pub fn step(&mut self) -> Option<ToStage> {
        let Reverse(Due(when, _, event)) = self.queue.pop()?;
        self.now = when;
        self.events += 1;
        match event {
            Event::Look(courier) => {
                self.look(courier, when);
                None
            }
            Event::Arrive(token, way, parcel, left) => {
                let data = matches!(parcel, Parcel::Data(_));
                self.links.arrived(when, left, token, way, data);
                self.arrive(token, way, parcel)
            }
            Event::Put(courier, life, path, body) => {
                self.came(courier, life, Input::Put(path, body));
                None
            }
            Event::Answer(courier, life, said) => Some(ToStage::Put(courier, life, said)),
        }
    }

    fn note(&mut self, token: Token, way: Way, parcel: &Parcel) {
        let (kind, bytes): (u8, &[u8]) = match parcel {
            Parcel::Connect => (0, &[]),
            Parcel::Connected => (1, &[]),
            Parcel::Refused => (2, &[]),
            Parcel::Data(bytes) => (3, bytes),
            Parcel::End => (4, &[]),
        };
        self.digest.update(self.now.to_be_bytes());
        self.digest.update(token.to_be_bytes());
        self.digest.update([kind, way as u8]);
        self.digest.update(bytes);
    }

    // ---- Connections

    fn send(&mut self, token: Token, way: Way, parcel: Parcel) {
        let how = (self.model.delay, true);
        if let Some(at) = self.links.sent(self.now, token, way, &parcel, how, &mut self.rng) {
            self.at(at, Event::Arrive(token, way, parcel, self.now));
        }
    }

    /// A connection to an endpoint ends. If it was never greeted, its courier has seen it fail.
    fn failed(&mut self, token: Token) {
        if let Some(l) = self.links.get(token).filter(|l| !l.greeted) {
            if let End::Link(_, endpoint) = l.end {
                let (courier, life, from, at) = (l.courier, l.life, l.begun, self.now);
                self.failed_connects.push(FailedConnect { courier, incarnation: life, endpoint, from, at });
            }
        }
    }

    /// One side ends a connection.
    fn leave(&mut self, token: Token, near: bool) {
        if self.links.left(token, near) {
            self.send(token, if near { Way::Out } else { Way::In }, Parcel::End);
        }
    }

    fn arrive(&mut self, token: Token, way: Way, parcel: Parcel) -> Option<ToStage> {
        self.note(token, way, &parcel);
        let l = self.links.get(token)?;
        let (courier, life, end) = (l.courier, l.life, l.end);
        let parcel = match (l.cut(way), parcel) {
            (None, parcel) => parcel,
            (Some(share), Parcel::Data(bytes)) => {
                // What was behind this is lost.
                self.links.cut_off(token, way);
                Parcel::Data(bytes.slice(..(bytes.len() as f64 * share) as usize))
            }
            (Some(_), Parcel::End) => Parcel::End,
            (Some(_), _) => return None,
        };
        let l = self.links.get(token)?;
        match way {
            Way::Out if !l.far => None,
            Way::In if !l.near => None,
            Way::Out => match (end, parcel) {
                (End::Link(_, endpoint), Parcel::Connect) => {
                    if self.open.contains(&endpoint) {
                        self.send(token, Way::In, Parcel::Connected);
                        return Some(ToStage::Accepted(endpoint, token));
                    }
                    self.send(token, Way::In, Parcel::Refused);
                    self.links.left(token, false);
                    None
                }
                (_, Parcel::Connected) => Some(ToStage::Connected(token)),
                (_, Parcel::Data(bytes)) => Some(ToStage::Data(token, bytes)),
                (_, Parcel::Refused | Parcel::End) => {
                    self.links.left(token, false);
                    Some(ToStage::Gone(token))
                }
                (End::Client(_), Parcel::Connect) => None,
            },
            Way::In => {
                let there = self.hosts.get(&courier).is_some_and(|h| h.life == life && !h.draining);
                let input = match (end, parcel) {
                    (End::Client(id), Parcel::Connect) if there => {
                        // The system answers for the program, which may stand still.
                        self.send(token, Way::Out, Parcel::Connected);
                        Input::Opened(id)
                    }
                    (End::Client(_), Parcel::Connect) => {
                        self.send(token, Way::Out, Parcel::Refused);
                        self.links.left(token, true);
                        return None;
                    }
                    (End::Client(id), Parcel::Data(bytes)) => Input::Client(id, bytes),
                    (End::Client(id), Parcel::End) => {
                        self.links.left(token, true);
                        Input::ClientGone(id)
                    }
                    (End::Link(link, _), Parcel::Connected) => Input::Up(link),
                    (End::Link(link, _), Parcel::Data(bytes)) => Input::Link(link, bytes),
                    (End::Link(link, _), Parcel::Refused) => {
                        self.failed(token);
                        self.links.left(token, true);
                        Input::Failed(link)
                    }
                    (End::Link(link, _), Parcel::End) => {
                        self.failed(token);
                        let taken = self.links.taken(token);
                        self.links.left(token, true);
                        Input::Down(link, taken)
                    }
                    _ => return None,
                };
                self.came(courier, life, input);
                None
            }
        }
    }

    // ---- Hosts

    fn came(&mut self, courier: u32, life: u32, input: Input) {
        if let Some(host) = self.hosts.get_mut(&courier).filter(|h| h.life == life) {
            host.came(input);
            self.plan(courier);
        }
    }

    /// Puts the next look of a host on the queue.
    fn plan(&mut self, courier: u32) {
        let Some(host) = self.hosts.get_mut(&courier) else { return };
        let Some(wanted) = host.wanted() else { return };
        let wanted = wanted.max(self.now);
        if host.look_at.is_none_or(|at| wanted < at) {
            host.look_at = Some(wanted);
            self.at(wanted, Event::Look(courier));
        }
    }

    fn look(&mut self, courier: u32, when: Time) {
        let Some(host) = self.hosts.get_mut(&courier).filter(|h| h.look_at == Some(when)) else { return };
        host.look_at = None;
        if host.stalled.is_some() {
            return;
        }
        let disk = self.disks.entry(courier).or_default();
        let life = host.life;
        let turned = host.look(when, &self.model.pace, disk);
        if let Some(story) = &mut self.story {
            story.add(when, courier, life, &turned.facts);
        }
        self.carry_out(courier, life, turned);
        self.plan(courier);
    }

    fn carry_out(&mut self, courier: u32, life: u32, turned: Turned) {
        // What a turn sends leaves at its end.
        let before = self.now;
        self.now += turned.took;
        for id in turned.turned_away {
            if let Some(token) = self.links.client(courier, id) {
                self.leave(token, true);
            }
        }
        for answer in turned.answers {
            self.at(self.now + CONTROL, Event::Answer(courier, life, answer));
        }
        for output in turned.outputs {
            match output {
                Output::ToClient(id, bytes) => {
                    if let Some(token) = self.links.client(courier, id) {
                        self.send(token, Way::Out, Parcel::Data(bytes));
                        let untaken = self.links.untaken(token);
                        if untaken > 0 {
                            self.came(courier, life, Input::Unsent(id, untaken as usize));
                        }
                    }
                }
                Output::CloseClient(id) => {
                    if let Some(token) = self.links.client(courier, id) {
                        self.leave(token, true);
                    }
                }
                // What a courier does not read stays in its system; its bound holds either way.
                Output::PauseClient(_) | Output::ResumeClient(_) => {}
                Output::Connect(link, at) => {
                    let token = self.links.open(self.now, courier, life, |_| End::Link(link, endpoint(at)));
                    self.most_links = self.most_links.max(self.links.count());
                    self.send(token, Way::Out, Parcel::Connect);
                }
                Output::ToUpstream(link, bytes) => {
                    if let Some(token) = self.links.link(courier, link) {
                        self.send(token, Way::Out, Parcel::Data(bytes));
                    }
                }
                Output::CloseUpstream(link) => {
                    if let Some(token) = self.links.link(courier, link) {
                        self.failed(token);
                        self.leave(token, true);
                    }
                }
            }
        }
        self.now = before;
    }

    /// Ends the couriers as an operator does: what is held at the end of `span` ends then.
    pub fn drain(&mut self, span: Time) {
        let all: Vec<u32> = self.hosts.keys().copied().collect();
        for courier in all {
            if let Some(host) = self.hosts.get_mut(&courier) {
                host.go_on();
                host.drain(self.now, span);
            }
            self.plan(courier);
        }
    }

    /// Couriers that still owe something.
    pub fn owing(&self) -> Vec<u32> {
        self.hosts.iter().filter(|(_, h)| !h.is_done()).map(|(&n, _)| n).collect()
    }

    /// Connections break: part of what travels on them arrives, cut at any byte.
    fn cut(&mut self, couriers: &[u32], share: f64) {
        for &courier in couriers {
            for token in self.links.of(courier) {
                if self.rng.random::<f64>() < share {
                    let at = (self.rng.random(), self.rng.random());
                    self.links.cut(token, at);
                    self.send(token, Way::In, Parcel::End);
                    self.send(token, Way::Out, Parcel::End);
                }
            }
        }
    }
}

impl Transport for Network<'_> {
    fn connect(&mut self, courier: u32) -> Token {
        let life = self.hosts.get(&courier).map_or(u32::MAX, |h| h.life);
        let token = self.links.open(self.now, courier, life, End::Client);
        self.most_links = self.most_links.max(self.links.count());
        self.send(token, Way::In, Parcel::Connect);
        token
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        Network::send(self, token, Way::In, Parcel::Data(Bytes::copy_from_slice(bytes)));
    }

    fn close(&mut self, token: Token) {
        self.leave(token, false);
    }

    fn reset(&mut self, token: Token) {
        self.leave(token, false);
    }

    fn start(&mut self, courier: u32, life: u32, _first: bool) -> anyhow::Result<bool> {
        let start = StartOptions {
            seed: self.fleet.courier_seed(courier, life),
            now: 0,
            broker: Broker { id: 0, host: format!("courier-{courier}"), port: PORT },
            run: (u64::from(courier) << 32) | u64::from(life),
            first_number: 1,
            policy: self.policy,
        };
        let drift = self.clocks.random_range(-self.model.drift..=self.model.drift);
        let ahead = self.clocks.random_range(0..=self.model.apart);
        let off = self.fleet.clock_off(&mut self.clocks);
        let disk = self.disks.entry(courier).or_default();
        let (host, kept) = Host::start(self.now, life, start, (ahead, drift, off), disk);
        self.hosts.insert(courier, host);
        Ok(kept)
    }

    fn kill(&mut self, courier: u32) {
        if let Some(host) = self.hosts.remove(&courier) {
            let disk = self.disks.entry(courier).or_default();
            if host.is_saving(self.now) {
                disk.crash(if self.rng.random() { Crash::Before } else { Crash::After });
            }
            disk.done();
        }
        for token in self.links.of(courier) {
            self.leave(token, true);
        }
    }

    fn stall(&mut self, courier: u32) {
        if let Some(host) = self.hosts.get_mut(&courier) {
            host.stalled.get_or_insert(self.now);
        }
    }

    fn go_on(&mut self, courier: u32) {
        if let Some(host) = self.hosts.get_mut(&courier) {
            host.go_on();
            self.plan(courier);
        }
    }

    fn put(&mut self, courier: u32, life: u32, path: &'static str, body: String) {
        self.at(self.now + CONTROL, Event::Put(courier, life, path, body));
    }

    fn open(&mut self, endpoint: u32) -> anyhow::Result<()> {
        self.open.insert(endpoint);
        Ok(())
    }

    fn shut(&mut self, endpoint: u32) {
        self.open.remove(&endpoint);
    }

    fn address(&self, endpoint: u32) -> SocketAddr {
        address(endpoint)
    }

    fn wall(&self) -> Time {
        crate::host::WALL_START + self.now
    }

    fn travelled(&self, token: Token) -> Time {
        self.links.travelled(token)
    }

    fn fault(&mut self, number: usize, fault: InfrastructureFault) {
        match fault {
            InfrastructureFault::Partition { couriers, clients, endpoints, one_way } => {
                let block =
                    |courier| Block { courier, clients, endpoints, incoming: true, outgoing: !one_way };
                self.links.block(number, couriers.into_iter().map(block).collect());
            }
            InfrastructureFault::Slow { couriers, by } => self.links.slow(number, couriers, by),
            InfrastructureFault::Cut { couriers, share } => self.cut(&couriers, share),
            InfrastructureFault::Damage { courier, left } => {
                if let Some(disk) = self.disks.get_mut(&courier) {
                    disk.damage(left);
                }
            }
        }
    }

    fn heal(&mut self, number: usize) {
        self.links.fast(number);
        for (token, way) in self.links.unblock(number) {
            for (left, parcel) in self.links.release(token, way) {
                let how = (self.model.delay, false);
                if let Some(at) = self.links.sent(self.now, token, way, &parcel, how, &mut self.rng) {
                    self.at(at, Event::Arrive(token, way, parcel, left));
                }
            }
        }
    }
}
