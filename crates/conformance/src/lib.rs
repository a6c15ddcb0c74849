//! The six rules, checked from records of what went over the wire: what clients handed in and were answered,
//! what endpoints were sent and answered, what couriers were told of the list. A courier's own word is not
//! among them. The same checks serve runs on sockets and in virtual time.
//!
//! Each check counts the cases in which its rule was at stake; a rule without cases was not tested.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A clock reading or span, in nanoseconds.
pub type Time = u64;

/// What a second run of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// It is dropped for so long.
    Keyed {
        /// How long the first is remembered.
        dedup_window: Time,
        /// Only in the zone of the first.
        per_zone: bool,
    },
    /// It takes effect twice.
    NotIdempotent,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Full worth until then.
    pub latency_objective: Time,
    /// How long it may be served.
    pub deadline: Time,
    /// Full worth.
    pub priority_weight: f64,
    /// Share of it that is left at the deadline.
    pub late_weight: f64,
    /// What a second run does.
    pub idempotency: Idempotency,
    /// Messages with one key go in turn.
    pub ordered: bool,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Invariants {
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// By half with each further aim; otherwise evenly to the deadline.
    pub halves: bool,
    /// How late a final answer may be.
    pub answer_grace: Time,
    /// How long new work may go to an endpoint after a courier was told that it drains or is gone.
    pub drain_grace: Time,
    /// How long a key rests after an attempt that may still run.
    pub key_cooldown: Time,
    /// Sent more than this multiple of what it can do, a cold limit falls over,
    pub overload_ratio: f64,
    /// when that goes on for so long.
    pub overload_window: Time,
    /// What clocks and travel may add to any figure: sockets and loops take time that virtual time does not.
    pub travel: Time,
    /// So much longer may a way take, where single trips are not recorded.
    pub slow: Time,
}

/// A message handed in. A client that hands it in again makes a further record with the same `message`.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub message: u64,
    /// The courier.
    pub courier: u32,
    /// Which of the courier's lives.
    pub incarnation: u32,
    /// The connection, and the place on it; a courier takes messages of one connection in this order.
    pub line: (u64, u64),
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// Its key.
    pub key: Option<u64>,
    /// When.
    pub at: Time,
    /// When its time is up.
    pub deadline: Time,
    /// Answers, in the order in which they came.
    pub answers: Vec<(Time, Answer)>,
    /// How long the last answer was on its way, where that is known; otherwise it is in [`Contract::travel`].
    pub trip: Time,
    /// The courier died, or the connection broke, before the answer.
    pub orphaned: Option<Time>,
}

/// A final answer as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Harmless to hand in again.
    Rejected,
    /// Given up.
    Failed,
}

/// What an endpoint did with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointVerdict {
    /// Turned away unseen, with a wait or 0.
    Rejected {
        /// Nothing may be sent for so long.
        retry_after: Time,
    },
    /// Answered with success.
    Served,
    /// Answered with an error.
    Error,
    /// Not answered.
    Unanswered,
}

/// A message that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The message.
    pub message: u64,
    /// The call that it came in; one call pushes once.
    pub call: u64,
    /// Who sent it.
    pub courier: u32,
    /// In which of its lives.
    pub incarnation: u32,
    /// Its destination.
    pub destination: u32,
    /// Where it came.
    pub endpoint: u32,
    /// The zone of the endpoint.
    pub zone: u8,
    /// The endpoint is a route apart.
    pub independent_route: bool,
    /// When.
    pub at: Time,
    /// How long it was on its way, where that is known; otherwise it is in [`Contract::travel`].
    pub travelled: Time,
    /// What became of it.
    pub verdict: EndpointVerdict,
    /// When the answer left, if one did.
    pub answered: Option<Time>,
    /// It took effect.
    pub effect: bool,
}

/// What a courier was told of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointNotification {
    /// The courier.
    pub courier: u32,
    /// In which of its lives.
    pub incarnation: u32,
    /// When it had been told at the latest.
    pub at: Time,
    /// The endpoint.
    pub endpoint: u32,
    /// It may be sent to.
    pub ready: bool,
}

