//! What is known of one limit: a destination, an independent route, or one endpoint of several.

use super::{seconds, LimitScope};
use crate::interface::{
    AttemptOutcome, AttemptResult, LimitChange, LimitEvidence, LimitState, Settings, Time,
};

/// The conditions under which a limiter is used: the clock time, the settings, and what it stands for.
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
    /// Ejected: recovery trials only; `confirmed` once a call failed or was rejected.
    Open { since: Time, confirmed: bool },
    /// Recovering: its capacity grows since then.
    SlowStart { since: Time },
}

/// Why a limit is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// A call failed or was rejected.
    Failure,
    /// Calls are overdue and nothing is answered.
    Silence,
}

/// Health, demand and rate of one limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    pub(crate) circuit: CircuitState,
    /// The state from which it was ejected.
    pub(crate) circuit_before_open: CircuitState,
    /// Failure rate above which it is ejected.
    pub(crate) ejection_threshold: f64,
    pub(crate) retry_after_until: Time,
    /// Moving average of failures, 0 to 1.
    pub(crate) failure_rate: f64,
    /// Failures or rejections in a row.
    pub(crate) consecutive_failures: u32,
    pub(crate) failing_since: Time,
    /// The last failure or rejection is known not to have executed anything.
    pub(crate) last_failure_not_executed: bool,
    pub(crate) last_failure_at: Time,
    pub(crate) last_answer_at: Time,
    pub(crate) known_since: Time,
    /// Calls served since it is known.
    pub(crate) served_calls: f64,
    pub(crate) window_start: Time,
    /// Calls served in the present overload window,
    pub(crate) window_served: f64,
    /// and the most in any.
    pub(crate) peak_window_served: f64,
    pub(crate) waiting_messages: f64,
    /// Calls a second over all couriers; 0 where none was reported.
    pub(crate) rate_limit: f64,
    pub(crate) rate_limit_exact: bool,
    /// Part of the limit that is left, as last reported.
    pub(crate) capacity_left: f64,
    pub(crate) capacity_reported_at: Time,
    /// Rejected above the limit, and nothing served since.
    pub(crate) rejected_above_limit: bool,
    /// What this courier takes of the limit, in equal shares over all couriers.
    pub(crate) shares_taken: f64,
    /// Calls saved up; one is needed to send.
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Time,
}

impl Limiter {
    /// A healthy one that may be sent one call.
    pub(crate) fn new(ejection_threshold: f64, known_since: Time) -> Self {
        Limiter {
            ejection_threshold,
            known_since,
            tokens: 1.0,
            shares_taken: f64::INFINITY,
            ..Limiter::default()
        }
    }

    /// Records what a result reports of the limit itself.
    pub(crate) fn record_report(&mut self, now: Time, result: &AttemptResult) {
        let Some(rate_limit) = result.rate_limit.filter(|&limit| limit > 0.0) else { return };
        self.rate_limit = rate_limit;
        self.rate_limit_exact = true;
        if let Some(capacity_left) = result.capacity_left {
            self.capacity_left = capacity_left;
            self.capacity_reported_at = now;
        }
    }

    /// It takes only recovery trials from now on; true if it was not ejected before.
    pub(crate) fn eject(&mut self, now: Time, cause: EjectionCause) -> bool {
        let confirmed = cause == EjectionCause::Failure;
        if let CircuitState::Open { since, confirmed: before } = self.circuit {
            self.circuit = CircuitState::Open { since, confirmed: confirmed || before };
            return false;
        }
        self.last_failure_at = now;
        if self.consecutive_failures == 0 {
            self.failing_since = now;
        }
        self.circuit_before_open = self.circuit;
        self.circuit = CircuitState::Open { since: now, confirmed };
        true
    }

    /// It takes recovery trials only.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.circuit, CircuitState::Open { .. })
    }

    /// Seconds from the first failure or rejection in a row to the last.
    pub(crate) fn failing_seconds(&self) -> f64 {
        seconds(self.last_failure_at.saturating_sub(self.failing_since))
    }

    /// Counts a served call: in this window, at most in one, in all.
    pub(crate) fn count_served(&mut self, now: Time, window: Time) {
        if self.window_start + window <= now {
            self.window_start = now;
            self.window_served = 0.0;
        }
        self.window_served += 1.0;
        self.peak_window_served = self.peak_window_served.max(self.window_served);
        self.served_calls += 1.0;
    }

    /// Its state and the outcome that led to it.
    pub(crate) fn change(&self, destination: u32, endpoint: u32, outcome: AttemptOutcome) -> LimitChange {
        let state = match self.circuit {
            CircuitState::Closed => LimitState::Healthy,
            CircuitState::Open { .. } => LimitState::Ejected,
            CircuitState::SlowStart { .. } => LimitState::Recovering,
        };
        let evidence = LimitEvidence {
            outcome,
            failure_rate: self.failure_rate,
            consecutive_failures: self.consecutive_failures,
        };
        LimitChange { destination, endpoint, state, evidence: Some(evidence) }
    }
}
