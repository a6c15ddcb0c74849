//! What the decision module keeps in mind; it decides nothing here.

use crate::interface::{
    AttemptOutcome, AttemptResult, EndpointStatus, LimitChange, LimitEvidence, LimitState, Settings, Time,
};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::ops::Bound;

/// A span in seconds.
pub(crate) fn seconds(span: Time) -> f64 {
    span as f64 / 1e9
}

/// The settings say that endpoints of this kind are routes apart.
pub(crate) fn apart_kind(set: &Settings, kind: u8) -> bool {
    set.kinds.get(usize::from(kind)).is_some_and(|k| k.independent_routes)
}

/// Health of a limit or an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    Up,
    /// Out since; `told` when a call failed or was refused, not only silence.
    Out { since: Time, told: bool },
    /// Back: capacity grows since.
    Back { since: Time },
}

/// What is known of one limit: a destination, a route apart, or one endpoint of several.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) health: Health,
    /// Health before it went out.
    pub(crate) before: Health,
    pub(crate) out_at: f64,
    pub(crate) wait_until: Time,
    /// Failing share of late, failures or refusals in a row, and whether the last one proved not to run.
    pub(crate) bad: f64,
    pub(crate) run: u32,
    pub(crate) run_since: Time,
    pub(crate) harmless: bool,
    pub(crate) last_bad: Time,
    pub(crate) last_answer: Time,
    /// Since when it is known, and the calls served since.
    pub(crate) known: Time,
    pub(crate) served: f64,
    /// Calls served in the running fall span, and the most in one.
    pub(crate) span_start: Time,
    pub(crate) in_span: f64,
    pub(crate) peak: f64,
    /// Messages that wait for it.
    pub(crate) waiting: f64,
    /// The limit over all couriers, calls a second; 0 for none told.
    pub(crate) limit: f64,
    /// It is told exactly, not roughly.
    pub(crate) exact: bool,
    pub(crate) left: f64,
    pub(crate) left_at: Time,
    /// Refused above the limit, and nothing served since.
    pub(crate) jammed: bool,
    /// What this courier takes of the limit, in even parts over all couriers.
    pub(crate) parts: f64,
    /// Calls saved up; one is needed to send.
    pub(crate) credit: f64,
    pub(crate) filled: Time,
}

impl Node {
    /// What an outcome tells of the limit itself.
    pub(crate) fn report(&mut self, now: Time, o: &AttemptResult) {
        if let Some(limit) = o.rate_limit.filter(|&l| l > 0.0) {
            (self.limit, self.exact) = (limit, true);
            if let Some(left) = o.capacity_left {
                (self.left, self.left_at) = (left, now);
            }
        }
    }

    /// It takes trials only.
    pub(crate) fn out(&self) -> bool {
        matches!(self.health, Health::Out { .. })
    }

    /// Seconds from the first failure or refusal of the running trouble to the last.
    pub(crate) fn trouble(&self) -> f64 {
        seconds(self.last_bad.saturating_sub(self.run_since))
    }

    /// One more served: in this span, at most in one, in all.
    pub(crate) fn count_served(&mut self, now: Time, span: Time) {
        if self.span_start + span <= now {
            (self.span_start, self.in_span) = (now, 0.0);
        }
        self.in_span += 1.0;
        self.peak = self.peak.max(self.in_span);
        self.served += 1.0;
    }

