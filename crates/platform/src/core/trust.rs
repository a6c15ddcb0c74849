//! Which connections a call may use: idle ones as long as they lose no more calls than new ones do.
//!
//! Endpoints, and what stands between, drop connections long before the idle time that they state, not always
//! visibly; the next call on such a connection is lost, and a message that must not run twice fails with it. So
//! the share of calls lost is kept by how long the connection had been idle, in octaves, and beside it that of
//! first calls on new connections: where everything is reset now and then, a new one is no better.
//!
//! It guards against idle limits that are shorter than told, middleboxes that forget flows and restarts that
//! nobody told of. Its harm: losses by chance cost new connections until they are forgotten.

use linnetcart::Time;

const MS: Time = 1_000_000;
/// Idle times below this are one octave; each further one is twice as long.
const FIRST: Time = 32 * MS;
const OCTAVES: usize = 10;
/// Calls that nothing is known of count as so many, lost with this share.
const BEFORE: f64 = 10.0;
const BEFORE_LOST: f64 = 0.02;
/// A kept connection saves the time of a new one: worth this much more of a loss.
const MARGIN: f64 = 0.03;
/// Half of what is known is forgotten in this time.
const HALF: Time = 10_000_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    calls: f64,
    lost: f64,
    at: Time,
}

impl Share {
    fn fade(&mut self, now: Time) {
        let kept = 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF as f64);
        (self.calls, self.lost, self.at) = (self.calls * kept, self.lost * kept, now);
    }

    fn note(&mut self, now: Time, lost: bool) {
        self.fade(now);
        self.calls += 1.0;
        self.lost += f64::from(u8::from(lost));
    }

    fn lost(mut self, now: Time) -> f64 {
        self.fade(now);
        (self.lost + BEFORE * BEFORE_LOST) / (self.calls + BEFORE)
    }
}

/// What is known of connections to endpoints.
#[derive(Debug, Default)]
pub struct Trust {
    new: Share,
    idle: [Share; OCTAVES],
}

fn octave(idle: Time) -> usize {
    ((idle / FIRST + 1).ilog2() as usize).min(OCTAVES - 1)
}

impl Trust {
    /// A call ended on a connection that had been idle for so long before it, or was new.
    pub fn note(&mut self, now: Time, idle: Option<Time>, lost: bool) {
        match idle {
            Some(idle) => self.idle[octave(idle)].note(now, lost),
            None => self.new.note(now, lost),
        }
    }

    /// Whether a connection that has been idle for so long is as good as a new one.
    pub fn holds(&self, now: Time, idle: Time) -> bool {
        self.idle[octave(idle)].lost(now) <= self.new.lost(now) + MARGIN
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn idle_times_that_lose_calls_are_passed_over_until_that_is_forgotten() {
        let mut t = Trust::default();
        let (short, long) = (40 * MS, 300 * MS);
        assert!(t.holds(0, short) && t.holds(0, long));
        for n in 0..40 {
            t.note(n * MS, Some(short), false);
            t.note(n * MS, Some(long), n % 4 == 0);
        }
        assert!(t.holds(40 * MS, short) && !t.holds(40 * MS, long));
        assert!(t.holds(100_000 * MS, long), "tried again");
    }

    #[test]
    fn where_new_connections_lose_as_many_kept_ones_stay() {
        let mut t = Trust::default();
        for n in 0..100 {
            t.note(n * MS, Some(300 * MS), n % 8 == 0);
            t.note(n * MS, None, n % 8 == 0);
        }
        assert!(t.holds(100 * MS, 300 * MS));
    }
}
