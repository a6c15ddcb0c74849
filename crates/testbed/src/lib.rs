//! Local stacks, scenarios on sockets and in virtual time, and measurements for linnetcart.
//!
//! [`socket_run`] runs a scenario with courier processes, connected over real sockets to the scenario runner
//! of `linnetcart-scenario`. [`emulated_run`] runs the same scenario in virtual time. The other modules use
//! these two to search for faults, to compare and to measure; [`cli`] is their command line. Nothing here is
//! part of the product or runs in production.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baselines;
pub mod bench_scenario;
pub mod charts;
pub mod cli;
pub mod courier_process;
pub mod decision_cost;
pub mod decision_record;
pub mod emulated_run;
pub mod experiment;
pub mod fault_search;
pub mod fidelity_check;
pub mod listen;
pub mod message_receivers;
pub mod parallel;
mod protocol;
pub mod relay;
pub mod report_cost;
pub mod report_receiver;
pub mod run_report;
pub mod socket_run;
pub mod statistics;
pub mod throughput_baseline;
