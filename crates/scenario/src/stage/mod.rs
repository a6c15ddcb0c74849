//! Everything around the couriers of a day: their clients, their destinations, whoever tells them the list, and
//! the troubles. Bytes and endings of connections go in, with clock readings; what is to be written, opened,
//! closed and done to couriers goes to [`Wires`]. All that crosses the wires is recorded for the rule checks.

mod clients;
mod couriers;
mod endpoints;
mod troubles;

use crate::day::{FaultKind, FaultSpec};
use crate::fleet::{millis, seconds, Fleet};
use anyhow::bail;
use bytes::Bytes;
use linnetcart_conformance::{
    Answer, ClientAnswer, ConnectionPosition, EndpointNotification, Partition, Records, Stall, Submission,
    Time,
};
use linnetcart_endpoint_model::{
    CallItem, CallStep, Caller, ClassFault, ConnectOutcome, EndpointSimulator, IncomingCall, ItemStatus,
    Overload, ReceivedCall, Reply, SimulatedEndpoint,
};
use linnetcart_kafka::server::{self, Body, Broker, PartitionResult, Topic};
use linnetcart_kafka::{client, codes, Frames, LoadReport, Record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// Bytes of one frame, on either side.
const FRAME: usize = 4 << 20;
/// The version of Produce that the clients speak.
const PRODUCE: i16 = 9;
/// How long after the last deadline the day is over at the latest.
const TAIL: Time = 1_000_000_000;

/// A connection, as whoever carries the bytes numbers them.
pub type Token = u64;

/// Whoever carries the bytes and runs the couriers: sockets and processes, or virtual time.
pub trait Transport {
    /// A client connects to a courier.
    fn connect(&mut self, courier: u32) -> Token;
    /// Writes to a connection.
    fn send(&mut self, token: Token, bytes: &[u8]);
    /// Closes a connection; nothing of it is told afterwards.
    fn close(&mut self, token: Token);
    /// Breaks a connection; nothing of it is told afterwards.
    fn reset(&mut self, token: Token);
    /// Starts a courier. True if it has settings and list from its last life.
    fn start(&mut self, courier: u32, life: u32, first: bool) -> anyhow::Result<bool>;
    /// Kills a courier.
    fn kill(&mut self, courier: u32);
    /// A courier stands still.
    fn stall(&mut self, courier: u32);
    /// It goes on.
    fn go_on(&mut self, courier: u32);
    /// Puts a document to a courier's control interface; the answer comes by [`Stage::put_done`].
    fn put(&mut self, courier: u32, life: u32, path: &'static str, body: String);
    /// An endpoint listens, at the same address each time.
    fn open(&mut self, endpoint: u32) -> anyhow::Result<()>;
    /// An endpoint listens no more.
    fn shut(&mut self, endpoint: u32);
    /// Where an endpoint that was opened listens.
    fn address(&self, endpoint: u32) -> SocketAddr;
    /// The right time, in nanoseconds since 1970.
    fn wall(&self) -> Time;
    /// How long the bytes that came last on a connection were on their way; 0 where nobody knows.
    fn travelled(&self, _token: Token) -> Time {
        0
    }
    /// Something goes wrong with network or disk, until [`Wires::heal`] of the same number. Sockets cannot.
    fn fault(&mut self, _number: usize, _fault: InfrastructureFault) {}
    /// A fault ends.
    fn heal(&mut self, _number: usize) {}
}

/// What goes wrong with network or disk.
#[derive(Clone, Debug, PartialEq)]
pub enum InfrastructureFault {
    /// Couriers are cut off.
    Partition {
        /// Which.
        couriers: Vec<u32>,
        /// From clients.
        clients: bool,
        /// From endpoints.
        endpoints: bool,
        /// Only what goes to them is held up.
        one_way: bool,
    },
    /// Connections of couriers break, now.
    Cut {
        /// Whose.
        couriers: Vec<u32>,
        /// The share of them.
        share: f64,
    },
    /// What couriers send and are sent takes longer.
    Slow {
        /// Which.
        couriers: Vec<u32>,
        /// By so much each way.
        by: Time,
    },
    /// The snapshot of a courier that is down is cut.
    Damage {
        /// Whose.
        courier: u32,
        /// The share that is left.
        left: f64,
    },
}

/// What is to happen at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Hand a message in: its number in the plan, which try, whatever its first time was.
    Hand(usize, u32),
    /// A call of the model goes on.
    Finish(u64),
    /// A connection is taken at last: answer what it asked first.
    Opened(Token),
    /// A trouble begins, goes on, ends.
    Begin(usize),
    Step(usize, u32),
    End(usize),
    /// Tell the couriers what is new in the list.
    Publish(Vec<u32>),
    /// Tell one courier, in this life of its, what it has missed.
    CatchUp(u32, u32),
    /// An endpoint that drained is gone.
    Gone(u32),
    /// A courier comes back.
    Back(u32),
    /// A stalled courier goes on.
    GoOn(u32),
    /// A client waits no longer for what it handed in.
    Patience(usize),
}

struct Standing {
    listens: bool,
    destination: u32,
    zone: u8,
    /// `ready`, `draining` or `gone`.
    state: &'static str,
}

/// A connection from a courier to an endpoint.
struct EndpointConn {
    endpoint: u32,
    courier: Option<Caller>,
    frames: Frames,
    /// Responses in the order of their requests.
    answers: VecDeque<(u64, Option<Bytes>)>,
    taken: bool,
    opened: bool,
    waiting_open: Option<(i32, i16)>,
    last: Time,
    deaf: bool,
}

struct CallOf {
    token: Token,
    correlation: i32,
    version: i16,
    parts: Vec<(String, i32)>,
    part_of: Vec<usize>,
}

struct Producer {
    courier: u32,
    life: u32,
    frames: Frames,
    correlation: i32,
    waiting: BTreeMap<i32, usize>,
    up: bool,
    backlog: Vec<Bytes>,
    order: u64,
    /// How far its client's clock is ahead, less where it is behind.
    off: i64,
}

enum Role {
    Endpoint(EndpointConn),
    Producer(Producer),
}

#[derive(Default)]
struct Post {
    up: bool,
    life: u32,
    producers: Vec<Token>,
    /// The connection of each key: answers go in order on a connection, and so do messages of a key.
    by_key: BTreeMap<u64, Token>,
    /// Entries that are still to be told, and whether something is under way.
    news: BTreeSet<u32>,
    whole: bool,
    telling: bool,
    /// What is under way: endpoints, and whether they are in service.
    under_way: Vec<(u32, bool)>,
    /// It has no settings yet.
    bare: bool,
    /// It stands still.
    stalled: bool,
}

/// What a day left behind.
#[derive(Clone, Debug)]
pub struct ScenarioRecords {
    /// For the checks.
    pub records: Records,
    /// Limits that were overloaded during their recovery ramp.
    pub overloads: Vec<Overload>,
}

/// Everything of a day that is no courier.
pub struct ScenarioRunner<'a, W> {
    fleet: &'a Fleet,
    /// Whoever carries the bytes.
    pub transport: W,
    now: Time,
    world: EndpointSimulator,
    /// For each destination its kind's name and rate, as the list tells them.
    listed: BTreeMap<u32, (String, f64)>,
    timers: BinaryHeap<Reverse<(Time, u64, Timer)>>,
    seq: u64,
    roles: BTreeMap<Token, Role>,
    standing: BTreeMap<u32, Standing>,
    calls: BTreeMap<u64, CallOf>,
    posts: Vec<Post>,
    handed: Vec<Submission>,
    tries: BTreeMap<usize, u32>,
    /// The courier to which a message's connection broke: it goes to another.
    left: BTreeMap<usize, u32>,
    /// How often a key's messages went to another courier for that.
    moved: BTreeMap<u64, usize>,
    told: Vec<EndpointNotification>,
    stalls: Vec<Stall>,
    cuts: Vec<Partition>,
    stray: u64,
    rng: ChaCha8Rng,
    /// For the clients' clocks alone, so that they change nothing else.
    clocks: ChaCha8Rng,
    version: u64,
    next_endpoint: u32,
    open: usize,
    /// Messages that are still to be handed in.
    hands: usize,
    list_late: f64,
    list_out: bool,
    kept_back: BTreeSet<u32>,
    /// One courier gets this share of the messages.
    uneven: Option<(u32, f64)>,
    struck: BTreeMap<usize, Vec<u32>>,
}

