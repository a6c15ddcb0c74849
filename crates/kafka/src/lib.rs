//! Framing and the subset of the Kafka protocol that linnetcart uses, for clients and servers, without I/O.
//!
//! [`Frames`] splits received bytes into complete frames. [`server`] reads requests and writes responses;
//! [`client`] writes requests and reads responses. Every count in a frame is checked against the remaining
//! bytes ([`shape`]) before memory is allocated for it, so that the memory for a hostile frame is bounded by
//! its length.
//!
//! The crate owns no connection state and never interprets the key, value or headers of a record.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod client;
pub mod codes;
mod frame;
mod load_report;
mod record;
pub mod server;
pub mod shape;
mod topic_name;
mod versions;

pub use frame::{FrameError, Frames};
pub use load_report::{LoadReport, TAG_CAPACITY_LEFT, TAG_RATE_LIMIT};
pub use record::{Record, RecordHeader};
pub use versions::{VersionRange, API_VERSIONS, FETCH, METADATA, PRODUCE};
