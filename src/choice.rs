//! Every decision of the courier. Its types, events and actions are in `src/interface.rs`.
//!
//! In order: values, state, a round, the list, messages, outcomes, sending, the gate, copies, health.

use crate::interface::*;
use crate::state::{
    apart_kind, drop_gone, least, seconds, Agenda, Call, Dest, Group, Health, Latencies, Lines, Msg, Node,
    Out, Random, Site, Stand, Table, Waits,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- Values. Spans in seconds are turned into settings' terms where a setting gives the measure.

/// "Not until something happens": no clock time helps.
const NEVER: Time = Time::MAX;
/// Nanoseconds in a second.
const SECOND: f64 = 1e9;
/// Tokens of a full bucket. A courier sees a few calls a second at a destination: ten are seconds of it.
const BUCKET: f64 = 10.0;
/// Tokens that a failure costs: two failures in a row close a full bucket to extras.
const BUCKET_RATIO: f64 = 3.0;
/// Served latencies kept for the resend time; a twentieth of 40 is two.
const LATENCIES: usize = 40;
/// Samples from which the percentile is used instead of the aim.
const ENOUGH: usize = 5;
/// A call is overdue after this many resend times: by then one in hundreds would still be due.
const OVERDUE: u64 = 2;
/// Weight of the newest outcome in the failing share: a handful of outcomes settle it.
const NEWEST: f64 = 0.3;
/// Failing share at which a limit counts as out: three failures in a row, or most calls of late.
const OUT_AT: f64 = 0.6;
/// The same for one endpoint of several, where others can serve: two in a row.
const OUT_AT_ENDPOINT: f64 = 0.5;
/// Failing share from which messages that have no second chance are held back: above chance errors.
const RISKY: f64 = 0.25;
/// Refusals in a row that may mean "shut".
const SHUT_RUN: u32 = 3;
/// Told room at which a refusal means "shut": above a limit there is none, as far as reports are fresh.
const SHUT_ROOM: f64 = 0.75;
/// Part of the fall budget that is used where a courier's part is several calls: travel may add the rest.
const BUDGET_PART: f64 = 0.9;
/// The same where it is less than one call: chance brings several couriers together.
const BUDGET_RANDOM: f64 = 0.5;
/// Fall spans before the first trouble seen here in which others may have seen it.
const KNOWN_BEFORE: f64 = 2.0;
/// Calls in a fall span that any destination bears from all couriers together.
const LEAST_CALLS: f64 = 4.0;
/// What couriers that know of an outage may send together, of what those send that do not.
const BESIDE: f64 = 0.2;
/// Seconds over which the usual rate is taken at least.
const USUAL_OVER: f64 = 10.0;
/// Growth of the time over which couriers that want a limit are counted, with the time that refusals last and
/// the fall span before: tries must stay under the limit together, as those that are refused may use it up.
const TROUBLE: f64 = 10.0;
/// Part of a limit that hundreds may fill together: chance fills the rest, and refused calls may use it up.
const FILL: f64 = 0.8;
/// What a success adds to the parts taken, where all room is told to be left: those of others grow as well.
const GROWTH: f64 = 0.1;
/// Connections that any endpoint takes from all couriers together.
const LEAST_CONNECTIONS: f64 = 8.0;
/// A burst may take the pace of this many seconds; destinations queue about as much.
const BURST: f64 = 0.5;
/// Weight of the lot by which couriers differ in the endpoint that they like best, in calls.
const LOT: f64 = 0.5;
/// Share of `max_held` from which messages are handed back rather than turned away unseen.
const CROWDED: f64 = 0.9;

// ---- State of a courier; that of a destination, endpoint, limit and message is in `src/state.rs`

/// The decisions of one courier.
#[derive(Debug, Default)]
pub struct Dispatcher {
    set: Settings,
    random: Random,
    now: Time,
    wake: Time,
    pending: Time,
    /// How much later than wanted this round came.
    late: Time,
    seq: u64,
    dests: Table<Dest>,
    sites: Table<Site>,
    msgs: BTreeMap<u32, Msg>,
    outs: BTreeMap<(u32, u16), Out>,
    calls: BTreeMap<u64, Call>,
    lines: Lines,
    /// Served latencies of late, whatever the destination.
    latencies: Latencies,
    /// What a round looks for, kept as it changes: open messages by the end of their time, those that wait,
    /// attempts out and not called off by when they are overdue, lone ones by when a copy may go.
    due: BTreeSet<(Time, u32)>,
    waits: Waits,
    running: Agenda,
    lone: Agenda,
    ask_at: Time,
    ask_gap: Time,
    actions: Vec<Action>,
}

// ---- One round

impl Dispatcher {
    /// A courier that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let ask_at = if set.endpoint_list_polled { 0 } else { NEVER };
        Dispatcher { set, random: Random(seed), pending: NEVER, ask_at, ..Dispatcher::default() }
    }

    /// Takes all events of a round at clock time `now` and says what is to be done.
    pub fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        (self.wake, self.late) = (NEVER, self.now.saturating_sub(self.pending));
        for event in events {
            match event {
                Event::EndpointList { complete: whole, entries } => self.listed(whole, entries),
                Event::EndpointListFailed => self.list_failed(),
                Event::Accepted(taken) => self.take(taken, Vec::new(), 0, false),
                Event::Recovered { message: taken, attempts, unresolved: open } => {
                    self.take(taken, open, attempts, true)
                }
                Event::ClientCancelled { message } => self.end(message),
                Event::AttemptFinished(outcome) => self.ended(outcome),
                Event::HealthChecked(_) | Event::Gossip { .. } | Event::WokenUp => {}
            }
        }
        self.ask();
        self.lines.forget(self.now);
        self.answer_due();
        self.look_for_silence();
        self.shed();
        self.dispatch();
        self.copy();
        // A wake-up may come rounded down: one that is due within a tick counts as used.
        if self.pending <= self.now + self.set.tick || self.wake < self.pending {
            self.pending = self.wake.max(self.now + 1);
            if self.pending != NEVER {
                self.actions.push(Action::WakeUp { at: self.pending });
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Rule 5 for a call whose connection took its time: a wait told since it was chosen binds it too.
    pub fn retry_after_pending(&self, now: Time, endpoint: u32) -> bool {
        self.node(endpoint).is_some_and(|node| node.wait_until > now)
    }

    fn wake_at(&mut self, at: Time) {
        self.wake = self.wake.min(at);
    }

    // ---- The list

    fn listed(&mut self, whole: bool, entries: Vec<Endpoint>) {
        if self.ask_at != NEVER && self.ask_gap > 0 {
            (self.ask_at, self.ask_gap) = (NEVER, 0);
        }
        if whole {
            self.sites.each(|_, s| s.listing = EndpointStatus::Removed);
        }
        let mut changed = BTreeSet::new();
        for e in entries {
            if e.status == EndpointStatus::Removed && !self.sites.contains(e.id) {
                continue;
            }
            let dest = self.dests.get_or_insert_with(e.destination, || Dest::new(e.kind, self.now));
            dest.kind = e.kind;
            dest.endpoints.insert(e.id);
            changed.insert(e.destination);
            let apart = apart_kind(&self.set, e.kind);
            let out_at = if apart { OUT_AT } else { OUT_AT_ENDPOINT };
            let lot = -(1.0 - self.random.draw()).ln();
            let site = self.sites.get_or_insert_with(e.id, || Site {
                lot,
                node: Node::new(out_at, self.now),
                dest: e.destination,
                zone: e.zone,
                ..Site::default()
            });
            site.listing = e.status;
            if self.set.rate_accuracy != RateAccuracy::Unspecified && e.rate > 0.0 {
                let node = if apart { &mut site.node } else { &mut dest.node };
                // A rough figure, or none of a limit at all, is no reason to hold anything back unrefused.
                (node.limit, node.exact) = (e.rate, self.set.rate_accuracy == RateAccuracy::Exact);
            }
        }
        // What was told of a wait outlives the entry: it may be back before the wait is over.
        let now = self.now;
        self.sites
            .retain(|_, s| s.listing != EndpointStatus::Removed || s.calls > 0 || s.node.wait_until > now);
        changed.extend(drop_gone(&mut self.dests, &self.sites));
        changed.iter().for_each(|&id| self.respan(id));
    }

    /// The list or its watch failed: ask again, each time later, so that many couriers do not jam it.
    fn list_failed(&mut self) {
        self.ask_gap =
            (self.ask_gap * 2).clamp(self.set.max_poll_interval / 20, self.set.max_poll_interval / 3);
        self.ask_at = self.now + (self.ask_gap as f64 * (0.5 + self.random.draw())) as Time;
    }

    fn ask(&mut self) {
        if self.ask_at <= self.now {
            self.actions.push(Action::WatchEndpoints);
            // Should no answer come at all, ask again well before the list counts as told.
            self.ask_gap = self.ask_gap.max(1);
            self.ask_at = self.now + self.set.max_poll_interval / 2;
        }
        self.wake_at(self.ask_at);
    }

    // ---- Messages

    /// With what an earlier run of this courier left of it, if any: attempts, and those that may have run.
    fn take(&mut self, t: AcceptedMessage, open: Vec<UnresolvedAttempt>, attempts: u16, resumed: bool) {
        let class = usize::from(t.class);
        if class >= self.set.classes.len() || self.msgs.contains_key(&t.id) {
            return;
        }
        let deadline = self.set.classes[class].deadline;
        let due = self.now + t.time_remaining;
        let key = if self.set.classes[class].ordered { t.ordering_key } else { 0 };
        self.seq += 1;
        let msg = Msg {
            dest: t.destination,
            class,
            key,
            seq: self.seq,
            taken: due.saturating_sub(deadline),
            due,
            attempts,
            maybe: open.iter().map(|o| (self.now.saturating_sub(o.age), o.attempt, o.zone)).collect(),
            uncalled: (resumed && open.is_empty()).then_some(attempts),
            ..Msg::default()
        };
        self.lines.join(key, (msg.seq, t.id));
        // A call that was out when its process died was reset then, or may have been just now.
        self.lines.rest(key, if open.is_empty() { 0 } else { self.now + self.set.key_cooldown });
        self.dests.get_or_insert_with(t.destination, || Dest::new(0, self.now));
        self.due.insert((due, t.id));
        self.msgs.insert(t.id, msg);
        self.wait(t.id);
    }

    /// From now on it waits, and stands as it does now.
    fn wait(&mut self, id: u32) {
        self.wait_no_more(id);
        let Some(m) = self.msgs.get(&id) else { return };
        let line = self.lines.get(m.key);
        let first = m.maybe.iter().min();
        let (stale, by_zone) = match self.set.classes[m.class].idempotency {
            Idempotency::Keyed { dedup_window: window, per_zone: by_zone } => {
                (first.map(|f| (f.0 + window).saturating_sub(self.set.connect_timeout)), by_zone)
            }
            _ => (None, false),
        };
        let stand = match first {
            _ if line.is_some_and(|l| l.queue.first() != Some(&(m.seq, id))) => Stand::Behind,
            _ if line.is_some_and(|l| l.rest > self.now && m.attempts == 0) => Stand::Resting,
            Some(first) => Stand::Again(by_zone.then_some(first.2)),
            None => Stand::Fresh,
        };
        let stale = if self.may_resend(m, None) { stale } else { Some(self.now) };
        let (dest, spare) = (m.dest, self.may_refuse(m) && !m.owed_a_call());
        if let (Some(m), Some(d)) = (self.msgs.get_mut(&id), self.dests.get_mut(dest)) {
            self.waits.join(id, m, d, stand, stale, spare);
        }
    }

    fn wait_no_more(&mut self, id: u32) {
        if let Some(m) = self.msgs.get_mut(&id) {
            self.waits.leave(id, m, self.dests.get_mut(m.dest));
        }
    }

    /// The message has its answer: nothing more goes out for it, and what is out is called off.
    fn end(&mut self, id: u32) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        m.over = true;
        self.due.remove(&(m.due, id));
        self.wait_no_more(id);
        if self.set.cancellation_allowed {
            let outs = self.outs.range((id, 0)..=(id, u16::MAX)).filter(|(_, out)| !out.cancelled);
            let off: Vec<u16> = outs.map(|(&(_, attempt), _)| attempt).collect();
            off.iter().for_each(|&attempt| self.call_off(id, attempt));
        }
        self.count_out(id);
        self.forget(id);
    }

    fn call_off(&mut self, message: u32, attempt: u16) {
        let Some(out) = self.outs.get_mut(&(message, attempt)) else { return };
        out.cancelled = true;
        let sent = out.sent;
        self.actions.push(Action::Cancel { message, attempt });
        self.runs_no_more(message, attempt, sent);
    }

    fn runs_no_more(&mut self, message: u32, attempt: u16, sent: Time) {
        let Some(m) = self.msgs.get(&message) else { return };
        self.running.remove(self.group(m), (sent, message, attempt));
    }

    /// Keeps the index of lone attempts true after one was sent, called off or ended, or its message is over.
    fn count_out(&mut self, id: u32) {
        let Some(m) = self.msgs.get(&id) else { return };
        let span = self.copy_span((Some(m.dest), m.class));
        if let Some(m) = self.msgs.get_mut(&id) {
            self.lone.keep_lone(id, m, &self.outs, span);
        }
    }

    /// Drops a message that is over and has nothing out; its key's line moves on.
    fn forget(&mut self, id: u32) {
        let Some(m) = self.msgs.get(&id) else { return };
        if !m.over || m.live > 0 {
            return;
        }
        let (key, seq) = (m.key, m.seq);
        self.msgs.remove(&id);
        let next = self.lines.leave(key, (seq, id));
        if let Some(next) = next.filter(|next| self.msgs.get(next).is_some_and(|m| m.stand.is_some())) {
            self.wait(next);
        }
    }

    /// Handing back is harmless when nothing may have run, or when a repeat does no harm wherever it goes.
    fn may_refuse(&self, m: &Msg) -> bool {
        match self.set.classes[m.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. } => true,
            _ => m.maybe.is_empty(),
        }
    }

    fn give_up(&mut self, id: u32, come_back: Time) {
        let Some(m) = self.msgs.get(&id).filter(|m| !m.over) else { return };
        self.actions.push(if self.may_refuse(m) {
            Action::Reject { message: id, retry_after: come_back.min(self.set.max_retry_after) }
        } else {
            Action::Fail { message: id }
        });
        self.end(id);
    }

    /// Rule 1: whatever is still open is answered two rounds before its time is up; at once when it may have
    /// run and may not go again.
    fn answer_due(&mut self) {
        let at = self.now + 2 * self.set.tick;
        let due = self.due.iter().take_while(|d| d.0 <= at);
        let stale = self.waits.stale.iter().take_while(|s| s.0 <= self.now);
        let hopeless: BTreeSet<u32> = due.chain(stale).map(|d| d.1).collect();
        hopeless.iter().for_each(|&id| self.give_up(id, 0));
        let next = self.due.first().map(|d| d.0 - 2 * self.set.tick);
        self.wake_at(next.unwrap_or(NEVER));
    }

    /// A crowded hold turns messages away unseen, whatever they are; so those of least worth go first. And
    /// what waits for a slot only is held to what the slots serve within an aim at the 95th percentile of
    /// latency: beyond that the oldest first would have all of them late.
    fn shed(&mut self) {
        let over = self.due.len() as f64 - CROWDED * f64::from(self.set.max_in_flight_messages);
        if over >= 1.0 {
            self.hand_back(&self.waits.dests.clone(), over);
        }
        let full = self.calls.len() >= self.set.max_in_flight_calls as usize;
        if let Some(took) = self.latencies.high.filter(|_| full) {
            let aim = self.set.classes.iter().map(|c| c.latency_objective).max().unwrap_or(0);
            let served = f64::from(self.set.max_in_flight_calls) * aim as f64 / took.max(1) as f64;
            let blocked = self.waits.dests.iter().filter(|&id| self.lacks_slot(&self.dests[*id]));
            let blocked: BTreeSet<u32> = blocked.copied().collect();
            let held: usize = blocked.iter().map(|id| self.dests[*id].waiting.len()).sum();
            self.hand_back(&blocked, held as f64 - served);
        }
    }

    /// Hands back so many of those that wait for these destinations, those of least worth first.
    fn hand_back(&mut self, dests: &BTreeSet<u32>, count: f64) {
        if count < 1.0 {
            return;
        }
        // Of one class the older is worth no more.
        let spare = dests.iter().map(|&id| (id, &self.dests[id].waiting));
        let (now, halves) = (self.now, self.set.weight_halves);
        let worth =
            |class: usize, taken| self.set.classes[class].weight_at(now.saturating_sub(taken), halves);
        let least = least(spare, count as usize, worth);
        least.iter().for_each(|&id| self.give_up(id, self.set.max_retry_after));
    }

    // ---- Outcomes

    fn ended(&mut self, o: AttemptResult) {
        let Some(out) = self.outs.remove(&(o.message, o.attempt)) else {
            // A wait that a call told after it was given up binds the limit all the same.
            let none = Out { endpoint: o.endpoint, sent: self.now, call: 0, cancelled: true };
            return self.learn(&o, &none, false, false);
        };
        // A call with several messages is taken, refused or lost as one: its first outcome tells.
        let tells = !matches!(o.outcome, AttemptOutcome::NotSent { .. } | AttemptOutcome::Cancelled);
        let (over, first) = self.calls.entry(out.call).or_default().ended(tells);
        if over {
            self.calls.remove(&out.call);
        }
        if !out.cancelled {
            self.runs_no_more(o.message, o.attempt, out.sent);
        }
        self.learn(&o, &out, over, first);
        self.msgs.get_mut(&o.message).into_iter().for_each(|m| m.live -= 1);
        self.count_out(o.message);
        let Some(m) = self.msgs.get_mut(&o.message) else { return };
        if o.outcome.not_executed() {
            m.never_ran(o.attempt, o.outcome);
        }
        if matches!(o.outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            self.lines.rest(m.key, self.now + self.set.key_cooldown);
        }
        if o.completed {
            self.end(o.message);
        } else if m.over || m.live > 0 {
            self.forget(o.message);
        } else if self.may_resend(&self.msgs[&o.message], None) {
            self.wait(o.message);
        } else {
            self.give_up(o.message, 0);
        }
    }

    /// Rule 2: another attempt, at an endpoint of `zone` or anywhere (`None`).
    fn may_resend(&self, m: &Msg, zone: Option<u8>) -> bool {
        if u32::from(m.attempts) >= self.set.max_attempts {
            return false;
        }
        let Some(&(at, _, first_zone)) = m.maybe.iter().min() else { return true };
        match self.set.classes[m.class].idempotency {
            Idempotency::Idempotent => true,
            // Room for travel: a connection may have to be made first.
            Idempotency::Keyed { dedup_window: window, per_zone: by_zone } => {
                self.now + self.set.connect_timeout < at + window
                    && !(by_zone && zone.is_some_and(|z| z != first_zone))
            }
            Idempotency::NotIdempotent => false,
        }
    }

    /// What an outcome tells of the limits that it went through.
    fn learn(&mut self, o: &AttemptResult, out: &Out, over: bool, first: bool) {
        let (now, set) = (self.now, &self.set);
        let Some(site) = self.sites.get_mut(o.endpoint) else { return };
        let Some(dest) = self.dests.get_mut(site.dest) else { return };
        let apart = apart_kind(set, dest.kind);
        site.calls = site.calls.saturating_sub(u32::from(over));
        dest.calls = dest.calls.saturating_sub(u32::from(over));
        let gate = if apart { &mut site.node } else { &mut dest.node };
        gate.report(now, o);
        if let AttemptOutcome::Rejected { retry_after: wait } = o.outcome {
            gate.wait_until = gate.wait_until.max(if wait > 0 { now + wait } else { 0 });
        }
        // An idle connection takes the place of another courier's and may be dropped unseen: it is kept for
        // its even part of the idle time, or as long as two calls take.
        let part = LEAST_CONNECTIONS / f64::from(set.courier_count.max(1));
        let keep = (part * seconds(set.idle_timeout)).max(2.0 * dest.usual / SECOND);
        if site.calls == 0 && site.node.usual_rate(now) * keep < 1.0 {
            self.actions.push(Action::CloseIdle { endpoint: o.endpoint });
        }
        let class = self.msgs.get(&o.message).map_or(0, |m| m.class);
        match o.outcome {
            AttemptOutcome::Served => site.shunned.remove(&class),
            AttemptOutcome::Error | AttemptOutcome::TimedOut => {
                site.shunned.insert(class, now + set.classes[class].deadline)
            }
            _ => None,
        };
        if !first {
            return;
        }
        match o.outcome {
            AttemptOutcome::Served => {
                // What a pause of this courier made late is no latency.
                if self.late <= 2 * set.tick {
                    dest.served(o.elapsed);
                    self.latencies.note(o.elapsed, LATENCIES, high);
                }
                dest.bucket = (dest.bucket + 1.0).min(BUCKET);
            }
            _ => dest.bucket = (dest.bucket - BUCKET_RATIO).max(0.0),
        }
        let was = if apart { site.node.health } else { dest.node.health };
        let chance = self.random.draw();
        if site.node.outcome(now, out.sent, o.outcome, apart, set) {
            site.node.owe(now, apart, chance, set);
        }
        if !apart && dest.node.outcome(now, out.sent, o.outcome, true, set) {
            dest.node.owe(now, true, chance, set);
        }
        let node = if apart { &site.node } else { &dest.node };
        if std::mem::discriminant(&was) != std::mem::discriminant(&node.health) {
            let change = node.change(site.dest, o.endpoint, o.outcome);
            self.actions.push(Action::LimitChanged(change));
        }
        if o.outcome == AttemptOutcome::Served {
            let id = site.dest;
            self.respan(id);
        }
    }

    // ---- Sending

    /// Free slots go to the waiting destination with the least recent slot time, within it to the oldest
    /// message that may go.
    fn dispatch(&mut self) {
        let mut order: Vec<(Time, u32)> =
            self.waits.dests.iter().map(|&id| (self.dests[id].last_slot, id)).collect();
        order.sort_unstable();
        let mut order = VecDeque::from(order);
        while let Some((_, id)) = order.pop_front() {
            if self.calls.len() >= self.set.max_in_flight_calls as usize {
                return;
            }
            if let Some((message, endpoint)) = self.pick(id) {
                self.send(message, endpoint);
                self.fill(id, endpoint);
                order.push_back((self.now, id));
            }
        }
    }

    /// What waits for the same destination rides along in the call just made, as far as it takes more.
    fn fill(&mut self, id: u32, endpoint: u32) {
        let rides = |c: &Self, message: &u32| {
            let m = &c.msgs[message];
            c.gate(m, *message, endpoint).and_then(|()| c.courtesy(m)).is_ok()
        };
        while self.joined(endpoint).is_some() {
            let heads = self.dests.get(id).map_or(vec![], |d| d.waiting.heads());
            let Some(message) = heads.into_iter().find(|message| rides(self, message)) else { return };
            self.send(message, endpoint);
        }
    }

    /// The call of this round that another send to this endpoint may join.
    fn joined(&self, endpoint: u32) -> Option<u64> {
        let site = self.sites.get(endpoint)?;
        let kind = usize::from(self.dests.get(site.dest)?.kind);
        let most = self.set.kinds.get(kind).map_or(1, |k| k.max_messages_per_call);
        let (call, at, sends) = site.joined;
        (at == self.now && sends > 0 && sends < most).then_some(call)
    }

    fn pick(&mut self, id: u32) -> Option<(u32, u32)> {
        let rested = self.dests.get(id)?.waiting.resting().into_iter();
        let rested = rested.filter(|m| self.lines.get(self.msgs[m].key).is_none_or(|l| l.rest <= self.now));
        rested.collect::<Vec<u32>>().into_iter().for_each(|m| self.wait(m));
        while let Some(m) = self.too_late(id) {
            self.give_up(m, self.set.max_retry_after);
        }
        let dest = self.dests.get_mut(id)?;
        dest.count_waiting(&mut self.sites);
        for m in dest.waiting.heads() {
            match self.choose(m, &[]) {
                Ok(endpoint) => return Some((m, endpoint)),
                Err(at) => self.wake_at(at),
            }
        }
        None
    }

    /// Where only trials go, one that has less time left than an answer may take: its trial would be called
    /// off when that is up and tell nothing, and the outage be believed while such messages are the oldest.
    fn too_late(&self, id: u32) -> Option<u32> {
        let dest = self.dests.get(id)?;
        let out = dest.endpoints.iter().all(|e| self.node(*e).is_some_and(Node::out));
        let late = |m: &Msg| !m.owed_a_call() && m.due <= self.now + self.overdue_span(self.group(m));
        dest.waiting.heads().into_iter().find(|m| out && late(&self.msgs[m]))
    }

    /// The best endpoint that the gate lets the message go to, or when to look again.
    fn choose(&self, message: u32, but: &[u32]) -> Result<u32, Time> {
        let mut wake = NEVER;
        let mut open = Vec::new();
        let m = &self.msgs[&message];
        for &e in self.dests.get(m.dest).iter().flat_map(|d| &d.endpoints) {
            if but.contains(&e) {
                continue;
            }
            match self.gate(m, message, e).and_then(|()| self.courtesy(m)) {
                Ok(()) => open.push((self.shuns(m, e), self.cost(e), e)),
                Err(at) => wake = wake.min(at),
            }
        }
        let best = open.into_iter().min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, e)| e).ok_or(wake)
    }

    /// Messages of this class were lost here of late: one class may fail where the others are served.
    fn shuns(&self, m: &Msg, endpoint: u32) -> bool {
        self.sites[endpoint].shunned.get(&m.class).is_some_and(|&until| until > self.now)
    }

    /// Calls out there, its failing share, and the prices of reaching it, in calls. Where an even part is
    /// less than a call in a burst, a lot of its own for each: or hundreds would all take the same endpoint.
    fn cost(&self, endpoint: u32) -> f64 {
        let (s, set) = (&self.sites[endpoint], &self.set);
        let crossing = if s.zone == set.zone { 0.0 } else { set.cross_zone_price };
        let fee = set.route_fees.get(usize::from(s.zone)).filter(|_| self.apart(s.dest));
        let price = crossing + fee.unwrap_or(&0.0);
        let sparse = 1.0 - self.node(endpoint).map_or(0.0, |n| n.few(set)) * BURST;
        let lot = LOT * sparse.max(0.0).powi(3) * s.lot;
        f64::from(s.calls) + 4.0 * s.node.bad + 10.0 * price + lot
    }

    fn apart(&self, dest: u32) -> bool {
        self.dests.get(dest).is_some_and(|d| apart_kind(&self.set, d.kind))
    }

    /// The limit that a send to this endpoint comes under.
    fn node(&self, endpoint: u32) -> Option<&Node> {
        let site = self.sites.get(endpoint)?;
        if self.apart(site.dest) {
            Some(&site.node)
        } else {
            self.dests.get(site.dest).map(|d| &d.node)
        }
    }

    /// Every send passes here, and only here: the six rules and the caps. `Err` tells when to look again.
    fn gate(&self, m: &Msg, id: u32, endpoint: u32) -> Result<(), Time> {
        let (now, set) = (self.now, &self.set);
        let (Some(site), Some(dest)) = (self.sites.get(endpoint), self.dests.get(m.dest)) else {
            return Err(NEVER);
        };
        // Rule 1: nothing for a message that is over or about to be. Rule 2: no second effect, and two at
        // once only where that is allowed. Rule 3: nothing to an endpoint that drains or is gone.
        if m.over
            || m.due <= now + 2 * set.tick
            || !self.may_resend(m, Some(site.zone))
            || (m.live > 0 && !set.hedging_allowed)
            || site.listing != EndpointStatus::Ready
        {
            return Err(NEVER);
        }
        // Rule 6: one at a time for a key, in turn, and rested.
        match self.lines.get(m.key) {
            Some(line) if line.queue.first() != Some(&(m.seq, id)) => return Err(NEVER),
            Some(line) if line.rest > now && m.attempts == 0 => return Err(line.rest),
            _ => {}
        }
        // What joins a call of this round adds no call to a wait, a pace, a slot or a cap.
        if self.joined(endpoint).is_some() {
            return Ok(());
        }
        // Rule 5: a wait binds the whole limit. Rule 4: trials while out, a budget until warm.
        site.node.open(now, self.apart(m.dest), set)?;
        dest.node.open(now, true, set)?;
        // Caps: three quarters of the slots for one destination, half while it fails or runs slow.
        let sick = dest.sick() || site.node.health != Health::Up;
        let cap = if sick { set.max_in_flight_calls / 2 } else { set.max_in_flight_calls * 3 / 4 }.max(1);
        (self.calls.len() < set.max_in_flight_calls as usize && dest.calls < cap).then_some(()).ok_or(NEVER)
    }

    /// An extra needs the bucket; with nothing else out one may go, or an empty bucket could never fill.
    fn courtesy(&self, m: &Msg) -> Result<(), Time> {
        let dest = &self.dests[m.dest];
        let extra = !m.maybe.is_empty() && (m.live > 0 || dest.calls > 0);
        (!extra || dest.bucket > BUCKET / 2.0).then_some(()).ok_or(NEVER)
    }

    fn send(&mut self, message: u32, endpoint: u32) {
        let now = self.now;
        let chance = self.random.draw();
        let apart = self.sites.get(endpoint).is_some_and(|s| self.apart(s.dest));
        let rides = self.joined(endpoint).is_some();
        let Some(m) = self.msgs.get_mut(&message) else { return };
        let (Some(site), Some(dest)) = (self.sites.get_mut(endpoint), self.dests.get_mut(m.dest)) else {
            return;
        };
        if !rides {
            self.seq += 1;
            site.joined = (self.seq, now, 0);
            dest.calls += 1;
            site.calls += 1;
            site.node.note_sent(now, apart, chance, &self.set);
            if !apart {
                dest.node.note_sent(now, true, chance, &self.set);
            }
        }
        let call = site.joined.0;
        site.joined.2 += 1;
        self.calls.entry(call).or_default().sends += 1;
        let attempt = m.attempts;
        m.attempts += 1;
        m.live += 1;
        m.maybe.push((now, attempt, site.zone));
        dest.last_slot = now;
        self.wait_no_more(message);
        self.outs.insert((message, attempt), Out { endpoint, sent: now, call, cancelled: false });
        let group = self.group(&self.msgs[&message]);
        self.running.insert(group, self.overdue_span(group), (now, message, attempt));
        self.count_out(message);
        self.actions.push(Action::Send { message, endpoint, until: 0 });
    }

    // ---- Copies, silence

    /// Attempts to one destination and of one class are overdue after one span; so are those to all that are
    /// not known yet.
    fn group(&self, m: &Msg) -> Group {
        (self.dests.get(m.dest).filter(|d| d.known).map(|_| m.dest), m.class)
    }

    /// Past its aim a message loses worth: a latency grown beyond that is no reason to wait on.
    fn overdue_span(&self, (dest, class): Group) -> Time {
        let aim = self.set.classes[class].latency_objective;
        let known = dest.and_then(|id| self.dests.get(id)?.latencies.high);
        OVERDUE * known.or(self.latencies.high).unwrap_or(aim).min(aim)
    }

    /// After this a lone attempt may have a copy; never where there is no other endpoint.
    fn copy_span(&self, (dest, class): Group) -> Time {
        let dest = dest.and_then(|id| self.dests.get(id)).filter(|d| d.endpoints.len() > 1);
        dest.map_or(NEVER, |d| d.resend(self.set.classes[class].latency_objective))
    }

    /// Latencies or endpoints of a destination changed, and with them the spans of its groups.
    fn respan(&mut self, id: u32) {
        let Some(dest) = self.dests.get_mut(id) else { return };
        let learned = !dest.known && dest.latencies.high.is_some();
        dest.known |= learned;
        for class in 0..self.set.classes.len() {
            let (own, all) = ((Some(id), class), (None, class));
            let span = self.overdue_span(own);
            if learned {
                self.running.claim(all, own, span, |m| self.msgs[&m].dest == id);
            }
            self.running.respan(own, span);
            self.running.respan(all, self.overdue_span(all));
            self.lone.respan(own, self.copy_span(own));
        }
    }

    /// So many slots are free, or fewer, and messages wait for one and nothing else.
    fn crowded(&self, free: usize) -> bool {
        let mut waiting = self.waits.dests.iter().map(|id| &self.dests[*id]);
        self.calls.len() + free >= self.set.max_in_flight_calls as usize
            && waiting.any(|d| self.lacks_slot(d))
    }

    fn lacks_slot(&self, d: &Dest) -> bool {
        let (now, set, apart) = (self.now, &self.set, apart_kind(&self.set, d.kind));
        let mut nodes = d.endpoints.iter().map(|e| &self.sites[*e].node);
        let open = d.node.open(now, true, set).is_ok() && nodes.any(|n| n.open(now, apart, set).is_ok());
        !d.waiting.is_empty() && open
    }

    /// A copy goes to another endpoint when the resend time has passed; never for the last slot while
    /// others wait, nor to a limit that is out, told to wait or over its pace.
    fn copy(&mut self) {
        // Where the bucket is low, or nothing may go twice, none of a group goes.
        let open = |(dest, class): Group| {
            let bucket = dest.and_then(|id| self.dests.get(id)).map_or(0.0, |d| d.bucket);
            bucket > BUCKET / 2.0
                && self.set.hedging_allowed
                && self.set.classes[class].idempotency != Idempotency::NotIdempotent
        };
        let (due, next) = self.lone.all_due(self.now, open);
        self.wake_at(next.unwrap_or(NEVER));
        let mut crowded = None;
        for (id, attempt, ..) in due {
            let (Some(o), Some(m)) = (self.outs.get(&(id, attempt)), self.msgs.get(&id)) else { continue };
            let endpoint = o.endpoint;
            let out = self.node(endpoint).is_some_and(Node::out);
            if *crowded.get_or_insert_with(|| self.crowded(1)) || (out && !self.apart(m.dest)) {
                continue;
            }
            if let Ok(other) = self.choose(id, &[endpoint]) {
                self.send(id, other);
                crowded = None;
            }
        }
    }

    /// Calls overdue with nothing answered since they were sent are evidence at once: the limit counts as
    /// out. One that hangs while others want its slot, or while its siblings answer, is called off where the
    /// class allows a repeat.
    fn look_for_silence(&mut self) {
        let now = self.now;
        let (due, next) = self.running.all_due(now, |_| true);
        self.wake_at(next.unwrap_or(NEVER));
        if due.is_empty() {
            return;
        }
        let full = self.crowded(0);
        let mut off = Vec::new();
        for (id, attempt, sent, overdue) in due {
            let (Some(o), Some(m)) = (self.outs.get(&(id, attempt)), self.msgs.get(&id)) else { continue };
            let endpoint = o.endpoint;
            let Some(site) = self.sites.get_mut(endpoint) else { continue };
            let Some(dest) = self.dests.get_mut(m.dest) else { continue };
            site.shunned.insert(m.class, sent + self.set.classes[m.class].deadline);
            let silent = site.node.last_answer < sent;
            let elsewhere = dest.node.last_answer >= sent;
            let (apart, chance) = (apart_kind(&self.set, dest.kind), self.random.draw());
            let news = silent && site.node.silent(now, apart, chance, &self.set);
            if silent && !elsewhere && !apart && dest.node.silent(now, true, chance, &self.set) || news {
                let (destination, state) = (m.dest, LimitState::Silent);
                let change = LimitChange { destination, endpoint, state, evidence: None };
                self.actions.push(Action::LimitChanged(change));
            }
            let again = silent && elsewhere && self.may_resend(&self.msgs[&id], None);
            if self.set.cancellation_allowed
                && (full && (self.may_resend(&self.msgs[&id], None) || now > overdue + (overdue - sent))
                    || again)
            {
                off.push((id, attempt));
            }
        }
        for (message, attempt) in off {
            self.call_off(message, attempt);
            self.count_out(message);
        }
    }
}

