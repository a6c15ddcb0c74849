//! The courier with the Kafka front: it accepts messages from Kafka clients, delivers each to an endpoint of
//! its destination, and gives each exactly one final answer.
//!
//! [`core`] does no I/O: it takes bytes, clock readings and connection events, and returns bytes, connects,
//! closes and delivery events. It leaves every decision about messages to the library [`linnetcart`] and
//! carries out the actions that the library returns. [`shell`] does the I/O on a calloop event loop and makes
//! no decision about messages.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod cli;
pub mod control;
pub mod core;
pub mod counter_files;
pub use linnetcart_delivery_events as delivery_events;
mod log_writer;
pub mod settings;
pub mod shell;
pub mod snapshot;
mod time;
