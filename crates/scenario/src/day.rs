//! Scripts of days: fleet, traffic, troubles, as data.

use anyhow::{bail, ensure, Context};
use linnetcart_endpoint_model::LimitKind;
use serde::{Deserialize, Serialize};

/// A day. Spans are in seconds or milliseconds, as their names say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long messages are handed in.
    pub seconds: f64,
    /// Couriers.
    pub couriers: u32,
    /// Zones by name.
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Traffic.
    #[serde(default)]
    pub traffic: Traffic,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// The courier's bounds.
    #[serde(default)]
    pub courier: CourierBounds,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// How the list reaches couriers.
    #[serde(default)]
    pub list: EndpointListDelivery,
    /// Classes.
    #[serde(default = "classes")]
    pub class: Vec<Class>,
    /// Kinds of destination.
    #[serde(default = "kinds")]
    pub kind: Vec<Kind>,
    /// Troubles.
    #[serde(default)]
    pub trouble: Vec<FaultSpec>,
}

/// Traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages handed in, as a part of what all limits let through.
    pub load: f64,
    /// Share of messages that come in clumps for one destination.
    pub clumps: f64,
    /// A clump's size, in seconds of its destination's limit.
    pub clump_s: f64,
    /// Keys of classes in order.
    pub keys: u32,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { load: 0.6, clumps: 0.1, clump_s: 2.0, keys: 60 }
    }
}

/// Clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a refused message is handed in again at most.
    pub retries: u32,
    /// How long a client waits then at least.
    pub again_ms: [f64; 2],
    /// Connections of the clients to each courier at most, those of keys not counted. Answers go in order on
    /// a connection, so with few of them messages wait for each other.
    pub connections: usize,
    /// A client that has waited so long breaks its connection, and hands what it may to another courier; 0 for
    /// as long as it takes.
    pub patience_s: f64,
    /// Clocks of clients and couriers differ by at most so much, either way.
    pub clocks_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 2, again_ms: [800.0, 1900.0], connections: 400, patience_s: 0.0, clocks_ms: 10.0 }
    }
}

/// The courier's bounds, from its part of the full load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CourierBounds {
    /// Slots over what full load keeps busy.
    pub slots_room: f64,
    /// Slots at least.
    pub least_slots: u32,
    /// Full load that is held at most.
    pub hold_s: f64,
    /// Messages held at least.
    pub least_held: u32,
    /// Attempts for a message.
    pub attempts: u32,
    /// Shortest distance of two rounds.
    pub tick_ms: f64,
    /// An idle connection closes after this.
    pub idle_s: f64,
    /// A connection that takes longer has failed.
    pub connect_ms: f64,
}

impl Default for CourierBounds {
    fn default() -> Self {
        CourierBounds {
            slots_room: 2.2,
            least_slots: 4,
            hold_s: 9.0,
            least_held: 16,
            attempts: 12,
            tick_ms: 2.0,
            idle_s: 10.0,
            connect_ms: 1000.0,
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How late a final answer may be.
    pub answer_slack_ms: f64,
    /// New work to a draining endpoint ends after this.
    pub drain_grace_ms: f64,
    /// Share of the capacity after an outage.
    pub cold_share: f64,
    /// All of it after this.
    pub warm_after_s: f64,
    /// Sent more than this multiple, a cold destination falls over,
    pub fall_multiple: f64,
    /// when that goes on for so long.
    pub fall_span_s: f64,
    /// A key's rest.
    pub key_rest_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 500.0,
            cold_share: 0.21,
            warm_after_s: 8.0,
            fall_multiple: 2.0,
            fall_span_s: 2.0,
            key_rest_ms: 100.0,
        }
    }
}

/// How the list reaches couriers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListDelivery {
    /// News come so late.
    pub late_s: f64,
    /// It tells the rates of destinations.
    pub rates: bool,
}

