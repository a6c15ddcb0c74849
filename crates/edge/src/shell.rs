//! Moves bytes between sockets and the core, and gives it the clock. It decides nothing.

use crate::accounts::{self, Accounts};
use crate::control::{Http, Program, Step};
use crate::core::{Core, Output, PolicyFactory, StartOptions, UpstreamId};
use crate::delivery_events::DeliveryEvent;
use crate::snapshot::{self, LoadedSnapshot};
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart::{LimitChange, Time};
use linnetcart_kafka::server::Broker;
use linnetcart_net::{Event, Net, Token};
use linnetcart_telemetry::connection::ConnectionAction as Do;
use linnetcart_telemetry::{
    CourierInfo, CurrentState, ListedEndpoint, Output as Report, SyncError, Telemetry,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

/// The clock does not begin at zero, so that no span before the start is below it.
const CLOCK_START: Time = 3600 * 1_000_000_000;
/// The loop looks at its connections at least this often. What it reads may have come at any time since it
/// looked before, so twice this is how much too early a message's time may be taken to be up.
const LOOK: Duration = Duration::from_millis(10);
/// A turn that comes later than this after it was wanted follows a stall: all that came is read first.
const STALL: Duration = Duration::from_millis(20);
/// Polls in which what came during a stall is read.
const STALL_POLLS: usize = 64;
/// Lines of the decision library, and of bad peers, that are logged in a second.
const LINES: u32 = 20;
/// How long the last answers may take to leave at the end.
const LAST_ANSWERS: Duration = Duration::from_secs(2);

/// What the program is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where clients connect.
    pub kafka: SocketAddr,
    /// Where the control interface listens.
    pub control: SocketAddr,
    /// The host and port that Metadata names, if not those of `kafka`.
    pub advertise: Option<(String, u16)>,
    /// Where the snapshot is.
    pub state_dir: Option<PathBuf>,
    /// Randomness of the decisions; from the system if not given.
    pub seed: Option<u64>,
    /// How long messages may be worked on after the first signal.
    pub drain: Duration,
    /// Connections that are held at most.
    pub connections: usize,
    /// Who decides.
    pub policy: PolicyFactory,
}

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Everything that it held has its answer.
    Done,
    /// A second signal came first.
    Cut,
}

enum Role {
    Client,
    Control(Http),
    Link(UpstreamId),
    /// The connection to Graphite.
    Report,
}

struct Shell {
    net: Net,
    program: Program,
    options: Options,
    kafka: Token,
    roles: BTreeMap<Token, Role>,
    links: BTreeMap<UpstreamId, Token>,
    begun: Instant,
    lines: Lines,
    reports: Option<Reports>,
}

/// The reporting, with its sockets and files.
struct Reports {
    telemetry: Telemetry,
    accounts: Option<Accounts>,
    /// The connection to Graphite.
    graphite: Option<Token>,
    /// Where datagrams to collectd leave.
    collectd: Option<Token>,
    /// Where those of the host's collectd come, and the address that was asked for.
    listen: Option<(Token, SocketAddr)>,
    /// The version of the list that it was told.
    list: Option<u64>,
    /// When the last report was asked for.
    last: Option<Time>,
}

/// Keeps a flood out of the log.
#[derive(Default)]
struct Lines {
    second: u64,
    said: u32,
    kept_back: u64,
}

impl Lines {
    fn may(&mut self, now: Time) -> bool {
        let second = now / 1_000_000_000;
        if second != self.second {
            if self.kept_back > 0 {
                tracing::info!(lines = self.kept_back, "lines were kept back: more than {LINES} in a second");
            }
            (self.second, self.said, self.kept_back) = (second, 0, 0);
        }
        self.said += 1;
        if self.said > LINES {
            self.kept_back += 1;
        }
        self.said <= LINES
    }
}

