//! What is known of one limit: a destination, an independent route, or one endpoint of several.
//!
//! It counts and remembers; what follows for the rate and for ejection is decided in [`crate::policy`].

use super::{seconds, LimitScope};
use crate::interface::{
    AttemptOutcome, AttemptResult, LimitChange, LimitEvidence, LimitState, Settings, Time,
};

/// The conditions under which a limiter is used: the clock time, the settings and its scope.
#[derive(Clone, Copy)]
pub(crate) struct LimitContext<'a> {
    pub(crate) now: Time,
    pub(crate) scope: LimitScope,
    pub(crate) settings: &'a Settings,
}

impl LimitContext<'_> {
    /// The same context for the limiter of the destination, which always has a limit of its own.
    pub(crate) fn for_destination(self) -> Self {
        LimitContext { scope: LimitScope::OwnLimit, ..self }
    }

    pub(crate) fn window_seconds(&self) -> f64 {
        seconds(self.settings.overload_window)
    }
}

/// State of the circuit breaker of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum CircuitState {
    /// Healthy.
    #[default]
    Closed,
    /// Ejected since then: recovery trials only. `confirmed` is set once a call failed or was rejected, not
    /// just overdue.
    Open { since: Time, confirmed: bool },
    /// Recovering: its capacity has grown since then.
    SlowStart { since: Time },
}

/// Why a limit is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// A call failed or was rejected.
    Failure,
    /// Calls are overdue and none is answered.
    Silence,
}

/// Failures and rejections in a row, and how frequent failures are.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRecord {
    /// Moving average of failures, 0 to 1.
    pub(crate) rate: f64,
    /// Failures or rejections in a row.
    pub(crate) consecutive: u32,
    /// When the first failure or rejection in a row came; without one, when the last call ended.
    pub(crate) since: Time,
    /// When the last failure or rejection came.
    pub(crate) last_at: Time,
    /// The last failure or rejection is known not to have executed anything.
    pub(crate) last_not_executed: bool,
}

impl FailureRecord {
    /// Seconds from the first failure or rejection in a row to the last.
    pub(crate) fn seconds(&self) -> f64 {
        seconds(self.last_at.saturating_sub(self.since))
    }
}

/// How many calls were served: since the limit is known, and in overload windows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServedCounts {
    pub(crate) known_since: Time,
    /// Calls served since the limit is known.
    pub(crate) calls: f64,
    window_start: Time,
    /// Calls served in the present window.
    window_calls: f64,
    /// The most calls served in any window.
    pub(crate) peak_window_calls: f64,
}

impl ServedCounts {
    /// Counts a served call; `window` is the length of an overload window.
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

/// What the destination, or the endpoint list, has reported of the limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitReport {
    /// Calls a second over all couriers; 0 where none was reported.
    pub(crate) rate_limit: f64,
    /// The rate limit is exact, so that it may be enforced before any rejection.
    pub(crate) is_exact: bool,
    /// Part of the limit that was left, as last reported, 0 to 1.
    pub(crate) capacity_left: f64,
    /// When `capacity_left` was reported.
    pub(crate) received_at: Time,
}

/// Calls that may be sent at once. The rate at which it refills is a decision of [`crate::policy`].
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens at `refilled_at`; one is needed to send a call.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Time,
}

/// Health, demand and rate of one limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    pub(crate) circuit: CircuitState,
    /// The state from which it was ejected.
    pub(crate) circuit_before_open: CircuitState,
    /// Failure rate above which it is ejected.
    pub(crate) ejection_threshold: f64,
    /// No call may be sent before this (rule 6).
    pub(crate) retry_after_until: Time,
    pub(crate) failures: FailureRecord,
    /// When any call was last answered, with whatever outcome.
    pub(crate) last_answer_at: Time,
    pub(crate) served: ServedCounts,
    /// Messages that wait for the limit at this courier.
    pub(crate) waiting_messages: f64,
    pub(crate) report: LimitReport,
    /// A call was rejected above the limit, and none was served since.
    pub(crate) rejected_above_limit: bool,
    /// What this courier takes of the limit, in equal shares over all couriers.
    pub(crate) shares_taken: f64,
    pub(crate) bucket: TokenBucket,
}

impl Limiter {
    /// Creates the limiter of a healthy limit that may be sent one call at once.
    pub(crate) fn new(ejection_threshold: f64, known_since: Time) -> Self {
        Limiter {
            ejection_threshold,
            served: ServedCounts { known_since, ..ServedCounts::default() },
            bucket: TokenBucket { tokens: 1.0, refilled_at: 0 },
            shares_taken: f64::INFINITY,
            ..Limiter::default()
        }
    }

    /// Records what a result reports of the limit, if it reports a rate limit.
    pub(crate) fn record_report(&mut self, now: Time, result: &AttemptResult) {
        let Some(rate_limit) = result.rate_limit.filter(|&limit| limit > 0.0) else { return };
        self.report.rate_limit = rate_limit;
        self.report.is_exact = true;
        if let Some(capacity_left) = result.capacity_left {
            self.report.capacity_left = capacity_left;
            self.report.received_at = now;
        }
    }

    /// Ejects the limit: only recovery trials are sent from now on. Returns false if it was ejected before.
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

    /// Whether only recovery trials are sent.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.circuit, CircuitState::Open { .. })
    }

    /// Describes its present state and the outcome that led to it.
    pub(crate) fn change(&self, destination: u32, endpoint: u32, outcome: AttemptOutcome) -> LimitChange {
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
