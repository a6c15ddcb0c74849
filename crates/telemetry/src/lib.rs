//! Reports a courier's metrics to Graphite and collectd.
//!
//! [`Telemetry`] consumes the courier's delivery events and clock readings, and returns actions for its
//! owner; it never accesses a socket, file or clock. Counters are monotonic at the receivers, across restarts
//! and crashes as well: the counter log is a write-ahead log, and a report's counts are sent only after the
//! log has been synced to disk. Points that Graphite does not accept in time are dropped from a bounded send
//! buffer, the oldest first, and the dropped points are counted.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod collectd;
pub mod connection;
pub mod counts;
pub mod graphite;
pub mod host;
pub mod names;
pub mod series;
pub mod settings;
pub mod stream;
pub mod timestamps;

mod classes;
mod counter_sync;
mod counters;
mod destination_names;
mod host_listener;
mod interface;
mod latency;
mod limits;
mod log_event;
mod notifications;
mod points;
mod receivers;
mod recording;
mod report;
mod schedule;
mod selection;
mod telemetry;
mod time;

pub use interface::{
    CourierInfo, CurrentState, ListedEndpoint, NamedClass, Output, RestoredState, Status, SyncError,
};
pub use log_event::LogEvent;
pub use telemetry::Telemetry;
