//! Messages of a fleet: at random times, with bursts, sudden load and hot destinations as the scenario has
//! them.

use super::{draw_between, Fleet, PlannedMessage};
use crate::scenario::{FaultKind, FaultSpec};
use crate::units::seconds;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Traffic of a destination over its part of all limits.
const WEIGHT_RANGE: [f64; 2] = [0.7, 1.3];
/// Share of messages in bursts at most.
const MAX_BURST_SHARE: f64 = 0.95;
/// Messages of a burst come within this part of the time that its destination needs for them.
const BURST_COMPRESSION: f64 = 0.05;
/// Rates are not lower, in messages a second.
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
    /// Traffic of each destination, by its position.
    weights: Vec<f64>,
    weight_sum: f64,
    /// Positions of destinations, the one with most traffic first.
    by_weight: Vec<usize>,
    /// Messages a second, apart from sudden load.
    rate: f64,
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
            burst_share: traffic.clumps.clamp(0.0, MAX_BURST_SHARE),
            messages: Vec::new(),
        }
    }

    /// Messages on their own: exponential distances at the highest rate, thinned to the rate of the moment.
    fn draw_single_messages(&mut self) {
        let highest_factor = self.highest_load_factor();
        let highest_rate = (self.rate * highest_factor).max(MIN_RATE);
        let Ok(distance) = Exp::new(highest_rate) else { return };
        let mut at = distance.sample(self.rng);
        while at < self.fleet.scenario.seconds {
            let kept_part = self.load_factor(at) * (1.0 - self.burst_share);
            if self.rng.random::<f64>() * highest_factor < kept_part {
                let destination = self.draw_destination_at(at);
                self.add_message(at, destination);
            }
            at += distance.sample(self.rng);
        }
    }

    /// Bursts: each as large as its destination admits in some seconds.
    fn draw_bursts(&mut self) {
        let scenario = &self.fleet.scenario;
        let burst_seconds = scenario.traffic.clump_s;
        let mut left = self.rate * scenario.seconds * self.burst_share;
        while left >= 1.0 {
            let destination = self.draw_destination();
            let rate_limit = self.fleet.rate_limit(&self.fleet.destinations[destination]);
            let size = (rate_limit * burst_seconds).max(1.0);
            let begin = self.rng.random::<f64>() * scenario.seconds;
            let messages = size.min(left).max(1.0) as usize;
            for _ in 0..messages {
                let delay = self.rng.random::<f64>() * burst_seconds * BURST_COMPRESSION;
                self.add_message((begin + delay).min(scenario.seconds), destination);
            }
            left -= size;
        }
    }

    /// Faults of this kind in force at this time.
    fn in_force(&self, kind: FaultKind, at: f64) -> impl Iterator<Item = &'a FaultSpec> {
        let faults = self.fleet.scenario.trouble.iter();
        faults.filter(move |fault| fault.what == kind && at >= fault.at && at < fault.at + fault.lasts)
    }

    /// By how much sudden load raises the rate at this time.
    fn load_factor(&self, at: f64) -> f64 {
        self.in_force(FaultKind::SuddenLoad, at).map(|fault| fault.size).product()
    }

    /// As if all sudden load came at once.
    fn highest_load_factor(&self) -> f64 {
        let faults = self.fleet.scenario.trouble.iter();
        let sudden_load = faults.filter(|fault| fault.what == FaultKind::SuddenLoad);
        sudden_load.map(|fault| fault.size.max(1.0)).product()
    }

    /// The position of a destination, one with more traffic more often.
    fn draw_destination(&mut self) -> usize {
        let mut left = self.rng.random::<f64>() * self.weight_sum;
        let found = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    /// The same, with hot destinations.
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
        let all_shares = classes.iter().map(|class| class.share).sum::<f64>();
        let mut left = self.rng.random::<f64>() * all_shares;
        let found = classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        found.unwrap_or(0)
    }
}