/// Runs until a signal ends it.
pub fn run(options: Options) -> anyhow::Result<End> {
    let mut net = Net::new(options.connections).context("the event loop cannot be made")?;
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT]).context("signals cannot be caught")?;
    let listen = |net: &mut Net, addr: SocketAddr, flag: &str| {
        net.listen(addr).with_context(|| format!("cannot listen on {addr}; choose another with {flag}"))
    };
    let (kafka, at) = listen(&mut net, options.kafka, "--kafka")?;
    let (_, control_at) = listen(&mut net, options.control, "--control")?;
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let run = since_epoch.as_nanos() as u64;
    let seed = options.seed.unwrap_or(run ^ u64::from(std::process::id()).rotate_left(40));
    let (host, port) = options.advertise.clone().unwrap_or((at.ip().to_string(), at.port()));
    let broker = Broker { id: 0, host, port };
    let mut program = Program::new(StartOptions {
        seed,
        now: CLOCK_START,
        broker,
        run,
        first_number: 1,
        policy: options.policy,
    });
    if let Some(dir) = &options.state_dir {
        match snapshot::load(dir)
            .with_context(|| format!("{} cannot be used; see --state-dir", dir.display()))?
        {
            LoadedSnapshot::None => {}
            LoadedSnapshot::Good(saved) => program.restore(*saved),
            LoadedSnapshot::Damaged { why, aside } => {
                let text = format!("the snapshot was set aside as {}: {why}", aside.display());
                tracing::error!("{text}; PUT /settings and /list anew");
                program.trouble = Some(text);
            }
        }
        program.keeps = true;
    }
    let mut shell = Shell {
        net,
        program,
        options,
        kafka,
        roles: BTreeMap::new(),
        links: BTreeMap::new(),
        begun: Instant::now(),
        lines: Lines::default(),
        reports: None,
    };
    let ready = json!({"kafka": at.to_string(), "control": control_at.to_string()});
    let mut out = std::io::stdout();
    writeln!(out, "{ready}").and_then(|()| out.flush()).context("standard output is closed")?;
    tracing::info!(kafka = %at, control = %control_at, settings = shell.program.core.is_some(), "ready");
    shell.serve()
}

impl Shell {
    fn now(&self) -> Time {
        CLOCK_START + self.begun.elapsed().as_nanos() as Time
    }

    fn serve(&mut self) -> anyhow::Result<End> {
        let mut events = Vec::new();
        let mut draining: Option<Instant> = None;
        let mut looked = self.now();
        loop {
            let report = self.reports.as_ref().map_or(Time::MAX, |r| r.telemetry.next_wakeup());
            let wanted = self.program.core.as_ref().map_or(Time::MAX, Core::next_wakeup).min(report);
            let timeout = Duration::from_nanos(wanted.saturating_sub(self.now())).min(LOOK);
            let looks = self.now();
            self.net.poll(timeout, &mut events).context("the event loop failed")?;
            let late = (timeout + STALL).as_nanos() as Time;
            if self.now().saturating_sub(looks) > late || self.now().saturating_sub(wanted) > late {
                self.read_all(&mut events)?;
            }
            let now = self.now();
            if let Some(core) = &mut self.program.core {
                core.clock(now);
                core.wall_clock(wall());
                // Whatever the last look did not find came after it began.
                core.arrived_since(std::mem::replace(&mut looked, looks));
            }
            for event in events.drain(..) {
                if let Event::Signal(_) = event {
                    if draining.is_some() {
                        tracing::warn!("second signal: ending at once");
                        return Ok(End::Cut);
                    }
                    draining = Some(Instant::now());
                    self.drain(now);
                } else {
                    self.event(event);
                }
            }
            let now = self.now();
            if let Some(core) = &mut self.program.core {
                core.process(now);
            }
            // What is told to anyone has been counted before.
            self.facts();
            self.report();
            self.carry_out();
            if let Some(since) = draining {
                let done = self.program.core.as_ref().is_none_or(Core::is_done);
                let unsent = self.roles.keys().any(|&t| self.net.unsent_bytes(t) > 0);
                let late = since.elapsed() > self.options.drain + LAST_ANSWERS;
                if done && (!unsent || late) && self.reported(now) {
                    tracing::info!("all that was held has its answer");
                    return Ok(End::Done);
                }
            }
        }
    }

    /// After a stall: everything that came meanwhile, before anything is decided.
    fn read_all(&mut self, events: &mut Vec<Event>) -> anyhow::Result<()> {
        for _ in 0..STALL_POLLS {
            let before = events.len();
            self.net.poll(Duration::ZERO, events).context("the event loop failed")?;
            if events.len() == before {
                break;
            }
        }
        Ok(())
    }

