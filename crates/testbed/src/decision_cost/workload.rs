//! The deployment that the driver simulates: its endpoint list, classes and limits.

use super::Case;
use linnetcart::{Class, DestinationKind, Endpoint, EndpointStatus, Idempotency, Settings, Time};

pub(super) const MILLISECOND: Time = 1_000_000;
pub(super) const SECOND: Time = 1_000 * MILLISECOND;
/// Number of message classes.
pub(super) const CLASSES: u32 = 3;
/// Time from a message's acceptance to its deadline; longer than any measurement.
pub(super) const DEADLINE: Time = 10_000 * SECOND;
const DEDUP_WINDOW: Time = 20_000 * SECOND;
const ENDPOINTS_PER_DESTINATION: u32 = 2;
/// Limit of messages in flight in cases that shed no load, in addition to the calls in flight.
const AMPLE_MESSAGES: u32 = 200_000;

/// Returns the endpoints of this many destinations, all ready.
pub(super) fn endpoints(destinations: u32) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for destination in 0..destinations {
        for number in 0..ENDPOINTS_PER_DESTINATION {
            endpoints.push(Endpoint {
                id: destination * ENDPOINTS_PER_DESTINATION + number,
                destination,
                kind: 0,
                zone: 0,
                rate: 0.0,
                status: EndpointStatus::Ready,
            });
        }
    }
    endpoints
}

fn class(idempotency: Idempotency, priority_weight: f64) -> Class {
    Class {
        latency_objective: 30 * SECOND,
        deadline: DEADLINE,
        priority_weight,
        late_weight: 0.5,
        idempotency,
        ordered: false,
    }
}

/// Returns the settings of a case. The library sheds load above 90 % of `max_in_flight_messages`; a case that
/// sheds load sets this limit to 10/9 of the waiting messages, which then reach the threshold alone.
pub(super) fn settings(case: Case) -> Settings {
    let max_in_flight_messages =
        if case.sheds_load { case.waiting_messages * 10 / 9 } else { AMPLE_MESSAGES + case.calls_in_flight };
    Settings {
        courier_count: 1,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::Keyed { dedup_window: DEDUP_WINDOW, per_zone: false }, 2.0),
            class(Idempotency::NotIdempotent, 4.0),
        ],
        kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
        max_in_flight_calls: case.calls_in_flight * 4 + 100,
        max_in_flight_messages,
        max_attempts: 5,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 3 * SECOND,
        calls_per_connection: 1,
        idle_timeout: 60 * SECOND,
        connect_timeout: SECOND,
        slow_start_ratio: 0.2,
        slow_start_duration: SECOND,
        overload_ratio: 2.0,
        overload_window: SECOND,
        tick: MILLISECOND,
        ..Settings::default()
    }
}
