//! A courier's figures for Graphite and collectd.
//!
//! [`Telemetry`] is fed with the courier's facts and clock readings, and says what is to be written, sent and saved;
//! it holds no socket, file or clock. Counts only grow, over restarts and crashes too: a report leaves when the log
//! of the counts in it is on disk. What a receiver does not take is dropped, the oldest first, and counted.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod collectd;
pub mod connection;
pub mod counts;
pub mod graphite;
pub mod host;
pub mod names;
pub mod series;
pub mod settings;

pub mod stream;
pub mod timestamps;

use bytes::Bytes;
use collectd::{PacketEncoder, Severity};
use connection::{ConnectionAction, Losses, ReceiverConnection};
use counts::{mark, CounterKey, CounterLogEntry, CounterStore, Counts, Field, Saved};
use graphite::MetricSource;
use hdrhistogram::Histogram;
use host::Host;
use linnetcart::{AttemptOutcome, Class, LimitChange, LimitState, Time};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};
use names::{AssignedName, SeriesNames};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use series::{Point, PointValue, SeriesSubject};
use settings::Telemetry as Settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use timestamps::{Timestamp, Timestamps};

const SECOND: Time = 1_000_000_000;
/// Series that did not change are reported again once in so many reports.
const REFRESH: u32 = 30;
/// Latencies are kept in units of this.
const UNIT: Time = 100_000;
/// Weight of the newest interval in the limit that is inferred.
const NEWEST: f64 = 0.5;
/// Notifications of one interval at most.
const NOTICES: usize = 200;
/// Changes that nobody is told of go into the log this often.
const LOG_EVERY: Time = SECOND / 10;
/// Points of a slice of a report: some tenths of a millisecond.
const SLICE: usize = 256;
/// Between two slices, so that a socket's buffer can take them.
const SLICE_EVERY: Time = SECOND / 1000;
/// Points that are made before the log is brought to disk and they leave.
const PART: usize = 8192;
/// The host's figures go to the logs this often.
const HOST_LINE: Time = 60 * SECOND;
/// A report whose log is not on disk after this is left behind.
const SYNC_WAIT: Time = 20 * SECOND;

/// The courier that reports.
#[derive(Clone, Debug)]
pub struct CourierInfo {
    /// The deployment.
    pub deployment: String,
    /// Its number.
    pub me: u32,
    /// Its classes, by name.
    pub classes: Vec<(String, Class)>,
    /// Worth halves with each further aim.
    pub halves: bool,
    /// Spreads reports and retries.
    pub seed: u64,
}

/// What was found of an earlier run.
#[derive(Debug, Default)]
pub struct RestoredState {
    /// The snapshot.
    pub saved: Option<Saved>,
    /// The logs after it, oldest first.
    pub logs: Vec<Vec<u8>>,
}

/// Figures of now that no fact tells.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CurrentState {
    /// Messages held.
    pub held: usize,
    /// Bytes of them.
    pub held_bytes: usize,
    /// Slots in use.
    pub slots_used: usize,
    /// Slots.
    pub slots: usize,
    /// Messages that may be held.
    pub hold: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub links: usize,
}

/// An endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its number.
    pub endpoint: u32,
    /// Its destination's.
    pub destination: u32,
    /// It is a route apart.
    pub apart: bool,
}

/// What the shell is to do, in this order.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Append to the log of counts.
    Append(Vec<u8>),
    /// Bring the log to disk, then say [`Telemetry::synced`] with this number.
    Sync(u64),
    /// For the connection to Graphite.
    Graphite(ConnectionAction),
    /// Send a datagram to collectd.
    Datagram(SocketAddr, Bytes),
    /// A line for those on call.
    Log(String),
    /// A line for the record.
    Info(String),
}

/// How the reporting fares, for the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Reports made.
    pub reports: u64,
    /// Points of the last one.
    pub points: usize,
    /// Cells of counts.
    pub cells: usize,
    /// Counted beyond the bound of cells, since the start.
    pub beyond: u64,
    /// Connected to Graphite.
    pub graphite_up: Option<bool>,
    /// Bytes that wait for it.
    pub graphite_waiting: usize,
    /// Points dropped, since the start.
    pub dropped: u64,
    /// Seconds that stamps are ahead of the clock.
    pub stamps_ahead_s: f64,
    /// The log of counts cannot be brought to disk; counts are not reported meanwhile.
    pub counts_not_safe: bool,
    /// The host.
    pub host: Option<host::View>,
}

