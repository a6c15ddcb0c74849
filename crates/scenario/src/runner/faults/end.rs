//! The end of each kind of fault.

use crate::error::ScenarioError;
use crate::runner::{ScenarioRunner, Transport};
use crate::scenario::FaultKind;

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Ends a fault of the scenario.
    pub(in crate::runner) fn end_fault(&mut self, fault: usize) -> Result<(), ScenarioError> {
        let spec = self.fault_spec(fault);
        match spec.what {
            FaultKind::Errors => self.change_endpoints(fault, |state| state.error_probability = 0.0),
            FaultKind::AnswersLost => {
                self.change_endpoints(fault, |state| state.lost_answer_probability = 0.0);
            }
            FaultKind::Silent => self.change_endpoints(fault, |state| state.silent = false),
            FaultKind::Vanish => self.change_endpoints(fault, |state| state.vanished = false),
            FaultKind::Down => self.end_down(fault)?,
            FaultKind::Slow => self.change_endpoints(fault, |state| state.slowdown = 0.0),
            FaultKind::IdleDropped => self.change_endpoints(fault, |state| state.idle_timeout = None),
            FaultKind::SlowConnect => self.change_endpoints(fault, |state| state.accept_delay = 0),
            FaultKind::ClassFails => self.change_endpoints(fault, |state| state.class_fault = None),
            FaultKind::SharedSlow => self.simulator.slow_all(1.0),
            FaultKind::Throttle => self.throttle_destinations(fault, 1.0),
            FaultKind::UnevenCouriers => self.clients.favoured_courier = None,
            FaultKind::Partition | FaultKind::LinksSlow => self.transport.heal(fault),
            FaultKind::ListLate => self.endpoint_list.reduce_delay(spec.size),
            FaultKind::ListOut => self.resume_publication(),
            // These end by themselves, or were part of the traffic drawn before the run.
            FaultKind::Shut
            | FaultKind::Drains
            | FaultKind::Pauses
            | FaultKind::SuddenLoad
            | FaultKind::HotDestinations
            | FaultKind::CouriersKilled
            | FaultKind::CouriersRolled
            | FaultKind::CouriersStall
            | FaultKind::LinksCut
            | FaultKind::DiskDamaged => {}
        }
        Ok(())
    }

    fn end_down(&mut self, fault: usize) -> Result<(), ScenarioError> {
        self.change_endpoints(fault, |state| state.down = false);
        for endpoint in self.endpoints_of_fault(fault) {
            self.reopen_endpoint(endpoint)?;
        }
        Ok(())
    }
}
