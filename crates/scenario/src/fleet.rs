//! A fleet: destinations, messages and settings of a run, drawn from a scenario and a seed. The same scenario
//! and seed give the same fleet.

mod model;
mod settings;
mod traffic;

use crate::scenario::{Kind, Scenario};
use crate::units::millis;
use linnetcart_conformance::Time;
use linnetcart_endpoint_model::{SimulatedDestination, SimulatedEndpoint};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::BTreeMap;

/// Sigma of the log-normal distribution (with median 1) of the destinations' service time factors.
const SERVICE_TIME_FACTOR_SIGMA: f64 = 0.3;
/// Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio: spreads small salts over all 64 bits.
const SALT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Timing tolerance of runs on sockets, in nanoseconds.
const SOCKET_TIMING_TOLERANCE: Time = 60_000_000;
/// Timing tolerance of emulated runs, in nanoseconds.
const EMULATED_TIMING_TOLERANCE: Time = 8_000_000;

/// The environment in which a scenario runs, which determines how precise the recorded times are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timebase {
    /// Courier processes on sockets: recorded times include the delays of process scheduling, event loops and
    /// the loopback network.
    Sockets,
    /// Emulated couriers in virtual time: recorded times include only the delays of the emulated network and
    /// hosts.
    Emulated,
}

impl Timebase {
    /// Returns the tolerance that the conformance checks add to every time limit, in nanoseconds.
    fn timing_tolerance(self) -> Time {
        match self {
            Timebase::Sockets => SOCKET_TIMING_TOLERANCE,
            Timebase::Emulated => EMULATED_TIMING_TOLERANCE,
        }
    }
}

/// A message that a client is to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When the message is first submitted, in nanoseconds after the start of the run.
    pub at: Time,
    /// The class number.
    pub class: u8,
    /// The number of the destination.
    pub destination: u32,
    /// The ordering key, if the message has one.
    pub key: Option<u64>,
}

/// A destination as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedDestination {
    /// The name of the destination's kind.
    pub kind: String,
    /// Calls per second that the limit of the destination admits; where routes are independent, the limit of
    /// each endpoint admits as many.
    pub rate: f64,
}

/// A fleet: everything about a run that is drawn before it begins.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The scenario that the fleet was drawn from.
    pub scenario: Scenario,
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The destinations with their endpoints.
    pub destinations: Vec<SimulatedDestination>,
    /// The messages that clients submit, ordered by time.
    pub messages: Vec<PlannedMessage>,
    /// Calls per second that all limits admit together.
    pub full_load: f64,
}

/// Draws a number from a range with uniform distribution.
fn draw_between(rng: &mut ChaCha8Rng, [lowest, highest]: [f64; 2]) -> f64 {
    lowest + rng.random::<f64>() * (highest - lowest)
}

impl Fleet {
    /// Draws a fleet from a scenario.
    pub fn draw(scenario: Scenario, seed: u64) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let destinations = draw_destinations(&scenario, &mut rng);
        let mut fleet = Fleet { scenario, seed, destinations, messages: Vec::new(), full_load: 0.0 };
        let rate_limits = fleet.destinations.iter().map(|destination| fleet.rate_limit(destination));
        fleet.full_load = rate_limits.sum();
        fleet.messages = traffic::draw_messages(&fleet, &mut rng);
        fleet
    }

    /// Returns the calls per second that a destination admits over all its routes.
    fn rate_limit(&self, destination: &SimulatedDestination) -> f64 {
        let independent_routes = self.scenario.kind[destination.kind].independent_routes;
        let routes = if independent_routes { destination.endpoints.len() } else { 1 };
        destination.rate * routes as f64
    }

    /// Draws destinations in random order until their rate limits add up to at least `part * full_load`, so
    /// that they receive about this fraction of the traffic. The salt selects the order.
    pub fn affected_destinations(&self, part: f64, salt: u64) -> Vec<u32> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ salt.wrapping_mul(SALT_FACTOR));
        let mut order: Vec<usize> = (0..self.destinations.len()).collect();
        order.shuffle(&mut rng);
        let mut affected_load = 0.0;
        let mut affected = Vec::new();
        for position in order {
            if affected_load >= part * self.full_load {
                break;
            }
            let destination = &self.destinations[position];
            affected_load += self.rate_limit(destination);
            affected.push(destination.destination);
        }
        affected
    }

    /// Returns a summary of the size of the fleet, in one line.
    pub fn about(&self) -> String {
        let endpoints: usize = self.destinations.iter().map(|destination| destination.endpoints.len()).sum();
        format!(
            "{} couriers, {} destinations with {endpoints} endpoints, {} messages, {} faults",
            self.scenario.couriers,
            self.destinations.len(),
            self.messages.len(),
            self.scenario.faults.len()
        )
    }

    /// Returns the seed of the random decisions of one incarnation of a courier.
    pub fn courier_seed(&self, courier: u32, incarnation: u32) -> u64 {
        self.seed ^ (u64::from(courier) << 32) ^ u64::from(incarnation)
    }

    /// Draws the offset of a wall clock in nanoseconds, uniformly; negative if the clock is behind. The
    /// absolute offset is at most `max_clock_difference_ms / 2`, so that any two clocks differ by at most
    /// `max_clock_difference_ms`.
    pub fn draw_clock_offset(&self, rng: &mut impl Rng) -> i64 {
        let max_offset = millis(self.scenario.clients.max_clock_difference_ms / 2.0) as i64;
        rng.random_range(-max_offset..=max_offset)
    }

    /// Returns the topic of each class, which is the name of the class, indexed by class number.
    pub fn topics(&self) -> Vec<String> {
        self.scenario.class.iter().map(|class| class.name.clone()).collect()
    }

    /// Returns the destinations as the endpoint list describes them, by number.
    pub fn listed(&self) -> BTreeMap<u32, ListedDestination> {
        let mut listed = BTreeMap::new();
        for destination in &self.destinations {
            let kind = self.scenario.kind[destination.kind].name.clone();
            listed.insert(destination.destination, ListedDestination { kind, rate: destination.rate });
        }
        listed
    }
}

fn draw_destinations(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<SimulatedDestination> {
    let mut destinations: Vec<SimulatedDestination> = Vec::new();
    let mut last_endpoint = 0;
    for (number, kind) in scenario.kind.iter().enumerate() {
        for _ in 0..kind.destinations {
            let endpoints = draw_endpoints(kind, scenario.zones.len(), last_endpoint, rng);
            last_endpoint += endpoints.len() as u32;
            let rate = draw_between(rng, kind.rate);
            let service_time_factor = LogNormal::new(0.0, SERVICE_TIME_FACTOR_SIGMA)
                .map_or(1.0, |distribution| distribution.sample(rng));
            destinations.push(SimulatedDestination {
                destination: destinations.len() as u32,
                kind: number,
                rate,
                endpoints,
                service_time_factor,
            });
        }
    }
    destinations
}

/// Draws the endpoints of a destination, numbered from `last_endpoint + 1`.
fn draw_endpoints(
    kind: &Kind,
    zones: usize,
    last_endpoint: u32,
    rng: &mut ChaCha8Rng,
) -> Vec<SimulatedEndpoint> {
    let [fewest, most] = kind.endpoints;
    let count = rng.random_range(fewest..=most);
    let mut endpoints = Vec::new();
    for number in 1..=count {
        let zone = rng.random_range(0..zones) as u8;
        endpoints.push(SimulatedEndpoint { endpoint: last_endpoint + number, zone });
    }
    endpoints
}
