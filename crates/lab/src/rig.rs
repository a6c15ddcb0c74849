//! Plays a day on sockets: real couriers in processes of their own, and on one loop of this process their
//! clients, their destinations and whoever tells them the list. What goes over the sockets is recorded here.

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

    // ---- Couriers

    fn start(&mut self, n: u32, first: bool) -> anyhow::Result<()> {
        let dir = self.options.dir.join(format!("courier-{n}"));
        if first && dir.exists() {
            std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
        }
        let life = self.posts[n as usize].life;
        let seed = self.fleet.seed ^ (u64::from(n) << 32) ^ u64::from(life);
        let how = Start {
            program: &self.options.program,
            dir: &dir,
            seed,
            policy: &self.options.policy,
            drain: Duration::from_secs(10),
        };
        let courier = Courier::start(&how)?;
        let kafka = courier.kafka;
        let post = &mut self.posts[n as usize];
        post.courier = Some(courier);
        post.stalled = false;
        (post.telling, post.whole) = (false, true);
        if first {
            let settings = self.fleet.settings(n).to_string();
            self.control(n, "/settings", settings, Vec::new());
            // The list follows when these are in force.
        }
        if !first {
            // It has the list of its last life; news come as to the others.
            let late = seconds(self.list_late);
            let all = self.standing.keys().copied().collect();
            self.at(self.now + late, Timer::Publish(all));
        }
        let post = &mut self.posts[n as usize];
        post.producers.clear();
        post.by_key.clear();
        if !first {
            self.produce_to(n, kafka);
        }
        Ok(())
    }

    /// A further connection of a client to a courier.
    fn produce_to(&mut self, n: u32, kafka: SocketAddr) -> Token {
        let life = self.posts[n as usize].life;
        let token = self.net.connect(kafka);
        let producer = Producer {
            courier: n,
            life,
            frames: Frames::new(FRAME),
            correlation: 0,
            waiting: BTreeMap::new(),
            up: false,
            backlog: Vec::new(),
            order: 0,
        };
        self.roles.insert(token, Role::Producer(producer));
        self.posts[n as usize].producers.push(token);
        token
    }

    /// The connection for a message: that of its key, or one that waits for nothing, or a new one, as far as
    /// the clients have so many.
    fn producer(&mut self, n: u32, key: Option<u64>) -> Option<Token> {
        let kafka = self.posts[n as usize].courier.as_ref()?.kafka;
        if let Some(key) = key {
            if let Some(&token) =
                self.posts[n as usize].by_key.get(&key).filter(|t| self.roles.contains_key(t))
            {
                return Some(token);
            }
            let token = self.produce_to(n, kafka);
            let post = &mut self.posts[n as usize];
            post.producers.retain(|&t| t != token);
            post.by_key.insert(key, token);
            return Some(token);
        }
        let waiting = |t: &Token| match self.roles.get(t) {
            Some(Role::Producer(p)) => p.waiting.len(),
            _ => usize::MAX,
        };
        let post = &self.posts[n as usize];
        let least = post.producers.iter().copied().min_by_key(waiting);
        if least.is_some_and(|t| waiting(&t) == 0)
            || post.producers.len() >= self.fleet.day.clients.connections
        {
            return least;
        }
        Some(self.produce_to(n, kafka))
    }

    /// Waits until every courier has its settings and the whole list, and its clients are connected.
    fn settle(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut events = Vec::new();
        loop {
            let up = |t: &Token| matches!(self.roles.get(t), Some(Role::Producer(p)) if p.up);
            let ready =
                |p: &Post| !p.telling && !p.whole && !p.producers.is_empty() && p.producers.iter().all(up);
            if self.posts.iter().all(ready) {
                // The day begins now.
                self.begun = Instant::now();
                self.now = 0;
                self.told.clear();
                return Ok(());
            }
            if Instant::now() > until {
                bail!(
                    "the couriers did not get ready in 20 s; see the logs in {}",
                    self.options.dir.display()
                );
            }
            let next = self.now + 10_000_000;
            self.turn(&mut events, next)?;
        }
    }

    fn control(&mut self, n: u32, path: &str, body: String, news: Vec<(u32, bool)>) {
        let post = &mut self.posts[n as usize];
        let Some(courier) = &post.courier else { return };
        post.telling = true;
        let token = self.net.connect(courier.control);
        let head =
            format!("PUT {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        self.net.send(token, head.as_bytes());
        self.net.send(token, body.as_bytes());
        let role = Role::Control { courier: n, life: post.life, got: Vec::new(), news };
        self.roles.insert(token, role);
    }

    /// Tells a courier what it has not been told of the list.
    fn tell(&mut self, n: u32) {
        let post = &mut self.posts[n as usize];
        if post.telling || post.courier.is_none() || (post.news.is_empty() && !post.whole) {
            return;
        }
        let whole = std::mem::take(&mut post.whole);
        let ids: Vec<u32> = match whole {
            true => self.standing.keys().copied().collect(),
            false => post.news.iter().copied().collect(),
        };
        post.news.clear();
        self.version += 1;
        let listed = self.fleet.listed();
        let mut entries = Vec::new();
        let mut news = Vec::new();
        for id in ids {
            let s = &self.standing[&id];
            news.push((id, s.state == "ready"));
            if whole && s.state == "gone" {
                continue;
            }
            let (kind, rate) = &listed[&s.destination];
            entries.push(json!({
                "id": id, "destination": s.destination, "kind": kind, "rate": rate, "state": s.state,
                "zone": self.fleet.day.zones[usize::from(s.zone)], "address": s.port.addr().to_string(),
            }));
        }
        let body = json!({"version": self.version, "whole": whole, "entries": entries}).to_string();
        self.control(n, "/list", body, news);
    }

    fn publish(&mut self, ids: Vec<u32>) {
        if self.list_out {
            self.kept_back.extend(ids);
            return;
        }
        for n in 0..self.posts.len() {
            self.posts[n].news.extend(&ids);
            self.tell(n as u32);
        }
    }

    fn kill(&mut self, n: u32, down: Time) {
        let post = &mut self.posts[n as usize];
        if post.courier.take().is_none() {
            return;
        }
        post.life += 1;
        post.news.clear();
        post.telling = false;
        self.at(self.now + down, Timer::Back(n));
    }

    // ---- Messages

    fn hand(&mut self, number: usize, attempt: u32) -> anyhow::Result<()> {
        let planned = &self.fleet.messages[number];
        let class = &self.fleet.day.class[usize::from(planned.class)];
        let due = planned.at + seconds(class.deadline_s);
        let left_ms = due.saturating_sub(self.now) / 1_000_000;
        if left_ms == 0 {
            return Ok(());
        }
        let alive: Vec<u32> =
            (0..self.posts.len() as u32).filter(|&n| self.posts[n as usize].courier.is_some()).collect();
        if alive.is_empty() {
            self.at(self.now + 200_000_000, Timer::Hand(number, attempt));
            return Ok(());
        }
        let courier = match (planned.key, self.uneven) {
            (Some(key), _) => alive[key as usize % alive.len()],
            (None, Some((one, share))) if self.rng.random::<f64>() < share && alive.contains(&one) => one,
            _ => alive[self.rng.random_range(0..alive.len())],
        };
        let token = self.producer(courier, planned.key);
        let Some(token) = token else {
            self.at(self.now + 100_000_000, Timer::Hand(number, attempt));
            return Ok(());
        };
        let header = |name: &str, value: String| (name.to_owned(), Some(Bytes::from(value)));
        let record = Record {
            key: planned.key.map(|k| Bytes::copy_from_slice(&k.to_be_bytes())),
            value: Some(Bytes::from(vec![b'x'; 120])),
            headers: vec![
                header("message-id", number.to_string()),
                header("deadline-ms", left_ms.to_string()),
            ],
        };
        let Some(Role::Producer(p)) = self.roles.get_mut(&token) else {
            self.at(self.now + 100_000_000, Timer::Hand(number, attempt));
            return Ok(());
        };
        p.correlation += 1;
        p.order += 1;
        let to = [client::To {
            topic: &class.name,
            partition: planned.destination as i32,
            records: std::slice::from_ref(&record),
        }];
        let timeout = i32::try_from(left_ms).unwrap_or(i32::MAX);
        let request = client::produce(p.correlation, "linnetcart-lab", PRODUCE, (-1, timeout), &to)?;
        p.waiting.insert(p.correlation, self.handed.len());
        let (line, life) = ((token, p.order), p.life);
        if p.up {
            self.net.send(token, &request);
        } else {
            p.backlog.push(request);
        }
        self.handed.push(Handed {
            message: number as u64,
            courier,
            life,
            line,
            class: planned.class,
            destination: planned.destination,
            key: planned.key,
            at: self.now,
            due: self.now + left_ms * 1_000_000,
            answers: Vec::new(),
            orphaned: None,
        });
        self.tries.insert(number, attempt);
        self.open += 1;
        Ok(())
    }

    fn answered(&mut self, token: Token, frame: &Bytes) {
        let Some(Role::Producer(p)) = self.roles.get_mut(&token) else { return };
        let Ok(produced) = client::read_produced(frame, PRODUCE) else {
            self.stray += 1;
            return;
        };
        let Some(at) = p.waiting.remove(&produced.correlation) else {
            self.stray += 1;
            return;
        };
        let answer = match produced.parts.first().map(|p| p.code) {
            Some(codes::NONE) => Answer::Served,
            Some(codes::REFUSED) => Answer::Refused,
            _ => Answer::Failed,
        };
        let h = &mut self.handed[at];
        if h.answers.is_empty() {
            self.open -= 1;
        }
        h.answers.push((self.now, answer));
        if answer == Answer::Refused {
            let number = h.message as usize;
            let attempt = self.tries.get(&number).copied().unwrap_or(0);
            let [least, most] = self.fleet.day.clients.again_ms;
            let wait = millis(least + self.rng.random::<f64>() * (most - least));
            let wait = wait.max(u64::try_from(produced.throttle_ms).unwrap_or(0) * 1_000_000);
            if attempt < self.fleet.day.clients.retries {
                self.at(self.now + wait, Timer::Hand(number, attempt + 1));
            }
        }
    }

    /// A client's connection broke: what it waited for may be handed to another courier, unless it may have
    /// run and must not run again.
    fn orphan(&mut self, p: Producer) {
        for at in p.waiting.into_values() {
            let h = &mut self.handed[at];
            if !h.answers.is_empty() {
                continue;
            }
            h.orphaned = Some(self.now);
            self.open -= 1;
            let (message, class) = (h.message, usize::from(h.class));
            let ran = |a: &linnetcart_rules::Arrival| {
                a.message == message && !matches!(a.verdict, Verdict::Refused { .. })
            };
            let safe = self.fleet.day.class[class].repeat == crate::day::RepeatKind::Safe;
            if safe || !self.world.arrivals().iter().any(ran) {
                let wait = millis(800.0 + self.rng.random::<f64>() * 1000.0);
                let attempt = self.tries.get(&(message as usize)).copied().unwrap_or(0);
                self.at(self.now + wait, Timer::Hand(message as usize, attempt));
            }
        }
    }

    // ---- Endpoints

    fn endpoint_bytes(&mut self, token: Token, bytes: &[u8]) {
        let now = self.now;
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        let idle = c.answers.is_empty();
        let reap = self.world.trouble(c.endpoint).and_then(|t| t.reap);
        let hard = self.fleet.day.trouble.iter().any(|t| {
            t.what == What::IdleDropped && t.hard && now >= seconds(t.at) && now < seconds(t.at + t.lasts)
        });
        if idle && c.opened && reap.is_some_and(|r| now > c.last + r) {
            if hard {
                self.drop_conn(token);
                return;
            }
            c.deaf = true;
        }
        c.last = now;
        if c.deaf {
            return;
        }
        c.frames.push(bytes);
        loop {
            let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
            let frame = match c.frames.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => return self.drop_conn(token),
            };
            let Ok(request) = server::read(&frame) else { return self.drop_conn(token) };
            let number =
                request.client.as_deref().and_then(|c| c.strip_prefix("linnetcart-edge-")?.parse().ok());
            if let (None, Some(courier)) = (c.courier, number) {
                let life = self.posts.get(courier as usize).map_or(0, |p| p.life);
                c.courier = Some(Caller { courier, life });
            }
            match request.body {
                Body::ApiVersions | Body::ApiVersionsTooNew if !c.opened => {
                    c.waiting_open = Some((request.correlation, request.version));
                }
                Body::ApiVersions | Body::ApiVersionsTooNew => {
                    self.net.send(token, &server::api_versions(request.correlation, request.version, false));
                }
                Body::Metadata(_) => {
                    let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 0 };
                    let topics: Vec<Topic> = Vec::new();
                    self.net.send(
                        token,
                        &server::metadata(request.correlation, request.version, &broker, &topics),
                    );
                }
                Body::Fetch(topics) => {
                    self.net.send(token, &server::not_readable(request.correlation, &topics))
                }
                Body::Produce(p) => self.call(token, request.correlation, request.version, p),
            }
        }
    }

    fn call(&mut self, token: Token, correlation: i32, version: i16, p: server::Produce) {
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        let (endpoint, caller) = (c.endpoint, c.courier.unwrap_or(Caller { courier: u32::MAX, life: 0 }));
        let topics = self.fleet.topics();
        let mut items = Vec::new();
        let mut parts = Vec::new();
        let mut part_of = Vec::new();
        for part in p.parts {
            let class = topics.iter().position(|t| *t == part.topic);
            let (Some(class), Ok(records)) = (class, part.records) else { return self.drop_conn(token) };
            for r in &records {
                let id = r.header("message-id").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
                items.push(Item { message: id.unwrap_or(u64::MAX), class: class as u8 });
                part_of.push(parts.len());
            }
            parts.push((part.topic, part.partition));
        }
        let (id, step) = self.world.arrive(self.now, caller, endpoint, &items);
        if let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) {
            c.answers.push_back((id, None));
        }
        self.calls.insert(id, CallOf { token, correlation, version, parts, part_of });
        self.step(id, step);
    }

    fn step(&mut self, id: u64, step: Step) {
        match step {
            Step::At(when) => self.at(when, Timer::Finish(id)),
            Step::Silent => {
                self.calls.remove(&id);
            }
            Step::Break => {
                if let Some(call) = self.calls.remove(&id) {
                    self.drop_conn(call.token);
                }
            }
            Step::Answer(reply) => self.reply(id, &reply),
        }
    }

    fn reply(&mut self, id: u64, reply: &Reply) {
        let Some(call) = self.calls.remove(&id) else { return };
        let mut ended: Vec<Ended> = call
            .parts
            .iter()
            .map(|(topic, partition)| Ended {
                topic: topic.clone(),
                partition: *partition,
                ..Ended::default()
            })
            .collect();
        for (part, code) in call.part_of.iter().zip(&reply.codes) {
            match code {
                Code::Served => {}
                Code::Full => ended[*part].code = codes::FULL,
                Code::Error => ended[*part].code = codes::FAILED,
            }
        }
        let throttle = i32::try_from(reply.wait.div_ceil(1_000_000)).unwrap_or(i32::MAX);
        let load = reply.load.map(|(left, limit)| Load { left, limit });
        let bytes = server::produce(call.correlation, call.version, &ended, throttle, load);
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&call.token) else { return };
        c.last = self.now;
        if let Some(slot) = c.answers.iter_mut().find(|a| a.0 == id) {
            slot.1 = Some(bytes);
        }
        while matches!(c.answers.front(), Some((_, Some(_)))) {
            if let Some((_, Some(bytes))) = c.answers.pop_front() {
                self.net.send(call.token, &bytes);
            }
        }
    }

    fn drop_conn(&mut self, token: Token) {
        if let Some(Role::Endpoint(c)) = self.roles.remove(&token) {
            if c.taken {
                self.world.disconnect(c.endpoint);
            }
        }
        self.net.reset(token);
    }

    fn accepted(&mut self, listener: Token, token: Token) {
        let Some(&endpoint) = self.listeners.get(&listener) else { return self.net.close(token) };
        let (taken, after, deaf) = match self.world.connect(endpoint) {
            Door::Full => return self.net.reset(token),
            Door::Nobody => (false, 0, true),
            Door::Open { after } => (true, after, false),
        };
        let conn = EndpointConn {
            endpoint,
            courier: None,
            frames: Frames::new(FRAME),
            answers: VecDeque::new(),
            taken,
            opened: after == 0,
            waiting_open: None,
            last: self.now,
            deaf,
        };
        self.roles.insert(token, Role::Endpoint(conn));
        if after > 0 {
            self.at(self.now + after, Timer::Opened(token));
        }
    }

    fn opened(&mut self, token: Token) {
        let Some(Role::Endpoint(c)) = self.roles.get_mut(&token) else { return };
        c.opened = true;
        if let Some((correlation, version)) = c.waiting_open.take() {
            self.net.send(token, &server::api_versions(correlation, version, false));
        }
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

    // ---- Troubles

    fn timer(&mut self, timer: Timer) -> anyhow::Result<()> {
        match timer {
            Timer::Hand(number, attempt) => self.hand(number, attempt)?,
            Timer::Finish(call) => {
                let step = self.world.finish(self.now, call);
                self.step(call, step);
            }
            Timer::Opened(token) => self.opened(token),
            Timer::Begin(n) => self.begin(n)?,
            Timer::Step(n, count) => self.go_on(n, count)?,
            Timer::End(n) => self.over(n)?,
            Timer::Publish(ids) => self.publish(ids),
            Timer::Gone(endpoint) => {
                self.close_endpoint(endpoint);
                self.world.remove(endpoint);
                if let Some(s) = self.standing.get_mut(&endpoint) {
                    s.state = "gone";
                }
                self.at(self.now + seconds(self.list_late), Timer::Publish(vec![endpoint]));
            }
            Timer::Back(n) => {
                self.start(n, false)?;
            }
            Timer::GoOn(n) => {
                let post = &mut self.posts[n as usize];
                post.stalled = false;
                let life = post.life;
                if let Some(c) = &post.courier {
                    c.go_on();
                }
                let mine = |s: &&mut Stall| (s.courier, s.life) == (n, life);
                if let Some(stall) = self.stalls.iter_mut().rev().find(mine) {
                    stall.until = self.now;
                }
            }
        }
        Ok(())
    }

    fn trouble(&self, n: usize) -> &'a Trouble {
        &self.fleet.day.trouble[n]
    }

    fn endpoints_of(&self, destination: u32) -> Vec<u32> {
        let of = self.standing.iter().filter(|(_, s)| s.destination == destination && s.state != "gone");
        of.map(|(&id, _)| id).collect()
    }

    fn each(&mut self, n: usize, mut change: impl FnMut(&mut linnetcart_members::Trouble)) {
        for destination in self.struck.get(&n).cloned().unwrap_or_default() {
            for endpoint in self.endpoints_of(destination) {
                if let Some(t) = self.world.trouble(endpoint) {
                    change(t);
                }
            }
        }
    }

    /// The couriers that a trouble strikes.
    fn couriers_of(&self, n: usize) -> Vec<u32> {
        let count = self.posts.len() as u32;
        let struck = ((self.trouble(n).part * f64::from(count)).round() as u32).clamp(1, count);
        (0..struck).map(|k| (k + n as u32 + self.fleet.seed as u32) % count).collect()
    }

    fn outage(&mut self, n: usize, refused_connections: bool) {
        let until = seconds(self.trouble(n).at + self.trouble(n).lasts).max(self.now);
        for destination in self.struck.get(&n).cloned().unwrap_or_default() {
            self.world.outage(destination, self.now, until, refused_connections);
        }
    }

    fn begin(&mut self, n: usize) -> anyhow::Result<()> {
        let t = self.trouble(n);
        let size = if t.size > 0.0 { t.size } else { 1.0 };
        let until = seconds(t.at + t.lasts);
        self.struck.insert(n, self.fleet.struck(t.part, n as u64 + 1));
        match t.what {
            What::Errors => {
                self.each(n, |e| e.errors = size);
                if size > 0.5 {
                    self.outage(n, false);
                }
            }
            What::Shut => {
                for destination in self.struck[&n].clone() {
                    self.world.shut(destination, until);
                }
                self.outage(n, false);
            }
            What::Silent => {
                self.each(n, |e| e.silent = true);
                self.outage(n, false);
            }
            What::Vanish => {
                self.each(n, |e| e.vanished = true);
                self.outage(n, true);
            }
            What::Down => {
                self.each(n, |e| e.down = true);
                self.outage(n, true);
                for destination in self.struck[&n].clone() {
                    for endpoint in self.endpoints_of(destination) {
                        self.close_endpoint(endpoint);
                    }
                }
            }
            What::Slow => self.each(n, |e| e.slow = size),
            What::SharedSlow => self.world.slow_all(size),
            What::AnswersLost => {
                self.each(n, |e| e.answers_lost = size);
                if size > 0.5 {
                    self.outage(n, false);
                }
            }
            What::Throttle => {
                for destination in self.struck[&n].clone() {
                    self.world.throttle(destination, size);
                }
            }
            What::IdleDropped => {
                let idle = seconds(t.size);
                self.each(n, |e| e.reap = Some(idle));
            }
            What::SlowConnect => {
                let by = millis(t.size);
                self.each(n, |e| e.slow_connect = by);
            }
            What::ClassFails => {
                for destination in self.struck[&n].clone() {
                    let endpoints = self.endpoints_of(destination);
                    if endpoints.len() > 1 {
                        if let Some(e) = self.world.trouble(endpoints[0]) {
                            e.class_fails = Some((t.extra as u8, size, t.hard));
                        }
                    }
                }
            }
            What::UnevenCouriers => self.uneven = Some((self.couriers_of(n)[0], size)),
            What::CouriersKilled => {
                for courier in self.couriers_of(n) {
                    self.kill(courier, seconds(size));
                }
            }
            What::ListLate => self.list_late += t.size,
            What::ListOut => self.list_out = true,
            What::Drains | What::Pauses | What::CouriersStall | What::CouriersRolled => self.go_on(n, 0)?,
            What::SuddenLoad | What::HotDestinations => {}
        }
        Ok(())
    }

    fn go_on(&mut self, n: usize, count: u32) -> anyhow::Result<()> {
        let t = self.trouble(n);
        let until = seconds(t.at + t.lasts);
        if self.now >= until && count > 0 {
            return Ok(());
        }
        let next = |rig: &mut Self, after: Time| {
            if after > 0 {
                rig.at(rig.now + after, Timer::Step(n, count + 1));
            }
        };
        match t.what {
            What::Drains => {
                let all: Vec<u32> = self.struck[&n].iter().flat_map(|&d| self.endpoints_of(d)).collect();
                let batch = ((all.len() as f64 * t.size.max(0.05)).ceil() as usize).max(1);
                // The oldest numbers first; replacements have higher ones, so each goes once.
                let ready =
                    all.into_iter().filter(|e| self.standing[e].state == "ready" && *e < self.first_new(n));
                let going: Vec<u32> = ready.take(batch).collect();
                let steps = (1.0 / t.size.max(0.05)).ceil();
                next(self, seconds(t.lasts / (steps + 1.0)));
                for endpoint in going {
                    self.replace(endpoint, seconds(t.extra))?;
                }
            }
            What::Pauses => {
                let paused = self.now + millis(t.size);
                self.each(n, |e| e.paused_until = paused);
                next(self, seconds(t.extra));
            }
            What::CouriersStall => {
                // Each at a time of its own within the distance of two stalls.
                let among = self.couriers_of(n);
                let each = seconds(t.extra) / among.len().max(1) as u64;
                let courier = among[count as usize % among.len()];
                let post = &mut self.posts[courier as usize];
                if let (Some(c), false) = (&post.courier, post.stalled) {
                    c.stall();
                    post.stalled = true;
                    let (life, from) = (post.life, self.now);
                    let until = from + millis(t.size);
                    self.stalls.push(Stall { courier, life, from, until });
                    self.at(self.now + millis(t.size), Timer::GoOn(courier));
                }
                next(self, each);
            }
            What::CouriersRolled => {
                let among = self.couriers_of(n);
                if let Some(&courier) = among.get(count as usize) {
                    self.kill(courier, seconds(t.size));
                }
                next(self, seconds(t.lasts / among.len() as f64));
            }
            _ => {}
        }
        Ok(())
    }

    /// Endpoints with numbers from here on came into being during this trouble.
    fn first_new(&self, _n: usize) -> u32 {
        self.fleet.members.iter().flat_map(|m| &m.endpoints).map(|e| e.0 + 1).max().unwrap_or(u32::MAX)
    }

    /// Drains an endpoint and puts a new one in its place.
    fn replace(&mut self, endpoint: u32, drain: Time) -> anyhow::Result<()> {
        let Some(s) = self.standing.get_mut(&endpoint) else { return Ok(()) };
        s.state = "draining";
        let (destination, zone) = (s.destination, s.zone);
        let id = self.next_endpoint;
        self.next_endpoint += 1;
        let port = Reserved::new(LOOPBACK)?;
        let (token, _) = self.net.listen(port.addr())?;
        self.listeners.insert(token, id);
        let new = Standing { listener: Some(token), port, destination, zone, state: "ready" };
        self.standing.insert(id, new);
        self.world.add(destination, id, zone);
        let late = seconds(self.list_late);
        self.at(self.now + late, Timer::Publish(vec![endpoint, id]));
        // An endpoint that drains waits until the news have had time to reach everyone.
        self.at(self.now + late + drain, Timer::Gone(endpoint));
        Ok(())
    }

    fn close_endpoint(&mut self, endpoint: u32) {
        if let Some(listener) = self.standing.get_mut(&endpoint).and_then(|s| s.listener.take()) {
            self.net.unlisten(listener);
            self.listeners.remove(&listener);
        }
        let of =
            |(t, r): (&Token, &Role)| matches!(r, Role::Endpoint(c) if c.endpoint == endpoint).then_some(*t);
        let open: Vec<Token> = self.roles.iter().filter_map(of).collect();
        open.into_iter().for_each(|t| self.drop_conn(t));
    }

    fn open_endpoint(&mut self, endpoint: u32) -> anyhow::Result<()> {
        let Some(s) = self.standing.get_mut(&endpoint).filter(|s| s.listener.is_none() && s.state != "gone")
        else {
            return Ok(());
        };
        let (token, _) = self.net.listen(s.port.addr()).with_context(|| format!("endpoint {endpoint}"))?;
        s.listener = Some(token);
        self.listeners.insert(token, endpoint);
        Ok(())
    }

    fn over(&mut self, n: usize) -> anyhow::Result<()> {
        match self.trouble(n).what {
            What::Errors => self.each(n, |e| e.errors = 0.0),
            What::Silent => self.each(n, |e| e.silent = false),
            What::Vanish => self.each(n, |e| e.vanished = false),
            What::Down => {
                self.each(n, |e| e.down = false);
                for destination in self.struck[&n].clone() {
                    for endpoint in self.endpoints_of(destination) {
                        self.open_endpoint(endpoint)?;
                    }
                }
            }
            What::Slow => self.each(n, |e| e.slow = 0.0),
            What::SharedSlow => self.world.slow_all(1.0),
            What::AnswersLost => self.each(n, |e| e.answers_lost = 0.0),
            What::Throttle => {
                for destination in self.struck[&n].clone() {
                    self.world.throttle(destination, 1.0);
                }
            }
            What::IdleDropped => self.each(n, |e| e.reap = None),
            What::SlowConnect => self.each(n, |e| e.slow_connect = 0),
            What::ClassFails => self.each(n, |e| e.class_fails = None),
            What::UnevenCouriers => self.uneven = None,
            What::ListLate => self.list_late = (self.list_late - self.trouble(n).size).max(0.0),
            What::ListOut => {
                self.list_out = false;
                let ids = std::mem::take(&mut self.kept_back).into_iter().collect();
                self.publish(ids);
            }
            What::Shut
            | What::Drains
            | What::Pauses
            | What::SuddenLoad
            | What::HotDestinations
            | What::CouriersKilled
            | What::CouriersRolled
            | What::CouriersStall => {}
        }
        Ok(())
    }
}
