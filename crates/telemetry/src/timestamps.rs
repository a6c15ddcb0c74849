//! Timestamps of reports: the wall clock's time, but never the same twice and never going back.

use crate::time::SECOND;
use linnetcart::Time;

#[cfg(test)]
mod tests;

/// A clock set back by more than this is followed at once: the time before was wrong.
const MAX_TIME_AHEAD: Time = 24 * 3600 * SECOND;

/// A timestamp of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Nanoseconds since 1970.
    pub time: Time,
    /// How far it is ahead of the wall clock, in nanoseconds.
    pub ahead: Time,
}

/// Gives a courier's reports their timestamps.
#[derive(Clone, Debug)]
pub struct Timestamps {
    last: Time,
    /// The monotonic clock when the last timestamp was given.
    last_given_at: Time,
}

impl Timestamps {
    /// Continues after the last timestamp of an earlier run; 0 if there was none.
    pub fn new(last: Time, now: Time) -> Timestamps {
        Timestamps { last, last_given_at: now }
    }

    /// The last timestamp given, in nanoseconds since 1970.
    pub fn last(&self) -> Time {
        self.last
    }

    /// The next timestamp, at these readings of the monotonic and the wall clock. After the wall clock was
    /// set back, timestamps advance at half its speed until it has caught up.
    pub fn next(&mut self, now: Time, wall: Time) -> Timestamp {
        let time = if wall > self.last || self.last - wall > MAX_TIME_AHEAD {
            wall
        } else {
            let elapsed = now.saturating_sub(self.last_given_at);
            // Graphite counts whole seconds: two timestamps within one would overwrite each other.
            self.last + (elapsed / 2).max(SECOND)
        };
        self.last = time;
        self.last_given_at = now;
        Timestamp { time, ahead: time.saturating_sub(wall) }
    }
}
