//! The decision library of linnetcart, a delivery service for messages to outside destinations.
//!
//! One [`Dispatcher`] decides for one courier process: which message is sent next and to which endpoint, and
//! what is retried, hedged, cancelled, rejected or given up. The courier calls [`Dispatcher::decide`] with
//! the events since the last call and a clock time, and carries out the actions that it returns. The library
//! does no input or output of its own, reads no clock and starts no threads. It is deterministic: the same
//! settings, seed, clock times and events always give the same actions.
//!
//! # The six rules
//!
//! The code refers to these rules by their numbers.
//!
//! 1. A message gets exactly one final answer (served, rejected or failed) before its deadline; no attempt
//!    is made after it.
//! 2. No message takes effect twice. A rejected message may be submitted again without harm; a failed one may
//!    have taken effect.
//! 3. No new attempt is sent to an endpoint that is draining or removed.
//! 4. A destination that is back from an outage is not overloaded during its slow start.
//! 5. Messages of an ordered class with the same ordering key are sent one at a time, in order of acceptance,
//!    with a cooldown after an attempt that may still run.
//! 6. A Retry-After is respected.
//!
//! # Example
//!
//! ```
//! use linnetcart::{
//!     AcceptedMessage, Action, Class, DestinationKind, Dispatcher, Endpoint, EndpointStatus, Event,
//!     Idempotency, Settings,
//! };
//!
//! let settings = Settings {
//!     courier_count: 1,
//!     max_in_flight_calls: 4,
//!     max_in_flight_messages: 20,
//!     max_attempts: 5,
//!     classes: vec![Class {
//!         latency_objective: 1_000_000_000,
//!         deadline: 5_000_000_000,
//!         priority_weight: 1.0,
//!         late_weight: 0.5,
//!         idempotency: Idempotency::Idempotent,
//!         ordered: false,
//!     }],
//!     kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
//!     ..Settings::default()
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let endpoint =
//!     Endpoint { id: 70, destination: 3, kind: 0, zone: 0, rate: 0.0, status: EndpointStatus::Ready };
//! let list = Event::EndpointList { complete: true, entries: vec![endpoint] };
//! let message = Event::Accepted(AcceptedMessage {
//!     id: 1,
//!     destination: 3,
//!     class: 0,
//!     time_remaining: 5_000_000_000,
//!     ordering_key: 0,
//!     tenant: 0,
//! });
//! let actions = dispatcher.decide(1_000, vec![list, message]);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { message: 1, endpoint: 70, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod interface;
mod policy;
mod state;

pub use interface::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Class, DestinationKind, Endpoint, EndpointStatus,
    Event, HealthCheckResult, Idempotency, LimitChange, LimitEvidence, LimitState, RateAccuracy, SendRefusal,
    Settings, Time, UnresolvedAttempt,
};
pub use policy::Dispatcher;
