//! Tests of the whole core: scripted bytes from clients, endpoints and discovery, in virtual time.

mod admission;
mod attempts;
mod connections;
mod contested_ids;
mod decisions;
mod discovery;
pub mod fixtures;
mod harness;
mod notifications;
mod observations;
mod recovery;
mod shutdown;
mod unrecorded;
