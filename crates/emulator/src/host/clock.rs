//! The clocks of a host: a monotonic one that drifts and a wall clock that may be off.

use linnetcart_conformance::Time;

/// What correct wall clocks show when a run begins: a moment in November 2023, in nanoseconds since 1970.
pub const WALL_CLOCK_START: Time = 1_700_000_000 * 1_000_000_000;
/// What a monotonic clock shows at least when a program starts.
const MONOTONIC_START: Time = 3600 * 1_000_000_000;
const PARTS_PER_MILLION: i128 = 1_000_000;

/// How the clocks of a host deviate from the network's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockDeviation {
    /// How far the monotonic clock is ahead of the earliest possible one.
    pub monotonic_ahead: Time,
    /// How much too fast the monotonic clock runs, in parts per million.
    pub drift_ppm: i64,
    /// How far the wall clock is ahead of the correct time; negative if it is behind.
    pub wall_offset: i64,
}

/// The clocks of a host in one incarnation of its program.
#[derive(Debug)]
pub(super) struct HostClock {
    /// When the program started, on the network's clock.
    started_at: Time,
    /// What the monotonic clock showed then.
    initial_reading: Time,
    drift_ppm: i64,
    wall_offset: i64,
}

impl HostClock {
    pub(super) fn new(started_at: Time, deviation: ClockDeviation) -> HostClock {
        HostClock {
            started_at,
            initial_reading: MONOTONIC_START + deviation.monotonic_ahead,
            drift_ppm: deviation.drift_ppm,
            wall_offset: deviation.wall_offset,
        }
    }

    /// What the monotonic clock shows at a moment of the network's clock.
    pub(super) fn monotonic(&self, now: Time) -> Time {
        let elapsed = now.saturating_sub(self.started_at);
        let drift = (i128::from(elapsed) * i128::from(self.drift_ppm) / PARTS_PER_MILLION) as i64;
        self.initial_reading + elapsed.saturating_add_signed(drift)
    }

    /// What the wall clock shows at a moment of the network's clock.
    pub(super) fn wall(&self, now: Time) -> Time {
        (WALL_CLOCK_START + now).saturating_add_signed(self.wall_offset)
    }

    /// The moment of the network's clock at which the monotonic clock shows this reading or a later one.
    pub(super) fn when_shown(&self, reading: Time) -> Time {
        let elapsed_here = reading.saturating_sub(self.initial_reading);
        let rate = (PARTS_PER_MILLION + i128::from(self.drift_ppm)).max(1);
        let elapsed = (i128::from(elapsed_here) * PARTS_PER_MILLION / rate) as Time;
        // The division rounds down; one nanosecond more is never too early.
        let rounding = u64::from(self.drift_ppm != 0);
        self.started_at.saturating_add(elapsed).saturating_add(rounding)
    }
}