    fn drain(&mut self, now: Time) {
        tracing::info!(seconds = self.options.drain.as_secs_f64(), "ending: nothing new is taken");
        self.net.stop_listening(self.kafka);
        if let Some(core) = &mut self.program.core {
            core.begin_drain(now + self.options.drain.as_nanos() as Time);
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, token, .. } if listener == self.kafka => match &mut self.program.core
            {
                Some(core) => {
                    core.client_connected(token);
                    self.roles.insert(token, Role::Client);
                }
                None => self.net.close(token),
            },
            Event::Accepted { token, .. } => {
                self.roles.insert(token, Role::Control(Http::default()));
            }
            Event::Connected(token) => {
                let now = self.now();
                match (self.roles.get(&token), &mut self.reports) {
                    (Some(Role::Report), Some(reports)) => reports.telemetry.connected(now),
                    _ => self.link(token, |core, link| core.upstream_connected(link)),
                }
            }
            Event::ConnectFailed(token) => {
                self.report_lost(token);
                self.link(token, |core, link| core.upstream_connect_failed(link));
                self.forget(token);
            }
            Event::Data(token, bytes) => match (self.roles.get_mut(&token), &mut self.program.core) {
                (Some(Role::Client), Some(core)) => core.client_received(token, &bytes),
                (Some(Role::Link(link)), Some(core)) => core.upstream_received(*link, &bytes),
                (Some(Role::Control(http)), _) => {
                    http.push(&bytes);
                    self.control(token);
                }
                _ => {}
            },
            Event::HalfClosed(token) => match (self.roles.get(&token), &mut self.program.core) {
                (Some(Role::Client), Some(core)) => core.client_half_closed(token),
                (Some(Role::Report), _) => {
                    self.net.close(token);
                    self.gone(token, 0);
                }
                (Some(Role::Link(_)), _) => {
                    // An endpoint that sends no more answers nothing more.
                    let written = self.net.written_bytes(token);
                    self.net.close(token);
                    self.gone(token, written);
                }
                _ => {
                    self.net.close_after_flush(token);
                    self.forget(token);
                }
            },
            Event::Closed { token, written } => self.gone(token, written),
            Event::Datagram(token, packet) => {
                let now = self.now();
                if let Some(reports) = &mut self.reports {
                    if reports.listen.is_some_and(|l| l.0 == token) {
                        reports.telemetry.datagram_received(&packet, now, wall());
                    }
                }
            }
            Event::Signal(_) => {}
        }
    }

    fn link(&mut self, token: Token, tell: impl FnOnce(&mut Core, UpstreamId)) {
        if let (Some(Role::Link(link)), Some(core)) = (self.roles.get(&token), &mut self.program.core) {
            tell(core, *link);
        }
    }

    fn report_lost(&mut self, token: Token) {
        let now = self.now();
        if let (Some(Role::Report), Some(reports)) = (self.roles.get(&token), &mut self.reports) {
            reports.graphite = None;
            reports.telemetry.disconnected(now);
        }
    }

    fn gone(&mut self, token: Token, written: u64) {
        self.report_lost(token);
        match (self.roles.get(&token), &mut self.program.core) {
            (Some(Role::Client), Some(core)) => core.client_disconnected(token),
            (Some(Role::Link(link)), Some(core)) => core.upstream_disconnected(*link, written),
            _ => {}
        }
        self.forget(token);
    }

    fn forget(&mut self, token: Token) {
        if let Some(Role::Link(link)) = self.roles.remove(&token) {
            self.links.remove(&link);
        }
    }

    fn control(&mut self, token: Token) {
        loop {
            let Some(Role::Control(http)) = self.roles.get_mut(&token) else { return };
            match http.step() {
                Step::Wait => return,
                Step::Continue => self.net.send(token, b"HTTP/1.1 100 Continue\r\n\r\n"),
                Step::Bad(reply) => {
                    self.net.send(token, &reply.encode(true));
                    self.net.close_after_flush(token);
                    self.forget(token);
                    return;
                }
                Step::Request(request) => {
                    let extra = [
                        ("uptime_s", json!(self.begun.elapsed().as_secs_f64())),
                        ("version", json!(env!("CARGO_PKG_VERSION"))),
                        ("connections", json!(self.net.connections())),
                        ("logs_kept_back", json!(self.lines.kept_back)),
                        ("telemetry", json!(self.reports.as_ref().map(|r| r.telemetry.status(self.now())))),
                    ];
                    self.program.extra = extra.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
                    let dir = self.options.state_dir.clone();
                    let mut save = |saved: &snapshot::Snapshot| match &dir {
                        Some(dir) => snapshot::save(dir, saved),
                        None => Ok(()),
                    };
                    let reply = self.program.handle(&request, &mut save);
                    tracing::debug!(
                        method = request.method,
                        path = request.path,
                        status = reply.status,
                        "control"
                    );
                    self.net.send(token, &reply.encode(request.last));
                    if request.last {
                        self.net.close_after_flush(token);
                        self.forget(token);
                        return;
                    }
                }
            }
        }
    }

    fn carry_out(&mut self) {
        let Some(core) = &mut self.program.core else { return };
        loop {
            let outputs = core.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::ToClient(token, bytes) => self.net.send(token, &bytes),
                    Output::CloseClient(token) => {
                        self.net.close_after_flush(token);
                        self.roles.remove(&token);
                    }
                    Output::ReadClient(token, read) => self.net.set_read_paused(token, !read),
                    Output::Connect(link, addr) => {
                        let token = self.net.connect(addr);
                        self.roles.insert(token, Role::Link(link));
                        self.links.insert(link, token);
                    }
                    Output::ToUpstream(link, bytes) => {
                        if let Some(&token) = self.links.get(&link) {
                            self.net.send(token, &bytes);
                        }
                    }
                    Output::CloseUpstream(link) => {
                        if let Some(token) = self.links.remove(&link) {
                            self.net.close(token);
                            self.roles.remove(&token);
                        }
                    }
                }
            }
            for token in self.net.flush() {
                if matches!(self.roles.get(&token), Some(Role::Client)) {
                    core.set_client_backlog(token, self.net.unsent_bytes(token));
                }
            }
        }
    }

    fn facts(&mut self) {
        // Before the first fact is read: none may miss its count.
        self.report_as_told();
        let now = self.now();
        let Some(core) = &mut self.program.core else { return };
        for fact in core.delivery_events() {
            if let Some(reports) = &mut self.reports {
                reports.telemetry.record(&fact);
            }
            match fact {
                DeliveryEvent::LimitChanged(change) if self.lines.may(now) => log_limit_change(&change),
                DeliveryEvent::UnsupportedAction(action) if self.lines.may(now) => {
                    tracing::info!(?action, "unsupported action ignored");
                }
                DeliveryEvent::ProtocolViolation { peer, reason } if self.lines.may(now) => {
                    tracing::warn!(peer, reason, "connection closed after a protocol violation");
                }
                DeliveryEvent::LimitChanged(_)
                | DeliveryEvent::UnsupportedAction(_)
                | DeliveryEvent::ProtocolViolation { .. } => {}
                other => tracing::trace!(fact = ?other),
            }
        }
    }
}

