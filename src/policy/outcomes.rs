//! Results of attempts: what is done with the message, and what is recorded for the endpoint and destination.

use super::admission::{FAILURE_RETRY_TOKENS, RETRY_BUDGET_TOKENS};
use super::{health::EWMA_WEIGHT, Dispatcher, NANOS_PER_SECOND};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Time};
use crate::state::{seconds, LimitContext, LimitScope};

/// Number of recent latencies that the 95th percentile is computed from (of 40, two are at or above it), and
/// over which the usual latency of a destination is averaged.
const LATENCY_SAMPLES: usize = 40;
/// Minimum number of samples for the percentile; with fewer, the latency objective is used in its place.
const MIN_LATENCY_SAMPLES: usize = 5;
/// Number of idle connections, from all couriers together, that any endpoint is assumed to accept.
const MIN_CONNECTIONS: f64 = 8.0;

impl Dispatcher {
    /// Records the result of an attempt, and retries, drops or gives up its message.
    pub(super) fn finish_attempt(&mut self, result: AttemptResult) {
        let outcome = result.outcome;
        let finished = self.state.take_finished(&result);
        // Also recorded for an attempt that has already finished: a late answer may carry a Retry-After.
        self.record_endpoint_result(&result);
        let Some(finished) = finished else { return };
        if finished.first_outcome {
            self.record_call_outcome(&result, finished.sent_at);
        }
        self.state.record_result(&result);
        self.record_local_outcome(&result);
        self.update_hedge_index(result.message);
        let Some(message) = self.state.messages.get(&result.message) else { return };
        // Rule 5: the endpoint may still be executing the attempt.
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

    /// Records whether this machine could begin the attempt, for the backoff of its destination.
    fn record_local_outcome(&mut self, result: &AttemptResult) {
        let destination = self.state.messages.get(&result.message).map(|message| message.destination);
        if let Some(destination) = destination {
            self.record_local_fault(destination, result.outcome);
        }
    }

    /// Records the reported limit, any Retry-After, and whether the message's class avoids the endpoint from
    /// now on. A second result of an attempt, for example a late answer, is recorded too.
    fn record_endpoint_result(&mut self, result: &AttemptResult) {
        let now = self.now;
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let Some(destination) = self.state.destinations.get_mut(endpoint.destination) else { return };
        let limiter = destination.limiter_for(endpoint);
        limiter.record_report(now, result);
        // Rule 6: a Retry-After never shortens a pending one.
        if let AttemptOutcome::Rejected { retry_after: retry_after @ 1.. } = result.outcome {
            limiter.retry_after_until = limiter.retry_after_until.max(now + retry_after);
        }
        // An endpoint may fail for one class only: that class avoids it until a message of the class is
        // served there, or for the length of the class's deadline.
        let class = self.state.messages.get(&result.message).map_or(0, |message| message.class);
        let deadline = self.settings.classes.get(class).map_or(0, |class| class.deadline);
        match result.outcome {
            AttemptOutcome::Served => endpoint.stop_avoiding(class),
            AttemptOutcome::Error | AttemptOutcome::TimedOut => endpoint.avoid(class, now + deadline),
            _ => {}
        }
        self.close_rarely_used(result.endpoint);
    }

    /// Closes the idle connections to an endpoint that this courier calls less than once per allowed idle
    /// time, `max(idle timeout * MIN_CONNECTIONS / couriers, 2 * usual latency)`. An idle connection takes
    /// the place of one of another courier, so each courier may use its fair share of the idle timeout.
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

    /// Records the outcome of a call in the latencies, the retry budget and the health of limits. `result` is
    /// the first result of an attempt in the call whose outcome applies to the whole call.
    fn record_call_outcome(&mut self, result: &AttemptResult, sent_at: Time) {
        let Some(endpoint) = self.state.endpoints.get(result.endpoint) else { return };
        let id = endpoint.destination;
        let Some(destination) = self.state.destinations.get_mut(id) else { return };
        if result.outcome == AttemptOutcome::Served {
            destination.retry_tokens = (destination.retry_tokens + 1.0).min(RETRY_BUDGET_TOKENS);
            // After a pause of this courier, the elapsed time includes the pause, not only the latency.
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

    /// Records the outcome of a call with the limiter of the endpoint and, if the endpoints share a limit,
    /// with that of the destination. Reports a change of that limit's circuit breaker.
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

/// The 95th percentile of sorted latencies, or `None` when there are fewer than [`MIN_LATENCY_SAMPLES`].
fn high_percentile(sorted: &[Time]) -> Option<Time> {
    sorted.get(sorted.len() * 95 / 100).filter(|_| sorted.len() >= MIN_LATENCY_SAMPLES).copied()
}
