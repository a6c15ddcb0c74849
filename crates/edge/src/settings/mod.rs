//! Settings and list as documents: what the API takes, checked as a whole, and what the library is told of it.

use linnetcart::{
    Class, DestinationKind, Endpoint, EndpointStatus, Idempotency, RateAccuracy, Settings as Decided, Time,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MS: u64 = 1_000_000;
/// No span in a document may be longer; it keeps sums of times far from their bounds.
const LONGEST_MS: u64 = 7 * 24 * 3600 * 1000;

/// Why a document is turned down: the field, what is wrong, what would do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[error("{field}: {reason}")]
pub struct InvalidDocument {
    /// The field, as a path in the document.
    pub field: String,
    /// What is wrong with it and what is expected.
    pub reason: String,
}

fn reject<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, InvalidDocument> {
    Err(InvalidDocument { field: field.into(), reason: reason.into() })
}

/// Reads a document; an error names the field.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, InvalidDocument> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let read = serde_path_to_error::deserialize(&mut json);
    let value = read.map_err(|e| {
        let field = e.path().to_string();
        InvalidDocument {
            field: if field == "." { "document".into() } else { field },
            reason: e.inner().to_string(),
        }
    })?;
    json.end().map_err(|e| InvalidDocument { field: "document".into(), reason: e.to_string() })?;
    Ok(value)
}

/// Everything that a courier is told once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; it stands in logs and figures.
    pub deployment: String,
    /// Which courier this is.
    pub courier: CourierNumber,
    /// Zones by name.
    pub zones: Vec<String>,
    /// Classes of message; each is a topic.
    pub classes: Vec<ClassDoc>,
    /// Kinds of destination.
    pub kinds: Vec<KindDoc>,
    /// Tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// Bounds of the courier.
    pub limits: Limits,
    /// What a courier may do.
    #[serde(default)]
    pub allow: Allow,
    /// Connections to endpoints.
    #[serde(default)]
    pub connections: Connections,
    /// Clocks of clients.
    #[serde(default)]
    pub clocks: ClocksDoc,
    /// Figures of the rules.
    pub rules: Rules,
    /// What the rates in the list mean.
    #[serde(default)]
    pub rates: RatesDoc,
    /// How worth falls after the aim.
    #[serde(default)]
    pub worth: Worth,
    /// Prices, as a part of a message's worth.
    #[serde(default)]
    pub prices: Prices,
    /// Shortest distance of two rounds of decisions, in microseconds.
    #[serde(default = "default_tick")]
    pub tick_us: u64,
}

fn default_tick() -> u64 {
    1000
}

/// Which courier this is, of how many, and where it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CourierNumber {
    /// Its number, from 0.
    pub me: u32,
    /// Couriers that send to the same destinations, this one included.
    pub of: u32,
    /// Its zone, by name.
    pub zone: String,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDoc {
    /// Its name, and that of its topic.
    pub name: String,
    /// Served within this, a message has its full worth.
    pub aim_ms: u64,
    /// How long it may be served.
    pub deadline_ms: u64,
    /// Full worth.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(default)]
    pub late_worth: f64,
    /// What a second run does.
    pub repeat: RepeatDoc,
    /// Messages with one key go in turn.
    #[serde(default)]
    pub ordered: bool,
}

/// What a second run of a message does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum RepeatDoc {
    /// No harm.
    Safe,
    /// It is dropped within a window.
    Keyed {
        /// How long the first is remembered.
        window_ms: u64,
        /// Only by endpoints in the zone of the first.
        #[serde(default)]
        by_zone: bool,
    },
    /// It takes effect twice.
    Unsafe,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindDoc {
    /// Its name.
    pub name: String,
    /// Its endpoints are separate routes.
    #[serde(default)]
    pub routes_apart: bool,
    /// Messages that one call takes at most.
    #[serde(default = "one")]
    pub per_call: u32,
}

