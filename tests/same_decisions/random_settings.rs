//! Random classes and settings for a simulation.

use crate::world::{MILLISECOND, SECOND};
use linnetcart::*;
use rand::rngs::StdRng;
use rand::Rng;

pub fn random_classes(random: &mut StdRng) -> Vec<Class> {
    let mut class = |idempotency, ordered| Class {
        latency_objective: random.random_range(200 * MILLISECOND..4 * SECOND),
        deadline: random.random_range(4 * SECOND..30 * SECOND),
        priority_weight: random.random_range(1..5).into(),
        late_weight: random.random_range(0.0..0.9),
        idempotency,
        ordered,
    };
    vec![
        class(Idempotency::Idempotent, false),
        class(Idempotency::Keyed { dedup_window: 8 * SECOND, per_zone: false }, false),
        class(Idempotency::NotIdempotent, false),
        class(Idempotency::Idempotent, true),
        class(Idempotency::Keyed { dedup_window: 5 * SECOND, per_zone: true }, false),
        class(Idempotency::Keyed { dedup_window: 6 * SECOND, per_zone: false }, true),
    ]
}

pub fn random_settings(random: &mut StdRng, classes: Vec<Class>, rate_accuracy: RateAccuracy) -> Settings {
    Settings {
        courier_count: [1, 3, 40, 500][random.random_range(0..4)],
        classes,
        kinds: vec![
            DestinationKind { independent_routes: false, max_messages_per_call: 1 },
            DestinationKind { independent_routes: true, max_messages_per_call: 1 },
            DestinationKind { independent_routes: false, max_messages_per_call: 3 },
        ],
        weight_halves: random.random(),
        max_in_flight_calls: [2, 16, 100, 1000][random.random_range(0..4)],
        max_in_flight_messages: [30, 1000, 5000][random.random_range(0..3)],
        max_attempts: random.random_range(1..8),
        cancellation_allowed: random.random_bool(0.8),
        hedging_allowed: random.random_bool(0.8),
        max_retry_after: 3 * SECOND,
        calls_per_connection: 1,
        idle_timeout: 10 * SECOND,
        connect_timeout: SECOND,
        slow_start_ratio: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_ratio: 2.0,
        overload_window: random.random_range(SECOND / 2..4 * SECOND),
        key_cooldown: [0, 100 * MILLISECOND, 2 * SECOND][random.random_range(0..3)],
        endpoint_list_polled: random.random(),
        max_poll_interval: 10 * SECOND,
        rate_accuracy,
        tick: [MILLISECOND / 5, 5 * MILLISECOND][random.random_range(0..2)],
        route_fees: vec![0.0, 0.3],
        ..Settings::default()
    }
}