/// An outage of a limit, and how it came back.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The destination.
    pub destination: u32,
    /// The route, where routes are apart.
    pub route: Option<u32>,
    /// When it began.
    pub from: Time,
    /// When it was over.
    pub until: Time,
    /// Calls a second that it takes when warm.
    pub capacity: f64,
    /// The share of it right after the outage.
    pub slow_start_ratio: f64,
    /// How long it takes to be warm.
    pub slow_start_duration: Time,
    /// Connections were refused: nobody can see whose, so whoever held a message for it counts as knowing.
    pub refused_connections: bool,
}

/// A courier stood still: it was not running.
#[derive(Clone, Debug)]
pub struct Stall {
    /// The courier.
    pub courier: u32,
    /// In which of its lives.
    pub incarnation: u32,
    /// From when.
    pub from: Time,
    /// Until when.
    pub until: Time,
}

/// Nothing reached a courier from one side for a time; what was sent meanwhile came after.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The courier.
    pub courier: u32,
    /// From when.
    pub from: Time,
    /// Until when.
    pub until: Time,
    /// From its clients, and to them.
    pub clients: bool,
    /// From endpoints.
    pub endpoints: bool,
}

/// A connection of a courier to an endpoint that could not be made, or ended before the endpoint said anything.
#[derive(Clone, Copy, Debug)]
pub struct FailedConnect {
    /// The courier.
    pub courier: u32,
    /// In which of its lives.
    pub incarnation: u32,
    /// Where it went.
    pub endpoint: u32,
    /// When it was begun.
    pub from: Time,
    /// When the courier saw that it had failed.
    pub at: Time,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Messages handed in.
    pub submissions: Vec<Submission>,
    /// Messages that reached endpoints.
    pub arrivals: Vec<Arrival>,
    /// What couriers were told.
    pub notifications: Vec<EndpointNotification>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// When couriers stood still: what was due meanwhile is due when they run again.
    pub stalls: Vec<Stall>,
    /// When couriers were cut off.
    pub partitions: Vec<Partition>,
    /// The destination of each endpoint.
    pub endpoints: BTreeMap<u32, u32>,
    /// Connections that failed, where the network records them; where it does not, whoever held a message for a
    /// destination whose connections failed counts as knowing.
    pub failed_connects: Option<Vec<FailedConnect>>,
    /// Answers to requests that had one already, or were never made.
    pub stray_answers: u64,
}

/// What a check found.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantResult {
    /// The rule.
    pub rule: &'static str,
    /// Cases in which it was at stake.
    pub checked: u64,
    /// Cases in which it was broken.
    pub broken: u64,
    /// The first of these, in words.
    pub examples: Vec<String>,
}

const EXAMPLES: usize = 5;

impl InvariantResult {
    fn new(rule: &'static str) -> Self {
        InvariantResult { rule, checked: 0, broken: 0, examples: Vec::new() }
    }

    fn case(&mut self, kept: bool, example: impl FnOnce() -> String) {
        self.checked += 1;
        if !kept {
            self.broken += 1;
            if self.examples.len() < EXAMPLES {
                self.examples.push(example());
            }
        }
    }
}

/// What became of a class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: String,
    /// Messages, a further try not counted.
    pub messages: u64,
    /// Served within the aim, counted from the first try.
    pub in_aim: u64,
    /// Served later.
    pub late: u64,
    /// Last answer: refused.
    pub refused: u64,
    /// Last answer: failed.
    pub failed: u64,
    /// No answer, though a second run does no harm: its time went by.
    pub lost: u64,
    /// No answer, and the client may not hand it in again: nobody can say what became of it.
    pub unknown: u64,
    /// Tries, first ones counted.
    pub tries: u64,
    /// Messages that reached an endpoint, counted each time.
    pub attempts: u64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth delivered.
    pub worth: f64,
}

