//! Settings of a dispatcher. They are fixed when the dispatcher is created.

use super::Time;

/// Limits, classes and prices of one deployment.
///
/// Values that a deployment does not specify stay at their `Default`. All times are in nanoseconds
/// ([`Time`]), and all prices are fractions of a message's priority weight.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Number of couriers that send to the same destinations, this one included.
    #[cfg_attr(feature = "serde", serde(rename = "couriers"))]
    pub courier_count: u32,
    /// Number of this courier among all couriers, counted from 0.
    #[cfg_attr(feature = "serde", serde(rename = "me"))]
    pub courier_index: u32,
    /// Number of the zone that this courier is in.
    pub zone: u8,
    /// Classes of message; [`AcceptedMessage::class`](super::AcceptedMessage::class) is an index into them.
    pub classes: Vec<Class>,
    /// Kinds of destination; [`Endpoint::kind`](super::Endpoint::kind) is an index into them.
    pub kinds: Vec<DestinationKind>,
    /// Quota of each tenant, in messages a second over all couriers; the index is the tenant's number.
    #[cfg_attr(feature = "serde", serde(rename = "tenants"))]
    pub tenant_quotas: Vec<f64>,
    /// Weight of a message above its tenant's quota, as a ratio of its usual weight, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "over_share_worth"))]
    pub over_quota_weight: f64,
    /// How the weight of a message falls after its latency objective: halved with each further latency
    /// objective (true), or linearly until the deadline (false).
    #[cfg_attr(feature = "serde", serde(rename = "worth_halves"))]
    pub weight_halves: bool,
    /// Maximum number of calls that this courier may have in flight at once: its slots.
    #[cfg_attr(feature = "serde", serde(rename = "slots"))]
    pub max_in_flight_calls: u32,
    /// Maximum number of messages that this courier may have in flight at once, sent or not. The courier
    /// rejects any message beyond this number.
    #[cfg_attr(feature = "serde", serde(rename = "max_held"))]
    pub max_in_flight_messages: u32,
    /// Maximum number of attempts for a message.
    pub max_attempts: u32,
    /// Whether the dispatcher may cancel attempts in flight ([`Action::Cancel`](super::Action::Cancel)).
    #[cfg_attr(feature = "serde", serde(rename = "may_cancel"))]
    pub cancellation_allowed: bool,
    /// Whether a message may have two attempts in flight at once (hedged requests).
    #[cfg_attr(feature = "serde", serde(rename = "may_copy"))]
    pub hedging_allowed: bool,
    /// Whether health checks may be sent to endpoints.
    #[cfg_attr(feature = "serde", serde(rename = "may_probe"))]
    pub health_checks_allowed: bool,
    /// Whether couriers may send each other gossip.
    #[cfg_attr(feature = "serde", serde(rename = "may_note"))]
    pub gossip_allowed: bool,
    /// The longest Retry-After that clients respect; 0 if they respect none.
    #[cfg_attr(feature = "serde", serde(rename = "max_come_back"))]
    pub max_retry_after: Time,
    /// Maximum number of concurrent calls on one connection.
    pub calls_per_connection: u32,
    /// How long a connection may be idle before it is closed.
    #[cfg_attr(feature = "serde", serde(rename = "connection_idle"))]
    pub idle_timeout: Time,
    /// How long a connection may take to be made before it counts as failed.
    pub connect_timeout: Time,
    /// How long after the deadline a final answer still counts as in time.
    #[cfg_attr(feature = "serde", serde(rename = "answer_slack"))]
    pub answer_grace: Time,
    /// Capacity of a destination right after an outage, as a ratio of its full capacity, 0 to 1. It grows
    /// linearly to 1 within [`slow_start_duration`](Self::slow_start_duration).
    #[cfg_attr(feature = "serde", serde(rename = "cold_share"))]
    pub slow_start_ratio: f64,
    /// Time after an outage until a destination has its full capacity again.
    #[cfg_attr(feature = "serde", serde(rename = "warm_after"))]
    pub slow_start_duration: Time,
    /// After an outage, a destination fails again if the call rate stays above this multiple of the
    /// destination's present capacity for [`overload_window`](Self::overload_window).
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_ratio: f64,
    /// How long the call rate must stay above [`overload_ratio`](Self::overload_ratio) to make a destination
    /// fail again.
    #[cfg_attr(feature = "serde", serde(rename = "fall_span"))]
    pub overload_window: Time,
    /// Time for which the next message of an ordering key is held back after an attempt that may still run
    /// (rule 5).
    #[cfg_attr(feature = "serde", serde(rename = "key_rest"))]
    pub key_cooldown: Time,
    /// Whether the dispatcher must request the endpoint list
    /// ([`Action::WatchEndpoints`](super::Action::WatchEndpoints)); if false, the list is pushed.
    #[cfg_attr(feature = "serde", serde(rename = "list_asked"))]
    pub endpoint_list_polled: bool,
    /// Longest interval between polls of the endpoint list while there is no watch.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_poll_interval: Time,
    /// How accurate the rates in the endpoint list are.
    #[cfg_attr(feature = "serde", serde(rename = "rates"))]
    pub rate_accuracy: RateAccuracy,
    /// Shortest interval between two decision cycles.
    pub tick: Time,
    /// Price of a new connection.
    pub connection_price: f64,
    /// Price of a call to another zone.
    #[cfg_attr(feature = "serde", serde(rename = "crossing_price"))]
    pub cross_zone_price: f64,
    /// Price of calls to endpoints that did not serve the message.
    #[cfg_attr(feature = "serde", serde(rename = "waste_price"))]
    pub wasted_work_price: f64,
    /// Price of each unit of weight that a message loses after its latency objective.
    pub late_price: f64,
    /// Price of a health check, per message.
    #[cfg_attr(feature = "serde", serde(rename = "probe_price"))]
    pub health_check_price: f64,
    /// Price of full gossip, per message.
    #[cfg_attr(feature = "serde", serde(rename = "note_price"))]
    pub gossip_price: f64,
    /// Price of a call that is rejected above a limit.
    #[cfg_attr(feature = "serde", serde(rename = "refused_price"))]
    pub rejected_call_price: f64,
    /// Price of a message that an independent route accepts; the index is the number of the route's zone.
    pub route_fees: Vec<f64>,
}

