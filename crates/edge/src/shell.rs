//! Moves bytes between sockets and the core, and gives it the clock. It decides nothing.

mod events;
mod log_limit;
mod telemetry;
mod telemetry_log;

use crate::control::{HttpConnection, Program};
use crate::core::{Core, Output, PolicyFactory, StartOptions, UpstreamId};
use crate::delivery_events::DeliveryEvent;
use crate::snapshot::{self, LoadedSnapshot};
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart::Time;
use linnetcart_courier_common::log_limit_change;
use linnetcart_kafka::server::Broker;
use linnetcart_net::{Event, Net, Token};
use log_limit::LogLimiter;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};
use telemetry::Reporting;

/// The clock does not begin at zero, so that no span before the start is below it.
const CLOCK_START: Time = 3600 * 1_000_000_000;
/// The loop polls its connections at least this often. What it reads may have come at any time since the poll
/// before, so twice this is how much too early a message may be taken to have expired.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// An iteration that comes later than this after it was wanted follows a stall: all that came is read first.
const STALL: Duration = Duration::from_millis(20);
/// Polls in which what came during a stall is read.
const MAX_STALL_POLLS: usize = 64;
/// How long the last responses and the last report may take to leave at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A host by name or address, and a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPort {
    /// The host.
    pub host: String,
    /// The port.
    pub port: u16,
}

/// What the program is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where clients connect.
    pub kafka: SocketAddr,
    /// Where the control interface listens.
    pub control: SocketAddr,
    /// The host and port that Metadata names, if not those of `kafka`.
    pub advertise: Option<HostPort>,
    /// Where the snapshot is.
    pub state_dir: Option<PathBuf>,
    /// Randomness of the decisions; from the system if not given.
    pub seed: Option<u64>,
    /// How long messages may be worked on after the first signal.
    pub drain: Duration,
    /// Greatest number of connections.
    pub max_connections: usize,
    /// Who decides.
    pub policy: PolicyFactory,
}

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Every message has its final answer.
    Drained,
    /// A second signal came first.
    Interrupted,
}

/// What a connection is for.
enum Role {
    Client,
    Control(HttpConnection),
    Upstream(UpstreamId),
    Graphite,
}

struct Shell {
    net: Net,
    program: Program,
    options: Options,
    kafka_listener: Token,
    roles: BTreeMap<Token, Role>,
    upstream_tokens: BTreeMap<UpstreamId, Token>,
    started_at: Instant,
    /// When the first signal came.
    drain_started: Option<Instant>,
    log_limiter: LogLimiter,
    reporting: Option<Reporting>,
}

/// Runs until a signal ends it.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    let mut net = Net::new(options.max_connections).context("the event loop cannot be made")?;
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT]).context("signals cannot be caught")?;
    let (kafka_listener, kafka) = listen(&mut net, options.kafka, "--kafka")?;
    let (_, control) = listen(&mut net, options.control, "--control")?;
    let mut program = Program::new(start_options(&options, kafka));
    if let Some(dir) = &options.state_dir {
        load_snapshot(&mut program, dir)?;
    }
    let mut shell = Shell {
        net,
        program,
        options,
        kafka_listener,
        roles: BTreeMap::new(),
        upstream_tokens: BTreeMap::new(),
        started_at: Instant::now(),
        drain_started: None,
        log_limiter: LogLimiter::default(),
        reporting: None,
    };
    let addresses = json!({"kafka": kafka.to_string(), "control": control.to_string()});
    let mut stdout = std::io::stdout();
    writeln!(stdout, "{addresses}").and_then(|()| stdout.flush()).context("standard output is closed")?;
    tracing::info!(%kafka, %control, settings = shell.program.core.is_some(), "ready");
    shell.serve()
}

fn listen(net: &mut Net, address: SocketAddr, flag: &str) -> anyhow::Result<(Token, SocketAddr)> {
    net.listen(address).with_context(|| format!("cannot listen on {address}; choose another with {flag}"))
}