fn one() -> u32 {
    1
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// Its name, as in the header `tenant`.
    pub name: String,
    /// Its share, in messages a second over all couriers.
    pub rate: f64,
}

/// Bounds of the courier. At each, what comes beyond it is refused or waits unread; nothing is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Calls out at once.
    pub slots: u32,
    /// Messages held, sent or not. Beyond it they are refused unseen.
    pub held: u32,
    /// Bytes of the messages held. Beyond it they are refused unseen.
    #[serde(default = "default_held_bytes")]
    pub held_bytes: usize,
    /// Attempts for a message.
    pub attempts: u32,
    /// Bytes of one request. A longer one closes its connection.
    #[serde(default = "default_request_bytes")]
    pub request_bytes: usize,
    /// Requests of one connection without an answer. Beyond it the connection is not read.
    #[serde(default = "default_pipelined")]
    pub pipelined: usize,
    /// Bytes of answers that a client has not taken. Beyond it the connection is not read.
    #[serde(default = "default_unsent_bytes")]
    pub unsent_bytes: usize,
    /// Highest destination number, and so partition, plus one.
    #[serde(default = "default_destinations")]
    pub destinations: u32,
}

fn default_held_bytes() -> usize {
    256 << 20
}

fn default_request_bytes() -> usize {
    1 << 20
}

fn default_pipelined() -> usize {
    256
}

fn default_unsent_bytes() -> usize {
    1 << 20
}

fn default_destinations() -> u32 {
    10_000
}

/// What a courier may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Call off a running attempt.
    pub cancel: bool,
    /// Two attempts of a message out at once.
    pub copies: bool,
    /// Probe endpoints; this program can't, so it must be false.
    pub probes: bool,
    /// Notes between couriers; this program can't, so it must be false.
    pub notes: bool,
    /// The list must be asked for; this program is told it, so it must be false.
    pub list_asked: bool,
    /// The longest time to come back that clients heed; 0 where they heed none.
    pub come_back_ms: u64,
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancel: true,
            copies: true,
            probes: false,
            notes: false,
            list_asked: false,
            come_back_ms: 3000,
        }
    }
}

/// Connections to endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Calls that one connection carries at once.
    pub calls: u32,
    /// An idle connection closes after this.
    pub idle_ms: u64,
    /// A connection that takes longer than this has failed.
    pub connect_timeout_ms: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { calls: 1, idle_ms: 10_000, connect_timeout_ms: 1000 }
    }
}

/// Clocks of clients, by which the way of a message is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClocksDoc {
    /// They differ from the courier's by at most so much, either way.
    pub apart_ms: u64,
    /// The time of a record is that at which it was handed in, as producers set it by themselves.
    pub record_time: bool,
}

impl Default for ClocksDoc {
    fn default() -> Self {
        ClocksDoc { apart_ms: 50, record_time: true }
    }
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How late a final answer may be.
    pub answer_slack_ms: u64,
    /// A destination back from an outage has this share of its capacity,
    pub cold_share: f64,
    /// and all of it after this.
    pub warm_after_ms: u64,
    /// Sent more than this multiple of what it can do, it falls over,
    pub fall_multiple: f64,
    /// when that goes on for so long.
    pub fall_span_ms: u64,
    /// How long a key rests after an attempt that may still run.
    #[serde(default)]
    pub key_rest_ms: u64,
}

/// What the rates in the list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RatesDoc {
    /// Nothing.
    #[default]
    Untold,
    /// Calls a second from all couriers, to within a half.
    Rough,
    /// Calls a second from all couriers.
    Exact,
}

/// How worth falls after the aim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// By half with each further aim; otherwise evenly to the deadline.
    pub halves: bool,
    /// Worth of a message beyond its tenant's share, as a part of the usual.
    pub over_share: f64,
}

impl Default for Worth {
    fn default() -> Self {
        Worth { halves: false, over_share: 0.1 }
    }
}