impl Settings {
    /// Returns the kind of destination with this number. An unknown kind has a shared limit and one message
    /// per call.
    pub(crate) fn kind(&self, number: u8) -> DestinationKind {
        let unknown = DestinationKind { independent_routes: false, max_messages_per_call: 1 };
        self.kinds.get(usize::from(number)).copied().unwrap_or(unknown)
    }
}

/// What the messages of a class have in common: latency objective, deadline, weight over time, idempotency
/// and ordering.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Time from acceptance within which a served message has the full weight, in nanoseconds.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Time,
    /// Time from acceptance within which a message must get its final answer, in nanoseconds.
    pub deadline: Time,
    /// Weight of a message that is served within the latency objective.
    #[cfg_attr(feature = "serde", serde(rename = "worth"))]
    pub priority_weight: f64,
    /// Weight at the deadline, as a ratio of the full weight, 0 to 1; the lower bound of the weight if
    /// [`Settings::weight_halves`] is set.
    #[cfg_attr(feature = "serde", serde(rename = "late_worth"))]
    pub late_weight: f64,
    /// The effect of executing a message more than once.
    #[cfg_attr(feature = "serde", serde(rename = "repeat"))]
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are sent one at a time, in order of acceptance (rule 5).
    pub ordered: bool,
}

impl Class {
    /// Whether an attempt of a message may begin only after the attempt is recorded in storage that survives
    /// the process.
    ///
    /// After a restart, an attempt without a record is made again. That is harmless for an idempotent
    /// message. But a message that is not idempotent would take effect twice, as would a keyed message after
    /// its `dedup_window`, and the next message of an ordering key would be sent while the attempt may still
    /// run.
    pub fn attempt_needs_record(&self) -> bool {
        self.ordered || self.idempotency != Idempotency::Idempotent
    }

    /// Returns the weight of a message that is served at this age: the full weight up to the latency
    /// objective, and a decreasing weight after it.
    ///
    /// With `halves`, the weight halves with each further latency objective, down to `late_weight` of the
    /// full weight. Otherwise it decreases linearly, reaches `late_weight` of the full weight at the
    /// deadline, and decreases further after it.
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

/// The effect of a second execution of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Idempotency {
    /// A second execution is harmless.
    #[cfg_attr(feature = "serde", serde(rename = "Safe"))]
    Idempotent,
    /// Endpoints suppress a second execution by the message's idempotency key, if it follows the first within
    /// `dedup_window`.
    Keyed {
        /// Time after the first execution for which endpoints remember the key, in nanoseconds.
        #[cfg_attr(feature = "serde", serde(rename = "window"))]
        dedup_window: Time,
        /// Whether only endpoints in the zone of the first execution know the key; if false, all do.
        #[cfg_attr(feature = "serde", serde(rename = "by_zone"))]
        per_zone: bool,
    },
    /// A second execution takes effect again.
    #[cfg_attr(feature = "serde", serde(rename = "Unsafe"))]
    NotIdempotent,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct DestinationKind {
    /// Whether the endpoints of the destination are independent routes, each with its own limit and its own
    /// outages; if false, they share the limit of the destination.
    #[cfg_attr(feature = "serde", serde(rename = "routes_apart"))]
    pub independent_routes: bool,
    /// Maximum number of messages in one call.
    #[cfg_attr(feature = "serde", serde(rename = "per_call"))]
    pub max_messages_per_call: u32,
}

/// How accurate the rates in the endpoint list are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RateAccuracy {
    /// The list has no rates, or its rates are to be ignored.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Untold"))]
    Unspecified,
    /// Limit in calls a second for all couriers together, accurate to within 50 %.
    #[cfg_attr(feature = "serde", serde(rename = "Rough"))]
    Approximate,
    /// Exact limit in calls a second for all couriers together.
    Exact,
}
