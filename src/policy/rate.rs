//! How many calls a second this courier may make at a limit that other couriers use as well.

use super::{health::RISKY_FAILURE_RATE, NANOS_PER_SECOND};
use crate::interface::{RateAccuracy, Settings, Time};
use crate::state::{seconds, CircuitState, LimitContext, LimitScope, Limiter};

/// Part of the overload budget that is used where a courier's part of it is several calls in an overload
/// window: variations in travel time may bring more of them together.
const BUDGET_RATIO: f64 = 0.9;
/// The same where a courier's part is less than one call: chance may bring the calls of several together.
const SPARSE_BUDGET_RATIO: f64 = 0.5;
/// Overload windows before the first failure seen here in which other couriers may have seen the outage.
const SEEN_BEFORE_WINDOWS: f64 = 2.0;
/// Calls in an overload window that any destination bears from all couriers together.
const MIN_WINDOW_CALLS: f64 = 4.0;
/// What couriers that know of an outage may send together, as a part of what those send that do not know.
const INFORMED_CALLS_RATIO: f64 = 0.2;
/// Least number of seconds over which the usual rate is averaged.
const MIN_USUAL_RATE_SECONDS: f64 = 10.0;
/// Factor on the time that rejections last, which gives the period in which couriers that want the limit are
/// counted: retries must stay under the limit together, as rejected calls may use it up.
const REJECTED_PERIOD_FACTOR: f64 = 10.0;
/// Part of a limit that hundreds may fill together: chance fills the rest, and rejected calls use it up.
pub(super) const SHARE_FILL_RATIO: f64 = 0.8;
/// Growth of the shares taken with a success at which all capacity is reported left: others' grow too.
pub(super) const SHARE_GROWTH_RATE: f64 = 0.1;
/// Seconds of the rate that may be saved up as tokens for a burst; destinations queue about as much.
pub(super) const BURST_SECONDS: f64 = 0.5;
/// By how much an approximate rate may exceed the true one.
const APPROXIMATE_RATE_ERROR: f64 = 1.5;
/// Least rate in calls a second by which the time until the next token is computed.
const MIN_RATE: f64 = 1e-9;

impl Limiter {
    /// Checks the Retry-After (rule 6) and then the rate; `Err` is when to check again.
    pub(super) fn check_open(&self, context: LimitContext) -> Result<(), Time> {
        if self.retry_after_until > context.now {
            return Err(self.retry_after_until);
        }
        let Some(rate) = self.rate(context) else { return Ok(()) };
        let tokens = self.available_tokens(context);
        if tokens >= 1.0 {
            return Ok(());
        }
        // The rate of a recovery grows: check again before long.
        let wait = ((1.0 - tokens) / rate.max(MIN_RATE)).min(context.window_seconds());
        Err(context.now + (wait * NANOS_PER_SECOND) as Time + 1)
    }

    /// Spends the tokens of one call; `chance` is a random number in [0, 1).
    pub(super) fn spend_token(&mut self, chance: f64, context: LimitContext) {
        let cost = 1.0 + self.randomness(context) * (2.0 * chance - 1.0);
        self.bucket.tokens = (self.available_tokens(context) - cost).max(-1.0);
        self.bucket.refilled_at = context.now;
    }

    /// Gives up saved tokens after a failure and delays the next call at random, beyond any Retry-After. The
    /// first recovery trials of all couriers are spread over one interval between trials.
    pub(super) fn defer_calls(&mut self, chance: f64, context: LimitContext) {
        let randomness = self.randomness(context);
        let saved = self.available_tokens(context).min(1.0);
        let just_ejected = matches!(self.circuit, CircuitState::Open { since, .. } if since == context.now);
        let spread = if just_ejected { (1.0 / randomness).min(2.0) } else { 2.0 };
        self.bucket.tokens = (1.0 - randomness) * saved + randomness * (1.0 - spread * chance);
        self.bucket.refilled_at = context.now.max(self.retry_after_until);
    }

    /// Lowers the rate after a rejection above the limit, and drops saved tokens and the reported capacity.
    pub(super) fn cut_rate(&mut self, context: LimitContext) {
        self.rejected_above_limit = true;
        self.bucket.refilled_at = context.now;
        self.report.capacity_left = 0.0;
        self.bucket.tokens = 0.0;
        self.shares_taken = f64::INFINITY;
        let fair_rate = self.fair_rate(context.settings);
        self.shares_taken = SHARE_FILL_RATIO * fair_rate / self.equal_share(context.settings);
    }

    fn available_tokens(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        let elapsed = seconds(context.now.saturating_sub(self.bucket.refilled_at));
        (self.bucket.tokens + rate * elapsed).min((rate * BURST_SECONDS).max(1.0))
    }