/// Rules and classes.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The six rules.
    pub rules: Vec<InvariantResult>,
    /// The classes.
    pub classes: Vec<ClassSummary>,
    /// Worth delivered over worth asked for.
    pub service: f64,
    /// The worst stretch of ten seconds' worth of first tries, likewise.
    pub worst_stretch: f64,
    /// Calls that were refused.
    pub calls_refused: u64,
    /// Calls that reached an endpoint.
    pub calls: u64,
}

impl Arrival {
    /// When it left the courier.
    pub fn sent(&self) -> Time {
        self.at.saturating_sub(self.travelled)
    }
}

impl Records {
    /// When a courier heard of what an endpoint said then.
    fn heard(&self, courier: u32, at: Time) -> Time {
        self.after_cuts(at, |c| c.endpoints && c.courier == courier)
    }

    /// When a client saw at the latest what a courier answered then.
    fn seen(&self, courier: u32, at: Time) -> Time {
        self.after_cuts(at, |c| c.clients && c.courier == courier)
    }

    /// The end of the cuts that stand then, also of those that begin before the last one is over.
    fn after_cuts(&self, mut at: Time, of: impl Fn(&Partition) -> bool + Copy) -> Time {
        let stands = |at: Time| self.partitions.iter().filter(move |c| of(c) && c.from <= at && at < c.until);
        while let Some(until) = stands(at).map(|c| c.until).max() {
            at = until;
        }
        at
    }
}

impl Report {
    /// No rule was broken.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.broken == 0)
    }
}

/// Checks all six and counts.
pub fn check(r: &Records, c: &Invariants) -> Report {
    let mut arrivals: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for a in &r.arrivals {
        arrivals.entry(a.message).or_default().push(a);
    }
    arrivals.values_mut().for_each(|v| v.sort_by_key(|a| a.at));
    let (classes, service, worst_stretch) = count(r, c, &arrivals);
    let calls: BTreeSet<u64> = r.arrivals.iter().map(|a| a.call).collect();
    let refused = |a: &&Arrival| matches!(a.verdict, EndpointVerdict::Rejected { .. });
    let refused: BTreeSet<u64> = r.arrivals.iter().filter(refused).map(|a| a.call).collect();
    Report {
        rules: vec![
            one_answer(r, c, &arrivals),
            no_second_effect(r, c, &arrivals),
            drains(r, c),
            returns(r, c),
            order(r, c, &arrivals),
            waits(r, c),
        ],
        classes,
        service,
        worst_stretch,
        calls_refused: refused.len() as u64,
        calls: calls.len() as u64,
    }
}

fn ms(t: Time) -> f64 {
    t as f64 / 1e6
}

type ByMessage<'a> = BTreeMap<u64, Vec<&'a Arrival>>;

/// Rule 1.
fn one_answer(r: &Records, c: &Invariants, arrivals: &ByMessage) -> InvariantResult {
    let mut f = InvariantResult::new("1 one final answer in time, nothing sent after");
    let mut tries: BTreeMap<u64, Vec<Time>> = BTreeMap::new();
    r.submissions.iter().for_each(|h| tries.entry(h.message).or_default().push(h.at));
    for h in &r.submissions {
        // What is on its way when its time is up is answered when it comes: after a cut, and after the three trips
        // of a new connection, there, back and there again.
        let came = r.seen(h.courier, h.at) + 3 * h.trip;
        let due = h.deadline.max(came);
        let stood = |s: &&Stall| {
            (s.courier, s.incarnation) == (h.courier, h.incarnation) && s.from <= due && due < s.until
        };
        let due = r.stalls.iter().find(stood).map_or(due, |s| s.until);
        // Then its answer makes one trip.
        let limit = r.seen(h.courier, due) + c.answer_grace + c.travel + h.trip;
        let n = h.answers.len();
        if h.orphaned.is_none() || n > 0 {
            let in_time = n == 1 && h.answers[0].0 <= limit;
            f.case(in_time, || match n {
                1 => format!(
                    "message {}: due at {:.0} ms, answered {:.0} ms later by courier {}",
                    h.message,
                    ms(h.deadline),
                    ms(h.answers[0].0 - h.deadline),
                    h.courier
                ),
                _ => format!("message {}: {n} answers", h.message),
            });
        }
        let Some(&(answered, _)) = h.answers.first() else { continue };
        // A further try has a life of its own.
        let next = tries[&h.message].iter().copied().filter(|&at| at > h.at).min();
        for a in arrivals.get(&h.message).into_iter().flatten() {
            let sent = a.sent();
            let this_try = sent >= h.at && next.is_none_or(|t| sent < t) && a.courier == h.courier;
            if this_try {
                f.case(a.sent() <= answered + c.travel, || {
                    format!("message {}: sent {:.0} ms after its answer", h.message, ms(a.sent() - answered))
                });
            }
        }
    }
    if r.stray_answers > 0 {
        f.case(false, || format!("{} answers that no request waited for", r.stray_answers));
    }
    f
}

