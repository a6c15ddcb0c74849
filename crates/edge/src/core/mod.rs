//! The courier without its sockets: bytes, endings of connections and clock readings go in; bytes, connects,
//! closes and facts come out. It holds no socket, file or clock, and the same inputs give the same outputs.
//!
//! Inputs may come in any number before a [`Core::turn`]; the turn hands all of them to the decision library at
//! once and carries out what it decides. So after a stall the library sees everything before it sends.

mod age;
mod answers;
mod delivery;
mod intake;
mod numbers;
mod trust;

pub use delivery::UpstreamId;
pub use intake::ClientId;

use crate::delivery_events::{DeliveryEvent, FinalAnswer, LoadReport, RejectionReason};
use crate::settings::{
    EndpointEntry, EndpointList, EndpointListUpdate, EntryState, InvalidDocument, Settings,
};
use age::Clocks;
use answers::RecordEnd;
use bytes::Bytes;
use delivery::{Bounds, Delivery, Do, Done, Parcel};
use intake::{Client, Intake, Part, Place};
use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Dispatcher, Event, Idempotency, Time,
};
use linnetcart_kafka::codes;
use linnetcart_kafka::server::{self, Body, Broker, PartitionResult, Produce, Request, Topic};
use linnetcart_kafka::Record;
use numbers::Numbers;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// What decides. In service that is [`Dispatcher`], always; experiments compare others with it.
pub trait DecisionPolicy: std::fmt::Debug {
    /// One decision cycle: takes all events since the last one and says what is to be done.
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action>;
}

impl DecisionPolicy for Dispatcher {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        Dispatcher::decide(self, now, events)
    }
}

/// Makes a decision policy from the library's settings and a seed.
pub type PolicyFactory = fn(linnetcart::Settings, u64) -> Box<dyn DecisionPolicy>;

/// The decision library.
pub fn library(settings: linnetcart::Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    Box::new(Dispatcher::new(settings, seed))
}

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ClientId, Bytes),
    /// Close a client's connection when what was written to it has left.
    CloseClient(ClientId),
    /// Read from a client, or stop reading.
    ReadClient(ClientId, bool),
    /// Connect to an endpoint.
    Connect(UpstreamId, SocketAddr),
    /// Write to an endpoint.
    ToUpstream(UpstreamId, Bytes),
    /// Close a connection to an endpoint at once.
    CloseUpstream(UpstreamId),
}

/// How the core starts.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// Randomness of the decisions.
    pub seed: u64,
    /// The clock.
    pub now: Time,
    /// Where clients reach this courier.
    pub broker: Broker,
    /// Tells the names of messages of this run from those of others.
    pub run: u64,
    /// The first message's number.
    pub first_number: u32,
    /// Who decides: [`library`].
    pub policy: PolicyFactory,
}

/// A message that is not over, or has attempts out.
#[derive(Debug)]
struct Held {
    place: Place,
    class: u8,
    destination: u32,
    record: Record,
    bytes: usize,
    taken: Time,
    due: Time,
    attempts: u16,
    live: u16,
    /// An attempt has run or may have.
    ran: bool,
    over: bool,
}

/// Figures for the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Messages without an answer.
    pub held: usize,
    /// Bytes of them.
    pub held_bytes: usize,
    /// Calls out that hold a slot.
    pub calls: usize,
    /// Connections to endpoints.
    pub links: usize,
    /// Of these, those that wait for the answer to a call that was given up.
    pub links_abandoned: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Of these, those that are not read because of a bound.
    pub clients_paused: usize,
    /// Version of the list.
    pub list_version: u64,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// It takes nothing new.
    pub draining: bool,
    /// For each class: what became of its messages.
    pub classes: BTreeMap<String, Counts>,
    /// Attempts so far.
    pub attempts: u64,
    /// Rounds of decisions so far.
    pub rounds: u64,
    /// Messages whose time was up when they came.
    pub out_of_time: u64,
    /// Messages whose client's clock is ahead by more than the settings say clocks may differ.
    pub clocks_ahead: u64,
}

/// What became of the messages of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Served within the aim.
    pub in_aim: u64,
    /// Refused after they were taken.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Withdrawn: the client was gone.
    pub withdrawn: u64,
    /// RejectionReason away unseen.
    pub turned_away: u64,
}

