//! Calls to endpoints and the connections that carry them.
//!
//! A call is one Produce request with one or more messages. It holds a slot until each of them has its outcome.
//! What is still running then, because it was called off or its time was up, holds its connection only: nothing
//! new goes there until the answer came or the idle time has passed, after which it is closed.
//!
//! A new connection first asks which versions the endpoint offers. An endpoint that takes no more connections
//! closes them after it has accepted; so only the answer shows that it is there, and a message that waited for
//! it is known not to have run.

use super::trust::Trust;
use bytes::Bytes;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::{client, codes, Frames, LoadReport, Record, PRODUCE};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A connection to an endpoint, as the shell numbers them back.
pub type UpstreamId = u64;

/// The number of the request that opens a connection; calls are numbered from 1.
const GREETING: i32 = 0;

/// What a message is to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Parcel {
    pub(crate) message: u32,
    pub(crate) attempt: u16,
    pub(crate) topic: u8,
    pub(crate) destination: u32,
    pub(crate) record: Record,
    /// When its time is up.
    pub(crate) until: Time,
    /// What has not left by then does not leave any more, so that its message can still be handed back.
    pub(crate) leave_by: Time,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) message: u32,
    pub(crate) attempt: u16,
    pub(crate) endpoint: u32,
    pub(crate) ending: AttemptOutcome,
    pub(crate) sent: Time,
    pub(crate) load: Option<LoadReport>,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Do {
    Connect(UpstreamId, SocketAddr),
    Write(UpstreamId, Bytes),
    Close(UpstreamId),
}

#[derive(Debug)]
struct Call {
    endpoint: u32,
    link: UpstreamId,
    /// What is not over yet.
    parcels: Vec<Parcel>,
    /// The attempt that was over last.
    over: (u32, u16),
    /// Its number on the link and the bytes queued there before it, once it is written.
    written: Option<(i32, u64)>,
    sent: Time,
    /// How long its connection had been idle.
    idle: Time,
}

#[derive(Debug)]
struct Link {
    endpoint: u32,
    addr: SocketAddr,
    /// The endpoint has answered; calls go in this version of Produce.
    up: bool,
    version: i16,
    frames: Frames,
    /// Bytes handed to the shell.
    queued: u64,
    correlation: i32,
    /// Calls on it, by number; those not written yet apart.
    calls: BTreeMap<i32, u64>,
    unwritten: Vec<u64>,
    /// Calls on it that nobody waits for any more.
    abandoned: usize,
    since: Time,
    /// When to look at it again.
    timer: Time,
    /// Where it stands in its endpoint's pool as idle.
    idle: Option<Time>,
}

/// The connections to an endpoint.
#[derive(Debug, Default)]
struct Pool {
    all: BTreeSet<UpstreamId>,
    /// Those that nothing is on, by the time since then.
    idle: BTreeSet<(Time, UpstreamId)>,
    /// Those with calls that nobody waits for any more.
    abandoned: BTreeSet<UpstreamId>,
}

/// Bounds and spans.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    pub(crate) slots: usize,
    pub(crate) calls_per_link: usize,
    pub(crate) idle: Time,
    pub(crate) connect: Time,
    pub(crate) frame: usize,
    /// What this courier calls itself.
    pub(crate) name: String,
    /// Topics by class.
    pub(crate) topics: Vec<String>,
}

#[derive(Debug)]
pub(crate) struct Delivery {
    bounds: Bounds,
    now: Time,
    next: u64,
    trust: Trust,
    calls: BTreeMap<u64, Call>,
    /// Calls with a message that waits for its outcome.
    running: usize,
    links: BTreeMap<UpstreamId, Link>,
    pools: BTreeMap<u32, Pool>,
    /// The running call of each attempt.
    attempts: BTreeMap<(u32, u16), u64>,
    times: BTreeSet<(Time, u32, u16)>,
    timers: BTreeSet<(Time, UpstreamId)>,
    /// The call that sends of this turn may join, by endpoint.
    joining: BTreeMap<u32, u64>,
    fresh: Vec<u64>,
    pub(crate) done: Vec<Done>,
    /// Answers to calls given up before, as far as they tell a wait.
    pub(crate) late: Vec<Done>,
    pub(crate) todo: Vec<Do>,
    /// Endpoints that did not keep to the protocol, and how.
    pub(crate) faults: Vec<(u32, String)>,
}

