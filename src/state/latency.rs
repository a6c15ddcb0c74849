//! Sliding window of recent latencies.

use crate::interface::Time;
use std::collections::VecDeque;

/// Latencies of the last served calls, and a high percentile of them, in nanoseconds. The caller of
/// [`record`](Self::record) chooses the percentile and the minimum number of samples.
#[derive(Debug, Default)]
pub(crate) struct LatencySamples {
    /// The latencies in nanoseconds, oldest first.
    samples: VecDeque<Time>,
    /// The percentile of `samples` that the caller chose, in nanoseconds; `None` while there are too few
    /// samples.
    pub(crate) high_percentile: Option<Time>,
}

impl LatencySamples {
    /// Adds a latency, keeps the last `capacity` and recomputes the percentile: `percentile` takes the
    /// latencies in ascending order, and returns `None` if there are too few of them.
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
