//! Validation of the settings document. An error names the field by its name in the document.

use super::documents::{Allow, ClassDoc, KindDoc, Limits, Prices, RepeatDoc, Rules, Settings, TenantDoc};
use super::error::reject;
use super::InvalidDocument;
use std::collections::BTreeSet;

/// Maximum duration in a document: 7 days. Sums of durations in nanoseconds stay far below the maximum of a
/// 64-bit integer.
const MAX_DURATION_MS: u64 = 7 * 24 * 3600 * 1000;
const MAX_NAME_BYTES: usize = 200;
/// The decision library numbers classes with 8 bits, so 256 is the most that could be allowed.
const MAX_CLASSES: u64 = 200;
/// The decision library numbers zones and kinds with 8 bits.
const MAX_ZONES: u64 = 255;
const MAX_KINDS: u64 = 255;
const MAX_WEIGHT: f64 = 1e9;
/// Maximum quota of a tenant, in messages per second.
const MAX_QUOTA: f64 = 1e9;
const MAX_PRICE: f64 = 1e6;
const MAX_OVERLOAD_RATIO: f64 = 1e6;
const MIN_SLOW_START_RATIO: f64 = 0.001;
/// Minimum deadline of a class, in decision cycles (`tick_us`).
const MIN_DEADLINE_TICKS: u64 = 4;

type Validation = Result<(), InvalidDocument>;

impl Settings {
    /// Parses and validates a settings document.
    ///
    /// # Errors
    /// Fails if the document cannot be parsed or a value is invalid. The error names the first field at
    /// fault.
    pub fn parse(body: &[u8]) -> Result<Settings, InvalidDocument> {
        let settings: Settings = super::parse_document(body)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates all values.
    ///
    /// # Errors
    /// Fails if a value is invalid. The error names the first field at fault.
    pub fn check(&self) -> Result<(), InvalidDocument> {
        self.check_courier_and_zones()?;
        check_classes(&self.classes)?;
        check_kinds(&self.kinds)?;
        check_tenants(&self.tenants)?;
        check_limits(&self.limits)?;
        check_permissions(&self.permissions)?;
        check_count("connections.calls", self.connections.max_calls.into(), 1, 100_000)?;
        check_duration("connections.idle_ms", self.connections.idle_timeout_ms, 1)?;
        check_duration("connections.connect_timeout_ms", self.connections.connect_timeout_ms, 1)?;
        check_duration("clocks.apart_ms", self.clocks.max_skew_ms, 0)?;
        check_rules(&self.rules)?;
        check_number("worth.over_share", self.weights.over_quota, 0.0, 1.0)?;
        check_prices(&self.prices)?;
        check_count("tick_us", self.tick_us, 1, 1_000_000)?;
        self.check_shortest_deadline()
    }

    fn check_courier_and_zones(&self) -> Validation {
        check_count("courier.of", self.courier.count.into(), 1, 100_000)?;
        check_count("courier.me", self.courier.index.into(), 0, u64::from(self.courier.count) - 1)?;
        check_count("zones", self.zones.len() as u64, 1, MAX_ZONES)?;
        check_names("zones", self.zones.iter())?;
        if !self.zones.contains(&self.courier.zone) {
            return reject("courier.zone", format!("`{}` is not among zones", self.courier.zone));
        }
        Ok(())
    }

    /// Checks that the shortest deadline of all classes exceeds twice the clock skew and spans at least
    /// [`MIN_DEADLINE_TICKS`] decision cycles.
    fn check_shortest_deadline(&self) -> Validation {
        let shortest_ms = self.classes.iter().map(|class| class.deadline_ms).min().unwrap_or(0);
        if self.clocks.max_skew_ms * 2 >= shortest_ms {
            let reason =
                format!("a class has {shortest_ms} ms in all; twice the difference of clocks must be less");
            return reject("clocks.apart_ms", reason);
        }
        if self.tick_us * MIN_DEADLINE_TICKS > shortest_ms * 1000 {
            let reason = format!("a class has {shortest_ms} ms in all; four ticks must fit in that");
            return reject("tick_us", reason);
        }
        Ok(())
    }
}

fn check_classes(classes: &[ClassDoc]) -> Validation {
    check_count("classes", classes.len() as u64, 1, MAX_CLASSES)?;
    check_names("classes", classes.iter().map(|class| &class.name))?;
    for (index, class) in classes.iter().enumerate() {
        let path = |field: &str| format!("classes[{index}].{field}");
        if !class.name.chars().all(is_topic_character) {
            let reason = "letters, digits, `.`, `_` and `-` are expected: it names a topic";
            return reject(path("name"), reason);
        }
        check_duration(&path("aim_ms"), class.latency_objective_ms, 1)?;
        check_duration(&path("deadline_ms"), class.deadline_ms, class.latency_objective_ms)?;
        check_number(&path("worth"), class.priority_weight, 0.0, MAX_WEIGHT)?;
        check_number(&path("late_worth"), class.late_weight, 0.0, 1.0)?;
        if let RepeatDoc::Keyed { dedup_window_ms, .. } = class.idempotency {
            check_duration(&path("repeat.keyed.window_ms"), dedup_window_ms, 1)?;
        }
    }
    Ok(())
}

/// Returns whether Kafka permits the character in the name of a topic.
fn is_topic_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-')
}

