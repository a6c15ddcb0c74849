//! Faults that proceed in steps. Each step schedules the next.

use crate::error::ScenarioError;
use crate::runner::{InfrastructureFault, ScenarioRunner, Timer, Transport};
use crate::scenario::{FaultKind, FaultSpec};
use crate::units::{millis, seconds};
use linnetcart_conformance::Time;

/// Least fraction of the endpoints in a batch of drains.
const MIN_DRAIN_SHARE: f64 = 0.05;

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Runs a step of a fault. Step 0 runs when the fault begins.
    pub(in crate::runner) fn step_fault(&mut self, fault: usize, step: u32) -> Result<(), ScenarioError> {
        let spec = self.fault_spec(fault);
        let is_over = self.now >= seconds(spec.at + spec.lasts);
        if is_over && step > 0 {
            return Ok(());
        }
        match spec.what {
            FaultKind::Drains => self.drain_batch(fault, step)?,
            FaultKind::Pauses => {
                let paused_until = self.now + millis(spec.size);
                self.change_endpoints(fault, |state| state.paused_until = paused_until);
                self.schedule_step(fault, step + 1, seconds(spec.extra));
            }
            FaultKind::CouriersStall => self.stall_next_courier(fault, step),
            FaultKind::LinksCut => {
                let cut = InfrastructureFault::Cut { couriers: self.couriers_of(fault), share: spec.size };
                self.transport.fault(fault, cut);
                self.schedule_step(fault, step + 1, seconds(spec.extra));
            }
            FaultKind::CouriersRolled => {
                let couriers = self.couriers_of(fault);
                if let Some(&courier) = couriers.get(step as usize) {
                    self.kill_courier(courier, seconds(spec.size));
                }
                self.schedule_step(fault, step + 1, seconds(spec.lasts / couriers.len() as f64));
            }
            _ => {}
        }
        Ok(())
    }

    /// Schedules a step after `delay` nanoseconds. With a delay of 0, which is a fault without a period, no
    /// further step takes place.
    fn schedule_step(&mut self, fault: usize, step: u32, delay: Time) {
        if delay > 0 {
            self.schedule_after(delay, Timer::StepFault { fault, step });
        }
    }

    /// Drains a batch of the endpoints of a fault, and opens their replacements. The batches are spread
    /// evenly over the duration of the fault.
    fn drain_batch(&mut self, fault: usize, step: u32) -> Result<(), ScenarioError> {
        let spec = self.fault_spec(fault);
        let share = drain_share(spec);
        let endpoints = self.endpoints_of_fault(fault);
        let batch_size = ((endpoints.len() as f64 * share).ceil() as usize).max(1);
        // Endpoints are drained in the order of their numbers. Replacements have higher numbers than all
        // original endpoints, so each endpoint is drained once.
        let first_replacement = self.first_replacement();
        let drainable =
            |&endpoint: &u32| endpoint < first_replacement && self.endpoint_list.is_ready(endpoint);
        let batch: Vec<u32> = endpoints.into_iter().filter(drainable).take(batch_size).collect();
        let steps = (1.0 / share).ceil();
        self.schedule_step(fault, step + 1, seconds(spec.lasts / (steps + 1.0)));
        for endpoint in batch {
            self.replace_endpoint(endpoint, seconds(spec.extra))?;
        }
        Ok(())
    }

    /// Returns the number of the first endpoint that is opened during the run.
    fn first_replacement(&self) -> u32 {
        let endpoints = self.fleet.destinations.iter().flat_map(|destination| &destination.endpoints);
        let last = endpoints.map(|endpoint| endpoint.endpoint).max();
        last.map_or(u32::MAX, |last| last + 1)
    }

    /// Stalls the next courier of a fault. The couriers take turns, evenly spaced within the period of a
    /// courier's stalls.
    fn stall_next_courier(&mut self, fault: usize, step: u32) {
        let spec = self.fault_spec(fault);
        let couriers = self.couriers_of(fault);
        let interval = seconds(spec.extra) / couriers.len() as u64;
        self.stall_courier(couriers[step as usize % couriers.len()], spec.size);
        self.schedule_step(fault, step + 1, interval);
    }
}

/// Returns the fraction of the endpoints in a batch of drains.
fn drain_share(spec: &FaultSpec) -> f64 {
    spec.size.max(MIN_DRAIN_SHARE)
}