/// Prices, as a part of a message's worth.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Of a new connection.
    pub connection: f64,
    /// Of a call to another zone.
    pub crossing: f64,
    /// Of work that served nothing.
    pub waste: f64,
    /// Of worth left unserved after its aim.
    pub late: f64,
    /// Of a call refused above a limit.
    pub refused: f64,
    /// For each zone, of a message that a route apart takes on there.
    pub route_fees: Vec<f64>,
}

fn distinct<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> Result<(), InvalidDocument> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        if name.is_empty() || name.len() > 200 {
            return reject(format!("{field}[{n}]"), "a name of 1 to 200 bytes is expected");
        }
        if !seen.insert(name) {
            return reject(format!("{field}[{n}]"), format!("`{name}` is there twice; names must differ"));
        }
    }
    Ok(())
}

fn span(field: &str, ms: u64, least: u64) -> Result<(), InvalidDocument> {
    if (least..=LONGEST_MS).contains(&ms) {
        return Ok(());
    }
    reject(field, format!("{ms} ms; between {least} and {LONGEST_MS} is expected"))
}

fn within(field: &str, x: f64, least: f64, most: f64) -> Result<(), InvalidDocument> {
    if x.is_finite() && (least..=most).contains(&x) {
        return Ok(());
    }
    reject(field, format!("{x}; between {least} and {most} is expected"))
}

fn count(field: &str, n: u64, least: u64, most: u64) -> Result<(), InvalidDocument> {
    if (least..=most).contains(&n) {
        return Ok(());
    }
    reject(field, format!("{n}; between {least} and {most} is expected"))
}

