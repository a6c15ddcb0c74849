//! The interface of the decision library: settings and events go in, actions come out.
//!
//! These types are plain data without decision logic. The names that `serde` writes are part of the format of
//! recorded decision cycles: they stay when a name in the code changes.

mod actions;
mod events;
mod settings;

pub use actions::{Action, LimitChange, LimitEvidence, LimitState, SendRefusal};
pub use events::{
    AcceptedMessage, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, HealthCheckResult,
    UnresolvedAttempt,
};
pub use settings::{Class, DestinationKind, Idempotency, RateAccuracy, Settings};

/// A span of time or a clock time, in nanoseconds. Clock times are readings of the one clock whose readings
/// the courier passes to [`Dispatcher::decide`](crate::Dispatcher::decide).
pub type Time = u64;
