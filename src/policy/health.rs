//! Health of limits: ejection, recovery, and calls that get no answer.

use super::rate::{SHARE_FILL_RATIO, SHARE_GROWTH_RATE};
use super::{Dispatcher, NEVER};
use crate::interface::{Action, AttemptOutcome, LimitChange, LimitState, Time};
use crate::state::CircuitState::{Closed, Open, SlowStart};
use crate::state::{DueAttempt, EjectionCause, LimitContext, LimitScope, Limiter, Silence};

/// Weight of the newest outcome in the failure rate, which a handful of outcomes settle.
pub(super) const EWMA_WEIGHT: f64 = 0.3;
/// Failure rate above which a limit counts as failing: higher than that of occasional errors.
pub(super) const RISKY_FAILURE_RATE: f64 = 0.25;
/// Rejections in a row from which a destination without reports may be shut.
const MIN_SHUT_REJECTIONS: u32 = 3;
/// Reported part of the capacity above which a rejection means shut: at the limit none would be left.
const SHUT_CAPACITY_RATIO: f64 = 0.75;

impl Dispatcher {
    /// Ejects limits that have answered nothing since a call was sent that is overdue now. Cancels overdue
    /// calls whose slot others want, and those that hang while other endpoints answer and may be retried.
    pub(super) fn detect_silence(&mut self) {
        let overdue = self.state.overdue_index.all_due(self.now, |_| true);
        self.wake_up.want_by(overdue.next_due_at.unwrap_or(NEVER));
        if overdue.attempts.is_empty() {
            return;
        }
        let slots_wanted = self.is_short_of_slots(0);
        let mut to_cancel = Vec::new();
        for attempt in overdue.attempts {
            let Some(silence) = self.state.check_silence(&attempt) else { continue };
            self.record_silence(&attempt, silence);
            if self.should_cancel(&attempt, silence, slots_wanted) {
                to_cancel.push(attempt);
            }
        }
        for attempt in to_cancel {
            self.cancel(attempt.message, attempt.attempt);
            self.update_hedge_index(attempt.message);
        }
    }

    fn record_silence(&mut self, overdue: &DueAttempt, silence: Silence) {
        let Silence { endpoint: id, destination, class, .. } = silence;
        let chance = self.random.draw();
        let Some(endpoint) = self.state.endpoints.get_mut(id) else { return };
        let avoided_until = overdue.sent_at + self.settings.classes[class].deadline;
        endpoint.avoided_until.insert(class, avoided_until);
        let Some(destination_state) = self.state.destinations.get_mut(destination) else { return };
        let scope = destination_state.endpoint_scope();
        let context = LimitContext { now: self.now, scope, settings: &self.settings };
        let mut ejected = silence.endpoint_silent && endpoint.limiter.record_silence(chance, context);
        if silence.endpoint_silent && silence.destination_silent && scope == LimitScope::SharedEndpoint {
            ejected |= destination_state.limiter.record_silence(chance, context.for_destination());
        }
        if ejected {
            let change = LimitChange { destination, endpoint: id, state: LimitState::Silent, evidence: None };
            self.actions.push(Action::LimitChanged(change));
        }
    }

    fn should_cancel(&self, overdue: &DueAttempt, silence: Silence, slots_wanted: bool) -> bool {
        let may_resend = self.may_resend(&self.state.messages[&overdue.message], None);
        let twice_overdue = self.now > overdue.due_at + (overdue.due_at - overdue.sent_at);
        let hangs_alone = silence.endpoint_silent && !silence.destination_silent;
        let frees_slot = slots_wanted && (may_resend || twice_overdue);
        self.settings.cancellation_allowed && (frees_slot || hangs_alone && may_resend)
    }
}

