//! Health of limits: ejection, recovery, and calls that get no answer.

use super::rate::{SHARE_FILL_RATIO, SHARE_GROWTH_RATE};
use super::{Dispatcher, NEVER};
use crate::interface::{Action, AttemptOutcome, LimitChange, LimitState, Time};
use crate::state::CircuitState::{Closed, Open, SlowStart};
use crate::state::{DueAttempt, EjectionCause, LimitContext, LimitScope, Limiter, Silence};

/// Weight of the newest call in the moving averages (EWMA) of the failure rate and of the recent latency.
/// Five calls have more than four fifths of the weight.
pub(super) const EWMA_WEIGHT: f64 = 0.3;
/// Failure rate (EWMA, 0 to 1) above which a limit counts as failing, even if it is not ejected: higher than
/// that of occasional errors.
pub(super) const FAILING_THRESHOLD: f64 = 0.25;
/// Minimum length of a run of failures and rejections that may count as an outage, if the last rejection
/// carries neither a Retry-After nor a report of the capacity left.
const MIN_OUTAGE_REJECTIONS: u32 = 3;
/// A rejection that reports more capacity left than this ratio of the limit indicates an outage: a call is
/// rejected for exceeding the limit only when no capacity is left.
const OUTAGE_CAPACITY_LEFT: f64 = 0.75;

impl Dispatcher {
    /// Ejects each limit under which no call was answered since an attempt that is now overdue was sent.
    /// Cancels overdue attempts to free their slots, or to retry the message at another endpoint.
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

    /// Makes messages of an overdue attempt's class avoid the attempt's endpoint until `sent_at + deadline of
    /// the class`. Ejects the endpoint's limiter if the endpoint is silent, and the destination's limiter if
    /// all endpoints that share the limit are silent.
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

    /// Whether to cancel an overdue attempt, for one of two reasons:
    ///
    /// - To free the slot, if messages wait for one: the message may be retried, or the attempt has taken
    ///   more than twice its overdue span.
    /// - To retry the message, if that is allowed, at another endpoint: this endpoint is silent, but others
    ///   of the destination have answered.
    fn should_cancel(&self, overdue: &DueAttempt, silence: Silence, slots_wanted: bool) -> bool {
        let may_resend = self.may_resend(&self.state.messages[&overdue.message], None);
        let twice_overdue = self.now > overdue.due_at + (overdue.due_at - overdue.sent_at);
        let only_endpoint_silent = silence.endpoint_silent && !silence.destination_silent;
        let frees_slot = slots_wanted && (may_resend || twice_overdue);
        self.settings.cancellation_allowed && (frees_slot || only_endpoint_silent && may_resend)
    }
}

impl Limiter {
    /// Records the outcome of a call that was sent at clock time `sent_at`. Any outcome but `Served` delays
    /// the next call with jitter; `chance` is the random number in [0, 1) for the jitter.
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

    /// Lowers the failure rate and moves the circuit breaker towards [`Closed`]. If the answer reported the
    /// capacity left, multiplies `shares_taken` by `1 + SHARE_GROWTH_RATE * (2 * capacity left - 1)`, to at
    /// least [`SHARE_FILL_RATIO`].
    fn record_success(&mut self, sent_at: Time, context: LimitContext) {
        let LimitContext { now, settings, .. } = context;
        self.failures.consecutive = 0;
        self.rejected_above_limit = false;
        let growth = if self.report.received_at == now { 2.0 * self.report.capacity_left - 1.0 } else { 0.0 };
        self.shares_taken = (self.shares_taken * (1.0 + SHARE_GROWTH_RATE * growth)).max(SHARE_FILL_RATIO);
        self.failures.rate -= EWMA_WEIGHT * self.failures.rate;
        self.served.count(now, settings.overload_window);
        // A limit that was ejected for silence only was slow, not down, if this call was sent before the
        // ejection or if the ejection is less than an overload window old: its former circuit is restored.
        let was_slow = |since: Time| sent_at < since || now < since + settings.overload_window;
        self.circuit = match self.circuit {
            Open { since, confirmed: false } if was_slow(since) => self.circuit_before_open,
            Open { .. } => {
                self.failures.rate = self.failures.rate.min(2.0 * FAILING_THRESHOLD);
                SlowStart { since: now }
            }
            // One success among failures is no recovery: the slow start restarts.
            SlowStart { .. } if self.failures.rate > FAILING_THRESHOLD => SlowStart { since: now },
            SlowStart { since } if now > since + settings.slow_start_duration => Closed,
            other => other,
        };
    }

    /// Records a rejection as an outage or as a call above the limit. An outage starts the slow start at the
    /// end of the Retry-After, or ejects the limit if there is none. A call above the limit cuts the rate,
    /// but only in the limiter of the limit itself, not in that of an endpoint that shares the limit.
    fn record_rejection(&mut self, sent_at: Time, retry_after: Time, context: LimitContext) {
        self.failures.last_not_executed = true;
        let outage = self.is_ejected() || self.is_outage(sent_at, retry_after, context);
        if outage && retry_after > 0 {
            self.circuit = SlowStart { since: self.retry_after_until };
        } else if outage {
            self.eject(context.now, EjectionCause::Failure);
        } else if context.scope == LimitScope::OwnLimit {
            self.cut_rate(context);
        }
    }

    /// Whether a rejection means an outage of the destination rather than a call above the limit:
    ///
    /// - The Retry-After is longer than an overload window.
    /// - Or the rejection reports more capacity left than [`OUTAGE_CAPACITY_LEFT`], and the call was sent no
    ///   earlier than the present run of failures began.
    /// - Or the rejection carries no report, and the run of failures so far plus the Retry-After lasts at
    ///   least 1.5 overload windows. Without a Retry-After, the run needs [`MIN_OUTAGE_REJECTIONS`] too.
    fn is_outage(&self, sent_at: Time, retry_after: Time, context: LimitContext) -> bool {
        let window = context.settings.overload_window;
        let long_failing = self.failures.since + window * 3 / 2 <= context.now + retry_after;
        let enough_evidence = retry_after > 0 || self.failures.consecutive >= MIN_OUTAGE_REJECTIONS;
        let capacity_left =
            self.report.capacity_left > OUTAGE_CAPACITY_LEFT && sent_at >= self.failures.since;
        let reported = self.report.received_at == context.now;
        retry_after > window || if reported { capacity_left } else { long_failing && enough_evidence }
    }

    /// Ejects the limit because no call was answered since an overdue one was sent. Returns false if the
    /// limit was ejected already.
    fn record_silence(&mut self, chance: f64, context: LimitContext) -> bool {
        let ejected = self.eject(context.now, EjectionCause::Silence);
        if ejected {
            self.defer_calls(chance, context);
        }
        ejected
    }
}
