//! The shell of the Kafka front: the event loop, which reads the clocks and moves bytes between sockets and
//! the core (functional core, imperative shell).
//!
//! The shell owns the sockets, the log and the files of the state directory. It never makes a decision about
//! a message.

mod delivery_events;
mod events;
mod log_limit;
mod outputs;
mod startup;
mod telemetry;
mod telemetry_log;

use crate::control::{HttpConnection, Program};
use crate::core::{Core, MemoryBudget, PolicyFactory, UpstreamId};
use crate::time::NANOS_PER_SECOND;
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart::Time;
use linnetcart_net::{retry_transient, Event, Net, ReadLimits, Token};
use log_limit::LogLimiter;
use serde_json::json;
use startup::{listen, load_snapshot, start_options};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};
use telemetry::Reporting;

/// Reading of the monotonic clock at the start: one hour. It is not zero, so that a duration can be
/// subtracted from any reading without underflow.
const CLOCK_START: Time = 3600 * NANOS_PER_SECOND;
/// Maximum interval between two polls. Input may have arrived at any time since the previous poll, so the
/// core may consider a message expired up to twice this interval too early.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// An iteration that is late by more than this follows a stall of the process. All input is then read before
/// any decision, so that the decision library sees every answer that has arrived before it sends anything.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);
/// Maximum number of batches that are read before the core processes them. The next iteration reads the others.
const MAX_BATCHES: usize = 4;
/// Maximum number of batches that are read before a decision after a stall.
const MAX_STALL_BATCHES: usize = 16;
/// Maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of reads from one connection in one poll.
const READS_PER_POLL: usize = 4;
/// Maximum number of bytes that are read from all connections before they are handled.
const MAX_BATCH_BYTES: usize = 4 * 1024 * 1024;
/// Time limit at shutdown for sending the last responses, and for sending the last report.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A host, by name or address, and a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPort {
    /// The host.
    pub host: String,
    /// The port.
    pub port: u16,
}

/// Options of the program, from the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address at which Kafka clients connect.
    pub kafka: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Host and port that Metadata responses advertise; by default those of `kafka`.
    pub advertise: Option<HostPort>,
    /// Directory of the snapshot and the counters. Without it nothing is saved.
    pub state_dir: Option<PathBuf>,
    /// Seed of the decision policy's random numbers; by default from the wall clock and the process id.
    pub seed: Option<u64>,
    /// Drain timeout: how long the courier works on messages in flight after the first signal.
    pub drain: Duration,
    /// Maximum number of TCP connections, of clients and endpoints together.
    pub max_connections: usize,
    /// The memory that each part of the courier may take.
    pub memory: MemoryBudget,
    /// Creates the decision policy.
    pub policy: PolicyFactory,
}

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Graceful shutdown: every message has its final answer.
    Drained,
    /// A second signal arrived before every message had its final answer.
    Interrupted,
}

/// The peer of a connection.
enum Role {
    /// A Kafka client.
    Client,
    /// A client of the control interface.
    Control(HttpConnection),
    /// An endpoint.
    Upstream(UpstreamId),
    /// The Graphite server.
    Graphite,
}

/// A poll of the event loop.
#[derive(Clone, Copy, Debug)]
struct Poll {
    /// When it began, by the monotonic clock.
    began_at: Time,
    /// Whether it ended so late that the process must have been held up.
    was_stalled: bool,
}

/// The state of the shell.
struct Shell {
    net: Net,
    program: Program,
    options: Options,
    kafka_listener: Token,
    /// The peer of each open connection.
    roles: BTreeMap<Token, Role>,
    upstream_tokens: BTreeMap<UpstreamId, Token>,
    started_at: Instant,
    /// When the first signal arrived, which began the graceful shutdown.
    drain_started: Option<Instant>,
    log_limiter: LogLimiter,
    /// Reporting of telemetry, once it is configured.
    reporting: Option<Reporting>,
}

/// Runs the program until it has drained after a signal, or until a second signal.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    let mut net = retry_transient(|| create_event_loop(options.max_connections))
        .context("the event loop cannot be created")?;
    net.set_read_limits(ReadLimits {
        buffer_bytes: READ_BUFFER_BYTES,
        reads_per_poll: READS_PER_POLL,
        batch_bytes: (options.memory.iteration / 2).min(MAX_BATCH_BYTES),
    });
    let kafka = listen(&mut net, options.kafka, "--kafka")?;
    let control = listen(&mut net, options.control, "--control")?;
    let mut program = Program::new(start_options(&options, kafka.address));
    if let Some(dir) = &options.state_dir {
        load_snapshot(&mut program, dir)?;
    }
    let mut shell = Shell {
        net,
        program,
        options,
        kafka_listener: kafka.token,
        roles: BTreeMap::new(),
        upstream_tokens: BTreeMap::new(),
        started_at: Instant::now(),
        drain_started: None,
        log_limiter: LogLimiter::default(),
        reporting: None,
    };
    print_addresses(kafka.address, control.address)?;
    tracing::info!(
        kafka = %kafka.address,
        control = %control.address,
        settings = shell.program.core.is_some(),
        "ready"
    );
    Ok(shell.serve())
}

