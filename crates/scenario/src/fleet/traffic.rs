//! The messages of a fleet: Poisson arrivals and bursts, with the sudden load and the hot destinations of the
//! scenario.

use super::{draw_between, Fleet, PlannedMessage};
use crate::scenario::{FaultKind, FaultSpec};
use crate::units::seconds;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// The weight of a destination in the traffic is its rate limit times a factor drawn uniformly from this
/// range.
const WEIGHT_RANGE: [f64; 2] = [0.7, 1.3];
/// Largest fraction of messages that arrive in bursts.
const MAX_BURST_SHARE: f64 = 0.95;
/// The messages of a burst arrive within this fraction of `burst_s`, the time in which their destination
/// admits as many.
const BURST_COMPRESSION: f64 = 0.05;
/// Least rate, in messages per second; it keeps the exponential distribution valid.
const MIN_RATE: f64 = 1e-9;

/// Draws all messages, in the order of their times.
pub(super) fn draw_messages(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<PlannedMessage> {
    let mut generator = TrafficGenerator::new(fleet, rng);
    generator.draw_single_messages();
    generator.draw_bursts();
    let mut messages = generator.messages;
    messages.sort_by_key(|message| message.at);
    messages
}

struct TrafficGenerator<'a> {
    fleet: &'a Fleet,
    rng: &'a mut ChaCha8Rng,
    /// Relative traffic of each destination, indexed by its position in `Fleet::destinations`.
    weights: Vec<f64>,
    weight_sum: f64,
    /// Positions of the destinations in descending order of their traffic.
    by_weight: Vec<usize>,
    /// Mean messages per second, in bursts and outside of them, without sudden load.
    rate: f64,
    /// The fraction of messages that arrive in bursts.
    burst_share: f64,
    messages: Vec<PlannedMessage>,
}

impl<'a> TrafficGenerator<'a> {
    fn new(fleet: &'a Fleet, rng: &'a mut ChaCha8Rng) -> Self {
        let mut weights = Vec::new();
        for destination in &fleet.destinations {
            weights.push(fleet.rate_limit(destination) * draw_between(rng, WEIGHT_RANGE));
        }
        let mut by_weight: Vec<usize> = (0..weights.len()).collect();
        by_weight.sort_by(|&one, &other| weights[other].total_cmp(&weights[one]));
        let traffic = &fleet.scenario.traffic;
        TrafficGenerator {
            fleet,
            rng,
            weight_sum: weights.iter().sum(),
            weights,
            by_weight,
            rate: fleet.full_load * traffic.load,
            burst_share: traffic.burst_share.clamp(0.0, MAX_BURST_SHARE),
            messages: Vec::new(),
        }
    }

    /// Draws the messages outside of bursts: an inhomogeneous Poisson process, by thinning. Arrivals are
    /// drawn at `rate * h`, where `h` is the highest load factor, and each is kept with the probability
    /// `load_factor(at) * (1 - burst_share) / h`.
    fn draw_single_messages(&mut self) {
        let highest_factor = self.highest_load_factor();
        let highest_rate = (self.rate * highest_factor).max(MIN_RATE);
        let Ok(interarrival) = Exp::new(highest_rate) else { return };
        let mut at = interarrival.sample(self.rng);
        while at < self.fleet.scenario.seconds {
            let acceptance = self.load_factor(at) * (1.0 - self.burst_share);
            if self.rng.random::<f64>() * highest_factor < acceptance {
                let destination = self.draw_destination_at(at);
                self.add_message(at, destination);
            }
            at += interarrival.sample(self.rng);
        }
    }

    /// Draws bursts of `rate limit * burst_s` messages, each for one destination at a uniform time.
    fn draw_bursts(&mut self) {
        let scenario = &self.fleet.scenario;
        let burst_seconds = scenario.traffic.burst_s;
        let mut remaining = self.rate * scenario.seconds * self.burst_share;
        while remaining >= 1.0 {
            let destination = self.draw_destination();
            let rate_limit = self.fleet.rate_limit(&self.fleet.destinations[destination]);
            let size = (rate_limit * burst_seconds).max(1.0);
            let begin = self.rng.random::<f64>() * scenario.seconds;
            let messages = size.min(remaining).max(1.0) as usize;
            for _ in 0..messages {
                let delay = self.rng.random::<f64>() * burst_seconds * BURST_COMPRESSION;
                self.add_message((begin + delay).min(scenario.seconds), destination);
            }
            remaining -= size;
        }
    }

    /// Returns the faults of this kind that are in force at this time.
    fn in_force(&self, kind: FaultKind, at: f64) -> impl Iterator<Item = &'a FaultSpec> {
        let faults = self.fleet.scenario.faults.iter();
        faults.filter(move |fault| fault.what == kind && at >= fault.at && at < fault.at + fault.lasts)
    }

    /// Returns the factor by which sudden load multiplies the rate of messages outside of bursts at this
    /// time, in seconds after the start.
    fn load_factor(&self, at: f64) -> f64 {
        self.in_force(FaultKind::SuddenLoad, at).map(|fault| fault.size).product()
    }

    /// Returns an upper bound of the load factor: the product of all sudden-load factors above 1, as if those
    /// faults were in force at once.
    fn highest_load_factor(&self) -> f64 {
        let faults = self.fleet.scenario.faults.iter();
        let sudden_load = faults.filter(|fault| fault.what == FaultKind::SuddenLoad);
        sudden_load.map(|fault| fault.size.max(1.0)).product()
    }

    /// Draws the position of a destination with a probability in proportion to its weight.
    fn draw_destination(&mut self) -> usize {
        let mut left = self.rng.random::<f64>() * self.weight_sum;
        let found = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    /// Draws the position of a destination. While a hot-destinations fault is in force, its `extra`
    /// destinations of the highest weight are chosen with probability `size`, each equally often.
    fn draw_destination_at(&mut self, at: f64) -> usize {
        let Some(hot) = self.in_force(FaultKind::HotDestinations, at).next() else {
            return self.draw_destination();
        };
        if self.rng.random::<f64>() >= hot.size {
            return self.draw_destination();
        }
        let count = (hot.extra.max(1.0) as usize).min(self.by_weight.len());
        self.by_weight[self.rng.random_range(0..count)]
    }

    fn add_message(&mut self, at: f64, destination: usize) {
        let class = self.draw_class();
        let scenario = &self.fleet.scenario;
        let keys = scenario.traffic.keys;
        let has_key = scenario.class[class].ordered && keys > 0;
        let key = has_key.then(|| u64::from(self.rng.random_range(0..keys)) + 1);
        self.messages.push(PlannedMessage {
            at: seconds(at),
            class: class as u8,
            destination: destination as u32,
            key,
        });
    }

    fn draw_class(&mut self) -> usize {
        let classes = &self.fleet.scenario.class;
        let share_sum = classes.iter().map(|class| class.share).sum::<f64>();
        let mut left = self.rng.random::<f64>() * share_sum;
        let found = classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        found.unwrap_or(0)
    }
}
