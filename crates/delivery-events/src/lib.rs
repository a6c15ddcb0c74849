//! Typed delivery events of a courier's core: what happened to messages, attempts and limits.
//!
//! Telemetry, journal, audit and conformance checks consume these events and nothing else of the core. The crate
//! holds values only and never decides or does I/O.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use linnetcart::{Action, AttemptOutcome, LimitChange, Time};

/// The final answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served.
    Served,
    /// Rejected; harmless to submit again.
    Rejected {
        /// When to submit again at the earliest; 0: not said.
        retry_after: Time,
    },
    /// Given up; it may have taken effect.
    Failed,
}

/// Why a message was rejected before it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No capacity for another message in flight.
    Overloaded,
    /// The courier shuts down.
    Draining,
}

/// What an answer reported of the endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Part of the limit that is left.
    pub capacity_left: f64,
    /// The limit in calls a second; 0 for none.
    pub rate_limit: f64,
}

/// One thing that happened, at the clock time of the event-loop iteration that reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryEvent {
    /// A message was accepted.
    Accepted {
        /// Its number.
        message: u32,
        /// Its id outside of this process.
        name: Bytes,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// When it must have its final answer.
        deadline: Time,
    },
    /// A message was rejected without being accepted.
    Rejected {
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// Why.
        reason: RejectionReason,
    },
    /// An attempt began.
    AttemptStarted {
        /// The message.
        message: u32,
        /// The attempt, from 0.
        attempt: u16,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// Where it goes.
        endpoint: u32,
        /// Another attempt of the message is in flight.
        hedge: bool,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The message.
        message: u32,
        /// The attempt.
        attempt: u16,
        /// The message's class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// Where it went.
        endpoint: u32,
        /// How.
        outcome: AttemptOutcome,
        /// How long it took.
        elapsed: Time,
        /// What the answer reported of the limit.
        load: Option<LoadReport>,
    },
    /// A message has its final answer.
    Completed {
        /// The message.
        message: u32,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// The answer.
        answer: FinalAnswer,
        /// How long after it was accepted.
        elapsed: Time,
    },
    /// The client is gone; nobody waits for an answer any more.
    ClientCancelled {
        /// The message.
        message: u32,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
    },
    /// The decision library sees a limit in another state.
    LimitChanged(LimitChange),
    /// The decision library asked for what this courier cannot do; the settings rule it out.
    UnsupportedAction(Action),
    /// An endpoint or client did not keep to the protocol, and its connection was closed.
    ProtocolViolation {
        /// Whose connection.
        peer: String,
        /// What was wrong.
        reason: String,
    },
}