fn start_options(options: &Options, kafka: SocketAddr) -> StartOptions {
    let run = wall_clock();
    let seed = options.seed.unwrap_or(run ^ u64::from(std::process::id()).rotate_left(40));
    let listening = || HostPort { host: kafka.ip().to_string(), port: kafka.port() };
    let HostPort { host, port } = options.advertise.clone().unwrap_or_else(listening);
    StartOptions {
        seed,
        now: CLOCK_START,
        broker: Broker { id: 0, host, port },
        run,
        first_number: 1,
        policy: options.policy,
    }
}

fn load_snapshot(program: &mut Program, dir: &Path) -> anyhow::Result<()> {
    let loaded =
        snapshot::load(dir).with_context(|| format!("{} cannot be used; see --state-dir", dir.display()))?;
    match loaded {
        LoadedSnapshot::None => {}
        LoadedSnapshot::Good(snapshot) => program.restore(*snapshot),
        LoadedSnapshot::Damaged { error, moved_to } => {
            let moved_to = moved_to.display();
            tracing::error!(%error, %moved_to, "damaged snapshot set aside; PUT /settings and /list again");
            program.state_error = Some(format!("the snapshot was set aside as {moved_to}: {error}"));
        }
    }
    program.keeps = true;
    Ok(())
}

/// The wall clock, in nanoseconds since 1970.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

fn nanos(duration: Duration) -> Time {
    duration.as_nanos() as Time
}

impl Shell {
    fn now(&self) -> Time {
        CLOCK_START + nanos(self.started_at.elapsed())
    }

    /// The event loop.
    fn serve(&mut self) -> anyhow::Result<Exit> {
        let mut events = Vec::new();
        let mut last_poll_began = self.now();
        loop {
            let poll_began = self.poll(&mut events)?;
            let now = self.now();
            if let Some(core) = &mut self.program.core {
                core.clock(now);
                core.wall_clock(wall_clock());
                // Whatever the last poll did not find came after it began.
                core.arrived_since(std::mem::replace(&mut last_poll_began, poll_began));
            }
            for event in events.drain(..) {
                let is_signal = matches!(event, Event::Signal(_));
                if is_signal && self.drain_started.is_some() {
                    tracing::warn!("second signal, stopping at once");
                    return Ok(Exit::Interrupted);
                }
                if is_signal {
                    self.begin_drain(now);
                } else {
                    self.handle_event(event);
                }
            }
            let now = self.now();
            if let Some(core) = &mut self.program.core {
                core.process(now);
            }
            // What anyone is sent has been counted before.
            self.record_delivery_events();
            self.report();
            self.carry_out();
            if self.is_drained(now) {
                tracing::info!("drained, every message has its final answer");
                return Ok(Exit::Drained);
            }
        }
    }

    /// Waits for events; returns when the poll began.
    fn poll(&mut self, events: &mut Vec<Event>) -> anyhow::Result<Time> {
        let report_at = self.reporting.as_ref().map_or(Time::MAX, Reporting::next_wakeup);
        let core_at = self.program.core.as_ref().map_or(Time::MAX, Core::next_wakeup);
        let wanted_at = core_at.min(report_at);
        let timeout = Duration::from_nanos(wanted_at.saturating_sub(self.now())).min(MAX_POLL_INTERVAL);
        let poll_began = self.now();
        self.net.poll(timeout, events).context("the event loop failed")?;
        let stall = nanos(timeout + STALL);
        let polled_for = self.now().saturating_sub(poll_began);
        let late_by = self.now().saturating_sub(wanted_at);
        if polled_for > stall || late_by > stall {
            self.read_all(events)?;
        }
        Ok(poll_began)
    }

    /// After a stall: everything that came meanwhile, before anything is decided.
    fn read_all(&mut self, events: &mut Vec<Event>) -> anyhow::Result<()> {
        for _ in 0..MAX_STALL_POLLS {
            let before = events.len();
            self.net.poll(Duration::ZERO, events).context("the event loop failed")?;
            if events.len() == before {
                break;
            }
        }
        Ok(())
    }

