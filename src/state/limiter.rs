//! State of the rate limiter and circuit breaker of one limit: of a destination, of an independent route, or
//! of one endpoint among several that share their destination's limit.
//!
//! This module keeps counters and observations. [`crate::policy`] derives the rate and ejections from them.

use super::{seconds, LimitScope};
use crate::interface::{
    AttemptOutcome, AttemptResult, LimitChange, LimitEvidence, LimitState, Settings, Time,
};

/// Inputs of a limiter's decisions that are not part of its state.
#[derive(Clone, Copy)]
pub(crate) struct LimitContext<'a> {
    /// Clock time of the decision cycle, in nanoseconds.
    pub(crate) now: Time,
    /// Whether the limiter is that of a limit or of one endpoint under a shared limit.
    pub(crate) scope: LimitScope,
    pub(crate) settings: &'a Settings,
}

impl LimitContext<'_> {
    /// Returns the same context for the limiter of the destination, whose scope is always `OwnLimit`.
    pub(crate) fn for_destination(self) -> Self {
        LimitContext { scope: LimitScope::OwnLimit, ..self }
    }

    /// Returns the length of an overload window in seconds.
    pub(crate) fn window_seconds(&self) -> f64 {
        seconds(self.settings.overload_window)
    }
}

/// State of the circuit breaker of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CircuitState {
    /// Healthy, or with too few failures to be ejected: calls are sent, at most at the fair-share rate if the
    /// limit is enforced, and more slowly after a failure.
    #[default]
    Closed,
    /// Ejected at clock time `since`: only recovery trials are sent. `confirmed` is true once a call has
    /// failed or was rejected, and false while calls are only overdue.
    Open { since: Time, confirmed: bool },
    /// Recovering: slow start, in which the assumed capacity grows linearly from clock time `since` on.
    /// `since` is in the future while a Retry-After of the outage is pending.
    SlowStart { since: Time },
}

/// The evidence on which a limit is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// A call failed or was rejected.
    Failure,
    /// A call is overdue, and no call was answered since the overdue one was sent.
    Silence,
}

/// Failure rate and the current run of failures or rejections of a limit. Times are clock times in
/// nanoseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRecord {
    /// Exponentially weighted moving average (EWMA) of call outcomes, with 1 for a failure and 0 for a served
    /// call; a rejection leaves it unchanged.
    pub(crate) rate: f64,
    /// Number of failures and rejections since the last served call.
    pub(crate) consecutive: u32,
    /// Start of the present outage: the first failure or rejection of the run, or an ejection for silence. A
    /// slow start does not change this time. While the limit is healthy, it is the time of the last outcome.
    pub(crate) since: Time,
    /// Time of the last failure, rejection or ejection.
    pub(crate) last_at: Time,
    /// Whether the last failure or rejection certainly executed nothing (rejected, or no connection).
    pub(crate) last_not_executed: bool,
}

impl FailureRecord {
    /// Returns the observed length of the outage in seconds: from `since` to `last_at`.
    pub(crate) fn seconds(&self) -> f64 {
        seconds(self.last_at.saturating_sub(self.since))
    }
}

/// Counts of the served calls of a limit: in total, and in tumbling windows as long as an overload window. A
/// window begins with the first served call after the end of the one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedCounts {
    /// Clock time at which the limit became known, in nanoseconds.
    pub(crate) known_since: Time,
    /// Number of calls served since `known_since`.
    pub(crate) calls: f64,
    /// Clock time of the first call in the present window, in nanoseconds.
    window_start: Time,
    /// Number of calls served in the present window.
    window_calls: f64,
    /// Greatest number of calls served in any window so far.
    pub(crate) peak_window_calls: f64,
}

impl ServedCounts {
    /// Counts a served call; `window` is the length of an overload window in nanoseconds.
    pub(crate) fn count(&mut self, now: Time, window: Time) {
        if self.window_start + window <= now {
            self.window_start = now;
            self.window_calls = 0.0;
        }
        self.window_calls += 1.0;
        self.peak_window_calls = self.peak_window_calls.max(self.window_calls);
        self.calls += 1.0;
    }
}

/// The limit as reported by the destination in its answers, or by the endpoint list.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitReport {
    /// Rate limit in calls a second over all couriers; 0 while none was reported.
    pub(crate) rate_limit: f64,
    /// Whether `rate_limit` is exact. An exact limit is enforced from the start, any other only after a
    /// rejection.
    pub(crate) is_exact: bool,
    /// Unused fraction of the limit as last reported, 0 to 1.
    pub(crate) capacity_left: f64,
    /// Clock time at which `capacity_left` was reported, in nanoseconds.
    pub(crate) received_at: Time,
}

