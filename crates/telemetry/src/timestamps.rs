//! Timestamps of reports: the time of the wall clock, but never repeated and never going back.

use crate::time::SECOND;
use linnetcart::Time;

#[cfg(test)]
mod tests;

/// If the wall clock was set back by more than this, timestamps follow at once, because the earlier time was
/// wrong.
const MAX_TIME_AHEAD: Time = 24 * 3600 * SECOND;

/// A timestamp of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Time in nanoseconds since 1970.
    pub time: Time,
    /// How far the timestamp is ahead of the wall clock, in nanoseconds.
    pub ahead: Time,
}

/// Generates the timestamps of a courier's reports.
#[derive(Clone, Debug)]
pub struct Timestamps {
    last: Time,
    /// The monotonic clock when the last timestamp was generated.
    last_generated_at: Time,
}

impl Timestamps {
    /// Creates a generator that continues after the last timestamp of an earlier run; 0 if there was none.
    pub fn new(last: Time, now: Time) -> Timestamps {
        Timestamps { last, last_generated_at: now }
    }

    /// Returns the last timestamp, in nanoseconds since 1970.
    pub fn last(&self) -> Time {
        self.last
    }

    /// Returns the next timestamp at these readings of the monotonic and the wall clock. After the wall clock
    /// was set back, timestamps advance at half its speed until it has caught up.
    pub fn next(&mut self, now: Time, wall: Time) -> Timestamp {
        let time = if wall > self.last || self.last - wall > MAX_TIME_AHEAD {
            wall
        } else {
            let elapsed = now.saturating_sub(self.last_generated_at);
            // Graphite has a resolution of one second: two timestamps within a second would overwrite each
            // other.
            self.last + (elapsed / 2).max(SECOND)
        };
        self.last = time;
        self.last_generated_at = now;
        Timestamp { time, ahead: time.saturating_sub(wall) }
    }
}
