//! Plays a day on sockets: real couriers in processes of their own, and on one loop of this process the stage
//! around them. What goes over the sockets is recorded by the stage.

use crate::courier::{Courier, Start};
use anyhow::{bail, Context};
use linnetcart_conformance::Time;
use linnetcart_net::{Event, Net, Reserved, Token};
use linnetcart_scenario::fleet::{Fleet, ListedDestination};
pub use linnetcart_scenario::runner::ScenarioRecords;
use linnetcart_scenario::runner::{ScenarioRunner, Transport, TransportError};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Who decides in the couriers.
    pub policy: String,
    /// The program whose `edge` command is a courier: this one, but in tests.
    pub program: PathBuf,
    /// Where couriers keep their state and logs.
    pub dir: PathBuf,
    /// A Graphite receiver that couriers report to, each second.
    pub graphite: Option<SocketAddr>,
    /// Says how far it is, in seconds of the day.
    pub progress: Option<fn(f64, f64, usize)>,
}

/// An answer of a control interface that is still coming.
struct Asked {
    courier: u32,
    life: u32,
    got: Vec<u8>,
}

/// Where an endpoint listens.
struct Listens {
    listener: Option<Token>,
    /// Kept as long as the rig, so that a call to an endpoint that is gone reaches nobody else.
    port: Reserved,
}

/// Sockets and processes.
struct Sockets<'a> {
    fleet: &'a Fleet,
    options: &'a Options,
    net: Net,
    couriers: BTreeMap<u32, Courier>,
    endpoints: BTreeMap<u32, Listens>,
    listeners: BTreeMap<Token, u32>,
    asked: BTreeMap<Token, Asked>,
    /// Names of destinations for reports.
    names: BTreeMap<String, String>,
}

impl Transport for Sockets<'_> {
    fn wall(&self) -> Time {
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos() as Time
    }

    fn connect(&mut self, courier: u32) -> Token {
        // A courier that is gone has left its port; nobody is there.
        let nobody = SocketAddr::new(LOOPBACK, 1);
        self.net.connect(self.couriers.get(&courier).map_or(nobody, |c| c.kafka))
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        self.net.send(token, bytes);
    }

    fn close(&mut self, token: Token) {
        self.net.close(token);
    }

    fn reset(&mut self, token: Token) {
        self.net.reset(token);
    }

    fn start(&mut self, n: u32, life: u32, first: bool) -> Result<bool, TransportError> {
        let dir = self.options.dir.join(format!("courier-{n}"));
        if first && dir.exists() {
            std::fs::remove_dir_all(&dir).with_context(|| dir.display().to_string())?;
        }
        let how = Start {
            program: &self.options.program,
            dir: &dir,
            seed: self.fleet.courier_seed(n, life),
            policy: &self.options.policy,
            drain: Duration::from_secs(10),
        };
        let courier = Courier::start(&how)?;
        // Those that were started before find it in their snapshot.
        if let Some(at) = self.options.graphite.filter(|_| first) {
            let graphite = json!({"address": at.to_string()});
            let body = json!({"interval_s": 1, "names": self.names, "graphite": graphite});
            courier.put("/telemetry", &body)?;
        }
        self.couriers.insert(n, courier);
        Ok(!first)
    }

    fn kill(&mut self, courier: u32) {
        self.couriers.remove(&courier);
    }

    fn stall(&mut self, courier: u32) {
        if let Some(c) = self.couriers.get(&courier) {
            c.stall();
        }
    }

    fn go_on(&mut self, courier: u32) {
        if let Some(c) = self.couriers.get(&courier) {
            c.go_on();
        }
    }

    fn put(&mut self, courier: u32, life: u32, path: &'static str, body: String) {
        let Some(c) = self.couriers.get(&courier) else { return };
        let token = self.net.connect(c.control);
        let head =
            format!("PUT {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        self.net.send(token, head.as_bytes());
        self.net.send(token, body.as_bytes());
        self.asked.insert(token, Asked { courier, life, got: Vec::new() });
    }

    fn open(&mut self, endpoint: u32) -> Result<(), TransportError> {
        if let std::collections::btree_map::Entry::Vacant(new) = self.endpoints.entry(endpoint) {
            new.insert(Listens { listener: None, port: Reserved::new(LOOPBACK)? });
        }
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            let (token, _) =
                self.net.listen(e.port.addr()).with_context(|| format!("endpoint {endpoint}"))?;
            e.listener = Some(token);
            self.listeners.insert(token, endpoint);
        }
        Ok(())
    }

    fn shut(&mut self, endpoint: u32) {
        if let Some(listener) = self.endpoints.get_mut(&endpoint).and_then(|e| e.listener.take()) {
            self.net.stop_listening(listener);
            self.listeners.remove(&listener);
        }
    }

    fn address(&self, endpoint: u32) -> SocketAddr {
        self.endpoints.get(&endpoint).map_or(SocketAddr::new(LOOPBACK, 1), |e| e.port.addr())
    }
}

struct Rig<'a> {
    stage: ScenarioRunner<'a, Sockets<'a>>,
    options: &'a Options,
    begun: Instant,
    signalled: bool,
}

/// Plays a day to its end.
pub fn play(fleet: &Fleet, options: &Options) -> anyhow::Result<ScenarioRecords> {
    let mut rig = Rig::new(fleet, options)?;
    rig.run(fleet.scenario.seconds)?;
    Ok(rig.stage.into_records().0)
}