/// Creates the event loop. From then on, SIGTERM and SIGINT are reported as events instead of ending the
/// process.
fn create_event_loop(max_connections: usize) -> std::io::Result<Net> {
    let mut net = Net::new(max_connections)?;
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT])?;
    Ok(net)
}

/// Prints the bound addresses as one line of JSON on standard output, for the parent process.
fn print_addresses(kafka: SocketAddr, control: SocketAddr) -> anyhow::Result<()> {
    let addresses = json!({"kafka": kafka.to_string(), "control": control.to_string()});
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{addresses}").and_then(|()| stdout.flush()).context("standard output is closed")
}

/// Reads the wall clock, in nanoseconds since the Unix epoch.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

fn nanos(duration: Duration) -> Time {
    duration.as_nanos() as Time
}

impl Shell {
    /// Reads the monotonic clock, in nanoseconds.
    fn now(&self) -> Time {
        CLOCK_START + nanos(self.started_at.elapsed())
    }

    /// Runs the event loop until the program ends.
    fn serve(&mut self) -> Exit {
        let mut events = Vec::new();
        let mut last_poll_began = self.now();
        // The earliest arrival of input that the last poll has left unread.
        let mut unread_since = None;
        loop {
            let poll = self.poll(&mut events);
            let now = self.now();
            let input_since = unread_since.unwrap_or(last_poll_began);
            last_poll_began = poll.began_at;
            if let Some(core) = &mut self.program.core {
                core.clock(now);
                core.wall_clock(wall_clock());
                // Input that a poll did not find arrived after it began.
                core.arrived_since(input_since);
            }
            if let Some(exit) = self.handle_input(&mut events, poll.was_stalled, now) {
                return exit;
            }
            unread_since = self.net.has_unread().then_some(input_since);
            let now = self.now();
            if let Some(core) = &mut self.program.core {
                core.process(now);
            }
            // Counts go to the counter log before the answers are sent, so that a crash of the process loses
            // no count that a client was notified of.
            self.record_delivery_events();
            self.report();
            self.carry_out();
            if self.is_drained(now) {
                tracing::info!("drained, every message has its final answer");
                return Exit::Drained;
            }
        }
    }

    /// Handles the events of a poll. Returns [`Exit::Interrupted`] if a second signal is among them.
    fn handle_events(&mut self, events: &mut Vec<Event>, now: Time) -> Option<Exit> {
        for event in events.drain(..) {
            match event {
                Event::Signal(_) if self.drain_started.is_some() => {
                    tracing::warn!("second signal, stopping at once");
                    return Some(Exit::Interrupted);
                }
                Event::Signal(_) => self.begin_drain(now),
                event => self.handle_event(event),
            }
        }
        None
    }

    /// Handles the events of a poll and reads what it has left; after a stall, all input that has arrived. Returns
    /// [`Exit::Interrupted`] if a second signal is among the events.
    fn handle_input(&mut self, events: &mut Vec<Event>, was_stalled: bool, now: Time) -> Option<Exit> {
        let batches = if was_stalled { MAX_STALL_BATCHES } else { MAX_BATCHES };
        for _ in 0..batches {
            if let Some(exit) = self.handle_events(events, now) {
                return Some(exit);
            }
            if self.net.has_unread() {
                self.net.read_more(events);
            } else if was_stalled {
                self.net.poll(Duration::ZERO, events);
            }
            if events.is_empty() {
                return None;
            }
        }
        self.handle_events(events, now)
    }

    /// Waits for events until the next iteration is due.
    fn poll(&mut self, events: &mut Vec<Event>) -> Poll {
        let report_at = self.reporting.as_ref().map_or(Time::MAX, Reporting::next_wakeup);
        let core_at = self.program.core.as_ref().map_or(Time::MAX, Core::next_wakeup);
        let wakeup_at = core_at.min(report_at);
        let timeout = Duration::from_nanos(wakeup_at.saturating_sub(self.now())).min(MAX_POLL_INTERVAL);
        let poll_began = self.now();
        self.net.poll(timeout, events);
        let stall = nanos(timeout + STALL_THRESHOLD);
        let polled_for = self.now().saturating_sub(poll_began);
        let late_by = self.now().saturating_sub(wakeup_at);
        Poll { began_at: poll_began, was_stalled: polled_for > stall || late_by > stall }
    }

    // ---- Graceful shutdown

    /// Stops accepting Kafka connections and messages, and lets the core finish the messages in flight.
    fn begin_drain(&mut self, now: Time) {
        tracing::info!(seconds = self.options.drain.as_secs_f64(), "draining, nothing new is accepted");
        self.drain_started = Some(Instant::now());
        self.net.stop_listening(self.kafka_listener);
        if let Some(core) = &mut self.program.core {
            core.begin_drain(now + nanos(self.options.drain));
        }
    }

    /// Returns whether the graceful shutdown is complete: every message has its final answer, and the
    /// responses and the last report are sent or have timed out.
    fn is_drained(&mut self, now: Time) -> bool {
        let Some(drain_started) = self.drain_started else { return false };
        let core_done = self.program.core.as_ref().is_none_or(Core::is_done);
        let unsent = self.roles.keys().any(|&token| self.net.unsent_bytes(token) > 0);
        let flush_timed_out = drain_started.elapsed() > self.options.drain + FLUSH_TIMEOUT;
        core_done && (!unsent || flush_timed_out) && self.last_report_sent(now)
    }
}
