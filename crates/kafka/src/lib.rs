//! Framing and the subset of the Kafka protocol that linnetcart speaks, on both sides, free of I/O.
//!
//! Bytes go in through [`Frames`], whole frames come out. [`server`] reads requests and writes responses,
//! [`client`] the other way round. Every count in a frame is checked against the bytes that are there
//! ([`shape`]) before anything is allocated for it, so a hostile frame costs no more than its own length.
//!
//! It never keeps a connection's state and never decides what a record means.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod client;
pub mod codes;
mod frame;
mod load_report;
mod record;
pub mod server;
pub mod shape;
mod versions;

pub use frame::{FrameError, Frames};
pub use load_report::{LoadReport, TAG_CAPACITY_LEFT, TAG_RATE_LIMIT};
pub use record::Record;
pub use versions::{API_VERSIONS, FETCH, METADATA, PRODUCE};
