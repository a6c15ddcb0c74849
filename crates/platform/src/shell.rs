//! The shell of the platform courier: its event loop performs the I/O for the [`core`](crate::core) and reads
//! the clock. It decides nothing.

mod clocks;
mod environment;
mod journal;
mod log;
mod startup;
mod upstream_tokens;

pub use environment::Environment;

use crate::core::{ConnectionId, Core, Output, MILLISECOND};
use calloop::signals::Signal;
use environment::read_config;
use journal::{JournalWriter, WriteOutcome};
use linnetcart::Time;
use linnetcart_net::{Event, Net, Token};
use log::{log_statistics, CoreLog};
use startup::Startup;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use upstream_tokens::UpstreamTokens;

/// Reading of the courier's clock at the start of the process: 1 h, in nanoseconds. It is not zero, so that
/// times before the start can be represented.
const CLOCK_START: Time = 3_600_000 * MILLISECOND;
/// Maximum time that a poll waits for an event.
const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of batches that one iteration reads after its poll. The next one reads the others.
const MAX_BATCHES: usize = 8;
/// Maximum time for sending the last answers before the process exits, in nanoseconds.
const FLUSH_TIMEOUT: Time = 100 * MILLISECOND;
/// Maximum time that a poll waits for an event while the last answers are sent.
const FLUSH_POLL_WAIT: Duration = Duration::from_millis(10);
/// Time until an unreadable configuration, which is probably being replaced, is read again; in nanoseconds.
const CONFIG_RETRY_INTERVAL: Time = 200 * MILLISECOND;

/// Why the configuration is read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReloadCause {
    /// A signal requested it.
    Signal,
    /// The previous read failed. That failure has been logged; a failure of this retry is not logged.
    Retry,
}

struct Shell {
    net: Net,
    core: Core,
    journal: JournalWriter,
    log: CoreLog,
    listener: Token,
    /// The open connections of clients.
    clients: BTreeSet<Token>,
    upstream: UpstreamTokens,
    /// The instant at which the courier's clock reads [`CLOCK_START`].
    started_at: Instant,
    environment: Environment,
    /// The earliest arrival of input that the last poll has left unread; `None` if it has read all.
    unread_since: Option<Time>,
    /// When the configuration is read again after a failure, on the courier's clock.
    config_retry_at: Option<Time>,
}

/// Runs the courier until `SIGTERM` or `SIGINT` ends it.
///
/// # Errors
///
/// If the configuration is invalid, or the state directory or the listen address cannot be used.
pub fn run(environment: Environment) -> anyhow::Result<()> {
    match startup::start(environment)? {
        Startup::Ready(mut shell) => shell.serve(),
        Startup::Terminated => tracing::info!("terminated during startup"),
    }
    Ok(())
}

impl Shell {
    fn now(&self) -> Time {
        clock(self.started_at)
    }

    /// Returns when the last poll began to read.
    fn input_read_at(&self) -> Time {
        CLOCK_START + self.net.last_read_at().saturating_duration_since(self.started_at).as_nanos() as Time
    }

    fn serve(&mut self) {
        let mut events = Vec::new();
        while !self.core.is_ended() {
            let config_retry_at = self.config_retry_at.unwrap_or(Time::MAX);
            let next_wake = self.core.next_wake().min(self.journal.next_wake()).min(config_retry_at);
            let wait = Duration::from_nanos(next_wake.saturating_sub(self.now())).min(MAX_POLL_WAIT);
            let previous_read_at = self.input_read_at();
            let input_since = self.unread_since.unwrap_or(previous_read_at);
            self.net.poll(wait, &mut events);
            let now = self.now();
            self.core.advance_clock(now);
            self.core.inputs_arrived_since(input_since);
            self.handle_input(&mut events);
            self.unread_since = self.net.has_unread().then_some(input_since);
            if self.config_retry_at.is_some_and(|retry_at| retry_at <= now) {
                self.reload_config(ReloadCause::Retry);
            }
            self.core.process(now);
            write_records(&mut self.core, &mut self.journal, self.started_at);
            self.core.recheck_attempts(self.input_read_at(), self.now());
            let written_to = self.execute_outputs();
            self.take_back_unwritten(&written_to);
            self.log.update(&mut self.core, self.journal.size(), now);
        }
        self.flush();
        log_statistics(&self.core, self.journal.size());
        tracing::info!("shutdown complete");
    }

    /// Handles the events of a poll, and what that has left to be read, until requests have to be processed to free
    /// their memory or the iteration has read its share.
    fn handle_input(&mut self, events: &mut Vec<Event>) {
        for _ in 0..MAX_BATCHES {
            for event in events.drain(..) {
                self.handle_event(event);
            }
            if !self.net.has_unread() || self.core.must_process() {
                return;
            }
            self.net.read_more(events);
        }
        for event in events.drain(..) {
            self.handle_event(event);
        }
    }