/// The courier.
#[derive(Debug)]
pub struct Core {
    set: Settings,
    tick: Time,
    repeats: Vec<Idempotency>,
    start: StartOptions,
    list: EndpointList,
    /// For each destination its endpoints in service.
    ready: BTreeMap<u32, u32>,
    courier: Box<dyn DecisionPolicy>,
    now: Time,
    /// What is read now may have come since then.
    since: Time,
    /// The wall clock, as it was last told.
    wall: Option<Time>,
    last_round: Time,
    wake: Time,
    events: Vec<Event>,
    numbers: Numbers,
    named: u64,
    held: BTreeMap<u32, Held>,
    open: usize,
    held_bytes: usize,
    intake: Intake,
    delivery: Delivery,
    /// Told waits: by destination, or by route where routes are apart.
    waits: BTreeMap<(bool, u32), Time>,
    /// The limit of each endpoint, also while it is out of the list and a connection to it is left.
    limits: BTreeMap<u32, (bool, u32)>,
    draining: Option<Time>,
    out: Vec<Output>,
    facts: Vec<DeliveryEvent>,
    counts: Vec<Counts>,
    attempts: u64,
    rounds: u64,
    out_of_time: u64,
    clocks_ahead: u64,
}

impl Core {
    /// A courier with these settings and an empty list. The settings have been checked.
    pub fn new(set: Settings, mut start: StartOptions) -> Core {
        start.broker.id = set.courier.me as i32;
        let decided = set.library_settings();
        let bounds = Bounds {
            slots: set.limits.slots as usize,
            calls_per_link: set.connections.calls as usize,
            idle: decided.idle_timeout,
            connect: decided.connect_timeout,
            frame: set.limits.request_bytes,
            name: format!("linnetcart-edge-{}", set.courier.me),
            topics: set.classes.iter().map(|c| c.name.clone()).collect(),
        };
        Core {
            tick: decided.tick,
            repeats: decided.classes.iter().map(|c| c.idempotency).collect(),
            list: EndpointList::default(),
            ready: BTreeMap::new(),
            courier: (start.policy)(decided, start.seed),
            now: start.now,
            since: start.now,
            wall: None,
            last_round: 0,
            wake: Time::MAX,
            events: Vec::new(),
            numbers: Numbers::from(start.first_number),
            named: 0,
            held: BTreeMap::new(),
            open: 0,
            held_bytes: 0,
            intake: Intake::default(),
            delivery: Delivery::new(bounds),
            waits: BTreeMap::new(),
            limits: BTreeMap::new(),
            draining: None,
            out: Vec::new(),
            facts: Vec::new(),
            counts: vec![Counts::default(); set.classes.len()],
            attempts: 0,
            rounds: 0,
            out_of_time: 0,
            clocks_ahead: 0,
            set,
            start,
        }
    }