impl Settings {
    /// Reads and checks a document.
    pub fn parse(body: &[u8]) -> Result<Settings, InvalidDocument> {
        let settings: Settings = read(body)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the document as a whole.
    pub fn check(&self) -> Result<(), InvalidDocument> {
        let topic = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        count("courier.of", self.courier.of.into(), 1, 100_000)?;
        count("courier.me", self.courier.me.into(), 0, u64::from(self.courier.of) - 1)?;
        count("zones", self.zones.len() as u64, 1, 255)?;
        distinct("zones", self.zones.iter())?;
        if !self.zones.contains(&self.courier.zone) {
            return reject("courier.zone", format!("`{}` is not among zones", self.courier.zone));
        }
        count("classes", self.classes.len() as u64, 1, 200)?;
        distinct("classes", self.classes.iter().map(|c| &c.name))?;
        for (n, c) in self.classes.iter().enumerate() {
            let at = |field: &str| format!("classes[{n}].{field}");
            if !c.name.chars().all(topic) {
                return reject(
                    at("name"),
                    "letters, digits, `.`, `_` and `-` are expected: it names a topic",
                );
            }
            span(&at("aim_ms"), c.aim_ms, 1)?;
            span(&at("deadline_ms"), c.deadline_ms, c.aim_ms)?;
            within(&at("worth"), c.worth, 0.0, 1e9)?;
            within(&at("late_worth"), c.late_worth, 0.0, 1.0)?;
            if let RepeatDoc::Keyed { window_ms, .. } = c.repeat {
                span(&at("repeat.keyed.window_ms"), window_ms, 1)?;
            }
        }
        count("kinds", self.kinds.len() as u64, 1, 255)?;
        distinct("kinds", self.kinds.iter().map(|k| &k.name))?;
        for (n, k) in self.kinds.iter().enumerate() {
            count(&format!("kinds[{n}].per_call"), k.per_call.into(), 1, 10_000)?;
        }
        distinct("tenants", self.tenants.iter().map(|t| &t.name))?;
        for (n, t) in self.tenants.iter().enumerate() {
            within(&format!("tenants[{n}].rate"), t.rate, 0.0, 1e9)?;
        }
        let l = &self.limits;
        count("limits.slots", l.slots.into(), 1, 1_000_000)?;
        count("limits.held", l.held.into(), 1, 10_000_000)?;
        count("limits.held_bytes", l.held_bytes as u64, 1024, 1 << 40)?;
        count("limits.attempts", l.attempts.into(), 1, 1000)?;
        count("limits.request_bytes", l.request_bytes as u64, 1024, 1 << 30)?;
        count("limits.pipelined", l.pipelined as u64, 1, 100_000)?;
        count("limits.unsent_bytes", l.unsent_bytes as u64, 1024, 1 << 30)?;
        count("limits.destinations", l.destinations.into(), 1, 1_000_000)?;
        let cannot = "this program has no way to do that; leave it out or false";
        for (field, on) in [("probes", self.allow.probes), ("notes", self.allow.notes)] {
            if on {
                return reject(format!("allow.{field}"), cannot);
            }
        }
        if self.allow.list_asked {
            return reject(
                "allow.list_asked",
                "this program is told the list by PUT /list; leave it out or false",
            );
        }
        span("allow.come_back_ms", self.allow.come_back_ms, 0)?;
        count("connections.calls", self.connections.calls.into(), 1, 100_000)?;
        span("connections.idle_ms", self.connections.idle_ms, 1)?;
        span("connections.connect_timeout_ms", self.connections.connect_timeout_ms, 1)?;
        span("clocks.apart_ms", self.clocks.apart_ms, 0)?;
        let r = &self.rules;
        span("rules.answer_slack_ms", r.answer_slack_ms, 0)?;
        within("rules.cold_share", r.cold_share, 0.001, 1.0)?;
        span("rules.warm_after_ms", r.warm_after_ms, 0)?;
        within("rules.fall_multiple", r.fall_multiple, 1.0, 1e6)?;
        span("rules.fall_span_ms", r.fall_span_ms, 1)?;
        span("rules.key_rest_ms", r.key_rest_ms, 0)?;
        within("worth.over_share", self.worth.over_share, 0.0, 1.0)?;
        let p = &self.prices;
        for (field, x) in [
            ("connection", p.connection),
            ("crossing", p.crossing),
            ("waste", p.waste),
            ("late", p.late),
            ("refused", p.refused),
        ] {
            within(&format!("prices.{field}"), x, 0.0, 1e6)?;
        }
        for (n, &x) in p.route_fees.iter().enumerate() {
            within(&format!("prices.route_fees[{n}]"), x, 0.0, 1e6)?;
        }
        count("tick_us", self.tick_us, 1, 1_000_000)?;
        let shortest = self.classes.iter().map(|c| c.deadline_ms).min().unwrap_or(0);
        if self.clocks.apart_ms * 2 >= shortest {
            return reject(
                "clocks.apart_ms",
                format!("a class has {shortest} ms in all; twice the difference of clocks must be less"),
            );
        }
        if self.tick_us * 4 > shortest * 1000 {
            return reject(
                "tick_us",
                format!("a class has {shortest} ms in all; four ticks must fit in that"),
            );
        }
        Ok(())
    }

    /// What the library is told.
    pub fn library_settings(&self) -> Decided {
        let position = |zone: &String| self.zones.iter().position(|z| z == zone).unwrap_or(0) as u8;
        Decided {
            courier_count: self.courier.of,
            courier_index: self.courier.me,
            zone: position(&self.courier.zone),
            classes: self.classes.iter().map(ClassDoc::decided).collect(),
            kinds: self
                .kinds
                .iter()
                .map(|k| DestinationKind {
                    independent_routes: k.routes_apart,
                    max_messages_per_call: k.per_call,
                })
                .collect(),
            tenant_quotas: self.tenants.iter().map(|t| t.rate).collect(),
            over_quota_weight: self.worth.over_share,
            weight_halves: self.worth.halves,
            max_in_flight_calls: self.limits.slots,
            max_in_flight_messages: self.limits.held,
            max_attempts: self.limits.attempts,
            cancellation_allowed: self.allow.cancel,
            hedging_allowed: self.allow.copies,
            health_checks_allowed: false,
            gossip_allowed: false,
            max_retry_after: self.allow.come_back_ms * MS,
            calls_per_connection: self.connections.calls,
            idle_timeout: self.connections.idle_ms * MS,
            connect_timeout: self.connections.connect_timeout_ms * MS,
            answer_grace: self.rules.answer_slack_ms * MS,
            slow_start_ratio: self.rules.cold_share,
            slow_start_duration: self.rules.warm_after_ms * MS,
            overload_ratio: self.rules.fall_multiple,
            overload_window: self.rules.fall_span_ms * MS,
            key_cooldown: self.rules.key_rest_ms * MS,
            endpoint_list_polled: false,
            max_poll_interval: 0,
            rate_accuracy: match self.rates {
                RatesDoc::Untold => RateAccuracy::Unspecified,
                RatesDoc::Rough => RateAccuracy::Approximate,
                RatesDoc::Exact => RateAccuracy::Exact,
            },
            tick: self.tick_us * 1000,
            connection_price: self.prices.connection,
            cross_zone_price: self.prices.crossing,
            wasted_work_price: self.prices.waste,
            late_price: self.prices.late,
            health_check_price: 0.0,
            gossip_price: 0.0,
            rejected_call_price: self.prices.refused,
            route_fees: self.prices.route_fees.clone(),
        }
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<u8> {
        self.classes.iter().position(|c| c.name == name).map(|n| n as u8)
    }
}

impl ClassDoc {
    fn decided(&self) -> Class {
        Class {
            latency_objective: self.aim_ms * MS,
            deadline: self.deadline_ms * MS,
            priority_weight: self.worth,
            late_weight: self.late_worth,
            idempotency: match self.repeat {
                RepeatDoc::Safe => Idempotency::Idempotent,
                RepeatDoc::Keyed { window_ms, by_zone } => {
                    Idempotency::Keyed { dedup_window: window_ms * MS, per_zone: by_zone }
                }
                RepeatDoc::Unsafe => Idempotency::NotIdempotent,
            },
            ordered: self.ordered,
        }
    }

    /// How long a message of it may be served.
    pub fn deadline(&self) -> Time {
        self.deadline_ms * MS
    }
}

/// News of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListUpdate {
    /// Its version; one that is not above that in force is turned down.
    pub version: u64,
    /// The entries are the whole list; otherwise changes to the one in force.
    pub whole: bool,
    /// Entries, or changed ones.
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Its number, never given to another.
    pub id: u32,
    /// Its destination.
    pub destination: u32,
    /// The destination's kind, by name.
    pub kind: String,
    /// Its zone, by name.
    pub zone: String,
    /// Calls a second, as `rates` says; 0 where it is not known.
    #[serde(default)]
    pub rate: f64,
    /// Its state.
    pub state: EntryState,
    /// Where it listens.
    pub address: SocketAddr,
}

/// State of an endpoint in the list; it tells nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// In service.
    Ready,
    /// To be left.
    Draining,
    /// Out of the list.
    Gone,
}