/// Rule 2.
fn no_second_effect(r: &Records, c: &Invariants, arrivals: &ByMessage) -> InvariantResult {
    let mut f = InvariantResult::new("2 no effect twice");
    let mut handed: BTreeMap<u64, Vec<&Submission>> = BTreeMap::new();
    for h in &r.submissions {
        handed.entry(h.message).or_default().push(h);
    }
    handed.values_mut().for_each(|tries| tries.sort_by_key(|h| h.at));
    for (message, tries) in &handed {
        let class = &c.classes[usize::from(tries[0].class)];
        let all = arrivals.get(message).map_or(&[][..], Vec::as_slice);
        let ran: Vec<&&Arrival> =
            all.iter().filter(|a| !matches!(a.verdict, EndpointVerdict::Rejected { .. })).collect();
        let effects = all.iter().filter(|a| a.effect).count();
        match class.idempotency {
            Idempotency::Idempotent => continue,
            Idempotency::NotIdempotent => {
                f.case(ran.len() <= 1 && effects <= 1, || {
                    let text = |a: &&&Arrival| {
                        format!("{:.0} ms at {} by {}: {:?}", ms(a.at), a.endpoint, a.courier, a.verdict)
                    };
                    let all: Vec<String> = ran.iter().map(text).collect();
                    format!("message {message} may have run {} times: {}", ran.len(), all.join("; "))
                });
            }
            Idempotency::Keyed { dedup_window: window, per_zone: by_zone } => {
                // A client that hands it to another courier heeds the window too.
                if let Some(first) = ran.first().filter(|_| !by_zone && tries.len() > 1) {
                    let last = ran.iter().map(|a| a.sent()).max().unwrap_or(0);
                    f.case(last <= first.sent() + window + c.travel, || {
                        let after = ms(last - first.sent());
                        format!(
                            "message {message}: handed on, it was sent {after:.0} ms after the first time"
                        )
                    });
                }
                // Each try's attempts stand under the rule of the courier that held it.
                for (n, t) in tries.iter().enumerate() {
                    let next = tries.get(n + 1).map_or(Time::MAX, |t| t.at);
                    let own = |a: &&&&Arrival| a.courier == t.courier && a.incarnation == t.incarnation;
                    let mine = ran.iter().filter(own).filter(|a| a.sent() >= t.at && a.sent() < next);
                    let mine: Vec<&&&Arrival> = mine.collect();
                    let Some(first) = mine.first() else { continue };
                    let stays = mine.iter().all(|a| {
                        a.sent() <= first.sent() + window + c.travel && (!by_zone || a.zone == first.zone)
                    });
                    f.case(stays, || format!("message {message}: sent again outside of its window or group"));
                }
            }
        }
        for t in tries {
            let Some(&(at, Answer::Rejected)) = t.answers.first() else { continue };
            let whole = match class.idempotency {
                Idempotency::Keyed { per_zone: by_zone, .. } => by_zone,
                _ => true,
            };
            let before = ran.iter().any(|a| {
                (a.courier, a.incarnation) == (t.courier, t.incarnation) && (t.at..=at).contains(&a.sent())
            });
            f.case(!(whole && before), || format!("message {message}: refused though it may have run"));
        }
    }
    f
}

