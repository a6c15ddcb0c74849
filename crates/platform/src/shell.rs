//! Moves bytes between sockets, journal and core, and gives it the clock. It decides nothing.

use crate::config::Config;
use crate::core::{Core, LinkId, Output};
use crate::records::Replay;
use anyhow::Context;
use calloop::signals::Signal;
use linnetcart::Time;
use linnetcart_journal::{JournalDirectory, JournalError, OpenedJournal, RecordRef, Salt};
use linnetcart_net::{Event, Net, Token};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// The clock does not begin at zero, so that no span before the start is below it.
const CLOCK_START: Time = 3600 * 1_000_000_000;
/// The longest wait for something to happen.
const LOOK: Duration = Duration::from_millis(500);
/// What is read from one connection in one poll: a flood on one must not keep the others waiting.
const READ: (usize, usize) = (16 * 1024, 2);
/// Lines that are logged in a second.
const LINES: u32 = 20;
/// A journal that cannot be written for so long ends the program.
const UNWRITTEN: Time = 5_000_000_000;
/// How long the last answers may take to leave.
const LAST_BYTES: Time = 100_000_000;
/// A configuration that cannot be read is being replaced: it is read again this much later.
const READ_AGAIN: Time = 200_000_000;
/// How often figures are logged.
const FIGURES: Time = 10_000_000_000;
/// The journal is begun anew when it has grown by this part of its room.
const GROWTH_PART: u64 = 4;

/// What the environment says.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The configuration file.
    pub config: PathBuf,
    /// The folder that lasts.
    pub state: PathBuf,
}

impl Environment {
    /// Reads it.
    pub fn read() -> anyhow::Result<Environment> {
        let path = |name: &str| {
            let value = std::env::var_os(name).filter(|v| !v.is_empty());
            value
                .map(PathBuf::from)
                .with_context(|| format!("{name} is not set; the platform sets it at start"))
        };
        Ok(Environment { config: path("RELAY_CONFIG")?, state: path("RELAY_STATE")? })
    }
}

fn read_config(path: &Path) -> anyhow::Result<Config> {
    let bytes = std::fs::read(path)
        .with_context(|| format!("{} cannot be read; RELAY_CONFIG names it", path.display()))?;
    Config::read(&bytes).with_context(|| format!("{} cannot be used", path.display()))
}

fn wall() -> Time {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
}

/// Begins a new file of the journal with all that is held.
fn begin_anew(journal: &mut JournalDirectory, core: &Core) -> Result<(), JournalError> {
    let snapshot: Vec<_> = core.snapshot().iter().map(|r| r.encode()).collect();
    let salt = Salt(wall().rotate_left(17));
    journal.replace(salt, snapshot.iter().map(|(kind, bytes)| RecordRef { kind: *kind, payload: bytes }))
}

struct Shell {
    net: Net,
    core: Core,
    journal: JournalDirectory,
    /// The journal's size after it was last begun anew.
    base: u64,
    /// How far it may grow from there.
    growth: u64,
    /// Since when the journal cannot be written.
    unwritten_since: Option<Time>,
    listener: Token,
    clients: BTreeSet<Token>,
    links: BTreeMap<LinkId, Token>,
    tokens: BTreeMap<Token, LinkId>,
    begun: Instant,
    environment: Environment,
    read_again: Option<Time>,
    second: Time,
    said: u32,
    figures_at: Time,
}

