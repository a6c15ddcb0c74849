//! Faults of a scenario: how they begin, proceed in steps, and end. A fault is given by its position in the
//! scenario.

mod begin;
mod end;
mod steps;

use super::{ScenarioRunner, Transport};
use crate::scenario::FaultSpec;
use crate::units::seconds;
use linnetcart_endpoint_model::{EndpointFault, OutageSpan};

/// A fault that fails more than this fraction of calls counts as an outage, which a slow start follows.
const OUTAGE_FAILURE_RATIO: f64 = 0.5;

/// What couriers observe during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutageSymptom {
    /// Calls fail.
    FailedCalls,
    /// Connection attempts fail.
    FailedConnections,
}

impl<'a, T: Transport> ScenarioRunner<'a, T> {
    fn fault_spec(&self, fault: usize) -> &'a FaultSpec {
        &self.fleet.scenario.faults[fault]
    }

    /// Returns the destinations that a fault affects, as drawn when it began.
    fn destinations_of(&self, fault: usize) -> Vec<u32> {
        self.affected_destinations.get(&fault).cloned().unwrap_or_default()
    }

    /// Returns the endpoints that a fault affects, destination by destination.
    fn endpoints_of_fault(&self, fault: usize) -> Vec<u32> {
        let mut endpoints = Vec::new();
        for destination in self.destinations_of(fault) {
            endpoints.extend(self.endpoint_list.endpoints_of(destination));
        }
        endpoints
    }

    /// Changes the simulated fault of every endpoint that a fault of the scenario affects.
    fn change_endpoints(&mut self, fault: usize, change: impl Fn(&mut EndpointFault)) {
        for endpoint in self.endpoints_of_fault(fault) {
            if let Some(state) = self.simulator.fault_mut(endpoint) {
                change(state);
            }
        }
    }

    /// Returns the couriers that a fault affects: `round(part * couriers)` of them, at least one, with
    /// consecutive numbers from `fault + seed`, modulo the number of couriers.
    fn couriers_of(&self, fault: usize) -> Vec<u32> {
        let count = self.couriers.len() as u32;
        let part = self.fault_spec(fault).part;
        let affected = ((part * f64::from(count)).round() as u32).clamp(1, count);
        let first = fault as u32 + self.fleet.seed as u32;
        (0..affected).map(|courier| (courier + first) % count).collect()
    }

    /// Makes the limits of the destinations of a fault admit `factor * rate` calls per second.
    fn throttle_destinations(&mut self, fault: usize, factor: f64) {
        for destination in self.destinations_of(fault) {
            self.simulator.throttle(destination, factor);
        }
    }

    /// Records an outage of the destinations of a fault, from now to the end of the fault. A slow start
    /// follows the outage.
    fn record_outage(&mut self, fault: usize, symptom: OutageSymptom) {
        let spec = self.fault_spec(fault);
        let until = seconds(spec.at + spec.lasts).max(self.now);
        let span = OutageSpan {
            from: self.now,
            until,
            refused_connections: symptom == OutageSymptom::FailedConnections,
        };
        for destination in self.destinations_of(fault) {
            self.simulator.outage(destination, span);
        }
    }
}
