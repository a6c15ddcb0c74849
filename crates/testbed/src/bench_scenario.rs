//! Converts scenarios of the bench, which are JSON, to scenarios of the testbed. Faults keep their times and
//! the fraction of the fleet that they affect, and their sizes are converted to the testbed's units; fleet
//! and traffic are those of a built-in scenario.

use anyhow::{ensure, Context};
use linnetcart_scenario::scenario::{FaultKind, FaultSpec, Scenario};
use serde::de::IgnoredAny;
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Times of the bench are in microseconds, those of scenarios in seconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// The built-in scenario whose fleet and traffic are used.
const BASE_SCENARIO: &str = "quiet";

/// A scenario as the bench writes it; fields that are not converted are ignored.
#[derive(Debug, Deserialize)]
struct BenchScenario {
    /// Duration, in microseconds.
    length: u64,
    /// The servers. Only their number is used: a fault affects `on.len() / servers.len()` of endpoints.
    servers: Vec<IgnoredAny>,
    /// The balancers. Only their number is used: a fault affects `on.len() / balancers.len()` of couriers.
    balancers: Vec<IgnoredAny>,
    troubles: Vec<BenchFault>,
}

/// A fault as the bench writes it.
#[derive(Debug, Deserialize)]
struct BenchFault {
    kind: String,
    /// Start, in microseconds.
    at: u64,
    /// Duration, in microseconds.
    len: u64,
    /// The strength of the fault; its unit depends on the kind.
    #[serde(default)]
    size: f64,
    /// A second parameter of some kinds; its unit depends on the kind.
    #[serde(default)]
    extra: f64,
    /// The numbers of the servers or balancers that are affected.
    #[serde(default)]
    on: Vec<u32>,
    /// The number of the class that is affected.
    #[serde(default)]
    which: u32,
    /// How servers that are down fail, for example `silence` or `reset`.
    #[serde(default)]
    how: Option<String>,
}

/// The result of a conversion.
#[derive(Clone, Debug)]
pub struct ConvertedScenario {
    /// The scenario.
    pub scenario: Scenario,
    /// Descriptions of the faults that were left out, because scenarios have no such fault.
    pub unsupported: Vec<String>,
}

/// Converts the JSON text of a bench scenario.
///
/// # Errors
/// Fails if the text is not a bench scenario, has no servers or balancers, or gives an invalid scenario.
pub fn convert(text: &str) -> anyhow::Result<ConvertedScenario> {
    let bench: BenchScenario =
        serde_json::from_str(text).context("not a scenario in the JSON format of the bench")?;
    let has_fleet = !bench.servers.is_empty() && !bench.balancers.is_empty();
    ensure!(has_fleet, "the scenario has no servers or no balancers");
    let mut scenario = Scenario::find(BASE_SCENARIO)?;
    scenario.name = "bench".into();
    scenario.about = "Troubles of a bench day.".into();
    scenario.seconds = bench.length as f64 / MICROSECONDS_PER_SECOND;
    let mut unsupported = Vec::new();
    for fault in &bench.troubles {
        match fault.convert(&bench) {
            Some(converted) => scenario.faults.push(converted),
            None => unsupported.push(format!(
                "{} at {:.1} s: scenarios have no fault of this kind",
                fault.kind,
                fault.starts_at()
            )),
        }
    }
    scenario.check()?;
    Ok(ConvertedScenario { scenario, unsupported })
}

/// A converted fault without its times, see [`FaultSpec`].
struct FaultShape {
    kind: FaultKind,
    part: f64,
    size: f64,
    extra: f64,
}

impl FaultShape {
    /// Creates a fault that affects this fraction of the endpoints or couriers, with `size` and `extra` 0.
    fn new(kind: FaultKind, part: f64) -> FaultShape {
        FaultShape { kind, part, size: 0.0, extra: 0.0 }
    }

    /// Creates a fault that affects all endpoints or couriers, with `size` and `extra` 0.
    fn of_all(kind: FaultKind) -> FaultShape {
        FaultShape::new(kind, 1.0)
    }

    fn with_size(self, size: f64) -> FaultShape {
        FaultShape { size, ..self }
    }

    fn with_extra(self, extra: f64) -> FaultShape {
        FaultShape { extra, ..self }
    }
}

impl BenchFault {
    /// Returns the start, in seconds.
    fn starts_at(&self) -> f64 {
        self.at as f64 / MICROSECONDS_PER_SECOND
    }

    /// Returns the duration, in seconds.
    fn lasts(&self) -> f64 {
        self.len as f64 / MICROSECONDS_PER_SECOND
    }

