//! Moves bytes between sockets, journal and core, and gives it the clock. It decides nothing.

mod environment;
mod journal;
mod log;

pub use environment::Environment;

use crate::config::Config;
use crate::core::{ConnectionId, Core, JournalState, Output};
use crate::records::Replay;
use anyhow::Context;
use calloop::signals::Signal;
use environment::read_config;
use journal::{wall_clock, JournalWriter, WriteOutcome};
use linnetcart::Time;
use linnetcart_journal::{JournalDirectory, JournalError, OpenedJournal};
use linnetcart_net::{Event, Net, ReadLimits, Token};
use log::CoreLog;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

const MILLISECOND: Time = 1_000_000;
/// The clock does not begin at zero, so that no span before the start is below it.
const CLOCK_START: Time = 3_600_000 * MILLISECOND;
/// The longest wait for something to happen.
const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// What is read from one connection in one poll, so many bytes so many times: a flood on one must not keep the
/// others waiting.
const READ_BUFFER_BYTES: usize = 16 * 1024;
const READS_PER_POLL: usize = 2;
/// File descriptors that are not the event loop's connections.
const RESERVED_FILE_DESCRIPTORS: usize = 16;
/// A journal that cannot be written for so long ends the program.
const UNWRITABLE_TIMEOUT: Time = 5000 * MILLISECOND;
/// How long the last answers may take to leave.
const FLUSH_TIMEOUT: Time = 100 * MILLISECOND;
const FLUSH_POLL_WAIT: Duration = Duration::from_millis(10);
/// A configuration that cannot be read is being replaced: it is read again this much later.
const CONFIG_RETRY_INTERVAL: Time = 200 * MILLISECOND;

/// Why the configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReloadCause {
    /// A signal asks for it.
    Signal,
    /// It could not be read before, which has been logged.
    Retry,
}

/// Whether outputs may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outputs {
    /// What they depend on is written.
    Released,
    /// They have to stay until it is written.
    Withheld,
}

struct Shell {
    net: Net,
    core: Core,
    journal: JournalWriter,
    log: CoreLog,
    listener: Token,
    clients: BTreeSet<Token>,
    upstream: UpstreamTokens,
    started_at: Instant,
    environment: Environment,
    config_retry_at: Option<Time>,
}

/// Connections to endpoints and discovery under the core's ids and the event loop's tokens.
#[derive(Debug, Default)]
struct UpstreamTokens {
    tokens: BTreeMap<ConnectionId, Token>,
    ids: BTreeMap<Token, ConnectionId>,
}

impl UpstreamTokens {
    fn insert(&mut self, id: ConnectionId, token: Token) {
        self.tokens.insert(id, token);
        self.ids.insert(token, id);
    }

    fn id(&self, token: Token) -> Option<ConnectionId> {
        self.ids.get(&token).copied()
    }

    fn token(&self, id: ConnectionId) -> Option<Token> {
        self.tokens.get(&id).copied()
    }

    fn remove_id(&mut self, id: ConnectionId) -> Option<Token> {
        let token = self.tokens.remove(&id)?;
        self.ids.remove(&token);
        Some(token)
    }

    fn remove_token(&mut self, token: Token) {
        if let Some(id) = self.ids.remove(&token) {
            self.tokens.remove(&id);
        }
    }
}

/// Runs until a signal ends it.
pub fn run(environment: Environment) -> anyhow::Result<()> {
    let mut net = Net::new(0).context("the event loop cannot be made")?;
    // Before all that takes time: a signal that comes meanwhile waits, and does not end the process.
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .context("signals cannot be caught")?;
    let config = read_config(&environment.config)?;
    let state = environment.state.display();
    let (directory, replay) = replay_journal(&environment.state, &config)
        .with_context(|| format!("the journal in {state} cannot be read; RELAY_STATE names the folder"))?;
    net.set_max_connections(config.limits.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS));
    net.set_read_limits(ReadLimits { buffer_bytes: READ_BUFFER_BYTES, reads_per_poll: READS_PER_POLL });
    let listen = config.listen;
    let journal_capacity = config.limits.disk_bytes();
    // Both clocks at one moment, before anything that takes time.
    let started_at = Instant::now();
    let wall = wall_clock();
    let core = Core::new(config, replay, CLOCK_START, wall);
    let journal = JournalWriter::begin(directory, journal_capacity, &core)
        .with_context(|| format!("the journal in {state} cannot be written; make room there"))?;
    let listener =
        net.listen(listen).with_context(|| format!("cannot listen on {listen}; RELAY_CONFIG names it"))?;
    tracing::info!(%listen, "ready");
    let mut shell = Shell {
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
    };
    shell.serve()
}

/// Opens the journal, and reads what the process before has left.
fn replay_journal(state: &Path, config: &Config) -> Result<(JournalDirectory, Replay), JournalError> {
    let OpenedJournal { directory, records, damage } = JournalDirectory::open(state)?;
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
    Ok((directory, replay))
}

impl Shell {
    fn now(&self) -> Time {
        clock(self.started_at)
    }