impl<'a, W: Transport> ScenarioRunner<'a, W> {
    /// The endpoints listen, the couriers are started.
    pub fn new(fleet: &'a Fleet, wires: W) -> anyhow::Result<ScenarioRunner<'a, W>> {
        let mut stage = ScenarioRunner {
            fleet,
            transport: wires,
            now: 0,
            world: fleet.endpoint_simulator(),
            listed: fleet.listed(),
            timers: BinaryHeap::new(),
            seq: 0,
            roles: BTreeMap::new(),
            standing: BTreeMap::new(),
            calls: BTreeMap::new(),
            posts: Vec::new(),
            handed: Vec::new(),
            tries: BTreeMap::new(),
            left: BTreeMap::new(),
            moved: BTreeMap::new(),
            told: Vec::new(),
            stalls: Vec::new(),
            cuts: Vec::new(),
            stray: 0,
            rng: ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x1ab),
            clocks: ChaCha8Rng::seed_from_u64(fleet.seed ^ 0xc11c),
            version: 0,
            next_endpoint: 0,
            open: 0,
            hands: 0,
            list_late: fleet.scenario.list.late_s,
            list_out: false,
            kept_back: BTreeSet::new(),
            uneven: None,
            struck: BTreeMap::new(),
        };
        for m in &fleet.destinations {
            for e in &m.endpoints {
                stage.put_up(e.endpoint, m.destination, e.zone)?;
            }
        }
        for n in 0..fleet.scenario.couriers {
            stage.posts.push(Post::default());
            stage.start(n, true)?;
        }
        Ok(stage)
    }