// ---- Classes, destinations and endpoints

/// The 95th percentile, if there are enough.
fn high(sorted: &[Time]) -> Option<Time> {
    sorted.get(sorted.len() * 95 / 100).filter(|_| sorted.len() >= ENOUGH).copied()
}

impl Dest {
    fn new(kind: u8, now: Time) -> Self {
        Dest { node: Node::new(OUT_AT, now), kind, bucket: BUCKET, ..Dest::default() }
    }

    fn served(&mut self, took: Time) {
        self.latencies.note(took, LATENCIES, high);
        let took = took as f64;
        if self.usual == 0.0 {
            (self.usual, self.recent) = (took, took);
        }
        self.recent += NEWEST * (took - self.recent);
        self.usual += (took - self.usual) / LATENCIES as f64;
    }

    /// The resend time: the 95th percentile of recent latencies, the aim until there are enough.
    fn resend(&self, aim: Time) -> Time {
        self.latencies.high.unwrap_or(aim)
    }

    /// It fails, or runs at a multiple of its usual latency.
    fn sick(&self) -> bool {
        self.node.health != Health::Up || self.node.bad > RISKY || self.recent > 3.0 * self.usual
    }
}

// ---- Health, return budget, waits and pace of one limit

impl Node {
    fn new(out_at: f64, known: Time) -> Self {
        Node { out_at, known, credit: 1.0, parts: f64::INFINITY, ..Node::default() }
    }

