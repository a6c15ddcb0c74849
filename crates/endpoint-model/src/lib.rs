//! A model of member systems, free of I/O: what each endpoint does with a call, when, and what it tells.
//!
//! A *limit* is what calls count against: a destination, or one endpoint of it where routes are apart. It turns
//! calls away above its rate or count, serves what it takes through a queue at its capacity, may be out, comes
//! back cold, and falls over when it is pushed while it is cold. Sockets and virtual time drive the same model;
//! randomness comes from a seed, and every call leaves a record for the rule checks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod limit;

use limit::Unit;
use linnetcart_conformance::{Arrival, EndpointVerdict, Idempotency, Outage, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a kind of destination limits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum LimitKind {
    /// Nothing but its capacity.
    None,
    /// A plain rate.
    Rate,
    /// A count in each span of so many milliseconds.
    Window {
        /// The span.
        ms: u64,
    },
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// What it limits.
    pub limit: LimitKind,
    /// Refused calls use up the limit too.
    pub refused_count: bool,
    /// Share of refusals that tell how long to wait.
    pub tells_wait: f64,
    /// Least and longest wait that a plain rate tells.
    pub wait: (Time, Time),
    /// Capacity over the limit.
    pub spare: f64,
    /// How long a call may stand in the queue.
    pub depth: Time,
    /// Spread of the service times: deviation over mean.
    pub cv: f64,
    /// Connections that an endpoint takes; 0 for any number.
    pub connections: usize,
    /// Endpoints are separate routes.
    pub independent_routes: bool,
    /// Messages in one call at most.
    pub max_messages_per_call: usize,
    /// Work of a further message in a call, as a part of the first's.
    pub item_cost: f64,
    /// Limits are told this often; 0 for never.
    pub report_every: Time,
}

/// A destination.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedDestination {
    /// Its number.
    pub destination: u32,
    /// Its kind.
    pub kind: usize,
    /// Calls a second that it, or each of its routes, takes.
    pub rate: f64,
    /// Its endpoints: number and zone.
    pub endpoints: Vec<(u32, u8)>,
    /// Its pace: its service times over the usual ones.
    pub pace: f64,
}

/// A class as endpoints see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassWork {
    /// Usual service time.
    pub service: Time,
    /// What they do with a repeat.
    pub idempotency: Idempotency,
}

/// Figures of outages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryModel {
    /// Share of the capacity right after an outage.
    pub slow_start_ratio: f64,
    /// All of it after this.
    pub slow_start_duration: Time,
    /// Sent more than this multiple of what it can do,
    pub overload_ratio: f64,
    /// for so long, it falls over.
    pub overload_window: Time,
}

/// A trouble of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointFault {
    /// Share of calls that fail quickly.
    pub errors: f64,
    /// Takes calls and answers none.
    pub silent: bool,
    /// Takes no connections and breaks those it has.
    pub down: bool,
    /// Answers nothing at all, not even connections.
    pub vanished: bool,
    /// Service times grow by this factor; 0 counts as 1.
    pub slow: f64,
    /// Share of calls that are carried out and not answered.
    pub answers_lost: f64,
    /// A class, the share of its messages that fail, and whether they are left unanswered.
    pub class_fails: Option<(u8, f64, bool)>,
    /// A connection takes so long to be made.
    pub slow_connect: Time,
    /// Connections idle for so long are dropped unseen.
    pub reap: Option<Time>,
    /// Everything stands still until then.
    pub paused_until: Time,
}

/// A message in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The message.
    pub message: u64,
    /// Its class.
    pub class: u8,
}

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// The courier.
    pub courier: u32,
    /// In which of its lives.
    pub incarnation: u32,
}

/// How a message of a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus {
    /// Served.
    Served,
    /// Turned away.
    Rejected,
    /// An error.
    Error,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// For each message.
    pub codes: Vec<ItemStatus>,
    /// The wait that is told, 0 for none.
    pub retry_after: Time,
    /// Share of the limit that is left, and the limit, if told.
    pub load: Option<(f64, f64)>,
}

/// What is to be done with a call now.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Answer it.
    Answer(Reply),
    /// Ask again then, by [`World::finish`].
    At(Time),
    /// Never answer it.
    Silent,
    /// Break its connection.
    Break,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It is taken after so long.
    Accepted {
        /// How long that takes.
        after: Time,
    },
    /// It is closed at once.
    Refused,
    /// Nobody answers.
    Unanswered,
}