    /// Waits until the last answers are sent, at most [`FLUSH_TIMEOUT`]. Bytes that are still queued when the
    /// process exits do not reach their clients.
    fn flush(&mut self) {
        // A request that is read now would not be answered.
        for &client in &self.clients {
            self.net.pause_reads(client);
        }
        let mut events = Vec::new();
        let until = self.now() + FLUSH_TIMEOUT;
        while self.net.has_unsent() && self.now() < until {
            self.net.poll(FLUSH_POLL_WAIT, &mut events);
            events.clear();
        }
    }

    fn handle_event(&mut self, event: Event) {
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
            Event::ConnectFailed { token, failure } => {
                if let Some(id) = self.upstream.id(token) {
                    self.core.upstream_connect_failed(id, failure);
                }
                self.upstream.remove_token(token);
            }
            Event::Data { token, bytes, written } => match self.upstream.id(token) {
                Some(id) => self.core.upstream_received(id, &bytes, written),
                None => self.core.client_received(token, &bytes),
            },
            Event::HalfClosed(token) => self.handle_half_closed(token),
            Event::Closed { token, written } => self.handle_closed(token, written),
            Event::Signal(signal) => self.handle_signal(signal),
            Event::Datagram(..) => {}
        }
    }

    /// Handles a peer that has closed its sending side (TCP half-close). An endpoint or discovery can send no
    /// more answers, so the connection is closed; a client still gets its answers.
    fn handle_half_closed(&mut self, token: Token) {
        if self.upstream.id(token).is_none() {
            self.core.client_half_closed(token);
            return;
        }
        let written = self.net.written_bytes(token);
        self.net.close(token);
        self.handle_closed(token, written);
    }

    fn handle_signal(&mut self, signal: i32) {
        if signal == Signal::SIGHUP as i32 {
            self.reload_config(ReloadCause::Signal);
        } else {
            tracing::info!("shutdown started");
            self.core.begin_shutdown();
        }
    }

    fn handle_closed(&mut self, token: Token, written: u64) {
        if let Some(id) = self.upstream.id(token) {
            self.core.upstream_disconnected(id, written);
        }
        if self.clients.remove(&token) {
            self.core.client_closed(token);
        }
        self.upstream.remove_token(token);
    }

    /// Reads the configuration again. If that fails, the previous one stays in force and the read is retried
    /// after [`CONFIG_RETRY_INTERVAL`].
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

    /// Writes the send queues. A request of which the system accepts no byte is removed from its queue and
    /// decided anew: by the time it could be sent, its endpoint may be draining or a Retry-After in force.
    fn take_back_unwritten(&mut self, written_to: &[ConnectionId]) {
        if written_to.is_empty() {
            return;
        }
        self.net.flush();
        for &id in written_to {
            let Some(token) = self.upstream.token(id).filter(|_| self.core.carries_attempt(id)) else {
                continue;
            };
            if let Some(length) = self.net.take_back_last(token) {
                self.core.attempt_not_written(id, length);
            }
        }
    }

    /// Executes the core's outputs. Returns the upstream connections with newly queued bytes.
    fn execute_outputs(&mut self) -> Vec<ConnectionId> {
        let mut written_to = Vec::new();
        for output in self.core.take_outputs() {
            match output {
                Output::SendToClient(client, bytes) => self.net.send(client, &bytes),
                Output::CloseClient(client) => {
                    self.clients.remove(&client);
                    self.net.close_after_flush(client);
                }
                Output::CloseRefusedClient(client) => {
                    self.clients.remove(&client);
                    self.net.close_lingering(client);
                }
                Output::Connect(id, address) => {
                    let token = self.net.connect(address);
                    self.net.read_before_write(token);
                    self.upstream.insert(id, token);
                }
                Output::SendUpstream(id, bytes) => {
                    if let Some(token) = self.upstream.token(id) {
                        self.net.send(token, &bytes);
                        written_to.push(id);
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
        written_to
    }
}

/// Writes the records of one iteration ahead of its outputs. If that fails, the core undoes the actions that
/// depend on them.
fn write_records(core: &mut Core, journal: &mut JournalWriter, started_at: Instant) {
    let records = core.take_records();
    match journal.write(&records, core, clock(started_at)) {
        WriteOutcome::Written => core.records_written(),
        WriteOutcome::Failed => core.records_not_written(&records),
    }
}

/// Reads the courier's clock: [`CLOCK_START`] plus the monotonic time since the start, in nanoseconds.
fn clock(started_at: Instant) -> Time {
    CLOCK_START + started_at.elapsed().as_nanos() as Time
}
