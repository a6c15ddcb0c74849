//! The timing of hosts and network. It is stored in recipes of runs, so the names in files stay as they are.

use linnetcart_conformance::Time;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The timing of hosts and network. Durations are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Durations of the work of a courier's event loop.
    #[serde(rename = "pace")]
    pub loop_costs: LoopCosts,
    /// One-way delay of each segment.
    pub delay: DelayDistribution,
    /// Largest drift of a monotonic clock, fast or slow, in parts per million.
    #[serde(rename = "drift")]
    pub max_clock_drift_ppm: i64,
    /// Largest difference between the monotonic clocks of two hosts when their programs start.
    #[serde(rename = "apart")]
    pub max_clock_difference: Time,
}

impl Default for Model {
    /// The loopback network of one machine, and hosts as measured by the throughput baseline.
    fn default() -> Self {
        Model {
            loop_costs: LoopCosts { per_iteration: 20_000, per_item: 8_000, snapshot_write: 3_000_000 },
            delay: DelayDistribution { minimum: 30_000, mean_extra: 15_000 },
            max_clock_drift_ppm: 50,
            max_clock_difference: 5_000_000_000,
        }
    }
}

/// Durations of the work of a courier's event loop, in nanoseconds. An iteration takes
/// `per_iteration + items · per_item`, where items are inputs and outputs, plus `snapshot_write` for each
/// control document.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoopCosts {
    /// Duration of an iteration without inputs and outputs.
    #[serde(rename = "turn")]
    pub per_iteration: Time,
    /// Additional duration for each input and each output.
    #[serde(rename = "each")]
    pub per_item: Time,
    /// Additional duration for each control document, which causes a snapshot to be written.
    #[serde(rename = "save")]
    pub snapshot_write: Time,
}

/// Distribution of a delay in nanoseconds: `minimum` plus an exponentially distributed part of mean
/// `mean_extra`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayDistribution {
    /// The minimum delay.
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