/// Token bucket that paces the calls to a limit. [`crate::policy`] decides its refill rate and its size.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket at `refilled_at`; a call needs one. Negative after a call whose cost was above 1
    /// because of jitter, or while the next call is deferred after a failure.
    pub(crate) tokens: f64,
    /// Clock time from which tokens are refilled, in nanoseconds; in the future while a Retry-After is
    /// pending.
    pub(crate) refilled_at: Time,
}

/// Rate limiter (token bucket) and circuit breaker of one limit, for the calls of this courier.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    pub(crate) circuit: CircuitState,
    /// Circuit state before the ejection. It is restored if the limit turns out to be slow and not down.
    pub(crate) circuit_before_open: CircuitState,
    /// Value of `failures.rate` above which the limit is ejected.
    pub(crate) ejection_threshold: f64,
    /// Clock time before which no call may be sent because of a Retry-After (rule 6), in nanoseconds.
    pub(crate) retry_after_until: Time,
    pub(crate) failures: FailureRecord,
    /// Clock time of the last call outcome other than a timeout, in nanoseconds. A failed connection counts
    /// as an answer too.
    pub(crate) last_answer_at: Time,
    pub(crate) served: ServedCounts,
    /// Number of messages that wait at this courier for the destination of the limit, as last counted.
    pub(crate) waiting_messages: f64,
    pub(crate) report: LimitReport,
    /// Whether a call was rejected as above the limit and none has been served since.
    pub(crate) rejected_above_limit: bool,
    /// Learned share of this courier, as a multiple of an equal share of the limit among all couriers.
    /// Infinite before the first rejection above the limit; each such rejection resets it, served calls adapt
    /// it.
    pub(crate) shares_taken: f64,
    pub(crate) bucket: TokenBucket,
}

impl Limiter {
    /// Creates the limiter of a healthy limit, with one token in its bucket.
    pub(crate) fn new(ejection_threshold: f64, known_since: Time) -> Self {
        Limiter {
            ejection_threshold,
            served: ServedCounts { known_since, ..ServedCounts::default() },
            bucket: TokenBucket { tokens: 1.0, refilled_at: 0 },
            shares_taken: f64::INFINITY,
            ..Limiter::default()
        }
    }

    /// Records the rate limit and the capacity left that a result reports, at clock time `now`. A result that
    /// reports no rate limit is ignored.
    pub(crate) fn record_report(&mut self, now: Time, result: &AttemptResult) {
        let Some(rate_limit) = result.rate_limit.filter(|&limit| limit > 0.0) else { return };
        self.report.rate_limit = rate_limit;
        self.report.is_exact = true;
        if let Some(capacity_left) = result.capacity_left {
            self.report.capacity_left = capacity_left;
            self.report.received_at = now;
        }
    }

    /// Ejects the limit (opens its circuit): only recovery trials are sent from now on. Returns false if it
    /// was ejected already.
    pub(crate) fn eject(&mut self, now: Time, cause: EjectionCause) -> bool {
        let confirmed = cause == EjectionCause::Failure;
        if let CircuitState::Open { since, confirmed: before } = self.circuit {
            self.circuit = CircuitState::Open { since, confirmed: confirmed || before };
            return false;
        }
        self.failures.last_at = now;
        if self.failures.consecutive == 0 {
            self.failures.since = now;
        }
        self.circuit_before_open = self.circuit;
        self.circuit = CircuitState::Open { since: now, confirmed };
        true
    }

    /// Whether the limit is ejected: only recovery trials are sent.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.circuit, CircuitState::Open { .. })
    }

    /// Describes the present state of the limit for the log and metrics, with the outcome that led to it.
    pub(crate) fn describe_change(
        &self,
        destination: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
    ) -> LimitChange {
        let state = match self.circuit {
            CircuitState::Closed => LimitState::Healthy,
            CircuitState::Open { .. } => LimitState::Ejected,
            CircuitState::SlowStart { .. } => LimitState::Recovering,
        };
        let evidence = LimitEvidence {
            outcome,
            failure_rate: self.failures.rate,
            consecutive_failures: self.failures.consecutive,
        };
        LimitChange { destination, endpoint, state, evidence: Some(evidence) }
    }
}