impl Default for EndpointListDelivery {
    fn default() -> Self {
        EndpointListDelivery { late_s: 1.0, rates: true }
    }
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the messages.
    pub share: f64,
    /// Usual service time.
    pub service_ms: f64,
    /// Full worth until then.
    pub aim_s: f64,
    /// How long it may be served.
    pub deadline_s: f64,
    /// Full worth.
    pub worth: f64,
    /// Share that is left at the deadline.
    pub late_worth: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub repeat: IdempotencyKind,
    /// For `keyed`: how long a repeat is dropped.
    #[serde(default)]
    pub window_s: f64,
    /// For `keyed`: only by endpoints of the same zone.
    #[serde(default)]
    pub by_zone: bool,
    /// Messages with one key go in turn.
    #[serde(default)]
    pub ordered: bool,
}

/// What a second run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyKind {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// It is dropped within a window.
    Keyed,
    /// It takes effect twice.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A kind of destination. Pairs are ranges to draw from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Destinations of it.
    pub destinations: u32,
    /// Endpoints of each.
    pub endpoints: [u32; 2],
    /// Calls a second that each takes, or each route where they are apart.
    pub rate: [f64; 2],
    /// What it limits.
    #[serde(default = "rate_limit")]
    pub limit: LimitKind,
    /// Refused calls use up the limit.
    #[serde(default)]
    pub refused_count: bool,
    /// Share of refusals that tell a wait.
    #[serde(default = "most")]
    pub tells_wait: f64,
    /// The wait that a plain rate tells.
    #[serde(default = "wait")]
    pub wait_ms: [f64; 2],
    /// Capacity over the limit.
    #[serde(default = "spare")]
    pub spare: f64,
    /// How long a call may stand in its queue.
    #[serde(default = "depth")]
    pub depth_ms: f64,
    /// Spread of service times.
    #[serde(default = "cv")]
    pub cv: f64,
    /// Connections that an endpoint takes; 0 for any number.
    #[serde(default)]
    pub connections: usize,
    /// Endpoints are separate routes.
    #[serde(default)]
    pub routes_apart: bool,
    /// Messages in one call.
    #[serde(default = "one")]
    pub per_call: u32,
    /// Work of a further message in a call.
    #[serde(default = "item_cost")]
    pub item_cost: f64,
    /// Limits are told in answers, so often; 0 for never.
    #[serde(default = "report")]
    pub report_ms: f64,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Which.
    pub what: FaultKind,
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Share of the traffic, or of the couriers, that is struck.
    #[serde(default = "third")]
    pub part: f64,
    /// How hard, as its kind says.
    #[serde(default)]
    pub size: f64,
    /// A second figure, as its kind says.
    #[serde(default)]
    pub extra: f64,
    /// Failing calls are left unanswered, or connections are reset, instead of the milder form.
    #[serde(default)]
    pub hard: bool,
}

/// Kinds of trouble. `size` and `extra` mean what stands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Calls fail quickly; size: the share that does.
    Errors,
    /// Destinations refuse everything.
    Shut,
    /// Endpoints take calls and answer none.
    Silent,
    /// Endpoints are slower; size: the factor.
    Slow,
    /// All calls are slower; size: the factor.
    SharedSlow,
    /// Calls are carried out and not answered; size: the share.
    AnswersLost,
    /// Limits are lowered; size: the part that is left.
    Throttle,
    /// Endpoints are drained and replaced; size: share a batch; extra: seconds from drain to end.
    Drains,
    /// Endpoints answer nothing at all.
    Vanish,
    /// Endpoints refuse connections and break those they have.
    Down,
    /// Endpoints stand still; size: for so many ms; extra: every so many seconds.
    Pauses,
    /// More messages; size: the factor.
    SuddenLoad,
    /// A few destinations draw more messages; size: their share of all; extra: how many.
    HotDestinations,
    /// One courier gets more messages; size: its share of all.
    UnevenCouriers,
    /// Couriers are killed, part of them; size: seconds until they are back.
    CouriersKilled,
    /// Couriers are restarted one after the other, part of them; size: seconds down.
    CouriersRolled,
    /// Couriers stand still, part of them; size: for so many ms; extra: every so many seconds.
    CouriersStall,
    /// The list comes later; size: by so many seconds.
    ListLate,
    /// The list does not come.
    ListOut,
    /// Connections idle for longer are dropped unseen; size: seconds idle; hard: reset at the next call.
    IdleDropped,
    /// One class fails at one endpoint of several; size: the share; extra: the class; hard: unanswered.
    ClassFails,
    /// New connections take longer; size: by so many ms.
    SlowConnect,
    /// Couriers are cut off, part of them; extra: 0 from endpoints, 1 from clients, 2 from both; hard: in one
    /// direction, so that nothing reaches them. Emulated only.
    Partition,
    /// Connections of couriers break, part of them, in the middle of what travels; size: the share that does;
    /// extra: every so many seconds. Emulated only.
    LinksCut,
    /// What couriers send and are sent takes longer, part of them; size: by so many ms. Emulated only.
    LinksSlow,
    /// Couriers are killed, part of them, and their snapshot is cut; size: seconds until they are back; extra:
    /// the share of it that is left. Emulated only.
    DiskDamaged,
}

