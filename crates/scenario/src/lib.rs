//! Scenarios and their execution, independent of the transport that carries the bytes.
//!
//! A [`scenario`] is a document; a [`fleet`] is drawn from it and a seed; the [`runner`] simulates everything
//! around the couriers: clients, endpoints, the publisher of the endpoint list, and the faults. The runner
//! uses neither sockets nor clocks, so the same code runs with courier processes on sockets and with emulated
//! couriers in virtual time.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
pub mod fleet;
pub mod runner;
pub mod scenario;
mod units;

pub use error::ScenarioError;