    /// What the shell is to do since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        self.fetch();
        std::mem::take(&mut self.out)
    }

    /// What happened since the last call.
    pub fn delivery_events(&mut self) -> Vec<DeliveryEvent> {
        std::mem::take(&mut self.facts)
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// The list in force.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Figures for the status page.
    pub fn status(&self) -> Status {
        let (links, links_abandoned) = self.delivery.links();
        let classes = self.set.classes.iter().map(|c| c.name.clone()).zip(self.counts.iter().cloned());
        Status {
            held: self.open,
            held_bytes: self.held_bytes,
            calls: self.delivery.running(),
            links,
            links_abandoned,
            clients: self.intake.clients.len(),
            clients_paused: self.intake.clients.values().filter(|c| c.paused).count(),
            list_version: self.list.version,
            endpoints: self.list.entries.len(),
            draining: self.draining.is_some(),
            classes: classes.collect(),
            attempts: self.attempts,
            rounds: self.rounds,
            out_of_time: self.out_of_time,
            clocks_ahead: self.clocks_ahead,
        }
    }

    /// The clock. It never goes back.
    pub fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.since = self.now;
        self.delivery.clock(self.now);
    }

    /// What the wall clock shows, in nanoseconds since 1970, as [`Core::clock`] was last told its reading. It may
    /// be set; only what is read until the next reading is aged by it.
    pub fn wall_clock(&mut self, wall: Time) {
        self.wall = Some(wall);
    }

    /// What is read at this clock reading may have come at any time since then: the program may have stood
    /// still meanwhile. The time that messages have left is counted from the earliest.
    pub fn arrived_since(&mut self, since: Time) {
        self.since = since.min(self.now);
    }

    // ---- The list

    /// News of the list; nothing changes if they are wrong.
    pub fn update_endpoints(&mut self, news: &EndpointListUpdate) -> Result<(), InvalidDocument> {
        let (list, told) = self.list.after(news, &self.set)?;
        self.events.push(Event::EndpointList { complete: news.whole, entries: told });
        self.put_list(list);
        Ok(())
    }

    /// The list that a snapshot held.
    pub fn restore(&mut self, list: EndpointList) -> Result<(), InvalidDocument> {
        let entries = list.library_entries(&self.set)?;
        self.events.push(Event::EndpointList { complete: true, entries });
        self.put_list(list);
        Ok(())
    }

    fn put_list(&mut self, list: EndpointList) {
        self.list = list;
        let left: BTreeSet<u32> = self.delivery.endpoints().into_iter().collect();
        self.limits.retain(|endpoint, _| left.contains(endpoint));
        let set = &self.set;
        self.limits.extend(self.list.entries.values().map(|e| (e.id, limit_of(set, e))));
        self.ready.clear();
        for e in self.list.entries.values() {
            *self.ready.entry(e.destination).or_default() += u32::from(e.state == EntryState::Ready);
        }
        for endpoint in self.delivery.endpoints() {
            if self.list.entries.get(&endpoint).is_none_or(|e| e.state != EntryState::Ready) {
                self.delivery.close_idle(endpoint);
            }
        }
    }

    // ---- Clients

    /// A client connected.
    pub fn client_connected(&mut self, id: ClientId) {
        self.intake.clients.insert(id, Client::new(self.set.limits.request_bytes));
    }

    /// Bytes came from a client.
    pub fn client_received(&mut self, id: ClientId, bytes: &[u8]) {
        if let Some(c) = self.intake.clients.get_mut(&id) {
            c.frames.push(bytes);
            self.client_frames(id);
        }
    }

    /// The client sends no more; its requests are still answered.
    pub fn client_half_closed(&mut self, id: ClientId) {
        if let Some(c) = self.intake.clients.get_mut(&id) {
            c.half_closed = true;
            self.answer(id);
        }
    }

    /// The client is gone, and nobody waits for the answers to its messages.
    pub fn client_disconnected(&mut self, id: ClientId) {
        for message in self.intake.gone(id) {
            let Some(m) = self.held.get(&message) else { continue };
            let (class, destination) = (m.class, m.destination);
            self.counts[usize::from(class)].withdrawn += 1;
            self.facts.push(DeliveryEvent::ClientCancelled { message, class, destination });
            self.events.push(Event::ClientCancelled { message });
            self.close_message(message);
        }
    }

    /// Bytes of answers that the client's system has not taken yet.
    pub fn set_client_backlog(&mut self, id: ClientId, bytes: usize) {
        if let Some(c) = self.intake.clients.get_mut(&id) {
            c.unsent = bytes;
            if c.paused {
                self.client_frames(id);
            }
        }
    }

    /// Works through the whole frames of a client, as far as its bounds allow. Beyond them it is not read.
    fn client_frames(&mut self, id: ClientId) {
        loop {
            let (pipelined, unsent) = (self.set.limits.pipelined, self.set.limits.unsent_bytes);
            let Some(c) = self.intake.clients.get_mut(&id) else { return };
            let full = c.waiting() >= pipelined || c.unsent >= unsent;
            if full != c.paused {
                c.paused = full;
                self.out.push(Output::ReadClient(id, !full));
            }
            if full {
                return;
            }
            let fault = match c.frames.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => match server::read(&frame) {
                    Ok(request) => match self.request(id, request) {
                        Ok(()) => {
                            self.answer(id);
                            continue;
                        }
                        Err(why) => why,
                    },
                    Err(e) => e.to_string(),
                },
                Err(e) => e.to_string(),
            };
            self.facts.push(DeliveryEvent::ProtocolViolation { peer: format!("client {id}"), reason: fault });
            self.out.push(Output::CloseClient(id));
            self.client_disconnected(id);
            return;
        }
    }

    fn request(&mut self, id: ClientId, r: Request) -> Result<(), String> {
        let response = match r.body {
            Body::ApiVersions => server::api_versions(r.correlation, r.version, false),
            Body::ApiVersionsTooNew => server::api_versions(r.correlation, r.version, true),
            Body::Metadata(names) => {
                server::metadata(r.correlation, r.version, &self.start.broker, &self.topics(names))
            }
            Body::Fetch(topics) => server::not_readable(r.correlation, &topics),
            Body::Produce(p) if p.acks == 0 => {
                let topics: Vec<&str> = p.parts.iter().map(|p| p.topic.as_str()).collect();
                return Err(format!(
                    "acks=0 for {topics:?} leaves no way to give the final answer; use acks=all"
                ));
            }
            Body::Produce(p) => {
                return {
                    self.produce(id, r.correlation, r.version, p);
                    Ok(())
                }
            }
        };
        self.intake.answered(id, response);
        Ok(())
    }

    fn topics(&self, names: Option<Vec<String>>) -> Vec<Topic> {
        let last = self.ready.last_key_value().map_or(0, |(&d, _)| d as usize + 1);
        let partitions: Vec<bool> =
            (0..last).map(|d| self.ready.get(&(d as u32)).is_some_and(|&n| n > 0)).collect();
        let known = |name: &String| self.set.class(name).is_some();
        let names = names.unwrap_or_else(|| self.set.classes.iter().map(|c| c.name.clone()).collect());
        let topic = |name: String| {
            let known = known(&name);
            Topic { known, partitions: if known { partitions.clone() } else { Vec::new() }, name }
        };
        names.into_iter().map(topic).collect()
    }

    fn produce(&mut self, id: ClientId, correlation: i32, version: i16, p: Produce) {
        let request = self.intake.clients.get(&id).map_or(0, Client::next_request);
        let mut due = Time::MAX;
        let mut parts = Vec::new();
        for (n, part) in p.parts.into_iter().enumerate() {
            let place = Place { client: id, request, part: n as u32, record: 0 };
            let (topic, partition) = (part.topic, part.partition);
            let turned_down = |code: i16, text: &str| {
                let (topic, text) = (topic.clone(), Some(text.to_owned()));
                Part::Known(PartitionResult {
                    topic,
                    partition,
                    code,
                    offset: -1,
                    text,
                    ..PartitionResult::default()
                })
            };
            let class = self.set.class(&topic);
            let destination = u32::try_from(partition).ok().filter(|d| self.ready.contains_key(d));
            let taken = match (part.records, class, destination) {
                _ if !matches!(p.acks, -1 | 1) => {
                    turned_down(codes::INVALID_REQUIRED_ACKS, "acks must be all or 1")
                }
                _ if p.transactional => {
                    turned_down(codes::TRANSACTIONAL_ID_AUTHORIZATION_FAILED, "transactions are not offered")
                }
                (Err(code), ..) => turned_down(code, "the batch cannot be read"),
                (_, None, _) => turned_down(codes::UNKNOWN_TOPIC_OR_PARTITION, "no class has this name"),
                (_, _, None) => {
                    turned_down(codes::UNKNOWN_TOPIC_OR_PARTITION, "the list has no such destination")
                }
                (Ok(records), Some(class), Some(destination)) => {
                    self.take(place, (topic, partition), class, destination, records, &mut due)
                }
            };
            parts.push(taken);
        }
        self.intake.waits(id, correlation, version, parts, due);
    }

    /// Takes the records of a partition: all, or none.
    fn take(
        &mut self,
        place: Place,
        (topic, partition): (String, i32),
        class: u8,
        destination: u32,
        records: Vec<Record>,
        due: &mut Time,
    ) -> Part {
        let read: Vec<Result<(age::Read, u32), String>> =
            records.iter().map(|r| self.headers(class, r)).collect();
        if read.iter().any(Result::is_err) {
            let said = |(n, r): (usize, &Result<(age::Read, u32), String>)| {
                r.as_ref().err().map(|e| (n as i32, e.clone()))
            };
            return Part::Known(PartitionResult {
                topic,
                partition,
                code: codes::INVALID_RECORD,
                offset: -1,
                records: read.iter().enumerate().filter_map(said).collect(),
                text: Some("nothing of this batch was taken".into()),
            });
        }
        // Also what is turned away unseen has its answer in time, whatever stands before it on its connection.
        let least = read.iter().flatten().map(|r| r.0.due).min();
        *due = least.map_or(*due, |at| at.min(*due));
        for (age, _) in read.iter().flatten() {
            self.out_of_time += u64::from(age.due <= self.now);
            self.clocks_ahead += u64::from(age.ahead);
        }
        let (held, most) = (self.set.limits.held as usize, self.set.limits.held_bytes);
        let bytes: usize = records.iter().map(Record::size).sum();
        if records.len() > held || bytes > most {
            let text = Some(format!("a batch holds at most {held} records and {most} bytes here"));
            let code = codes::MESSAGE_TOO_LARGE;
            return Part::Known(PartitionResult {
                topic,
                partition,
                code,
                offset: -1,
                text,
                ..PartitionResult::default()
            });
        }
        let full = self.open + records.len() > held || self.held_bytes + bytes > most;
        if full || self.draining.is_some() {
            let why = if full { RejectionReason::Overloaded } else { RejectionReason::Draining };
            for _ in &records {
                self.counts[usize::from(class)].turned_away += 1;
                self.facts.push(DeliveryEvent::Rejected { class, destination, reason: why });
            }
            let come_back = self.set.allow.come_back_ms * 1_000_000;
            let ends = vec![Some(RecordEnd::Refused { come_back, unseen: true }); records.len()];
            return Part::Open { topic, partition, messages: vec![None; ends.len()], ends };
        }
        let mut messages = Vec::new();
        for (n, (record, read)) in records.into_iter().zip(read).enumerate() {
            let Ok((age, tenant)) = read else { continue };
            let place = Place { record: n as u32, ..place };
            messages.push(Some(self.take_one(place, class, destination, record, age.due, tenant)));
        }
        Part::Open { topic, partition, ends: vec![None; messages.len()], messages }
    }

    /// When its time is up, and its tenant, from what a record says.
    fn headers(&self, class: u8, r: &Record) -> Result<(age::Read, u32), String> {
        let text = |name: &str| r.header(name).map(|v| String::from_utf8_lossy(v).into_owned());
        let millis = |name: &str, what: &str| match text(name) {
            None => Ok(None),
            Some(t) => match t.parse::<u64>() {
                Ok(ms) => Ok(Some(ms.saturating_mul(1_000_000))),
                Err(_) => Err(format!("header {name}: `{t}` is no whole number of milliseconds{what}")),
            },
        };
        let made = u64::try_from(r.timestamp).ok().filter(|&ms| ms > 0);
        let said = age::Said {
            left: millis("deadline-ms", "")?,
            until: millis("deadline-at-ms", " since 1970")?,
            made: made.map(|ms| ms.saturating_mul(1_000_000)),
        };
        let clocks =
            Clocks { apart: self.set.clocks.apart_ms * 1_000_000, record_time: self.set.clocks.record_time };
        let now = age::Now { clock: self.now, wall: self.wall, since: self.since };
        let age = age::read(clocks, now, said, self.set.classes[usize::from(class)].deadline());
        let tenant = match text("tenant") {
            Some(t) if !self.set.tenants.is_empty() => {
                match self.set.tenants.iter().position(|x| x.name == t) {
                    Some(n) => n as u32,
                    None => return Err(format!("header tenant: `{t}` is not in the settings")),
                }
            }
            _ => 0,
        };
        Ok((age, tenant))
    }

    fn take_one(
        &mut self,
        place: Place,
        class: u8,
        destination: u32,
        mut record: Record,
        due: Time,
        tenant: u32,
    ) -> u32 {
        let id = self.numbers.give(|n| self.held.contains_key(&n));
        let name = record.header("message-id").cloned().unwrap_or_else(|| {
            self.named += 1;
            let name = Bytes::from(format!("{}/{:x}/{}", self.set.courier.me, self.start.run, self.named));
            record.headers.push(("message-id".into(), Some(name.clone())));
            name
        });
        let key = match &record.key {
            Some(key) if !key.is_empty() => {
                let mut h = DefaultHasher::new();
                key.hash(&mut h);
                h.finish().max(1)
            }
            _ => 0,
        };
        let bytes = record.size();
        self.open += 1;
        self.held_bytes += bytes;
        let taken = self.now;
        let held = Held {
            place,
            class,
            destination,
            record,
            bytes,
            taken,
            due,
            attempts: 0,
            live: 0,
            ran: false,
            over: false,
        };
        self.held.insert(id, held);
        self.counts[usize::from(class)].taken += 1;
        self.facts.push(DeliveryEvent::Accepted { message: id, name, class, destination, deadline: due });
        let time_left = due.saturating_sub(self.now);
        self.events.push(Event::Accepted(AcceptedMessage {
            id,
            destination,
            class,
            time_remaining: time_left,
            ordering_key: key,
            tenant,
        }));
        id
    }

    /// Writes the answers of a client that may be written now.
    fn answer(&mut self, id: ClientId) {
        for response in self.intake.ready(id) {
            self.out.push(Output::ToClient(id, response));
        }
        if self.intake.clients.get(&id).is_some_and(|c| c.half_closed && c.waiting() == 0) {
            self.out.push(Output::CloseClient(id));
            self.intake.gone(id);
        }
    }

    // ---- Messages

    /// The message has its answer, or nobody waits for one.
    fn close_message(&mut self, message: u32) {
        let Some(m) = self.held.get_mut(&message).filter(|m| !m.over) else { return };
        m.over = true;
        self.open -= 1;
        self.held_bytes -= m.bytes;
        m.record = Record::default();
        if m.live == 0 {
            self.held.remove(&message);
        }
    }

    fn finish(&mut self, message: u32, answer: FinalAnswer) {
        let left = self.delivery.has_left(message);
        let Some(m) = self.held.get(&message).filter(|m| !m.over) else { return };
        let after = self.now - m.taken;
        let counts = &mut self.counts[usize::from(m.class)];
        let end = match answer {
            FinalAnswer::Served => {
                counts.served += 1;
                counts.in_aim +=
                    u64::from(after <= self.set.classes[usize::from(m.class)].aim_ms * 1_000_000);
                RecordEnd::Served
            }
            FinalAnswer::Rejected { retry_after: come_back } => {
                counts.refused += 1;
                RecordEnd::Refused { come_back, unseen: !m.ran && !left }
            }
            FinalAnswer::Failed => {
                counts.failed += 1;
                RecordEnd::Failed
            }
        };
        let place = m.place;
        let (class, destination) = (m.class, m.destination);
        self.facts.push(DeliveryEvent::Completed { message, class, destination, answer, elapsed: after });
        self.close_message(message);
        self.intake.ended(place, end);
        self.answer(place.client);
        if self.intake.clients.get(&place.client).is_some_and(|c| c.paused) {
            self.client_frames(place.client);
        }
    }

    /// Ends a message without the library, which is told that the client has gone: it is not waited for any
    /// longer because an answer behind it on its connection is due, or because the program ends.
    fn force(&mut self, message: u32) {
        let Some(m) = self.held.get(&message).filter(|m| !m.over) else { return };
        let repeat = self.repeats[usize::from(m.class)];
        let harmless = matches!(repeat, Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. });
        let answer = match harmless || !(m.ran || self.delivery.has_left(message)) {
            true => FinalAnswer::Rejected { retry_after: 0 },
            false => FinalAnswer::Failed,
        };
        self.events.push(Event::ClientCancelled { message });
        self.finish(message, answer);
    }

    // ---- Endpoints

    /// The connection is there.
    pub fn upstream_connected(&mut self, link: UpstreamId) {
        self.delivery.connected(link);
    }

    /// The connection could not be made.
    pub fn upstream_connect_failed(&mut self, link: UpstreamId) {
        self.delivery.failed(link);
    }

    /// The other side closed the connection, or it broke, after the system took `written` bytes of ours.
    pub fn upstream_disconnected(&mut self, link: UpstreamId, written: u64) {
        self.delivery.down(link, written);
    }

    /// Bytes came from an endpoint.
    pub fn upstream_received(&mut self, link: UpstreamId, bytes: &[u8]) {
        let (held, list, waits, now, set) = (&self.held, &self.list, &self.waits, self.now, &self.set);
        let may = |message: u32, endpoint: u32| {
            let open = held.get(&message).is_some_and(|m| !m.over && m.due > now);
            let entry = list.entries.get(&endpoint).filter(|e| e.state == EntryState::Ready);
            let told = entry.and_then(|e| waits.get(&limit_of(set, e)));
            open && entry.is_some() && told.is_none_or(|&until| until <= now)
        };
        self.delivery.bytes(link, bytes, &may);
        self.outcomes();
    }

    /// Hands the ends of attempts on.
    fn outcomes(&mut self) {
        for (endpoint, why) in std::mem::take(&mut self.delivery.faults) {
            self.facts
                .push(DeliveryEvent::ProtocolViolation { peer: format!("endpoint {endpoint}"), reason: why });
        }
        for d in std::mem::take(&mut self.delivery.late) {
            let AttemptOutcome::Rejected { retry_after: wait } = d.ending else { continue };
            self.told_wait(d.endpoint, wait);
            let (left, limit) = (d.load.map(|l| l.capacity_left), d.load.map(|l| l.rate_limit));
            let (message, attempt, endpoint, ending) = (d.message, d.attempt, d.endpoint, d.ending);
            let took = self.now.saturating_sub(d.sent);
            let over = true;
            let told = AttemptResult {
                message,
                attempt,
                endpoint,
                outcome: ending,
                elapsed: took,
                completed: over,
                capacity_left: left,
                rate_limit: limit,
            };
            self.events.push(Event::AttemptFinished(told));
        }
        while !self.delivery.done.is_empty() {
            for done in std::mem::take(&mut self.delivery.done) {
                self.outcome(done);
            }
        }
    }

    fn outcome(&mut self, d: Done) {
        let took = self.now.saturating_sub(d.sent);
        let (message, attempt, endpoint, ending) = (d.message, d.attempt, d.endpoint, d.ending);
        if let Some(m) = self.held.get(&message) {
            let (class, destination) = (m.class, m.destination);
            let load =
                d.load.map(|l| LoadReport { capacity_left: l.capacity_left, rate_limit: l.rate_limit });
            self.facts.push(DeliveryEvent::AttemptFinished {
                message,
                attempt,
                class,
                destination,
                endpoint,
                outcome: ending,
                elapsed: took,
                load,
            });
        }
        if let AttemptOutcome::Rejected { retry_after: wait } = ending {
            self.told_wait(endpoint, wait);
        }
        if ending == AttemptOutcome::Served {
            self.finish(message, FinalAnswer::Served);
        }
        let mut over = true;
        if let Some(m) = self.held.get_mut(&message) {
            m.live = m.live.saturating_sub(1);
            let never = ending.not_executed();
            m.ran |= !never;
            over = m.over;
            if m.over && m.live == 0 {
                self.held.remove(&message);
            }
        }
        let (left, limit) = (d.load.map(|l| l.capacity_left), d.load.map(|l| l.rate_limit));
        self.events.push(Event::AttemptFinished(AttemptResult {
            message,
            attempt,
            endpoint,
            outcome: ending,
            elapsed: took,
            completed: over,
            capacity_left: left,
            rate_limit: limit,
        }));
    }

    fn told_wait(&mut self, endpoint: u32, wait: Time) {
        let Some(&limit) = self.limits.get(&endpoint).filter(|_| wait > 0) else { return };
        let until = self.waits.entry(limit).or_default();
        *until = (*until).max(self.now + wait);
    }

    // ---- A turn

    /// When the next turn is wanted at the latest.
    pub fn next_wakeup(&self) -> Time {
        let round = if self.events.is_empty() { self.wake } else { 0 };
        let round = if round == Time::MAX { round } else { round.max(self.last_round + self.tick) };
        let cut = self.intake.next_cut().map_or(Time::MAX, |at| at.saturating_sub(self.tick));
        let timer = self.delivery.next_timer().unwrap_or(Time::MAX);
        round.min(cut).min(timer).min(self.draining.filter(|_| self.open > 0).unwrap_or(Time::MAX))
    }

    /// Ends what is out of time, and lets the library decide on all that came.
    pub fn process(&mut self, now: Time) {
        self.clock(now);
        self.delivery.expire();
        self.outcomes();
        let wanted = !self.events.is_empty() || self.wake <= self.now;
        if wanted && self.now >= self.last_round + self.tick {
            self.round();
        }
        for message in self.intake.overdue(self.now + self.tick) {
            self.force(message);
        }
        if self.draining.is_some_and(|by| by <= self.now) {
            let open: Vec<u32> = self.held.iter().filter(|(_, m)| !m.over).map(|(&id, _)| id).collect();
            open.into_iter().for_each(|m| self.force(m));
        }
    }

    fn round(&mut self) {
        let now = self.now;
        self.last_round = now;
        self.rounds += 1;
        self.waits.retain(|_, until| *until > now);
        if self.wake <= now {
            self.wake = Time::MAX;
            self.events.push(Event::WokenUp);
        }
        for action in self.courier.decide(now, std::mem::take(&mut self.events)) {
            self.act(action);
        }
        let entries = &self.list.entries;
        self.delivery.depart(|endpoint| entries.get(&endpoint).map(|e| e.address));
        self.outcomes();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { message, endpoint, until } => self.send(message, endpoint, until),
            Action::Cancel { message, attempt } => self.delivery.cancel(message, attempt),
            Action::Reject { message, retry_after: come_back } => {
                self.finish(message, FinalAnswer::Rejected { retry_after: come_back })
            }
            Action::Fail { message } => self.finish(message, FinalAnswer::Failed),
            Action::CloseIdle { endpoint } => self.delivery.close_idle(endpoint),
            Action::WakeUp { at } => self.wake = at,
            Action::LimitChanged(change) => self.facts.push(DeliveryEvent::LimitChanged(change)),
            // The settings turn down what would make these come; should one come all the same, it is said.
            other @ (Action::HealthCheck { .. } | Action::Gossip { .. } | Action::WatchEndpoints) => {
                self.facts.push(DeliveryEvent::UnsupportedAction(other));
            }
        }
    }

    fn send(&mut self, message: u32, endpoint: u32, until: Time) {
        let Some(m) = self.held.get_mut(&message) else { return };
        let (attempt, copy) = (m.attempts, m.live > 0);
        m.attempts += 1;
        m.live += 1;
        self.attempts += 1;
        let (class, destination) = (m.class, m.destination);
        self.facts.push(DeliveryEvent::AttemptStarted {
            message,
            attempt,
            class,
            destination,
            endpoint,
            hedge: copy,
        });
        let entry = self.list.entries.get(&endpoint);
        let kind = entry.and_then(|e| self.set.kinds.iter().find(|k| k.name == e.kind));
        let (Some(kind), false) = (kind, m.over || u32::from(attempt) >= self.set.limits.attempts) else {
            self.delivery.not_sent(message, attempt, endpoint, false);
            return;
        };
        let until = if until == 0 { m.due } else { until.min(m.due) };
        let record = m.record.clone();
        // The library answers two ticks before the time is up and must have heard of this before.
        let leave_by = m.due.saturating_sub(4 * self.tick);
        let (topic, destination) = (m.class, m.destination);
        let parcel = Parcel { message, attempt, topic, destination, record, until, leave_by };
        self.delivery.send(endpoint, parcel, kind.per_call as usize);
    }

    /// Takes over what delivery wants done.
    fn fetch(&mut self) {
        self.out.extend(self.delivery.todo.drain(..).map(|d| match d {
            Do::Connect(link, addr) => Output::Connect(link, addr),
            Do::Write(link, bytes) => Output::ToUpstream(link, bytes),
            Do::Close(link) => Output::CloseUpstream(link),
        }));
    }

    // ---- The end

    /// Takes nothing new from now on. What is still held at `by` ends then, by its class's rules.
    pub fn begin_drain(&mut self, by: Time) {
        self.draining = Some(self.draining.map_or(by, |at| at.min(by)));
    }

    /// Nothing is owed any more.
    pub fn is_done(&self) -> bool {
        self.open == 0 && self.intake.clients.values().all(|c| c.waiting() == 0)
    }
}

/// The limit that a send to this endpoint comes under: its own where routes are apart, else its destination's.
fn limit_of(set: &Settings, e: &EndpointEntry) -> (bool, u32) {
    let apart = set.kinds.iter().any(|k| k.name == e.kind && k.routes_apart);
    if apart {
        (true, e.id)
    } else {
        (false, e.destination)
    }
}
