//! The monotonic time of the present iteration, and its conversion to the wall-clock time used in records.

use linnetcart::Time;

/// One millisecond in nanoseconds.
pub const MILLISECOND: Time = 1_000_000;

/// The time of the present iteration, in nanoseconds. Only the core advances it; the parts get the time as an
/// argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    now: Time,
    /// Input that is handled now arrived at this monotonic time at the earliest.
    input_since: Time,
    /// Wall-clock time minus monotonic time, fixed at the start of the process.
    wall_offset: Time,
}

impl Clock {
    /// Creates a clock at the monotonic time `now` and the wall-clock time `wall` of the same moment.
    pub fn new(now: Time, wall: Time) -> Clock {
        Clock { now, input_since: now, wall_offset: wall.saturating_sub(now) }
    }

    /// Returns the monotonic time of the present iteration.
    pub fn now(self) -> Time {
        self.now
    }

    /// Returns the wall-clock time of the present iteration, in nanoseconds since the Unix epoch.
    pub fn wall_now(self) -> Time {
        self.now + self.wall_offset
    }

    /// Converts a monotonic time to wall-clock time.
    pub fn to_wall(self, time: Time) -> Time {
        time + self.wall_offset
    }

    /// Converts a wall-clock time to monotonic time. A time in the past becomes the present time.
    pub fn to_monotonic(self, wall: Time) -> Time {
        wall.saturating_sub(self.wall_offset).max(self.now)
    }

    /// Advances the monotonic time to `now`; an earlier time has no effect. Input arrives now until
    /// [`Clock::set_input_since`] says otherwise.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.input_since = self.now;
    }

    /// Sets the earliest time at which the input that is handled now can have arrived.
    pub fn set_input_since(&mut self, since: Time) {
        self.input_since = since.min(self.now);
    }

    /// Returns the earliest time at which the input that is handled now can have arrived.
    pub fn input_since(self) -> Time {
        self.input_since
    }
}
