//! Results of attempts: what becomes of the message, and what they tell of endpoint and destination.

use super::admission::{FAILURE_RETRY_TOKENS, RETRY_BUDGET_TOKENS};
use super::{health::EWMA_WEIGHT, rate::LimitContext, Dispatcher, NANOS_PER_SECOND};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Time};
use crate::state::{seconds, LimitScope};

/// Latencies kept for the hedge delay; a twentieth of 40 is two.
const LATENCY_SAMPLES: usize = 40;
/// Samples from which the percentile is used instead of the latency objective.
const MIN_LATENCY_SAMPLES: usize = 5;
/// Connections that any endpoint takes from all couriers together.
const MIN_CONNECTIONS: f64 = 8.0;

impl Dispatcher {
    pub(super) fn finish_attempt(&mut self, result: AttemptResult) {
        let outcome = result.outcome;
        let finished = self.state.take_finished(&result);
        // Also for a call that was given up before.
        self.learn_of_endpoint(&result);
        let Some(finished) = finished else { return };
        if finished.first_outcome {
            self.learn_of_call(&result, finished.sent_at);
        }
        self.state.record_result(&result);
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

    fn learn_of_endpoint(&mut self, result: &AttemptResult) {
        let now = self.now;
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let Some(destination) = self.state.destinations.get_mut(endpoint.destination) else { return };
        let independent = destination.kind.independent_routes;
        let limiter = if independent { &mut endpoint.limiter } else { &mut destination.limiter };
        limiter.record_report(now, result);
        // Rule 6.
        if let AttemptOutcome::Rejected { retry_after: retry_after @ 1.. } = result.outcome {
            limiter.retry_after_until = limiter.retry_after_until.max(now + retry_after);
        }
        // An idle connection takes the place of another courier's and may be dropped unseen: it is kept for
        // its equal share of the idle time, or as long as two calls take.
        let share = MIN_CONNECTIONS / f64::from(self.settings.courier_count.max(1));
        let idle_seconds = share * seconds(self.settings.idle_timeout);
        let idle_seconds = idle_seconds.max(2.0 * destination.usual_latency / NANOS_PER_SECOND);
        if endpoint.calls_in_flight == 0 && endpoint.limiter.usual_rate(now) * idle_seconds < 1.0 {
            self.actions.push(Action::CloseIdle { endpoint: result.endpoint });
        }
        // One class may fail here where others are served: it goes elsewhere until one of it is served here.
        let class = self.state.messages.get(&result.message).map_or(0, |message| message.class);
        if result.outcome == AttemptOutcome::Served {
            endpoint.avoided_until.remove(&class);
        } else if matches!(result.outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut) {
            let deadline = self.settings.classes.get(class).map_or(0, |class| class.deadline);
            endpoint.avoided_until.insert(class, now + deadline);
        }
    }

    /// The first outcome of a call counts for latencies, for the retry budget and for health.
    fn learn_of_call(&mut self, result: &AttemptResult, sent_at: Time) {
        let outcome = result.outcome;
        let Some(endpoint) = self.state.endpoints.get_mut(result.endpoint) else { return };
        let id = endpoint.destination;
        let Some(destination) = self.state.destinations.get_mut(id) else { return };
        let tokens = &mut destination.retry_tokens;
        if outcome == AttemptOutcome::Served {
            *tokens = (*tokens + 1.0).min(RETRY_BUDGET_TOKENS);
            // What a pause of this courier made late is no latency.
            if self.delay <= 2 * self.settings.tick {
                destination.latencies.record(result.elapsed, LATENCY_SAMPLES, high_percentile);
                destination.average_latency(result.elapsed, EWMA_WEIGHT, LATENCY_SAMPLES);
                self.latencies.record(result.elapsed, LATENCY_SAMPLES, high_percentile);
            }
        } else {
            *tokens = (*tokens - FAILURE_RETRY_TOKENS).max(0.0);
        }
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
            let change = limiter.change(id, result.endpoint, outcome);
            self.actions.push(Action::LimitChanged(change));
        }
        if outcome == AttemptOutcome::Served {
            self.update_spans(id);
        }
    }
}

/// The 95th percentile, if there are enough samples.
fn high_percentile(sorted: &[Time]) -> Option<Time> {
    sorted.get(sorted.len() * 95 / 100).filter(|_| sorted.len() >= MIN_LATENCY_SAMPLES).copied()
}
