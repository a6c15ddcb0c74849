//! One limit: what it rejects, how its queue moves, how it recovers from an outage, what it reports.

use crate::calls::ReportedLoad;
use crate::destinations::{DestinationKind, LimitKind, RecoveryModel};
use linnetcart_conformance::Time;
use std::collections::VecDeque;

/// Seconds of a plain rate that may come at once.
const BURST_SECONDS: f64 = 0.25;
/// Capacity is never taken to be less, in calls a second.
const MIN_CAPACITY: f64 = 1e-3;
/// Chance brings calls together: a count this many standard deviations above its mean is no overload yet.
const TOLERATED_DEVIATIONS: f64 = 2.0;
const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Random numbers for a rejection. Both are drawn for each call, so that the outcome of one call does not
/// change the randomness of the next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectionDraws {
    /// Decides whether a Retry-After is given.
    pub(crate) gives_retry_after: f64,
    /// Decides how long it is.
    pub(crate) length: f64,
}

/// What becomes of a call at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It is admitted, and its service begins at this time.
    BeginsAt(Time),
    /// It is rejected, with a Retry-After or 0.
    Rejected { retry_after: Time },
}

/// Whether a call overloaded a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadEffect {
    Bearable,
    Overloads,
}

/// Nothing is left of a limit.
#[derive(Clone, Copy, Debug)]
struct LimitExceeded {
    /// How long until there is some again, as the destination says.
    wait: Time,
}

/// What was last reported, and when.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Time,
    capacity_left: f64,
}

/// The state of a limit.
#[derive(Debug)]
pub(crate) struct DestinationLimit {
    /// Calls a second that it admits.
    rate: f64,
    /// The part of the rate that is open just now.
    rate_factor: f64,
    closed_until: Time,
    /// Token bucket of a plain rate.
    tokens: f64,
    refilled_at: Time,
    /// Number of the current window, and what is used of its count.
    window: Time,
    used_in_window: f64,
    /// When what is queued will have been begun.
    busy_until: f64,
    /// When the last outage ended or will end.
    slow_start_since: Option<Time>,
    overloaded: bool,
    /// Calls within the overload window.
    recent_calls: VecDeque<Time>,
    last_report: LastReport,
}

impl DestinationLimit {
    /// A limit of so many calls a second, without load.
    pub(crate) fn new(rate: f64) -> Self {
        DestinationLimit {
            rate,
            rate_factor: 1.0,
            closed_until: 0,
            tokens: (rate * BURST_SECONDS).max(1.0),
            refilled_at: 0,
            window: 0,
            used_in_window: 0.0,
            busy_until: 0.0,
            slow_start_since: None,
            overloaded: false,
            recent_calls: VecDeque::new(),
            last_report: LastReport { at: 0, capacity_left: 1.0 },
        }
    }

    /// Only this part of the rate is open from now on.
    pub(crate) fn throttle(&mut self, factor: f64) {
        self.rate_factor = factor;
    }

    /// Rejects everything until then.
    pub(crate) fn close_until(&mut self, until: Time) {
        self.closed_until = until;
    }

    /// An outage ends then, and the recovery ramp begins.
    pub(crate) fn slow_start_from(&mut self, at: Time) {
        self.slow_start_since = Some(at);
    }

    /// It was overloaded during a recovery ramp and does not come back.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Calls a second that it can serve after the recovery ramp.
    pub(crate) fn capacity(&self, kind: &DestinationKind) -> f64 {
        self.rate * kind.capacity_ratio
    }

    /// The share of the capacity that the recovery ramp has reached.
    fn ramp_share(&self, now: Time, recovery: &RecoveryModel) -> f64 {
        match self.slow_start_since {
            Some(since) if now >= since && now < since + recovery.slow_start_duration => {
                let progress = (now - since) as f64 / recovery.slow_start_duration as f64;
                recovery.slow_start_ratio + (1.0 - recovery.slow_start_ratio) * progress
            }
            _ => 1.0,
        }
    }