    /// Its state and why.
    pub(crate) fn change(&self, destination: u32, endpoint: u32, outcome: AttemptOutcome) -> LimitChange {
        let state = match self.health {
            Health::Up => LimitState::Healthy,
            Health::Out { .. } => LimitState::Ejected,
            Health::Back { .. } => LimitState::Recovering,
        };
        let (failure_rate, consecutive_failures) = (self.bad, self.run);
        let evidence = Some(LimitEvidence { outcome, failure_rate, consecutive_failures });
        LimitChange { destination, endpoint, state, evidence }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Dest {
    pub(crate) node: Node,
    pub(crate) kind: u8,
    pub(crate) endpoints: BTreeSet<u32>,
    /// Messages held.
    pub(crate) waiting: Waiting,
    pub(crate) last_slot: Time,
    pub(crate) calls: u32,
    pub(crate) bucket: f64,
    pub(crate) latencies: Latencies,
    /// Its attempts out stand in groups of their own.
    pub(crate) known: bool,
    pub(crate) usual: f64,
    pub(crate) recent: f64,
}

/// Takes endpoints that are held no more from their destinations; returns the destinations that lost one.
pub(crate) fn drop_gone(dests: &mut Table<Dest>, sites: &Table<Site>) -> Vec<u32> {
    let mut changed = Vec::new();
    dests.each(|id, d| {
        let before = d.endpoints.len();
        d.endpoints.retain(|&e| sites.contains(e));
        changed.extend((d.endpoints.len() != before).then_some(id));
    });
    changed
}

impl Dest {
    /// Messages that wait for it wait for each of its endpoints.
    pub(crate) fn count_waiting(&mut self, sites: &mut Table<Site>) {
        self.node.waiting = self.waiting.len() as f64;
        for e in &self.endpoints {
            if let Some(site) = sites.get_mut(*e) {
                site.node.waiting = self.node.waiting;
            }
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Site {
    pub(crate) node: Node,
    pub(crate) dest: u32,
    pub(crate) zone: u8,
    pub(crate) listing: EndpointStatus,
    pub(crate) calls: u32,
    /// For classes whose last call here was not answered: until when they go elsewhere.
    pub(crate) shunned: BTreeMap<usize, Time>,
    /// How little this courier likes it.
    pub(crate) lot: f64,
    /// The call that sends of this round may join, and the sends in it.
    pub(crate) joined: (u64, Time, u32),
}

#[derive(Debug, Default)]
pub(crate) struct Msg {
    pub(crate) dest: u32,
    pub(crate) class: usize,
    pub(crate) key: u64,
    pub(crate) seq: u64,
    pub(crate) taken: Time,
    pub(crate) due: Time,
    pub(crate) attempts: u16,
    pub(crate) live: u32,
    /// Attempts that are out or may have run: when sent, number, zone.
    pub(crate) maybe: Vec<(Time, u16, u8)>,
    pub(crate) over: bool,
    /// How it waits, if it does.
    pub(crate) stand: Option<Stand>,
    /// When its right to another attempt ends, if it waits and that comes.
    pub(crate) stale: Option<Time>,
    /// Its one attempt out, if there is no other.
    pub(crate) lone: Option<Sent>,
    /// A restart found it, surely never run, and it has had no call since: its attempts as long as that is so.
    pub(crate) uncalled: Option<u16>,
}

impl Msg {
    /// What a restart found untried is tried before anyone may think of handing it back.
    pub(crate) fn owed_a_call(&self) -> bool {
        self.uncalled == Some(self.attempts)
    }

    /// An attempt of it never ran. Where not even a call came of it, the call is still owed.
    pub(crate) fn never_ran(&mut self, attempt: u16, ending: AttemptOutcome) {
        self.maybe.retain(|&(_, number, _)| number != attempt);
        let called = matches!(ending, AttemptOutcome::Rejected { .. });
        if !called && self.uncalled.is_some_and(|n| n + 1 == self.attempts) {
            self.uncalled = Some(self.attempts);
        }
    }
}

#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) endpoint: u32,
    pub(crate) sent: Time,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
}

/// A running call.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) sends: u32,
    /// An outcome of it is known.
    pub(crate) told: bool,
}

impl Call {
    /// One of its sends ended: whether that was the last, and whether it is the first that tells of the call.
    pub(crate) fn ended(&mut self, tells: bool) -> (bool, bool) {
        self.sends = self.sends.saturating_sub(1);
        let first = tells && !self.told;
        self.told |= first;
        (self.sends == 0, first)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Line {
    /// Oldest first: sequence number, message.
    pub(crate) queue: BTreeSet<(u64, u32)>,
    pub(crate) rest: Time,
}

/// Keys and their lines; those that are idle by the end of their rest. Key 0 has none.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    by_key: BTreeMap<u64, Line>,
    resting: BTreeSet<(Time, u64)>,
}

impl Lines {
    pub(crate) fn get(&self, key: u64) -> Option<&Line> {
        self.by_key.get(&key)
    }

    pub(crate) fn join(&mut self, key: u64, place: (u64, u32)) {
        if key != 0 {
            self.by_key.entry(key).or_default().queue.insert(place);
        }
    }

    /// The key rests until then at least.
    pub(crate) fn rest(&mut self, key: u64, until: Time) {
        if let Some(line) = self.by_key.get_mut(&key) {
            line.rest = line.rest.max(until);
        }
    }

    /// A message leaves its key's line; the one that is first now.
    pub(crate) fn leave(&mut self, key: u64, place: (u64, u32)) -> Option<u32> {
        let line = self.by_key.get_mut(&key)?;
        line.queue.remove(&place);
        let next = line.queue.first().map(|first| first.1);
        if next.is_none() {
            self.resting.insert((line.rest, key));
        }
        next
    }

    /// Idle keys are forgotten once they have rested.
    pub(crate) fn forget(&mut self, now: Time) {
        while let Some((_, key)) = self.resting.first().copied().filter(|r| r.0 <= now) {
            self.resting.pop_first();
            if self.by_key.get(&key).is_some_and(|l| l.queue.is_empty() && l.rest <= now) {
                self.by_key.remove(&key);
            }
        }
    }
}

/// Messages that wait: by the end of their right to another attempt, and the destinations that any wait for.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    pub(crate) stale: BTreeSet<(Time, u32)>,
    pub(crate) dests: BTreeSet<u32>,
}

impl Waits {
    pub(crate) fn join(
        &mut self,
        id: u32,
        m: &mut Msg,
        d: &mut Dest,
        stand: Stand,
        stale: Option<Time>,
        spare: bool,
    ) {
        stale.map(|at| self.stale.insert((at, id)));
        self.dests.insert(m.dest);
        (m.stand, m.stale) = (Some(stand), stale);
        d.waiting.insert(stand, id, m, spare);
    }

    pub(crate) fn leave(&mut self, id: u32, m: &mut Msg, d: Option<&mut Dest>) {
        if let Some(at) = m.stale.take() {
            self.stale.remove(&(at, id));
        }
        let (Some(stand), Some(d)) = (m.stand.take(), d) else { return };
        d.waiting.remove(stand, id, m);
        if d.waiting.is_empty() {
            self.dests.remove(&m.dest);
        }
    }
}

/// How a message waits. Two of one destination that stand alike fare alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stand {
    /// No attempt of it may have run.
    Fresh,
    /// One may have; it goes again, if only in this zone.
    Again(Option<u8>),
    /// Its key rests; each for a time of its own.
    Resting,
    /// Behind another message of its key.
    Behind,
}

/// Messages that wait for one destination, by stand, in each the oldest first: sequence number, message.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    sets: BTreeMap<Stand, BTreeSet<(u64, u32)>>,
    count: usize,
    /// Those that may be handed back, by class.
    spare: BTreeMap<usize, Spare>,
}

/// Messages of one class that may be handed back.
#[derive(Debug, Default)]
struct Spare {
    /// When taken, sequence number, message.
    by_age: BTreeSet<(Time, u64, u32)>,
    by_seq: BTreeMap<(u64, u32), Time>,
}

impl Waiting {
    pub(crate) fn insert(&mut self, stand: Stand, id: u32, m: &Msg, spare: bool) {
        self.count += usize::from(self.sets.entry(stand).or_default().insert((m.seq, id)));
        if spare {
            let class = self.spare.entry(m.class).or_default();
            class.by_age.insert((m.taken, m.seq, id));
            class.by_seq.insert((m.seq, id), m.taken);
        }
    }