/// The list in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Entries by number; none of them is gone.
    pub entries: BTreeMap<u32, EndpointEntry>,
}

/// Endpoints that a list may hold.
pub const MOST_ENTRIES: usize = 100_000;

impl EndpointList {
    /// The list after these news, and what the library is told of them. Nothing changes if they are wrong.
    pub fn after(
        &self,
        news: &EndpointListUpdate,
        settings: &Settings,
    ) -> Result<(EndpointList, Vec<Endpoint>), InvalidDocument> {
        if news.version <= self.version {
            return reject(
                "version",
                format!("{} is not above {}, which is in force", news.version, self.version),
            );
        }
        let mut next = EndpointList { version: news.version, entries: BTreeMap::new() };
        if !news.whole {
            next.entries.clone_from(&self.entries);
        }
        let mut seen = BTreeSet::new();
        let mut told = Vec::new();
        for (n, e) in news.entries.iter().enumerate() {
            let at = |field: &str| format!("entries[{n}].{field}");
            if !seen.insert(e.id) {
                return reject(at("id"), format!("endpoint {} is there twice", e.id));
            }
            count(&at("destination"), e.destination.into(), 0, u64::from(settings.limits.destinations) - 1)?;
            within(&at("rate"), e.rate, 0.0, 1e9)?;
            told.push(endpoint(e, settings, &at)?);
            let before = self.entries.get(&e.id);
            if before.is_some_and(|b| b.destination != e.destination) {
                return reject(
                    at("destination"),
                    format!("endpoint {} belonged to another destination", e.id),
                );
            }
            if e.state == EntryState::Gone {
                next.entries.remove(&e.id);
            } else {
                next.entries.insert(e.id, e.clone());
            }
        }
        if next.entries.len() > MOST_ENTRIES {
            return reject("entries", format!("{}; at most {MOST_ENTRIES} are held", next.entries.len()));
        }
        let mut kinds: BTreeMap<u32, &str> = BTreeMap::new();
        for e in next.entries.values() {
            let kind = kinds.entry(e.destination).or_insert(&e.kind);
            if *kind != e.kind {
                let reason =
                    format!("destination {} would be of two kinds, `{kind}` and `{}`", e.destination, e.kind);
                return reject("entries", reason);
            }
        }
        Ok((next, told))
    }

