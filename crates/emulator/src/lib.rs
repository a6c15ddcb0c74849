//! Runs scenarios as a discrete-event simulation in virtual time: hundreds of couriers with the same core as
//! in production, each on an emulated host with its own clocks, event loop and disk, connected by an emulated
//! network, and driven by the same scenario runner as on sockets.
//!
//! A run is deterministic: it has one event queue and one thread, all its random number generators are seeded
//! from the seed of the fleet, and it iterates only over ordered collections. [`EmulatedRun::digest`] shows
//! whether two runs were identical.
//! Nothing in this package reads a clock or opens a socket.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod connections;
pub mod disk;
mod error;
mod event_queue;
pub mod host;
pub mod model;
pub mod network;
mod run;
pub mod trace;

pub use error::EmulationError;
pub use run::{run, EmulatedRun, Options};
