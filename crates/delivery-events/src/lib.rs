//! Delivery events of a courier's core: typed records of what happened to messages, attempts and limits.
//!
//! The events are the only interface of the core for telemetry, journal, audit and conformance checks. The
//! crate defines plain values and performs no I/O.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

use bytes::Bytes;
use linnetcart::{Action, AttemptOutcome, LimitChange, Time};

/// The final answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The message was served.
    Served,
    /// The message was rejected; submitting it again is safe.
    Rejected {
        /// Retry-After: nanoseconds that the client should wait before it submits the message again; 0 for
        /// none.
        retry_after: Time,
    },
    /// The courier gave up; the message may or may not have been executed.
    Failed,
}

/// Why a message was rejected before it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The courier has no capacity for another message in flight.
    Overloaded,
    /// The courier is shutting down.
    Draining,
}

/// The load report of an endpoint, as carried by a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Unused fraction of the limit, 0 to 1.
    pub capacity_left: f64,
    /// The limit in calls a second over all couriers; 0 if there is none.
    pub rate_limit: f64,
}

/// Something that happened to a message, an attempt, a limit or a connection. Events carry no clock time: an
/// event happened at the clock time of the event-loop iteration that reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryEvent {
    /// A message was accepted.
    Accepted {
        /// Number of the message in this process.
        message: u32,
        /// Id of the message outside of this process.
        name: Bytes,
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
        /// Clock time by which the message must have its final answer, in nanoseconds.
        deadline: Time,
    },
    /// A message was rejected before it was accepted.
    Rejected {
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
        /// Reason of the rejection.
        reason: RejectionReason,
    },
    /// An attempt started.
    AttemptStarted {
        /// Number of the message in this process.
        message: u32,
        /// Number of the attempt, counted from 0 for each message.
        attempt: u16,
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
        /// Number of the endpoint that the attempt is sent to.
        endpoint: u32,
        /// Whether the attempt is a hedge: another attempt of the message is in flight.
        hedge: bool,
    },
    /// An attempt finished.
    AttemptFinished {
        /// Number of the message in this process.
        message: u32,
        /// Number of the attempt, counted from 0 for each message.
        attempt: u16,
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
        /// Number of the endpoint that the attempt is sent to.
        endpoint: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Time from sending to the outcome, in nanoseconds.
        elapsed: Time,
        /// Load report of the endpoint; `None` if the response carried none.
        load: Option<LoadReport>,
    },
    /// A message received its final answer.
    Completed {
        /// Number of the message in this process.
        message: u32,
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
        /// The final answer that the client gets.
        answer: FinalAnswer,
        /// Time since the message was accepted, in nanoseconds.
        elapsed: Time,
    },
    /// The client cancelled the message, or disconnected while waiting for the answer.
    ClientCancelled {
        /// Number of the message in this process.
        message: u32,
        /// Class of the message, an index into the classes of the settings.
        class: u8,
        /// Number of the message's destination.
        destination: u32,
    },
    /// The decision library changed the state of a limit.
    LimitChanged(LimitChange),
    /// The decision library requested an action that this courier does not support; valid settings prevent
    /// this.
    UnsupportedAction(Action),
    /// An endpoint or client violated the protocol, and its connection was closed.
    ProtocolViolation {
        /// The endpoint or client and its number, as text.
        peer: String,
        /// Description of the violation.
        reason: String,
    },
}