    pub(crate) fn remove(&mut self, stand: Stand, id: u32, m: &Msg) {
        if let Some(set) = self.sets.get_mut(&stand) {
            self.count -= usize::from(set.remove(&(m.seq, id)));
            if set.is_empty() {
                self.sets.remove(&stand);
            }
        }
        if let Some(class) = self.spare.get_mut(&m.class) {
            class.by_age.remove(&(m.taken, m.seq, id));
            class.by_seq.remove(&(m.seq, id));
            if class.by_seq.is_empty() {
                self.spare.remove(&m.class);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The oldest of those that stand alike, and all whose key rests; in the order of their age.
    pub(crate) fn heads(&self) -> Vec<u32> {
        let mut heads = Vec::new();
        for (&stand, set) in &self.sets {
            match stand {
                Stand::Behind => {}
                Stand::Resting => heads.extend(set),
                Stand::Fresh | Stand::Again(_) => heads.extend(set.first()),
            }
        }
        heads.sort_unstable();
        heads.into_iter().map(|(_, message)| message).collect()
    }

    pub(crate) fn resting(&self) -> Vec<u32> {
        self.sets.get(&Stand::Resting).into_iter().flatten().map(|&(_, message)| message).collect()
    }
}

/// Worth in its order.
#[derive(Clone, Copy, Debug)]
struct Rank(f64);

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

/// The messages of least worth among those of these destinations that may be handed back, least first; those
/// worth the same as they stand, by destination and age. A class's messages may not gain worth with age. What
/// it costs goes by the destinations and by how many are asked for, not by how many wait.
pub(crate) fn least<'a>(
    dests: impl Iterator<Item = (u32, &'a Waiting)>,
    most: usize,
    worth: impl Fn(usize, Time) -> f64,
) -> Vec<u32> {
    let rank = |class: usize, taken: Time| Rank(worth(class, taken));
    let lists: Vec<(u32, usize, &Spare)> = dests
        .flat_map(|(dest, waiting)| waiting.spare.iter().map(move |(&class, spare)| (dest, class, spare)))
        .collect();
    // The oldest of each list are the least of it, so the least of all are found at their heads.
    let mut heads = BinaryHeap::new();
    for (n, &(_, class, spare)) in lists.iter().enumerate() {
        heads.extend(spare.by_age.first().map(|&m| Reverse((rank(class, m.0), n, m))));
    }
    let mut chosen: Vec<(Rank, u32, u64, usize, u32)> = Vec::new();
    let mut equals: BTreeMap<usize, usize> = BTreeMap::new();
    while let Some(Reverse((worth, n, m))) = heads.pop() {
        // All that are worth as much as the last one are looked at: which of them go is a matter of order.
        let higher = chosen.last().is_some_and(|last| last.0 < worth);
        if higher && chosen.len() >= most {
            break;
        }
        if higher {
            equals.clear();
        }
        let (dest, class, spare) = lists[n];
        let run = equals.entry(n).or_default();
        *run += 1;
        chosen.push((worth, dest, m.1, n, m.2));
        // A long run of equals is not followed to its end: its first by order are found by order.
        if *run <= most {
            let next = spare.by_age.range((Bound::Excluded(m), Bound::Unbounded)).next();
            heads.extend(next.map(|&m| Reverse((rank(class, m.0), n, m))));
        }
    }
    if let Some(&(last, ..)) = chosen.last() {
        equals.retain(|_, run| *run > most);
        chosen.retain(|c| c.0 < last || !equals.contains_key(&c.3));
        for &n in equals.keys() {
            let (dest, class, spare) = lists[n];
            let by_seq = spare.by_seq.iter().filter(|(_, &taken)| rank(class, taken) == last);
            chosen.extend(by_seq.take(most).map(|(&(seq, id), _)| (last, dest, seq, n, id)));
        }
    }
    chosen.sort_unstable();
    chosen.into_iter().take(most).map(|c| c.4).collect()
}

/// Latencies of late, and their high percentile once there are enough.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    pub(crate) kept: VecDeque<Time>,
    pub(crate) high: Option<Time>,
}

impl Latencies {
    /// So many are kept, and what `high` makes of them in their order.
    pub(crate) fn note(&mut self, took: Time, most: usize, high: impl Fn(&[Time]) -> Option<Time>) {
        self.kept.push_back(took);
        if self.kept.len() > most {
            self.kept.pop_front();
        }
        let mut sorted: Vec<Time> = self.kept.iter().copied().collect();
        sorted.sort_unstable();
        self.high = high(&sorted);
    }
}

/// An attempt out: when sent, message, attempt.
pub(crate) type Sent = (Time, u32, u16);
/// One that is due: message, attempt, when sent, when it came due.
pub(crate) type Due = (u32, u16, Time, Time);
/// Attempts that come due the same span after they were sent: to a destination, or to all that are not known
/// yet, and of a class.
pub(crate) type Group = (Option<u32>, usize);

/// Attempts out, in the order in which they come due: groups by their first, in a group as sent.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    groups: BTreeMap<Group, (Time, BTreeSet<Sent>)>,
    firsts: BTreeSet<(Time, Group)>,
}

impl Agenda {
    /// Changes a group, or its span, and puts it in its new place among the others.
    fn change(&mut self, group: Group, span: Option<Time>, how: impl FnOnce(&mut BTreeSet<Sent>)) {
        let (kept, set) = self.groups.entry(group).or_default();
        let before = set.first().map(|first| first.0.saturating_add(*kept));
        how(set);
        *kept = span.unwrap_or(*kept);
        let after = set.first().map(|first| first.0.saturating_add(*kept));
        if set.is_empty() {
            self.groups.remove(&group);
        }
        if before != after {
            before.map(|at| self.firsts.remove(&(at, group)));
            after.map(|at| self.firsts.insert((at, group)));
        }
    }

