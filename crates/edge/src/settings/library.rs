//! Conversion of the settings document to the settings of the decision library: names become numbers, and
//! milliseconds and microseconds become nanoseconds.

use super::documents::{ClassDoc, KindDoc, RatesDoc, RepeatDoc, Settings};
use crate::time::{NANOS_PER_MS, NANOS_PER_US};
use linnetcart::{Class, DestinationKind, Idempotency, RateAccuracy, Settings as LibrarySettings, Time};

impl Settings {
    /// Converts these settings, which must be valid, for the decision library.
    pub fn library_settings(&self) -> LibrarySettings {
        LibrarySettings {
            courier_count: self.courier.count,
            courier_index: self.courier.index,
            zone: self.zone_index(&self.courier.zone).unwrap_or(0),
            classes: self.classes.iter().map(ClassDoc::library_class).collect(),
            kinds: self.kinds.iter().map(KindDoc::library_kind).collect(),
            tenant_quotas: self.tenants.iter().map(|tenant| tenant.quota).collect(),
            over_quota_weight: self.weights.over_quota,
            weight_halves: self.weights.halves,
            max_in_flight_calls: self.limits.max_calls,
            max_in_flight_messages: self.limits.max_in_flight,
            max_attempts: self.limits.max_attempts,
            cancellation_allowed: self.permissions.cancellation,
            hedging_allowed: self.permissions.hedging,
            health_checks_allowed: false,
            gossip_allowed: false,
            max_retry_after: self.permissions.max_retry_after_ms * NANOS_PER_MS,
            calls_per_connection: self.connections.max_calls,
            idle_timeout: self.connections.idle_timeout_ms * NANOS_PER_MS,
            connect_timeout: self.connections.connect_timeout_ms * NANOS_PER_MS,
            answer_grace: self.rules.answer_grace_ms * NANOS_PER_MS,
            slow_start_ratio: self.rules.slow_start_ratio,
            slow_start_duration: self.rules.slow_start_ms * NANOS_PER_MS,
            overload_ratio: self.rules.overload_ratio,
            overload_window: self.rules.overload_window_ms * NANOS_PER_MS,
            key_cooldown: self.rules.key_cooldown_ms * NANOS_PER_MS,
            endpoint_list_polled: false,
            max_poll_interval: 0,
            rate_accuracy: self.rates.library_accuracy(),
            tick: self.tick_us * NANOS_PER_US,
            connection_price: self.prices.connection,
            cross_zone_price: self.prices.cross_zone,
            wasted_work_price: self.prices.wasted_work,
            late_price: self.prices.late,
            health_check_price: 0.0,
            gossip_price: 0.0,
            rejected_call_price: self.prices.rejected_call,
            route_fees: self.prices.route_fees.clone(),
        }
    }

    /// Returns the number of the class with this name, or `None` if there is none.
    pub fn class(&self, name: &str) -> Option<u8> {
        self.classes.iter().position(|class| class.name == name).map(|index| index as u8)
    }

    /// Returns the number of the zone with this name, or `None` if there is none.
    pub(super) fn zone_index(&self, name: &str) -> Option<u8> {
        self.zones.iter().position(|zone| zone == name).map(|index| index as u8)
    }

    /// Returns the number of the kind with this name, or `None` if there is none.
    pub(super) fn kind_index(&self, name: &str) -> Option<u8> {
        self.kinds.iter().position(|kind| kind.name == name).map(|index| index as u8)
    }

    /// Returns the kind with this name, or `None` if there is none.
    pub fn kind(&self, name: &str) -> Option<&KindDoc> {
        self.kinds.iter().find(|kind| kind.name == name)
    }
}

impl ClassDoc {
    fn library_class(&self) -> Class {
        Class {
            latency_objective: self.latency_objective(),
            deadline: self.deadline(),
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            idempotency: self.idempotency.library_idempotency(),
            ordered: self.ordered,
        }
    }

    /// Returns the time from submission within which a message must get its final answer, in nanoseconds.
    pub fn deadline(&self) -> Time {
        self.deadline_ms * NANOS_PER_MS
    }

    /// Returns the latency objective, in nanoseconds.
    pub fn latency_objective(&self) -> Time {
        self.latency_objective_ms * NANOS_PER_MS
    }
}

impl RepeatDoc {
    fn library_idempotency(&self) -> Idempotency {
        match *self {
            RepeatDoc::Idempotent => Idempotency::Idempotent,
            RepeatDoc::Keyed { dedup_window_ms, per_zone } => {
                Idempotency::Keyed { dedup_window: dedup_window_ms * NANOS_PER_MS, per_zone }
            }
            RepeatDoc::NotIdempotent => Idempotency::NotIdempotent,
        }
    }
}

impl KindDoc {
    fn library_kind(&self) -> DestinationKind {
        DestinationKind {
            independent_routes: self.independent_routes,
            max_messages_per_call: self.max_messages_per_call,
        }
    }
}

impl RatesDoc {
    fn library_accuracy(self) -> RateAccuracy {
        match self {
            RatesDoc::Unspecified => RateAccuracy::Unspecified,
            RatesDoc::Approximate => RateAccuracy::Approximate,
            RatesDoc::Exact => RateAccuracy::Exact,
        }
    }
}
