//! `relay` and `edge`: the child processes that other subcommands start.

use super::common::Outcome;
use crate::{baselines, courier_process, decision_record, relay};
use linnetcart_edge::core::PolicyFactory;
use rustix::process::{set_parent_process_death_signal, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, clap::Args)]
pub(super) struct RelayArgs {
    /// Addresses of the endpoints, in the order of the Kafka partitions that are forwarded to them
    endpoints: Vec<SocketAddr>,
}

#[derive(Debug, clap::Args)]
pub(super) struct EdgeArgs {
    /// Name of the decision policy
    #[arg(long, default_value = "library")]
    policy: String,
    #[command(flatten)]
    edge: linnetcart_edge::cli::Args,
}

pub(super) fn run_relay(args: &RelayArgs) -> anyhow::Result<Outcome> {
    prepare_child_process();
    relay::run(&args.endpoints)?;
    Ok(Outcome::Passed)
}

pub(super) fn run_edge(args: EdgeArgs) -> anyhow::Result<Outcome> {
    prepare_child_process();
    let Some(policy) = find_policy(&args.policy)? else {
        eprintln!("unknown policy `{}`; the policies are {}", args.policy, baselines::NAMES.join(", "));
        return Ok(Outcome::WrongUsage);
    };
    Ok(Outcome::Courier(linnetcart_edge::cli::run_with(args.edge, policy)))
}

/// Returns the policy of this name, or `None` if there is no such policy. A name that begins with
/// [`decision_record::POLICY_PREFIX`] is the decision library, whose decision cycles are recorded in the
/// folder after the prefix.
fn find_policy(name: &str) -> anyhow::Result<Option<PolicyFactory>> {
    let Some(folder) = name.strip_prefix(decision_record::POLICY_PREFIX) else {
        return Ok(baselines::policy(name));
    };
    decision_record::set_folder(Path::new(folder))?;
    Ok(Some(decision_record::recording_policy))
}

/// Lets the kernel kill this process when its parent exits (`PR_SET_PDEATHSIG`), and pins it to the CPU core
/// in the variable [`courier_process::CORE_VARIABLE`], if the parent set it.
fn prepare_child_process() {
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
    let Ok(core) = std::env::var(courier_process::CORE_VARIABLE) else { return };
    if let Ok(core) = core.parse() {
        let mut cores = CpuSet::new();
        cores.set(core);
        let _ = sched_setaffinity(None, &cores);
    }
}