    /// Whether anything of a call's outcome makes this limit more cautious.
    fn outcome(
        &mut self,
        now: Time,
        sent: Time,
        ending: AttemptOutcome,
        limits: bool,
        set: &Settings,
    ) -> bool {
        if ending != AttemptOutcome::TimedOut {
            self.last_answer = now;
        }
        if self.run == 0 && self.health == Health::Up {
            self.run_since = now;
        }
        if ending == AttemptOutcome::Served {
            self.ok(now, sent, set);
            return false;
        }
        self.last_bad = now;
        self.run += 1;
        match ending {
            AttemptOutcome::Rejected { retry_after: wait } => {
                self.harmless = true;
                // Shut, not over the limit: a wait longer than limits are counted, or refused with room told
                // to be left. With nothing told, refusals without a success for longer than a limit's span.
                let told = self.left_at == now;
                let long = self.run_since + set.overload_window * 3 / 2 <= now + wait;
                let room = self.left > SHUT_ROOM && sent >= self.run_since;
                let silent = long && (wait > 0 || self.run >= SHUT_RUN);
                let shut = wait > set.overload_window || if told { room } else { silent };
                let out = self.out();
                if wait > 0 && (shut || out) {
                    self.health = Health::Back { since: self.wait_until };
                } else if out || shut {
                    self.go_out(now, true);
                } else if limits {
                    // Above the limit: nothing is saved up, and no room is believed.
                    (self.jammed, self.parts, self.filled) = (true, f64::INFINITY, now);
                    (self.left, self.credit) = (0.0, 0.0);
                    self.parts = FILL * self.even(set) / self.few(set);
                }
            }
            _ => {
                self.harmless = ending == AttemptOutcome::NoConnection;
                self.bad += NEWEST * (1.0 - self.bad);
                if self.bad > self.out_at || self.out() {
                    self.go_out(now, true);
                }
            }
        }
        true
    }

