//! Many non-blocking TCP connections and UDP sockets on one calloop loop.
//!
//! Shared by the shells of the edge and of the platform courier, and by the tools that stand in for clients
//! and endpoints. [`Net`] moves bytes and reports events; it never decides what they mean.
//!
//! Readiness is edge-triggered: what is not read, written or accepted in one [`Net::poll`] is remembered and
//! continued in the next, so that no connection can keep the loop from the others.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod connection;
mod connections;
mod datagrams;
mod event;
mod listeners;
mod net;
mod reactor;
mod reserved;

pub use event::Event;
pub use net::Net;
pub use reserved::Reserved;

/// Names a listener, connection or datagram socket of one [`Net`]; never used twice.
pub type Token = u64;
