//! A simulator of the endpoints that messages are delivered to, without I/O. It decides what each endpoint
//! does with a call and when, and what load it reports.
//!
//! Calls count against a *limit*: that of a destination, or that of one endpoint where routes are
//! independent. A limit rejects calls above its rate or count and serves admitted ones through a queue at its
//! capacity. After an outage it recovers with a ramp, and it is overloaded by too many calls during that
//! ramp. Sockets and virtual time drive the same model. Random numbers come from a seed, and every call is
//! recorded for the conformance checks.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod calls;
mod deduplication;
mod destinations;
mod faults;
mod limit;
mod simulator;

pub use calls::{
    CallItem, CallStep, Caller, ConnectOutcome, IncomingCall, ItemStatus, ReceivedCall, Reply, ReportedLoad,
};
pub use destinations::{
    ClassWork, DestinationKind, LimitKind, RecoveryModel, RetryAfterRange, SimulatedDestination,
    SimulatedEndpoint,
};
pub use faults::{ClassFault, EndpointFault};
pub use simulator::{EndpointSimulator, OutageSpan, Overload};