fn log_limit_change(change: &LimitChange) {
    let (destination, endpoint, state) = (change.destination, change.endpoint, change.state);
    let evidence = change.evidence;
    let outcome = evidence.map(|e| e.outcome);
    let failure_rate = evidence.map(|e| e.failure_rate);
    let consecutive_failures = evidence.map(|e| e.consecutive_failures);
    tracing::info!(
        destination,
        endpoint,
        ?state,
        ?outcome,
        failure_rate,
        consecutive_failures,
        "limit changed state"
    );
}

/// The wall clock, in nanoseconds since 1970.
fn wall() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

// ---- Reports

impl Shell {
    /// Begins to report, or reports otherwise, once it is said what; counts go on from what an earlier run left.
    fn report_as_told(&mut self) {
        let now = self.now();
        let (Some(set), Some(core)) = (&self.program.telemetry, &self.program.core) else { return };
        if let Some(reports) = &mut self.reports {
            if reports.telemetry.settings() != set {
                reports.telemetry.configure(set.clone(), now);
                self.listen_as_told();
            }
            return;
        }
        let s = core.settings();
        let names = s.classes.iter().map(|c| c.name.clone());
        let courier = CourierInfo {
            deployment: s.deployment.clone(),
            me: s.courier.index,
            classes: names.zip(s.library_settings().classes).collect(),
            halves: s.weights.halves,
            seed: self.program.start.seed,
        };
        let (mut found, mut next) = (Default::default(), 0);
        if let Some(dir) = &self.options.state_dir {
            match accounts::load(dir) {
                Ok((f, n, trouble)) => {
                    (found, next) = (f, n);
                    if let Some(text) = trouble {
                        tracing::error!("{text}; counts begin anew");
                        self.program.trouble = Some(text);
                    }
                }
                Err(e) => {
                    // Counts that are there but cannot be read must not begin anew: try again at the next turn.
                    if self.lines.may(now) {
                        tracing::error!("counts cannot be read in {}: {e}", dir.display());
                    }
                    return;
                }
            }
        }
        let telemetry = Telemetry::new(courier, found, set.clone(), now);
        let begin = |dir: &PathBuf| Accounts::begin(dir, next, telemetry.saved(), &telemetry.log_head());
        let accounts = match self.options.state_dir.as_ref().map(begin).transpose() {
            Ok(accounts) => accounts,
            Err(e) => {
                if self.lines.may(now) {
                    tracing::error!("counts cannot be kept, so nothing is reported: {e}");
                }
                return;
            }
        };
        let reports = Reports {
            telemetry,
            accounts,
            graphite: None,
            collectd: None,
            listen: None,
            list: None,
            last: None,
        };
        self.reports = Some(reports);
        self.listen_as_told();
    }

