//! Hedged requests, and the spans after which attempts may be hedged or are overdue.

use super::{admission::MIN_RETRY_TOKENS, Dispatcher, NEVER};
use crate::interface::{Idempotency, Time};
use crate::state::{AttemptGroup, GroupSpans, Limiter};

/// A call is overdue after this many hedge delays: by then one in hundreds would still be due.
const OVERDUE_HEDGE_DELAYS: u64 = 2;

impl Dispatcher {
    /// Past its latency objective a message loses weight: a latency beyond that is no reason to wait on.
    pub(super) fn overdue_span(&self, group: AttemptGroup) -> Time {
        let objective = self.settings.classes[group.class].latency_objective;
        let destination = self.state.destination_of(group);
        let own_latency = destination.and_then(|destination| destination.latencies.high_percentile);
        let latency = own_latency.or(self.latencies.high_percentile);
        OVERDUE_HEDGE_DELAYS * latency.unwrap_or(objective).min(objective)
    }

    /// After this a lone attempt may be hedged: the 95th percentile of recent latencies, the latency
    /// objective until there are enough. Never where there is no other endpoint.
    fn hedge_delay(&self, group: AttemptGroup) -> Time {
        let objective = self.settings.classes[group.class].latency_objective;
        let destination = self.state.destination_of(group);
        let destination = destination.filter(|destination| destination.endpoints.len() > 1);
        destination.map_or(NEVER, |destination| destination.latencies.high_percentile.unwrap_or(objective))
    }

    pub(super) fn update_hedge_index(&mut self, id: u32) {
        let Some(message) = self.state.messages.get(&id) else { return };
        let delay = self.hedge_delay(message.group());
        self.state.update_lone_attempt(id, delay);
    }

    /// Latencies or endpoints of a destination changed, and with them the spans of its groups.
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

    /// A hedge goes to another endpoint after the hedge delay; never for the last slot while others wait, nor
    /// to a limit that is ejected, told to wait or over its rate.
    pub(super) fn hedge(&mut self) {
        let may_hedge = |group: AttemptGroup| {
            let destination = self.state.destination_of(group);
            let tokens = destination.map_or(0.0, |destination| destination.retry_tokens);
            let idempotency = self.settings.classes[group.class].idempotency;
            let allowed = self.settings.hedging_allowed && idempotency != Idempotency::NotIdempotent;
            allowed && tokens > MIN_RETRY_TOKENS
        };
        let due = self.state.hedge_index.all_due(self.now, may_hedge);
        self.wake_by(due.next_due_at.unwrap_or(NEVER));
        // Looked at again only after a hedge took a slot.
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