    fn ok(&mut self, now: Time, sent: Time, set: &Settings) {
        (self.run, self.jammed) = (0, false);
        let room = if self.left_at == now { 2.0 * self.left - 1.0 } else { 0.0 };
        self.parts = (self.parts * (1.0 + GROWTH * room)).max(FILL);
        self.bad -= NEWEST * self.bad;
        self.count_served(now, set.overload_window);
        self.health = match self.health {
            // It was slow or paused, not gone: nothing failed, and what was sent before is answered or the
            // silence was short. If it was coming back before, it still is.
            Health::Out { since, told: false } if sent < since || now < since + set.overload_window => {
                self.before
            }
            Health::Out { .. } => {
                self.bad = self.bad.min(2.0 * RISKY);
                Health::Back { since: now }
            }
            // A lucky answer amid failures is no return.
            Health::Back { .. } if self.bad > RISKY => Health::Back { since: now },
            Health::Back { since } if now > since + set.slow_start_duration => Health::Up,
            other => other,
        };
    }

    /// Only spaced trials from now on; true if that is news.
    fn go_out(&mut self, now: Time, told: bool) -> bool {
        if let Health::Out { told: before, since } = self.health {
            self.health = Health::Out { since, told: told || before };
            return false;
        }
        self.last_bad = now;
        if self.run == 0 {
            self.run_since = now;
        }
        self.before = std::mem::replace(&mut self.health, Health::Out { since: now, told });
        true
    }

