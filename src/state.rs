//! State that the decision library keeps between decision cycles, one data structure per file.
//!
//! This module owns the tables and indexes and keeps them consistent with each other. Decisions and tuned
//! constants are in [`crate::policy`].

mod attempt;
mod deadline_index;
mod destination;
mod dispatch_state;
mod endpoint;
mod key_queue;
mod latency;
mod limiter;
mod message;
mod random;
mod shed_order;
mod table;
mod wait_queue;
mod wake_up;

pub(crate) use attempt::{AttemptId, AttemptTable, FinishedAttempt, InFlightAttempt};
pub(crate) use deadline_index::{AttemptGroup, DeadlineIndex, DueAttempt, SentAttempt};
pub(crate) use destination::{Destination, LimitScope};
pub(crate) use dispatch_state::{DispatchState, GroupSpans, Silence};
pub(crate) use endpoint::{EndpointState, ListPoll, OpenCall};
pub(crate) use key_queue::KeyQueues;
pub(crate) use latency::LatencySamples;
pub(crate) use limiter::{CircuitState, EjectionCause, LimitContext, Limiter};
pub(crate) use message::{Message, PossibleExecution, QueuePosition, RecoveredAttempts};
pub(crate) use random::Random;
pub(crate) use shed_order::ShedSearch;
pub(crate) use table::Table;
pub(crate) use wait_queue::{DestinationQueue, MessageTime, QueueEntry, QueueState, WaitQueue};
pub(crate) use wake_up::WakeUpTimer;

use crate::interface::Time;

/// Converts a duration from nanoseconds to seconds.
pub(crate) fn seconds(span: Time) -> f64 {
    span as f64 / 1e9
}
