//! All simulated endpoints, and what can be changed about them during a run.

mod connections;
mod service;

use crate::deduplication::DeduplicationStore;
use crate::destinations::{
    ClassWork, DestinationKind, RecoveryModel, SimulatedDestination, SimulatedEndpoint,
};
use crate::faults::EndpointFault;
use crate::limit::DestinationLimit;
use linnetcart_conformance::{Arrival, Outage, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use service::PendingCall;
use std::collections::BTreeMap;

/// A limit that was overloaded during its recovery ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// When.
    pub at: Time,
    /// Its destination.
    pub destination: u32,
}

/// When a destination has an outage, and what is seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageSpan {
    /// When it begins.
    pub from: Time,
    /// When it ends, as far as is known.
    pub until: Time,
    /// Connections are refused or not answered.
    pub refused_connections: bool,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointState {
    destination: u32,
    zone: u8,
    fault: EndpointFault,
    connections: usize,
    removed: bool,
}

impl EndpointState {
    /// It accepts connections and keeps them.
    fn is_listening(&self) -> bool {
        !self.fault.down && !self.removed
    }
}

/// What a limit belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LimitOwner {
    destination: u32,
    /// The endpoint, where routes are independent.
    route: Option<u32>,
}

impl LimitOwner {
    fn new(kind: &DestinationKind, destination: u32, endpoint: u32) -> Self {
        LimitOwner { destination, route: kind.independent_routes.then_some(endpoint) }
    }
}

/// All endpoints outside.
#[derive(Debug)]
pub struct EndpointSimulator {
    kinds: Vec<DestinationKind>,
    classes: Vec<ClassWork>,
    recovery: RecoveryModel,
    destinations: BTreeMap<u32, SimulatedDestination>,
    endpoints: BTreeMap<u32, EndpointState>,
    limits: BTreeMap<LimitOwner, DestinationLimit>,
    calls: BTreeMap<u64, PendingCall>,
    /// Number of the call that came last.
    last_call: u64,
    deduplication: DeduplicationStore,
    rng: ChaCha8Rng,
    /// All service times grow by this factor.
    shared_slowdown: f64,
    arrivals: Vec<Arrival>,
    outages: Vec<Outage>,
    overloads: Vec<Overload>,
}

impl EndpointSimulator {
    /// These destinations, all in service and warm.
    pub fn new(
        kinds: Vec<DestinationKind>,
        classes: Vec<ClassWork>,
        recovery: RecoveryModel,
        destinations: Vec<SimulatedDestination>,
        seed: u64,
    ) -> EndpointSimulator {
        let mut simulator = EndpointSimulator {
            kinds,
            classes,
            recovery,
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            limits: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            deduplication: DeduplicationStore::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            shared_slowdown: 1.0,
            arrivals: Vec::new(),
            outages: Vec::new(),
            overloads: Vec::new(),
        };
        for destination in destinations {
            for &endpoint in &destination.endpoints {
                simulator.insert_endpoint(&destination, endpoint);
            }
            simulator.destinations.insert(destination.destination, destination);
        }
        simulator
    }

    fn insert_endpoint(&mut self, destination: &SimulatedDestination, new: SimulatedEndpoint) {
        let state = EndpointState {
            destination: destination.destination,
            zone: new.zone,
            fault: EndpointFault::default(),
            connections: 0,
            removed: false,
        };
        self.endpoints.insert(new.endpoint, state);
        let owner = LimitOwner::new(&self.kinds[destination.kind], destination.destination, new.endpoint);
        self.limits.entry(owner).or_insert_with(|| DestinationLimit::new(destination.rate));
    }

    /// A further endpoint of a destination.
    pub fn add(&mut self, destination: u32, endpoint: SimulatedEndpoint) {
        let Some(mut extended) = self.destinations.remove(&destination) else { return };
        extended.endpoints.push(endpoint);
        self.insert_endpoint(&extended, endpoint);
        self.destinations.insert(destination, extended);
    }

    /// The endpoint is taken out of service.
    pub fn remove(&mut self, endpoint: u32) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.removed = true;
        }
    }

    /// The destinations.
    pub fn destinations(&self) -> impl Iterator<Item = &SimulatedDestination> {
        self.destinations.values()
    }

    /// The kind of a destination.
    pub fn kind(&self, destination: u32) -> Option<&DestinationKind> {
        self.destinations.get(&destination).map(|found| &self.kinds[found.kind])
    }

    /// What reached the endpoints so far.
    pub fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    /// Outages so far; one that goes on has the end that was last given.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Limits that were overloaded so far.
    pub fn overloads(&self) -> &[Overload] {
        &self.overloads
    }

    /// All calls everywhere take so many times as long.
    pub fn slow_all(&mut self, factor: f64) {
        self.shared_slowdown = factor;
    }

    /// The fault of an endpoint, to be changed.
    pub fn fault_mut(&mut self, endpoint: u32) -> Option<&mut EndpointFault> {
        self.endpoints.get_mut(&endpoint).map(|state| &mut state.fault)
    }

    /// Limits of a destination run at this part of their rate.
    pub fn throttle(&mut self, destination: u32, factor: f64) {
        for (_, limit) in limits_of(&mut self.limits, destination) {
            limit.throttle(factor);
        }
    }

    /// A destination rejects everything until then; 0 ends it.
    pub fn shut_down_until(&mut self, destination: u32, until: Time) {
        for (_, limit) in limits_of(&mut self.limits, destination) {
            limit.close_until(until);
        }
    }

    /// A destination has an outage; afterwards its limits have their recovery ramp.
    pub fn outage(&mut self, destination: u32, span: OutageSpan) {
        let Some(found) = self.destinations.get(&destination) else { return };
        let kind = &self.kinds[found.kind];
        for (owner, limit) in limits_of(&mut self.limits, destination) {
            limit.slow_start_from(span.until);
            self.outages.push(Outage {
                destination,
                route: owner.route,
                from: span.from,
                until: span.until,
                capacity: limit.capacity(kind),
                slow_start_ratio: self.recovery.slow_start_ratio,
                slow_start_duration: self.recovery.slow_start_duration,
                refused_connections: span.refused_connections,
            });
        }
    }
}

/// The limits of a destination: its own, or those of its routes.
fn limits_of(
    limits: &mut BTreeMap<LimitOwner, DestinationLimit>,
    destination: u32,
) -> impl Iterator<Item = (&LimitOwner, &mut DestinationLimit)> {
    let first = LimitOwner { destination, route: None };
    let last = LimitOwner { destination, route: Some(u32::MAX) };
    limits.range_mut(first..=last)
}
