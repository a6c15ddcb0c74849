//! Plays a day on sockets: real couriers in processes of their own, and on one loop of this process their
//! clients, their destinations and whoever tells them the list. What goes over the sockets is recorded here.

mod clients;
mod couriers;
mod endpoints;
mod troubles;

use crate::courier::{Courier, Start};
use crate::day::{Trouble, What};
use crate::fleet::{millis, seconds, Fleet};
use anyhow::{bail, Context};
use bytes::Bytes;
use linnetcart_kafka::server::{self, Body, Broker, Ended, Topic};
use linnetcart_kafka::{client, codes, Frames, Load, Record};
use linnetcart_members::{Caller, Code, Door, Item, Reply, Step, World};
use linnetcart_net::{Event, Net, Reserved, Token};
use linnetcart_rules::{Answer, Handed, Records, Stall, Time, Told, Verdict};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Bytes of one frame, on either side.
const FRAME: usize = 4 << 20;
/// The version of Produce that the clients speak.
const PRODUCE: i16 = 9;
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// How long after the last deadline the day is over at the latest.
const TAIL: Time = 1_000_000_000;

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Who decides in the couriers.
    pub policy: String,
    /// The program whose `edge` command is a courier: this one, but in tests.
    pub program: PathBuf,
    /// Where couriers keep their state and logs.
    pub dir: PathBuf,
    /// A Graphite receiver that couriers report to, each second.
    pub graphite: Option<SocketAddr>,
    /// Says how far it is, in seconds of the day.
    pub progress: Option<fn(f64, f64, usize)>,
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
    /// An endpoint that drained is gone.
    Gone(u32),
    /// A courier comes back.
    Back(u32),
    /// A stalled courier goes on.
    GoOn(u32),
}

struct Standing {
    listener: Option<Token>,
    /// Kept as long as the rig, so that a call to an endpoint that is gone reaches nobody else.
    port: Reserved,
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
}

enum Role {
    Endpoint(EndpointConn),
    Producer(Producer),
    Control { courier: u32, life: u32, got: Vec<u8>, news: Vec<(u32, bool)> },
}

struct Post {
    courier: Option<Courier>,
    life: u32,
    producers: Vec<Token>,
    /// The connection of each key: answers go in order on a connection, and so do messages of a key.
    by_key: BTreeMap<u64, Token>,
    /// Entries that are still to be told, and whether something is under way.
    news: BTreeSet<u32>,
    whole: bool,
    telling: bool,
    /// It stands still.
    stalled: bool,
}

/// What a day left behind.
pub struct Played {
    /// For the checks.
    pub records: Records,
    /// Limits that fell over: when, and whose.
    pub fallen: Vec<(Time, u32)>,
    /// Kinds of trouble that were played.
    pub troubles: usize,
}

struct Rig<'a> {
    fleet: &'a Fleet,
    options: &'a Options,
    net: Net,
    begun: Instant,
    now: Time,
    world: World,
    timers: BinaryHeap<Reverse<(Time, u64, Timer)>>,
    seq: u64,
    roles: BTreeMap<Token, Role>,
    listeners: BTreeMap<Token, u32>,
    standing: BTreeMap<u32, Standing>,
    calls: BTreeMap<u64, CallOf>,
    posts: Vec<Post>,
    handed: Vec<Handed>,
    tries: BTreeMap<usize, u32>,
    told: Vec<Told>,
    stalls: Vec<Stall>,
    stray: u64,
    rng: ChaCha8Rng,
    version: u64,
    next_endpoint: u32,
    open: usize,
    list_late: f64,
    list_out: bool,
    kept_back: BTreeSet<u32>,
    /// One courier gets this share of the messages.
    uneven: Option<(u32, f64)>,
    struck: BTreeMap<usize, Vec<u32>>,
    signalled: bool,
}

/// Plays a day to its end.
pub fn play(fleet: &Fleet, options: &Options) -> anyhow::Result<Played> {
    let mut rig = Rig::new(fleet, options)?;
    rig.run()?;
    let records = Records {
        handed: rig.handed,
        arrivals: rig.world.arrivals().to_vec(),
        told: rig.told,
        stalls: rig.stalls,
        outages: rig.world.outages().to_vec(),
        stray_answers: rig.stray,
    };
    Ok(Played { records, fallen: rig.world.fallen().to_vec(), troubles: fleet.day.trouble.len() })
}

