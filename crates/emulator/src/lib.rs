//! Scenarios in virtual time: the same core that runs on sockets, by the hundreds, each on an emulated host
//! with its own clock, event loop and disk, on an emulated network, driven by the same scenario runner as on
//! sockets.
//!
//! One event queue, one thread, randomness from the seed and ordered iteration everywhere: a run repeats bit
//! for bit, and [`EmulatedRun::digest`] says whether it did. Nothing here reads a clock or opens a socket.
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
