//! Startup: configuration, journal, core and listener, in the order in which they depend on each other.
//!
//! A step that fails for a reason that may be over soon is tried again. The program exits only where the
//! configuration itself is wrong.

mod waiting;

use super::clocks::StartClocks;
use super::environment::{read_config, ConfigError, Environment};
use super::journal::JournalWriter;
use super::log::CoreLog;
use super::upstream_tokens::UpstreamTokens;
use super::{write_records, Shell, CLOCK_START};
use crate::config::Config;
use crate::core::Core;
use crate::records::{ClockReference, Replay};
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart_journal::{JournalDirectory, JournalError, OpenedJournal};
use linnetcart_net::{is_transient, retry_momentary, Net, ReadLimits};
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::Instant;
use waiting::{retry, Retries, Waited};

/// Bytes that are read from a connection at once, and how often it is read in one poll. A client that floods
/// one connection must not delay the others.
const READ_BUFFER_BYTES: usize = 16 * 1024;
const READS_PER_POLL: usize = 2;
/// File descriptors that the event loop does not use for connections.
const RESERVED_FILE_DESCRIPTORS: usize = 16;

/// The result of a startup.
pub(super) enum Startup {
    /// The courier listens for clients.
    Ready(Box<Shell>),
    /// A termination signal arrived before that.
    Terminated,
}

/// The journal of the previous process.
struct ReplayedJournal {
    /// The directory to which this process writes.
    directory: JournalDirectory,
    /// The state that the records add up to.
    replay: Replay,
}

/// Starts the courier: when this returns a shell, it listens for clients.
pub(super) fn start(environment: Environment) -> anyhow::Result<Startup> {
    let mut net = create_event_loop()?;
    let mut waited = Waited::default();
    let path = &environment.config;
    let read = |_: &mut Net| read_config(path);
    let Retries::Done(config) = retry(&mut net, &mut waited, read, ConfigError::is_transient)? else {
        return Ok(Startup::Terminated);
    };
    let clocks = StartClocks::read();
    let state = environment.state.display();
    let replay = |_: &mut Net| replay_journal(&environment.state, &config, clocks.reference);
    let replayed = retry(&mut net, &mut waited, replay, JournalError::is_transient)
        .with_context(|| format!("the journal in {state} cannot be read; RELAY_STATE names the folder"))?;
    let Retries::Done(ReplayedJournal { directory, replay }) = replayed else {
        return Ok(Startup::Terminated);
    };
    configure_limits(&mut net, &config);
    let listen = config.listen;
    let mut journal = JournalWriter::new(directory, config.limits.disk_bytes(), clocks.reference);
    let mut core = Core::new(config, replay, CLOCK_START, clocks.wall);
    // A new file is begun before the first client connects.
    write_records(&mut core, &mut journal, clocks.started_at);
    let listened = retry(&mut net, &mut waited, |net| net.listen(listen), is_transient)
        .with_context(|| format!("cannot listen on {listen}; RELAY_CONFIG names it"))?;
    let Retries::Done(listener) = listened else { return Ok(Startup::Terminated) };
    tracing::info!(%listen, "ready");
    Ok(Startup::Ready(Box::new(Shell {
        net,
        core,
        journal,
        log: CoreLog::default(),
        listener: listener.token,
        clients: BTreeSet::new(),
        upstream: UpstreamTokens::default(),
        started_at: clocks.started_at,
        environment,
        config_retry_at: waited.reload_requested.then_some(CLOCK_START),
    })))
}

/// Creates the event loop. Signals that arrive from then on are queued and do not kill the process.
fn create_event_loop() -> anyhow::Result<Net> {
    let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let create = || -> io::Result<Net> {
        let mut net = Net::new(0)?;
        net.watch_signals(&signals)?;
        Ok(net)
    };
    retry_momentary(create).context("the event loop cannot be made")
}

fn configure_limits(net: &mut Net, config: &Config) {
    net.set_max_connections(config.limits.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS));
    net.set_read_limits(ReadLimits { buffer_bytes: READ_BUFFER_BYTES, reads_per_poll: READS_PER_POLL });
}

/// Opens the journal and replays the records that the previous process left.
fn replay_journal(
    state: &Path,
    config: &Config,
    clock: ClockReference,
) -> Result<ReplayedJournal, JournalError> {
    let began = Instant::now();
    let OpenedJournal { directory, records, damage } =
        JournalDirectory::open(state, config.limits.disk_bytes())?;
    for damage in &damage {
        tracing::error!(%damage, "journal damaged, all that can be read is answered for");
    }
    let settings = &config.settings;
    let replay = Replay::from_records(&records, &settings.class_names, &settings.zone_names, clock);
    tracing::info!(
        pending = replay.pending.len(),
        unusable_records = replay.unusable_records,
        clock_shift_ms = replay.clock_shift / 1_000_000,
        took_ms = began.elapsed().as_millis() as u64,
        name = config.name,
        "journal replayed"
    );
    Ok(ReplayedJournal { directory, replay })
}
