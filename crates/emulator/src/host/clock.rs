//! The clocks of a host: a monotonic clock that drifts, and a wall clock with an offset.

use linnetcart_conformance::Time;

/// The true wall-clock time when a run begins: 2023-11-14 22:13:20 UTC, in nanoseconds since 1970.
pub const WALL_CLOCK_START: Time = 1_700_000_000 * 1_000_000_000;
/// Lowest reading of a monotonic clock when a program starts: one hour, in nanoseconds.
const MONOTONIC_START: Time = 3600 * 1_000_000_000;
const PARTS_PER_MILLION: i128 = 1_000_000;

/// How the clocks of a host deviate from the network's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockDeviation {
    /// How far the monotonic clock is ahead of its lowest possible reading when the program starts, in
    /// nanoseconds.
    pub monotonic_ahead: Time,
    /// Drift of the monotonic clock in parts per million; positive if it runs fast.
    pub drift_ppm: i64,
    /// Offset of the wall clock from the true wall-clock time, in nanoseconds; negative if the clock is
    /// behind.
    pub wall_offset: i64,
}

/// The clocks of a host in one incarnation of its program.
#[derive(Debug)]
pub(super) struct HostClock {
    /// When the program started, in nanoseconds on the network's clock.
    started_at: Time,
    /// Reading of the monotonic clock when the program started, in nanoseconds.
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

    /// Returns the reading of the monotonic clock at a time of the network's clock: the initial reading plus
    /// `elapsed · (1 + drift_ppm / 10⁶)`.
    pub(super) fn monotonic(&self, now: Time) -> Time {
        let elapsed = now.saturating_sub(self.started_at);
        let drift = (i128::from(elapsed) * i128::from(self.drift_ppm) / PARTS_PER_MILLION) as i64;
        self.initial_reading + elapsed.saturating_add_signed(drift)
    }

    /// Returns the reading of the wall clock at a time of the network's clock, in nanoseconds since 1970:
    /// `WALL_CLOCK_START + now + wall_offset`.
    pub(super) fn wall(&self, now: Time) -> Time {
        (WALL_CLOCK_START + now).saturating_add_signed(self.wall_offset)
    }

    /// Returns the time of the network's clock at which the monotonic clock has reached this reading; the
    /// inverse of [`HostClock::monotonic`].
    pub(super) fn time_of_reading(&self, reading: Time) -> Time {
        let elapsed_here = reading.saturating_sub(self.initial_reading);
        let rate = (PARTS_PER_MILLION + i128::from(self.drift_ppm)).max(1);
        let elapsed = (i128::from(elapsed_here) * PARTS_PER_MILLION / rate) as Time;
        // The division rounds down; with one nanosecond more the result is never too early.
        let rounding = u64::from(self.drift_ppm != 0);
        self.started_at.saturating_add(elapsed).saturating_add(rounding)
    }
}
