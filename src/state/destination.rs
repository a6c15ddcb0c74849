//! State of one destination: limits, retry budget, latencies, and the queue of messages that wait for it.

use super::{DestinationQueue, EndpointState, LatencySamples, Limiter, Table};
use crate::interface::{DestinationKind, Time};
use std::collections::BTreeSet;

/// Which limit the calls of a limiter count against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// A limit of the limiter's own: the limiter is that of a destination or of an independent route.
    OwnLimit,
    /// The limit of the destination: the limiter is that of one endpoint among several that share it.
    SharedEndpoint,
}

/// A destination, its endpoints and the messages that wait for it.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) limiter: Limiter,
    pub(crate) kind: DestinationKind,
    pub(crate) endpoints: BTreeSet<u32>,
    pub(crate) queue: DestinationQueue,
    /// Clock time of the last send to the destination, in nanoseconds. Destinations with waiting messages are
    /// served in this order, the least recent send first.
    pub(crate) last_sent_at: Time,
    /// Number of calls of this courier in flight to all endpoints of the destination.
    pub(crate) calls_in_flight: u32,
    /// Exponential backoff after local faults (attempts that this machine could not begin), in nanoseconds;
    /// 0 after an attempt that could begin.
    pub(crate) local_backoff: Time,
    /// Clock time before which no attempt is made because of `local_backoff`, in nanoseconds.
    pub(crate) local_backoff_until: Time,
    /// Tokens in the retry budget: a served call adds one, any other call costs several, and retries and
    /// hedges need a minimum.
    pub(crate) retry_tokens: f64,
    /// Latencies of the last served calls to the destination.
    pub(crate) latencies: LatencySamples,
    /// Whether the destination's attempts have their own groups in the index of overdue attempts. Until there
    /// are enough latency samples, they are in the shared group of their class.
    pub(crate) has_own_groups: bool,
    /// EWMA of the latency of served calls with a small weight, in nanoseconds; 0 before the first.
    pub(crate) usual_latency: f64,
    /// EWMA of the latency of served calls with a large weight, in nanoseconds, so that it follows the last
    /// few calls; 0 before the first.
    pub(crate) recent_latency: f64,
}

impl Destination {
    /// Creates a destination without endpoints, messages or latency samples.
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

    /// Updates both EWMAs with the latency of a call, in nanoseconds:
    /// `average += weight * (latency - average)`, with weight `recent_weight` for the recent latency and
    /// `1 / usual_samples` for the usual one. The first latency initializes both.
    pub(crate) fn update_average_latencies(
        &mut self,
        latency: Time,
        recent_weight: f64,
        usual_samples: usize,
    ) {
        let latency = latency as f64;
        if self.usual_latency == 0.0 {
            self.usual_latency = latency;
            self.recent_latency = latency;
        }
        self.recent_latency += recent_weight * (latency - self.recent_latency);
        self.usual_latency += (latency - self.usual_latency) / usual_samples as f64;
    }

    /// Returns the scope of the limiters of the destination's endpoints.
    pub(crate) fn endpoint_scope(&self) -> LimitScope {
        if self.kind.independent_routes {
            LimitScope::OwnLimit
        } else {
            LimitScope::SharedEndpoint
        }
    }

    /// Returns the limiter of the limit that calls to `endpoint`, one of the destination's endpoints, count
    /// against.
    pub(crate) fn limiter_for<'a>(&'a mut self, endpoint: &'a mut EndpointState) -> &'a mut Limiter {
        match self.endpoint_scope() {
            LimitScope::OwnLimit => &mut endpoint.limiter,
            LimitScope::SharedEndpoint => &mut self.limiter,
        }
    }

    /// Copies the number of messages in the queue to the limiter of the destination and to that of each
    /// endpoint, as each endpoint could serve all of them.
    pub(crate) fn update_waiting_messages(&mut self, endpoints: &mut Table<EndpointState>) {
        self.limiter.waiting_messages = self.queue.len() as f64;
        for &id in &self.endpoints {
            if let Some(endpoint) = endpoints.get_mut(id) {
                endpoint.limiter.waiting_messages = self.limiter.waiting_messages;
            }
        }
    }
}