/// Rule 3.
fn drains(r: &Records, c: &Invariants) -> InvariantResult {
    let mut f = InvariantResult::new("3 nothing new to a draining or gone endpoint");
    let mut told: BTreeMap<(u32, u32, u32), Vec<(Time, bool)>> = BTreeMap::new();
    for t in &r.notifications {
        told.entry((t.courier, t.incarnation, t.endpoint)).or_default().push((t.at, t.ready));
    }
    told.values_mut().for_each(|v| v.sort_unstable());
    for a in &r.arrivals {
        let Some(news) = told.get(&(a.courier, a.incarnation, a.endpoint)) else { continue };
        let Some(&(at, ready)) = news.iter().rev().find(|n| n.0 <= a.sent()) else { continue };
        if !ready {
            f.case(a.sent() <= at + c.drain_grace + c.travel, || {
                format!(
                    "endpoint {}: courier {} sent {:.0} ms after the news",
                    a.endpoint,
                    a.courier,
                    ms(a.sent() - at)
                )
            });
        }
    }
    // What was told and heeded without a late call is a case too.
    f.checked += told.values().filter(|v| v.iter().any(|n| !n.1)).count() as u64;
    f
}

/// Rule 4.
fn returns(r: &Records, c: &Invariants) -> InvariantResult {
    let mut f = InvariantResult::new("4 a destination back from an outage is not pushed over");
    for o in &r.outages {
        let here = |a: &&Arrival| a.destination == o.destination && o.route.is_none_or(|e| e == a.endpoint);
        let bad = |a: &&Arrival| a.verdict != EndpointVerdict::Served && a.at >= o.from && a.at < o.until;
        let mut calls: BTreeMap<u64, &Arrival> = BTreeMap::new();
        r.arrivals.iter().filter(here).for_each(|a| {
            calls.insert(a.call, a);
        });
        let mut knows: BTreeMap<(u32, u32), Time> = BTreeMap::new();
        for a in calls.values().copied().filter(bad) {
            let at = r.heard(a.courier, a.answered.unwrap_or(a.at)) + c.slow;
            let known = knows.entry((a.courier, a.incarnation)).or_insert(at);
            *known = (*known).min(at);
        }
        for f in r.failed_connects.iter().flatten() {
            let here = r.endpoints.get(&f.endpoint) == Some(&o.destination)
                && o.route.is_none_or(|route| route == f.endpoint);
            if here && f.from < o.until && f.at >= o.from {
                let known = knows.entry((f.courier, f.incarnation)).or_insert(f.at);
                *known = (*known).min(f.at);
            }
        }
        if o.refused_connections && r.failed_connects.is_none() {
            for h in &r.submissions {
                let over = h.answers.first().map_or(h.deadline, |a| a.0);
                if h.destination == o.destination && h.at < o.until && over > o.from {
                    knows.entry((h.courier, h.incarnation)).or_insert(o.from.max(h.at));
                }
            }
        }
        let cold = o.until..o.until + o.slow_start_duration;
        let mut pushed: Vec<&Arrival> = calls.values().copied().filter(|a| cold.contains(&a.at)).collect();
        pushed.sort_by_key(|a| a.at);
        if pushed.is_empty() {
            continue;
        }
        let mut worst: Option<String> = None;
        for (n, first) in pushed.iter().enumerate() {
            let span = pushed[n..].iter().take_while(|a| a.at < first.at + c.overload_window);
            let span: Vec<&&Arrival> = span.collect();
            // What it can take grows evenly until it is warm: in the mean, as much as in the middle of the span.
            let middle = (first.at - o.until) as f64 + c.overload_window as f64 / 2.0;
            let warm = (middle / o.slow_start_duration.max(1) as f64).min(1.0);
            let share = o.slow_start_ratio + (1.0 - o.slow_start_ratio) * warm;
            let mean = c.overload_ratio * share * o.capacity * c.overload_window as f64 / 1e9;
            // Chance brings calls together: two deviations of a count of that size, and one call, are no push.
            let bound = mean + 2.0 * mean.sqrt() + 1.0;
            let knew = |a: &&&&Arrival| knows.get(&(a.courier, a.incarnation)).is_some_and(|&t| t < a.sent());
            let known = span.iter().filter(knew).count();
            if span.len() as f64 > bound && known * 3 >= span.len() * 2 {
                worst.get_or_insert(format!(
                    "destination {}: {} calls in a span that bears {bound:.1}, {known} by couriers that knew, {:.0} ms after its return",
                    o.destination,
                    span.len(),
                    ms(first.at - o.until)
                ));
            }
        }
        f.case(worst.is_none(), || worst.unwrap_or_default());
    }
    f
}

