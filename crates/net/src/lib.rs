//! Many non-blocking TCP connections and UDP sockets on one calloop event loop.
//!
//! The crate is shared by the shells of the edge and of the platform courier, and by the tools that simulate
//! clients and endpoints. [`Net`] moves bytes and reports events; it never interprets the bytes.
//!
//! Readiness is edge-triggered (`EPOLLET`): the system reports new input or free buffer space once. Each
//! [`Net::poll`] does a bounded amount of work per socket, so that no connection can starve the others, and
//! the next poll continues with the reads, writes and accepts that are left.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod connection;
mod connections;
mod datagrams;
mod event;
mod listeners;
mod net;
mod pending_reads;
mod reactor;
mod reserved;
mod retry;
mod socket;
mod system_error;

pub use event::Event;
pub use net::{Net, ReadLimits};
pub use reserved::Reserved;
pub use retry::{retry_transient, RETRY_PAUSE};
pub use socket::BoundSocket;
pub use system_error::{is_transient, ConnectFailure};

/// Identifies a listener, connection or datagram socket of one [`Net`]; a value is never reused.
pub type Token = u64;
