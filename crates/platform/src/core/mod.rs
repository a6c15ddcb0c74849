//! The courier without its sockets, files and clock.
//!
//! Inputs may come in any number before a [`Core::turn`]; the turn hands all of them to the decision library at
//! once and carries out what it decides. Its records go to the journal before any of its outputs leave.

mod agent;
mod calls;
mod clients;
mod directory;
mod intake;
mod trust;

pub use calls::LinkId;
pub use clients::ClientId;

use crate::config::{Config, News};
use crate::records::{digest, Attempt, End, Known, Message, Owed, Record, Replay};
use agent::{Need, Notices, Watch};
use bytes::Bytes;
use calls::{Begin, CallId, Done, Links};
use clients::{Clients, Step};
use directory::Directory;
use intake::Handed;
use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Dispatcher, EndpointStatus, Event, Time,
    UnresolvedAttempt,
};
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_http::encode_response;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

const MS: Time = 1_000_000;
/// How often connections of clients are looked through.
const LOOK_THROUGH: Time = 100 * MS;
/// After the signal to end, connections of clients go on for this long.
const GO_ON: Time = 500 * MS;
/// No round is played, so no call begun, later than this after the signal.
const LAST_ROUND: Time = 2700 * MS;
/// And nothing is waited for later than this.
const LAST_ANSWER: Time = 3400 * MS;
/// The first round waits for discovery's first word, which counts as told before it is heard, but no longer than
/// this: the agent answers at once or is silent, and clients wait 400 ms for their answers.
const FIRST_WORD: Time = 200 * MS;
/// Descriptors that are neither clients' nor endpoints': listener, loop, signals, discovery, journal, logs.
const OTHER_FILES: usize = 24;
/// Part of the journal's room that messages on hand may take: the old file, the new one and growth need the rest.
const HOLD_PART: u64 = 5;
/// And part that what is remembered of messages that are over may take, in records of so many bytes.
const KNOWN_PART: u64 = 20;
const KNOWN_BYTES: u64 = 40;

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ClientId, Bytes),
    /// Close a client's connection when what was written to it has left.
    CloseClient(ClientId),
    /// Connect.
    Connect(LinkId, SocketAddr),
    /// Write to an endpoint or to discovery.
    ToLink(LinkId, Bytes),
    /// Close a connection of ours at once.
    CloseLink(LinkId),
    /// Send no more on a connection of ours, and read on.
    EndSending(LinkId),
    /// Take no more connections.
    Unlisten,
}

/// A message that is not over, or has attempts out, or whose end the platform has not heard of.
#[derive(Debug)]
struct Held {
    owed: Owed,
    /// Bytes that it takes in the journal.
    size: u64,
    due: Time,
    live: u16,
    /// It has its final answer.
    over: bool,
    /// That was to hand it back: whoever comes with it again is welcome.
    returned: bool,
}

impl Held {
    fn id(&self) -> Cow<'_, str> {
        self.owed.message.id()
    }
}

/// An attempt out.
#[derive(Debug)]
struct Call {
    endpoint: u32,
    began: Time,
    until: Time,
    /// It waits for the notice on another message of its key, and has no connection yet.
    waits: bool,
}

/// Figures for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages taken on, handed back at once, refused as unusable.
    pub taken: u64,
    /// Handed back without being taken on.
    pub refused: u64,
    /// Requests that are none.
    pub unusable: u64,
    /// Calls whose bytes were queued.
    pub calls: u64,
    /// Calls by ending: served, error, full, timed out, no connection, reset, cancelled, not sent.
    pub endings: [u64; 8],
    /// Connections made to endpoints.
    pub connects: u64,
    /// Notices: failed, returned.
    pub notices: [u64; 2],
    /// Messages of an earlier process: found; of them surely never run; of those called, given up uncalled.
    pub resumed: [u64; 4],
}

/// The courier.
pub struct Core {
    site: DeploymentSettings,
    courier: Dispatcher,
    discovery: SocketAddr,
    now: Time,
    /// Wall clock minus clock.
    wall: Time,
    clients: Clients,
    half_closed: Vec<ClientId>,
    links: Links,
    directory: Directory,
    watch: Watch,
    watch_link: Option<LinkId>,
    notices: Notices,
    notice_link: Option<LinkId>,
    next_link: LinkId,
    next_message: u32,
    held: BTreeMap<u32, Held>,
    ids: HashMap<Vec<u8>, u32>,
    held_bytes: u64,
    most_bytes: u64,
    /// Messages that are over and may come once more under their ids, by when their time is up.
    over: BTreeSet<(Time, u64)>,
    /// Messages of an earlier process that the library has not been told of.
    found: Vec<u32>,
    /// Messages of an earlier process that have surely never run, and were not called in this one either.
    untried: BTreeSet<u32>,
    known: HashMap<u64, Known>,
    most_known: usize,
    /// Messages handed in since the last round, and who waits for what it makes of them; with whether the
    /// connection is to end then.
    fresh: BTreeMap<u32, Vec<(ClientId, bool)>>,
    calls: BTreeMap<CallId, Call>,
    /// Connections that came up since the last turn, each for a call.
    up: Vec<LinkId>,
    /// Messages whose notices are not answered, by key.
    telling: BTreeMap<u64, BTreeSet<u32>>,
    /// Until when keys rest. The library keeps to it; after a restart it does not know.
    rests: BTreeMap<u64, Time>,
    events: Vec<Event>,
    records: Vec<Record>,
    outputs: Vec<Output>,
    round_at: Time,
    /// No round before this, as long as discovery has said nothing.
    first_round: Time,
    look_at: Time,
    ending: Option<Time>,
    ended: bool,
    unlistened: bool,
    /// The journal takes nothing more: nothing may begin that depends on it.
    broken: bool,
    counts: Counts,
    lines: Vec<String>,
}

