//! Days of a bench as scenarios: their faults, with times, parts and sizes, on a fleet of this program's own.

use anyhow::{ensure, Context};
use linnetcart_scenario::scenario::{FaultKind, FaultSpec, Scenario};
use serde::de::IgnoredAny;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// The bench counts in microseconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

#[derive(Debug, Deserialize)]
struct BenchDay {
    length: u64,
    servers: Vec<IgnoredAny>,
    balancers: Vec<IgnoredAny>,
    troubles: Vec<BenchFault>,
}

#[derive(Debug, Deserialize)]
struct BenchFault {
    kind: String,
    at: u64,
    len: u64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<u32>,
    #[serde(default)]
    which: u32,
    #[serde(default)]
    how: Option<String>,
}

/// A bench's day as a scenario.
#[derive(Clone, Debug)]
pub struct ConvertedScenario {
    /// The scenario.
    pub scenario: Scenario,
    /// Faults that it is without, as they cannot be caused, in words.
    pub unsupported: Vec<String>,
}

/// Converts a day as the bench draws them.
pub fn convert(text: &str) -> anyhow::Result<ConvertedScenario> {
    let bench: BenchDay = serde_json::from_str(text).context("this is no day as the bench draws them")?;
    let has_all = !bench.servers.is_empty() && !bench.balancers.is_empty();
    ensure!(has_all, "the day has no servers or no couriers");
    let mut scenario = Scenario::find("quiet")?;
    scenario.name = "bench".into();
    scenario.about = "Troubles of a bench day.".into();
    scenario.seconds = bench.length as f64 / MICROSECONDS_PER_SECOND;
    let mut unsupported = Vec::new();
    for fault in &bench.troubles {
        match fault.convert(&bench) {
            Some(converted) => scenario.trouble.push(converted),
            None => unsupported.push(format!(
                "{} at {:.1} s: there is no such trouble on sockets",
                fault.kind,
                fault.starts_at()
            )),
        }
    }
    scenario.check()?;
    Ok(ConvertedScenario { scenario, unsupported })
}

/// What a fault is, without its times.
struct FaultShape {
    kind: FaultKind,
    part: f64,
    size: f64,
    extra: f64,
}

impl FaultShape {
    fn new(kind: FaultKind, part: f64, size: f64, extra: f64) -> FaultShape {
        FaultShape { kind, part, size, extra }
    }
}

impl BenchFault {
    fn starts_at(&self) -> f64 {
        self.at as f64 / MICROSECONDS_PER_SECOND
    }

    fn lasts(&self) -> f64 {
        self.len as f64 / MICROSECONDS_PER_SECOND
    }

    /// The part of all that the fault is on.
    fn part_of(&self, all: &[IgnoredAny]) -> f64 {
        (self.on.len() as f64 / all.len().max(1) as f64).clamp(0.0, 1.0)
    }

    /// The size. One above a bound is in a smaller unit, so many of which make one of the scenario's.
    fn size_in(&self, divisor: f64, if_above: f64) -> f64 {
        if self.size > if_above {
            self.size / divisor
        } else {
            self.size
        }
    }

    /// The fault of a scenario; none if there is no such fault.
    fn convert(&self, bench: &BenchDay) -> Option<FaultSpec> {
        let servers = self.part_of(&bench.servers);
        let couriers = self.part_of(&bench.balancers);
        let shape = self.endpoint_fault(servers).or_else(|| self.other_fault(couriers))?;
        Some(FaultSpec {
            what: shape.kind,
            at: self.starts_at(),
            lasts: self.lasts(),
            part: shape.part,
            size: shape.size,
            extra: shape.extra,
            hard: matches!(self.how.as_deref(), Some("silence" | "reset")),
        })
    }

    /// Faults of endpoints, and of the limits that they share.
    fn endpoint_fault(&self, part: f64) -> Option<FaultShape> {
        let size = self.size;
        let shape = match self.kind.as_str() {
            "fast_errors" if self.extra >= 1.0 => FaultShape::new(FaultKind::Shut, part, 0.0, 0.0),
            "fast_errors" => FaultShape::new(FaultKind::Errors, part, size, 0.0),
            "crash" => FaultShape::new(FaultKind::Down, part, 0.0, 0.0),
            "vanish" => FaultShape::new(FaultKind::Vanish, part, 0.0, 0.0),
            "hang" => FaultShape::new(FaultKind::Silent, part, 0.0, 0.0),
            "slow" => FaultShape::new(FaultKind::Slow, part, size, 0.0),
            "shared_slow" => FaultShape::new(FaultKind::SharedSlow, 1.0, size, 0.0),
            "pauses" => FaultShape::new(FaultKind::Pauses, part, size / 1e3, self.extra.max(1.0)),
            "answer_lost" => FaultShape::new(FaultKind::AnswersLost, part, size, 0.0),
            "throttle" => FaultShape::new(FaultKind::Throttle, part, size, 0.0),
            "class_fail" => FaultShape::new(FaultKind::ClassFails, part, size, f64::from(self.which.min(2))),
            "idle_reap" => FaultShape::new(FaultKind::IdleDropped, part, size, 0.0),
            "handshake_slow" => FaultShape::new(FaultKind::SlowConnect, part, self.size_in(1e3, 1e3), 0.0),
            "deploy" => {
                let drained = size.clamp(0.05, 0.5);
                FaultShape::new(FaultKind::Drains, part.max(0.3), drained, self.extra.clamp(1.0, 10.0))
            }
            "preempt" => FaultShape::new(FaultKind::Drains, part.max(0.15), 0.25, size.clamp(0.3, 4.0)),
            _ => return None,
        };
        Some(shape)
    }

    /// Faults of traffic, of the endpoint list and of couriers.
    fn other_fault(&self, couriers: f64) -> Option<FaultShape> {
        let size = self.size;
        let shape = match self.kind.as_str() {
            "burst" => FaultShape::new(FaultKind::SuddenLoad, 1.0, size, 0.0),
            "hot_key" => FaultShape::new(FaultKind::HotDestinations, 1.0, size, self.extra.max(1.0)),
            "hot_caller" => {
                let share = (size + 1.0 / 3.0).min(1.0);
                FaultShape::new(FaultKind::UnevenCouriers, couriers, share, 0.0)
            }
            "discovery_down" => FaultShape::new(FaultKind::ListOut, 1.0, 0.0, 0.0),
            "discovery_stale" => FaultShape::new(FaultKind::ListLate, 1.0, self.size_in(1e6, 1e3), 0.0),
            "balancer_crash" => FaultShape::new(FaultKind::CouriersKilled, couriers, self.lasts(), 0.0),
            "balancer_roll" => {
                FaultShape::new(FaultKind::CouriersRolled, couriers.max(0.34), self.extra.max(0.5), 0.0)
            }
            "balancer_stall" => {
                let milliseconds = self.size_in(1e3, 1e4);
                let every = self.extra.clamp(1.0, 10.0);
                FaultShape::new(FaultKind::CouriersStall, couriers, milliseconds, every)
            }
            _ => return None,
        };
        Some(shape)
    }
}
