//! Local stacks, scripted days on sockets and measurements for linnetcart.
//!
//! A [`day`] is a script; a [`fleet`] is drawn from it and a seed; the [`rig`] plays it with real couriers in
//! processes of their own, stand-ins for their clients and destinations, and real sockets between them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baselines;
pub mod bench;
pub mod charts;
pub mod cli;
pub mod courier;
pub mod day;
pub mod decisions;
pub mod figures;
pub mod fleet;
pub mod floor;
pub mod receivers;
pub mod record;
pub mod relay;
pub mod report;
pub mod reporting;
pub mod rig;
pub mod sinks;
pub mod tail;
