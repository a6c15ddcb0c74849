//! The clock readings that the core was last given. The core never reads a clock itself.

use linnetcart::Time;

/// The latest clock readings, in nanoseconds, and since when inputs that are read now may have arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReadings {
    now: Time,
    earliest_arrival: Time,
    wall: Option<Time>,
}

impl ClockReadings {
    pub(crate) fn new(now: Time) -> Self {
        ClockReadings { now, earliest_arrival: now, wall: None }
    }

    /// Returns the monotonic clock as of the current iteration, in nanoseconds.
    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Returns the earliest time, by the monotonic clock, at which an input that is read now can have
    /// arrived.
    pub(crate) fn earliest_arrival(&self) -> Time {
        self.earliest_arrival
    }

    /// Returns the wall clock at [`ClockReadings::now`], in nanoseconds since 1970, or `None` if it was never
    /// set.
    pub(crate) fn wall(&self) -> Option<Time> {
        self.wall
    }

    /// Sets the monotonic clock, and the earliest arrival to the same time. A reading before the last one is
    /// ignored.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.earliest_arrival = self.now;
    }

    /// Sets the wall clock as of [`ClockReadings::now`], in nanoseconds since 1970.
    pub(crate) fn set_wall(&mut self, wall: Time) {
        self.wall = Some(wall);
    }

    /// Sets the earliest time, by the monotonic clock, at which inputs that are read now can have arrived:
    /// `min(since, now)`.
    pub(crate) fn set_earliest_arrival(&mut self, since: Time) {
        self.earliest_arrival = since.min(self.now);
    }
}
