//! Loss rates of calls by the idle time of their connection, compared with the loss rate on new connections.

use linnetcart::Time;

const MILLISECOND: Time = 1_000_000;
/// Width of the first bucket of idle times, in nanoseconds; each further bucket is twice as wide.
const FIRST_BUCKET_WIDTH: Time = 32 * MILLISECOND;
/// Number of idle-time buckets; the last one has no upper end.
const IDLE_BUCKETS: usize = 10;
/// Number of calls in the prior of each bucket, so that a few calls do not decide the rate.
const PRIOR_CALLS: f64 = 10.0;
/// Fraction of the calls in the prior that count as lost.
const PRIOR_LOSS_RATE: f64 = 0.02;
/// Difference by which the loss rate of an idle connection may exceed that of a new one, because reuse saves
/// the connect time.
const LOSS_RATE_MARGIN: f64 = 0.03;
/// Half-life of the counted calls and losses, in nanoseconds.
const HALF_LIFE: Time = 10_000 * MILLISECOND;

/// Whether a call got an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// At least the first byte of an answer arrived.
    Answered,
    /// The connection ended before the first byte of an answer.
    Lost,
}

/// Counts of calls and of lost calls, both with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingLossRate {
    calls: f64,
    lost: f64,
    /// Clock time up to which the decay is applied, in nanoseconds.
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

    /// Returns the estimated loss rate, 0 to 1:
    /// `(lost + PRIOR_CALLS * PRIOR_LOSS_RATE) / (calls + PRIOR_CALLS)`.
    fn rate(mut self, now: Time) -> f64 {
        self.decay(now);
        (self.lost + PRIOR_CALLS * PRIOR_LOSS_RATE) / (self.calls + PRIOR_CALLS)
    }
}

/// Allows the reuse of an idle connection unless such connections lose clearly more calls than new ones do.
///
/// The loss rate is estimated for each bucket of idle times, and for the first calls on new connections. The
/// comparison matters where connections are reset at random: there a new one is no better.
#[derive(Debug, Default)]
pub struct LossRatePolicy {
    /// First calls on new connections.
    new_connections: DecayingLossRate,
    /// Calls on idle connections, by bucket of idle time; see [`bucket`].
    idle_connections: [DecayingLossRate; IDLE_BUCKETS],
}

/// Returns the bucket of an idle time: bucket `n` begins at `(2^n - 1) * FIRST_BUCKET_WIDTH`.
fn bucket(idle: Time) -> usize {
    ((idle / FIRST_BUCKET_WIDTH + 1).ilog2() as usize).min(IDLE_BUCKETS - 1)
}

impl LossRatePolicy {
    /// Records the result of a call at clock time `now`, in nanoseconds. `idle` is the idle time of its
    /// connection before the call, in nanoseconds, or `None` for a new connection.
    pub fn record_call(&mut self, now: Time, idle: Option<Time>, result: CallResult) {
        match idle {
            Some(idle) => self.idle_connections[bucket(idle)].record(now, result),
            None => self.new_connections.record(now, result),
        }
    }

    /// Whether a connection that has been idle for `idle` nanoseconds may be reused: its expected loss rate
    /// exceeds that of a new connection by at most `LOSS_RATE_MARGIN`. `now` is a clock time in
    /// nanoseconds.
    pub fn may_reuse(&self, now: Time, idle: Time) -> bool {
        let idle_loss_rate = self.idle_connections[bucket(idle)].rate(now);
        idle_loss_rate <= self.new_connections.rate(now) + LOSS_RATE_MARGIN
    }
}