/// Runs until a signal ends it.
pub fn run(environment: Environment) -> anyhow::Result<()> {
    let mut net = Net::new(0).context("the event loop cannot be made")?;
    // Before all that takes time: a signal that comes meanwhile waits, and does not end the process.
    net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .context("signals cannot be caught")?;
    let config = read_config(&environment.config)?;
    let state = environment.state.display();
    let OpenedJournal { directory: mut journal, records, damage: lines } =
        JournalDirectory::open(&environment.state).with_context(|| {
            format!("the journal in {state} cannot be read; RELAY_STATE names the folder")
        })?;
    lines.iter().for_each(|line| tracing::error!("journal: {line}; what can be read is answered for"));
    let replay = Replay::of(&records, &config.site.class_names, &config.site.zone_names);
    tracing::info!(
        owed = replay.owed.len(),
        strange = replay.strange,
        name = config.name,
        "from the journal"
    );
    drop(records);
    net.set_max_connections(config.limits.sockets.saturating_sub(16));
    net.set_read_limits(READ.0, READ.1);
    let (listen, room) = (config.listen, (config.limits.disk_mb * 1e6) as u64);
    // Both clocks at one moment, before anything that takes time.
    let (begun, wall) = (Instant::now(), wall());
    let core = Core::new(config, replay, CLOCK_START, wall);
    begin_anew(&mut journal, &core)
        .with_context(|| format!("the journal in {state} cannot be written; make room there"))?;
    let (listener, _) =
        net.listen(listen).with_context(|| format!("cannot listen on {listen}; RELAY_CONFIG names it"))?;
    tracing::info!(%listen, "ready");
    let mut shell = Shell {
        net,
        core,
        base: journal.size(),
        journal,
        growth: room / GROWTH_PART,
        unwritten_since: None,
        listener,
        clients: BTreeSet::new(),
        links: BTreeMap::new(),
        tokens: BTreeMap::new(),
        begun,
        environment,
        read_again: None,
        second: 0,
        said: 0,
        figures_at: 0,
    };
    shell.serve()
}

impl Shell {
    fn now(&self) -> Time {
        CLOCK_START + self.begun.elapsed().as_nanos() as Time
    }

