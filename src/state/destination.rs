//! What is known of a destination, and the messages that wait for it.

use super::{DestinationQueue, EndpointState, LatencySamples, Limiter, Table};
use crate::interface::{DestinationKind, Time};
use std::collections::BTreeSet;

/// What a limiter limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// A limit of its own: that of a destination, or of an independent route.
    OwnLimit,
    /// One endpoint of several that share the limit of their destination.
    SharedEndpoint,
}

/// A destination, its endpoints and the messages that wait for it.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) limiter: Limiter,
    pub(crate) kind: DestinationKind,
    pub(crate) endpoints: BTreeSet<u32>,
    pub(crate) queue: DestinationQueue,
    /// When a message was last sent to it.
    pub(crate) last_sent_at: Time,
    pub(crate) calls_in_flight: u32,
    /// The present pause between attempts that this machine could not begin; 0 without one.
    pub(crate) local_backoff: Time,
    /// No attempt is made before this time.
    pub(crate) local_backoff_until: Time,
    /// Tokens of the retry budget.
    pub(crate) retry_tokens: f64,
    pub(crate) latencies: LatencySamples,
    /// Its attempts in flight are in groups of their own in the index of overdue attempts.
    pub(crate) has_own_groups: bool,
    /// Moving average of the latency over many calls, in nanoseconds; 0 before the first.
    pub(crate) usual_latency: f64,
    /// Moving average of the latency over the last few calls, in nanoseconds.
    pub(crate) recent_latency: f64,
}

impl Destination {
    /// Creates a destination without endpoints, messages or known latencies.
    pub(crate) fn new(limiter: Limiter, kind: DestinationKind, retry_tokens: f64) -> Self {
        Destination {
            limiter,
            kind,
            endpoints: BTreeSet::new(),
            queue: DestinationQueue::default(),
            last_sent_at: 0,
            calls_in_flight: 0,
            local_backoff: 0,
            local_backoff_until: 0,
            retry_tokens,
            latencies: LatencySamples::default(),
            has_own_groups: false,
            usual_latency: 0.0,
            recent_latency: 0.0,
        }
    }

    /// Adds a latency to both moving averages: with weight `recent_weight` to the recent one, and to the
    /// usual one as one of `usual_samples`.
    pub(crate) fn average_latency(&mut self, latency: Time, recent_weight: f64, usual_samples: usize) {
        let latency = latency as f64;
        if self.usual_latency == 0.0 {
            self.usual_latency = latency;
            self.recent_latency = latency;
        }
        self.recent_latency += recent_weight * (latency - self.recent_latency);
        self.usual_latency += (latency - self.usual_latency) / usual_samples as f64;
    }

    /// Returns the scope of the limiters of its endpoints.
    pub(crate) fn endpoint_scope(&self) -> LimitScope {
        if self.kind.independent_routes {
            LimitScope::OwnLimit
        } else {
            LimitScope::SharedEndpoint
        }
    }

    /// Returns the limiter of the limit that sends to one of its endpoints count against.
    pub(crate) fn limiter_for<'a>(&'a mut self, endpoint: &'a mut EndpointState) -> &'a mut Limiter {
        match self.endpoint_scope() {
            LimitScope::OwnLimit => &mut endpoint.limiter,
            LimitScope::SharedEndpoint => &mut self.limiter,
        }
    }

    /// Records the number of waiting messages with its limiter and with that of each endpoint: any of them
    /// may serve all that wait.
    pub(crate) fn count_waiting(&mut self, endpoints: &mut Table<EndpointState>) {
        self.limiter.waiting_messages = self.queue.len() as f64;
        for &id in &self.endpoints {
            if let Some(endpoint) = endpoints.get_mut(id) {
                endpoint.limiter.waiting_messages = self.limiter.waiting_messages;
            }
        }
    }
}