impl Limiter {
    /// Records the first outcome of a call that was sent at `sent_at`; any but a success lowers the rate.
    pub(super) fn record_outcome(
        &mut self,
        sent_at: Time,
        outcome: AttemptOutcome,
        chance: f64,
        context: LimitContext,
    ) {
        if outcome != AttemptOutcome::TimedOut {
            self.last_answer_at = context.now;
        }
        if self.failures.consecutive == 0 && self.circuit == Closed {
            self.failures.since = context.now;
        }
        if outcome == AttemptOutcome::Served {
            return self.record_success(sent_at, context);
        }
        self.failures.last_at = context.now;
        self.failures.consecutive += 1;
        if let AttemptOutcome::Rejected { retry_after } = outcome {
            self.record_rejection(sent_at, retry_after, context);
        } else {
            self.failures.last_not_executed = outcome == AttemptOutcome::NoConnection;
            self.failures.rate += EWMA_WEIGHT * (1.0 - self.failures.rate);
            if self.failures.rate > self.ejection_threshold || self.is_ejected() {
                self.eject(context.now, EjectionCause::Failure);
            }
        }
        self.defer_calls(chance, context);
    }

    fn record_success(&mut self, sent_at: Time, context: LimitContext) {
        let LimitContext { now, settings, .. } = context;
        self.failures.consecutive = 0;
        self.rejected_above_limit = false;
        let growth = if self.report.received_at == now { 2.0 * self.report.capacity_left - 1.0 } else { 0.0 };
        self.shares_taken = (self.shares_taken * (1.0 + SHARE_GROWTH_RATE * growth)).max(SHARE_FILL_RATIO);
        self.failures.rate -= EWMA_WEIGHT * self.failures.rate;
        self.served.count(now, settings.overload_window);
        // The limit was slow, not down: nothing failed, and a call sent before the silence is answered or the
        // silence was short. A slow start from before the silence continues.
        let was_slow = |since: Time| sent_at < since || now < since + settings.overload_window;
        self.circuit = match self.circuit {
            Open { since, confirmed: false } if was_slow(since) => self.circuit_before_open,
            Open { .. } => {
                self.failures.rate = self.failures.rate.min(2.0 * RISKY_FAILURE_RATE);
                SlowStart { since: now }
            }
            // One success among failures is no recovery: the slow start begins again.
            SlowStart { .. } if self.failures.rate > RISKY_FAILURE_RATE => SlowStart { since: now },
            SlowStart { since } if now > since + settings.slow_start_duration => Closed,
            other => other,
        };
    }

    fn record_rejection(&mut self, sent_at: Time, retry_after: Time, context: LimitContext) {
        self.failures.last_not_executed = true;
        let shut = self.is_ejected() || self.is_shut(sent_at, retry_after, context);
        if shut && retry_after > 0 {
            self.circuit = SlowStart { since: self.retry_after_until };
        } else if shut {
            self.eject(context.now, EjectionCause::Failure);
        } else if context.scope == LimitScope::OwnLimit {
            self.cut_rate(context);
        }
    }

    /// Whether a rejection means that the destination is shut, not that the call was above the limit: its
    /// Retry-After is longer than the window of limits, or capacity is reported left. With nothing reported,
    /// rejections without a success must last longer than such a window.
    fn is_shut(&self, sent_at: Time, retry_after: Time, context: LimitContext) -> bool {
        let window = context.settings.overload_window;
        let long_rejected = self.failures.since + window * 3 / 2 <= context.now + retry_after;
        let shut_unreported =
            long_rejected && (retry_after > 0 || self.failures.consecutive >= MIN_SHUT_REJECTIONS);
        let capacity_left = self.report.capacity_left > SHUT_CAPACITY_RATIO && sent_at >= self.failures.since;
        let reported = self.report.received_at == context.now;
        retry_after > window || if reported { capacity_left } else { shut_unreported }
    }

    /// Records that nothing was answered since an overdue call was sent; true if that ejects the limit.
    fn record_silence(&mut self, chance: f64, context: LimitContext) -> bool {
        let ejected = self.eject(context.now, EjectionCause::Silence);
        if ejected {
            self.defer_calls(chance, context);
        }
        ejected
    }
}