    /// How much of a call's cost is random, 0 to 1: nothing where an overload window holds several calls.
    /// Where it holds less than one, couriers that learned of an outage together must not return together.
    fn randomness(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        1.0 - (rate * context.window_seconds()).min(1.0)
    }

    /// The rate in calls a second, or `None` when it is not bounded. When healthy, it is the fair share and
    /// an equal part of the capacity reported left, as all read the same figure; otherwise rule 4 applies.
    fn rate(&self, context: LimitContext) -> Option<f64> {
        let Some(capacity_ratio) = self.recovery_ratio(context) else {
            return self.healthy_rate(context);
        };
        match context.scope {
            LimitScope::SharedEndpoint => self.is_ejected().then_some(1.0 / context.window_seconds()),
            LimitScope::OwnLimit => Some(self.recovery_rate(capacity_ratio, context)),
        }
    }

    fn healthy_rate(&self, context: LimitContext) -> Option<f64> {
        let reported_until = self.report.received_at + NANOS_PER_SECOND as Time;
        let fresh = self.failures.consecutive == 0 && context.now < reported_until;
        let capacity_left = if fresh { self.report.capacity_left } else { 0.0 };
        let bounded = self.report.is_exact || self.rejected_above_limit;
        bounded.then(|| (1.0 + capacity_left) * self.fair_rate(context.settings))
    }

    /// The part of its capacity that a limit has while it fails or recovers; `None` when it has all of it.
    fn recovery_ratio(&self, context: LimitContext) -> Option<f64> {
        let initial = context.settings.slow_start_ratio;
        let duration = context.settings.slow_start_duration;
        match self.circuit {
            CircuitState::Open { .. } => Some(initial),
            CircuitState::Closed => {
                // One failure may be all that is seen of an outage: slow start until the next success.
                let harmful = !self.failures.last_not_executed || self.failures.rate > RISKY_FAILURE_RATE;
                (self.failures.consecutive > 0 && harmful).then_some(initial)
            }
            CircuitState::SlowStart { since } => {
                let progress = context.now.saturating_sub(since) as f64 / duration.max(1) as f64;
                let warming_up = context.now < since + duration;
                warming_up.then_some(initial + (1.0 - initial) * progress)
            }
        }
    }

    /// The rate that rule 4 allows: the courier's part of a budget for all couriers that know of the outage.
    /// Each message for the destination since then has informed at most one courier.
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
        // Uninformed couriers send as ever; beside them informed ones may send a small part of that.
        let full_beside_rate = INFORMED_CALLS_RATIO * capacity / informed_after(self.failures.seconds());
        let beside_rate = full_beside_rate * (1.0 - informed / couriers);
        let least_rate = (MIN_WINDOW_CALLS / couriers).min(1.0) / window;
        let rate = budget_rate.max(beside_rate).max(least_rate);
        if self.is_ejected() {
            rate.min(1.0 / window)
        } else {
            rate * self.demand(informed / couriers)
        }
    }

    /// This courier's part of the limit among the couriers that want it at once: all of it where they are
    /// few. Otherwise they are taken to be as many as the calls in an overload window, more the longer it
    /// rejects. After a rejection it is what successes have shown to be free, if calls are frequent enough.
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

    /// An equal share among all couriers in calls a second: of the reported limit, or else of the most calls
    /// that were served in an overload window.
    pub(super) fn equal_share(&self, settings: &Settings) -> f64 {
        if self.report.rate_limit > 0.0 {
            return self.report.rate_limit / f64::from(settings.courier_count.max(1));
        }
        (self.served.peak_window_calls - 1.0).max(0.0) / seconds(settings.overload_window)
    }

    /// The number of waiting messages that count for the rate, at least 1, where `mean` is that of all
    /// couriers. With a mean of 1 or more each courier is taken to have as many as this one. With less, most
    /// have none waiting, and a courier that has several needs more.
    fn demand(&self, mean: f64) -> f64 {
        1.0 + (self.waiting_messages - 1.0).max(0.0) * (1.0 - mean).max(0.0)
    }

    /// Calls a second that were served here, averaged over the time since the limit is known.
    pub(super) fn usual_rate(&self, now: Time) -> f64 {
        let known_seconds = seconds(now.saturating_sub(self.served.known_since));
        self.served.calls / known_seconds.max(MIN_USUAL_RATE_SECONDS)
    }

    /// The calls a second that the limit takes from all couriers, as far as is known: the most of what was
    /// reported, the mean of this courier times all, and what its peak window shows. That peak stands for
    /// other couriers too, but for no more of them than its calls: one that saw two at most is one of many.
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