    /// Counts a call, and whether it overloads the limit during its recovery ramp.
    pub(crate) fn count_call(
        &mut self,
        now: Time,
        recovery: &RecoveryModel,
        kind: &DestinationKind,
    ) -> LoadEffect {
        while self.recent_calls.front().is_some_and(|&at| at + recovery.overload_window <= now) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back(now);
        let ramp_share = self.ramp_share(now, recovery);
        if ramp_share >= 1.0 || self.overloaded {
            return LoadEffect::Bearable;
        }
        // Calls from before it was back do not count against it.
        let since = self.slow_start_since.unwrap_or(0);
        let calls = self.recent_calls.iter().filter(|&&at| at >= since).count() as f64;
        let window = recovery.overload_window as f64;
        let mean = recovery.overload_ratio * ramp_share * self.capacity(kind) * window / NANOS_PER_SECOND;
        // One call is always bearable.
        self.overloaded = calls > mean + TOLERATED_DEVIATIONS * mean.sqrt() + 1.0;
        if self.overloaded {
            LoadEffect::Overloads
        } else {
            LoadEffect::Bearable
        }
    }

    /// Brings token bucket and window up to date.
    fn refill(&mut self, now: Time, kind: &DestinationKind) {
        let rate = self.rate * self.rate_factor;
        match kind.limit {
            LimitKind::None => {}
            LimitKind::Rate => {
                let gained = rate * now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
                self.tokens = (self.tokens + gained).min((rate * BURST_SECONDS).max(1.0));
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

    /// Calls that a window of so many milliseconds admits.
    fn window_count(&self, ms: u64) -> f64 {
        (self.rate * self.rate_factor * ms as f64 / 1e3).max(1.0)
    }

    /// Admits a call that means so much work, or rejects it.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        work: f64,
        kind: &DestinationKind,
        recovery: &RecoveryModel,
        draws: RejectionDraws,
    ) -> Admission {
        self.refill(now, kind);
        let gives_retry_after = draws.gives_retry_after < kind.retry_after_probability;
        let rejected = |wait: Time| {
            let retry_after = if gives_retry_after { wait.max(1) } else { 0 };
            Admission::Rejected { retry_after }
        };
        if now < self.closed_until {
            return rejected(self.closed_until - now);
        }
        if let Err(exceeded) = self.use_limit(now, kind, draws.length) {
            return rejected(exceeded.wait);
        }
        let begin = self.busy_until.max(now as f64);
        if begin - now as f64 > kind.longest_queue as f64 {
            return rejected(kind.longest_queue);
        }
        let capacity = self.capacity(kind) * self.ramp_share(now, recovery);
        self.busy_until = begin + work * NANOS_PER_SECOND / capacity.max(MIN_CAPACITY);
        Admission::BeginsAt(begin as Time)
    }

    /// Takes a call from the rate or count, as far as there is any left.
    fn use_limit(&mut self, now: Time, kind: &DestinationKind, draw: f64) -> Result<(), LimitExceeded> {
        match kind.limit {
            LimitKind::None => {}
            LimitKind::Rate if self.tokens < 1.0 => {
                if kind.rejected_calls_count {
                    self.tokens = (self.tokens - 1.0).max(-1.0);
                }
                let range = kind.retry_after;
                let width = (range.longest - range.shortest) as f64;
                return Err(LimitExceeded { wait: range.shortest + (draw * width) as Time });
            }
            LimitKind::Rate => self.tokens -= 1.0,
            LimitKind::Window { ms } if self.used_in_window + 1.0 > self.window_count(ms) => {
                if kind.rejected_calls_count {
                    self.used_in_window += 1.0;
                }
                let window = ms * NANOS_PER_MILLI;
                return Err(LimitExceeded { wait: window - now % window });
            }
            LimitKind::Window { .. } => self.used_in_window += 1.0,
        }
        Ok(())
    }

    /// What is reported of the limit, as it stood at the last report.
    pub(crate) fn reported_load(&mut self, now: Time, kind: &DestinationKind) -> Option<ReportedLoad> {
        if kind.load_report_interval == 0 {
            return None;
        }
        self.refill(now, kind);
        let capacity_left = match kind.limit {
            LimitKind::None => return Some(ReportedLoad { capacity_left: 0.0, rate_limit: 0.0 }),
            LimitKind::Rate => self.tokens / (self.rate * self.rate_factor * BURST_SECONDS).max(1.0),
            LimitKind::Window { ms } => 1.0 - self.used_in_window / self.window_count(ms),
        };
        if now >= self.last_report.at + kind.load_report_interval {
            self.last_report = LastReport { at: now, capacity_left: capacity_left.clamp(0.0, 1.0) };
        }
        Some(ReportedLoad {
            capacity_left: self.last_report.capacity_left,
            rate_limit: self.rate * self.rate_factor,
        })
    }
}