    fn silent(&mut self, now: Time, whole: bool, chance: f64, set: &Settings) -> bool {
        let news = self.go_out(now, false);
        if news {
            self.owe(now, whole, chance, set);
        }
        news
    }

    /// This courier's part of the limit among those that want it at once: all where they are few, or else
    /// those with something to send: as many as there are calls in a fall span, more the longer it refuses.
    /// Once refused, as many even parts as successes since let it take, where they come often enough to tell.
    fn even(&self, set: &Settings) -> f64 {
        let (few, span) = (self.few(set), seconds(set.overload_window));
        let over = if self.jammed { TROUBLE * (span + self.trouble()) } else { span };
        let refused = few * USUAL_OVER >= 1.0 && self.parts.is_finite();
        few.max(self.wants(few * over) / over).min(if refused { few * self.parts } else { f64::INFINITY })
    }

    /// An even part over all couriers: of the limit if told, or else the most served in a fall span.
    fn few(&self, set: &Settings) -> f64 {
        if self.limit > 0.0 {
            return self.limit / f64::from(set.courier_count.max(1));
        }
        (self.peak - 1.0).max(0.0) / seconds(set.overload_window)
    }

    /// Messages held here that count, where `each` is the mean over couriers. Where that is one or more, all
    /// are taken to hold as many; where it is less, most hold none, and one that holds several needs more.
    fn wants(&self, each: f64) -> f64 {
        1.0 + (self.waiting - 1.0).max(0.0) * (1.0 - each).max(0.0)
    }