impl Core {
    /// A courier that goes on from what the journal holds. `wall` is the wall clock at `now`.
    pub fn new(config: Config, replay: Replay, now: Time, wall: Time) -> Core {
        let room = (config.limits.disk_mb * 1e6) as u64;
        let sockets = config.limits.sockets.saturating_sub(OTHER_FILES);
        let most_links = sockets - sockets / 2;
        // Slots that there are no descriptors for are none.
        let mut settings = config.site.settings.clone();
        settings.max_in_flight_calls = settings.max_in_flight_calls.min(most_links as u32);
        let mut core = Core {
            clients: Clients::new(sockets / 2),
            half_closed: vec![],
            links: Links::new(most_links, &config.site),
            courier: Dispatcher::new(settings, config.seed),
            discovery: config.discovery,
            site: config.site,
            now,
            wall: wall.saturating_sub(now),
            directory: Directory::default(),
            watch: Watch::new(),
            watch_link: None,
            notices: Notices::new(),
            notice_link: None,
            next_link: 1,
            next_message: replay.next,
            held: BTreeMap::new(),
            ids: HashMap::new(),
            held_bytes: 0,
            most_bytes: room / HOLD_PART,
            over: BTreeSet::new(),
            found: vec![],
            untried: BTreeSet::new(),
            known: HashMap::new(),
            most_known: (room / KNOWN_PART / KNOWN_BYTES) as usize,
            fresh: BTreeMap::new(),
            calls: BTreeMap::new(),
            up: vec![],
            telling: BTreeMap::new(),
            rests: BTreeMap::new(),
            events: vec![],
            records: vec![],
            outputs: vec![],
            round_at: now,
            first_round: now + FIRST_WORD,
            look_at: now,
            ending: None,
            ended: false,
            unlistened: false,
            broken: false,
            counts: Counts::default(),
            lines: vec![],
        };
        let known = News { snapshot: true, ..config.known };
        core.news(known);
        replay.known.into_iter().for_each(|known| core.remember(known));
        // The endpoint may have seen the end of such a call only as the process died: from here on once more.
        let rests = replay.rests.into_iter().filter(|r| r.1 > wall);
        rests.for_each(|(line, _)| core.rest(line));
        for (number, owed) in replay.owed {
            core.resume(number, owed);
        }
        core
    }

    /// The journal's records that come to what is held: all that a new file of it needs.
    pub fn snapshot(&self) -> Vec<Record> {
        let open = self.held.iter().filter(|(_, h)| h.owed.end != Some(End::Delivered));
        let names =
            Record::Names { classes: self.site.class_names.clone(), zones: self.site.zone_names.clone() };
        let known = self.over.iter().filter_map(|(_, id)| self.known.get(id).copied().map(Record::Known));
        let open = open.flat_map(|(&number, h)| h.owed.records(number));
        let rests = self.rests.iter().filter(|r| *r.1 > self.now);
        let rests = rests.map(|(&line, until)| Record::Rests { line, until: until + self.wall });
        [names].into_iter().chain(known).chain(rests).chain(open).collect()
    }

    /// Records since the last time; to be written before the outputs are carried out.
    pub fn records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// What is to be done.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Lines for the log.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// Figures for the log.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Messages held, notices not answered, endpoints, connections of clients, connections to endpoints, calls out.
    pub fn sizes(&self) -> [usize; 6] {
        let (links, calls) = self.links.len();
        [self.held.len(), self.notices.len(), self.directory.len(), self.clients.len(), links, calls]
    }

    /// Nothing more is to be waited for: the program may end.
    pub fn is_done(&self) -> bool {
        self.ended
    }

    /// When the next turn is due at the latest.
    pub fn next_turn(&self) -> Time {
        let listens = self.listens();
        if !self.events.is_empty() && !listens {
            return self.now;
        }
        let round_at = if listens { self.first_round } else { self.round_at };
        let mut at = round_at.min(self.look_at).min(self.links.wake());
        at = at.min(self.watch.wake()).min(self.notices.wake());
        if self.calls.values().any(|c| c.waits) {
            let rests = self.rests.values().copied().filter(|&until| until > self.now);
            at = rests.fold(at, Time::min);
        }
        self.calls.values().map(|c| c.until).fold(at, Time::min)
    }

