//! Startup: configuration, journal, core and listener, in the order in which they depend on each other.

use super::environment::{read_config, Environment};
use super::journal::{wall_clock, JournalWriter};
use super::log::CoreLog;
use super::upstream_tokens::UpstreamTokens;
use super::{Shell, CLOCK_START};
use crate::config::Config;
use crate::core::Core;
use crate::records::Replay;
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart_journal::{JournalDirectory, JournalError, OpenedJournal};
use linnetcart_net::{Net, ReadLimits};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Instant;

/// Bytes that are read from a connection at once, and how often it is read in one poll. A client that floods
/// one connection must not delay the others.
const READ_BUFFER_BYTES: usize = 16 * 1024;
const READS_PER_POLL: usize = 2;
/// File descriptors that the event loop does not use for connections.
const RESERVED_FILE_DESCRIPTORS: usize = 16;

/// The journal of the previous process.
struct ReplayedJournal {
    /// The directory to which this process writes.
    directory: JournalDirectory,
    /// The state that the records add up to.
    replay: Replay,
}

/// Starts the courier: when this returns, it listens for clients.
pub(super) fn start(environment: Environment) -> anyhow::Result<Shell> {
    let mut net = Net::new(0).context("the event loop cannot be made")?;
    // First of all: a signal that arrives during startup is queued and does not kill the process.
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .context("signals cannot be caught")?;
    let config = read_config(&environment.config)?;
    let state = environment.state.display();
    let ReplayedJournal { directory, replay } = replay_journal(&environment.state, &config)
        .with_context(|| format!("the journal in {state} cannot be read; RELAY_STATE names the folder"))?;
    configure_limits(&mut net, &config);
    let listen = config.listen;
    let journal_capacity = config.limits.disk_bytes();
    // Both clocks are read together: time spent between the readings would shift every recorded time.
    let started_at = Instant::now();
    let wall = wall_clock();
    let core = Core::new(config, replay, CLOCK_START, wall);
    let journal = JournalWriter::begin(directory, journal_capacity, &core)
        .with_context(|| format!("the journal in {state} cannot be written; make room there"))?;
    let listener =
        net.listen(listen).with_context(|| format!("cannot listen on {listen}; RELAY_CONFIG names it"))?;
    tracing::info!(%listen, "ready");
    Ok(Shell {
        net,
        core,
        journal,
        log: CoreLog::default(),
        listener: listener.token,
        clients: BTreeSet::new(),
        upstream: UpstreamTokens::default(),
        started_at,
        environment,
        config_retry_at: None,
    })
}

fn configure_limits(net: &mut Net, config: &Config) {
    net.set_max_connections(config.limits.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS));
    net.set_read_limits(ReadLimits { buffer_bytes: READ_BUFFER_BYTES, reads_per_poll: READS_PER_POLL });
}

/// Opens the journal and replays the records that the previous process left.
fn replay_journal(state: &Path, config: &Config) -> Result<ReplayedJournal, JournalError> {
    let OpenedJournal { directory, records, damage } =
        JournalDirectory::open(state, config.limits.disk_bytes())?;
    for damage in &damage {
        tracing::error!(%damage, "journal damaged, all that can be read is answered for");
    }
    let settings = &config.settings;
    let replay = Replay::from_records(&records, &settings.class_names, &settings.zone_names);
    tracing::info!(
        pending = replay.pending.len(),
        unusable_records = replay.unusable_records,
        name = config.name,
        "journal replayed"
    );
    Ok(ReplayedJournal { directory, replay })
}
