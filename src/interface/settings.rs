//! What a dispatcher is told once, at its start.

use super::Time;

/// Limits, classes and prices of one deployment. Figures that it does not give stay at `Default`.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Couriers that send to the same destinations, this one included.
    #[cfg_attr(feature = "serde", serde(rename = "couriers"))]
    pub courier_count: u32,
    /// The number of this courier among them.
    #[cfg_attr(feature = "serde", serde(rename = "me"))]
    pub courier_index: u32,
    /// The zone that this courier stands in.
    pub zone: u8,
    /// Classes of message, by number.
    pub classes: Vec<Class>,
    /// Kinds of destination, by number.
    pub kinds: Vec<DestinationKind>,
    /// Each tenant's quota of messages a second, over all couriers.
    #[cfg_attr(feature = "serde", serde(rename = "tenants"))]
    pub tenant_quotas: Vec<f64>,
    /// Priority weight of a message beyond its tenant's quota, as a part of the usual.
    #[cfg_attr(feature = "serde", serde(rename = "over_share_worth"))]
    pub over_quota_weight: f64,
    /// The weight halves with each further latency objective; otherwise it falls evenly to the deadline.
    #[cfg_attr(feature = "serde", serde(rename = "worth_halves"))]
    pub weight_halves: bool,
    /// Calls that may be in flight at once.
    #[cfg_attr(feature = "serde", serde(rename = "slots"))]
    pub max_in_flight_calls: u32,
    /// Messages that may be in flight at once, sent or not.
    #[cfg_attr(feature = "serde", serde(rename = "max_held"))]
    pub max_in_flight_messages: u32,
    /// Attempts that a message may have.
    pub max_attempts: u32,
    /// A running attempt may be cancelled.
    #[cfg_attr(feature = "serde", serde(rename = "may_cancel"))]
    pub cancellation_allowed: bool,
    /// A message may have two attempts in flight at once.
    #[cfg_attr(feature = "serde", serde(rename = "may_copy"))]
    pub hedging_allowed: bool,
    /// Endpoints may be sent health checks.
    #[cfg_attr(feature = "serde", serde(rename = "may_probe"))]
    pub health_checks_allowed: bool,
    /// Couriers may send each other gossip.
    #[cfg_attr(feature = "serde", serde(rename = "may_note"))]
    pub gossip_allowed: bool,
    /// The longest Retry-After that clients heed; 0 where they heed none.
    #[cfg_attr(feature = "serde", serde(rename = "max_come_back"))]
    pub max_retry_after: Time,
    /// Calls that one connection carries at once.
    pub calls_per_connection: u32,
    /// An idle connection closes after this.
    #[cfg_attr(feature = "serde", serde(rename = "connection_idle"))]
    pub idle_timeout: Time,
    /// A connection that takes longer than this has failed.
    pub connect_timeout: Time,
    /// How late a final answer may be.
    #[cfg_attr(feature = "serde", serde(rename = "answer_slack"))]
    pub answer_grace: Time,
    /// A destination back from an outage has this part of its capacity,
    #[cfg_attr(feature = "serde", serde(rename = "cold_share"))]
    pub slow_start_ratio: f64,
    /// and all of it after this.
    #[cfg_attr(feature = "serde", serde(rename = "warm_after"))]
    pub slow_start_duration: Time,
    /// Sent more than this multiple of its present capacity, it fails again,
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_ratio: f64,
    /// when that goes on for so long.
    #[cfg_attr(feature = "serde", serde(rename = "fall_span"))]
    pub overload_window: Time,
    /// How long a key takes no further message after an attempt that may still run.
    #[cfg_attr(feature = "serde", serde(rename = "key_rest"))]
    pub key_cooldown: Time,
    /// The endpoint list must be polled.
    #[cfg_attr(feature = "serde", serde(rename = "list_asked"))]
    pub endpoint_list_polled: bool,
    /// Without a watch, the list must be polled within this.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_poll_interval: Time,
    /// How far the listed rates can be relied on.
    #[cfg_attr(feature = "serde", serde(rename = "rates"))]
    pub rate_accuracy: RateAccuracy,
    /// Shortest distance of two decision cycles.
    pub tick: Time,
    /// Price of a new connection.
    pub connection_price: f64,
    /// Price of a call to another zone.
    #[cfg_attr(feature = "serde", serde(rename = "crossing_price"))]
    pub cross_zone_price: f64,
    /// Price of work that served nothing.
    #[cfg_attr(feature = "serde", serde(rename = "waste_price"))]
    pub wasted_work_price: f64,
    /// Price of weight left unserved after its latency objective.
    pub late_price: f64,
    /// Price of a health check for each message.
    #[cfg_attr(feature = "serde", serde(rename = "probe_price"))]
    pub health_check_price: f64,
    /// Price of full gossip for each message.
    #[cfg_attr(feature = "serde", serde(rename = "note_price"))]
    pub gossip_price: f64,
    /// Price of a call rejected above a limit.
    #[cfg_attr(feature = "serde", serde(rename = "refused_price"))]
    pub rejected_call_price: f64,
    /// For each zone: price of a message that an independent route accepts there.
    pub route_fees: Vec<f64>,
}

