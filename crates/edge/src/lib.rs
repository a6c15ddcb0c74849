//! The courier program: takes messages from Kafka clients, delivers each to an endpoint of its destination
//! and gives it its one final answer.
//!
//! [`core`] is free of I/O: bytes, clock readings and connection events go in; bytes, connects, closes and
//! delivery events come out. It hands every decision that the library [`linnetcart`] makes to that library,
//! and carries out what comes back. [`shell`] moves the bytes on a calloop loop and decides nothing.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod cli;
pub mod control;
pub mod core;
pub mod counter_files;
pub use linnetcart_delivery_events as delivery_events;
pub mod settings;
pub mod shell;
pub mod snapshot;
mod time;
