//! The interface of the decision library: settings and events go in, actions come out.
//!
//! These types are plain data without decision logic. The names that `serde` writes are those of the first
//! version of recorded decision cycles and do not change.

mod actions;
mod events;
mod settings;

pub use actions::{Action, LimitChange, LimitEvidence, LimitState};
pub use events::{
    AcceptedMessage, AttemptOutcome, AttemptResult, Endpoint, EndpointStatus, Event, HealthCheckResult,
    UnresolvedAttempt,
};
pub use settings::{Class, DestinationKind, Idempotency, RateAccuracy, Settings};

/// A span of time or a clock reading, in nanoseconds.
pub type Time = u64;