#[derive(Debug)]
struct Endpoint {
    destination: u32,
    zone: u8,
    trouble: EndpointFault,
    connections: usize,
    gone: bool,
}

#[derive(Debug)]
struct Call {
    endpoint: u32,
    items: Vec<CallItem>,
    records: std::ops::Range<usize>,
    /// What was decided on arrival; the state at the end may change it.
    fails: Vec<Option<bool>>,
    lost: bool,
}

/// All member systems.
#[derive(Debug)]
pub struct EndpointSimulator {
    kinds: Vec<Kind>,
    classes: Vec<ClassWork>,
    returns: RecoveryModel,
    members: BTreeMap<u32, SimulatedDestination>,
    endpoints: BTreeMap<u32, Endpoint>,
    units: BTreeMap<(u32, Option<u32>), Unit>,
    calls: BTreeMap<u64, Call>,
    next: u64,
    /// When a keyed message first ran: by group and message.
    seen: BTreeMap<(u32, Option<u8>, u64), Time>,
    rng: ChaCha8Rng,
    slow: f64,
    arrivals: Vec<Arrival>,
    outages: Vec<Outage>,
    fallen: Vec<(Time, u32)>,
}

/// Part of the failed calls that took effect all the same.
const ERROR_RAN: f64 = 0.3;

impl EndpointSimulator {
    /// These members, all in service and warm.
    pub fn new(
        kinds: Vec<Kind>,
        classes: Vec<ClassWork>,
        returns: RecoveryModel,
        members: Vec<SimulatedDestination>,
        seed: u64,
    ) -> EndpointSimulator {
        let mut world = EndpointSimulator {
            kinds,
            classes,
            returns,
            members: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            units: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 0,
            seen: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            slow: 1.0,
            arrivals: Vec::new(),
            outages: Vec::new(),
            fallen: Vec::new(),
        };
        for m in members {
            for &(id, zone) in &m.endpoints {
                world.put(&m, id, zone);
            }
            world.members.insert(m.destination, m);
        }
        world
    }

    fn put(&mut self, m: &SimulatedDestination, id: u32, zone: u8) {
        let endpoint = Endpoint {
            destination: m.destination,
            zone,
            trouble: EndpointFault::default(),
            connections: 0,
            gone: false,
        };
        self.endpoints.insert(id, endpoint);
        let kind = &self.kinds[m.kind];
        let unit = (m.destination, kind.independent_routes.then_some(id));
        self.units.entry(unit).or_insert_with(|| Unit::new(m.rate));
    }

    /// A further endpoint of a destination.
    pub fn add(&mut self, destination: u32, id: u32, zone: u8) {
        if let Some(mut m) = self.members.remove(&destination) {
            m.endpoints.push((id, zone));
            self.put(&m, id, zone);
            self.members.insert(destination, m);
        }
    }