/// A destination, over the running interval and of now.
#[derive(Debug, Default)]
struct Dest {
    attempts: u64,
    served: u64,
    full: u64,
    latency: Option<Histogram<u32>>,
    limit: Limit,
    standing: LimitState,
    /// Silent endpoints.
    silent: BTreeSet<u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Limit {
    told: Option<f64>,
    left: Option<f64>,
    inferred: Option<f64>,
}

/// What a report still has to show.
#[derive(Clone, Copy, Debug)]
enum Show {
    Courier,
    Class(usize),
    Dest(u32),
    Route(u32),
    /// Counts of a destination over all classes.
    Sum(u32),
    Cell(CounterKey),
}

/// A report under way: it is made and leaves in slices, so that no message waits for it. A part of it is made, then
/// the log of the counts in it brought to disk, then it leaves, and the next part follows.
#[derive(Debug)]
struct Report {
    stamp: u64,
    seconds: f64,
    show: VecDeque<Show>,
    made: usize,
    points: VecDeque<Point>,
    step: Step,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Making,
    /// The log is being brought to disk.
    Syncing {
        number: u64,
        since: Time,
    },
    Leaving,
}

/// The reporting of one courier.
#[derive(Debug)]
pub struct Telemetry {
    courier: CourierInfo,
    who: MetricSource,
    classes: Vec<String>,
    set: Settings,
    book: CounterStore,
    totals: Vec<Counts>,
    names: SeriesNames,
    stamps: Timestamps,
    listed: BTreeMap<u32, Vec<u32>>,
    routes: BTreeMap<u32, u32>,
    dests: BTreeMap<u32, Dest>,
    route_states: BTreeMap<u32, Dest>,
    class_latency: Vec<Option<Histogram<u32>>>,
    dirty: BTreeSet<CounterKey>,
    /// Cells up to this one had their turn of unchanged series.
    refreshed: Option<CounterKey>,
    next_report: Time,
    last_report: Time,
    report: Option<Report>,
    next_slice: Time,
    syncs: u64,
    /// Changes that must be in the log before this turn's answers leave, and when some were put there last.
    owed: bool,
    logged: Time,
    figures: CurrentState,
    /// The first cell that a report had no room for.
    put_off: Option<CounterKey>,
    outlet: Option<ReceiverConnection>,
    reported_losses: Losses,
    host: Option<Host>,
    reported_bad: u64,
    notices: VecDeque<(String, Severity, String)>,
    next_host: Time,
    random: ChaCha8Rng,
    safe: bool,
    out: Vec<Output>,
    status: Status,
}

fn named(names: &[String]) -> Vec<String> {
    let mut safe = SeriesNames::new(names.len() + 1);
    let name = |(n, name): (usize, &String)| safe.assign(Some(name), n as u32).name;
    names.iter().enumerate().map(name).collect()
}

fn latency(into: &mut Option<Histogram<u32>>, took: Time) {
    // Two digits: what is read off a chart. Bounds that hdrhistogram takes: this cannot fail.
    if into.is_none() {
        *into = Histogram::new(2).ok();
    }
    if let Some(h) = into {
        h.saturating_record((took / UNIT).max(1));
    }
}

impl Telemetry {
    /// Goes on from what was found. Nothing is reported until [`Telemetry::configure`] says where to.
    pub fn new(courier: CourierInfo, found: RestoredState, set: Settings, now: Time) -> Telemetry {
        let names: Vec<String> = courier.classes.iter().map(|c| c.0.clone()).collect();
        let mut book = CounterStore::new(names.clone(), set.cells);
        let mut owners = SeriesNames::new(set.cells.max(1000) * 2);
        let mut stamp = 0;
        if let Some(saved) = &found.saved {
            book.restore(saved);
            saved.names.iter().for_each(|(name, &of)| owners.restore(name.clone(), of));
            stamp = saved.stamp;
        }
        for log in &found.logs {
            for m in book.replay(log).entries {
                match m {
                    CounterLogEntry::Name(name, of) => owners.restore(name, of),
                    CounterLogEntry::Stamp(at) => stamp = stamp.max(at),
                    CounterLogEntry::Classes(_) => {}
                }
            }
        }
        let mut totals = vec![Counts::default(); names.len()];
        for (of, counts) in book.cells() {
            if let CounterKey::Cell(_, class) = of {
                sum(&mut totals[usize::from(*class)], counts);
            }
        }
        let who = MetricSource { deployment: names::safe(&courier.deployment), courier: courier.me };
        let mut random = ChaCha8Rng::seed_from_u64(courier.seed ^ (u64::from(courier.me) << 32));
        let interval = set.interval_s * SECOND;
        let first = random.random_range(0..interval);
        let mut telemetry = Telemetry {
            class_latency: vec![None; names.len()],
            classes: named(&names),
            who,
            courier,
            book,
            totals,
            names: owners,
            stamps: Timestamps::new(stamp * SECOND, now),
            listed: BTreeMap::new(),
            routes: BTreeMap::new(),
            dests: BTreeMap::new(),
            route_states: BTreeMap::new(),
            dirty: BTreeSet::new(),
            refreshed: None,
            // A thousand couriers that start together report at times spread over the interval.
            next_report: now + first,
            last_report: now,
            report: None,
            next_slice: now,
            syncs: 0,
            owed: false,
            logged: now,
            figures: CurrentState::default(),
            put_off: None,
            outlet: None,
            reported_losses: Losses::default(),
            host: None,
            reported_bad: 0,
            notices: VecDeque::new(),
            next_host: now + HOST_LINE,
            random,
            safe: true,
            out: Vec::new(),
            status: Status::default(),
            set: Settings::default(),
        };
        telemetry.configure(set, now);
        telemetry
    }

