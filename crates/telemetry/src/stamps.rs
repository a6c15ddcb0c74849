//! Times that series are stamped with: the wall clock's, but never twice the same and never going back.

use linnetcart::Time;

const SECOND: Time = 1_000_000_000;
/// A clock set back by more than this is believed at once: it was wrong before.
const BELIEVED: Time = 24 * 3600 * SECOND;

/// The stamps of one courier, in nanoseconds since 1970.
#[derive(Clone, Debug)]
pub struct Timestamps {
    last: Time,
    /// The program's own clock at that stamp.
    at: Time,
}

impl Timestamps {
    /// Goes on from the last stamp of an earlier run, if there was one.
    pub fn new(last: Time, now: Time) -> Timestamps {
        Timestamps { last, at: now }
    }

    /// The last one given.
    pub fn last(&self) -> Time {
        self.last
    }

    /// The stamp of now, at these readings of the program's own clock and of the wall's; and how far it is ahead
    /// of the wall. After the wall was set back, stamps go on at half the pace until it has caught up.
    pub fn stamp(&mut self, now: Time, wall: Time) -> (Time, Time) {
        let passed = now.saturating_sub(self.at);
        let stamp = if wall > self.last || self.last - wall > BELIEVED {
            wall
        } else {
            // Whole seconds, as Graphite counts them: two in one second would overwrite each other.
            self.last + (passed / 2).max(SECOND)
        };
        (self.last, self.at) = (stamp, now);
        (stamp, stamp.saturating_sub(wall))
    }
}

#[cfg(test)]
mod tests;
