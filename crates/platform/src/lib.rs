//! The courier on the platform's own protocol.
//!
//! [`core`] is free of I/O: bytes, clock readings and ends of connections go in; bytes, connects, closes and records
//! for the journal come out. It leaves every decision on messages to the library [`linnetcart`] and carries out what
//! comes back. [`shell`] moves bytes and files and decides nothing. [`config`] reads the files of the platform,
//! [`records`] gives the journal's bytes their meaning.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod config;
pub mod core;
pub mod records;
pub mod shell;
