//! Connections to endpoints: one call at a time on each, kept between calls as long as they are clean.

use super::trust::Trust;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_deployment_settings::{DeploymentSettings, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD};
use linnetcart_http::{parse_decimal, parse_response, ParsedResponse, ResponseHead};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection of ours, as the core names it to the shell.
pub type LinkId = u64;
/// Message and attempt.
pub type CallId = (u32, u16);

const MS: Time = 1_000_000;
/// Part of the endpoint's idle time after which we close: a close of theirs must not cross a call of ours.
const IDLE_PART: (Time, Time) = (3, 4);
/// A connection rests after an answer: what comes beside the answer must not be read as the next one.
const SETTLE: Time = 10 * MS;
/// A head that began with 200 may still bring a load report.
const REST_OF_GOOD: Time = 50 * MS;
/// An answer that began and does not go on is spoilt.
const REST_OF_OTHER: Time = 1000 * MS;

#[derive(Debug, PartialEq, Eq)]
enum State {
    Connecting {
        since: Time,
    },
    Out {
        began: Option<Time>,
    },
    Idle {
        since: Time,
    },
    /// Its call was given up: we send no more, and what may still tell a wait is read.
    GivenUp {
        call: CallId,
        since: Time,
    },
}

#[derive(Debug)]
struct Link {
    endpoint: u32,
    address: SocketAddr,
    state: State,
    call: Option<CallId>,
    bytes: Vec<u8>,
    /// Bytes queued so far: the call's last byte is at this place.
    queued: u64,
    /// Of an answer's body, still to come.
    body: usize,
    /// How long it had been idle before the call that is out; a new one never was.
    idle: Option<Time>,
}

/// A call that ended, with what its answer told.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The call.
    pub call: CallId,
    /// How it ended.
    pub ending: AttemptOutcome,
    /// The endpoint says that the message is over.
    pub over: bool,
    /// Share of the limit that is left, if told.
    pub left: Option<f64>,
    /// The limit, if told.
    pub limit: Option<f64>,
    /// The call had been given up before and counts for this endpoint's limit alone.
    pub late_from: Option<u32>,
}

impl Done {
    /// One whose answer told nothing beside.
    pub fn plain(call: CallId, ending: AttemptOutcome) -> Done {
        Done { call, ending, over: false, left: None, limit: None, late_from: None }
    }
}

/// How a call may begin.
#[derive(Debug, PartialEq, Eq)]
pub enum Begin {
    /// On this connection, now.
    Now(LinkId),
    /// When this new connection is there.
    Connect(LinkId),
    /// Not at all: all connections are in use.
    Full,
}

/// The connections.
#[derive(Debug)]
pub struct Links {
    most: usize,
    keep: Time,
    connect_within: Time,
    all: BTreeMap<LinkId, Link>,
    calls: BTreeMap<CallId, LinkId>,
    trust: Trust,
    /// To be closed by the shell.
    closed: Vec<LinkId>,
    /// On these the shell is to send no more.
    given_up: Vec<LinkId>,
}

impl Links {
    /// At most so many are kept.
    pub fn new(most: usize, site: &DeploymentSettings) -> Links {
        Links {
            most,
            keep: site.settings.idle_timeout / IDLE_PART.1 * IDLE_PART.0,
            connect_within: site.settings.connect_timeout,
            all: BTreeMap::new(),
            calls: BTreeMap::new(),
            trust: Trust::default(),
            closed: vec![],
            given_up: vec![],
        }
    }

    /// How many there are, calls out among them.
    pub fn len(&self) -> (usize, usize) {
        (self.all.len(), self.calls.len())
    }