    /// Calls served here a second, in the mean since it is known.
    fn usual_rate(&self, now: Time) -> f64 {
        self.served / seconds(now.saturating_sub(self.known)).max(USUAL_OVER)
    }

    /// What it can take from all couriers, calls a second, as far as is known: told, or what this one had
    /// served in the mean, or at most in a fall span: then others may have had as much, but no more of them
    /// than that, as a courier that never saw more than two calls in a span is one of many.
    fn capacity(&self, now: Time, set: &Settings) -> f64 {
        let (span, couriers) = (seconds(set.overload_window), f64::from(set.courier_count.max(1)));
        // A rough figure may be half too high.
        let told = if set.rate_accuracy == RateAccuracy::Approximate { self.limit / 1.5 } else { self.limit };
        let mean = couriers * self.usual_rate(now);
        let most = couriers.min(self.peak) * (self.peak - 1.0) / span;
        told.max(mean).max(most).max(1.0 / span)
    }

    /// The pace now. Up: the own part, and an even part of the share of the limit that is told to be left:
    /// all couriers read the same room and several will use it. Otherwise rule 4, as a budget over all
    /// couriers that know of the outage: each message for it since then has told one courier at most, and
    /// none knows of more couriers than there are. `None`: no bound.
    fn pace(&self, now: Time, whole: bool, set: &Settings) -> Option<f64> {
        let (share, trial) = match self.health {
            Health::Out { .. } => (set.slow_start_ratio, true),
            // One failure may be the first sight of an outage that ends unseen: cold until a success.
            Health::Up if self.run > 0 && (!self.harmless || self.bad > RISKY) => {
                (set.slow_start_ratio, false)
            }
            Health::Back { since } if now < since + set.slow_start_duration => {
                let warm = now.saturating_sub(since) as f64 / set.slow_start_duration.max(1) as f64;
                (set.slow_start_ratio + (1.0 - set.slow_start_ratio) * warm, false)
            }
            _ => {
                let told = self.run == 0 && now < self.left_at + SECOND as Time;
                let left = if told { self.left } else { 0.0 };
                return (self.exact || self.jammed).then(|| (1.0 + left) * self.even(set));
            }
        };
        let span = seconds(set.overload_window);
        if !whole {
            return trial.then_some(1.0 / span);
        }
        let couriers = f64::from(set.courier_count.max(1));
        let capacity = self.capacity(now, set);
        let told = |since: f64| couriers.min((capacity * (since + KNOWN_BEFORE * span)).max(1.0));
        let know = told(seconds(now.saturating_sub(self.run_since)));
        let own = set.overload_ratio * share * capacity / know;
        let pace = own * (BUDGET_RANDOM + (BUDGET_PART - BUDGET_RANDOM) * (2.0 * own * span).min(1.0));
        // Those that know nothing send as ever; beside them those that know stay well under two thirds.
        let least = (LEAST_CALLS / couriers).min(1.0) / span;
        let beside = BESIDE * capacity / told(self.trouble()) * (1.0 - know / couriers);
        let pace = pace.max(beside).max(least);
        Some(if trial { pace.min(1.0 / span) } else { pace * self.wants(know / couriers) })
    }