    fn serve(&mut self) -> anyhow::Result<()> {
        let mut events = Vec::new();
        while !self.core.is_ended() {
            let next_wake = self.core.next_wake().min(self.config_retry_at.unwrap_or(Time::MAX));
            let wait = Duration::from_nanos(next_wake.saturating_sub(self.now())).min(MAX_POLL_WAIT);
            self.net.poll(wait, &mut events).context("the event loop failed")?;
            let now = self.now();
            self.core.advance_clock(now);
            for event in events.drain(..) {
                self.handle(event);
            }
            if self.config_retry_at.is_some_and(|retry_at| retry_at <= now) {
                self.reload_config(ReloadCause::Retry);
            }
            self.core.process(now);
            if self.write_records()? == Outputs::Released {
                self.carry_out();
            }
            self.log.update(&mut self.core, self.journal.size(), now);
        }
        self.flush()?;
        tracing::info!("shutdown complete");
        Ok(())
    }

    /// Answers that the system did not take at once: a client that reads has them before the process ends.
    fn flush(&mut self) -> anyhow::Result<()> {
        let mut events = Vec::new();
        let until = self.now() + FLUSH_TIMEOUT;
        while self.net.has_unsent() && self.now() < until {
            self.net.poll(FLUSH_POLL_WAIT, &mut events).context("the event loop failed")?;
            events.clear();
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { token, .. } => {
                self.clients.insert(token);
                self.core.client_opened(token);
            }
            Event::Connected(token) => {
                if let Some(id) = self.upstream.id(token) {
                    self.core.upstream_connected(id);
                }
            }
            Event::ConnectFailed(token) => {
                if let Some(id) = self.upstream.id(token) {
                    self.core.upstream_connect_failed(id);
                }
                self.upstream.remove_token(token);
            }
            Event::Data(token, bytes) => match self.upstream.id(token) {
                Some(id) => self.core.upstream_received(id, &bytes),
                None => self.core.client_received(token, &bytes),
            },
            Event::HalfClosed(token) if self.upstream.id(token).is_some() => {
                let written = self.net.written_bytes(token);
                self.net.close(token);
                self.closed(token, written);
            }
            Event::HalfClosed(token) => {
                // What was asked before is answered in this iteration, and leaves before the connection ends.
                self.core.client_half_closed(token);
            }
            Event::Closed { token, written } => self.closed(token, written),
            Event::Signal(signal) if signal == Signal::SIGHUP as i32 => {
                self.reload_config(ReloadCause::Signal);
            }
            Event::Signal(_) => {
                tracing::info!("shutdown started");
                self.core.begin_shutdown();
            }
            Event::Datagram(..) => {}
        }
    }

    fn closed(&mut self, token: Token, written: u64) {
        if let Some(id) = self.upstream.id(token) {
            self.core.upstream_disconnected(id, written);
        }
        if self.clients.remove(&token) {
            self.core.client_closed(token);
        }
        self.upstream.remove_token(token);
    }

    /// The configuration was replaced. What cannot be read leaves the old one in force and is read again later.
    fn reload_config(&mut self, cause: ReloadCause) {
        self.config_retry_at = None;
        match read_config(&self.environment.config) {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                self.core.move_discovery(config.discovery);
            }
            Err(error) => {
                if cause == ReloadCause::Signal {
                    let error = format!("{error:#}");
                    tracing::error!(error, "configuration unreadable, previous one stays in force");
                }
                self.config_retry_at = Some(self.now() + CONFIG_RETRY_INTERVAL);
            }
        }
    }

    /// Writes what this iteration's outputs depend on.
    fn write_records(&mut self) -> anyhow::Result<Outputs> {
        let records = self.core.take_records();
        let started_at = self.started_at;
        match self.journal.write(&records, &self.core, || clock(started_at)) {
            WriteOutcome::Written => Ok(Outputs::Released),
            WriteOutcome::Replaced => {
                self.core.set_journal_state(JournalState::Writable);
                Ok(Outputs::Released)
            }
            WriteOutcome::Failed { error, failing_for } => {
                if failing_for > UNWRITABLE_TIMEOUT {
                    let state = self.environment.state.display();
                    return Err(error)
                        .with_context(|| format!("the journal in {state} cannot be written; make room"));
                }
                tracing::error!(%error, "journal unwritable, nothing is accepted or sent");
                self.core.set_journal_state(JournalState::Unwritable);
                Ok(Outputs::Withheld)
            }
        }
    }

    fn carry_out(&mut self) {
        for output in self.core.take_outputs() {
            match output {
                Output::SendToClient(client, bytes) => self.net.send(client, &bytes),
                Output::CloseClient(client) => {
                    self.clients.remove(&client);
                    self.net.close_after_flush(client);
                }
                Output::Connect(id, address) => {
                    let token = self.net.connect(address);
                    self.upstream.insert(id, token);
                }
                Output::SendUpstream(id, bytes) => {
                    if let Some(token) = self.upstream.token(id) {
                        self.net.send(token, &bytes);
                    }
                }
                Output::CloseUpstream(id) => {
                    if let Some(token) = self.upstream.remove_id(id) {
                        self.net.close(token);
                    }
                }
                Output::ShutdownWrite(id) => {
                    if let Some(token) = self.upstream.token(id) {
                        self.net.shutdown_write(token);
                    }
                }
                Output::StopListening => self.net.stop_listening(self.listener),
            }
        }
    }
}

/// The courier's clock.
fn clock(started_at: Instant) -> Time {
    CLOCK_START + started_at.elapsed().as_nanos() as Time
}