    /// Returns the fraction of all servers or balancers that the fault affects, 0 to 1.
    fn part_of(&self, all: &[IgnoredAny]) -> f64 {
        (self.on.len() as f64 / all.len().max(1) as f64).clamp(0.0, 1.0)
    }

    /// Returns the size in the scenario's unit. A size above `if_above` is taken to be in a smaller unit and
    /// divided by `divisor`.
    fn size_in(&self, divisor: f64, if_above: f64) -> f64 {
        if self.size > if_above {
            self.size / divisor
        } else {
            self.size
        }
    }

    /// Converts the fault, or returns `None` if scenarios have no such fault.
    fn convert(&self, bench: &BenchScenario) -> Option<FaultSpec> {
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

    /// Converts faults of endpoints and of the limits that endpoints share; `part` is the fraction of
    /// endpoints affected. Returns `None` for all other faults.
    fn endpoint_fault(&self, part: f64) -> Option<FaultShape> {
        let size = self.size;
        let shape = match self.kind.as_str() {
            "fast_errors" if self.extra >= 1.0 => FaultShape::new(FaultKind::Shut, part),
            "fast_errors" => FaultShape::new(FaultKind::Errors, part).with_size(size),
            "crash" => FaultShape::new(FaultKind::Down, part),
            "vanish" => FaultShape::new(FaultKind::Vanish, part),
            "hang" => FaultShape::new(FaultKind::Silent, part),
            "slow" => FaultShape::new(FaultKind::Slow, part).with_size(size),
            "shared_slow" => FaultShape::of_all(FaultKind::SharedSlow).with_size(size),
            "pauses" => {
                let period_seconds = self.extra.max(1.0);
                let milliseconds = size / 1e3;
                FaultShape::new(FaultKind::Pauses, part).with_size(milliseconds).with_extra(period_seconds)
            }
            "answer_lost" => FaultShape::new(FaultKind::AnswersLost, part).with_size(size),
            "throttle" => FaultShape::new(FaultKind::Throttle, part).with_size(size),
            "class_fail" => {
                let class = f64::from(self.which.min(2));
                FaultShape::new(FaultKind::ClassFails, part).with_size(size).with_extra(class)
            }
            "idle_reap" => FaultShape::new(FaultKind::IdleDropped, part).with_size(size),
            "handshake_slow" => {
                FaultShape::new(FaultKind::SlowConnect, part).with_size(self.size_in(1e3, 1e3))
            }
            "deploy" => {
                let batch_fraction = size.clamp(0.05, 0.5);
                let drain_seconds = self.extra.clamp(1.0, 10.0);
                let shape = FaultShape::new(FaultKind::Drains, part.max(0.3));
                shape.with_size(batch_fraction).with_extra(drain_seconds)
            }
            "preempt" => {
                let drain_seconds = size.clamp(0.3, 4.0);
                let shape = FaultShape::new(FaultKind::Drains, part.max(0.15));
                shape.with_size(0.25).with_extra(drain_seconds)
            }
            _ => return None,
        };
        Some(shape)
    }

    /// Converts faults of traffic, of the endpoint list and of couriers; `couriers` is the fraction of
    /// couriers affected. Returns `None` for all other faults.
    fn other_fault(&self, couriers: f64) -> Option<FaultShape> {
        let size = self.size;
        let shape = match self.kind.as_str() {
            "burst" => FaultShape::of_all(FaultKind::SuddenLoad).with_size(size),
            "hot_key" => {
                let destinations = self.extra.max(1.0);
                FaultShape::of_all(FaultKind::HotDestinations).with_size(size).with_extra(destinations)
            }
            "hot_caller" => {
                let share = (size + 1.0 / 3.0).min(1.0);
                FaultShape::new(FaultKind::UnevenCouriers, couriers).with_size(share)
            }
            "discovery_down" => FaultShape::of_all(FaultKind::ListOut),
            "discovery_stale" => FaultShape::of_all(FaultKind::ListLate).with_size(self.size_in(1e6, 1e3)),
            "balancer_crash" => FaultShape::new(FaultKind::CouriersKilled, couriers).with_size(self.lasts()),
            "balancer_roll" => {
                let seconds_down = self.extra.max(0.5);
                FaultShape::new(FaultKind::CouriersRolled, couriers.max(0.34)).with_size(seconds_down)
            }
            "balancer_stall" => {
                let milliseconds = self.size_in(1e3, 1e4);
                let period_seconds = self.extra.clamp(1.0, 10.0);
                let shape = FaultShape::new(FaultKind::CouriersStall, couriers);
                shape.with_size(milliseconds).with_extra(period_seconds)
            }
            _ => return None,
        };
        Some(shape)
    }
}