    pub(crate) fn insert(&mut self, group: Group, span: Time, sent: Sent) {
        self.change(group, Some(span), |set| {
            set.insert(sent);
        });
    }

    pub(crate) fn remove(&mut self, group: Group, sent: Sent) {
        self.change(group, None, |set| {
            set.remove(&sent);
        });
    }

    /// A group comes due after another span from now on.
    pub(crate) fn respan(&mut self, group: Group, span: Time) {
        if self.groups.get(&group).is_some_and(|g| g.0 != span) {
            self.change(group, Some(span), |_| ());
        }
    }

    /// Attempts of some messages move from one group to another.
    pub(crate) fn claim(&mut self, from: Group, to: Group, span: Time, mine: impl Fn(u32) -> bool) {
        let here: Vec<Sent> = self.group(from).filter(|sent| mine(sent.1)).collect();
        for sent in here {
            self.remove(from, sent);
            self.insert(to, span, sent);
        }
    }

    /// A message's lone attempt, if it has one now, takes the place of that before.
    pub(crate) fn keep_lone(&mut self, id: u32, m: &mut Msg, outs: &BTreeMap<(u32, u16), Out>, span: Time) {
        let outs = outs.range((id, 0)..=(id, u16::MAX));
        let mut running = outs.filter(|(_, out)| !out.cancelled).map(|(k, out)| (out.sent, id, k.1));
        let lone = running.next().filter(|_| m.live == 1 && !m.over);
        let before = std::mem::replace(&mut m.lone, lone);
        let group = (Some(m.dest), m.class);
        if before != lone {
            before.into_iter().for_each(|sent| self.remove(group, sent));
            lone.into_iter().for_each(|sent| self.insert(group, span, sent));
        }
    }

