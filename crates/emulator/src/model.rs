//! Timing of hosts and network. Recipes of runs hold it, so the names in files stay as they are.

use linnetcart_conformance::Time;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Timing of hosts and network. Spans are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// What the work of a courier's event loop costs.
    #[serde(rename = "pace")]
    pub loop_costs: LoopCosts,
    /// Delay of the network, each way.
    pub delay: DelayDistribution,
    /// Clocks run too fast or too slow by at most so many parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: i64,
    /// Monotonic clocks of two hosts differ by at most so much.
    #[serde(rename = "apart")]
    pub max_clock_difference: Time,
}

impl Default for Model {
    /// Loopback of one machine, and hosts as the throughput baseline measured them.
    fn default() -> Self {
        Model {
            loop_costs: LoopCosts { per_iteration: 20_000, per_item: 8_000, snapshot_write: 3_000_000 },
            delay: DelayDistribution { minimum: 30_000, mean_extra: 15_000 },
            max_clock_drift_ppm: 50,
            max_clock_difference: 5_000_000_000,
        }
    }
}

/// How long a courier's event loop takes for its work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoopCosts {
    /// One iteration, whatever it does.
    #[serde(rename = "turn")]
    pub per_iteration: Time,
    /// Each input and each output.
    #[serde(rename = "each")]
    pub per_item: Time,
    /// Writing a snapshot.
    #[serde(rename = "save")]
    pub snapshot_write: Time,
}

/// Distribution of a delay: a minimum, and an exponential part on top.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayDistribution {
    /// The minimum.
    #[serde(rename = "least")]
    pub minimum: Time,
    /// The mean of the exponential part; 0 for none.
    #[serde(rename = "more")]
    pub mean_extra: Time,
}

impl DelayDistribution {
    /// Draws a delay. Nothing is drawn from `rng` if there is no exponential part.
    pub fn sample(&self, rng: &mut ChaCha8Rng) -> Time {
        match Exp::new(1.0 / (self.mean_extra.max(1) as f64)) {
            Ok(extra) if self.mean_extra > 0 => self.minimum + extra.sample(rng) as Time,
            _ => self.minimum,
        }
    }
}
