//! Local stacks, scripted days on sockets and measurements for linnetcart.
//!
//! The [`rig`] plays a day with real couriers in processes of their own, the stage of `linnetcart-scenario` around
//! them, and real sockets between them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baselines;
pub mod bench;
pub mod charts;
pub mod cli;
pub mod courier;
pub mod decisions;
pub mod emulated;
pub mod experiment;
pub mod faithful;
pub mod figures;
pub mod floor;
pub mod hunt;
pub mod parallel;
pub mod receivers;
pub mod record;
pub mod relay;
pub mod report;
pub mod reporting;
pub mod rig;
pub mod sinks;
pub mod tail;