    /// What it knows of the list is of the process before, and discovery may have told more since.
    fn listens(&self) -> bool {
        self.now < self.first_round && !self.watch.has_told()
    }

    // ---- Inputs

    /// The clock; to be told before the inputs that came by then.
    pub fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// A client connected.
    pub fn client_opened(&mut self, id: ClientId) {
        if let Some(goes) = self.clients.opened(id, self.now) {
            self.outputs.push(Output::CloseClient(goes));
        }
    }

    /// A client sent bytes.
    pub fn client_bytes(&mut self, id: ClientId, bytes: &[u8]) {
        if self.clients.bytes(id, bytes, self.now) {
            self.step(id);
        }
    }

    /// A client sends no more; what it asked before is answered in this turn.
    pub fn client_half_closed(&mut self, id: ClientId) {
        self.half_closed.push(id);
    }

    /// A client is gone.
    pub fn client_gone(&mut self, id: ClientId) {
        self.clients.gone(id);
    }

    /// A connection of ours is there.
    pub fn link_up(&mut self, id: LinkId) {
        if self.watch_link == Some(id) {
            tracing::debug!(since = self.directory.since(), "watch");
            let ask = self.watch.up(self.now, self.discovery, self.directory.since());
            self.outputs.push(Output::ToLink(id, ask.into()));
        } else if self.notice_link == Some(id) {
            self.notices.up();
        } else {
            self.up.push(id);
        }
    }

    /// A connection of ours could not be made.
    pub fn link_failed(&mut self, id: LinkId) {
        if !self.agent_down(id) {
            let done = self.links.failed(id);
            done.into_iter().for_each(|done| self.done(done));
        }
    }

    /// A connection of ours ended; the system took so many bytes of ours on it.
    pub fn link_down(&mut self, id: LinkId, written: u64) {
        if !self.agent_down(id) {
            let done = self.links.down(id, written, self.now);
            done.into_iter().for_each(|done| self.done(done));
        }
    }

    /// Bytes came on a connection of ours.
    pub fn link_bytes(&mut self, id: LinkId, bytes: &[u8]) {
        if self.watch_link == Some(id) {
            let (news, bad) = self.watch.bytes(self.now, bytes);
            news.into_iter().for_each(|news| self.news(news));
            if let Some(bad) = bad {
                self.lines.push(format!("discovery: {bad}; the watch begins anew"));
                self.outputs.push(Output::CloseLink(id));
                self.agent_down(id);
            }
        } else if self.notice_link == Some(id) {
            match self.notices.bytes(bytes) {
                Ok((told, taken)) => told.into_iter().for_each(|message| {
                    if let Some(h) = self.held.get(&message).filter(|_| !taken) {
                        let line = format!("discovery does not take the notice on {}; it is dropped", h.id());
                        self.lines.push(line);
                    }
                    self.told(message);
                }),
                Err(why) => {
                    self.lines.push(format!("discovery: notices were answered with {why}; they go again"));
                    self.outputs.push(Output::CloseLink(id));
                    self.agent_down(id);
                }
            }
        } else {
            let done = self.links.bytes(id, bytes, self.now, &self.site);
            done.into_iter().for_each(|done| self.done(done));
        }
    }

    fn agent_down(&mut self, id: LinkId) -> bool {
        if self.watch_link == Some(id) {
            self.watch_link = None;
            self.watch.down(self.now);
        } else if self.notice_link == Some(id) {
            self.notice_link = None;
            self.notices.down(self.now);
        } else {
            return false;
        }
        true
    }

    /// Discovery is elsewhere now.
    pub fn discovery_at(&mut self, address: SocketAddr) {
        if address == self.discovery {
            return;
        }
        self.discovery = address;
        for link in [self.watch_link.take(), self.notice_link.take()].into_iter().flatten() {
            self.outputs.push(Output::CloseLink(link));
        }
        self.watch.anew();
        self.notices.anew();
    }

    /// The process is to end soon.
    pub fn end(&mut self) {
        self.ending.get_or_insert(self.now);
    }

    /// The journal takes nothing more, or takes records again.
    pub fn journal_broken(&mut self, broken: bool) {
        self.broken = broken;
    }

    fn news(&mut self, news: News) {
        let (index, whole, entries) = (news.index, news.snapshot, news.endpoints.len());
        tracing::debug!(index, whole, entries, "list");
        let (event, stale) = self.directory.take(&news, &self.site, self.now);
        self.events.push(event);
        stale.into_iter().for_each(|endpoint| self.links.close_idle(endpoint));
    }

    // ---- A turn