    /// All that a snapshot must hold. What follows goes into a new log, which begins with [`Telemetry::log_head`].
    pub fn saved(&self) -> Saved {
        self.book.saved(self.names.owners(), self.stamps.last() / SECOND)
    }

    /// The first frame of a log.
    pub fn log_head(&self) -> Vec<u8> {
        mark(&CounterLogEntry::Classes(self.courier.classes.iter().map(|c| c.0.clone()).collect()))
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Other settings from now on. What waits for a receiver that stays, stays.
    pub fn configure(&mut self, set: Settings, now: Time) {
        if self.set.graphite != set.graphite {
            if self.outlet.take().is_some() {
                self.out.push(Output::Graphite(ConnectionAction::Close));
            }
            self.reported_losses = Losses::default();
            self.outlet = set.graphite.as_ref().map(|g| {
                ReceiverConnection::new(g.address, g.queue_bytes, g.stuck_s * SECOND, self.random.next_u64())
            });
        }
        match (&mut self.host, &set.listen) {
            (Some(host), Some(listen)) => host.configure(listen.clone()),
            (_, listen) => {
                (self.host, self.reported_bad) = (listen.clone().map(Host::new), 0);
            }
        }
        self.next_report = self.next_report.min(now + set.interval_s * SECOND);
        self.set = set;
    }

    /// The list, whenever it changed.
    pub fn set_endpoints(&mut self, listed: impl Iterator<Item = ListedEndpoint>) {
        self.listed.clear();
        self.routes.clear();
        for l in listed {
            self.listed.entry(l.destination).or_default().push(l.endpoint);
            if l.apart {
                self.routes.insert(l.endpoint, l.destination);
            }
        }
        // Nothing is shown any more of now for what is not listed; its counts stay and come back with it.
        self.dests.retain(|d, _| self.listed.contains_key(d));
        self.route_states.retain(|e, _| self.routes.contains_key(e));
    }

    fn add(&mut self, of: CounterKey, field: Field, by: u64) {
        // What has no place of its own is not in the sums either: they come from the places at the next start.
        if !self.book.add(of, field, by) {
            return;
        }
        if let CounterKey::Cell(_, class) = of {
            if let Some(total) = self.totals.get_mut(usize::from(class)) {
                total[field] += by;
            }
        }
    }

    /// Worth of a message in thousandths, all of it or what is left after a time.
    fn milli(&self, class: u8, after: Option<Time>) -> u64 {
        let Some((_, class)) = self.courier.classes.get(usize::from(class)) else { return 0 };
        let worth = class.weight_at(after.unwrap_or(0), self.courier.halves);
        (worth.clamp(0.0, class.priority_weight) * 1000.0).round() as u64
    }

    /// Something happened.
    pub fn record(&mut self, fact: &DeliveryEvent) {
        // Someone will be told of these; all that was counted goes into the log before.
        self.owed |= matches!(fact, DeliveryEvent::Completed { .. } | DeliveryEvent::Rejected { .. });
        match *fact {
            DeliveryEvent::Accepted { class, destination, .. } => {
                self.add(CounterKey::Cell(destination, class), Field::Accepted, 1);
                self.add(CounterKey::Cell(destination, class), Field::WeightOffered, self.milli(class, None));
            }
            DeliveryEvent::Rejected { class, destination, .. } => {
                let (of, worth) = (CounterKey::Cell(destination, class), self.milli(class, None));
                self.add(of, Field::RejectedBeforeAccept, 1);
                self.add(of, Field::WeightOffered, worth);
                self.add(of, Field::WeightLost, worth);
            }
            DeliveryEvent::AttemptStarted { class, destination, endpoint, hedge: copy, .. } => {
                for of in self.cells_of(destination, class, endpoint) {
                    self.add(of, Field::Attempts, 1);
                    self.add(of, Field::Hedges, u64::from(copy));
                }
                self.limits(destination, endpoint, |d| d.attempts += 1);
            }
            DeliveryEvent::AttemptFinished {
                class,
                destination,
                endpoint,
                outcome: ending,
                elapsed: took,
                load,
                ..
            } => {
                self.ended(class, destination, endpoint, ending, took);
                if let Some(LoadReport { capacity_left: left, rate_limit: limit }) = load {
                    self.limits(destination, endpoint, |d| {
                        (d.limit.left, d.limit.told) = (Some(left), Some(limit).filter(|l| *l > 0.0));
                    });
                }
            }
            DeliveryEvent::Completed { class, destination, answer, elapsed: after, .. } => {
                self.answered(class, destination, answer, after);
            }
            DeliveryEvent::ClientCancelled { class, destination, .. } => {
                let worth = self.milli(class, None);
                self.add(CounterKey::Cell(destination, class), Field::ClientCancelled, 1);
                self.add(CounterKey::Cell(destination, class), Field::WeightLost, worth);
            }
            DeliveryEvent::LimitChanged(LimitChange { destination, endpoint, state, .. }) => {
                self.limit_changed(destination, endpoint, state);
            }
            DeliveryEvent::UnsupportedAction(_) | DeliveryEvent::ProtocolViolation { .. } => {}
        }
    }

    fn cells_of(&self, destination: u32, class: u8, endpoint: u32) -> Vec<CounterKey> {
        let route = self.routes.contains_key(&endpoint).then_some(CounterKey::Route(endpoint));
        [CounterKey::Cell(destination, class)].into_iter().chain(route).collect()
    }

    /// The destination, and the route where routes are apart.
    fn limits(&mut self, destination: u32, endpoint: u32, change: impl Fn(&mut Dest)) {
        if self.listed.contains_key(&destination) {
            change(self.dests.entry(destination).or_default());
        }
        if self.routes.contains_key(&endpoint) {
            change(self.route_states.entry(endpoint).or_default());
        }
    }

    fn ended(&mut self, class: u8, destination: u32, endpoint: u32, ending: AttemptOutcome, took: Time) {
        let field = match ending {
            AttemptOutcome::Served => Field::AttemptsServed,
            AttemptOutcome::Error => Field::AttemptErrors,
            AttemptOutcome::Rejected { .. } => Field::AttemptsRejected,
            AttemptOutcome::TimedOut => Field::AttemptTimeouts,
            AttemptOutcome::NoConnection | AttemptOutcome::NotSent { .. } => Field::AttemptsNotSent,
            AttemptOutcome::Reset => Field::ConnectionResets,
            AttemptOutcome::Cancelled => Field::AttemptsCancelled,
        };
        let told = u64::from(matches!(ending, AttemptOutcome::Rejected { retry_after: wait } if wait > 0));
        for of in self.cells_of(destination, class, endpoint) {
            self.add(of, field, 1);
            self.add(of, Field::RetryAfterReceived, told);
        }
        self.limits(destination, endpoint, |d| match ending {
            AttemptOutcome::Served => {
                d.served += 1;
                latency(&mut d.latency, took);
                d.silent.remove(&endpoint);
            }
            AttemptOutcome::Rejected { .. } => d.full += 1,
            _ => {}
        });
    }

    fn answered(&mut self, class: u8, destination: u32, answer: FinalAnswer, after: Time) {
        let of = CounterKey::Cell(destination, class);
        let (whole, kept) = (self.milli(class, None), self.milli(class, Some(after)));
        let in_aim =
            self.courier.classes.get(usize::from(class)).is_some_and(|c| after <= c.1.latency_objective);
        match answer {
            FinalAnswer::Served => {
                self.add(of, if in_aim { Field::WithinObjective } else { Field::Late }, 1);
                self.add(of, if in_aim { Field::WeightWithinObjective } else { Field::WeightLate }, kept);
                self.add(of, Field::WeightLost, whole - kept);
                if let Some(h) = self.class_latency.get_mut(usize::from(class)) {
                    latency(h, after);
                }
            }
            FinalAnswer::Rejected { .. } | FinalAnswer::Failed => {
                let refused = matches!(answer, FinalAnswer::Rejected { .. });
                self.add(of, if refused { Field::RejectedAfterAccept } else { Field::Failed }, 1);
                self.add(of, Field::WeightLost, whole);
            }
        }
    }

    fn limit_changed(&mut self, destination: u32, endpoint: u32, standing: LimitState) {
        let route = self.routes.contains_key(&endpoint);
        let endpoints = self.listed.get(&destination).map_or(0, Vec::len);
        let name = self.dest_name(destination);
        let (state, what, instance) = if route {
            let state = self.route_states.entry(endpoint).or_default();
            (
                state,
                format!("destination {destination} route {endpoint}"),
                format!("dest-{name}-route-{endpoint}"),
            )
        } else if endpoints > 0 {
            let state = self.dests.entry(destination).or_default();
            (state, format!("destination {destination}"), format!("dest-{name}"))
        } else {
            return;
        };
        let standing = match standing {
            // One endpoint of several that is silent is not yet the destination.
            LimitState::Silent => {
                state.silent.insert(endpoint);
                if !route && state.silent.len() < endpoints {
                    return;
                }
                LimitState::Ejected
            }
            other => other,
        };
        if standing == LimitState::Healthy {
            state.silent.clear();
        }
        if state.standing == standing {
            return;
        }
        state.standing = standing;
        let (severity, text) = match standing {
            LimitState::Healthy => (Severity::Okay, "in service"),
            LimitState::Recovering => (Severity::Warning, "back, warming up"),
            LimitState::Ejected | LimitState::Silent => (Severity::Failure, "out"),
        };
        if self.notices.len() >= NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back((instance, severity, format!("{what} is {text}")));
    }

    fn dest_name(&mut self, dest: u32) -> String {
        let wanted = self.set.names.get(&dest).map(String::as_str);
        let AssignedName { name, newly_assigned: new } = self.names.assign(wanted, dest);
        if new {
            self.out.push(Output::Append(mark(&CounterLogEntry::Name(name.clone(), dest))));
        }
        name
    }

    /// The clock; what is counted so far goes into the log, and a report is made when it is time.
    pub fn process(&mut self, now: Time, wall: Time, figures: impl FnOnce() -> CurrentState) {
        self.losses();
        if self.owed || self.logged + LOG_EVERY <= now {
            self.log_changes();
            self.logged = now;
        }
        if self.next_host <= now {
            self.next_host = now + HOST_LINE;
            let view = self.host.as_ref().map(|h| h.view(now)).filter(|v| v.age_s.is_some());
            self.out.extend(view.map(|v| Output::Info(v.to_string())));
        }
        if self.next_report <= now {
            let interval = self.set.interval_s * SECOND;
            self.next_report = (self.next_report + interval).max(now + interval / 2);
            if self.report.is_none() && (self.outlet.is_some() || self.set.collectd.is_some()) {
                self.figures = figures();
                self.begin(now, wall);
            }
        }
        if self.next_slice <= now {
            self.next_slice = now + SLICE_EVERY;
            self.slice(now);
        }
        self.notify(wall);
        if let Some(outlet) = &mut self.outlet {
            self.out.extend(outlet.poll(now).into_iter().map(Output::Graphite));
        }
    }

    /// The program ends: one more report, at once.
    pub fn report_now(&mut self, now: Time) {
        self.next_report = self.next_report.min(now);
    }

    /// Nothing is on its way to a receiver that is there.
    pub fn is_quiet(&self) -> bool {
        let empty = self.outlet.as_ref().is_none_or(|o| !o.is_connected() || o.buffered_bytes() == 0);
        self.report.is_none() && empty
    }

    /// When the next turn is wanted at the latest.
    pub fn next_wakeup(&self) -> Time {
        let outlet = self.outlet.as_ref().and_then(ReceiverConnection::next_wakeup).unwrap_or(Time::MAX);
        let slice = match &self.report {
            Some(r) if !matches!(r.step, Step::Syncing { .. }) => self.next_slice,
            _ => Time::MAX,
        };
        self.next_report.min(outlet).min(slice)
    }

    /// What the shell is to do since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// What changed goes into the log.
    fn log_changes(&mut self) {
        self.owed = false;
        self.dirty.extend(self.book.changed());
        self.out.extend(self.book.frame().map(Output::Append));
    }

    /// What is lost on the way is counted with everything else.
    fn losses(&mut self) {
        if let Some(outlet) = &self.outlet {
            let losses = outlet.losses();
            let before = self.reported_losses;
            self.reported_losses = losses;
            self.add_reports(Field::PointsDropped, losses.points_dropped - before.points_dropped);
            self.add_reports(
                Field::ReceiverConnectionFailures,
                losses.connection_failures - before.connection_failures,
            );
        }
        if let Some(host) = &self.host {
            let bad = host.bad();
            let before = std::mem::replace(&mut self.reported_bad, bad);
            self.add_reports(Field::PacketsRejected, bad.saturating_sub(before));
        }
    }

    fn add_reports(&mut self, field: Field, by: u64) {
        if by > 0 {
            self.add(CounterKey::Reports, field, by);
        }
    }

    fn begin(&mut self, now: Time, wall: Time) {
        let Timestamp { time: stamp, ahead } = self.stamps.next(now, wall);
        if ahead > SECOND && self.status.stamps_ahead_s == 0.0 {
            let text = format!("the clock was set back: stamps are {} s ahead and slow down", ahead / SECOND);
            self.out.push(Output::Log(text));
        }
        self.status.stamps_ahead_s = ahead as f64 / 1e9;
        let seconds = (now - self.last_report).max(1) as f64 / 1e9;
        self.last_report = now;
        self.status.reports += 1;
        // A restart must not stamp anything with a time that was used.
        self.out.push(Output::Append(mark(&CounterLogEntry::Stamp(stamp / SECOND))));
        self.log_changes();
        let show = self.show();
        let (points, made) = (VecDeque::new(), 0);
        self.report = Some(Report { stamp, seconds, show, made, points, step: Step::Making });
        self.next_slice = now;
    }

    /// A slice of the report under way.
    fn slice(&mut self, now: Time) {
        let Some(mut report) = self.report.take() else { return };
        match report.step {
            Step::Making => {
                let mut made = Vec::new();
                while made.len() < SLICE && report.points.len() + made.len() < PART {
                    let Some(show) = report.show.pop_front() else { break };
                    let so_far = made.len();
                    self.make(show, &report, so_far, &mut made);
                }
                report.made += made.len();
                report.points.extend(made);
                self.status.points = report.made;
                if report.points.len() >= PART || report.show.is_empty() {
                    self.syncs += 1;
                    // What these slices show is in the log before the sync.
                    self.log_changes();
                    self.out.push(Output::Sync(self.syncs));
                    report.step = Step::Syncing { number: self.syncs, since: now };
                }
            }
            Step::Syncing { since, .. } if since + SYNC_WAIT <= now => {
                self.not_safe("bringing the counts to disk takes too long");
                report.points.retain(|p| !matches!(p.value, PointValue::Counter(_)));
                report.step = Step::Leaving;
            }
            Step::Syncing { .. } => {}
            Step::Leaving => {
                let count = report.points.len().min(SLICE);
                let points: Vec<Point> = report.points.drain(..count).collect();
                self.leave(&points, report.stamp);
                if report.points.is_empty() {
                    if report.show.is_empty() {
                        return;
                    }
                    report.step = Step::Making;
                }
            }
        }
        self.report = Some(report);
    }

    fn leave(&mut self, points: &[Point], stamp: u64) {
        if let (Some(outlet), Some(g)) = (&mut self.outlet, &self.set.graphite) {
            outlet.send(graphite::encode(&self.who, points, stamp / SECOND, g.form, g.tags));
        }
        self.send_collectd(stamp, |envelope, iv| envelope.points(points, iv));
    }

    /// Sends the packets that an envelope of this time is made to.
    fn send_collectd(
        &mut self,
        stamp: u64,
        make: impl FnOnce(&PacketEncoder, &mut dyn FnMut() -> [u8; 16]) -> Vec<Vec<u8>>,
    ) {
        let Some(c) = &self.set.collectd else { return };
        let (host, interval) = (self.host_name(c), self.set.interval_s * SECOND);
        let envelope = PacketEncoder {
            host: &host,
            time: stamp,
            interval,
            security: &c.security,
            max_bytes: c.packet_bytes,
        };
        let random = &mut self.random;
        let packets = make(&envelope, &mut || random.random());
        self.out.extend(packets.into_iter().map(|p| Output::Datagram(c.address, p.into())));
    }

    /// The log is on disk, or could not be brought there: the part may leave, or its counts may not.
    pub fn synced(&mut self, number: u64, good: Result<(), String>) {
        let ours = |r: &&mut Report| matches!(r.step, Step::Syncing { number: n, .. } if n == number);
        let Some(report) = self.report.as_mut().filter(ours) else { return };
        report.step = Step::Leaving;
        match good {
            Ok(()) => {
                if !self.safe {
                    self.out.push(Output::Log("counts are brought to disk again, and reported".into()));
                }
                self.safe = true;
            }
            Err(why) => {
                report.points.retain(|p| !matches!(p.value, PointValue::Counter(_)));
                self.not_safe(&why);
            }
        }
    }

    fn not_safe(&mut self, why: &str) {
        if self.safe {
            self.out.push(Output::Log(format!(
                "counts are not reported until they can be brought to disk again: {why}"
            )));
        }
        self.safe = false;
    }

    fn host_name(&self, c: &settings::Collectd) -> String {
        let default = || format!("linnetcart-{}-{}", self.who.deployment, self.who.courier);
        c.host.clone().unwrap_or_else(default)
    }

    fn notify(&mut self, wall: Time) {
        let stamp = self.stamps.last().max(wall);
        for (instance, severity, text) in std::mem::take(&mut self.notices) {
            self.send_collectd(stamp, |envelope, iv| {
                vec![envelope.notification(&instance, severity, &text, iv)]
            });
        }
    }

    // ---- Points of a report

    /// What a report shows: all that is of now, the cells that changed, and some of the others in turn.
    fn show(&mut self) -> VecDeque<Show> {
        let mut show = VecDeque::from([Show::Courier]);
        show.extend((0..self.classes.len()).map(Show::Class));
        show.extend(self.dests.keys().map(|&d| Show::Dest(d)));
        show.extend(self.route_states.keys().map(|&r| Show::Route(r)));
        let mut cells = std::mem::take(&mut self.dirty);
        let share = self.book.cells().len().div_ceil(REFRESH as usize);
        let from = self.refreshed.map_or(Bound::Unbounded, Bound::Excluded);
        let others = self.book.cells().range((from, Bound::Unbounded)).map(|c| *c.0);
        let others: Vec<CounterKey> = others.take(share).collect();
        self.refreshed = if others.len() < share { None } else { others.last().copied() };
        cells.extend(others);
        // Those that were put off before come first.
        let from = self.put_off.take().unwrap_or(CounterKey::Cell(0, 0));
        let (after, before): (Vec<CounterKey>, Vec<CounterKey>) =
            cells.into_iter().partition(|&of| of >= from);
        let mut last = None;
        for of in after.into_iter().chain(before) {
            if let CounterKey::Cell(dest, _) = of {
                if last.replace(dest) != Some(dest) {
                    show.push_back(Show::Sum(dest));
                }
            }
            show.push_back(Show::Cell(of));
        }
        show
    }

    fn make(&mut self, show: Show, report: &Report, made: usize, points: &mut Vec<Point>) {
        match show {
            Show::Courier => self.courier_points(points),
            Show::Class(class) => {
                let place = SeriesSubject::Class(self.classes[class].clone());
                counts(points, &place, &self.totals[class], &Field::ALL);
                if let Some(h) = self.class_latency[class].take() {
                    percentiles(points, &place, &h);
                }
            }
            Show::Dest(dest) => {
                let place = SeriesSubject::Destination(self.dest_name(dest));
                if let Some(d) = self.dests.get_mut(&dest) {
                    d.points(&place, report.seconds, points);
                }
            }
            Show::Route(route) => {
                let dest = self.routes.get(&route).copied().unwrap_or(0);
                let place = SeriesSubject::Route { destination: self.dest_name(dest), endpoint: route };
                if let Some(r) = self.route_states.get_mut(&route) {
                    r.points(&place, report.seconds, points);
                }
            }
            Show::Sum(_) | Show::Cell(_) if report.made + made >= self.set.points => {
                if let Show::Cell(of) = show {
                    self.dirty.insert(of);
                    self.put_off.get_or_insert(of);
                    self.add_reports(Field::PointsPostponed, 1);
                }
            }
            Show::Sum(dest) => {
                let mut all = Counts::default();
                let cells =
                    self.book.cells().range(CounterKey::Cell(dest, 0)..=CounterKey::Cell(dest, u8::MAX));
                cells.for_each(|c| sum(&mut all, c.1));
                counts(points, &SeriesSubject::Destination(self.dest_name(dest)), &all, &Field::ALL);
            }
            Show::Cell(of) => self.cell_points(of, points),
        }
    }

    fn courier_points(&mut self, points: &mut Vec<Point>) {
        let now = self.figures;
        let mut all = Counts::default();
        self.totals.iter().for_each(|t| sum(&mut all, t));
        if let Some(reports) = self.book.cells().get(&CounterKey::Reports) {
            sum(&mut all, reports);
        }
        counts(points, &SeriesSubject::Courier, &all, &Field::ALL);
        let gauges = [
            ("held", now.held),
            ("held_bytes", now.held_bytes),
            ("hold", now.hold),
            ("slots_used", now.slots_used),
            ("slots", now.slots),
            ("clients", now.clients),
            ("links", now.links),
        ];
        let gauge = |(field, n): (&'static str, usize)| {
            Point::new(SeriesSubject::Courier, field, PointValue::Gauge(n as f64))
        };
        points.extend(gauges.map(gauge));
    }

    fn cell_points(&mut self, of: CounterKey, points: &mut Vec<Point>) {
        let Some(&cell) = self.book.cells().get(&of) else { return };
        match of {
            CounterKey::Cell(dest, class) => {
                if let Some(class) = self.classes.get(usize::from(class)).cloned() {
                    counts(
                        points,
                        &SeriesSubject::DestinationAndClass { destination: self.dest_name(dest), class },
                        &cell,
                        &Field::ALL,
                    );
                }
            }
            CounterKey::Route(route) => {
                if let Some(&dest) = self.routes.get(&route) {
                    counts(
                        points,
                        &SeriesSubject::Route { destination: self.dest_name(dest), endpoint: route },
                        &cell,
                        &Field::ALL,
                    );
                }
            }
            CounterKey::Reports => {}
        }
    }

    // ---- Receivers and the host

    /// The connection to Graphite is there.
    pub fn connected(&mut self, now: Time) {
        if let Some(outlet) = &mut self.outlet {
            outlet.connected(now);
        }
    }

    /// It could not be made, or is gone.
    pub fn disconnected(&mut self, now: Time) {
        if let Some(outlet) = &mut self.outlet {
            outlet.disconnected(now);
        }
    }

    /// The system has taken so many bytes of it.
    pub fn acknowledged(&mut self, now: Time, bytes: u64) {
        if let Some(outlet) = &mut self.outlet {
            outlet.written(now, bytes);
        }
    }

    /// A packet of the host's collectd came.
    pub fn datagram_received(&mut self, packet: &[u8], now: Time, wall: u64) {
        if let Some(line) = self.host.as_mut().and_then(|h| h.packet(packet, now, wall)) {
            self.out.push(Output::Log(line));
        }
    }

    /// How it fares.
    pub fn status(&self, now: Time) -> Status {
        Status {
            cells: self.book.cells().len(),
            beyond: self.book.beyond(),
            graphite_up: self.outlet.as_ref().map(ReceiverConnection::is_connected),
            graphite_waiting: self.outlet.as_ref().map_or(0, ReceiverConnection::buffered_bytes),
            dropped: self.outlet.as_ref().map_or(0, |o| o.losses().points_dropped),
            counts_not_safe: !self.safe,
            host: self.host.as_ref().map(|h| h.view(now)),
            ..self.status.clone()
        }
    }

    /// All counts, by what they are about.
    pub fn counts(&self) -> &BTreeMap<CounterKey, Counts> {
        self.book.cells()
    }
}

impl Dest {
    fn points(&mut self, place: &SeriesSubject, seconds: f64, points: &mut Vec<Point>) {
        let mut gauge =
            |field, value: f64| points.push(Point::new(place.clone(), field, PointValue::Gauge(value)));
        let rate = self.attempts as f64 / seconds;
        if self.full > 0 && self.limit.told.is_none() {
            // What it served while it refused more is what this courier may have of it.
            let served = self.served as f64 / seconds;
            let before = self.limit.inferred.unwrap_or(served);
            self.limit.inferred = Some(before + NEWEST * (served - before));
        }
        gauge(
            "state",
            match self.standing {
                LimitState::Healthy => 2.0,
                LimitState::Recovering => 1.0,
                LimitState::Ejected | LimitState::Silent => 0.0,
            },
        );
        gauge("attempts_per_s", rate);
        if let Some(told) = self.limit.told {
            gauge("limit_told", told);
            gauge("limit_own_share", rate / told);
        }
        if let Some(left) = self.limit.left {
            gauge("limit_left_share", left);
            gauge("limit_used_share", 1.0 - left);
        }
        if let Some(inferred) = self.limit.inferred {
            gauge("limit_inferred", inferred);
            if inferred > 0.0 && self.limit.told.is_none() {
                gauge("limit_own_share", rate / inferred);
            }
        }
        if let Some(h) = self.latency.take() {
            percentiles(points, place, &h);
        }
        (self.attempts, self.served, self.full) = (0, 0, 0);
    }
}

fn sum(into: &mut Counts, more: &Counts) {
    into.add_all(more);
}

/// Counts that are not zero: a series begins when there is something to count.
fn counts(points: &mut Vec<Point>, place: &SeriesSubject, counts: &Counts, fields: &[Field]) {
    let some = fields.iter().filter(|f| counts[**f] > 0);
    points.extend(some.map(|f| Point::new(place.clone(), f.name(), PointValue::Counter(counts[*f]))));
}

fn percentiles(points: &mut Vec<Point>, place: &SeriesSubject, h: &Histogram<u32>) {
    for (field, quantile) in
        [("latency_p50_ms", 0.5), ("latency_p95_ms", 0.95), ("latency_p99_ms", 0.99), ("latency_max_ms", 1.0)]
    {
        let ms = h.value_at_quantile(quantile) as f64 * UNIT as f64 / 1e6;
        points.push(Point::new(place.clone(), field, PointValue::Milliseconds(ms)));
    }
}
