//! Steps of the program's start: listeners, the start options of the core, and the saved snapshot.

use super::{wall_clock, HostPort, Options, CLOCK_START};
use crate::control::Program;
use crate::core::StartOptions;
use crate::snapshot::{self, LoadedSnapshot};
use anyhow::Context;
use linnetcart_kafka::server::Broker;
use linnetcart_net::{retry_transient, BoundSocket, Net};
use std::net::SocketAddr;
use std::path::Path;

/// Listens on an address. The error names the command-line option that sets it.
pub(super) fn listen(net: &mut Net, address: SocketAddr, option: &str) -> anyhow::Result<BoundSocket> {
    retry_transient(|| net.listen(address))
        .with_context(|| format!("cannot listen on {address}; choose another with {option}"))
}

/// Returns the start options of a core that listens for clients on `kafka`.
pub(super) fn start_options(options: &Options, kafka: SocketAddr) -> StartOptions {
    let run = wall_clock();
    let seed = options.seed.unwrap_or(run ^ u64::from(std::process::id()).rotate_left(40));
    let bound = || HostPort { host: kafka.ip().to_string(), port: kafka.port() };
    let HostPort { host, port } = options.advertise.clone().unwrap_or_else(bound);
    StartOptions {
        seed,
        now: CLOCK_START,
        broker: Broker { id: 0, host, port },
        run,
        first_number: 1,
        memory: options.memory,
        policy: options.policy,
    }
}

/// Restores the program from the snapshot of a state directory, if there is one. A damaged snapshot is
/// renamed and reported.
pub(super) fn load_snapshot(program: &mut Program, dir: &Path) -> anyhow::Result<()> {
    let loaded = retry_transient(|| snapshot::load(dir))
        .with_context(|| format!("{} cannot be used; see --state-dir", dir.display()))?;
    match loaded {
        LoadedSnapshot::None => {}
        LoadedSnapshot::Good(snapshot) => program.restore(*snapshot),
        LoadedSnapshot::Damaged { error, moved_to } => {
            let moved_to = moved_to.display();
            tracing::error!(%error, %moved_to, "damaged snapshot set aside; PUT /settings and /list again");
            program.state_error = Some(format!("the snapshot was set aside as {moved_to}: {error}"));
        }
    }
    program.has_state_dir = true;
    Ok(())
}
