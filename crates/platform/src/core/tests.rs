//! The core against scripted bytes in virtual time.

mod admission;
mod attempts;
mod connections;
mod decisions;
mod discovery;
pub mod fixtures;
mod harness;
mod notifications;
mod observations;
mod recovery;
mod shutdown;
mod unrecorded;
