//! How many calls a second this courier may make at a limit that others use as well.

use super::{health::RISKY_FAILURE_RATE, NANOS_PER_SECOND};
use crate::interface::{RateAccuracy, Settings, Time};
use crate::state::{seconds, CircuitState, LimitScope, Limiter};

/// Part of the overload budget that is used where a courier's part is several calls: travel may add the rest.
const BUDGET_RATIO: f64 = 0.9;
/// The same where it is less than one call: chance brings several couriers together.
const SPARSE_BUDGET_RATIO: f64 = 0.5;
/// Overload windows before the first failure seen here in which others may have seen the outage.
const SEEN_BEFORE_WINDOWS: f64 = 2.0;
/// Calls in an overload window that any destination bears from all couriers together.
const MIN_WINDOW_CALLS: f64 = 4.0;
/// What couriers that know of an outage may send together, of what those send that do not.
const INFORMED_CALLS_RATIO: f64 = 0.2;
/// Seconds over which the usual rate is taken at least.
const MIN_USUAL_RATE_SECONDS: f64 = 10.0;
/// Growth of the time over which couriers that want a limit are counted, with the time that rejections last:
/// retries must stay under the limit together, as rejected ones may use it up.
const REJECTED_PERIOD_FACTOR: f64 = 10.0;
/// Part of a limit that hundreds may fill together: chance fills the rest, and rejected calls use it up.
pub(super) const SHARE_FILL_RATIO: f64 = 0.8;
/// What a success adds to the shares taken, where all capacity is reported left: those of others grow too.
pub(super) const SHARE_GROWTH_RATE: f64 = 0.1;
/// A burst may take the rate of this many seconds; destinations queue about as much.
pub(super) const BURST_SECONDS: f64 = 0.5;

/// What a limiter stands for, and when and under which settings it is asked.
#[derive(Clone, Copy)]
pub(super) struct LimitContext<'a> {
    pub(super) now: Time,
    pub(super) scope: LimitScope,
    pub(super) settings: &'a Settings,
}

impl LimitContext<'_> {
    /// The same context for the limiter of the destination, which always has a limit of its own.
    pub(super) fn for_destination(self) -> Self {
        LimitContext { scope: LimitScope::OwnLimit, ..self }
    }

    fn window_seconds(&self) -> f64 {
        seconds(self.settings.overload_window)
    }
}

impl Limiter {
    /// Rule 6, then the rate; `Err` is when to look again.
    pub(super) fn check_open(&self, context: LimitContext) -> Result<(), Time> {
        if self.retry_after_until > context.now {
            return Err(self.retry_after_until);
        }
        let Some(rate) = self.rate(context) else { return Ok(()) };
        let tokens = self.available_tokens(context);
        if tokens >= 1.0 {
            return Ok(());
        }
        // The rate of a recovery grows: look again before long.
        let wait = ((1.0 - tokens) / rate.max(1e-9)).min(context.window_seconds());
        Err(context.now + (wait * NANOS_PER_SECOND) as Time + 1)
    }

    pub(super) fn spend_token(&mut self, chance: f64, context: LimitContext) {
        let cost = 1.0 + self.randomness(context) * (2.0 * chance - 1.0);
        self.tokens = (self.available_tokens(context) - cost).max(-1.0);
        self.refilled_at = context.now;
    }

    /// After a failure nothing is saved up, nor during a Retry-After. First trials spread over one interval.
    pub(super) fn defer_calls(&mut self, chance: f64, context: LimitContext) {
        let randomness = self.randomness(context);
        let kept = self.available_tokens(context).min(1.0);
        let just_ejected = matches!(self.circuit, CircuitState::Open { since, .. } if since == context.now);
        let spread = if just_ejected { (1.0 / randomness).min(2.0) } else { 2.0 };
        self.tokens = (1.0 - randomness) * kept + randomness * (1.0 - spread * chance);
        self.refilled_at = context.now.max(self.retry_after_until);
    }

    /// Above the limit: nothing is saved up, and no reported capacity is believed.
    pub(super) fn cut_rate(&mut self, context: LimitContext) {
        self.rejected_above_limit = true;
        self.refilled_at = context.now;
        self.capacity_left = 0.0;
        self.tokens = 0.0;
        self.shares_taken = f64::INFINITY;
        let fair_rate = self.fair_rate(context.settings);
        self.shares_taken = SHARE_FILL_RATIO * fair_rate / self.equal_share(context.settings);
    }

    fn available_tokens(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        let elapsed = seconds(context.now.saturating_sub(self.refilled_at));
        (self.tokens + rate * elapsed).min((rate * BURST_SECONDS).max(1.0))
    }

    /// How much of a call's cost is left to chance: nothing where an overload window holds several calls.
    /// Where it holds less than one, couriers that learned the same at one moment must not return as one.
    fn randomness(&self, context: LimitContext) -> f64 {
        let rate = self.rate(context).unwrap_or(f64::INFINITY);
        1.0 - (rate * context.window_seconds()).min(1.0)
    }

    /// The rate now, `None` for no bound. Healthy: the own share, and an equal part of the capacity that is
    /// reported left: all couriers read the same figure and several will use it. Otherwise rule 4.
    fn rate(&self, context: LimitContext) -> Option<f64> {
        let Some(capacity_ratio) = self.recovery_ratio(context) else {
            let reported_until = self.capacity_reported_at + NANOS_PER_SECOND as Time;
            let fresh = self.consecutive_failures == 0 && context.now < reported_until;
            let capacity_left = if fresh { self.capacity_left } else { 0.0 };
            let bounded = self.rate_limit_exact || self.rejected_above_limit;
            return bounded.then(|| (1.0 + capacity_left) * self.fair_rate(context.settings));
        };
        match context.scope {
            LimitScope::SharedEndpoint => self.is_ejected().then_some(1.0 / context.window_seconds()),
            LimitScope::OwnLimit => Some(self.recovery_rate(capacity_ratio, context)),
        }
    }

