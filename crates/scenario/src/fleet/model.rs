//! Conversion of a fleet to the parameters of the conformance checks and to an endpoint simulator.

use super::{Fleet, Timebase};
use crate::scenario::{Class, FaultKind, IdempotencyKind, Kind};
use crate::units::{millis, seconds};
use linnetcart_conformance::{self as conformance, Idempotency, Invariants, Time};
use linnetcart_endpoint_model::{
    ClassWork, DestinationKind, EndpointSimulator, RecoveryModel, RetryAfterRange,
};

/// The simulated slow-start ratio divided by the one that couriers are configured with. The headroom makes
/// simulated endpoints tolerate somewhat more calls after an outage than the rules require.
const SLOW_START_HEADROOM: f64 = 1.1;
/// XORed with the seed of the fleet, so that the random numbers of the simulator are independent of those
/// that the fleet was drawn with.
const SIMULATOR_SALT: u64 = 0x5eed;

impl Fleet {
    /// Returns the parameters of the conformance checks.
    pub fn invariants(&self, timebase: Timebase) -> Invariants {
        let rules = &self.scenario.rules;
        Invariants {
            classes: self.scenario.class.iter().map(conformance_class).collect(),
            answer_grace: millis(rules.answer_grace_ms),
            drain_grace: millis(rules.drain_grace_ms),
            key_cooldown: millis(rules.key_cooldown_ms),
            overload_ratio: rules.overload_ratio,
            overload_window: seconds(rules.overload_window_s),
            timing_tolerance: timebase.timing_tolerance(),
            extra_link_delay: self.extra_link_delay(),
        }
    }

    /// Returns an upper bound of the additional one-way delay, in nanoseconds: the sum over all faults that
    /// slow links, as if they were in force at once.
    fn extra_link_delay(&self) -> Time {
        let slow_links = self.scenario.faults.iter().filter(|fault| fault.what == FaultKind::LinksSlow);
        slow_links.map(|fault| millis(fault.size)).sum()
    }

    /// Creates the simulator of all endpoints of the fleet.
    pub fn endpoint_simulator(&self) -> EndpointSimulator {
        let rules = &self.scenario.rules;
        let recovery = RecoveryModel {
            slow_start_ratio: rules.slow_start_ratio * SLOW_START_HEADROOM,
            slow_start_duration: seconds(rules.slow_start_duration_s),
            overload_ratio: rules.overload_ratio,
            overload_window: seconds(rules.overload_window_s),
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
    match class.idempotency {
        IdempotencyKind::Idempotent => Idempotency::Idempotent,
        IdempotencyKind::Keyed => {
            Idempotency::Keyed { dedup_window: seconds(class.dedup_window_s), per_zone: class.per_zone }
        }
        IdempotencyKind::NotIdempotent => Idempotency::NotIdempotent,
    }
}

fn conformance_class(class: &Class) -> conformance::Class {
    conformance::Class {
        name: class.name.clone(),
        latency_objective: seconds(class.latency_objective_s),
        deadline: seconds(class.deadline_s),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        idempotency: idempotency(class),
        ordered: class.ordered,
    }
}

fn class_work(class: &Class) -> ClassWork {
    ClassWork { service_time: millis(class.service_ms), idempotency: idempotency(class) }
}

fn simulated_kind(kind: &Kind) -> DestinationKind {
    let [shortest, longest] = kind.retry_after_ms;
    DestinationKind {
        name: kind.name.clone(),
        limit: kind.limit,
        rejected_calls_count: kind.rejected_calls_count,
        retry_after_probability: kind.retry_after_probability,
        retry_after: RetryAfterRange { shortest: millis(shortest), longest: millis(longest) },
        capacity_ratio: kind.capacity_ratio,
        longest_queue: millis(kind.longest_queue_ms),
        service_time_variation: kind.service_time_variation,
        max_connections: kind.max_connections,
        independent_routes: kind.independent_routes,
        max_messages_per_call: kind.max_messages_per_call as usize,
        additional_message_work: kind.additional_message_work,
        load_report_interval: millis(kind.load_report_interval_ms),
    }
}