/// Rule 5.
fn order(r: &Records, c: &Invariants, arrivals: &ByMessage) -> InvariantResult {
    let mut f = InvariantResult::new("5 order by key, with the key's rest");
    let mut lines: BTreeMap<(u64, u32, u32, u64), Vec<&Submission>> = BTreeMap::new();
    for h in &r.submissions {
        if let (Some(key), true) = (h.key, c.classes[usize::from(h.class)].ordered) {
            lines.entry((key, h.courier, h.incarnation, h.line.0)).or_default().push(h);
        }
    }
    let mut tries: BTreeMap<(u64, u32, u32), Vec<&Submission>> = BTreeMap::new();
    for h in &r.submissions {
        tries.entry((h.message, h.courier, h.incarnation)).or_default().push(h);
    }
    for ((key, courier, life, _), mut line) in lines {
        line.sort_by_key(|h| h.line.1);
        let within = |a: &Arrival, h: &Submission| {
            let over = h.answers.first().map_or(h.deadline, |a| a.0) + c.travel;
            a.courier == courier && a.incarnation == life && a.sent() >= h.at && a.sent() <= over
        };
        let of = |h: &Submission| -> Vec<&Arrival> {
            // After a connection broke the courier may hold it from two, and nobody can say of which an attempt
            // is: it stands under the order of neither.
            let others = tries.get(&(h.message, courier, life)).into_iter().flatten();
            let others: Vec<&&Submission> = others.filter(|o| o.line.0 != h.line.0).collect();
            let all = arrivals.get(&h.message).into_iter().flatten().copied();
            all.filter(|a| within(a, h) && !others.iter().any(|o| within(a, o))).collect()
        };
        for pair in line.windows(2) {
            let (earlier, later) = (of(pair[0]), of(pair[1]));
            let Some(first) = later.first() else { continue };
            // A message that was handed in again has its place at the back.
            if pair[0].message == pair[1].message {
                continue;
            }
            for a in earlier {
                let rested = match a.verdict {
                    EndpointVerdict::Unanswered => a.sent() + c.key_cooldown,
                    _ => a.answered.map_or(a.sent() + c.key_cooldown, |t| t.min(a.sent() + c.key_cooldown)),
                };
                f.case(first.sent() + c.travel >= rested && first.sent() >= a.sent(), || {
                    format!(
                        "key {key:x}: message {} at {:.0} ms, before {} of {:.0} ms was over",
                        pair[1].message,
                        ms(first.sent()),
                        pair[0].message,
                        ms(a.sent())
                    )
                });
            }
        }
    }
    f
}

