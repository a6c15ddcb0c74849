//! Hedged requests: when an attempt in flight may be hedged, and when it is overdue.

use super::{admission::MIN_RETRY_TOKENS, Dispatcher, NEVER};
use crate::interface::{Idempotency, Time};
use crate::state::{AttemptGroup, GroupSpans, Limiter};

/// An attempt is overdue after this multiple of the 95th percentile of latency. Only one attempt in several
/// hundred takes that long.
const OVERDUE_LATENCY_MULTIPLE: u64 = 2;

impl Dispatcher {
    /// Time after sending, in nanoseconds, at which attempts of a group are overdue: `2 * min(95th percentile
    /// of latency, latency objective)`. The percentile is that of the destination or, with too few samples,
    /// that of all calls. The objective bounds the span because a message loses weight after the objective.
    pub(super) fn overdue_span(&self, group: AttemptGroup) -> Time {
        let objective = self.settings.classes[group.class].latency_objective;
        let destination = self.state.destination_of(group);
        let own_latency = destination.and_then(|destination| destination.latencies.high_percentile);
        let latency = own_latency.or(self.latencies.high_percentile);
        OVERDUE_LATENCY_MULTIPLE * latency.unwrap_or(objective).min(objective)
    }

    /// Nanoseconds after sending at which the only attempt in flight of a message may be hedged: the 95th
    /// percentile of the destination's recent latencies, or the objective while there are too few samples;
    /// [`NEVER`] where the destination has no other endpoint.
    fn hedge_delay(&self, group: AttemptGroup) -> Time {
        let objective = self.settings.classes[group.class].latency_objective;
        let destination = self.state.destination_of(group);
        let destination = destination.filter(|destination| destination.endpoints.len() > 1);
        destination.map_or(NEVER, |destination| destination.latencies.high_percentile.unwrap_or(objective))
    }

    /// Updates the entry of a message in the hedge index, after the message or one of its attempts changed.
    pub(super) fn update_hedge_index(&mut self, id: u32) {
        let Some(message) = self.state.messages.get(&id) else { return };
        let delay = self.hedge_delay(message.group());
        self.state.update_lone_attempt(id, delay);
    }

    /// Updates the times at which attempts to a destination are overdue or may be hedged, after the latencies
    /// or the endpoints of the destination changed.
    pub(super) fn update_spans(&mut self, id: u32) {
        let gets_own_groups = self.state.start_own_groups(id);
        for class in 0..self.settings.classes.len() {
            let own = AttemptGroup { destination: Some(id), class };
            let spans = GroupSpans {
                overdue: self.overdue_span(own),
                shared_overdue: self.overdue_span(AttemptGroup { destination: None, class }),
                hedge: self.hedge_delay(own),
            };
            if gets_own_groups {
                self.state.leave_shared_group(own, spans.overdue);
            }
            self.state.set_spans(own, spans);
        }
    }

    /// Whether hedges of a group are allowed: by the settings, by the idempotency of its class, and by the
    /// retry budget of its destination.
    fn may_hedge(&self, group: AttemptGroup) -> bool {
        let destination = self.state.destination_of(group);
        let tokens = destination.map_or(0.0, |destination| destination.retry_tokens);
        let idempotency = self.settings.classes[group.class].idempotency;
        let allowed = self.settings.hedging_allowed && idempotency != Idempotency::NotIdempotent;
        allowed && tokens > MIN_RETRY_TOKENS
    }

    /// Sends hedges to other endpoints for attempts whose hedge delay has passed. A hedge does not take the
    /// last slot while messages wait for one; none is sent while the limit that the endpoints share is
    /// ejected, during a Retry-After or without a token.
    pub(super) fn hedge(&mut self) {
        let due = self.state.hedge_index.all_due(self.now, |group| self.may_hedge(group));
        self.wake_up.want_by(due.next_due_at.unwrap_or(NEVER));
        // Computed at the first attempt that needs it, and again after each hedge sent, which takes a slot.
        let mut short_of_slots = None;
        for attempt in due.attempts {
            let Some(in_flight) = self.state.attempts.get(attempt.id()) else { continue };
            let Some(message) = self.state.messages.get(&attempt.message) else { continue };
            let endpoint = in_flight.endpoint;
            let independent = self.state.has_independent_routes(message.destination);
            let ejected = self.state.limiter(endpoint).is_some_and(Limiter::is_ejected);
            let short = *short_of_slots.get_or_insert_with(|| self.is_short_of_slots(1));
            if short || (ejected && !independent) {
                continue;
            }
            if let Ok(other) = self.choose_endpoint(attempt.message, Some(endpoint)) {
                self.send(attempt.message, other);
                short_of_slots = None;
            }
        }
    }
}