/// Stays up until a signal comes: the stack of a day, without its traffic.
pub fn stay(fleet: &Fleet, options: &Options, ready: impl FnOnce(Value)) -> anyhow::Result<()> {
    let mut rig = Rig::new(fleet, options)?;
    let wires = &mut rig.stage.transport;
    wires.net.watch_signals(&[calloop::signals::Signal::SIGTERM, calloop::signals::Signal::SIGINT])?;
    let first = wires.couriers.values().next().context("no courier")?;
    let destinations: Vec<Value> = fleet
        .destinations
        .iter()
        .map(|m| json!({"destination": m.destination, "kind": fleet.scenario.kind[m.kind].name, "endpoints": m.endpoints.len()}))
        .collect();
    ready(json!({
        "kafka": first.kafka.to_string(),
        "control": first.control.to_string(),
        "destinations": destinations,
        "topics": fleet.topics(),
    }));
    let mut events = Vec::new();
    loop {
        rig.turn(&mut events, rig.stage.now() + 1_000_000_000)?;
        if rig.signalled {
            return rig.end();
        }
    }
}

impl<'a> Rig<'a> {
    fn new(fleet: &'a Fleet, options: &'a Options) -> anyhow::Result<Rig<'a>> {
        let name = |(n, listed): (u32, ListedDestination)| (n.to_string(), format!("{}-{n}", listed.kind));
        let wires = Sockets {
            fleet,
            options,
            net: Net::new(60_000)?,
            couriers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            listeners: BTreeMap::new(),
            asked: BTreeMap::new(),
            names: fleet.listed().into_iter().map(name).collect(),
        };
        let begun = Instant::now();
        let mut rig = Rig { stage: ScenarioRunner::new(fleet, wires)?, options, begun, signalled: false };
        rig.settle()?;
        Ok(rig)
    }

    /// Waits until every courier has its settings and the whole list, and its clients are connected.
    fn settle(&mut self) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut events = Vec::new();
        while !self.stage.ready() {
            if Instant::now() > until {
                let dir = self.options.dir.display();
                bail!("the couriers did not get ready in 20 s; see the logs in {dir}");
            }
            let next = self.stage.now() + 10_000_000;
            self.turn(&mut events, next)?;
        }
        Ok(())
    }

    // ---- The loop

    fn event(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Accepted { listener, token, .. } => match self.stage.transport.listeners.get(&listener) {
                Some(&endpoint) => self.stage.accepted(endpoint, token),
                None => self.stage.transport.close(token),
            },
            Event::Connected(token) => self.stage.connected(token),
            Event::Data(token, bytes) => match self.stage.transport.asked.get_mut(&token) {
                Some(asked) => asked.got.extend(&bytes),
                None => self.stage.received(token, &bytes),
            },
            Event::HalfClosed(token) => {
                self.stage.transport.close(token);
                self.gone(token)?;
            }
            Event::Closed { token, .. } | Event::ConnectFailed(token) => self.gone(token)?,
            Event::Signal(_) => self.signalled = true,
            Event::Datagram(..) => {}
        }
        Ok(())
    }

    fn gone(&mut self, token: Token) -> anyhow::Result<()> {
        match self.stage.transport.asked.remove(&token) {
            Some(Asked { courier, life, got }) => {
                let text = String::from_utf8_lossy(&got);
                let good = text.starts_with("HTTP/1.1 200");
                let outcome = if good { Ok(()) } else { Err(text.into_owned()) };
                Ok(self.stage.put_done(courier, life, outcome)?)
            }
            None => {
                self.stage.disconnected(token);
                Ok(())
            }
        }
    }

    /// Waits for what comes next, at most until then, and works through it.
    fn turn(&mut self, events: &mut Vec<Event>, until: Time) -> anyhow::Result<()> {
        let next = self.stage.next_wakeup().map_or(until, |t| t.min(until));
        let now = self.begun.elapsed().as_nanos() as Time;
        self.stage.transport.net.poll(Duration::from_nanos(next.saturating_sub(now)), events)?;
        self.stage.clock(self.begun.elapsed().as_nanos() as Time);
        for event in events.drain(..) {
            self.event(event)?;
        }
        Ok(self.stage.run_due_timers()?)
    }

    fn run(&mut self, length: f64) -> anyhow::Result<()> {
        self.begun = Instant::now();
        self.stage.start_traffic();
        let mut events = Vec::new();
        let mut said = 0;
        while !self.stage.finished() {
            let now = self.stage.now();
            self.turn(&mut events, now + 200_000_000)?;
            if let (Some(progress), true) = (self.options.progress, now / 1_000_000_000 != said) {
                said = now / 1_000_000_000;
                progress(now as f64 / 1e9, length, self.stage.open());
            }
        }
        self.end()
    }

    /// Ends the couriers as an operator does, and sees that they end well.
    fn end(&mut self) -> anyhow::Result<()> {
        for c in self.stage.transport.couriers.values() {
            c.go_on();
            c.end();
        }
        let until = self.stage.now() + 12_000_000_000;
        let mut events = Vec::new();
        let all: Vec<u32> = self.stage.transport.couriers.keys().copied().collect();
        for n in all {
            while let Some(c) = self.stage.transport.couriers.get_mut(&n) {
                match c.wait(Duration::ZERO) {
                    Some(0) => break,
                    Some(code) => bail!("courier {n} ended with code {code}; see its log"),
                    None if self.stage.now() > until => {
                        bail!("courier {n} did not end within its time; see its log")
                    }
                    None => {
                        let next = self.stage.now() + 10_000_000;
                        self.turn(&mut events, next)?;
                    }
                }
            }
        }
        Ok(())
    }
}