/// Rule 6.
fn waits(r: &Records, c: &Invariants) -> InvariantResult {
    let mut f = InvariantResult::new("6 told waits are heeded");
    type Limit = (u32, u32, u32, Option<u32>);
    let limit = |a: &Arrival| -> Limit {
        (a.courier, a.incarnation, a.destination, a.independent_route.then_some(a.endpoint))
    };
    let mut by_limit: BTreeMap<Limit, Vec<&Arrival>> = BTreeMap::new();
    for a in &r.arrivals {
        by_limit.entry(limit(a)).or_default().push(a);
    }
    for calls in by_limit.values_mut() {
        calls.sort_by_key(|a| a.at);
        for (n, a) in calls.iter().enumerate() {
            let (EndpointVerdict::Rejected { retry_after: wait }, Some(told)) = (a.verdict, a.answered)
            else {
                continue;
            };
            let (heard, until) = (r.heard(a.courier, told) + c.slow, told + wait);
            if heard + 2 * c.travel >= until {
                continue;
            }
            let within = calls[n + 1..].iter().filter(|b| b.sent() + c.travel < until);
            let early = within.into_iter().find(|b| b.sent() > heard + c.travel && b.call != a.call);
            f.case(early.is_none(), || {
                let at = early.map_or(0, |b| b.sent());
                format!(
                    "destination {}: courier {} was told {:.0} ms and sent after {:.0}",
                    a.destination,
                    a.courier,
                    ms(wait),
                    ms(at.saturating_sub(told))
                )
            });
        }
    }
    f
}

/// Worth of a message served so long after its first try.
pub fn worth(class: &Class, halves: bool, age: Time) -> f64 {
    let late = age.saturating_sub(class.latency_objective) as f64;
    if age > class.deadline {
        return 0.0;
    }
    let kept = if halves {
        0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_weight)
    } else {
        1.0 - (1.0 - class.late_weight) * late
            / class.deadline.saturating_sub(class.latency_objective).max(1) as f64
    };
    class.priority_weight * kept
}

fn count(r: &Records, c: &Invariants, arrivals: &ByMessage) -> (Vec<ClassSummary>, f64, f64) {
    let mut rows: Vec<ClassSummary> =
        c.classes.iter().map(|k| ClassSummary { class: k.name.clone(), ..ClassSummary::default() }).collect();
    let mut tries: BTreeMap<u64, Vec<&Submission>> = BTreeMap::new();
    for h in &r.submissions {
        tries.entry(h.message).or_default().push(h);
    }
    const STRETCH: Time = 10_000_000_000;
    let begin = r.submissions.iter().map(|h| h.at).min().unwrap_or(0);
    let mut stretches: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for (message, mut tries) in tries {
        tries.sort_by_key(|h| h.at);
        let first = tries[0];
        let class = &c.classes[usize::from(first.class)];
        let row = &mut rows[usize::from(first.class)];
        row.messages += 1;
        row.tries += tries.len() as u64;
        row.attempts += arrivals.get(&message).map_or(0, Vec::len) as u64;
        row.asked += class.priority_weight;
        let served = tries.iter().flat_map(|t| &t.answers).find(|a| a.1 == Answer::Served);
        let got = served.map_or(0.0, |&(at, _)| worth(class, c.halves, at - first.at));
        row.worth += got;
        match (served, tries.iter().rev().find_map(|t| t.answers.first())) {
            (Some(&(at, _)), _) if at - first.at <= class.latency_objective => row.in_aim += 1,
            (Some(_), _) => row.late += 1,
            (None, Some((_, Answer::Rejected))) => row.refused += 1,
            (None, Some(_)) => row.failed += 1,
            (None, None) if class.idempotency != Idempotency::Idempotent => row.unknown += 1,
            (None, None) => row.lost += 1,
        }
        let stretch = stretches.entry((first.at - begin) / STRETCH).or_default();
        *stretch = (stretch.0 + got, stretch.1 + class.priority_weight);
    }
    let asked: f64 = rows.iter().map(|r| r.asked).sum();
    let delivered: f64 = rows.iter().map(|r| r.worth).sum();
    let worst = stretches.values().map(|(got, asked)| got / asked.max(1e-9)).fold(1.0, f64::min);
    (rows, delivered / asked.max(1e-9), worst)
}

#[cfg(test)]
mod tests;