    fn serve(&mut self) -> anyhow::Result<()> {
        let mut events = Vec::new();
        while !self.core.is_done() {
            let next = self.core.next_turn().min(self.read_again.unwrap_or(Time::MAX));
            let wait = Duration::from_nanos(next.saturating_sub(self.now())).min(LOOK);
            self.net.poll(wait, &mut events).context("the event loop failed")?;
            let now = self.now();
            self.core.clock(now);
            for event in events.drain(..) {
                self.event(event);
            }
            if self.read_again.is_some_and(|at| at <= now) {
                self.configure(true);
            }
            self.core.turn(now);
            if self.write_records()? {
                self.carry_out();
            }
            self.log(now);
        }
        // Answers that the system did not take at once: a client that reads has them before the process ends.
        let until = self.now() + LAST_BYTES;
        while self.net.has_unsent() && self.now() < until {
            self.net.poll(Duration::from_millis(10), &mut events).context("the event loop failed")?;
            events.clear();
        }
        tracing::info!("ended");
        Ok(())
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Accepted { token, .. } => {
                self.clients.insert(token);
                self.core.client_opened(token);
            }
            Event::Connected(token) => self.link(token, |core, link| core.link_up(link)),
            Event::ConnectFailed(token) => {
                self.link(token, |core, link| core.link_failed(link));
                self.forget(token);
            }
            Event::Data(token, bytes) => match self.tokens.get(&token) {
                Some(&link) => self.core.link_bytes(link, &bytes),
                None => self.core.client_bytes(token, &bytes),
            },
            Event::HalfClosed(token) if self.tokens.contains_key(&token) => {
                let written = self.net.written_bytes(token);
                self.net.close(token);
                self.gone(token, written);
            }
            Event::HalfClosed(token) => {
                // What was asked before is answered in this turn, and leaves before the connection ends.
                self.core.client_half_closed(token);
            }
            Event::Closed { token, written } => self.gone(token, written),
            Event::Signal(signal) if signal == Signal::SIGHUP as i32 => self.configure(false),
            Event::Signal(_) => {
                tracing::info!("ending");
                self.core.end();
            }
            Event::Datagram(..) => {}
        }
    }

    fn link(&mut self, token: Token, tell: impl FnOnce(&mut Core, LinkId)) {
        if let Some(&link) = self.tokens.get(&token) {
            tell(&mut self.core, link);
        }
    }

    fn gone(&mut self, token: Token, written: u64) {
        self.link(token, |core, link| core.link_down(link, written));
        if self.clients.remove(&token) {
            self.core.client_gone(token);
        }
        self.forget(token);
    }

    fn forget(&mut self, token: Token) {
        if let Some(link) = self.tokens.remove(&token) {
            self.links.remove(&link);
        }
    }

    /// The configuration was replaced. What cannot be read leaves the old one in force and is read again later.
    fn configure(&mut self, again: bool) {
        self.read_again = None;
        match read_config(&self.environment.config) {
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, "configured anew");
                self.core.discovery_at(config.discovery);
            }
            Err(e) => {
                if !again {
                    tracing::error!("{e:#}; the configuration before stays in force until it can be read");
                }
                self.read_again = Some(self.now() + READ_AGAIN);
            }
        }
    }

    /// Writes what this turn's outputs depend on. False: they have to stay until it is written.
    fn write_records(&mut self) -> anyhow::Result<bool> {
        let records = self.core.records();
        if records.is_empty() && self.unwritten_since.is_none() {
            return Ok(true);
        }
        if self.unwritten_since.is_none() {
            let encoded: Vec<(u8, Vec<u8>)> = records.iter().map(|r| r.encode()).collect();
            let written = self
                .journal
                .append(encoded.iter().map(|(kind, bytes)| RecordRef { kind: *kind, payload: bytes }));
            if written.is_ok() && self.journal.size() <= self.base + self.growth {
                return Ok(true);
            }
        }
        // What the core holds has these records in it, so a new file makes up for an append that failed.
        let replaced = begin_anew(&mut self.journal, &self.core);
        let now = self.now();
        if let Err(e) = replaced {
            let since = *self.unwritten_since.get_or_insert(now);
            if now > since + UNWRITTEN {
                let state = self.environment.state.display();
                return Err(e)
                    .with_context(|| format!("the journal in {state} cannot be written; make room"));
            }
            tracing::error!("the journal cannot be written: {e}; nothing is taken on or sent until it can");
        } else {
            self.unwritten_since = None;
            self.base = self.journal.size();
        }
        self.core.journal_broken(self.unwritten_since.is_some());
        Ok(self.unwritten_since.is_none())
    }

    fn carry_out(&mut self) {
        for output in self.core.outputs() {
            match output {
                Output::ToClient(client, bytes) => self.net.send(client, &bytes),
                Output::CloseClient(client) => {
                    self.clients.remove(&client);
                    self.net.close_after_flush(client);
                }
                Output::Connect(link, address) => {
                    let token = self.net.connect(address);
                    self.links.insert(link, token);
                    self.tokens.insert(token, link);
                }
                Output::ToLink(link, bytes) => {
                    if let Some(&token) = self.links.get(&link) {
                        self.net.send(token, &bytes);
                    }
                }
                Output::CloseLink(link) => {
                    if let Some(token) = self.links.remove(&link) {
                        self.tokens.remove(&token);
                        self.net.close(token);
                    }
                }
                Output::EndSending(link) => {
                    if let Some(&token) = self.links.get(&link) {
                        self.net.shutdown_write(token);
                    }
                }
                Output::Unlisten => self.net.stop_listening(self.listener),
            }
        }
    }

    fn log(&mut self, now: Time) {
        let second = now / 1_000_000_000;
        if second != self.second {
            (self.second, self.said) = (second, 0);
        }
        for line in self.core.lines() {
            self.said += 1;
            if self.said <= LINES {
                tracing::info!("{line}");
            }
        }
        if now >= self.figures_at {
            self.figures_at = now + FIGURES;
            let [held, notices, endpoints, clients, links, calls] = self.core.sizes();
            let counts = self.core.counts();
            let journal = self.journal.size();
            tracing::info!(held, notices, endpoints, clients, links, calls, journal, ?counts, "figures");
        }
    }
}
