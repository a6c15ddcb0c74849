//! Rate limiting: a token bucket for each limit, refilled at this courier's share of the limit.

use super::{health::FAILING_THRESHOLD, NANOS_PER_SECOND};
use crate::interface::{RateAccuracy, Settings, Time};
use crate::state::{seconds, CircuitState, LimitContext, LimitScope, Limiter};

/// Factor on the call rate that rule 4 allows, where that is at least half a call per overload window:
/// variable network latency can bring more calls into one window than were sent in it.
const BUDGET_RATIO: f64 = 0.9;
/// Factor on the call rate that rule 4 allows, where that is near 0; it grows linearly to [`BUDGET_RATIO`] at
/// half a call per window. Calls of several couriers may coincide by chance.
const SPARSE_BUDGET_RATIO: f64 = 0.5;
/// How long before this courier's first failure others may have seen the outage, in overload windows.
const SEEN_BEFORE_WINDOWS: f64 = 2.0;
/// Calls per overload window, from all couriers together, that any destination can take during an outage.
const MIN_WINDOW_CALLS: f64 = 4.0;
/// Call rate of all couriers that know of an outage, as a ratio of the rate of those that do not know yet.
const INFORMED_CALLS_RATIO: f64 = 0.2;
/// Minimum averaging time of the usual rate, in seconds. `shares_taken` bounds the rate of a courier only
/// if the courier's equal share is at least one call in this time.
const MIN_USUAL_RATE_SECONDS: f64 = 10.0;
/// Interval between a courier's calls after a rejection above the limit, as a multiple of the time for which
/// rejections last: all retries together must stay under the limit, as rejected calls may consume it too.
const REJECTED_PERIOD_FACTOR: f64 = 10.0;
/// Target utilization of a limit by hundreds of couriers, as a ratio. The rest absorbs random bursts: calls
/// rejected above the limit may consume it too.
pub(super) const SHARE_FILL_RATIO: f64 = 0.8;
/// Relative growth of `shares_taken` with a success that reports all capacity left, and its decrease with one
/// that reports none; small, as all couriers adapt to the same reports.
pub(super) const SHARE_GROWTH_RATE: f64 = 0.1;
/// Capacity of the token bucket, as seconds of its rate; destinations queue about as much.
pub(super) const BURST_SECONDS: f64 = 0.5;
/// Factor by which an approximate rate limit may exceed the true one.
const APPROXIMATE_RATE_ERROR: f64 = 1.5;
/// Lower bound, in calls a second, of the rate in the wait for the next token: avoids a division by zero.
const MIN_RATE: f64 = 1e-9;

impl Limiter {
    /// Checks for a pending Retry-After (rule 6) and a token; `Err` is the clock time of the next check.
    pub(super) fn check_limit(&self, context: LimitContext) -> Result<(), Time> {
        if self.retry_after_until > context.now {
            return Err(self.retry_after_until);
        }
        let Some(rate) = self.rate(context) else { return Ok(()) };
        let tokens = self.available_tokens(context);
        if tokens >= 1.0 {
            return Ok(());
        }
        // The rate of a recovery grows: the next token may come sooner than computed.
        let wait = ((1.0 - tokens) / rate.max(MIN_RATE)).min(context.window_seconds());
        Err(context.now + (wait * NANOS_PER_SECOND) as Time + 1)
    }

    /// Takes `1 + jitter ratio * (2 * chance - 1)` tokens for a call; `chance` is a random number in [0, 1).
    pub(super) fn spend_token(&mut self, chance: f64, context: LimitContext) {
        let cost = 1.0 + self.jitter_ratio(context) * (2.0 * chance - 1.0);
        self.bucket.tokens = (self.available_tokens(context) - cost).max(-1.0);
        self.bucket.refilled_at = context.now;
    }

    /// After a failure, keeps one token at most and adds jitter to the time of the next call: up to two call
    /// intervals times the jitter ratio, after any Retry-After. The first recovery trials of all couriers are
    /// spread over one interval between trials.
    pub(super) fn defer_calls(&mut self, chance: f64, context: LimitContext) {
        let jitter_ratio = self.jitter_ratio(context);
        let saved = self.available_tokens(context).min(1.0);
        let just_ejected = matches!(self.circuit, CircuitState::Open { since, .. } if since == context.now);
        let spread = if just_ejected { (1.0 / jitter_ratio).min(2.0) } else { 2.0 };
        self.bucket.tokens = (1.0 - jitter_ratio) * saved + jitter_ratio * (1.0 - spread * chance);
        self.bucket.refilled_at = context.now.max(self.retry_after_until);
    }

