//! Startup: configuration, journal, core and listener, in the order in which they depend on each other.
//!
//! A step that fails with a transient error is retried. The program exits only if the configuration is
//! invalid, or the state directory or the listen address cannot be used.

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
use linnetcart_net::{is_transient, retry_transient, Net, ReadLimits};
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::time::Instant;
use waiting::{retry, RetryOutcome, StartupSignals};

/// Maximum number of bytes of one read. With [`READS_PER_POLL`], one poll reads at most 32 KiB from a
/// connection, so that a client that floods one connection does not delay the others.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads from one connection in one poll.
const READS_PER_POLL: usize = 2;
/// Maximum number of bytes that are read from all connections before they are handled.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Number of file descriptors that are not available to connections: those of the event loop, the listener,
/// the journal and the configuration.
const RESERVED_FILE_DESCRIPTORS: usize = 16;

/// The outcome of the startup.
pub(super) enum Startup {
    /// The courier listens for clients.
    Ready(Box<Shell>),
    /// A termination signal arrived before the courier listened.
    Terminated,
}

/// The replayed journal of the previous process.
struct ReplayedJournal {
    /// The journal's directory, for this process's records.
    directory: JournalDirectory,
    /// The state that the records lead to.
    replay: Replay,
}

/// Starts the courier. When this returns [`Startup::Ready`], the courier listens for clients.
pub(super) fn start(environment: Environment) -> anyhow::Result<Startup> {
    let mut net = create_event_loop()?;
    let mut signals = StartupSignals::default();
    let path = &environment.config;
    let read = |_: &mut Net| read_config(path);
    let RetryOutcome::Done(config) = retry(&mut net, &mut signals, read, ConfigError::is_transient)? else {
        return Ok(Startup::Terminated);
    };
    let clocks = StartClocks::read();
    let state = environment.state.display();
    let replay = |_: &mut Net| replay_journal(&environment.state, &config, clocks.reference);
    let replayed = retry(&mut net, &mut signals, replay, JournalError::is_transient)
        .with_context(|| format!("the journal in {state} cannot be read (directory from RELAY_STATE)"))?;
    let RetryOutcome::Done(ReplayedJournal { directory, replay }) = replayed else {
        return Ok(Startup::Terminated);
    };
    configure_limits(&mut net, &config);
    let listen = config.listen;
    let mut journal = JournalWriter::new(directory, &config.limits, clocks.reference);
    let mut core = Core::new(config, replay, CLOCK_START, clocks.wall);
    // The first write creates a new file, before the first client connects.
    write_records(&mut core, &mut journal, clocks.started_at);
    let listened = retry(&mut net, &mut signals, |net| net.listen(listen), is_transient)
        .with_context(|| format!("cannot listen on {listen} (`listen` in the file of RELAY_CONFIG)"))?;
    let RetryOutcome::Done(listener) = listened else { return Ok(Startup::Terminated) };
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
        unread_since: None,
        config_retry_at: signals.reload_requested.then_some(CLOCK_START),
    })))
}

/// Creates the event loop. From then on, signals are reported as events and do not kill the process.
fn create_event_loop() -> anyhow::Result<Net> {
    let watched = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let create = || -> io::Result<Net> {
        let mut net = Net::new(0)?;
        net.watch_signals(&watched)?;
        Ok(net)
    };
    retry_transient(create).context("the event loop cannot be created")
}

fn configure_limits(net: &mut Net, config: &Config) {
    net.set_max_connections(config.limits.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS));
    let batch_bytes = config.limits.memory_budget().iteration / 2;
    net.set_read_limits(ReadLimits {
        buffer_bytes: READ_BUFFER_BYTES,
        reads_per_poll: READS_PER_POLL,
        batch_bytes: batch_bytes.min(MAX_BATCH_BYTES),
    });
}

/// Opens the journal and replays the records that the previous process left.
fn replay_journal(
    state: &Path,
    config: &Config,
    clock: ClockReference,
) -> Result<ReplayedJournal, JournalError> {
    let started_at = Instant::now();
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
        took_ms = started_at.elapsed().as_millis() as u64,
        name = config.name,
        "journal replayed"
    );
    Ok(ReplayedJournal { directory, replay })
}
