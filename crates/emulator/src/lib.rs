//! Days in virtual time: the same core that runs on sockets, by the hundreds, each in an emulated host with its
//! own clock, loop and disk, on an emulated network, around the same stage as on sockets.
//!
//! One queue of events, one thread, randomness from the seed, ordered iteration everywhere: a run repeats bit
//! for bit, and [`Run::digest`] says whether it did.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod host;
pub mod links;
pub mod network;
pub mod trace;

use anyhow::bail;
use linnetcart_conformance::Time;
use linnetcart_edge::core::PolicyFactory;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::runner::{ScenarioRecords, ScenarioRunner};
use network::{Model, Network, ToStage};
use trace::Story;

/// How long couriers may take to get ready, and to end.
const READY: Time = 20_000_000_000;
const DRAIN: Time = 10_000_000_000;
const END: Time = 12_000_000_000;

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Who decides in the couriers.
    pub policy: PolicyFactory,
    /// Hosts and network.
    pub model: Model,
    /// What is to be told of the couriers.
    pub story: Option<Story>,
}

impl Default for Options {
    fn default() -> Self {
        Options { policy: linnetcart_edge::core::library, model: Model::default(), story: None }
    }
}

/// A day that was played.
#[derive(Debug)]
pub struct Run {
    /// Records for the checks.
    pub played: ScenarioRecords,
    /// Everything that arrived anywhere, and when, as one sum.
    pub digest: String,
    /// Events worked through.
    pub events: u64,
    /// Virtual time that passed, from the couriers' start to their end.
    pub virtual_time: Time,
    /// Connections at the same time at most.
    pub links: usize,
    /// What was to be told, on the day's clock.
    pub story: Option<Story>,
}

struct Emulation<'a> {
    stage: ScenarioRunner<'a, Network<'a>>,
    /// When the day began.
    base: Time,
}

/// Plays a day to its end.
pub fn play(fleet: &Fleet, options: Options) -> anyhow::Result<Run> {
    let mut network = Network::new(fleet, options.model, options.policy);
    network.story = options.story;
    let mut e = Emulation { stage: ScenarioRunner::new(fleet, network)?, base: 0 };
    while !e.stage.ready() {
        if e.stage.transport.now() > READY || !e.step()? {
            bail!("the couriers did not get ready in 20 s of virtual time");
        }
    }
    e.base = e.stage.transport.now();
    e.stage.start_traffic();
    while !e.stage.finished() {
        if !e.step()? {
            break;
        }
    }
    e.end()?;
    let base = e.base;
    let (mut played, mut network) = e.stage.into_records();
    let mut failed = std::mem::take(&mut network.failed_connects);
    for f in &mut failed {
        (f.from, f.at) = (f.from.saturating_sub(base), f.at.saturating_sub(base));
    }
    played.records.failed_connects = Some(failed);
    let story = network.story.take().map(|mut s| {
        s.told.iter_mut().for_each(|t| t.at = t.at.saturating_sub(base));
        s
    });
    Ok(Run {
        played,
        digest: network.digest(),
        events: network.events,
        virtual_time: network.now(),
        links: network.most_links,
        story,
    })
}

impl Emulation<'_> {
    /// Works through what is due next; false if nothing is.
    fn step(&mut self) -> anyhow::Result<bool> {
        let wires = self.stage.transport.next();
        let stage = self.stage.next_wakeup().map(|t| t + self.base);
        match (wires, stage) {
            (None, None) => return Ok(false),
            (Some(w), s) if s.is_none_or(|s| w <= s) => {
                let brought = self.stage.transport.step();
                let Some(brought) = brought else { return Ok(true) };
                self.stage.clock(w.saturating_sub(self.base));
                match brought {
                    ToStage::Accepted(endpoint, token) => self.stage.accepted(endpoint, token),
                    ToStage::Connected(token) => self.stage.connected(token),
                    ToStage::Data(token, bytes) => self.stage.received(token, &bytes),
                    ToStage::Gone(token) => self.stage.disconnected(token),
                    ToStage::Put(courier, life, said) => self.stage.put_done(courier, life, said)?,
                }
            }
            (_, Some(s)) => {
                self.stage.transport.clock(s);
                self.stage.clock(s.saturating_sub(self.base));
                self.stage.run_due_timers()?;
            }
            (Some(_), None) => {}
        }
        Ok(true)
    }

    /// Ends the couriers as an operator does, and sees that they end well.
    fn end(&mut self) -> anyhow::Result<()> {
        self.stage.transport.drain(DRAIN);
        let until = self.stage.transport.now() + END;
        loop {
            let owing = self.stage.transport.owing();
            if owing.is_empty() {
                return Ok(());
            }
            if self.stage.transport.now() > until || !self.step()? {
                bail!("couriers {owing:?} did not end within their time");
            }
        }
    }
}