    /// Connections that were given up since the last time.
    pub fn closed(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.closed)
    }

    /// Connections whose calls were given up since the last time: nothing more is sent on them.
    pub fn given_up(&mut self) -> Vec<LinkId> {
        std::mem::take(&mut self.given_up)
    }

    fn drop_link(&mut self, id: LinkId) -> Option<CallId> {
        let link = self.all.remove(&id)?;
        self.closed.push(id);
        link.call.iter().for_each(|call| {
            self.calls.remove(call);
        });
        link.call
    }

    /// Begins a call; a connection that has to be made gets the name `new`.
    pub fn begin(
        &mut self,
        call: CallId,
        endpoint: u32,
        address: SocketAddr,
        now: Time,
        new: LinkId,
    ) -> Begin {
        let mine = self.all.iter().filter(|(_, l)| l.endpoint == endpoint && l.address == address);
        let settled = mine.filter_map(|(&id, l)| match l.state {
            // What is still to come of an answer's body would be read as the next answer.
            State::Idle { since } if l.body == 0 && since + SETTLE <= now && since + self.keep > now => {
                Some((since, id))
            }
            _ => None,
        });
        if let Some((since, id)) = settled.max() {
            if self.trust.holds(now, now - since) {
                if let Some(l) = self.all.get_mut(&id) {
                    (l.call, l.idle) = (Some(call), Some(now - since));
                }
                self.calls.insert(call, id);
                return Begin::Now(id);
            }
            self.drop_link(id);
        }
        if self.all.len() >= self.most {
            let spare = self.all.iter().filter_map(|(&id, l)| match l.state {
                State::GivenUp { since, .. } => Some((false, since, id)),
                State::Idle { since } => Some((true, since, id)),
                _ => None,
            });
            let Some((.., oldest)) = spare.min() else { return Begin::Full };
            self.drop_link(oldest);
        }
        let link = Link {
            endpoint,
            address,
            state: State::Connecting { since: now },
            call: Some(call),
            bytes: vec![],
            queued: 0,
            body: 0,
            idle: None,
        };
        self.all.insert(new, link);
        self.calls.insert(call, new);
        Begin::Connect(new)
    }

    /// The call that a connection is for, if it is ours; `Some(None)` if it has none.
    pub fn call(&self, id: LinkId) -> Option<Option<CallId>> {
        self.all.get(&id).map(|l| l.call)
    }

    /// Where a connection of ours leads.
    pub fn address(&self, id: LinkId) -> Option<SocketAddr> {
        self.all.get(&id).map(|l| l.address)
    }

    /// The call's bytes are queued now.
    pub fn sent(&mut self, id: LinkId, length: usize) {
        if let Some(l) = self.all.get_mut(&id) {
            l.queued += length as u64;
            l.state = State::Out { began: None };
            l.bytes = Vec::new();
            l.body = 0;
        }
    }

    /// The call's bytes are queued.
    pub fn is_out(&self, call: CallId) -> bool {
        let link = self.calls.get(&call).and_then(|id| self.all.get(id));
        link.is_some_and(|l| matches!(l.state, State::Out { .. }))
    }

    /// Gives a call up. `Some(true)`: its bytes were queued, so it may run. Its answer may be on its way, and a wait
    /// that it tells binds all the same: it is read for as long as a connection may take.
    pub fn cancel(&mut self, call: CallId, now: Time) -> Option<bool> {
        let id = *self.calls.get(&call)?;
        let l = self.all.get_mut(&id)?;
        if !matches!(l.state, State::Out { .. }) {
            self.drop_link(id);
            return Some(false);
        }
        (l.state, l.call) = (State::GivenUp { call, since: now }, None);
        self.calls.remove(&call);
        self.given_up.push(id);
        Some(true)
    }

    /// Leaves the connection that a call was to use to the next one: nothing was written on it.
    pub fn spare(&mut self, call: CallId, now: Time) {
        let Some(l) = self.calls.remove(&call).and_then(|id| self.all.get_mut(&id)) else { return };
        let since = match l.state {
            State::Idle { since } => since,
            _ => now,
        };
        (l.state, l.call, l.idle) = (State::Idle { since }, None, None);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: u32) {
        let idle = |l: &Link| l.endpoint == endpoint && matches!(l.state, State::Idle { .. });
        let ids: Vec<LinkId> = self.all.iter().filter(|(_, l)| idle(l)).map(|(&id, _)| id).collect();
        for id in ids {
            self.drop_link(id);
        }
    }

    /// A connection could not be made.
    pub fn failed(&mut self, id: LinkId) -> Option<Done> {
        self.drop_link(id).map(|call| Done::plain(call, AttemptOutcome::NoConnection))
    }

    /// A connection ended; the system took so many bytes of ours on it.
    pub fn down(&mut self, id: LinkId, written: u64, now: Time) -> Option<Done> {
        let l = self.all.get(&id)?;
        let ending = match l.state {
            State::Connecting { .. } => AttemptOutcome::NoConnection,
            _ if written < l.queued => AttemptOutcome::NoConnection,
            _ if matches!(parse_response(&l.bytes), ParsedResponse::Incomplete { ok: true }) => {
                AttemptOutcome::Served
            }
            _ => AttemptOutcome::Reset,
        };
        if l.state == (State::Out { began: None }) {
            self.trust.note(now, l.idle, true);
        }
        self.drop_link(id).map(|call| Done::plain(call, ending))
    }

    /// Bytes came on a connection.
    pub fn bytes(&mut self, id: LinkId, bytes: &[u8], now: Time, site: &DeploymentSettings) -> Option<Done> {
        let l = self.all.get_mut(&id)?;
        if let State::GivenUp { call, .. } = l.state {
            l.bytes.extend_from_slice(bytes);
            return self.late(id, call, site);
        }
        let State::Out { began } = &mut l.state else {
            // Nothing was asked: the rest of a body, or what belongs to no answer.
            if bytes.len() > l.body {
                self.drop_link(id);
            } else {
                l.body -= bytes.len();
            }
            return None;
        };
        if began.is_none() {
            *began = Some(now);
            self.trust.note(now, l.idle, false);
        }
        l.bytes.extend_from_slice(bytes);
        let call = l.call?;
        match parse_response(&l.bytes) {
            ParsedResponse::Incomplete { .. } => None,
            ParsedResponse::Malformed { ok } => {
                self.drop_link(id);
                Some(Done::plain(call, if ok { AttemptOutcome::Served } else { AttemptOutcome::Error }))
            }
            ParsedResponse::Head(head) => self.head(id, call, &head, now, site),
        }
    }

    /// Bytes came for a call that was given up. An answer that turns it away tells of the limit; a first line with
    /// 200 says that the message is delivered, whatever we thought.
    fn late(&mut self, id: LinkId, call: CallId, site: &DeploymentSettings) -> Option<Done> {
        let l = self.all.get(&id)?;
        let (told, endpoint) = match parse_response(&l.bytes) {
            ParsedResponse::Incomplete { ok: false } => return None,
            ParsedResponse::Head(head) => ((ending(&head).0, report(&head, site)), l.endpoint),
            ParsedResponse::Incomplete { ok } | ParsedResponse::Malformed { ok } => {
                let ending = if ok { AttemptOutcome::Served } else { AttemptOutcome::Error };
                ((ending, (None, None)), l.endpoint)
            }
        };
        self.drop_link(id);
        let (ending, (left, limit)) = told;
        let done = Done { left, limit, late_from: Some(endpoint), ..Done::plain(call, ending) };
        matches!(ending, AttemptOutcome::Rejected { .. } | AttemptOutcome::Served).then_some(done)
    }

    fn head(
        &mut self,
        id: LinkId,
        call: CallId,
        head: &ResponseHead,
        now: Time,
        site: &DeploymentSettings,
    ) -> Option<Done> {
        let l = self.all.get_mut(&id)?;
        let here = l.bytes.len() - head.length;
        // A spoilt answer has run, whatever its status: one that is to say otherwise has to be whole.
        if head.status != 200 && head.body.is_some_and(|n| n > here) {
            return None;
        }
        let (ending, over) = match head.body {
            None if head.status != 200 => (AttemptOutcome::Error, false),
            _ => ending(head),
        };
        let (left, limit) = report(head, site);
        let clean = !head.last && head.body.is_some_and(|n| n >= here);
        if clean {
            l.body = head.body.unwrap_or(0) - here;
            (l.state, l.call, l.bytes) = (State::Idle { since: now }, None, Vec::new());
            self.calls.remove(&call);
        } else {
            self.drop_link(id);
        }
        Some(Done { call, ending, over, left, limit, late_from: None })
    }

    /// Connections whose time is up.
    pub fn overdue(&mut self, now: Time) -> Vec<Done> {
        let mut done = Vec::new();
        let ids: Vec<LinkId> =
            self.all.iter().filter(|(_, l)| self.due(l) <= now).map(|(&id, _)| id).collect();
        for id in ids {
            let Some(l) = self.all.get(&id) else { continue };
            let ending = match l.state {
                State::Connecting { .. } => AttemptOutcome::NoConnection,
                _ if matches!(parse_response(&l.bytes), ParsedResponse::Incomplete { ok: true }) => {
                    AttemptOutcome::Served
                }
                _ => AttemptOutcome::Error,
            };
            done.extend(self.drop_link(id).map(|call| Done::plain(call, ending)));
        }
        done
    }

    fn due(&self, l: &Link) -> Time {
        match l.state {
            State::Connecting { since } | State::GivenUp { since, .. } => since + self.connect_within,
            State::Idle { since } if l.body > 0 => since + REST_OF_GOOD,
            State::Idle { since } => since + self.keep,
            State::Out { began: None } => Time::MAX,
            State::Out { began: Some(at) } => {
                let good = matches!(parse_response(&l.bytes), ParsedResponse::Incomplete { ok: true });
                at + if good { REST_OF_GOOD } else { REST_OF_OTHER }
            }
        }
    }

    /// When the next one's time is up.
    pub fn wake(&self) -> Time {
        self.all.values().map(|l| self.due(l)).min().unwrap_or(Time::MAX)
    }
}