fn check_kinds(kinds: &[KindDoc]) -> Validation {
    check_count("kinds", kinds.len() as u64, 1, MAX_KINDS)?;
    check_names("kinds", kinds.iter().map(|kind| &kind.name))?;
    for (index, kind) in kinds.iter().enumerate() {
        check_count(&format!("kinds[{index}].per_call"), kind.max_messages_per_call.into(), 1, 10_000)?;
    }
    Ok(())
}

fn check_tenants(tenants: &[TenantDoc]) -> Validation {
    check_names("tenants", tenants.iter().map(|tenant| &tenant.name))?;
    for (index, tenant) in tenants.iter().enumerate() {
        check_number(&format!("tenants[{index}].rate"), tenant.quota, 0.0, MAX_QUOTA)?;
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Validation {
    check_count("limits.slots", limits.max_calls.into(), 1, 1_000_000)?;
    check_count("limits.held", limits.max_in_flight.into(), 1, 10_000_000)?;
    check_count("limits.held_bytes", limits.max_in_flight_bytes as u64, 1024, 1 << 40)?;
    check_count("limits.attempts", limits.max_attempts.into(), 1, 1000)?;
    check_count("limits.request_bytes", limits.max_request_bytes as u64, 1024, 1 << 30)?;
    check_count("limits.pipelined", limits.max_pipelined as u64, 1, 100_000)?;
    check_count("limits.unsent_bytes", limits.max_unsent_bytes as u64, 1024, 1 << 30)?;
    check_count("limits.destinations", limits.destinations.into(), 1, 1_000_000)
}

fn check_permissions(permissions: &Allow) -> Validation {
    let unsupported = "this program has no way to do that; leave it out or false";
    if permissions.health_checks {
        return reject("allow.probes", unsupported);
    }
    if permissions.gossip {
        return reject("allow.notes", unsupported);
    }
    if permissions.list_polled {
        let reason = "this program is told the list by PUT /list; leave it out or false";
        return reject("allow.list_asked", reason);
    }
    check_duration("allow.come_back_ms", permissions.max_retry_after_ms, 0)
}

fn check_rules(rules: &Rules) -> Validation {
    check_duration("rules.answer_slack_ms", rules.answer_grace_ms, 0)?;
    check_number("rules.cold_share", rules.slow_start_ratio, MIN_SLOW_START_RATIO, 1.0)?;
    check_duration("rules.warm_after_ms", rules.slow_start_ms, 0)?;
    check_number("rules.fall_multiple", rules.overload_ratio, 1.0, MAX_OVERLOAD_RATIO)?;
    check_duration("rules.fall_span_ms", rules.overload_window_ms, 1)?;
    check_duration("rules.key_rest_ms", rules.key_cooldown_ms, 0)
}

fn check_prices(prices: &Prices) -> Validation {
    check_number("prices.connection", prices.connection, 0.0, MAX_PRICE)?;
    check_number("prices.crossing", prices.cross_zone, 0.0, MAX_PRICE)?;
    check_number("prices.waste", prices.wasted_work, 0.0, MAX_PRICE)?;
    check_number("prices.late", prices.late, 0.0, MAX_PRICE)?;
    check_number("prices.refused", prices.rejected_call, 0.0, MAX_PRICE)?;
    for (index, &fee) in prices.route_fees.iter().enumerate() {
        check_number(&format!("prices.route_fees[{index}]"), fee, 0.0, MAX_PRICE)?;
    }
    Ok(())
}

/// Checks that names are unique and not empty or too long.
fn check_names<'a>(field: &str, names: impl Iterator<Item = &'a String>) -> Validation {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        let path = format!("{field}[{index}]");
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return reject(path, "a name of 1 to 200 bytes is expected");
        }
        if !seen.insert(name) {
            return reject(path, format!("`{name}` is there twice; names must differ"));
        }
    }
    Ok(())
}

/// Checks that a duration is between a minimum and [`MAX_DURATION_MS`].
fn check_duration(field: &str, ms: u64, min: u64) -> Validation {
    if (min..=MAX_DURATION_MS).contains(&ms) {
        return Ok(());
    }
    reject(field, format!("{ms} ms; between {min} and {MAX_DURATION_MS} is expected"))
}

/// Checks that a number is finite and within these inclusive bounds.
pub(super) fn check_number(field: &str, number: f64, min: f64, max: f64) -> Validation {
    if number.is_finite() && (min..=max).contains(&number) {
        return Ok(());
    }
    reject(field, format!("{number}; between {min} and {max} is expected"))
}

/// Checks that a count is within these inclusive bounds.
pub(super) fn check_count(field: &str, count: u64, min: u64, max: u64) -> Validation {
    if (min..=max).contains(&count) {
        return Ok(());
    }
    reject(field, format!("{count}; between {min} and {max} is expected"))
}
