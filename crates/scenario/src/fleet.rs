//! A fleet drawn from a scenario and a seed: destinations, messages, settings. The same seed draws the same.

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

/// Spread of the destinations' service times around the usual ones, as the deviation of their logarithm.
const SERVICE_TIME_SPREAD: f64 = 0.3;
/// Spreads the salts of draws over the whole range of a seed.
const SALT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// What time a scenario is played in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timebase {
    /// On sockets: clocks, loops and travel on a machine add to the figures of the rules.
    Sockets,
    /// In virtual time: they add what the emulated network and hosts take, and no more.
    Emulated,
}

impl Timebase {
    /// What clocks and travel may add to any figure of the rules.
    fn timing_tolerance(self) -> Time {
        match self {
            Timebase::Sockets => 60_000_000,
            Timebase::Emulated => 8_000_000,
        }
    }
}

/// A message that is to be submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When.
    pub at: Time,
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// Its ordering key.
    pub key: Option<u64>,
}

/// A destination as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedDestination {
    /// The name of its kind.
    pub kind: String,
    /// Calls a second that it admits.
    pub rate: f64,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The scenario that it was drawn from.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Destinations.
    pub destinations: Vec<SimulatedDestination>,
    /// Messages in the order of their times.
    pub messages: Vec<PlannedMessage>,
    /// Calls a second that all limits admit.
    pub full_load: f64,
}

/// A number from a range, evenly distributed.
fn draw_between(rng: &mut ChaCha8Rng, [lowest, highest]: [f64; 2]) -> f64 {
    lowest + rng.random::<f64>() * (highest - lowest)
}

impl Fleet {
    /// Draws a fleet.
    pub fn draw(scenario: Scenario, seed: u64) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let destinations = draw_destinations(&scenario, &mut rng);
        let mut fleet = Fleet { scenario, seed, destinations, messages: Vec::new(), full_load: 0.0 };
        let rate_limits = fleet.destinations.iter().map(|destination| fleet.rate_limit(destination));
        fleet.full_load = rate_limits.sum();
        fleet.messages = traffic::draw_messages(&fleet, &mut rng);
        fleet
    }

    /// Calls a second that a destination admits over all its routes.
    fn rate_limit(&self, destination: &SimulatedDestination) -> f64 {
        let independent_routes = self.scenario.kind[destination.kind].routes_apart;
        let routes = if independent_routes { destination.endpoints.len() } else { 1 };
        destination.rate * routes as f64
    }

    /// Destinations that together get about this share of the traffic, drawn by `salt`.
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

    /// What there is of everything, in a line.
    pub fn about(&self) -> String {
        let endpoints: usize = self.destinations.iter().map(|destination| destination.endpoints.len()).sum();
        format!(
            "{} couriers, {} destinations with {endpoints} endpoints, {} messages, {} troubles",
            self.scenario.couriers,
            self.destinations.len(),
            self.messages.len(),
            self.scenario.trouble.len()
        )
    }

    /// The seed of a courier's decisions, in one of its incarnations.
    pub fn courier_seed(&self, courier: u32, incarnation: u32) -> u64 {
        self.seed ^ (u64::from(courier) << 32) ^ u64::from(incarnation)
    }

    /// How far a wall clock is ahead of the right time, less where it is behind: any two differ by no more
    /// than the scenario says.
    pub fn clock_off(&self, rng: &mut impl Rng) -> i64 {
        let most = millis(self.scenario.clients.clocks_ms / 2.0) as i64;
        rng.random_range(-most..=most)
    }

    /// The topics, by class.
    pub fn topics(&self) -> Vec<String> {
        self.scenario.class.iter().map(|class| class.name.clone()).collect()
    }

    /// Each destination as the endpoint list describes it.
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
            let service_time_factor =
                LogNormal::new(0.0, SERVICE_TIME_SPREAD).map_or(1.0, |distribution| distribution.sample(rng));
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

/// The endpoints of a destination, numbered from the one after `last_endpoint`.
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