/// Stays up until a signal comes: the stack of a day, without its traffic.
pub fn stay(fleet: &Fleet, options: &Options, ready: impl FnOnce(Value)) -> anyhow::Result<()> {
    let mut rig = Rig::new(fleet, options)?;
    rig.net.signals(&[calloop::signals::Signal::SIGTERM, calloop::signals::Signal::SIGINT])?;
    let first = rig.posts[0].courier.as_ref().context("no courier")?;
    let destinations: Vec<Value> = fleet
        .members
        .iter()
        .map(|m| json!({"destination": m.destination, "kind": fleet.day.kind[m.kind].name, "endpoints": m.endpoints.len()}))
        .collect();
    ready(json!({
        "kafka": first.kafka.to_string(),
        "control": first.control.to_string(),
        "destinations": destinations,
        "topics": fleet.topics(),
    }));
    let mut events = Vec::new();
    loop {
        rig.turn(&mut events, rig.now + 1_000_000_000)?;
        if rig.signalled {
            return rig.end();
        }
    }
}

impl<'a> Rig<'a> {
    fn new(fleet: &'a Fleet, options: &'a Options) -> anyhow::Result<Rig<'a>> {
        let mut net = Net::new(60_000)?;
        let world = fleet.world();
        let mut standing = BTreeMap::new();
        let mut listeners = BTreeMap::new();
        for m in &fleet.members {
            for &(id, zone) in &m.endpoints {
                let port = Reserved::new(LOOPBACK)?;
                let (token, _) = net.listen(port.addr())?;
                listeners.insert(token, id);
                let at = Standing {
                    listener: Some(token),
                    port,
                    destination: m.destination,
                    zone,
                    state: "ready",
                };
                standing.insert(id, at);
            }
        }
        let next_endpoint = standing.keys().last().copied().unwrap_or(0) + 1;
        let mut rig = Rig {
            fleet,
            options,
            net,
            begun: Instant::now(),
            now: 0,
            world,
            timers: BinaryHeap::new(),
            seq: 0,
            roles: BTreeMap::new(),
            listeners,
            standing,
            calls: BTreeMap::new(),
            posts: Vec::new(),
            handed: Vec::new(),
            tries: BTreeMap::new(),
            told: Vec::new(),
            stalls: Vec::new(),
            stray: 0,
            rng: ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x1ab),
            version: 0,
            next_endpoint,
            open: 0,
            list_late: fleet.day.list.late_s,
            list_out: false,
            kept_back: BTreeSet::new(),
            uneven: None,
            struck: BTreeMap::new(),
            signalled: false,
        };
        for n in 0..fleet.day.couriers {
            rig.posts.push(Post {
                courier: None,
                life: 0,
                producers: Vec::new(),
                by_key: BTreeMap::new(),
                news: BTreeSet::new(),
                whole: false,
                telling: false,
                stalled: false,
            });
            rig.start(n, true)?;
        }
        rig.settle()?;
        Ok(rig)
    }

    fn at(&mut self, when: Time, timer: Timer) {
        self.seq += 1;
        self.timers.push(Reverse((when, self.seq, timer)));
    }

    // ---- The loop

    fn event(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Accepted { listener, token, .. } => self.accepted(listener, token),
            Event::Connected(token) => {
                if let Some(Role::Producer(p)) = self.roles.get_mut(&token) {
                    p.up = true;
                    for bytes in std::mem::take(&mut p.backlog) {
                        self.net.send(token, &bytes);
                    }
                }
            }
            Event::Data(token, bytes) => match self.roles.get_mut(&token) {
                Some(Role::Endpoint(_)) => self.endpoint_bytes(token, &bytes),
                Some(Role::Producer(p)) => {
                    p.frames.push(&bytes);
                    while let Some(Role::Producer(p)) = self.roles.get_mut(&token) {
                        match p.frames.next_frame() {
                            Ok(Some(frame)) => self.answered(token, &frame),
                            _ => break,
                        }
                    }
                }
                Some(Role::Control { got, .. }) => got.extend(&bytes),
                None => {}
            },
            Event::HalfClosed(token) => {
                self.net.close(token);
                self.gone(token)?;
            }
            Event::Closed { token, .. } | Event::ConnectFailed(token) => self.gone(token)?,
            Event::Signal(_) => self.signalled = true,
            Event::Datagram(..) => {}
        }
        Ok(())
    }

    fn gone(&mut self, token: Token) -> anyhow::Result<()> {
        match self.roles.remove(&token) {
            Some(Role::Endpoint(c)) if c.taken => self.world.disconnect(c.endpoint),
            Some(Role::Producer(p)) => {
                let post = &mut self.posts[p.courier as usize];
                if post.life == p.life {
                    post.producers.retain(|&t| t != token);
                }
                self.orphan(p);
            }
            Some(Role::Control { courier, life, got, news }) => {
                let post = &mut self.posts[courier as usize];
                if post.life != life || post.courier.is_none() {
                    return Ok(());
                }
                post.telling = false;
                let text = String::from_utf8_lossy(&got);
                if !text.starts_with("HTTP/1.1 200") {
                    bail!("courier {courier} turned its settings or list down: {text}");
                }
                let at = self.now;
                self.told.extend(news.into_iter().map(|(endpoint, ready)| Told {
                    courier,
                    life,
                    at,
                    endpoint,
                    ready,
                }));
                if self.posts[courier as usize].producers.is_empty() && life == 0 {
                    if let Some(kafka) = self.posts[courier as usize].courier.as_ref().map(|c| c.kafka) {
                        self.produce_to(courier, kafka);
                    }
                }
                self.tell(courier);
            }
            _ => {}
        }
        Ok(())
    }

    /// Waits for what comes next, at most until then, and works through it.
    fn turn(&mut self, events: &mut Vec<Event>, until: Time) -> anyhow::Result<()> {
        let next = self.timers.peek().map_or(until, |Reverse(t)| t.0.min(until));
        let now = self.begun.elapsed().as_nanos() as Time;
        self.net.poll(Duration::from_nanos(next.saturating_sub(now)), events)?;
        self.now = self.begun.elapsed().as_nanos() as Time;
        for event in events.drain(..) {
            self.event(event)?;
        }
        while let Some(Reverse((when, _, _))) = self.timers.peek() {
            if *when > self.now {
                break;
            }
            if let Some(Reverse((_, _, timer))) = self.timers.pop() {
                self.timer(timer)?;
            }
        }
        Ok(())
    }

    fn run(&mut self) -> anyhow::Result<()> {
        for n in 0..self.fleet.messages.len() {
            self.at(self.fleet.messages[n].at, Timer::Hand(n, 0));
        }
        for n in 0..self.fleet.day.trouble.len() {
            let t = &self.fleet.day.trouble[n];
            self.at(seconds(t.at), Timer::Begin(n));
            self.at(seconds(t.at + t.lasts), Timer::End(n));
        }
        let day = seconds(self.fleet.day.seconds);
        let longest = self.fleet.day.class.iter().map(|c| seconds(c.deadline_s)).max().unwrap_or(0);
        let mut events = Vec::new();
        let mut said = 0;
        loop {
            let until = self.now + 200_000_000;
            self.turn(&mut events, until)?;
            let hands = self.timers.iter().any(|Reverse(t)| matches!(t.2, Timer::Hand(..)));
            if self.now > day && ((self.open == 0 && !hands) || self.now > day + longest + TAIL) {
                return self.end();
            }
            if let (Some(progress), true) = (self.options.progress, self.now / 1_000_000_000 != said) {
                said = self.now / 1_000_000_000;
                progress(self.now as f64 / 1e9, self.fleet.day.seconds, self.open);
            }
        }
    }

    /// Ends the couriers as an operator does, and sees that they end well.
    fn end(&mut self) -> anyhow::Result<()> {
        for post in &self.posts {
            if let Some(c) = &post.courier {
                c.go_on();
                c.end();
            }
        }
        let until = self.now + 12_000_000_000;
        let mut events = Vec::new();
        for n in 0..self.posts.len() {
            while let Some(c) = &mut self.posts[n].courier {
                match c.wait(Duration::ZERO) {
                    Some(0) => break,
                    Some(code) => bail!("courier {n} ended with code {code}; see its log"),
                    None if self.now > until => bail!("courier {n} did not end within its time; see its log"),
                    None => {
                        let next = self.now + 10_000_000;
                        self.turn(&mut events, next)?;
                    }
                }
            }
        }
        Ok(())
    }
}