    /// The endpoint is taken out of service.
    pub fn remove(&mut self, endpoint: u32) {
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.gone = true;
        }
    }

    /// The members.
    pub fn destinations(&self) -> impl Iterator<Item = &SimulatedDestination> {
        self.members.values()
    }

    /// The kind of a destination.
    pub fn kind(&self, destination: u32) -> Option<&Kind> {
        self.members.get(&destination).map(|m| &self.kinds[m.kind])
    }

    /// What reached the endpoints so far.
    pub fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    /// Outages so far; one that goes on has the end that was last told.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Limits that fell over: when, and whose.
    pub fn overloads(&self) -> &[(Time, u32)] {
        &self.fallen
    }

    /// All calls everywhere take so many times as long.
    pub fn slow_all(&mut self, factor: f64) {
        self.slow = factor;
    }

    /// The trouble of an endpoint, to be changed.
    pub fn fault_mut(&mut self, endpoint: u32) -> Option<&mut EndpointFault> {
        self.endpoints.get_mut(&endpoint).map(|e| &mut e.trouble)
    }

    /// Limits of a destination run at this part of their rate.
    pub fn throttle(&mut self, destination: u32, factor: f64) {
        for (_, unit) in self.units.range_mut((destination, None)..=(destination, Some(u32::MAX))) {
            unit.factor = factor;
        }
    }

    /// A destination refuses everything until then; 0 ends it.
    pub fn shut_down_until(&mut self, destination: u32, until: Time) {
        for (_, unit) in self.units.range_mut((destination, None)..=(destination, Some(u32::MAX))) {
            unit.shut_until = until;
        }
    }

    /// An outage of these endpoints of a destination begins or ends; afterwards their limits are cold.
    /// `until` is when it ends, as far as is known.
    pub fn outage(&mut self, destination: u32, now: Time, until: Time, refused_connections: bool) {
        let returns = self.returns;
        let Some(kind) = self.kind(destination).cloned() else { return };
        for (&(_, route), unit) in self.units.range_mut((destination, None)..=(destination, Some(u32::MAX))) {
            unit.cold_from(until);
            self.outages.push(Outage {
                destination,
                route,
                from: now,
                until,
                capacity: unit.capacity(&kind),
                slow_start_ratio: returns.slow_start_ratio,
                slow_start_duration: returns.slow_start_duration,
                refused_connections,
            });
        }
    }

    // ---- Connections

    /// Whether the endpoint's listener is there at all.
    pub fn listens(&self, endpoint: u32) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|e| !e.trouble.down && !e.gone)
    }

    /// Someone connects.
    pub fn connect(&mut self, endpoint: u32) -> ConnectOutcome {
        let Some(most) =
            self.endpoints.get(&endpoint).and_then(|e| self.kind(e.destination)).map(|k| k.connections)
        else {
            return ConnectOutcome::Refused;
        };
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return ConnectOutcome::Refused };
        if e.trouble.down || e.gone {
            return ConnectOutcome::Refused;
        }
        if e.trouble.vanished {
            return ConnectOutcome::Unanswered;
        }
        if most > 0 && e.connections >= most {
            return ConnectOutcome::Refused;
        }
        e.connections += 1;
        ConnectOutcome::Accepted { after: e.trouble.slow_connect }
    }

    /// A connection that was taken has ended.
    pub fn disconnect(&mut self, endpoint: u32) {
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.connections = e.connections.saturating_sub(1);
        }
    }

    // ---- Calls

    /// A call comes that was so long on its way, as far as is known. Returns its number and what to do now.
    pub fn receive_call(
        &mut self,
        now: Time,
        (caller, travelled): (Caller, Time),
        endpoint: u32,
        items: &[CallItem],
    ) -> (u64, CallStep) {
        self.next += 1;
        let id = self.next;
        let Some(e) = self.endpoints.get(&endpoint) else { return (id, CallStep::Break) };
        let (destination, zone, trouble, gone) = (e.destination, e.zone, e.trouble.clone(), e.gone);
        let member = &self.members[&destination];
        let (kind, pace) = (self.kinds[member.kind].clone(), member.pace);
        let first = self.arrivals.len();
        for item in items {
            self.arrivals.push(Arrival {
                message: item.message,
                call: id,
                courier: caller.courier,
                incarnation: caller.incarnation,
                destination,
                endpoint,
                zone,
                independent_route: kind.independent_routes,
                at: now,
                travelled,
                verdict: EndpointVerdict::Unanswered,
                answered: None,
                effect: false,
            });
        }
        let records = first..self.arrivals.len();
        let call =
            Call { endpoint, items: items.to_vec(), records, fails: vec![None; items.len()], lost: false };
        self.calls.insert(id, call);
        if trouble.down || gone {
            self.calls.remove(&id);
            return (id, CallStep::Break);
        }
        let Some(unit) = self.units.get_mut(&(destination, kind.independent_routes.then_some(endpoint)))
        else {
            return (id, CallStep::Break);
        };
        if unit.push(now, &self.returns, &kind) {
            self.fallen.push((now, destination));
        }
        if trouble.vanished || trouble.silent || unit.fallen {
            self.calls.remove(&id);
            return (id, CallStep::Silent);
        }
        let work = 1.0 + kind.item_cost * (items.len() as f64 - 1.0);
        let draws = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let start = match unit.take(now, work, &kind, &self.returns, draws) {
            Ok(start) => start,
            Err(wait) => {
                let load = unit.load(now, &kind);
                let reply = Reply { codes: vec![ItemStatus::Rejected; items.len()], retry_after: wait, load };
                return (id, self.settle(id, now, reply));
            }
        };
        if self.rng.random::<f64>() < trouble.errors {
            if let Some(c) = self.calls.get_mut(&id) {
                c.fails.fill(Some(false));
            }
            return (id, CallStep::At(now + 2_000_000));
        }
        let lost = self.rng.random::<f64>() < trouble.answers_lost;
        // Messages of one class in a call share their fate: an answer has one code for them.
        let class_draw = self.rng.random::<f64>();
        let mut fails = Vec::new();
        let mut service = 0;
        for item in items {
            let class = &self.classes[usize::from(item.class)];
            let part = trouble.class_fails.filter(|c| c.0 == item.class);
            fails.push(part.filter(|c| class_draw < c.1).map(|c| c.2));
            let mean = class.service as f64 * pace * self.slow * trouble.slow.max(1.0);
            let spread = (1.0 + kind.cv * kind.cv).ln().sqrt();
            // A deviation that is finite and not below zero is always a distribution.
            let drawn = LogNormal::new(mean.ln() - spread * spread / 2.0, spread)
                .map_or(mean, |d| d.sample(&mut self.rng));
            service = service.max(drawn as Time);
        }
        if let Some(c) = self.calls.get_mut(&id) {
            (c.fails, c.lost) = (fails, lost);
        }
        (id, CallStep::At(start + service.max(1000)))
    }

    /// The time of a call has come.
    pub fn finish_call(&mut self, now: Time, id: u64) -> CallStep {
        let Some(call) = self.calls.get(&id) else { return CallStep::Silent };
        let Some(e) = self.endpoints.get(&call.endpoint) else { return CallStep::Break };
        let (destination, zone) = (e.destination, e.zone);
        if e.trouble.down {
            return CallStep::Break;
        }
        if e.trouble.paused_until > now {
            return CallStep::At(e.trouble.paused_until);
        }
        // What began before the endpoint fell silent is carried out and not answered.
        let silent = e.trouble.silent || e.trouble.vanished || call.lost;
        let (items, fails, records) = (call.items.clone(), call.fails.clone(), call.records.clone());
        let Some(kind) = self.kind(destination).cloned() else { return CallStep::Break };
        let mut codes = Vec::new();
        let mut quiet = silent;
        for ((item, fail), record) in items.iter().zip(&fails).zip(records) {
            let ran = fail.is_none() || self.rng.random::<f64>() < ERROR_RAN;
            let effect = ran && self.takes_effect(now, destination, zone, *item);
            self.arrivals[record].effect = effect;
            quiet |= *fail == Some(true);
            codes.push(if fail.is_some() { ItemStatus::Error } else { ItemStatus::Served });
        }
        if quiet {
            self.calls.remove(&id);
            return CallStep::Silent;
        }
        let unit = self
            .units
            .get_mut(&(destination, kind.independent_routes.then_some(call_endpoint(&self.calls, id))));
        let load = unit.and_then(|u| u.load(now, &kind));
        self.settle(id, now, Reply { codes, retry_after: 0, load })
    }

    fn takes_effect(&mut self, now: Time, destination: u32, zone: u8, item: CallItem) -> bool {
        let Idempotency::Keyed { dedup_window: window, per_zone: by_zone } =
            self.classes[usize::from(item.class)].idempotency
        else {
            return true;
        };
        let group = (destination, by_zone.then_some(zone), item.message);
        match self.seen.get(&group) {
            Some(&at) if now < at + window => false,
            _ => {
                self.seen.insert(group, now);
                true
            }
        }
    }

    /// Notes the answer of a call and forgets the call.
    fn settle(&mut self, id: u64, now: Time, reply: Reply) -> CallStep {
        if let Some(call) = self.calls.remove(&id) {
            for (record, code) in call.records.zip(&reply.codes) {
                let a = &mut self.arrivals[record];
                a.answered = Some(now);
                a.verdict = match code {
                    ItemStatus::Served => EndpointVerdict::Served,
                    ItemStatus::Rejected => EndpointVerdict::Rejected { retry_after: reply.retry_after },
                    ItemStatus::Error => EndpointVerdict::Error,
                };
            }
        }
        CallStep::Answer(reply)
    }
}

fn call_endpoint(calls: &BTreeMap<u64, Call>, id: u64) -> u32 {
    calls.get(&id).map_or(0, |c| c.endpoint)
}

#[cfg(test)]
mod tests;