    // ---- Graceful shutdown

    fn begin_drain(&mut self, now: Time) {
        tracing::info!(seconds = self.options.drain.as_secs_f64(), "draining, nothing new is accepted");
        self.drain_started = Some(Instant::now());
        self.net.stop_listening(self.kafka_listener);
        if let Some(core) = &mut self.program.core {
            core.begin_drain(now + nanos(self.options.drain));
        }
    }

    /// Every message has its answer, and responses and the last report have left or had their time.
    fn is_drained(&mut self, now: Time) -> bool {
        let Some(drain_started) = self.drain_started else { return false };
        let core_done = self.program.core.as_ref().is_none_or(Core::is_done);
        let unsent = self.roles.keys().any(|&token| self.net.unsent_bytes(token) > 0);
        let flush_timed_out = drain_started.elapsed() > self.options.drain + FLUSH_TIMEOUT;
        core_done && (!unsent || flush_timed_out) && self.last_report_sent(now)
    }

    // ---- What the core wants done

    fn carry_out(&mut self) {
        loop {
            let Some(core) = &mut self.program.core else { return };
            let outputs = core.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.carry_out_one(output);
            }
            self.flush();
        }
    }

    fn carry_out_one(&mut self, output: Output) {
        match output {
            Output::ToClient(token, bytes) => self.net.send(token, &bytes),
            Output::CloseClient(token) => {
                self.net.close_after_flush(token);
                self.roles.remove(&token);
            }
            Output::PauseClient(token) => self.net.set_read_paused(token, true),
            Output::ResumeClient(token) => self.net.set_read_paused(token, false),
            Output::Connect(upstream, address) => {
                let token = self.net.connect(address);
                self.roles.insert(token, Role::Upstream(upstream));
                self.upstream_tokens.insert(upstream, token);
            }
            Output::ToUpstream(upstream, bytes) => {
                if let Some(&token) = self.upstream_tokens.get(&upstream) {
                    self.net.send(token, &bytes);
                }
            }
            Output::CloseUpstream(upstream) => {
                if let Some(token) = self.upstream_tokens.remove(&upstream) {
                    self.net.close(token);
                    self.roles.remove(&token);
                }
            }
        }
    }

    /// Writes what was queued, and gives the core the bytes that clients have not taken.
    fn flush(&mut self) {
        for token in self.net.flush() {
            if !matches!(self.roles.get(&token), Some(Role::Client)) {
                continue;
            }
            if let Some(core) = &mut self.program.core {
                core.set_client_backlog(token, self.net.unsent_bytes(token));
            }
        }
    }

    // ---- Delivery events

    fn record_delivery_events(&mut self) {
        // Before the first event is read: none may miss its count.
        self.configure_reporting();
        let now = self.now();
        let Some(core) = &mut self.program.core else { return };
        for event in core.delivery_events() {
            if let Some(reporting) = &mut self.reporting {
                reporting.record(&event);
            }
            log_delivery_event(&mut self.log_limiter, now, event);
        }
    }
}

fn log_delivery_event(limiter: &mut LogLimiter, now: Time, event: DeliveryEvent) {
    match event {
        DeliveryEvent::LimitChanged(change) if limiter.permits(now) => log_limit_change(&change),
        DeliveryEvent::UnsupportedAction(action) if limiter.permits(now) => {
            tracing::info!(?action, "unsupported action ignored");
        }
        DeliveryEvent::ProtocolViolation { peer, reason } if limiter.permits(now) => {
            tracing::warn!(peer, reason, "connection closed after a protocol violation");
        }
        DeliveryEvent::LimitChanged(_)
        | DeliveryEvent::UnsupportedAction(_)
        | DeliveryEvent::ProtocolViolation { .. } => {}
        other => tracing::trace!(event = ?other, "delivery event"),
    }
}
