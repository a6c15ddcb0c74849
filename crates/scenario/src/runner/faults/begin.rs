//! The start of each kind of fault.

use super::{OutageSymptom, OUTAGE_FAILURE_RATIO};
use crate::error::ScenarioError;
use crate::runner::clients::FavouredCourier;
use crate::runner::{InfrastructureFault, ScenarioRunner, Transport};
use crate::scenario::{FaultKind, FaultSpec};
use crate::units::{millis, seconds};
use linnetcart_conformance::{Partition, Time};
use linnetcart_endpoint_model::ClassFault;

/// The sides from which a partition cuts couriers off.
#[derive(Clone, Copy)]
struct PartitionSides {
    clients: bool,
    endpoints: bool,
}

impl PartitionSides {
    /// Decodes `extra` of a partition: 0 for endpoints, 1 for clients, 2 for both.
    fn of(extra: f64) -> Self {
        PartitionSides { clients: extra >= 1.0, endpoints: !(0.5..1.5).contains(&extra) }
    }
}

/// Returns the size of a fault, or 1 if the size is 0, as it is by default.
fn size_of(spec: &FaultSpec) -> f64 {
    if spec.size > 0.0 {
        spec.size
    } else {
        1.0
    }
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Begins a fault of the scenario.
    pub(in crate::runner) fn begin_fault(&mut self, fault: usize) -> Result<(), ScenarioError> {
        let spec = self.fault_spec(fault);
        let size = size_of(spec);
        let affected = self.fleet.affected_destinations(spec.part, fault as u64 + 1);
        self.affected_destinations.insert(fault, affected);
        match spec.what {
            FaultKind::Errors => self.begin_errors(fault, size),
            FaultKind::AnswersLost => self.begin_lost_answers(fault, size),
            FaultKind::Silent => self.begin_silence(fault),
            FaultKind::Vanish => self.begin_vanishing(fault),
            FaultKind::Down => self.begin_down(fault),
            FaultKind::Shut => self.begin_shutdown(fault),
            FaultKind::Slow => self.change_endpoints(fault, |state| state.slowdown = size),
            FaultKind::SharedSlow => self.simulator.slow_all(size),
            FaultKind::Throttle => self.throttle_destinations(fault, size),
            FaultKind::IdleDropped => self.set_idle_timeout(fault, seconds(spec.size)),
            FaultKind::SlowConnect => self.set_accept_delay(fault, millis(spec.size)),
            FaultKind::ClassFails => self.begin_class_fault(fault),
            FaultKind::UnevenCouriers => self.favour_courier(fault, size),
            FaultKind::CouriersKilled => self.kill_couriers(fault, seconds(size)),
            FaultKind::DiskDamaged => self.damage_disks(fault, seconds(size)),
            FaultKind::Partition => self.begin_partition(fault),
            FaultKind::LinksSlow => self.slow_links(fault),
            FaultKind::ListLate => self.endpoint_list.add_delay(spec.size),
            FaultKind::ListOut => self.endpoint_list.suspend_publication(),
            FaultKind::Drains
            | FaultKind::Pauses
            | FaultKind::CouriersStall
            | FaultKind::CouriersRolled
            | FaultKind::LinksCut => self.step_fault(fault, 0)?,
            // These change only the traffic, which was drawn before the run.
            FaultKind::SuddenLoad | FaultKind::HotDestinations => {}
        }
        Ok(())
    }

    fn begin_errors(&mut self, fault: usize, probability: f64) {
        self.change_endpoints(fault, |state| state.error_probability = probability);
        if probability > OUTAGE_FAILURE_RATIO {
            self.record_outage(fault, OutageSymptom::FailedCalls);
        }
    }

    fn begin_lost_answers(&mut self, fault: usize, probability: f64) {
        self.change_endpoints(fault, |state| state.lost_answer_probability = probability);
        if probability > OUTAGE_FAILURE_RATIO {
            self.record_outage(fault, OutageSymptom::FailedCalls);
        }
    }

    fn begin_silence(&mut self, fault: usize) {
        self.change_endpoints(fault, |state| state.silent = true);
        self.record_outage(fault, OutageSymptom::FailedCalls);
    }

    fn begin_vanishing(&mut self, fault: usize) {
        self.change_endpoints(fault, |state| state.vanished = true);
        self.record_outage(fault, OutageSymptom::FailedConnections);
    }

    fn set_idle_timeout(&mut self, fault: usize, idle_timeout: Time) {
        self.change_endpoints(fault, |state| state.idle_timeout = Some(idle_timeout));
    }

    fn set_accept_delay(&mut self, fault: usize, accept_delay: Time) {
        self.change_endpoints(fault, |state| state.accept_delay = accept_delay);
    }

    fn begin_down(&mut self, fault: usize) {
        self.change_endpoints(fault, |state| state.down = true);
        self.record_outage(fault, OutageSymptom::FailedConnections);
        for endpoint in self.endpoints_of_fault(fault) {
            self.close_endpoint(endpoint);
        }
    }

    fn begin_shutdown(&mut self, fault: usize) {
        let spec = self.fault_spec(fault);
        let until = seconds(spec.at + spec.lasts);
        for destination in self.destinations_of(fault) {
            self.simulator.shut_down_until(destination, until);
        }
        self.record_outage(fault, OutageSymptom::FailedCalls);
    }

    /// Makes one class fail at the first endpoint of each affected destination that has several.
    fn begin_class_fault(&mut self, fault: usize) {
        let spec = self.fault_spec(fault);
        let class_fault =
            ClassFault { class: spec.extra as u8, probability: size_of(spec), unanswered: spec.hard };
        for destination in self.destinations_of(fault) {
            let endpoints = self.endpoint_list.endpoints_of(destination);
            if endpoints.len() < 2 {
                continue;
            }
            if let Some(state) = self.simulator.fault_mut(endpoints[0]) {
                state.class_fault = Some(class_fault);
            }
        }
    }

    fn favour_courier(&mut self, fault: usize, share: f64) {
        let courier = self.couriers_of(fault)[0];
        self.clients.favoured_courier = Some(FavouredCourier { courier, share });
    }

    fn kill_couriers(&mut self, fault: usize, downtime: Time) {
        for courier in self.couriers_of(fault) {
            self.kill_courier(courier, downtime);
        }
    }

    fn damage_disks(&mut self, fault: usize, downtime: Time) {
        let left = self.fault_spec(fault).extra;
        for courier in self.couriers_of(fault) {
            self.kill_courier(courier, downtime);
            self.transport.fault(fault, InfrastructureFault::Damage { courier, left });
        }
    }

    fn slow_links(&mut self, fault: usize) {
        let couriers = self.couriers_of(fault);
        let by = millis(self.fault_spec(fault).size);
        self.transport.fault(fault, InfrastructureFault::Slow { couriers, by });
    }

    fn begin_partition(&mut self, fault: usize) {
        let spec = self.fault_spec(fault);
        let couriers = self.couriers_of(fault);
        let until = seconds(spec.at + spec.lasts);
        let PartitionSides { clients, endpoints } = PartitionSides::of(spec.extra);
        for &courier in &couriers {
            self.partitions.push(Partition { courier, from: self.now, until, clients, endpoints });
        }
        let partition = InfrastructureFault::Partition { couriers, clients, endpoints, one_way: spec.hard };
        self.transport.fault(fault, partition);
    }
}
