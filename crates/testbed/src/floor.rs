//! What a message costs: an edge beside a relay that decides nothing, in one run.
//!
//! Clients run on one thread, endpoints on another, edge and relay each in a process pinned to one core. CPU
//! comes from the system's accounts of that process, so it does not matter which side is the slower one.

use crate::courier::{Courier, Start};
use crate::figures::{round, spread};
use crate::receivers::{Receiver, Ways, Where};
use crate::sinks::{Sinks, FRAME};
use anyhow::{bail, Context};
use hdrhistogram::Histogram;
use linnetcart_kafka::{client, codes, Frames, Record};
use linnetcart_net::{Event, Net, Token};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const VERSION: i16 = 9;

/// CPU seconds that a process has used, and its resident bytes.
fn accounts(pid: u32) -> anyhow::Result<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit_once(')').context("stat")?.1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: u64 = statm.split_whitespace().nth(1).context("statm")?.parse()?;
    let page = rustix::param::page_size() as u64;
    Ok((ticks as f64 / rustix::param::clock_ticks_per_second() as f64, pages * page))
}

fn settings(slots: usize, destinations: usize) -> Value {
    json!({
        "deployment": "floor", "courier": {"me": 0, "of": 1, "zone": "a"}, "zones": ["a"],
        "classes": [{"name": "m", "aim_ms": 10000, "deadline_ms": 600_000, "worth": 1, "late_worth": 0.5, "repeat": "safe"}],
        "kinds": [{"name": "k"}],
        "limits": {"slots": slots, "held": 100_000, "attempts": 3, "destinations": destinations.max(10_000), "pipelined": 20_000},
        "connections": {"idle_ms": 60_000, "connect_timeout_ms": 5000},
        "rules": {"answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000, "fall_multiple": 2.0, "fall_span_ms": 1000},
        "tick_us": 200
    })
}

fn list(addrs: &[SocketAddr]) -> Value {
    let entry = |(n, at): (usize, &SocketAddr)| json!({"id": n, "destination": n, "kind": "k", "zone": "a", "state": "ready", "address": at.to_string()});
    json!({"version": 1, "whole": true, "entries": addrs.iter().enumerate().map(entry).collect::<Vec<_>>()})
}

/// What one measured stretch showed.
struct Stretch {
    messages: u64,
    seconds: f64,
    latency: Histogram<u64>,
}

struct Conn {
    token: Token,
    frames: Frames,
    sent: BTreeMap<i32, Instant>,
}

/// Clients that hand messages in: each connection one at a time (`rate` 0), or at a rate over all of them.
struct Clients {
    net: Net,
    conns: Vec<Conn>,
    by_token: BTreeMap<Token, usize>,
    number: i32,
    destinations: std::ops::Range<usize>,
    record: Record,
}

impl Clients {
    fn connect(
        at: SocketAddr,
        count: usize,
        destinations: std::ops::Range<usize>,
    ) -> anyhow::Result<Clients> {
        let mut net = Net::new(60_000)?;
        let mut conns = Vec::new();
        let mut by_token = BTreeMap::new();
        for n in 0..count {
            let token = net.connect(at);
            by_token.insert(token, n);
            conns.push(Conn { token, frames: Frames::new(FRAME), sent: BTreeMap::new() });
        }
        let record = Record { value: Some(vec![b'x'; 200].into()), ..Record::default() };
        let mut all = Clients { net, conns, by_token, number: 0, destinations, record };
        let mut up = 0;
        let mut events = Vec::new();
        let until = Instant::now() + Duration::from_secs(10);
        while up < count {
            all.net.poll(Duration::from_millis(50), &mut events)?;
            up += events.drain(..).filter(|e| matches!(e, Event::Connected(_))).count();
            if Instant::now() > until {
                bail!("only {up} of {count} clients could connect");
            }
        }
        Ok(all)
    }

    fn send(&mut self, conn: usize) -> anyhow::Result<()> {
        self.number = self.number % i32::MAX + 1;
        let span = self.destinations.len() as i32;
        let partition = self.destinations.start as i32 + self.number % span;
        let to =
            [client::ProduceTarget { topic: "m", partition, records: std::slice::from_ref(&self.record) }];
        let bytes = client::produce(self.number, "floor", VERSION, (-1, 30_000), &to)?;
        let c = &mut self.conns[conn];
        c.sent.insert(self.number, Instant::now());
        self.net.send(c.token, &bytes);
        Ok(())
    }

    fn run(&mut self, span: Duration, rate: f64) -> anyhow::Result<Stretch> {
        let begun = Instant::now();
        let mut s = Stretch { messages: 0, seconds: 0.0, latency: Histogram::new(3)? };
        let mut sent = 0u64;
        if rate == 0.0 {
            for n in 0..self.conns.len() {
                if self.conns[n].sent.is_empty() {
                    self.send(n)?;
                }
            }
        }
        let mut events = Vec::new();
        loop {
            let elapsed = begun.elapsed();
            if elapsed >= span {
                break;
            }
            if rate > 0.0 {
                while (sent as f64) < elapsed.as_secs_f64() * rate {
                    self.send(sent as usize % self.conns.len())?;
                    sent += 1;
                }
            }
            let wait = if rate > 0.0 { Duration::from_micros(200) } else { Duration::from_millis(20) };
            self.net.poll(wait, &mut events)?;
            for event in events.drain(..) {
                let Event::Data(token, bytes) = event else { continue };
                let n = self.by_token[&token];
                self.conns[n].frames.push(&bytes);
                while let Some(frame) = self.conns[n].frames.next_frame()? {
                    let p = client::read_produced(&frame, VERSION)?;
                    if p.parts.iter().any(|e| e.code != codes::NONE) {
                        bail!("a message was not served: {:?}", p.parts);
                    }
                    if let Some(at) = self.conns[n].sent.remove(&p.correlation) {
                        s.latency.record(at.elapsed().as_nanos() as u64)?;
                        s.messages += 1;
                    }
                    if rate == 0.0 {
                        self.send(n)?;
                    }
                }
            }
        }
        s.seconds = begun.elapsed().as_secs_f64();
        Ok(s)
    }
}

/// A relay or an edge under measurement.
struct Subject {
    process: Courier,
    _sinks: Sinks,
}

/// What is measured.
pub struct Floor {
    /// This program.
    pub program: PathBuf,
    /// A folder for state and logs.
    pub dir: PathBuf,
    /// Seconds of each stretch.
    pub seconds: f64,
    /// Stretches of each kind; medians are given.
    pub rounds: usize,
}

impl Floor {
    fn edge(&self, slots: usize, destinations: usize, silent: usize) -> anyhow::Result<Subject> {
        let sinks = Sinks::start(destinations, silent)?;
        let dir = self.dir.join(format!("edge-{slots}-{destinations}-{silent}"));
        let _ = std::fs::remove_dir_all(&dir);
        let how =
            Start { program: &self.program, dir: &dir, seed: 1, policy: "library", drain: Duration::ZERO };
        let process = Courier::start_pinned(&how, Some(1))?;
        process.put("/settings", &settings(slots, destinations))?;
        process.put("/list", &list(&sinks.addrs))?;
        Ok(Subject { process, _sinks: sinks })
    }

    fn relay(&self, destinations: usize) -> anyhow::Result<Subject> {
        let sinks = Sinks::start(destinations, 0)?;
        let addrs: Vec<String> = sinks.addrs.iter().map(ToString::to_string).collect();
        let process = Courier::start_relay(&self.program, &self.dir, &addrs, Some(1))?;
        Ok(Subject { process, _sinks: sinks })
    }

    /// CPU microseconds a message, messages a second and latency, at full speed or at a rate.
    fn measure(
        &self,
        s: &Subject,
        clients: &mut Clients,
        rate: f64,
    ) -> anyhow::Result<(f64, f64, Histogram<u64>)> {
        let before = accounts(s.process.pid())?.0;
        let stretch = clients.run(Duration::from_secs_f64(self.seconds), rate)?;
        let used = accounts(s.process.pid())?.0 - before;
        let n = stretch.messages.max(1) as f64;
        Ok((used * 1e6 / n, n / stretch.seconds, stretch.latency))
    }

    /// Edge beside relay, in turn, at full speed and at half of the edge's.
    pub fn beside(&self) -> anyhow::Result<Value> {
        let (edge, relay) = (self.edge(512, 10, 0)?, self.relay(10)?);
        let mut at_edge = Clients::connect(edge.process.kafka, 256, 0..10)?;
        let mut at_relay = Clients::connect(relay.process.kafka, 256, 0..10)?;
        at_edge.run(Duration::from_secs(1), 0.0)?;
        at_relay.run(Duration::from_secs(1), 0.0)?;
        let mut rows = Vec::new();
        for _ in 0..self.rounds {
            let (relay_cpu, relay_rate, _) = self.measure(&relay, &mut at_relay, 0.0)?;
            let (edge_cpu, edge_rate, _) = self.measure(&edge, &mut at_edge, 0.0)?;
            rows.push([relay_cpu, edge_cpu, relay_cpu / edge_cpu, relay_rate, edge_rate]);
        }
        let column = |n: usize| spread(rows.iter().map(|r| r[n]).collect());
        let half = rows.iter().map(|r| r[4]).fold(f64::MAX, f64::min) / 2.0;
        drop((at_edge, at_relay));
        let mut at_edge = Clients::connect(edge.process.kafka, 256, 0..10)?;
        let mut at_relay = Clients::connect(relay.process.kafka, 256, 0..10)?;
        let (_, _, relay_ns) = self.measure(&relay, &mut at_relay, half)?;
        let (_, _, edge_ns) = self.measure(&edge, &mut at_edge, half)?;
        let us = |h: &Histogram<u64>, q: f64| round(h.value_at_quantile(q) as f64 / 1e3);
        Ok(json!({
            "relay_cpu_us": column(0), "edge_cpu_us": column(1), "relay_over_edge": column(2),
            "relay_per_s": column(3), "edge_per_s": column(4),
            "half_load_per_s": round(half),
            "half_load_us": {
                "relay": {"p50": us(&relay_ns, 0.5), "p99": us(&relay_ns, 0.99)},
                "edge": {"p50": us(&edge_ns, 0.5), "p99": us(&edge_ns, 0.99)},
            },
        }))
    }

    /// CPU a message over numbers of destinations, at a fixed rate.
    pub fn destinations(&self, counts: &[usize]) -> anyhow::Result<Value> {
        let mut rows = Vec::new();
        for &count in counts {
            let edge = self.edge(512, count, 0)?;
            let mut clients = Clients::connect(edge.process.kafka, 64, 0..count)?;
            clients.run(Duration::from_secs(1), 2000.0)?;
            let (cpu, _, _) = self.measure(&edge, &mut clients, 2000.0)?;
            rows.push(json!({"destinations": count, "cpu_us": round(cpu)}));
        }
        Ok(json!(rows))
    }

    /// CPU a message over numbers of held messages, and memory for each; they wait for an endpoint that hangs.
    pub fn held(&self, counts: &[usize]) -> anyhow::Result<Value> {
        let mut rows = Vec::new();
        for &count in counts {
            let edge = self.edge(64, 11, 1)?;
            let empty = accounts(edge.process.pid())?.1;
            let mut waiting = Clients::connect(edge.process.kafka, 4, 0..1)?;
            for n in 0..count {
                waiting.send(n % 4)?;
                if n % 500 == 0 {
                    waiting.net.poll(Duration::from_millis(1), &mut Vec::new())?;
                }
            }
            for _ in 0..40 {
                waiting.net.poll(Duration::from_millis(20), &mut Vec::new())?;
            }
            let full = accounts(edge.process.pid())?.1;
            let mut clients = Clients::connect(edge.process.kafka, 64, 1..11)?;
            clients.run(Duration::from_secs(1), 50.0)?;
            let (cpu, rate, _) = self.measure(&edge, &mut clients, 50.0)?;
            let each = full.saturating_sub(empty) as f64 / count as f64;
            rows.push(json!({"held": count, "cpu_us": round(cpu), "per_s": round(rate), "bytes_each": each.round()}));
        }
        Ok(json!(rows))
    }

    /// Messages at a fixed rate while nothing is reported, while the receiver takes reports, is not there, takes
    /// connections and never reads; in turn. Reports come each second, ten times as often as by default.
    pub fn telemetry(&self) -> anyhow::Result<Value> {
        let any = || Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        let receiver = || Receiver::start(Where { graphite: any(), ..Where::default() }, None);
        let cases = [
            ("off", None),
            ("up", Some(Ways::Reads)),
            ("down", Some(Ways::Gone)),
            ("never reads", Some(Ways::Deaf)),
            // What two that are alike differ by is what the others' ratios are worth.
            ("off again", None),
        ];
        let mut subjects = Vec::new();
        for (n, (name, ways)) in cases.iter().enumerate() {
            // A folder of its own for each.
            let edge = Floor { dir: self.dir.join(n.to_string()), program: self.program.clone(), ..*self }
                .edge(512, 10, 0)?;
            let kept = match ways {
                None => None,
                Some(ways) => {
                    let receiver = receiver()?;
                    receiver.behave(*ways);
                    let address = receiver.graphite.map(|a| a.to_string());
                    let set = json!({"interval_s": 1, "graphite": {"address": address, "stuck_s": 5, "queue_bytes": 1 << 20}});
                    edge.process.put("/telemetry", &set)?;
                    Some(receiver)
                }
            };
            let clients = Clients::connect(edge.process.kafka, 64, 0..10)?;
            subjects.push((*name, edge, clients, kept));
        }
        let rate = 6000.0;
        for (_, _, clients, _) in &mut subjects {
            clients.run(Duration::from_secs(1), rate)?;
        }
        let mut rows: Vec<Vec<(f64, f64)>> = vec![Vec::new(); subjects.len()];
        for round in 0..self.rounds {
            // Each is first, second and so on in turn.
            for place in 0..subjects.len() {
                let n = (place + round) % rows.len();
                let (_, edge, clients, _) = &mut subjects[n];
                let (cpu, _, latency) = self.measure(edge, clients, rate)?;
                rows[n].push((cpu, latency.value_at_quantile(0.99) as f64 / 1e3));
            }
        }
        let off = rows[0].clone();
        let each = rows.iter().zip(&subjects).map(|(row, (name, ..))| {
            let beside = |pick: fn(&(f64, f64)) -> f64| {
                spread(row.iter().zip(&off).map(|(now, off)| pick(now) / pick(off)).collect())
            };
            json!({
                "receiver": name, "cpu_us": spread(row.iter().map(|r| r.0).collect()),
                "p99_us": spread(row.iter().map(|r| r.1).collect()),
                "cpu_over_off": beside(|r| r.0), "p99_over_off": beside(|r| r.1),
            })
        });
        let each: Vec<Value> = each.collect();
        Ok(json!({"rate_per_s": rate, "cases": each}))
    }

    /// Memory for each idle connection of a client.
    pub fn connections(&self, count: usize) -> anyhow::Result<Value> {
        let edge = self.edge(64, 1, 0)?;
        let empty = accounts(edge.process.pid())?.1;
        let clients = Clients::connect(edge.process.kafka, count, 0..1)?;
        std::thread::sleep(Duration::from_millis(300));
        let full = accounts(edge.process.pid())?.1;
        drop(clients);
        Ok(
            json!({"connections": count, "bytes_each": (full.saturating_sub(empty) as f64 / count as f64).round()}),
        )
    }
}

/// Which parts are measured, and over what.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Only this one.
    pub only: Option<String>,
    /// Numbers of held messages.
    pub held: Vec<usize>,
    /// Numbers of destinations.
    pub destinations: Vec<usize>,
}

/// The parts as one document; each is said as it comes.
pub fn run(
    program: &Path,
    dir: &Path,
    (seconds, rounds): (f64, usize),
    parts: &Parts,
) -> anyhow::Result<Value> {
    let floor = Floor { program: program.to_owned(), dir: dir.to_owned(), seconds, rounds };
    let mut out = json!({"seconds": seconds, "rounds": rounds});
    let names = ["beside", "destinations", "held", "connections", "telemetry"];
    if let Some(only) = parts.only.as_deref().filter(|only| !names.contains(only)) {
        bail!("`{only}` is no part; there are {}", names.join(", "));
    }
    for name in names {
        if parts.only.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        let figures = match name {
            "beside" => floor.beside(),
            "destinations" => floor.destinations(&parts.destinations),
            "held" => floor.held(&parts.held),
            "telemetry" => floor.telemetry(),
            _ => floor.connections(5000),
        };
        let figures = figures.with_context(|| name.to_owned())?;
        println!("{name}: {}", serde_json::to_string_pretty(&figures)?);
        out[name] = figures;
    }
    Ok(out)
}