impl Settings {
    /// Returns a kind of destination by number; an unknown one has a shared limit and single calls.
    pub(crate) fn kind(&self, number: u8) -> DestinationKind {
        let unknown = DestinationKind { independent_routes: false, max_messages_per_call: 1 };
        self.kinds.get(usize::from(number)).copied().unwrap_or(unknown)
    }
}

/// A class of message.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Served within this, a message has its full weight.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Time,
    /// How long it may be served.
    pub deadline: Time,
    /// Full weight of a message.
    #[cfg_attr(feature = "serde", serde(rename = "worth"))]
    pub priority_weight: f64,
    /// The part of the weight that is left at the deadline.
    #[cfg_attr(feature = "serde", serde(rename = "late_worth"))]
    pub late_weight: f64,
    /// Whether it may be sent again.
    #[cfg_attr(feature = "serde", serde(rename = "repeat"))]
    pub idempotency: Idempotency,
    /// Messages with one ordering key go in turn.
    pub ordered: bool,
}

impl Class {
    /// The weight of a message of this age: all within the latency objective, less with the time after it.
    pub fn weight_at(&self, age: Time, halves: bool) -> f64 {
        let late = (age as f64 - self.latency_objective as f64).max(0.0);
        let ratio = if halves {
            0.5f64.powf(late / self.latency_objective.max(1) as f64).max(self.late_weight)
        } else {
            let span = self.deadline.saturating_sub(self.latency_objective).max(1) as f64;
            1.0 - (1.0 - self.late_weight) * late / span
        };
        self.priority_weight * ratio
    }
}

/// What a second execution of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// No harm.
    #[cfg_attr(feature = "serde", serde(rename = "Safe"))]
    Idempotent,
    /// It is dropped by its idempotency key for `dedup_window` after the first; by all endpoints, or only by those
    /// in its zone.
    Keyed {
        /// How long the key is remembered.
        #[cfg_attr(feature = "serde", serde(rename = "window"))]
        dedup_window: Time,
        /// Only endpoints in the zone of the first know the key.
        #[cfg_attr(feature = "serde", serde(rename = "by_zone"))]
        per_zone: bool,
    },
    /// It takes effect twice.
    #[cfg_attr(feature = "serde", serde(rename = "Unsafe"))]
    NotIdempotent,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DestinationKind {
    /// Its endpoints are independent routes, each with its own limit, rate and outages.
    #[cfg_attr(feature = "serde", serde(rename = "routes_apart"))]
    pub independent_routes: bool,
    /// Messages that one call takes at most.
    #[cfg_attr(feature = "serde", serde(rename = "per_call"))]
    pub max_messages_per_call: u32,
}

/// What the rate in the endpoint list means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RateAccuracy {
    /// Nothing.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Untold"))]
    Unspecified,
    /// Calls a second from all couriers, to within a half.
    #[cfg_attr(feature = "serde", serde(rename = "Rough"))]
    Approximate,
    /// Calls a second from all couriers.
    Exact,
}
