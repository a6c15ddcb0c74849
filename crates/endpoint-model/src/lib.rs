//! A simulator of the endpoints that messages are delivered to, free of I/O: what each endpoint does with a
//! call, when, and what it tells of its load.
//!
//! A *limit* is what calls count against: a destination, or one endpoint of it where routes are independent.
//! It rejects calls above its rate or count, serves what it admits through a queue at its capacity, may have
//! an outage, comes back with a recovery ramp, and is overloaded when too much is sent to it during that
//! ramp. Sockets and virtual time drive the same model; randomness comes from a seed, and every call leaves a
//! record for the rule checks.
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