impl FaultKind {
    /// Sockets of one machine cannot play it.
    pub fn emulated_only(self) -> bool {
        matches!(
            self,
            FaultKind::Partition | FaultKind::LinksCut | FaultKind::LinksSlow | FaultKind::DiskDamaged
        )
    }
}

fn zones() -> Vec<String> {
    ["north", "south", "east"].map(String::from).to_vec()
}

fn classes() -> Vec<Class> {
    let class = |name: &str, share, service_ms, deadline_s, worth, late_worth, repeat| Class {
        name: name.into(),
        share,
        service_ms,
        aim_s: 3.0,
        deadline_s,
        worth,
        late_worth,
        repeat,
        window_s: 8.0,
        by_zone: false,
        ordered: false,
    };
    let mut proxy = class("proxy-change", 0.27, 200.0, 20.0, 1.0, 0.3, IdempotencyKind::Keyed);
    proxy.ordered = true;
    vec![
        class("status-update", 0.49, 200.0, 24.0, 2.0, 0.5, IdempotencyKind::Idempotent),
        proxy,
        class("transfer-order", 0.24, 300.0, 16.0, 4.0, 0.5, IdempotencyKind::NotIdempotent),
    ]
}

fn kinds() -> Vec<Kind> {
    let kind = |name: &str, destinations, endpoints, rate, limit| Kind {
        name: name.into(),
        destinations,
        endpoints,
        rate,
        limit,
        refused_count: false,
        tells_wait: most(),
        wait_ms: wait(),
        spare: spare(),
        depth_ms: depth(),
        cv: cv(),
        connections: 0,
        routes_apart: false,
        per_call: 1,
        item_cost: item_cost(),
        report_ms: report(),
    };
    let mut small = kind("small-members", 8, [1, 2], [2.0, 5.0], LimitKind::Window { ms: 2000 });
    small.refused_count = true;
    small.routes_apart = true;
    small.connections = 10;
    small.tells_wait = 0.4;
    vec![kind("large-banks", 4, [2, 4], [8.0, 20.0], LimitKind::Rate), small]
}

fn rate_limit() -> LimitKind {
    LimitKind::Rate
}
fn most() -> f64 {
    0.8
}
fn wait() -> [f64; 2] {
    [200.0, 900.0]
}
fn spare() -> f64 {
    1.4
}
fn depth() -> f64 {
    600.0
}
fn cv() -> f64 {
    0.5
}
fn one() -> u32 {
    1
}
fn item_cost() -> f64 {
    0.15
}
fn report() -> f64 {
    300.0
}
fn third() -> f64 {
    0.3
}

