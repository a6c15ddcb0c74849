//! A fleet as the rule checks and the endpoint simulator take it.

use super::{Fleet, Timebase};
use crate::scenario::{Class, FaultKind, IdempotencyKind, Kind};
use crate::units::{millis, seconds};
use linnetcart_conformance::{self as conformance, Idempotency, Invariants, Time};
use linnetcart_endpoint_model::{
    ClassWork, DestinationKind, EndpointSimulator, RecoveryModel, RetryAfterRange,
};

/// Couriers are told less than a destination bears: the simulator is somewhat stronger than the rules say.
const SIMULATOR_RESERVE: f64 = 1.1;
/// Parts the randomness of the simulator from that of the fleet.
const SIMULATOR_SALT: u64 = 0x5eed;

impl Fleet {
    /// The figures of rules and classes for the checks.
    pub fn invariants(&self, timebase: Timebase) -> Invariants {
        let rules = &self.scenario.rules;
        Invariants {
            classes: self.scenario.class.iter().map(checked_class).collect(),
            answer_grace: millis(rules.answer_slack_ms),
            drain_grace: millis(rules.drain_grace_ms),
            key_cooldown: millis(rules.key_rest_ms),
            overload_ratio: rules.fall_multiple,
            overload_window: seconds(rules.fall_span_s),
            timing_tolerance: timebase.timing_tolerance(),
            extra_link_delay: self.extra_link_delay(),
        }
    }

    /// How much longer one way takes if all slow links are slow at once.
    fn extra_link_delay(&self) -> Time {
        let slow_links = self.scenario.trouble.iter().filter(|fault| fault.what == FaultKind::LinksSlow);
        slow_links.map(|fault| millis(fault.size)).sum()
    }

    /// The destinations as a simulator.
    pub fn endpoint_simulator(&self) -> EndpointSimulator {
        let rules = &self.scenario.rules;
        let recovery = RecoveryModel {
            slow_start_ratio: rules.cold_share * SIMULATOR_RESERVE,
            slow_start_duration: seconds(rules.warm_after_s),
            overload_ratio: rules.fall_multiple,
            overload_window: seconds(rules.fall_span_s),
        };
        EndpointSimulator::new(
            self.scenario.kind.iter().map(simulated_kind).collect(),
            self.scenario.class.iter().map(class_work).collect(),
            recovery,
            self.destinations.clone(),
            self.seed ^ SIMULATOR_SALT,
        )
    }
}

fn idempotency(class: &Class) -> Idempotency {
    match class.repeat {
        IdempotencyKind::Idempotent => Idempotency::Idempotent,
        IdempotencyKind::Keyed => {
            Idempotency::Keyed { dedup_window: seconds(class.window_s), per_zone: class.by_zone }
        }
        IdempotencyKind::NotIdempotent => Idempotency::NotIdempotent,
    }
}

fn checked_class(class: &Class) -> conformance::Class {
    conformance::Class {
        name: class.name.clone(),
        latency_objective: seconds(class.aim_s),
        deadline: seconds(class.deadline_s),
        priority_weight: class.worth,
        late_weight: class.late_worth,
        idempotency: idempotency(class),
        ordered: class.ordered,
    }
}

fn class_work(class: &Class) -> ClassWork {
    ClassWork { service_time: millis(class.service_ms), idempotency: idempotency(class) }
}

fn simulated_kind(kind: &Kind) -> DestinationKind {
    let [shortest, longest] = kind.wait_ms;
    DestinationKind {
        name: kind.name.clone(),
        limit: kind.limit,
        rejected_calls_count: kind.refused_count,
        retry_after_probability: kind.tells_wait,
        retry_after: RetryAfterRange { shortest: millis(shortest), longest: millis(longest) },
        capacity_ratio: kind.spare,
        longest_queue: millis(kind.depth_ms),
        service_time_variation: kind.cv,
        max_connections: kind.connections,
        independent_routes: kind.routes_apart,
        max_messages_per_call: kind.per_call as usize,
        additional_message_work: kind.item_cost,
        load_report_interval: millis(kind.report_ms),
    }
}
