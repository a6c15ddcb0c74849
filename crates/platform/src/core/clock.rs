//! The courier's clock, and what it is worth on the wall clock that records use.

use linnetcart::Time;

/// Nanoseconds.
pub const MILLISECOND: Time = 1_000_000;

/// The time of the iteration. Only the core advances it; parts get the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    now: Time,
    /// Wall clock minus clock.
    wall_offset: Time,
}

impl Clock {
    /// A clock that stands at `now`, when the wall clock shows `wall`.
    pub fn new(now: Time, wall: Time) -> Clock {
        Clock { now, wall_offset: wall.saturating_sub(now) }
    }

    /// The time.
    pub fn now(self) -> Time {
        self.now
    }

    /// The time on the wall clock.
    pub fn wall_now(self) -> Time {
        self.now + self.wall_offset
    }

    /// A time of the clock on the wall clock.
    pub fn to_wall(self, time: Time) -> Time {
        time + self.wall_offset
    }

    /// The clock at a time of the wall clock; one that has passed is now.
    pub fn at_wall(self, wall: Time) -> Time {
        wall.saturating_sub(self.wall_offset).max(self.now)
    }

    /// Moves on to `now`; never back.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }
}