/// Days that come with the program: name and script.
pub const BUILT_IN: &[(&str, &str)] = &[
    ("bad-day", include_str!("../days/bad-day.toml")),
    ("quiet", include_str!("../days/quiet.toml")),
    ("errors", include_str!("../days/errors.toml")),
    ("shut", include_str!("../days/shut.toml")),
    ("silent", include_str!("../days/silent.toml")),
    ("slow", include_str!("../days/slow.toml")),
    ("shared-slow", include_str!("../days/shared-slow.toml")),
    ("answers-lost", include_str!("../days/answers-lost.toml")),
    ("throttle", include_str!("../days/throttle.toml")),
    ("drains", include_str!("../days/drains.toml")),
    ("vanish", include_str!("../days/vanish.toml")),
    ("down", include_str!("../days/down.toml")),
    ("pauses", include_str!("../days/pauses.toml")),
    ("sudden-load", include_str!("../days/sudden-load.toml")),
    ("hot-destinations", include_str!("../days/hot-destinations.toml")),
    ("uneven-couriers", include_str!("../days/uneven-couriers.toml")),
    ("couriers-killed", include_str!("../days/couriers-killed.toml")),
    ("couriers-rolled", include_str!("../days/couriers-rolled.toml")),
    ("couriers-stall", include_str!("../days/couriers-stall.toml")),
    ("list-late", include_str!("../days/list-late.toml")),
    ("list-out", include_str!("../days/list-out.toml")),
    ("idle-dropped", include_str!("../days/idle-dropped.toml")),
    ("class-fails", include_str!("../days/class-fails.toml")),
    ("slow-connect", include_str!("../days/slow-connect.toml")),
    ("batches", include_str!("../days/batches.toml")),
    ("month-end", include_str!("../days/month-end.toml")),
    ("partition", include_str!("../days/partition.toml")),
    ("partition-one-way", include_str!("../days/partition-one-way.toml")),
    ("partition-clients", include_str!("../days/partition-clients.toml")),
    ("links-cut", include_str!("../days/links-cut.toml")),
    ("links-slow", include_str!("../days/links-slow.toml")),
    ("disk-damaged", include_str!("../days/disk-damaged.toml")),
];

impl Scenario {
    /// A built-in day by name, or one from a file.
    pub fn find(name: &str) -> anyhow::Result<Scenario> {
        if let Some((_, text)) = BUILT_IN.iter().find(|d| d.0 == name) {
            return Scenario::parse(text).with_context(|| format!("built-in day {name}"));
        }
        let names: Vec<&str> = BUILT_IN.iter().map(|d| d.0).collect();
        let text = std::fs::read_to_string(name).with_context(|| {
            format!("`{name}` is no file and no built-in day; these are built in: {}", names.join(", "))
        })?;
        Scenario::parse(&text).with_context(|| name.to_owned())
    }

    /// Reads a script and checks it.
    pub fn parse(text: &str) -> anyhow::Result<Scenario> {
        let day: Scenario = toml::from_str(text)?;
        day.check()?;
        Ok(day)
    }

    /// Checks a script as a whole.
    pub fn check(&self) -> anyhow::Result<()> {
        ensure!(self.seconds > 0.0 && self.seconds <= 3600.0, "seconds: more than 0 and at most 3600");
        ensure!((1..=510).contains(&self.couriers), "couriers: 1 to 510");
        ensure!(!self.zones.is_empty() && self.zones.len() < 250, "zones: 1 to 249");
        ensure!(!self.class.is_empty(), "class: at least one");
        ensure!(!self.kind.is_empty(), "kind: at least one");
        ensure!(self.traffic.load > 0.0 && self.traffic.load < 20.0, "traffic.load: more than 0, under 20");
        ensure!(self.clients.connections > 0, "clients.connections: at least 1");
        let clocks = self.clients.clocks_ms;
        ensure!((0.0..=60_000.0).contains(&clocks), "clients.clocks_ms: 0 to 60000");
        ensure!(self.clients.patience_s >= 0.0, "clients.patience_s: not below 0");
        for k in &self.kind {
            let name = &k.name;
            ensure!(
                k.endpoints[0] >= 1 && k.endpoints[0] <= k.endpoints[1],
                "kind {name}: endpoints [least, most]"
            );
            ensure!(k.rate[0] > 0.0 && k.rate[0] <= k.rate[1], "kind {name}: rate [least, most] above 0");
            ensure!(k.per_call >= 1, "kind {name}: per_call at least 1");
        }
        for (n, t) in self.trouble.iter().enumerate() {
            let name = format!("trouble {n} ({:?})", t.what);
            ensure!(t.at >= 0.0 && t.lasts >= 0.0, "{name}: at and for must not be below 0");
            ensure!((0.0..=1.0).contains(&t.part), "{name}: part between 0 and 1");
            ensure!(
                t.size.is_finite() && t.size >= 0.0 && t.extra >= 0.0,
                "{name}: size and extra not below 0"
            );
            if t.what == FaultKind::ClassFails && t.extra as usize >= self.class.len() {
                bail!("{name}: extra names a class from 0 to {}", self.class.len() - 1);
            }
        }
        Ok(())
    }

