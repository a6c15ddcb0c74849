//! The endpoint list: updates of its entries, and polls with exponential backoff.

use super::{admission::RETRY_BUDGET_TOKENS, Dispatcher, NEVER};
use crate::interface::{Action, Endpoint, EndpointStatus, RateAccuracy, Time};
use crate::state::{Destination, EndpointState, Limiter, ListPoll};
use std::collections::BTreeSet;

/// Failure rate (EWMA) above which a limit is ejected: three failures in a row, which raise it from 0 to
/// 0.66, or most of the recent calls.
const EJECTION_THRESHOLD: f64 = 0.6;
/// Failure rate (EWMA) above which one of several endpoints that share a limit is ejected: two failures in a
/// row, which raise it from 0 to 0.51. It is lower because the other endpoints can serve.
const ENDPOINT_EJECTION_THRESHOLD: f64 = 0.5;

impl Dispatcher {
    /// Applies a complete endpoint list, or only the changed entries. An endpoint that a complete list does
    /// not contain counts as removed.
    pub(super) fn update_endpoints(&mut self, complete: bool, entries: Vec<Endpoint>) {
        if self.list_poll.next_at != NEVER && self.list_poll.backoff > 0 {
            self.list_poll = ListPoll { next_at: NEVER, backoff: 0 };
        }
        if complete {
            self.state.endpoints.for_each(|_, endpoint| endpoint.status = EndpointStatus::Removed);
        }
        let mut changed = BTreeSet::new();
        for entry in entries {
            if entry.status != EndpointStatus::Removed || self.state.endpoints.contains(entry.id) {
                changed.insert(entry.destination);
                self.update_endpoint(entry);
            }
        }
        // Rule 6: an endpoint is kept until its Retry-After ends, as it may be listed again before that.
        self.state.endpoints.retain(|endpoint| {
            let listed = endpoint.status != EndpointStatus::Removed;
            listed || endpoint.calls_in_flight > 0 || endpoint.limiter.retry_after_until > self.now
        });
        changed.extend(self.state.drop_removed_endpoints());
        for destination in changed {
            self.update_spans(destination);
        }
    }

    /// Adds or updates the endpoint of a list entry, and sets the rate limit that the entry reports, unless
    /// the settings say that rates in the list are to be ignored.
    fn update_endpoint(&mut self, entry: Endpoint) {
        self.add_destination(entry.destination);
        let kind = self.settings.kind(entry.kind);
        let Some(destination) = self.state.destinations.get_mut(entry.destination) else { return };
        destination.kind = kind;
        destination.endpoints.insert(entry.id);
        let independent = kind.independent_routes;
        let threshold = if independent { EJECTION_THRESHOLD } else { ENDPOINT_EJECTION_THRESHOLD };
        let jitter = -(1.0 - self.random.draw()).ln();
        let endpoint = self.state.endpoints.get_or_insert_with(entry.id, || EndpointState {
            jitter,
            limiter: Limiter::new(threshold, self.now),
            destination: entry.destination,
            zone: entry.zone,
            ..EndpointState::default()
        });
        endpoint.status = entry.status;
        if self.settings.rate_accuracy != RateAccuracy::Unspecified && entry.rate > 0.0 {
            let limiter = destination.limiter_for(endpoint);
            limiter.report.rate_limit = entry.rate;
            // An approximate rate limit is enforced only after a call was rejected above it.
            limiter.report.is_exact = self.settings.rate_accuracy == RateAccuracy::Exact;
        }
    }

    /// Adds a destination that a message or list entry names, unless it is known already.
    pub(super) fn add_destination(&mut self, id: u32) {
        let limiter = Limiter::new(EJECTION_THRESHOLD, self.now);
        let destination = Destination::new(limiter, self.settings.kind(0), RETRY_BUDGET_TOKENS);
        self.state.destinations.get_or_insert_with(id, || destination);
    }

    /// Delays the next poll of the list after a failure: exponential backoff between 1/20 and 1/3 of the
    /// longest poll interval, times a random factor between 0.5 and 1.5.
    pub(super) fn back_off_list_poll(&mut self) {
        let longest = self.settings.max_poll_interval;
        let backoff = (self.list_poll.backoff * 2).clamp(longest / 20, longest / 3);
        let delay = (backoff as f64 * (0.5 + self.random.draw())) as Time;
        self.list_poll = ListPoll { next_at: self.now + delay, backoff };
    }

    /// Polls the endpoint list, or requests its watch, when that is due.
    pub(super) fn poll_endpoint_list(&mut self) {
        if self.list_poll.next_at <= self.now {
            self.actions.push(Action::WatchEndpoints);
            // If neither a list nor a failure is reported, the next poll comes after half of the longest
            // interval.
            self.list_poll.backoff = self.list_poll.backoff.max(1);
            self.list_poll.next_at = self.now + self.settings.max_poll_interval / 2;
        }
        self.wake_up.want_by(self.list_poll.next_at);
    }
}