    /// A new endpoint listens.
    fn put_up(&mut self, id: u32, destination: u32, zone: u8) -> anyhow::Result<()> {
        self.transport.open(id)?;
        self.standing.insert(id, Standing { listens: true, destination, zone, state: "ready" });
        self.next_endpoint = self.next_endpoint.max(id + 1);
        Ok(())
    }

    /// Every courier has its settings and the whole list, and its clients are connected.
    pub fn ready(&self) -> bool {
        let up = |t: &Token| matches!(self.roles.get(t), Some(Role::Producer(p)) if p.up);
        let ready =
            |p: &Post| !p.telling && !p.whole && !p.producers.is_empty() && p.producers.iter().all(up);
        self.posts.iter().all(ready)
    }

    /// The day begins: its clock is zero now.
    pub fn start_traffic(&mut self) {
        self.now = 0;
        self.told.clear();
        for n in 0..self.fleet.messages.len() {
            self.hand_at(self.fleet.messages[n].at, n, 0);
        }
        for n in 0..self.fleet.scenario.trouble.len() {
            let t = &self.fleet.scenario.trouble[n];
            self.at(seconds(t.at), Timer::Begin(n));
            self.at(seconds(t.at + t.lasts), Timer::End(n));
        }
    }

    /// All is handed in and answered, or the time for it is over.
    pub fn finished(&self) -> bool {
        let day = seconds(self.fleet.scenario.seconds);
        let longest = self.fleet.scenario.class.iter().map(|c| seconds(c.deadline_s)).max().unwrap_or(0);
        self.now > day && ((self.open == 0 && self.hands == 0) || self.now > day + longest + TAIL)
    }

