//! linnetcart decides for a courier of messages to outside destinations.
//!
//! One [`Dispatcher`] decides for one courier process. It is handed events with a clock time and answers with
//! actions; it does no input or output of its own and reads no clock.
//!
//! ```
//! use linnetcart::{
//!     AcceptedMessage, Action, Class, DestinationKind, Dispatcher, Endpoint, EndpointStatus, Event, Idempotency,
//!     Settings,
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
//! let list = Event::EndpointList {
//!     complete: true,
//!     entries: vec![Endpoint { id: 70, destination: 3, kind: 0, zone: 0, rate: 0.0, status: EndpointStatus::Ready }],
//! };
//! let message = Event::Accepted(AcceptedMessage {
//!     id: 1,
//!     destination: 3,
//!     class: 0,
//!     time_remaining: 5_000_000_000,
//!     ordering_key: 0,
//!     tenant: 0,
//! });
//! let actions = dispatcher.decide(1_000, vec![list, message]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { message: 1, endpoint: 70, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod interface;
mod policy;
mod state;

pub use interface::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Class, DestinationKind, Endpoint, EndpointStatus,
    Event, HealthCheckResult, Idempotency, LimitChange, LimitEvidence, LimitState, RateAccuracy, Settings,
    Time, UnresolvedAttempt,
};
pub use policy::Dispatcher;