    /// Plays a round of the library with all that came, and carries out what it decides.
    pub fn turn(&mut self, now: Time) {
        self.clock(now);
        let now = self.now;
        for done in self.links.overdue(now) {
            self.done(done);
        }
        let late: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| c.until <= now).map(|(&id, _)| id).collect();
        late.into_iter().for_each(|call| self.give_up(call, AttemptOutcome::TimedOut));
        // What clients ask waits for the round that can say what becomes of it.
        let listens = self.listens();
        if !listens {
            self.clients.fresh().into_iter().for_each(|id| self.step(id));
        }
        let playing = self.ending.is_none_or(|since| now < since + LAST_ROUND);
        if playing && !listens && (self.round_at <= now || !self.events.is_empty()) {
            // A wake-up that is still to come stays: the library does not ask for it again.
            if self.round_at <= now {
                self.round_at = Time::MAX;
            }
            let mut events = std::mem::take(&mut self.events);
            // Behind the list, before all that is new; their times run while the first round waits.
            let found = std::mem::take(&mut self.found);
            events.splice(
                events.len().min(1)..events.len().min(1),
                found.into_iter().filter_map(|n| self.resumed(n)),
            );
            let actions = self.courier.decide(now, events);
            self.answer_fresh(&actions);
            for action in actions {
                self.act(action);
            }
        } else if !playing {
            self.round_at = Time::MAX;
            self.events.clear();
            self.answer_fresh(&[]);
            // What has no connection yet is for the next process: nothing begins that cannot end.
            let unsent: Vec<CallId> =
                self.calls.keys().copied().filter(|&id| !self.links.is_out(id)).collect();
            unsent.into_iter().for_each(|id| self.give_up(id, AttemptOutcome::Cancelled));
        }
        self.go_on();
        if !listens {
            std::mem::take(&mut self.half_closed).into_iter().for_each(|id| self.close(id));
        }
        self.agents();
        self.look_through();
        self.close_links();
        if let Some(since) = self.ending {
            let idle = self.calls.is_empty() && self.notices.len() == 0;
            self.ended = since + LAST_ANSWER <= now || (since + LAST_ROUND <= now && idle);
        }
    }

    /// Connections that were given up close before the calls of this turn leave, so that their slots are free by
    /// then. One that was only asked for in this turn is not made.
    fn close_links(&mut self) {
        let given_up = self.links.given_up();
        self.outputs.splice(0..0, given_up.into_iter().map(Output::EndSending));
        let closed = self.links.closed();
        if closed.is_empty() {
            return;
        }
        let unmade = |o: &Output| matches!(o, Output::Connect(link, _) if closed.contains(link));
        self.outputs.retain(|o| !unmade(o));
        self.outputs.splice(0..0, closed.into_iter().map(Output::CloseLink));
    }

    fn agents(&mut self) {
        let now = self.now;
        match self.watch.need(now) {
            Need::Nothing => {}
            Need::Connect => self.watch_link = Some(self.connect(self.discovery)),
            Need::Close => {
                self.lines.push("discovery: the watch is silent and begins anew".into());
                let link = self.watch_link.take();
                self.outputs.extend(link.map(Output::CloseLink));
            }
        }
        match self.notices.need(now) {
            Need::Nothing => {}
            Need::Connect => self.notice_link = Some(self.connect(self.discovery)),
            Need::Close => {
                self.lines.push("discovery: notices are not answered and go again".into());
                let link = self.notice_link.take();
                self.outputs.extend(link.map(Output::CloseLink));
            }
        }
        if let (Some(link), Some(ask)) = (self.notice_link, self.notices.ask(now, self.discovery)) {
            self.outputs.push(Output::ToLink(link, ask.into()));
        }
    }

    fn connect(&mut self, address: SocketAddr) -> LinkId {
        let link = self.link();
        self.outputs.push(Output::Connect(link, address));
        link
    }

    fn link(&mut self) -> LinkId {
        self.next_link += 1;
        self.next_link
    }

    fn look_through(&mut self) {
        let now = self.now;
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK_THROUGH;
        let leaving = self.ending.is_some_and(|since| since + GO_ON <= now);
        for (id, asking) in self.clients.overdue(now, leaving) {
            if asking {
                self.refuse(id, 408, "the request did not come in time");
            } else {
                self.close(id);
            }
        }
        if leaving && !std::mem::replace(&mut self.unlistened, true) {
            self.outputs.push(Output::Unlisten);
        }
    }

    fn close(&mut self, id: ClientId) {
        self.clients.gone(id);
        self.outputs.push(Output::CloseClient(id));
    }

    // ---- Taking on

    /// Acts on what a client sent. A message waits for the round.
    fn step(&mut self, id: ClientId) {
        let request = match self.clients.step(id) {
            Step::Wait => return,
            Step::Bad(refusal) => {
                self.refuse(id, refusal.status(), &refusal.to_string());
                return;
            }
            Step::Rude => {
                self.refuse(id, 400, "one request at a time");
                return;
            }
            Step::Request(request) => request,
        };
        if request.path() == b"/ready" && request.method() == b"GET" {
            let last = request.last;
            self.answer(id, 200, &[], b"", last);
            return;
        }
        let (body, last) = (request.body().to_vec(), request.last);
        match intake::read(&request, &self.site) {
            Err((status, why)) => self.refuse(id, status, why),
            Ok(handed) => self.take(id, handed, body, last),
        }
    }

    fn take(&mut self, client: ClientId, handed: Handed, body: Vec<u8>, last: bool) {
        if !self.directory.has_destination(handed.destination) {
            self.refuse(client, 404, "there is no such destination");
            return;
        }
        let Handed { id, token, class, destination, line, left } = handed;
        let due = self.clients.came(client).unwrap_or(self.now) + left;
        let message = Message { id, token, class, destination, line, due: due + self.wall, body };
        if let Some(known) = self.known.get(&digest(&[&message.id])) {
            // Its time counts anew when it comes again; all else has to be the same.
            match known.content == message.known().content {
                true => self.answer(client, 202, &[], b"", last),
                false => self.refuse(client, 409, "this id was another message's"),
            }
            return;
        }
        if let Some(&number) = self.ids.get(&message.id) {
            let same = self.held.get(&number).is_some_and(|h| {
                let m = &h.owed.message;
                (m.class, m.destination, m.line) == (class, destination, line) && m.body == message.body
            });
            match same {
                // It may yet be handed back in this round, and then to whoever asked.
                true if self.fresh.contains_key(&number) => self.ask(number, client, last),
                true => self.answer(client, 202, &[], b"", last),
                false => self.refuse(client, 409, "this id is in use"),
            }
            return;
        }
        let owed = Owed { message, attempts: 0, maybe: vec![], end: None };
        let size = size(&owed);
        let most = self.site.settings.max_in_flight_messages as usize;
        let open = self.ids.len();
        if open >= most || self.held_bytes + size > self.most_bytes || self.broken || due <= self.now {
            self.counts.refused += 1;
            self.answer(client, 503, &[], b"", last);
            return;
        }
        let mut number = self.next_message;
        while self.held.contains_key(&number) {
            number = number.wrapping_add(1);
        }
        self.next_message = number.wrapping_add(1);
        self.ask(number, client, last);
        self.hold(number, owed, size, due);
        self.events.push(Event::Accepted(AcceptedMessage {
            id: number,
            destination,
            class,
            time_remaining: due.saturating_sub(self.now),
            ordering_key: line,
            tenant: 0,
        }));
    }

    /// A client waits for what the round makes of its message.
    fn ask(&mut self, number: u32, client: ClientId, last: bool) {
        self.clients.asks(client);
        self.fresh.entry(number).or_default().push((client, last));
    }

    /// A message that is over is known under its id until its time is up; of too many, those that end first go.
    fn remember(&mut self, known: Known) {
        let wall = self.now + self.wall;
        while let Some(&(until, id)) = self.over.first() {
            if until > wall && self.over.len() < self.most_known {
                break;
            }
            self.over.remove(&(until, id));
            self.known.remove(&id);
        }
        if known.until > wall && self.most_known > 0 {
            if let Some(before) = self.known.insert(known.id, known) {
                self.over.remove(&(before.until, before.id));
            }
            self.over.insert((known.until, known.id));
        }
    }

    fn hold(&mut self, number: u32, owed: Owed, size: u64, due: Time) {
        self.held_bytes += size;
        if owed.end.is_none() {
            self.ids.insert(owed.message.id.clone(), number);
        }
        let (over, returned) = (owed.end.is_some(), matches!(owed.end, Some(End::Returned(_))));
        self.held.insert(number, Held { owed, size, due, live: 0, over, returned });
    }

    /// Takes up a message that an earlier process took on.
    fn resume(&mut self, number: u32, mut owed: Owed) {
        let due = owed.message.due.saturating_sub(self.wall).max(self.now);
        if usize::from(owed.message.class) >= self.site.class_names.len() && owed.end.is_none() {
            let id = owed.message.id();
            self.lines
                .push(format!("message {id} is of a class that the settings have no more; it has failed"));
            owed.end = Some(End::Failed);
            self.records.push(Record::Ended { message: number, end: End::Failed });
        }
        let (size, end) = (size(&owed), owed.end);
        let (id, maybe) = (owed.message.id(), owed.maybe.len());
        tracing::debug!(%id, number, attempts = owed.attempts, maybe, ?end, left = due - self.now, "taken up again");
        self.counts.resumed[0] += 1;
        if end.is_none() {
            self.found.push(number);
        }
        if end.is_none() && owed.maybe.is_empty() {
            self.counts.resumed[1] += 1;
            self.untried.insert(number);
        }
        // What was out when its process died was reset by that, just now for all we know.
        if !owed.maybe.is_empty() {
            self.rest(owed.message.line);
        }
        self.hold(number, owed, size, due);
        if let Some(end) = end {
            self.tell(number, end);
        }
    }

    /// What an earlier process left of a message, as it is now.
    fn resumed(&self, number: u32) -> Option<Event> {
        let h = self.held.get(&number)?;
        let (m, now) = (&h.owed.message, self.now + self.wall);
        let taken = AcceptedMessage {
            id: number,
            destination: m.destination,
            class: m.class,
            time_remaining: h.due.saturating_sub(self.now),
            ordering_key: m.line,
            tenant: 0,
        };
        let ago = |a: &Attempt| now.saturating_sub(a.at);
        let open = h
            .owed
            .maybe
            .iter()
            .map(|a| UnresolvedAttempt { attempt: a.number, zone: a.zone, age: ago(a) })
            .collect();
        Some(Event::Recovered { message: taken, attempts: h.owed.attempts, unresolved: open })
    }

    /// Answers those whose messages came with this round: handed back or failed in it, or taken on.
    fn answer_fresh(&mut self, actions: &[Action]) {
        let mut ended: BTreeMap<u32, Option<Time>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Reject { message, retry_after } => {
                    ended.insert(*message, Some(*retry_after));
                }
                Action::Fail { message } => {
                    ended.insert(*message, None);
                }
                _ => {}
            }
        }
        for (number, askers) in std::mem::take(&mut self.fresh) {
            let mut after = String::new();
            let status = match ended.get(&number) {
                None => {
                    if let Some(h) = self.held.get(&number) {
                        tracing::debug!(id = %h.id(), number, left = h.due.saturating_sub(self.now), "taken on");
                        self.records.push(Record::Taken(number, h.owed.message.clone()));
                    }
                    self.counts.taken += 1;
                    202
                }
                Some(Some(come_back)) => {
                    self.counts.refused += 1;
                    if *come_back > 0 {
                        after = format!("{:.3}", *come_back as f64 / 1e9);
                    }
                    503
                }
                Some(None) => 500,
            };
            if status != 202 {
                self.forget(number);
            }
            let field = [("Retry-After", &after[..])];
            for (client, last) in askers {
                self.answer(client, status, if after.is_empty() { &[] } else { &field }, b"", last);
            }
        }
    }

    fn answer(&mut self, id: ClientId, status: u16, fields: &[(&str, &str)], body: &[u8], last: bool) {
        let last = last || self.ending.is_some_and(|since| since + GO_ON <= self.now);
        self.outputs.push(Output::ToClient(id, encode_response(status, fields, body, last).into()));
        self.clients.answered(id, self.now);
        if last {
            self.close(id);
        }
    }

    /// A request that is none, or cannot be used: an answer, and the connection ends.
    fn refuse(&mut self, id: ClientId, status: u16, why: &str) {
        self.counts.unusable += 1;
        self.answer(id, status, &[], format!("{why}\n").as_bytes(), true);
    }

    // ---- Carrying out

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { message, endpoint, until } => self.send(message, endpoint, until),
            Action::Cancel { message, attempt } => {
                self.give_up((message, attempt), AttemptOutcome::Cancelled)
            }
            Action::Reject { message, retry_after: come_back } => {
                self.over(message, End::Returned((come_back / MS) as u32));
            }
            Action::Fail { message } => self.over(message, End::Failed),
            Action::CloseIdle { endpoint } => self.links.close_idle(endpoint),
            // It takes the place of the one before, also of an earlier one: what that was for is over.
            Action::WakeUp { at } => self.round_at = at,
            Action::LimitChanged(change) => self.lines.push(change.to_string()),
            // The watch is always there; probes and notes are off on this platform.
            Action::WatchEndpoints | Action::HealthCheck { .. } | Action::Gossip { .. } => {}
        }
    }

    fn send(&mut self, message: u32, endpoint: u32, until: Time) {
        let Some(h) = self.held.get_mut(&message) else { return };
        let number = h.owed.attempts;
        h.owed.attempts += 1;
        h.live += 1;
        let until = if until == 0 { h.due } else { until.min(h.due) };
        let call = Call { endpoint, began: self.now, until, waits: true };
        self.calls.insert((message, number), call);
        self.begin((message, number));
    }

    /// Starts what had to wait for a connection or a notice. After the round, never as its cause comes in: what
    /// came beside it may be a told wait, a drain or the message's end.
    fn go_on(&mut self) {
        for link in std::mem::take(&mut self.up) {
            if let Some(Some(call)) = self.links.call(link) {
                self.start(call, link);
            }
        }
        let waiting: Vec<CallId> = self.calls.iter().filter(|(_, c)| c.waits).map(|(&id, _)| id).collect();
        waiting.into_iter().for_each(|id| self.begin(id));
    }

    /// Starts a call, unless a notice on an earlier message of its key is not answered, or its key rests.
    fn begin(&mut self, id: CallId) {
        let (Some(call), Some(h)) = (self.calls.get_mut(&id), self.held.get(&id.0)) else { return };
        let line = h.owed.message.line;
        if line != 0 && self.telling.get(&line).is_some_and(|t| t.iter().any(|&m| m != id.0)) {
            return;
        }
        if id.1 == 0 && self.rests.get(&line).is_some_and(|&until| until > self.now) {
            return;
        }
        call.waits = false;
        let known = self.directory.get(call.endpoint).filter(|k| k.listing == EndpointStatus::Ready);
        let Some(address) = known.map(|k| k.address) else {
            return self.done(Done::plain(id, AttemptOutcome::NoConnection));
        };
        let (endpoint, new) = (call.endpoint, self.link());
        match self.links.begin(id, endpoint, address, self.now, new) {
            Begin::Now(link) => self.start(id, link),
            Begin::Connect(link) => {
                self.counts.connects += 1;
                self.outputs.push(Output::Connect(link, address));
            }
            Begin::Full => self.done(Done::plain(id, AttemptOutcome::NotSent { no_capacity: true })),
        }
    }

    /// The connection of a call is there: from here on it may run.
    fn start(&mut self, id: CallId, link: LinkId) {
        let (Some(call), Some(h)) = (self.calls.get(&id), self.held.get_mut(&id.0)) else { return };
        let known = self.directory.get(call.endpoint).filter(|k| k.listing == EndpointStatus::Ready);
        let there = |address| self.links.address(link) == Some(address);
        let Some(known) = known.filter(|k| !self.broken && there(k.address)) else {
            // It drains, is gone or elsewhere since the connection was begun, or the journal takes nothing.
            self.links.cancel(id, self.now);
            return self.done(Done::plain(id, AttemptOutcome::NoConnection));
        };
        if self.courier.retry_after_pending(self.now, call.endpoint) {
            self.links.spare(id, self.now);
            let (endpoint, text) = (call.endpoint, String::from_utf8_lossy(&h.owed.message.id));
            self.lines
                .push(format!("endpoint {endpoint}: told to wait since {text} was to go there; not sent"));
            return self.done(Done::plain(id, AttemptOutcome::NotSent { no_capacity: false }));
        }
        let attempt = Attempt { number: id.1, zone: known.zone, at: self.now + self.wall };
        tracing::debug!(id = %h.id(), attempt = id.1, endpoint = call.endpoint, "sent");
        h.owed.maybe.push(attempt);
        self.records.push(Record::Sent { message: id.0, attempt });
        let m = &h.owed.message;
        let left = call.until.saturating_sub(self.now) / MS;
        let mut bytes = format!("POST /receive HTTP/1.1\r\nHost: {}\r\nX-Txn: ", known.address).into_bytes();
        bytes.extend(&m.id);
        if let Some(token) = &m.token {
            bytes.extend(b"\r\nIdempotency-Key: ");
            bytes.extend(token);
        }
        let rest = format!("\r\nX-Remaining-Ms: {left}\r\nContent-Length: {}\r\n\r\n", m.body.len());
        bytes.extend(rest.into_bytes());
        bytes.extend(&m.body);
        self.counts.calls += 1;
        self.links.sent(link, bytes.len());
        self.outputs.push(Output::ToLink(link, bytes.into()));
        self.tried(id.0, 2);
    }

    /// A message of an earlier process has its first call, or its end without one.
    fn tried(&mut self, message: u32, place: usize) {
        if !self.untried.remove(&message) {
            return;
        }
        self.counts.resumed[place] += 1;
        if self.untried.is_empty() {
            let [found, untried, called, given_up] = self.counts.resumed;
            let line = format!("of {found} messages of an earlier process {untried} were untried");
            self.lines.push(format!("{line}: {called} called, {given_up} given up uncalled"));
        }
    }

    /// Ends an attempt from our side.
    fn give_up(&mut self, id: CallId, ending: AttemptOutcome) {
        if !self.calls.contains_key(&id) {
            return;
        }
        // What was never sent has never run.
        let out = self.links.cancel(id, self.now).unwrap_or(false);
        let ending = if out { ending } else { AttemptOutcome::NotSent { no_capacity: false } };
        self.done(Done::plain(id, ending));
    }

    /// An attempt ended.
    fn done(&mut self, done: Done) {
        if let Some(endpoint) = done.late_from {
            return match done.ending {
                AttemptOutcome::Served => self.delivered_late(done.call.0),
                _ => self.tell_outcome(&done, endpoint, 0, false),
            };
        }
        let Some(call) = self.calls.remove(&done.call) else { return };
        let (message, attempt) = done.call;
        self.counts.endings[place(done.ending)] += 1;
        let Some(h) = self.held.get_mut(&message) else { return };
        h.live -= 1;
        tracing::debug!(id = %h.id(), attempt, ending = ?done.ending, "attempt ended");
        let never_ran = done.ending.not_executed();
        let was_sent = h.owed.maybe.iter().any(|a| a.number == attempt);
        if never_ran && was_sent {
            h.owed.maybe.retain(|a| a.number != attempt);
            self.records.push(Record::NeverRan { message, attempt });
        }
        let line = h.owed.message.line;
        let over = h.over || done.ending == AttemptOutcome::Served || done.over;
        if matches!(done.ending, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
        {
            self.rest(line);
        }
        if over {
            self.delivered(message);
        }
        self.tell_outcome(&done, call.endpoint, self.now - call.began, over);
        self.settle(message);
    }

    /// An attempt for a key ended and may run on.
    fn rest(&mut self, line: u64) {
        let (now, until) = (self.now, self.now + self.site.settings.key_cooldown);
        if line == 0 || until == now {
            return;
        }
        self.rests.retain(|_, until| *until > now);
        self.rests.insert(line, until);
        self.records.push(Record::Rests { line, until: until + self.wall });
    }

    /// Nothing more is owed, unless it had its end before. An answer that comes as its time is up, by the whole
    /// milliseconds that the call was told, may count for nothing: the platform hears of an end all the same.
    fn delivered(&mut self, message: u32) -> bool {
        let Some(h) = self.held.get_mut(&message).filter(|h| !h.over) else { return false };
        if h.due < self.now + MS {
            self.over(message, End::Failed);
            return true;
        }
        h.over = true;
        h.owed.end = Some(End::Delivered);
        self.ids.remove(&h.owed.message.id);
        self.records.push(Record::Ended { message, end: End::Delivered });
        true
    }

    /// A call that had been given up was served: the message is over, and what else is out for it is called off.
    fn delivered_late(&mut self, message: u32) {
        if self.delivered(message) {
            tracing::debug!(number = message, "delivered by a call that had been given up");
            self.events.push(Event::ClientCancelled { message });
            self.settle(message);
        }
    }

    fn tell_outcome(&mut self, done: &Done, endpoint: u32, took: Time, over: bool) {
        let ((message, attempt), ending) = (done.call, done.ending);
        let (left, limit) = (done.left, done.limit);
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

    /// The library ended a message.
    fn over(&mut self, message: u32, end: End) {
        let Some(h) = self.held.get_mut(&message).filter(|h| !h.over) else { return };
        (h.over, h.returned) = (true, matches!(end, End::Returned(_)));
        tracing::debug!(id = %h.id(), ?end, "over");
        h.owed.end = Some(end);
        self.ids.remove(&h.owed.message.id);
        self.records.push(Record::Ended { message, end });
        self.tried(message, 3);
        self.tell(message, end);
    }

    /// The platform is to hear of an end.
    fn tell(&mut self, message: u32, end: End) {
        let Some(h) = self.held.get(&message) else { return };
        let id = h.id();
        let mut notice = serde_json::json!({"id": id, "state": "failed"});
        match end {
            End::Delivered => return,
            End::Failed => self.counts.notices[0] += 1,
            End::Returned(after) => {
                self.counts.notices[1] += 1;
                notice["state"] = "returned".into();
                if after > 0 {
                    notice["after_ms"] = after.into();
                }
            }
        }
        let line = h.owed.message.line;
        if line != 0 {
            self.telling.entry(line).or_default().insert(message);
        }
        self.notices.push(message, format!("{notice}\n").into_bytes());
    }

    /// The platform has heard of a message's end.
    fn told(&mut self, message: u32) {
        let Some(h) = self.held.get_mut(&message) else { return };
        tracing::debug!(id = %h.id(), "told");
        h.owed.end = Some(End::Delivered);
        self.records.push(Record::Told { message });
        let line = h.owed.message.line;
        if let Some(telling) = self.telling.get_mut(&line) {
            telling.remove(&message);
            if telling.is_empty() {
                self.telling.remove(&line);
            }
        }
        self.settle(message);
    }

    /// Forgets a message of which nothing is owed or out.
    fn settle(&mut self, message: u32) {
        let done = |h: &Held| h.over && h.live == 0 && h.owed.end == Some(End::Delivered);
        if let Some(h) = self.held.get(&message).filter(|h| done(h)) {
            let known = (!h.returned).then(|| h.owed.message.known());
            known.into_iter().for_each(|known| self.remember(known));
            self.forget(message);
        }
    }

    fn forget(&mut self, message: u32) {
        if let Some(h) = self.held.remove(&message) {
            self.held_bytes -= h.size;
            if self.ids.get(&h.owed.message.id) == Some(&message) {
                self.ids.remove(&h.owed.message.id);
            }
        }
    }
}

/// Bytes that a message takes in the journal, with room for its attempts and its end.
fn size(owed: &Owed) -> u64 {
    const ROOM: usize = 512;
    let m = &owed.message;
    (m.id.len() + m.token.as_ref().map_or(0, Vec::len) + m.body.len() + ROOM) as u64
}

fn place(ending: AttemptOutcome) -> usize {
    match ending {
        AttemptOutcome::Served => 0,
        AttemptOutcome::Error => 1,
        AttemptOutcome::Rejected { .. } => 2,
        AttemptOutcome::TimedOut => 3,
        AttemptOutcome::NoConnection => 4,
        AttemptOutcome::Reset => 5,
        AttemptOutcome::Cancelled => 6,
        AttemptOutcome::NotSent { .. } => 7,
    }
}

#[cfg(test)]
mod tests;