    /// Listens where the host's collectd is to report to.
    fn listen_as_told(&mut self) {
        let Some(reports) = &mut self.reports else { return };
        let wanted = reports.telemetry.settings().listen.as_ref().map(|l| l.address);
        if reports.listen.map(|l| l.1) == wanted {
            return;
        }
        if let Some((token, _)) = reports.listen.take() {
            self.net.close_datagrams(token);
        }
        let Some(addr) = wanted else { return };
        match self.net.bind_datagrams(addr) {
            Ok((token, at)) => {
                tracing::info!(%at, "listening for the host's figures");
                reports.listen = Some((token, addr));
            }
            Err(e) => tracing::error!("cannot listen for the host's figures on {addr}: {e}"),
        }
    }

    /// The last report has left, or has had its time.
    fn reported(&mut self, now: Time) -> bool {
        let Some(reports) = &mut self.reports else { return true };
        match reports.last {
            None => {
                reports.telemetry.report_now(now);
                reports.last = Some(now);
                false
            }
            Some(since) => {
                let late = now > since + LAST_ANSWERS.as_nanos() as Time;
                late || (now > since + LOOK.as_nanos() as Time && reports.telemetry.is_quiet())
            }
        }
    }

    fn report(&mut self) {
        let now = self.now();
        let (Some(reports), Some(core)) = (&mut self.reports, &self.program.core) else { return };
        if reports.list != Some(core.list().version) {
            let (kinds, entries) = (&core.settings().kinds, core.list().entries.values());
            reports.list = Some(core.list().version);
            reports.telemetry.set_endpoints(entries.map(|e| ListedEndpoint {
                endpoint: e.id,
                destination: e.destination,
                apart: kinds.iter().any(|k| k.name == e.kind && k.independent_routes),
            }));
        }
        for (number, done) in reports.accounts.as_ref().map(Accounts::done).unwrap_or_default() {
            reports.telemetry.synced(number, done.map_err(SyncError::Storage));
        }
        if let Some(token) = reports.graphite {
            reports.telemetry.acknowledged(now, self.net.written_bytes(token));
        }
        reports.telemetry.process(now, wall(), || {
            let (status, limits) = (core.status(), &core.settings().limits);
            CurrentState {
                held: status.in_flight,
                held_bytes: status.in_flight_bytes,
                slots_used: status.calls,
                slots: limits.max_calls as usize,
                hold: limits.max_in_flight as usize,
                clients: status.clients,
                links: status.upstream_connections,
            }
        });
        let mut lines = Vec::new();
        for output in reports.telemetry.outputs() {
            match output {
                Report::Append(frame) => reports.accounts.iter_mut().for_each(|a| a.append(&frame)),
                Report::Sync(number) => {
                    let telemetry = &reports.telemetry;
                    let done = match &mut reports.accounts {
                        Some(a) => a.sync(number, || telemetry.saved(), &telemetry.log_head()),
                        None => Some((number, Err("there is no --state-dir".into()))),
                    };
                    if let Some((number, done)) = done {
                        reports.telemetry.synced(number, done.map_err(SyncError::Storage));
                    }
                }
                Report::Graphite(Do::Connect(addr)) => {
                    let token = self.net.connect(addr);
                    self.roles.insert(token, Role::Report);
                    reports.graphite = Some(token);
                }
                Report::Graphite(Do::Write(bytes)) => {
                    reports.graphite.iter().for_each(|&token| self.net.send(token, &bytes));
                }
                Report::Graphite(Do::Close) => {
                    if let Some(token) = reports.graphite.take() {
                        self.net.close(token);
                        self.roles.remove(&token);
                    }
                }
                Report::Datagram(addr, packet) => {
                    let any = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                    if reports.collectd.is_none() {
                        let made = any.parse().ok().and_then(|any| self.net.bind_datagrams(any).ok());
                        reports.collectd = made.map(|m| m.0);
                    }
                    if let Some(token) = reports.collectd {
                        // UDP: what the system does not take is gone, and the next report has the counts.
                        self.net.send_to(token, addr, &packet);
                    }
                }
                Report::Log(line) => lines.push(line),
                Report::Info(line) => tracing::info!("{line}"),
            }
        }
        for line in lines {
            if self.lines.may(now) {
                tracing::warn!("{line}");
            }
        }
    }
}