impl Delivery {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Delivery {
            trust: Trust::new(bounds.idle),
            bounds,
            now: 0,
            next: 1,
            calls: BTreeMap::new(),
            running: 0,
            links: BTreeMap::new(),
            pools: BTreeMap::new(),
            attempts: BTreeMap::new(),
            times: BTreeSet::new(),
            timers: BTreeSet::new(),
            joining: BTreeMap::new(),
            fresh: Vec::new(),
            done: Vec::new(),
            late: Vec::new(),
            todo: Vec::new(),
            faults: Vec::new(),
        }
    }

    pub(crate) fn clock(&mut self, now: Time) {
        self.now = now;
    }

    /// Calls out that hold a slot.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Connections open or being made, and those of them held by calls that nobody waits for.
    pub(crate) fn links(&self) -> (usize, usize) {
        (self.links.len(), self.links.values().filter(|l| l.abandoned > 0).count())
    }

    pub(crate) fn next_timer(&self) -> Option<Time> {
        let time = self.times.first().map(|t| t.0);
        let timer = self.timers.first().map(|t| t.0);
        time.into_iter().chain(timer).min()
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    // ---- Sending

    /// Starts an attempt, in the call of this turn to the endpoint if that takes more. Nothing is written
    /// before [`Delivery::depart`].
    pub(crate) fn send(&mut self, endpoint: u32, parcel: Parcel, per_call: usize) {
        let key = (parcel.message, parcel.attempt);
        let open = self.joining.get(&endpoint).copied();
        let open = open.filter(|id| self.calls.get(id).is_some_and(|c| c.parcels.len() < per_call));
        if open.is_none() && self.running >= self.bounds.slots {
            return self.not_sent(parcel.message, parcel.attempt, endpoint, true);
        }
        let id = open.unwrap_or_else(|| {
            let id = self.number();
            let call = Call {
                endpoint,
                link: 0,
                parcels: Vec::new(),
                over: key,
                written: None,
                sent: self.now,
                idle: 0,
            };
            self.calls.insert(id, call);
            self.running += 1;
            self.joining.insert(endpoint, id);
            self.fresh.push(id);
            id
        });
        self.attempts.insert(key, id);
        self.times.insert((parcel.leave_by.min(parcel.until), key.0, key.1));
        if let Some(call) = self.calls.get_mut(&id) {
            call.parcels.push(parcel);
        }
    }

    /// An attempt that was never begun.
    pub(crate) fn not_sent(&mut self, message: u32, attempt: u16, endpoint: u32, no_slot: bool) {
        let ending = AttemptOutcome::NotSent { no_capacity: no_slot };
        self.done.push(Done { message, attempt, endpoint, ending, sent: self.now, load: None });
    }

    /// Puts the calls of this turn on connections. `address`: where an endpoint listens.
    pub(crate) fn depart(&mut self, address: impl Fn(u32) -> Option<SocketAddr>) {
        self.joining.clear();
        for id in std::mem::take(&mut self.fresh) {
            let Some(endpoint) = self.calls.get(&id).filter(|c| !c.parcels.is_empty()).map(|c| c.endpoint)
            else {
                continue;
            };
            let Some(addr) = address(endpoint) else {
                self.end_call(id, AttemptOutcome::NotSent { no_capacity: false }, None);
                continue;
            };
            let link = self.link(endpoint, addr);
            if let (Some(call), Some(l)) = (self.calls.get_mut(&id), self.links.get_mut(&link)) {
                call.link = link;
                if l.up && l.calls.is_empty() {
                    call.idle = self.now.saturating_sub(l.since);
                }
                l.unwritten.push(id);
                l.since = self.now;
                let up = l.up;
                self.file(link);
                if up {
                    self.write(link);
                }
            }
        }
    }

    /// A connection with room: an open one, the last used first, so that those not needed grow old; then one
    /// that is being made; else a new one.
    fn link(&mut self, endpoint: u32, addr: SocketAddr) -> UpstreamId {
        let trusted = self.trust.now(self.now);
        self.close_idle_for(endpoint, trusted);
        let pool = self.pools.entry(endpoint).or_default();
        let fits = |&id: &UpstreamId| {
            let l = self.links.get(&id)?;
            let room = l.calls.len() + l.unwritten.len() < self.bounds.calls_per_link;
            (room && l.abandoned == 0 && l.addr == addr).then_some((l.up, l.since, id))
        };
        let idle = pool.idle.iter().rev().map(|i| &i.1).find_map(fits);
        let shared = || pool.all.iter().filter(|_| self.bounds.calls_per_link > 1).filter_map(fits).max();
        if let Some((_, _, id)) = idle.or_else(shared) {
            return id;
        }
        let id = self.number();
        let timer = self.now + self.bounds.connect;
        let link = Link {
            endpoint,
            addr,
            up: false,
            version: 0,
            frames: Frames::new(self.bounds.frame),
            queued: 0,
            correlation: 0,
            calls: BTreeMap::new(),
            unwritten: Vec::new(),
            abandoned: 0,
            since: self.now,
            timer,
            idle: None,
        };
        self.links.insert(id, link);
        self.timers.insert((timer, id));
        self.pools.entry(endpoint).or_default().all.insert(id);
        self.todo.push(Do::Connect(id, addr));
        id
    }

    /// Puts a connection where it belongs in its endpoint's pool.
    fn file(&mut self, id: UpstreamId) {
        let Some(l) = self.links.get_mut(&id) else { return };
        let Some(pool) = self.pools.get_mut(&l.endpoint) else { return };
        let idle = (l.up && l.calls.is_empty() && l.unwritten.is_empty()).then_some(l.since);
        if l.idle != idle {
            l.idle.map(|since| pool.idle.remove(&(since, id)));
            idle.map(|since| pool.idle.insert((since, id)));
            l.idle = idle;
        }
        if l.abandoned > 0 {
            pool.abandoned.insert(id);
        } else {
            pool.abandoned.remove(&id);
        }
    }

    fn set_timer(&mut self, id: UpstreamId, at: Time) {
        if let Some(l) = self.links.get_mut(&id) {
            self.timers.remove(&(l.timer, id));
            l.timer = at;
            self.timers.insert((at, id));
        }
    }

    /// Writes the calls that wait for this connection.
    fn write(&mut self, link: UpstreamId) {
        let waiting = self.links.get_mut(&link).map(|l| std::mem::take(&mut l.unwritten));
        for id in waiting.unwrap_or_default() {
            let (Some(call), Some(l)) = (self.calls.get_mut(&id), self.links.get_mut(&link)) else {
                continue;
            };
            l.correlation = l.correlation % i32::MAX + 1;
            match encode(&self.bounds, (l.correlation, l.version), call, self.now) {
                Ok(bytes) => {
                    call.written = Some((l.correlation, l.queued));
                    l.queued += bytes.len() as u64;
                    l.calls.insert(l.correlation, id);
                    self.todo.push(Do::Write(link, bytes));
                }
                Err(_) => self.end_call(id, AttemptOutcome::NotSent { no_capacity: false }, None),
            }
        }
    }

    // ---- Endings

    fn forget_time(&mut self, p: &Parcel) {
        self.times.remove(&(p.until, p.message, p.attempt));
        self.times.remove(&(p.leave_by.min(p.until), p.message, p.attempt));
    }

    /// Whether an attempt of the message is out that has left.
    pub(crate) fn has_left(&self, message: u32) -> bool {
        let mut out = self.attempts.range((message, 0)..=(message, u16::MAX));
        out.any(|(_, id)| self.calls.get(id).is_some_and(|c| c.written.is_some()))
    }

    /// Ends one attempt of a call; how many of it are left, if it was there.
    fn end_one(
        &mut self,
        id: u64,
        key: (u32, u16),
        ending: AttemptOutcome,
        load: Option<LoadReport>,
    ) -> Option<usize> {
        let call = self.calls.get_mut(&id)?;
        let at = call.parcels.iter().position(|p| (p.message, p.attempt) == key)?;
        let parcel = call.parcels.remove(at);
        let (endpoint, sent, left) = (call.endpoint, call.sent, call.parcels.len());
        call.over = key;
        self.attempts.remove(&key);
        self.forget_time(&parcel);
        self.done.push(Done { message: key.0, attempt: key.1, endpoint, ending, sent, load });
        self.running -= usize::from(left == 0);
        Some(left)
    }

    /// Ends one attempt of a call that is not answered.
    fn end_attempt(&mut self, id: u64, key: (u32, u16), ending: AttemptOutcome) {
        if self.end_one(id, key, ending, None) != Some(0) {
            return;
        }
        let Some(call) = self.calls.get(&id) else { return };
        let (endpoint, written, link) = (call.endpoint, call.written, call.link);
        match written {
            // It may still run: the connection waits for its answer.
            Some(_) => {
                if let Some(l) = self.links.get_mut(&link) {
                    l.abandoned += 1;
                }
                self.settle(link);
                self.shed_abandoned(endpoint);
            }
            None => {
                self.calls.remove(&id);
                if let Some(l) = self.links.get_mut(&link) {
                    l.unwritten.retain(|&x| x != id);
                }
                self.settle(link);
            }
        }
    }

    /// Ends what is left of a call and forgets it.
    fn end_call(&mut self, id: u64, ending: AttemptOutcome, load: Option<LoadReport>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if !call.parcels.is_empty() {
            self.running -= 1;
        }
        for p in call.parcels {
            self.attempts.remove(&(p.message, p.attempt));
            self.forget_time(&p);
            let (message, attempt) = (p.message, p.attempt);
            self.done.push(Done { message, attempt, endpoint: call.endpoint, ending, sent: call.sent, load });
        }
    }

    /// A connection that nobody waits for anything on is idle from now on.
    fn settle(&mut self, id: UpstreamId) {
        if let Some(l) = self.links.get_mut(&id) {
            if l.up && l.unwritten.is_empty() && l.calls.len() <= l.abandoned {
                l.since = self.now;
                self.set_timer(id, self.now + self.bounds.idle);
            }
        }
        self.file(id);
    }

    /// Calls that nobody waits for hold at most as many connections to an endpoint as there are slots.
    fn shed_abandoned(&mut self, endpoint: u32) {
        let Some(held) = self.pools.get(&endpoint).map(|p| &p.abandoned) else { return };
        if held.len() > self.bounds.slots {
            let oldest = held.iter().min_by_key(|id| self.links.get(id).map(|l| l.since)).copied();
            oldest.into_iter().for_each(|id| self.drop_link(id, AttemptOutcome::Reset));
        }
    }

    /// Called off. What never left is known not to have run.
    pub(crate) fn cancel(&mut self, message: u32, attempt: u16) {
        let Some(&id) = self.attempts.get(&(message, attempt)) else { return };
        let left = self.calls.get(&id).is_some_and(|c| c.written.is_some());
        let ending =
            if left { AttemptOutcome::Cancelled } else { AttemptOutcome::NotSent { no_capacity: false } };
        self.end_attempt(id, (message, attempt), ending);
    }

    /// Ends attempts and connections whose time is up.
    pub(crate) fn expire(&mut self) {
        while let Some(&(at, message, attempt)) = self.times.first().filter(|t| t.0 <= self.now) {
            let Some(&id) = self.attempts.get(&(message, attempt)) else {
                self.times.remove(&(at, message, attempt));
                continue;
            };
            let Some(call) = self.calls.get(&id) else {
                self.times.remove(&(at, message, attempt));
                continue;
            };
            let of = |p: &&Parcel| (p.message, p.attempt) == (message, attempt);
            let until = call.parcels.iter().find(of).map_or(0, |p| p.until);
            let ending = match call.written {
                Some(_) if until > self.now => {
                    self.times.remove(&(at, message, attempt));
                    self.times.insert((until, message, attempt));
                    continue;
                }
                Some(_) => AttemptOutcome::TimedOut,
                None => AttemptOutcome::NoConnection,
            };
            self.end_attempt(id, (message, attempt), ending);
        }
        while let Some(&(at, id)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, id));
            let Some(l) = self.links.get(&id) else { continue };
            let busy = l.calls.len() > l.abandoned || !l.unwritten.is_empty();
            if l.up && busy {
                continue;
            }
            self.drop_link(id, AttemptOutcome::NoConnection);
        }
    }

    /// Closes a connection; what was on it ends like this, unless it is known not to have left.
    fn drop_link(&mut self, id: UpstreamId, written: AttemptOutcome) {
        if self.links.contains_key(&id) {
            self.todo.push(Do::Close(id));
            self.lost(id, u64::MAX, written);
        }
    }

    /// The connection is no more. The system took `bytes` of what was queued there.
    fn lost(&mut self, id: UpstreamId, bytes: u64, written: AttemptOutcome) {
        let Some(l) = self.links.remove(&id) else { return };
        self.timers.remove(&(l.timer, id));
        if let Some(pool) = self.pools.get_mut(&l.endpoint) {
            pool.all.remove(&id);
            pool.abandoned.remove(&id);
            l.idle.map(|since| pool.idle.remove(&(since, id)));
            if pool.all.is_empty() {
                self.pools.remove(&l.endpoint);
            }
        }
        for call in l.calls.into_values() {
            if let Some(c) = self.calls.get(&call).filter(|c| c.idle > 0 && written == AttemptOutcome::Reset)
            {
                self.trust.lost(self.now, c.idle);
            }
            let from = self.calls.get(&call).and_then(|c| c.written).map_or(0, |w| w.1);
            let ending = if from >= bytes { AttemptOutcome::NoConnection } else { written };
            self.end_call(call, ending, None);
        }
        for call in l.unwritten {
            self.end_call(call, AttemptOutcome::NoConnection, None);
        }
    }

    // ---- What the shell tells

    /// The connection is there: ask what the endpoint offers.
    pub(crate) fn connected(&mut self, id: UpstreamId) {
        let Some(l) = self.links.get_mut(&id) else { return };
        match client::api_versions(GREETING, &self.bounds.name, 0) {
            Ok(bytes) => {
                l.queued += bytes.len() as u64;
                self.todo.push(Do::Write(id, bytes));
            }
            Err(_) => self.drop_link(id, AttemptOutcome::NoConnection),
        }
    }

    /// The endpoint has said what it offers. Before a message leaves, `may` says whether it still may: it can
    /// have ended, its endpoint can drain, and a wait can have been told while the connection was made.
    fn greeted(
        &mut self,
        id: UpstreamId,
        frame: &Bytes,
        may: &dyn Fn(u32, u32) -> bool,
    ) -> Result<(), String> {
        let (number, offered) = client::read_produce_versions(frame).map_err(|e| e.to_string())?;
        let (least, most) = offered.ok_or("it does not offer Produce")?;
        let version = most.min(PRODUCE.1);
        if number != GREETING || version < least.max(PRODUCE.0) {
            return Err(format!("it offers Produce {least} to {most}, {PRODUCE:?} are spoken"));
        }
        let Some(l) = self.links.get_mut(&id) else { return Ok(()) };
        (l.up, l.version) = (true, version);
        let (endpoint, waiting) = (l.endpoint, l.unwritten.clone());
        for call in waiting {
            let parcels = self.calls.get(&call).map(|c| c.parcels.as_slice()).unwrap_or_default();
            let stale = parcels.iter().filter(|p| !may(p.message, endpoint));
            let stale: Vec<(u32, u16)> = stale.map(|p| (p.message, p.attempt)).collect();
            for key in stale {
                self.end_attempt(call, key, AttemptOutcome::NotSent { no_capacity: false });
            }
        }
        self.write(id);
        self.settle(id);
        Ok(())
    }

    /// The connection could not be made.
    pub(crate) fn failed(&mut self, id: UpstreamId) {
        self.lost(id, 0, AttemptOutcome::NoConnection);
    }

    /// The other side closed it, or it broke.
    pub(crate) fn down(&mut self, id: UpstreamId, written: u64) {
        self.lost(id, written, AttemptOutcome::Reset);
    }

    /// Bytes came. What is no answer to a call on this connection ends the connection.
    pub(crate) fn bytes(&mut self, id: UpstreamId, bytes: &[u8], may: &dyn Fn(u32, u32) -> bool) {
        if let Some(l) = self.links.get_mut(&id) {
            l.frames.push(bytes);
        }
        loop {
            let Some(l) = self.links.get_mut(&id) else { return };
            let fault = match l.frames.next_frame() {
                Ok(None) => return,
                Ok(Some(frame)) => {
                    let (up, version) = (l.up, l.version);
                    let read =
                        if up { self.answer(id, &frame, version) } else { self.greeted(id, &frame, may) };
                    match read {
                        Ok(()) => continue,
                        Err(why) => why,
                    }
                }
                Err(e) => e.to_string(),
            };
            if let Some(l) = self.links.get(&id) {
                self.faults.push((l.endpoint, fault));
            }
            self.drop_link(id, AttemptOutcome::Reset);
            return;
        }
    }

    fn answer(&mut self, id: UpstreamId, frame: &Bytes, version: i16) -> Result<(), String> {
        let produced = client::read_produced(frame, version).map_err(|e| e.to_string())?;
        let Some(l) = self.links.get_mut(&id) else { return Ok(()) };
        let Some(number) = l.calls.remove(&produced.correlation) else {
            return Err(format!("it answers request {}, which is not out", produced.correlation));
        };
        let Some(call) = self.calls.get(&number) else { return Ok(()) };
        if call.parcels.is_empty() {
            l.abandoned = l.abandoned.saturating_sub(1);
            // Its place in the pool follows below, when the connection settles.
        }
        let wait = u64::try_from(produced.throttle_ms).unwrap_or(0) * 1_000_000;
        if call.parcels.is_empty()
            && wait > 0
            && produced.parts.iter().any(|e| e.code == codes::THROTTLING_QUOTA_EXCEEDED)
        {
            let ((message, attempt), endpoint, sent) = (call.over, call.endpoint, call.sent);
            let (ending, load) = (AttemptOutcome::Rejected { retry_after: wait }, produced.load);
            self.late.push(Done { message, attempt, endpoint, ending, sent, load });
        }
        let mut endings = Vec::new();
        for p in &call.parcels {
            let topic = self.bounds.topics.get(usize::from(p.topic)).map_or("", String::as_str);
            let part = |e: &&linnetcart_kafka::server::PartitionResult| {
                e.topic == topic && u32::try_from(e.partition) == Ok(p.destination)
            };
            let ending = match produced.parts.iter().find(part).map(|e| e.code) {
                Some(codes::NONE) => AttemptOutcome::Served,
                Some(codes::THROTTLING_QUOTA_EXCEEDED) => AttemptOutcome::Rejected { retry_after: wait },
                _ => AttemptOutcome::Error,
            };
            endings.push(((p.message, p.attempt), ending));
        }
        let (endpoint, sent) = (call.endpoint, call.sent);
        self.silent_beside(endpoint, sent);
        for (key, ending) in endings {
            self.end_one(number, key, ending, produced.load);
        }
        self.calls.remove(&number);
        self.settle(id);
        Ok(())
    }

    /// An endpoint has answered a call: earlier ones that nobody waits for any more, and that were the first on
    /// their connections after these were idle, are lost with their connections.
    fn silent_beside(&mut self, endpoint: u32, sent: Time) {
        let ids = self.pools.get(&endpoint).into_iter().flat_map(|p| &p.abandoned);
        let given_up = ids.filter_map(|id| self.links.get(id));
        for id in given_up.flat_map(|l| l.calls.values()) {
            if let Some(c) = self.calls.get_mut(id).filter(|c| c.idle > 0 && c.sent < sent) {
                self.trust.lost(self.now, std::mem::take(&mut c.idle));
            }
        }
    }

    /// Closes the connections to an endpoint that nothing is on.
    pub(crate) fn close_idle(&mut self, endpoint: u32) {
        self.close_idle_for(endpoint, 0);
    }

    /// Closes those that nothing has been on for longer than this.
    fn close_idle_for(&mut self, endpoint: u32, most: Time) {
        let old = |since: Time| most == 0 || since.saturating_add(most) < self.now;
        let idle = self.pools.get(&endpoint).into_iter().flat_map(|p| &p.idle);
        let idle: Vec<UpstreamId> = idle.take_while(|i| old(i.0)).map(|i| i.1).collect();
        idle.into_iter().for_each(|id| self.drop_link(id, AttemptOutcome::Reset));
    }

    /// Endpoints that connections are open to.
    pub(crate) fn endpoints(&self) -> Vec<u32> {
        self.pools.keys().copied().collect()
    }
}

fn encode(
    bounds: &Bounds,
    (correlation, version): (i32, i16),
    call: &Call,
    now: Time,
) -> Result<Bytes, linnetcart_kafka::codes::Malformed> {
    let mut groups: BTreeMap<(u8, u32), Vec<Record>> = BTreeMap::new();
    for p in &call.parcels {
        groups.entry((p.topic, p.destination)).or_default().push(p.record.clone());
    }
    let topic = |class: u8| bounds.topics.get(usize::from(class)).map_or("", String::as_str);
    let to: Vec<client::ProduceTarget> = groups
        .iter()
        .map(|(&(class, destination), records)| client::ProduceTarget {
            topic: topic(class),
            partition: i32::try_from(destination).unwrap_or(i32::MAX),
            records,
        })
        .collect();
    let left = call.parcels.iter().map(|p| p.until.saturating_sub(now)).max().unwrap_or(0);
    let timeout = i32::try_from(left / 1_000_000).unwrap_or(i32::MAX);
    client::produce(correlation, &bounds.name, version, (-1, timeout), &to)
}