    /// After a rejection above the limit, empties the bucket, sets the reported capacity left to 0 and lowers
    /// the rate to [`SHARE_FILL_RATIO`] of the fair share.
    pub(super) fn cut_rate(&mut self, context: LimitContext) {
        self.rejected_above_limit = true;
        self.bucket.refilled_at = context.now;
        self.report.capacity_left = 0.0;
        self.bucket.tokens = 0.0;
        self.shares_taken = f64::INFINITY;
        let fair_rate = self.fair_rate(context.settings);
        self.shares_taken = SHARE_FILL_RATIO * fair_rate / self.equal_share(context.settings);
    }

    /// Tokens in the bucket now, refilled at the present rate. The bucket holds [`BURST_SECONDS`] of that
    /// rate, but at least one token.
    fn available_tokens(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        let elapsed = seconds(context.now.saturating_sub(self.bucket.refilled_at));
        (self.bucket.tokens + rate * elapsed).min((rate * BURST_SECONDS).max(1.0))
    }

    /// Jitter as a ratio of a call's cost: `max(0, 1 - rate * overload window)`. It keeps couriers that learn
    /// of an outage together from returning together; at a call or more in a window it is not needed.
    fn jitter_ratio(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        1.0 - (rate * context.window_seconds()).min(1.0)
    }

    /// The refill rate of the bucket in calls a second, or `None` when it is not bounded. Rule 4 bounds it
    /// while a limit fails or recovers. An ejected endpoint of a shared limit gets one call per window.
    fn rate(&self, context: LimitContext) -> Option<f64> {
        let Some(capacity_ratio) = self.recovery_ratio(context) else {
            return self.healthy_rate(context);
        };
        match context.scope {
            LimitScope::SharedEndpoint => self.is_ejected().then_some(1.0 / context.window_seconds()),
            LimitScope::OwnLimit => Some(self.recovery_rate(capacity_ratio, context)),
        }
    }

    /// `(1 + capacity left) * fair share`, in calls a second, as all couriers read the same capacity left. A
    /// report that is a second old, or followed by a failed call, counts as 0. `None` unless the limit is
    /// exact or the last calls were rejected above it.
    fn healthy_rate(&self, context: LimitContext) -> Option<f64> {
        let reported_until = self.report.received_at + NANOS_PER_SECOND as Time;
        let fresh = self.failures.consecutive == 0 && context.now < reported_until;
        let capacity_left = if fresh { self.report.capacity_left } else { 0.0 };
        let bounded = self.report.is_exact || self.rejected_above_limit;
        bounded.then(|| (1.0 + capacity_left) * self.fair_rate(context.settings))
    }

    /// Present capacity of a limit as a ratio of its full one: `slow_start_ratio` while it fails, then
    /// growing linearly to 1 during slow start. `None` for full capacity.
    fn recovery_ratio(&self, context: LimitContext) -> Option<f64> {
        let initial = context.settings.slow_start_ratio;
        let duration = context.settings.slow_start_duration;
        match self.circuit {
            CircuitState::Open { .. } => Some(initial),
            CircuitState::Closed => {
                // One failure may be all that is seen of an outage: initial ratio until the next success.
                let outage = !self.failures.last_not_executed || self.failures.rate > FAILING_THRESHOLD;
                (self.failures.consecutive > 0 && outage).then_some(initial)
            }
            CircuitState::SlowStart { since } => {
                let progress = context.now.saturating_sub(since) as f64 / duration.max(1) as f64;
                let in_slow_start = context.now < since + duration;
                in_slow_start.then_some(initial + (1.0 - initial) * progress)
            }
        }
    }