    /// All entries as the library is told them.
    pub fn library_entries(&self, settings: &Settings) -> Result<Vec<Endpoint>, InvalidDocument> {
        let each =
            |(n, e): (usize, &EndpointEntry)| endpoint(e, settings, &|field| format!("entries[{n}].{field}"));
        self.entries.values().enumerate().map(each).collect()
    }
}

fn endpoint(
    e: &EndpointEntry,
    settings: &Settings,
    at: &dyn Fn(&str) -> String,
) -> Result<Endpoint, InvalidDocument> {
    let Some(kind) = settings.kinds.iter().position(|k| k.name == e.kind) else {
        let known: Vec<&str> = settings.kinds.iter().map(|k| k.name.as_str()).collect();
        return reject(
            at("kind"),
            format!("`{}` is not a kind; the settings have {}", e.kind, known.join(", ")),
        );
    };
    let Some(zone) = settings.zones.iter().position(|z| *z == e.zone) else {
        return reject(
            at("zone"),
            format!("`{}` is not a zone; the settings have {}", e.zone, settings.zones.join(", ")),
        );
    };
    Ok(Endpoint {
        id: e.id,
        destination: e.destination,
        kind: kind as u8,
        zone: zone as u8,
        rate: e.rate,
        status: match e.state {
            EntryState::Ready => EndpointStatus::Ready,
            EntryState::Draining => EndpointStatus::Draining,
            EntryState::Gone => EndpointStatus::Removed,
        },
    })
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// A document with three classes, as the tests of this package use it.
    pub(crate) fn sample() -> serde_json::Value {
        serde_json::json!({
            "deployment": "test",
            "courier": {"me": 0, "of": 1, "zone": "a"},
            "zones": ["a", "b"],
            "classes": [
                {"name": "status", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "late_worth": 0.5, "repeat": "safe"},
                {"name": "proxy", "aim_ms": 1000, "deadline_ms": 4000, "worth": 1, "late_worth": 0.5,
                 "repeat": {"keyed": {"window_ms": 8000}}, "ordered": true},
                {"name": "order", "aim_ms": 1000, "deadline_ms": 3000, "worth": 4, "late_worth": 0.5, "repeat": "unsafe"}
            ],
            "kinds": [{"name": "large"}, {"name": "small", "routes_apart": true}, {"name": "batch", "per_call": 3}],
            "limits": {"slots": 8, "held": 100, "attempts": 6},
            "rules": {"answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 10000, "fall_multiple": 2.0,
                      "fall_span_ms": 2000, "key_rest_ms": 100}
        })
    }

    fn parse(doc: &serde_json::Value) -> Result<Settings, InvalidDocument> {
        Settings::parse(doc.to_string().as_bytes())
    }

    #[test]
    fn a_document_is_read_and_survives_being_written() {
        let settings = parse(&sample()).unwrap();
        let again = Settings::parse(&serde_json::to_vec(&settings).unwrap()).unwrap();
        assert_eq!(settings, again);
        assert_eq!(
            settings.library_settings().classes[1].idempotency,
            Idempotency::Keyed { dedup_window: 8_000_000_000, per_zone: false }
        );
    }

    #[test]
    fn an_error_names_the_field_and_what_would_do() {
        let cases: &[(&str, serde_json::Value, &str)] = &[
            ("/classes/1/repeat", serde_json::json!("sometimes"), "classes[1].repeat"),
            ("/classes/0/deadline_ms", serde_json::json!(10), "classes[0].deadline_ms"),
            ("/classes/0/name", serde_json::json!("a b"), "classes[0].name"),
            ("/classes/1/name", serde_json::json!("status"), "classes[1]"),
            ("/courier/zone", serde_json::json!("z"), "courier.zone"),
            ("/courier/me", serde_json::json!(1), "courier.me"),
            ("/limits/slots", serde_json::json!(0), "limits.slots"),
            ("/rules/fall_multiple", serde_json::json!(0.5), "rules.fall_multiple"),
            (
                "/limits",
                serde_json::json!({"slots": 1, "held": 1, "attempts": 1, "slotz": 2}),
                "limits.slotz",
            ),
        ];
        for (at, value, field) in cases {
            let mut doc = sample();
            *doc.pointer_mut(at).unwrap() = value.clone();
            let error = parse(&doc).unwrap_err();
            assert_eq!(&error.field, field, "{error}");
        }
        let mut doc = sample();
        doc["allow"] = serde_json::json!({"probes": true});
        let error = parse(&doc).unwrap_err();
        assert_eq!(error.field, "allow.probes");
        assert!(error.reason.contains("no way"), "{error}");
    }

    #[test]
    fn news_of_the_list_apply_whole_or_not_at_all() {
        let settings = parse(&sample()).unwrap();
        let entry = |id: u32, kind: &str, state| EndpointEntry {
            id,
            destination: id / 10,
            kind: kind.into(),
            zone: "a".into(),
            rate: 0.0,
            state,
            address: "127.0.0.1:9".parse().unwrap(),
        };
        let news = |version, whole, entries: &[EndpointEntry]| EndpointListUpdate {
            version,
            whole,
            entries: entries.to_vec(),
        };
        let first =
            news(1, true, &[entry(10, "large", EntryState::Ready), entry(20, "small", EntryState::Ready)]);
        let (list, told) = EndpointList::default().after(&first, &settings).unwrap();
        assert_eq!((list.entries.len(), told.len()), (2, 2));
        let change =
            news(2, false, &[entry(10, "large", EntryState::Gone), entry(21, "small", EntryState::Draining)]);
        let (changed, _) = list.after(&change, &settings).unwrap();
        assert_eq!(changed.entries.keys().copied().collect::<Vec<_>>(), [20, 21]);
        let field = |n: &EndpointListUpdate| list.after(n, &settings).unwrap_err().field;
        assert_eq!(field(&first), "version");
        assert_eq!(field(&news(2, false, &[entry(11, "huge", EntryState::Ready)])), "entries[0].kind");
        assert_eq!(field(&news(2, false, &[entry(11, "small", EntryState::Ready)])), "entries");
        let twice = [entry(11, "large", EntryState::Ready), entry(11, "large", EntryState::Ready)];
        assert_eq!(field(&news(2, true, &twice)), "entries[1].id");
    }
}
