//! The quota of a limit: a token bucket for a rate, or a fixed-window counter.

use super::NANOS_PER_SECOND;
use crate::destinations::{DestinationKind, LimitKind};
use linnetcart_conformance::Time;

/// Size of the token bucket, as the time in seconds in which the rate fills it.
const BURST_SECONDS: f64 = 0.25;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The error of a call that exceeds the quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaExhausted {
    /// The Retry-After in nanoseconds, if the rejection carries one.
    pub(super) wait: Time,
}

/// The state of a quota. Depending on the [`LimitKind`], either the token bucket or the window is in use.
#[derive(Debug)]
pub(super) struct Quota {
    tokens: f64,
    refilled_at: Time,
    /// Number of the current window: the time divided by the window length.
    window: Time,
    used_in_window: f64,
}

impl Quota {
    pub(super) fn new(rate: f64) -> Self {
        Quota { tokens: bucket_size(rate), refilled_at: 0, window: 0, used_in_window: 0.0 }
    }

    /// Adds the tokens gained since the last refill, or resets the counter if a new window has begun. `rate`
    /// is in calls per second.
    pub(super) fn refill(&mut self, now: Time, rate: f64, limit: LimitKind) {
        match limit {
            LimitKind::None => {}
            LimitKind::Rate => {
                let gained = rate * now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
                self.tokens = (self.tokens + gained).min(bucket_size(rate));
                self.refilled_at = now;
            }
            LimitKind::Window { ms } => {
                let window = now / (ms * NANOS_PER_MILLI).max(1);
                if window != self.window {
                    self.window = window;
                    self.used_in_window = 0.0;
                }
            }
        }
    }

    /// Consumes the quota of one call. `draw`, in [0, 1), selects the Retry-After from the range of a token
    /// bucket; the Retry-After of a window is the time until the window ends.
    pub(super) fn consume(
        &mut self,
        now: Time,
        rate: f64,
        kind: &DestinationKind,
        draw: f64,
    ) -> Result<(), QuotaExhausted> {
        match kind.limit {
            LimitKind::None => Ok(()),
            LimitKind::Rate => self.consume_token(kind, draw),
            LimitKind::Window { ms } => self.consume_from_window(now, rate, ms, kind),
        }
    }

    fn consume_token(&mut self, kind: &DestinationKind, draw: f64) -> Result<(), QuotaExhausted> {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if kind.rejected_calls_count {
            self.tokens = (self.tokens - 1.0).max(-1.0);
        }
        let range = kind.retry_after;
        let width = (range.longest - range.shortest) as f64;
        Err(QuotaExhausted { wait: range.shortest + (draw * width) as Time })
    }

    fn consume_from_window(
        &mut self,
        now: Time,
        rate: f64,
        window_ms: u64,
        kind: &DestinationKind,
    ) -> Result<(), QuotaExhausted> {
        if self.used_in_window + 1.0 <= window_quota(rate, window_ms) {
            self.used_in_window += 1.0;
            return Ok(());
        }
        if kind.rejected_calls_count {
            self.used_in_window += 1.0;
        }
        let window = window_ms * NANOS_PER_MILLI;
        Err(QuotaExhausted { wait: window - now % window })
    }

    /// Returns the fraction of the quota that is left, or `None` if there is no quota. It can be
    /// negative, for example after rejected calls were counted.
    pub(super) fn fraction_left(&self, rate: f64, limit: LimitKind) -> Option<f64> {
        match limit {
            LimitKind::None => None,
            LimitKind::Rate => Some(self.tokens / bucket_size(rate)),
            LimitKind::Window { ms } => Some(1.0 - self.used_in_window / window_quota(rate, ms)),
        }
    }
}

/// Returns the size of the token bucket in tokens, one for each call: `max(rate * BURST_SECONDS, 1)`.
fn bucket_size(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

/// Returns the number of calls that one window admits: `max(rate * window, 1)`.
fn window_quota(rate: f64, window_ms: u64) -> f64 {
    (rate * window_ms as f64 / 1e3).max(1.0)
}