    /// The rate that rule 4 allows, in calls a second: an equal share of `overload_ratio * present capacity`
    /// among the couriers that know of the outage. Each call since its start informs at most one of them.
    fn recovery_rate(&self, capacity_ratio: f64, context: LimitContext) -> f64 {
        let window = context.window_seconds();
        let couriers = f64::from(context.settings.courier_count.max(1));
        let capacity = self.capacity(context);
        let informed_after = |outage_seconds: f64| {
            couriers.min((capacity * (outage_seconds + SEEN_BEFORE_WINDOWS * window)).max(1.0))
        };
        let informed = informed_after(seconds(context.now.saturating_sub(self.failures.since)));
        let budget = context.settings.overload_ratio * capacity_ratio * capacity / informed;
        let density = (2.0 * budget * window).min(1.0);
        let budget_rate = budget * (SPARSE_BUDGET_RATIO + (BUDGET_RATIO - SPARSE_BUDGET_RATIO) * density);
        // Uninformed couriers send at their usual rate; the informed ones may add a small ratio of that.
        let full_informed_rate = INFORMED_CALLS_RATIO * capacity / informed_after(self.failures.seconds());
        let informed_rate = full_informed_rate * (1.0 - informed / couriers);
        let least_rate = (MIN_WINDOW_CALLS / couriers).min(1.0) / window;
        let rate = budget_rate.max(informed_rate).max(least_rate);
        if self.is_ejected() {
            rate.min(1.0 / window)
        } else {
            rate * self.demand(informed / couriers)
        }
    }

    /// This courier's fair share, in calls a second: `max(equal share, demand / period)`. In one period, the
    /// overload window or longer after a rejection, as many couriers are taken to want the limit as it admits
    /// calls. At most `shares_taken` equal shares, unless one is under a call in 10 s, too few to adapt.
    fn fair_rate(&self, settings: &Settings) -> f64 {
        let equal_share = self.equal_share(settings);
        let window = seconds(settings.overload_window);
        let rejected_period = REJECTED_PERIOD_FACTOR * (window + self.failures.seconds());
        let period = if self.rejected_above_limit { rejected_period } else { window };
        let often_enough = equal_share * MIN_USUAL_RATE_SECONDS >= 1.0;
        let learned = often_enough && self.shares_taken.is_finite();
        let learned_rate = if learned { equal_share * self.shares_taken } else { f64::INFINITY };
        equal_share.max(self.demand(equal_share * period) / period).min(learned_rate)
    }

    /// `reported limit / courier count`, in calls a second. Without a report, `(calls served in this
    /// courier's peak overload window - 1) / overload window`, at least 0.
    pub(super) fn equal_share(&self, settings: &Settings) -> f64 {
        if self.report.rate_limit > 0.0 {
            return self.report.rate_limit / f64::from(settings.courier_count.max(1));
        }
        (self.served.peak_window_calls - 1.0).max(0.0) / seconds(settings.overload_window)
    }

    /// Factor on the rate for the messages that wait here: `1 + (waiting - 1) * (1 - mean)`, at least 1, with
    /// the estimated messages of an average courier as `mean`. With a mean of 1 or more, the others are taken
    /// to have as many as this one; below 1, most have none, and a courier with several needs more.
    fn demand(&self, mean: f64) -> f64 {
        1.0 + (self.waiting_messages - 1.0).max(0.0) * (1.0 - mean).max(0.0)
    }

    /// This courier's served calls a second, averaged over the time since the limit became known.
    pub(super) fn usual_rate(&self, now: Time) -> f64 {
        let known_seconds = seconds(now.saturating_sub(self.served.known_since));
        self.served.calls / known_seconds.max(MIN_USUAL_RATE_SECONDS)
    }

    /// Estimated capacity of the limit for all couriers, in calls a second: the greatest of the reported
    /// limit, `couriers * usual rate`, `min(couriers, peak calls) * (peak calls - 1) / window` and a call a
    /// window. `min`: a courier that served at most two calls in any window is one of many couriers.
    fn capacity(&self, context: LimitContext) -> f64 {
        let window = context.window_seconds();
        let couriers = f64::from(context.settings.courier_count.max(1));
        let approximate = context.settings.rate_accuracy == RateAccuracy::Approximate;
        let reported = self.report.rate_limit / if approximate { APPROXIMATE_RATE_ERROR } else { 1.0 };
        let mean = couriers * self.usual_rate(context.now);
        let peak_calls = self.served.peak_window_calls;
        let peak = couriers.min(peak_calls) * (peak_calls - 1.0) / window;
        reported.max(mean).max(peak).max(1.0 / window)
    }
}