    /// Troubles that sockets cannot play.
    pub fn emulated_only(&self) -> Vec<FaultKind> {
        self.trouble.iter().map(|t| t.what).filter(|w| w.emulated_only()).collect()
    }

    /// The day with so many couriers, so many times as fast.
    pub fn with(mut self, couriers: Option<u32>, speed: f64) -> anyhow::Result<Scenario> {
        ensure!(speed > 0.0 && speed <= 100.0, "speed: more than 0 and at most 100");
        self.couriers = couriers.unwrap_or(self.couriers);
        self.check()?;
        Ok(self.faster(speed))
    }

    /// The same day so many times as fast: spans shrink, rates grow.
    pub fn faster(mut self, speed: f64) -> Scenario {
        let span = |x: &mut f64| *x /= speed;
        span(&mut self.seconds);
        self.clients.again_ms.iter_mut().for_each(span);
        span(&mut self.clients.patience_s);
        let c = &mut self.courier;
        [&mut c.hold_s, &mut c.idle_s].into_iter().for_each(span);
        let r = &mut self.rules;
        [&mut r.drain_grace_ms, &mut r.warm_after_s, &mut r.fall_span_s, &mut r.key_rest_ms]
            .into_iter()
            .for_each(span);
        span(&mut self.list.late_s);
        for c in &mut self.class {
            [&mut c.service_ms, &mut c.aim_s, &mut c.deadline_s, &mut c.window_s].into_iter().for_each(span);
        }
        for k in &mut self.kind {
            k.rate.iter_mut().for_each(|r| *r *= speed);
            k.wait_ms.iter_mut().for_each(span);
            [&mut k.depth_ms, &mut k.report_ms].into_iter().for_each(span);
            if let LimitKind::Window { ms } = &mut k.limit {
                *ms = ((*ms as f64 / speed) as u64).max(10);
            }
        }
        span(&mut self.traffic.clump_s);
        for t in &mut self.trouble {
            [&mut t.at, &mut t.lasts].into_iter().for_each(span);
            match t.what {
                FaultKind::Pauses | FaultKind::CouriersStall => {
                    [&mut t.size, &mut t.extra].into_iter().for_each(span)
                }
                FaultKind::CouriersKilled
                | FaultKind::CouriersRolled
                | FaultKind::ListLate
                | FaultKind::IdleDropped
                | FaultKind::SlowConnect
                | FaultKind::LinksSlow
                | FaultKind::DiskDamaged => {
                    span(&mut t.size);
                }
                FaultKind::Drains | FaultKind::LinksCut => span(&mut t.extra),
                _ => {}
            }
        }
        self
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_built_in_day_is_good_and_every_kind_of_trouble_has_one() {
        let mut seen = std::collections::BTreeSet::new();
        for (name, text) in BUILT_IN {
            let day = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e:#}"));
            assert_eq!(&day.name, name);
            if !["bad-day", "month-end"].contains(name) {
                seen.extend(day.trouble.iter().map(|t| t.what));
            }
        }
        assert_eq!(seen.len(), 26, "{seen:?}");
    }

    #[test]
    fn a_wrong_script_names_its_place() {
        let (_, text) = BUILT_IN[0];
        let said =
            |from: &str, to: &str| format!("{:#}", Scenario::parse(&text.replacen(from, to, 1)).unwrap_err());
        assert!(said("seconds =", "sekunden =").contains("sekunden"));
        assert!(said("couriers = 3", "couriers = 0").contains("couriers"));
        assert!(said("part = ", "part = 7").contains("part"));
    }

    #[test]
    fn a_faster_day_has_the_same_messages_in_less_time() {
        let day = Scenario::find("quiet").unwrap();
        let fast = day.clone().faster(4.0);
        assert_eq!(fast.seconds * 4.0, day.seconds);
        assert_eq!(fast.kind[0].rate[0], day.kind[0].rate[0] * 4.0);
        assert_eq!(fast.class[0].deadline_s * 4.0, day.class[0].deadline_s);
    }
}
