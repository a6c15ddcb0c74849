//! Results of attempts: what becomes of the message, and what they show of endpoint and destination.

use super::admission::{FAILURE_RETRY_TOKENS, RETRY_BUDGET_TOKENS};
use super::{health::EWMA_WEIGHT, Dispatcher, NANOS_PER_SECOND};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Time};
use crate::state::{seconds, LimitContext, LimitScope};

/// Recent latencies from which the 95th percentile is taken; a twentieth of 40 is two.
const LATENCY_SAMPLES: usize = 40;
/// Samples from which the percentile is used instead of the latency objective.
const MIN_LATENCY_SAMPLES: usize = 5;
/// Connections that any endpoint takes from all couriers together.
const MIN_CONNECTIONS: f64 = 8.0;

impl Dispatcher {
    /// Records the result of an attempt, and retries, drops or gives up its message.
    pub(super) fn finish_attempt(&mut self, result: AttemptResult) {
        let outcome = result.outcome;
        let finished = self.state.take_finished(&result);
        // Also for an attempt that had ended before: a late answer may carry a Retry-After.
        self.record_endpoint_result(&result);
        let Some(finished) = finished else { return };
        if finished.first_outcome {
            self.record_call_outcome(&result, finished.sent_at);
        }
        self.state.record_result(&result);
        self.record_attempt_destination(&result);
        self.update_hedge_index(result.message);
        let Some(message) = self.state.messages.get(&result.message) else { return };
        // Rule 5: the attempt may still run.
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            let cooldown_until = self.now + self.settings.key_cooldown;
            self.state.key_queues.cool_down(message.ordering_key, cooldown_until);
        }
        if result.completed {
            self.finish(result.message);
        } else if message.completed || message.attempts_in_flight > 0 {
            self.drop_finished(result.message);
        } else if self.may_resend(message, None) {
            self.enqueue(result.message);
        } else {
            self.give_up(result.message, 0);
        }
    }

    /// Records what a result shows of this machine's way to the destination.
    fn record_attempt_destination(&mut self, result: &AttemptResult) {
        let destination = self.state.messages.get(&result.message).map(|message| message.destination);
        if let Some(destination) = destination {
            self.record_local_fault(destination, result.outcome);
        }
    }

    /// Records what a result shows of its endpoint itself, whether or not the attempt was still in flight.
    fn record_endpoint_result(&mut self, result: &AttemptResult) {
        let now = self.now;
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let Some(destination) = self.state.destinations.get_mut(endpoint.destination) else { return };
        let limiter = destination.limiter_for(endpoint);
        limiter.record_report(now, result);
        // Rule 6.
        if let AttemptOutcome::Rejected { retry_after: retry_after @ 1.. } = result.outcome {
            limiter.retry_after_until = limiter.retry_after_until.max(now + retry_after);
        }
        // A class may fail where others are served: it avoids the endpoint until one of it is served.
        let class = self.state.messages.get(&result.message).map_or(0, |message| message.class);
        let deadline = self.settings.classes.get(class).map_or(0, |class| class.deadline);
        match result.outcome {
            AttemptOutcome::Served => endpoint.stop_avoiding(class),
            AttemptOutcome::Error | AttemptOutcome::TimedOut => endpoint.avoid(class, now + deadline),
            _ => {}
        }
        self.close_rarely_used(result.endpoint);
    }

    /// Closes idle connections that are used less than once in the idle time that this courier may take. An
    /// idle connection occupies the place of another courier's: it may stay idle for its equal share of the
    /// idle timeout, or for as long as two calls take.
    fn close_rarely_used(&mut self, id: u32) {
        let Some(endpoint) = self.state.endpoints.get(id) else { return };
        let Some(destination) = self.state.destinations.get(endpoint.destination) else { return };
        let share = MIN_CONNECTIONS / f64::from(self.settings.courier_count.max(1));
        let idle_seconds = share * seconds(self.settings.idle_timeout);
        let idle_seconds = idle_seconds.max(2.0 * destination.usual_latency / NANOS_PER_SECOND);
        if endpoint.calls_in_flight == 0 && endpoint.limiter.usual_rate(self.now) * idle_seconds < 1.0 {
            self.actions.push(Action::CloseIdle { endpoint: id });
        }
    }

    /// Records the first outcome of a call for latencies, the retry budget and health.
    fn record_call_outcome(&mut self, result: &AttemptResult, sent_at: Time) {
        let Some(endpoint) = self.state.endpoints.get(result.endpoint) else { return };
        let id = endpoint.destination;
        let Some(destination) = self.state.destinations.get_mut(id) else { return };
        if result.outcome == AttemptOutcome::Served {
            destination.retry_tokens = (destination.retry_tokens + 1.0).min(RETRY_BUDGET_TOKENS);
            // A delay that a pause of this courier caused is no latency.
            if self.delay <= 2 * self.settings.tick {
                destination.latencies.record(result.elapsed, LATENCY_SAMPLES, high_percentile);
                destination.update_average_latencies(result.elapsed, EWMA_WEIGHT, LATENCY_SAMPLES);
                self.latencies.record(result.elapsed, LATENCY_SAMPLES, high_percentile);
            }
        } else {
            destination.retry_tokens = (destination.retry_tokens - FAILURE_RETRY_TOKENS).max(0.0);
        }
        self.record_limit_outcome(result, sent_at);
        if result.outcome == AttemptOutcome::Served {
            self.update_spans(id);
        }
    }

    /// Records the first outcome of a call with the limiters of its endpoint and its destination.
    fn record_limit_outcome(&mut self, result: &AttemptResult, sent_at: Time) {
        let outcome = result.outcome;
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let id = endpoint.destination;
        let Some(destination) = self.state.destinations.get_mut(id) else { return };
        let scope = destination.endpoint_scope();
        let context = LimitContext { now: self.now, scope, settings: &self.settings };
        let chance = self.random.draw();
        let mut limiter = &mut endpoint.limiter;
        let mut before = limiter.circuit;
        limiter.record_outcome(sent_at, outcome, chance, context);
        if scope == LimitScope::SharedEndpoint {
            limiter = &mut destination.limiter;
            before = limiter.circuit;
            limiter.record_outcome(sent_at, outcome, chance, context.for_destination());
        }
        if std::mem::discriminant(&before) != std::mem::discriminant(&limiter.circuit) {
            let change = limiter.describe_change(id, result.endpoint, outcome);
            self.actions.push(Action::LimitChanged(change));
        }
    }
}

/// The 95th percentile, or `None` when there are too few samples.
fn high_percentile(sorted: &[Time]) -> Option<Time> {
    sorted.get(sorted.len() * 95 / 100).filter(|_| sorted.len() >= MIN_LATENCY_SAMPLES).copied()
}
