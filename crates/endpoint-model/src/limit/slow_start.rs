//! The slow start of a limit after an outage: a linear capacity ramp, and its overload by too many calls.

use super::NANOS_PER_SECOND;
use crate::destinations::RecoveryModel;
use linnetcart_conformance::Time;
use std::collections::VecDeque;

/// The calls in a window count as an overload only if their number exceeds the tolerated mean by this many
/// standard deviations of a Poisson distribution, `sqrt(mean)`: random arrivals form clusters by chance.
const TOLERATED_DEVIATIONS: f64 = 2.0;

/// Whether a call overloaded a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadEffect {
    /// The call is tolerated, or the limit was overloaded before.
    Tolerated,
    /// The call overloads the limit.
    Overloads,
}

/// The state of a slow start.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// When the last outage ended or will end, which is when the capacity ramp begins; `None` before any
    /// outage.
    since: Option<Time>,
    overloaded: bool,
    /// Times of the calls within the sliding overload window.
    recent_calls: VecDeque<Time>,
}

impl SlowStart {
    /// Begins the ramp at this time, which may be in the future.
    pub(super) fn begin(&mut self, at: Time) {
        self.since = Some(at);
    }

    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns the fraction of the capacity that is available: `r + (1 - r) * progress` during the ramp, 1
    /// outside of it.
    pub(super) fn capacity_fraction(&self, now: Time, recovery: &RecoveryModel) -> f64 {
        match self.since {
            Some(since) if now >= since && now < since + recovery.slow_start_duration => {
                let progress = (now - since) as f64 / recovery.slow_start_duration as f64;
                recovery.slow_start_ratio + (1.0 - recovery.slow_start_ratio) * progress
            }
            _ => 1.0,
        }
    }

    /// Counts a call, and returns whether it overloads the limit: whether the calls in the window exceed
    /// `mean + 2 * sqrt(mean) + 1`, with `mean = overload_ratio * available capacity * window`. `capacity` is
    /// the full one, in calls per second.
    pub(super) fn count_call(&mut self, now: Time, recovery: &RecoveryModel, capacity: f64) -> LoadEffect {
        while self.recent_calls.front().is_some_and(|&at| at + recovery.overload_window <= now) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back(now);
        let capacity_fraction = self.capacity_fraction(now, recovery);
        if capacity_fraction >= 1.0 || self.overloaded {
            return LoadEffect::Tolerated;
        }
        // Calls during the outage do not count against the limit.
        let since = self.since.unwrap_or(0);
        let calls = self.recent_calls.iter().filter(|&&at| at >= since).count() as f64;
        let window = recovery.overload_window as f64;
        let mean = recovery.overload_ratio * capacity_fraction * capacity * window / NANOS_PER_SECOND;
        // A single call is never an overload.
        self.overloaded = calls > mean + TOLERATED_DEVIATIONS * mean.sqrt() + 1.0;
        if self.overloaded {
            LoadEffect::Overloads
        } else {
            LoadEffect::Tolerated
        }
    }
}
