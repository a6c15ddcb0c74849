//! A simulator of the endpoints that messages are delivered to, without I/O. It decides whether and when each
//! call is answered, with which result, and which load the answer reports.
//!
//! Calls count against a *limit*: that of a destination, or that of one endpoint where routes are
//! independent. A limit rejects calls above its quota (a token bucket or a fixed window) and serves admitted
//! calls through a FIFO queue of bounded delay. After an outage its capacity ramps up linearly (slow start);
//! too many calls during the ramp overload it, and from then on it answers nothing. The caller passes in the
//! time, so the same model serves runs on sockets and in virtual time. All random numbers come from one
//! seed, and every call is recorded for the conformance checks.
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
