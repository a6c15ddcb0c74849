//! Moves bytes between sockets and the core, and gives it the clock. It decides nothing.

use crate::control::{Http, Program, Step};
use crate::core::{Core, LinkId, Output, Policy, Start};
use crate::facts::Fact;
use crate::snapshot::{self, Found};
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart::Time;
use linnetcart_kafka::server::Broker;
use linnetcart_net::{Event, Net, Token};
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
    pub policy: Policy,
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
    Link(LinkId),
}

struct Shell {
    net: Net,
    program: Program,
    options: Options,
    kafka: Token,
    roles: BTreeMap<Token, Role>,
    links: BTreeMap<LinkId, Token>,
    begun: Instant,
    lines: Lines,
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
    net.signals(&[Signal::SIGTERM, Signal::SIGINT]).context("signals cannot be caught")?;
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
    let mut program =
        Program::new(Start { seed, now: CLOCK_START, broker, run, first_number: 1, policy: options.policy });
    if let Some(dir) = &options.state_dir {
        match snapshot::load(dir)
            .with_context(|| format!("{} cannot be used; see --state-dir", dir.display()))?
        {
            Found::None => {}
            Found::Good(saved) => program.restore(*saved),
            Found::Damaged { why, aside } => {
                let text = format!("the snapshot was set aside as {}: {why}", aside.display());
                tracing::error!("{text}; PUT /settings and /list anew");
                program.trouble = Some(text);
            }
        }
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
            let wanted = self.program.core.as_ref().map_or(Time::MAX, Core::next_turn);
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
                core.turn(now);
            }
            self.carry_out();
            self.facts();
            if let Some(since) = draining {
                let done = self.program.core.as_ref().is_none_or(Core::is_done);
                let unsent = self.roles.keys().any(|&t| self.net.unsent(t) > 0);
                let late = since.elapsed() > self.options.drain + LAST_ANSWERS;
                if done && (!unsent || late) {
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
        self.net.unlisten(self.kafka);
        if let Some(core) = &mut self.program.core {
            core.drain(now + self.options.drain.as_nanos() as Time);
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, token, .. } if listener == self.kafka => match &mut self.program.core
            {
                Some(core) => {
                    core.client_opened(token);
                    self.roles.insert(token, Role::Client);
                }
                None => self.net.close(token),
            },
            Event::Accepted { token, .. } => {
                self.roles.insert(token, Role::Control(Http::default()));
            }
            Event::Connected(token) => self.link(token, |core, link| core.link_up(link)),
            Event::ConnectFailed(token) => {
                self.link(token, |core, link| core.link_failed(link));
                self.forget(token);
            }
            Event::Data(token, bytes) => match (self.roles.get_mut(&token), &mut self.program.core) {
                (Some(Role::Client), Some(core)) => core.client_bytes(token, &bytes),
                (Some(Role::Link(link)), Some(core)) => core.link_bytes(*link, &bytes),
                (Some(Role::Control(http)), _) => {
                    http.push(&bytes);
                    self.control(token);
                }
                _ => {}
            },
            Event::HalfClosed(token) => match (self.roles.get(&token), &mut self.program.core) {
                (Some(Role::Client), Some(core)) => core.client_half_closed(token),
                (Some(Role::Link(_)), _) => {
                    // An endpoint that sends no more answers nothing more.
                    let written = self.net.written(token);
                    self.net.close(token);
                    self.gone(token, written);
                }
                _ => {
                    self.net.finish(token);
                    self.forget(token);
                }
            },
            Event::Closed { token, written } => self.gone(token, written),
            Event::Signal(_) => {}
        }
    }

    fn link(&mut self, token: Token, tell: impl FnOnce(&mut Core, LinkId)) {
        if let (Some(Role::Link(link)), Some(core)) = (self.roles.get(&token), &mut self.program.core) {
            tell(core, *link);
        }
    }

    fn gone(&mut self, token: Token, written: u64) {
        match (self.roles.get(&token), &mut self.program.core) {
            (Some(Role::Client), Some(core)) => core.client_gone(token),
            (Some(Role::Link(link)), Some(core)) => core.link_down(*link, written),
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
                    self.net.finish(token);
                    self.forget(token);
                    return;
                }
                Step::Request(request) => {
                    let extra = [
                        ("uptime_s", json!(self.begun.elapsed().as_secs_f64())),
                        ("version", json!(env!("CARGO_PKG_VERSION"))),
                        ("connections", json!(self.net.connections())),
                        ("logs_kept_back", json!(self.lines.kept_back)),
                    ];
                    self.program.extra = extra.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
                    let dir = self.options.state_dir.clone();
                    let mut save = |saved: &snapshot::Saved| match &dir {
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
                        self.net.finish(token);
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
                        self.net.finish(token);
                        self.roles.remove(&token);
                    }
                    Output::ReadClient(token, read) => self.net.pause(token, !read),
                    Output::Connect(link, addr) => {
                        let token = self.net.connect(addr);
                        self.roles.insert(token, Role::Link(link));
                        self.links.insert(link, token);
                    }
                    Output::ToLink(link, bytes) => {
                        if let Some(&token) = self.links.get(&link) {
                            self.net.send(token, &bytes);
                        }
                    }
                    Output::CloseLink(link) => {
                        if let Some(token) = self.links.remove(&link) {
                            self.net.close(token);
                            self.roles.remove(&token);
                        }
                    }
                }
            }
            for token in self.net.flush() {
                if matches!(self.roles.get(&token), Some(Role::Client)) {
                    core.client_unsent(token, self.net.unsent(token));
                }
            }
        }
    }

    fn facts(&mut self) {
        let now = self.now();
        let Some(core) = &mut self.program.core else { return };
        for fact in core.facts() {
            match fact {
                Fact::Log(line) if self.lines.may(now) => tracing::info!("{line}"),
                Fact::BadPeer { whose, why } if self.lines.may(now) => {
                    tracing::warn!(whose, "connection closed: {why}");
                }
                Fact::Log(_) | Fact::BadPeer { .. } => {}
                other => tracing::trace!(fact = ?other),
            }
        }
    }
}
