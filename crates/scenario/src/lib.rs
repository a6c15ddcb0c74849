//! Scenarios, apart from whoever carries their bytes.
//!
//! A [`scenario`] is a document; a [`fleet`] is drawn from it and a seed; the [`runner`] plays everything of
//! it that is not a courier: clients, endpoints, whoever publishes the endpoint list, and the faults. It
//! holds no socket and no clock, so the same code stands around real couriers on sockets and around emulated
//! ones in virtual time.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod error;
pub mod fleet;
pub mod runner;
pub mod scenario;
mod units;

pub use error::ScenarioError;
