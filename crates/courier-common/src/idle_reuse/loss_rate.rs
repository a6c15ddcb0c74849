//! Loss rates by idle time, compared with that of new connections.

use linnetcart::Time;

const MILLISECOND: Time = 1_000_000;
/// Idle times below this share one bucket; each further bucket is twice as wide.
const FIRST_BUCKET_WIDTH: Time = 32 * MILLISECOND;
/// Number of idle-time buckets; the last one has no upper end.
const IDLE_BUCKETS: usize = 10;
/// Before anything is known, a bucket counts as so many calls,
const PRIOR_CALLS: f64 = 10.0;
/// of which this part was lost.
const PRIOR_LOSS_RATE: f64 = 0.02;
/// A kept connection saves the time of a new one, which is worth this much of additional loss rate.
const LOSS_RATE_MARGIN: f64 = 0.03;
/// Half of what is known is forgotten in this time.
const HALF_LIFE: Time = 10_000 * MILLISECOND;

/// Whether a call got an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// At least the first byte of an answer arrived.
    Answered,
    /// The connection ended before the first byte of an answer.
    Lost,
}

/// Calls and lost calls, both decaying with time.
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

/// Uses idle connections as long as they lose no more calls than new ones do.
///
/// The loss rate is kept by how long the connection had been idle, in buckets of doubling width, and beside them
/// that of first calls on new connections: where everything is reset now and then, a new one is no better.
#[derive(Debug, Default)]
pub struct LossRatePolicy {
    new_connections: DecayingLossRate,
    idle_connections: [DecayingLossRate; IDLE_BUCKETS],
}

fn bucket(idle: Time) -> usize {
    ((idle / FIRST_BUCKET_WIDTH + 1).ilog2() as usize).min(IDLE_BUCKETS - 1)
}

impl LossRatePolicy {
    /// A call ended, or its answer began, on a connection that had been idle for so long before it, or was new.
    pub fn record_call(&mut self, now: Time, idle: Option<Time>, result: CallResult) {
        match idle {
            Some(idle) => self.idle_connections[bucket(idle)].record(now, result),
            None => self.new_connections.record(now, result),
        }
    }

    /// Whether a connection that has been idle for so long is as good as a new one.
    pub fn may_reuse(&self, now: Time, idle: Time) -> bool {
        let idle_loss_rate = self.idle_connections[bucket(idle)].rate(now);
        idle_loss_rate <= self.new_connections.rate(now) + LOSS_RATE_MARGIN
    }
}