    /// The clock of the day.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Messages that wait for an answer.
    pub fn open(&self) -> usize {
        self.open
    }

    /// What the day left behind.
    pub fn into_records(self) -> (ScenarioRecords, W) {
        let records = Records {
            submissions: self.handed,
            arrivals: self.world.arrivals().to_vec(),
            notifications: self.told,
            stalls: self.stalls,
            partitions: self.cuts,
            outages: self.world.outages().to_vec(),
            stray_answers: self.stray,
            endpoints: self.standing.iter().map(|(&id, s)| (id, s.destination)).collect(),
            failed_connects: None,
        };
        (ScenarioRecords { records, overloads: self.world.overloads().to_vec() }, self.transport)
    }

    // ---- Time

    fn at(&mut self, when: Time, timer: Timer) {
        self.seq += 1;
        self.timers.push(Reverse((when, self.seq, timer)));
    }

    fn hand_at(&mut self, when: Time, message: usize, attempt: u32) {
        self.hands += 1;
        self.at(when, Timer::Hand(message, attempt));
    }

    /// The clock.
    pub fn clock(&mut self, now: Time) {
        self.now = now;
    }

    /// When something is due next.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse(t)| t.0)
    }

    /// Does what is due.
    pub fn run_due_timers(&mut self) -> anyhow::Result<()> {
        while self.next_wakeup().is_some_and(|when| when <= self.now) {
            if let Some(Reverse((_, _, timer))) = self.timers.pop() {
                self.timer(timer)?;
            }
        }
        Ok(())
    }

    // ---- Connections

    /// A client's connection is there.
    pub fn connected(&mut self, token: Token) {
        if let Some(Role::Producer(p)) = self.roles.get_mut(&token) {
            p.up = true;
            for bytes in std::mem::take(&mut p.backlog) {
                self.transport.send(token, &bytes);
            }
        }
    }

    /// Bytes came.
    pub fn received(&mut self, token: Token, bytes: &[u8]) {
        match self.roles.get_mut(&token) {
            Some(Role::Endpoint(_)) => self.endpoint_bytes(token, bytes),
            Some(Role::Producer(p)) => {
                p.frames.push(bytes);
                while let Some(Role::Producer(p)) = self.roles.get_mut(&token) {
                    match p.frames.next_frame() {
                        Ok(Some(frame)) => self.answered(token, &frame),
                        _ => break,
                    }
                }
            }
            None => {}
        }
    }

    /// A connection has ended, or could not be made.
    pub fn disconnected(&mut self, token: Token) {
        match self.roles.remove(&token) {
            Some(Role::Endpoint(c)) if c.taken => self.world.disconnect(c.endpoint),
            Some(Role::Producer(p)) => {
                let post = &mut self.posts[p.courier as usize];
                if post.life == p.life {
                    post.producers.retain(|&t| t != token);
                }
                self.orphan(p);
            }
            _ => {}
        }
    }

    /// A courier answered what was put to it; an error is what it said instead.
    pub fn put_done(&mut self, courier: u32, life: u32, said: Result<(), String>) -> anyhow::Result<()> {
        let post = &mut self.posts[courier as usize];
        if post.life != life || !post.up {
            return Ok(());
        }
        post.telling = false;
        if let Err(text) = said {
            bail!("courier {courier} turned its settings or list down: {text}");
        }
        let at = self.now;
        let news = std::mem::take(&mut post.under_way).into_iter();
        self.told.extend(news.map(|(endpoint, ready)| EndpointNotification {
            courier,
            incarnation: life,
            at,
            endpoint,
            ready,
        }));
        if std::mem::take(&mut post.bare) {
            self.produce_to(courier);
        }
        self.tell(courier);
        Ok(())
    }
}
