//! What is known of a destination.

use super::{DestinationQueue, EndpointState, LatencySamples, Limiter, Table};
use crate::interface::{DestinationKind, Time};
use std::collections::BTreeSet;

/// What a limiter stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// A limit of its own: that of a destination, or of an independent route.
    OwnLimit,
    /// One endpoint of several that share the limit of their destination.
    SharedEndpoint,
}

/// A destination and the messages that wait for it.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) limiter: Limiter,
    pub(crate) kind: DestinationKind,
    pub(crate) endpoints: BTreeSet<u32>,
    pub(crate) queue: DestinationQueue,
    /// When a message was last sent to it.
    pub(crate) last_sent_at: Time,
    pub(crate) calls_in_flight: u32,
    /// Tokens of the retry budget.
    pub(crate) retry_tokens: f64,
    pub(crate) latencies: LatencySamples,
    /// Its attempts in flight stand in groups of their own in the deadline indexes.
    pub(crate) has_own_groups: bool,
    /// Mean latency in nanoseconds over many calls,
    pub(crate) usual_latency: f64,
    /// and over the last few.
    pub(crate) recent_latency: f64,
}

impl Destination {
    /// One of which nothing is known.
    pub(crate) fn new(limiter: Limiter, kind: DestinationKind, retry_tokens: f64) -> Self {
        Destination {
            limiter,
            kind,
            endpoints: BTreeSet::new(),
            queue: DestinationQueue::default(),
            last_sent_at: 0,
            calls_in_flight: 0,
            retry_tokens,
            latencies: LatencySamples::default(),
            has_own_groups: false,
            usual_latency: 0.0,
            recent_latency: 0.0,
        }
    }

    /// Moves the mean latencies; the recent one by this weight, the usual one as the mean of so many.
    pub(crate) fn average_latency(&mut self, latency: Time, recent_weight: f64, samples: usize) {
        let latency = latency as f64;
        if self.usual_latency == 0.0 {
            self.usual_latency = latency;
            self.recent_latency = latency;
        }
        self.recent_latency += recent_weight * (latency - self.recent_latency);
        self.usual_latency += (latency - self.usual_latency) / samples as f64;
    }

    /// What the limiters of its endpoints stand for.
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

    /// Messages that wait for it wait for each of its endpoints.
    pub(crate) fn count_waiting(&mut self, endpoints: &mut Table<EndpointState>) {
        self.limiter.waiting_messages = self.queue.len() as f64;
        for &id in &self.endpoints {
            if let Some(endpoint) = endpoints.get_mut(id) {
                endpoint.limiter.waiting_messages = self.limiter.waiting_messages;
            }
        }
    }
}