    /// All that is due of these groups, by message and attempt, and when the next comes due that is not.
    pub(crate) fn all_due(&self, now: Time, which: impl Fn(Group) -> bool) -> (Vec<Due>, Option<Time>) {
        let (groups, next) = self.due(now);
        let groups = groups.into_iter().filter(|&group| which(group));
        let due = groups.flat_map(|group| self.due_of(group, now));
        let mut due: Vec<_> = due.map(|((sent, id, attempt), at)| (id, attempt, sent, at)).collect();
        due.sort_unstable();
        (due, next)
    }

    /// A group's attempts.
    fn group(&self, group: Group) -> impl Iterator<Item = Sent> + '_ {
        self.groups.get(&group).into_iter().flat_map(|g| g.1.iter().copied())
    }

    /// Groups of which something is due, and when the next comes due that is not.
    fn due(&self, now: Time) -> (Vec<Group>, Option<Time>) {
        let due: Vec<Group> = self.firsts.iter().take_while(|f| f.0 <= now).map(|f| f.1).collect();
        let rest = self.firsts.iter().nth(due.len()).map(|f| f.0);
        let in_due = due.iter().filter_map(|g| {
            let (span, set) = &self.groups[g];
            let next = set.range((now.saturating_sub(*span) + 1, 0, 0)..).next()?;
            Some(next.0.saturating_add(*span))
        });
        let next = in_due.chain(rest).min();
        (due, next)
    }

    /// What is due of a group, each with the time at which it came due.
    fn due_of(&self, group: Group, now: Time) -> impl Iterator<Item = (Sent, Time)> + '_ {
        let (span, set) = &self.groups[&group];
        set.iter().map(|&sent| (sent, sent.0.saturating_add(*span))).take_while(move |s| s.1 <= now)
    }
}

/// Hashes numbers alike in every process.
#[derive(Default)]
pub(crate) struct Mix(u64);

impl Hasher for Mix {
    fn finish(&self) -> u64 {
        self.0 ^ (self.0 >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|&b| self.write_u32(u32::from(b)));
    }

    fn write_u32(&mut self, n: u32) {
        self.0 = (self.0 ^ u64::from(n)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// Rows by number, found in a time that does not grow with them. It has no order: what goes over all rows must
/// come to the same in any.
#[derive(Debug)]
pub(crate) struct Table<T>(HashMap<u32, Box<T>, BuildHasherDefault<Mix>>);

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table(HashMap::default())
    }
}

impl<T> Table<T> {
    pub(crate) fn get(&self, id: u32) -> Option<&T> {
        self.0.get(&id).map(|row| &**row)
    }

    pub(crate) fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.0.get_mut(&id).map(|row| &mut **row)
    }

    pub(crate) fn get_or_insert_with(&mut self, id: u32, new: impl FnOnce() -> T) -> &mut T {
        self.0.entry(id).or_insert_with(|| Box::new(new()))
    }

    pub(crate) fn contains(&self, id: u32) -> bool {
        self.0.contains_key(&id)
    }

    /// Keeps the rows for which it says so.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(u32, &mut T) -> bool) {
        self.0.retain(|&id, row| keep(id, row));
    }

    /// Changes all rows.
    pub(crate) fn each(&mut self, mut change: impl FnMut(u32, &mut T)) {
        self.0.iter_mut().for_each(|(&id, row)| change(id, row));
    }
}

impl<T> std::ops::Index<u32> for Table<T> {
    type Output = T;

    fn index(&self, id: u32) -> &T {
        &self.0[&id]
    }
}

/// Random numbers from a seed (splitmix64).
#[derive(Debug, Default)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// A number in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
