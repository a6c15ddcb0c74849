//! The courier for the platform's own protocol on HTTP/1.1.
//!
//! [`core`] performs no I/O (sans-I/O): its inputs are bytes, clock readings and connection events; its
//! outputs are bytes, connects, closes and journal records. It leaves every decision on messages to the
//! library [`linnetcart`] and executes the actions that the library returns. [`shell`] performs the I/O and
//! decides nothing. [`config`] reads the files that the platform provides. [`records`] defines the meaning of
//! the journal's bytes.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod config;
pub mod core;
pub mod records;
pub mod shell;
