//! The simulator of all endpoints: its state, and the changes of endpoints and faults during a run.

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

/// The overload of a limit during its slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// When the limit was overloaded, in nanoseconds on the clock of the run.
    pub at: Time,
    /// The destination of the limit.
    pub destination: u32,
}

/// The time of an outage, and whether connections fail during it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageSpan {
    /// When the outage begins, in nanoseconds on the clock of the run.
    pub from: Time,
    /// When the outage is expected to end, in nanoseconds on the clock of the run.
    pub until: Time,
    /// Whether connection attempts fail: they are refused or not answered.
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
    /// Returns whether the endpoint accepts connections.
    fn is_listening(&self) -> bool {
        !self.fault.down && !self.removed
    }
}

/// The destination or route that a limit belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LimitOwner {
    destination: u32,
    /// The endpoint if it is an independent route; `None` for the limit of the whole destination.
    route: Option<u32>,
}

impl LimitOwner {
    fn new(kind: &DestinationKind, destination: u32, endpoint: u32) -> Self {
        LimitOwner { destination, route: kind.independent_routes.then_some(endpoint) }
    }
}

/// Simulates all endpoints of a run.
#[derive(Debug)]
pub struct EndpointSimulator {
    kinds: Vec<DestinationKind>,
    classes: Vec<ClassWork>,
    recovery: RecoveryModel,
    destinations: BTreeMap<u32, SimulatedDestination>,
    endpoints: BTreeMap<u32, EndpointState>,
    limits: BTreeMap<LimitOwner, DestinationLimit>,
    calls: BTreeMap<u64, PendingCall>,
    /// The number of the last call that arrived.
    last_call: u64,
    deduplication: DeduplicationStore,
    rng: ChaCha8Rng,
    /// Factor by which all service times are multiplied; 1 without a fault.
    shared_slowdown: f64,
    arrivals: Vec<Arrival>,
    outages: Vec<Outage>,
    overloads: Vec<Overload>,
}

impl EndpointSimulator {
    /// Creates a simulator of these destinations, all in service and at full capacity.
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

    /// Adds an endpoint to a destination. Does nothing if the destination does not exist.
    pub fn add(&mut self, destination: u32, endpoint: SimulatedEndpoint) {
        let Some(mut extended) = self.destinations.remove(&destination) else { return };
        extended.endpoints.push(endpoint);
        self.insert_endpoint(&extended, endpoint);
        self.destinations.insert(destination, extended);
    }

    /// Takes an endpoint out of service: the endpoint refuses connections, and resets the connection of every
    /// new call. Calls that were admitted before still finish.
    pub fn remove(&mut self, endpoint: u32) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.removed = true;
        }
    }

    /// Returns the destinations, ordered by number.
    pub fn destinations(&self) -> impl Iterator<Item = &SimulatedDestination> {
        self.destinations.values()
    }

    /// Returns the kind of a destination, or `None` if the destination does not exist.
    pub fn kind(&self, destination: u32) -> Option<&DestinationKind> {
        self.destinations.get(&destination).map(|found| &self.kinds[found.kind])
    }

    /// Returns the record of every message that reached an endpoint, one for each attempt, ordered by time.
    pub fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    /// Returns all outages, with the end that was expected when each began.
    pub fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Returns all overloads of limits during their slow starts.
    pub fn overloads(&self) -> &[Overload] {
        &self.overloads
    }

    /// Sets the factor by which all service times are multiplied; 1 ends the fault.
    pub fn slow_all(&mut self, factor: f64) {
        self.shared_slowdown = factor;
    }

    /// Returns a mutable reference to the faults of an endpoint, or `None` if the endpoint does not exist.
    pub fn fault_mut(&mut self, endpoint: u32) -> Option<&mut EndpointFault> {
        self.endpoints.get_mut(&endpoint).map(|state| &mut state.fault)
    }

    /// Sets the factor by which the quotas of a destination multiply its [`SimulatedDestination::rate`]; 1
    /// ends the throttling. No effect on a destination without a quota, see [`crate::LimitKind::None`].
    pub fn throttle(&mut self, destination: u32, factor: f64) {
        for (_, limit) in limits_of(&mut self.limits, destination) {
            limit.throttle(factor);
        }
    }

    /// Makes a destination reject every call until this time, in nanoseconds on the clock of the run; 0 ends
    /// the rejection.
    pub fn shut_down_until(&mut self, destination: u32, until: Time) {
        for (_, limit) in limits_of(&mut self.limits, destination) {
            limit.close_until(until);
        }
    }

    /// Records an outage of a destination, and begins a slow start of its limits at the end of the outage.
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

/// Returns the one limit of a destination, or the limits of its independent routes.
fn limits_of(
    limits: &mut BTreeMap<LimitOwner, DestinationLimit>,
    destination: u32,
) -> impl Iterator<Item = (&LimitOwner, &mut DestinationLimit)> {
    let first = LimitOwner { destination, route: None };
    let last = LimitOwner { destination, route: Some(u32::MAX) };
    limits.range_mut(first..=last)
}
