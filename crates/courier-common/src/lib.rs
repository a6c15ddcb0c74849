//! Code that both fronts of the courier share: the Kafka front (`linnetcart-edge`) and the platform front
//! (`linnetcart-platform`).
//!
//! The crate performs no I/O and reads no clock: callers pass clock times in.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

pub mod attribution;
pub mod idle_reuse;
mod limit_log;
pub mod memory_budget;
mod message_numbers;
mod process_memory;

pub use limit_log::log_limit_change;
pub use message_numbers::MessageNumbers;
pub use process_memory::ProcessMemory;
