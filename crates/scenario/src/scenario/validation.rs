//! Validation of scenarios. Each error names the place of the invalid value and the valid values.

use super::{Clients, FaultKind, FaultSpec, Kind, Scenario};
use crate::error::{require, ScenarioError};

/// Longest duration of a scenario, in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// Most couriers: as many as there are courier ids.
const MAX_COURIERS: u32 = 510;
/// Most zones: a zone is numbered with one byte, of which some values are reserved.
const MAX_ZONES: usize = 249;
/// Exclusive upper bound of `traffic.load`, which is a multiple of the rate that all limits admit.
const LOAD_BOUND: f64 = 20.0;
/// Largest `clients.max_clock_difference_ms`, in milliseconds.
const MAX_CLOCK_DIFFERENCE_MS: f64 = 60_000.0;

impl Scenario {
    /// Validates the scenario.
    ///
    /// # Errors
    /// Fails at the first value that is out of its range; the error names it.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let length_is_valid = self.seconds > 0.0 && self.seconds <= MAX_SECONDS;
        require(length_is_valid, "seconds", "more than 0 and at most 3600")?;
        require((1..=MAX_COURIERS).contains(&self.couriers), "couriers", "1 to 510")?;
        require((1..=MAX_ZONES).contains(&self.zones.len()), "zones", "1 to 249")?;
        require(!self.class.is_empty(), "class", "at least one")?;
        require(!self.kind.is_empty(), "kind", "at least one")?;
        let load_is_valid = self.traffic.load > 0.0 && self.traffic.load < LOAD_BOUND;
        require(load_is_valid, "traffic.load", "more than 0 and less than 20")?;
        check_clients(&self.clients)?;
        self.kind.iter().try_for_each(check_kind)?;
        for (number, fault) in self.faults.iter().enumerate() {
            self.check_fault(number, fault)?;
        }
        Ok(())
    }

    fn check_fault(&self, number: usize, fault: &FaultSpec) -> Result<(), ScenarioError> {
        let place = || format!("trouble {number} ({:?})", fault.what);
        let times_are_valid = fault.at >= 0.0 && fault.lasts >= 0.0;
        require(times_are_valid, place(), "at and for of at least 0")?;
        require((0.0..=1.0).contains(&fault.part), place(), "part from 0 to 1")?;
        let parameters_are_valid = fault.size.is_finite() && fault.size >= 0.0 && fault.extra >= 0.0;
        require(parameters_are_valid, place(), "finite size and extra of at least 0")?;
        let class_is_known = fault.what != FaultKind::ClassFails || (fault.extra as usize) < self.class.len();
        let last_class = self.class.len().saturating_sub(1);
        require(class_is_known, place(), &format!("extra to be a class number from 0 to {last_class}"))
    }
}

fn check_clients(clients: &Clients) -> Result<(), ScenarioError> {
    require(clients.connections > 0, "clients.connections", "at least 1")?;
    let difference_is_valid = (0.0..=MAX_CLOCK_DIFFERENCE_MS).contains(&clients.max_clock_difference_ms);
    require(difference_is_valid, "clients.max_clock_difference_ms", "0 to 60000")?;
    require(clients.answer_timeout_s >= 0.0, "clients.answer_timeout_s", "at least 0")
}

fn check_kind(kind: &Kind) -> Result<(), ScenarioError> {
    let place = || format!("kind {}", kind.name);
    let [fewest, most] = kind.endpoints;
    require(fewest >= 1 && fewest <= most, place(), "endpoints [least, most] with 1 <= least <= most")?;
    let [lowest, highest] = kind.rate;
    require(lowest > 0.0 && lowest <= highest, place(), "rate [least, most] with 0 < least <= most")?;
    require(kind.max_messages_per_call >= 1, place(), "per_call of at least 1")
}