    fn credit(&self, now: Time, whole: bool, set: &Settings) -> f64 {
        let pace = self.pace(now, whole, set).unwrap_or(f64::INFINITY);
        (self.credit + pace * seconds(now.saturating_sub(self.filled))).min((pace * BURST).max(1.0))
    }

    /// How much of a call's cost is left to chance: nothing where a fall span holds several calls. Where it
    /// holds less than one, couriers that learned the same thing at one moment must not return as one.
    fn random(&self, now: Time, whole: bool, set: &Settings) -> f64 {
        let pace = self.pace(now, whole, set).unwrap_or(f64::INFINITY);
        1.0 - (pace * seconds(set.overload_window)).min(1.0)
    }

    /// After trouble nothing is saved up, nor by a told wait. First trials are spread over one interval.
    fn owe(&mut self, now: Time, whole: bool, chance: f64, set: &Settings) {
        let random = self.random(now, whole, set);
        let kept = self.credit(now, whole, set).min(1.0);
        let just_out = matches!(self.health, Health::Out { since, .. } if since == now);
        let spread = if just_out { (1.0 / random).min(2.0) } else { 2.0 };
        let credit = (1.0 - random) * kept + random * (1.0 - spread * chance);
        (self.credit, self.filled) = (credit, now.max(self.wait_until));
    }

    /// Rule 5, then the pace.
    fn open(&self, now: Time, whole: bool, set: &Settings) -> Result<(), Time> {
        if self.wait_until > now {
            return Err(self.wait_until);
        }
        let Some(pace) = self.pace(now, whole, set) else { return Ok(()) };
        let credit = self.credit(now, whole, set);
        if credit >= 1.0 {
            return Ok(());
        }
        // The pace of a return grows: look again before long.
        let wait = ((1.0 - credit) / pace.max(1e-9)).min(seconds(set.overload_window));
        Err(now + (wait * SECOND) as Time + 1)
    }

    fn note_sent(&mut self, now: Time, whole: bool, chance: f64, set: &Settings) {
        let cost = 1.0 + self.random(now, whole, set) * (2.0 * chance - 1.0);
        self.credit = (self.credit(now, whole, set) - cost).max(-1.0);
        self.filled = now;
    }
}
