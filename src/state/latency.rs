//! Recent latencies.

use crate::interface::Time;
use std::collections::VecDeque;

/// The latencies of the last calls in nanoseconds, and their high percentile once there are enough.
#[derive(Debug, Default)]
pub(crate) struct LatencySamples {
    samples: VecDeque<Time>,
    pub(crate) high_percentile: Option<Time>,
}

impl LatencySamples {
    /// Adds a latency and drops all but the last `capacity`; `percentile` is computed from the sorted
    /// latencies.
    pub(crate) fn record(
        &mut self,
        latency: Time,
        capacity: usize,
        percentile: impl Fn(&[Time]) -> Option<Time>,
    ) {
        self.samples.push_back(latency);
        if self.samples.len() > capacity {
            self.samples.pop_front();
        }
        let mut sorted: Vec<Time> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.high_percentile = percentile(&sorted);
    }
}
