//! Timestamps of reports: readings of the wall clock, slewed to stay increasing when it is set back.

use crate::time::SECOND;
use linnetcart::Time;

#[cfg(test)]
mod tests;

/// If timestamps are ahead of the wall clock by more than this, in nanoseconds, they are stepped back to it
/// at once, because the earlier time was wrong.
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
    /// The last timestamp, in nanoseconds since 1970.
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

    /// Returns the next timestamp at these readings of the monotonic and the wall clock. While the wall clock
    /// is behind the last timestamp, timestamps advance by max(elapsed / 2, 1 s), so that it catches up.
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