/// What an answer means, as the protocol's table has it; and whether it says that the message is over.
fn ending(head: &ResponseHead) -> (AttemptOutcome, bool) {
    let wait = head.field("x-backoff-ms").and_then(parse_decimal).unwrap_or(0).saturating_mul(MS);
    match head.status {
        200 => (AttemptOutcome::Served, true),
        429 => (AttemptOutcome::Rejected { retry_after: wait }, false),
        503 if head.field("x-egress-full") == Some(b"1") => {
            (AttemptOutcome::NotSent { no_capacity: true }, false)
        }
        503 => (AttemptOutcome::Rejected { retry_after: wait }, false),
        504 => (AttemptOutcome::NotSent { no_capacity: false }, false),
        410 => (AttemptOutcome::NotSent { no_capacity: false }, true),
        _ => (AttemptOutcome::Error, false),
    }
}

/// The load report of an answer: share of the limit that is left, and the limit. What cannot be read is none.
fn report(head: &ResponseHead, site: &DeploymentSettings) -> (Option<f64>, Option<f64>) {
    let text = head.field("x-pressure").and_then(|v| std::str::from_utf8(v).ok()).unwrap_or("");
    let value = |name: &str| {
        site.load_report_index(name)?;
        let mut pairs = text.split(',').map(str::trim).filter_map(|p| p.split_once('='));
        let number: f64 = pairs.find(|p| p.0 == name)?.1.parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    };
    (value(CAPACITY_LEFT_FIELD), value(RATE_LIMIT_FIELD))
}