    /// The part of its capacity that a limit has that fails or recovers.
    fn recovery_ratio(&self, context: LimitContext) -> Option<f64> {
        let cold_ratio = context.settings.slow_start_ratio;
        let duration = context.settings.slow_start_duration;
        match self.circuit {
            CircuitState::Open { .. } => Some(cold_ratio),
            CircuitState::Closed => {
                // One failure may be the first sight of an outage that ends unseen: cold until a success.
                let harmful = !self.last_failure_not_executed || self.failure_rate > RISKY_FAILURE_RATE;
                (self.consecutive_failures > 0 && harmful).then_some(cold_ratio)
            }
            CircuitState::SlowStart { since } => {
                let warmth = context.now.saturating_sub(since) as f64 / duration.max(1) as f64;
                let warming_up = context.now < since + duration;
                warming_up.then_some(cold_ratio + (1.0 - cold_ratio) * warmth)
            }
        }
    }

    /// Rule 4, as a budget over all couriers that know of the outage: each message for it since then has
    /// informed one courier at most, and none knows of more couriers than there are.
    fn recovery_rate(&self, capacity_ratio: f64, context: LimitContext) -> f64 {
        let window = context.window_seconds();
        let couriers = f64::from(context.settings.courier_count.max(1));
        let capacity = self.capacity(context);
        let informed_after = |outage_seconds: f64| {
            couriers.min((capacity * (outage_seconds + SEEN_BEFORE_WINDOWS * window)).max(1.0))
        };
        let informed = informed_after(seconds(context.now.saturating_sub(self.failing_since)));
        let budget = context.settings.overload_ratio * capacity_ratio * capacity / informed;
        let density = (2.0 * budget * window).min(1.0);
        let own_rate = budget * (SPARSE_BUDGET_RATIO + (BUDGET_RATIO - SPARSE_BUDGET_RATIO) * density);
        // Those that know nothing send as ever; beside them those that know stay well under two thirds.
        let beside = INFORMED_CALLS_RATIO * capacity / informed_after(self.failing_seconds());
        let beside = beside * (1.0 - informed / couriers);
        let least = (MIN_WINDOW_CALLS / couriers).min(1.0) / window;
        let rate = own_rate.max(beside).max(least);
        if self.is_ejected() {
            rate.min(1.0 / window)
        } else {
            rate * self.demand(informed / couriers)
        }
    }

    /// This courier's part of the limit among those that want it at once: all where they are few, or else
    /// those with something to send: as many as calls in an overload window, more the longer it rejects.
    /// Once rejected, as many equal shares as successes since let it take, if they come often enough to tell.
    fn fair_rate(&self, settings: &Settings) -> f64 {
        let equal_share = self.equal_share(settings);
        let window = seconds(settings.overload_window);
        let rejected_period = REJECTED_PERIOD_FACTOR * (window + self.failing_seconds());
        let period = if self.rejected_above_limit { rejected_period } else { window };
        let often_enough = equal_share * MIN_USUAL_RATE_SECONDS >= 1.0;
        let learned = often_enough && self.shares_taken.is_finite();
        let most = if learned { equal_share * self.shares_taken } else { f64::INFINITY };
        equal_share.max(self.demand(equal_share * period) / period).min(most)
    }

    /// An equal share over all couriers: of the limit if reported, or else the most served in a window.
    pub(super) fn equal_share(&self, settings: &Settings) -> f64 {
        if self.rate_limit > 0.0 {
            return self.rate_limit / f64::from(settings.courier_count.max(1));
        }
        (self.peak_window_served - 1.0).max(0.0) / seconds(settings.overload_window)
    }

    /// Messages held here that count, where `mean` is that over couriers. Where it is one or more, all are
    /// taken to hold as many; where it is less, most hold none, and one that holds several needs more.
    fn demand(&self, mean: f64) -> f64 {
        1.0 + (self.waiting_messages - 1.0).max(0.0) * (1.0 - mean).max(0.0)
    }

    /// Calls served here a second, in the mean since it is known.
    pub(super) fn usual_rate(&self, now: Time) -> f64 {
        let known_seconds = seconds(now.saturating_sub(self.known_since));
        self.served_calls / known_seconds.max(MIN_USUAL_RATE_SECONDS)
    }

    /// Calls a second that it can take from all couriers, as far as is known: reported, or what this one had
    /// served in the mean, or at most in an overload window: then others may have had as much, but no more of
    /// them than that, as a courier that never saw more than two calls in a window is one of many.
    fn capacity(&self, context: LimitContext) -> f64 {
        let window = context.window_seconds();
        let couriers = f64::from(context.settings.courier_count.max(1));
        // An approximate figure may be half too high.
        let approximate = context.settings.rate_accuracy == RateAccuracy::Approximate;
        let reported = if approximate { self.rate_limit / 1.5 } else { self.rate_limit };
        let mean = couriers * self.usual_rate(context.now);
        let most = couriers.min(self.peak_window_served) * (self.peak_window_served - 1.0) / window;
        reported.max(mean).max(most).max(1.0 / window)
    }
}
