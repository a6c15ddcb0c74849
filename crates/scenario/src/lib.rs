//! Scenarios and their execution, independent of the transport that carries the bytes.
//!
//! A [`scenario`] is a document; a [`fleet`] is drawn from it and a seed; the [`runner`] plays everything
//! that is not a courier: clients, endpoints, the publisher of the endpoint list, and the faults. The runner
//! holds no socket and no clock, so the same code surrounds real couriers on sockets and emulated ones in
//! virtual time.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
pub mod fleet;
pub mod runner;
pub mod scenario;
mod units;

pub use error::ScenarioError;
