//! The courier's monotonic clock and its conversion to the wall clock that records use.

use linnetcart::Time;

/// One millisecond in nanoseconds.
pub const MILLISECOND: Time = 1_000_000;

/// The time of the present iteration. Only the core advances it; other parts get the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    now: Time,
    /// Wall clock minus monotonic clock.
    wall_offset: Time,
}

impl Clock {
    /// Creates a clock that shows `now` while the wall clock shows `wall`.
    pub fn new(now: Time, wall: Time) -> Clock {
        Clock { now, wall_offset: wall.saturating_sub(now) }
    }

    /// Returns the monotonic time.
    pub fn now(self) -> Time {
        self.now
    }

    /// Returns the wall-clock time.
    pub fn wall_now(self) -> Time {
        self.now + self.wall_offset
    }

    /// Converts a monotonic time to wall-clock time.
    pub fn to_wall(self, time: Time) -> Time {
        time + self.wall_offset
    }

    /// Converts a wall-clock time to monotonic time. A time that has passed becomes the present time.
    pub fn at_wall(self, wall: Time) -> Time {
        wall.saturating_sub(self.wall_offset).max(self.now)
    }

    /// Advances to `now`; an earlier time has no effect.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }
}
