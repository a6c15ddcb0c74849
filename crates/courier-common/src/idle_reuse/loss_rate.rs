//! Loss rates by idle time, compared with that of new connections.

use linnetcart::Time;

const MILLISECOND: Time = 1_000_000;
/// Idle times below this share the first bucket; each further bucket is twice as wide.
const FIRST_BUCKET_WIDTH: Time = 32 * MILLISECOND;
/// Number of idle-time buckets; the last one has no upper end.
const IDLE_BUCKETS: usize = 10;
/// The prior of each bucket: this number of calls,
const PRIOR_CALLS: f64 = 10.0;
/// of which this fraction was lost.
const PRIOR_LOSS_RATE: f64 = 0.02;
/// Reuse saves the time of a connect, which justifies this much additional loss rate.
const LOSS_RATE_MARGIN: f64 = 0.03;
/// Half of the evidence decays in this time.
const HALF_LIFE: Time = 10_000 * MILLISECOND;

/// Whether a call got an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// At least the first byte of an answer arrived.
    Answered,
    /// The connection ended before the first byte of an answer.
    Lost,
}

/// Numbers of calls and lost calls, both decaying with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingLossRate {
    calls: f64,
    lost: f64,
    updated_at: Time,
}

impl DecayingLossRate {
    fn decay(&mut self, now: Time) {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / HALF_LIFE as f64;
        let remaining = 0.5f64.powf(half_lives);
        self.calls *= remaining;
        self.lost *= remaining;
        self.updated_at = now;
    }

    fn record(&mut self, now: Time, result: CallResult) {
        self.decay(now);
        self.calls += 1.0;
        if result == CallResult::Lost {
            self.lost += 1.0;
        }
    }

    fn rate(mut self, now: Time) -> f64 {
        self.decay(now);
        (self.lost + PRIOR_CALLS * PRIOR_LOSS_RATE) / (self.calls + PRIOR_CALLS)
    }
}

/// Allows the reuse of idle connections as long as they lose no more calls than new ones do.
///
/// Loss rates are counted by idle time, in buckets of doubling width, and for the first calls on new
/// connections: where connections are reset at random, a new one is no better.
#[derive(Debug, Default)]
pub struct LossRatePolicy {
    new_connections: DecayingLossRate,
    idle_connections: [DecayingLossRate; IDLE_BUCKETS],
}

fn bucket(idle: Time) -> usize {
    ((idle / FIRST_BUCKET_WIDTH + 1).ilog2() as usize).min(IDLE_BUCKETS - 1)
}

impl LossRatePolicy {
    /// Records the result of a call. `idle` is how long its connection had been idle before, or `None` for a
    /// new connection.
    pub fn record_call(&mut self, now: Time, idle: Option<Time>, result: CallResult) {
        match idle {
            Some(idle) => self.idle_connections[bucket(idle)].record(now, result),
            None => self.new_connections.record(now, result),
        }
    }

    /// Whether a connection that has been idle for this long is expected to be as good as a new one.
    pub fn may_reuse(&self, now: Time, idle: Time) -> bool {
        let idle_loss_rate = self.idle_connections[bucket(idle)].rate(now);
        idle_loss_rate <= self.new_connections.rate(now) + LOSS_RATE_MARGIN
    }
}
