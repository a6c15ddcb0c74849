//! The clock readings that the core was last given. The core never reads a clock itself.

use linnetcart::Time;

/// The latest clock readings and how long before them an input may have arrived.
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

    /// The monotonic clock as of the current iteration.
    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// When an input that is read now may have arrived at the earliest.
    pub(crate) fn earliest_arrival(&self) -> Time {
        self.earliest_arrival
    }

    /// The wall clock at [`ClockReadings::now`], where it is known.
    pub(crate) fn wall(&self) -> Option<Time> {
        self.wall
    }

    /// Takes a reading of the monotonic clock, which never goes back.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.earliest_arrival = self.now;
    }

    /// Takes a reading of the wall clock.
    pub(crate) fn set_wall(&mut self, wall: Time) {
        self.wall = Some(wall);
    }

    /// Inputs may have arrived at any time since then.
    pub(crate) fn set_earliest_arrival(&mut self, since: Time) {
        self.earliest_arrival = since.min(self.now);
    }
}
