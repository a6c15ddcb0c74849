//! What is known of an endpoint, and when the endpoint list is polled.

use super::Limiter;
use crate::interface::{EndpointStatus, Time};
use std::collections::BTreeMap;

/// An endpoint of a destination.
#[derive(Debug, Default)]
pub(crate) struct EndpointState {
    pub(crate) limiter: Limiter,
    pub(crate) destination: u32,
    pub(crate) zone: u8,
    pub(crate) status: EndpointStatus,
    pub(crate) calls_in_flight: u32,
    /// Classes whose last call here got no good answer, and until when each avoids the endpoint.
    pub(crate) avoided_until: BTreeMap<usize, Time>,
    /// Random cost, at least 0, that makes couriers prefer different endpoints; drawn once for an endpoint.
    pub(crate) jitter: f64,
    /// The last call to the endpoint; further sends of the same decision cycle may join it.
    pub(crate) open_call: OpenCall,
}

impl EndpointState {
    /// Returns the number of sends in the call that was started in the decision cycle at `now`, 0 without
    /// one.
    pub(crate) fn sends_in_call_of(&self, now: Time) -> u32 {
        if self.open_call.started_at == now {
            self.open_call.sends
        } else {
            0
        }
    }

    /// Messages of a class prefer other endpoints until this time.
    pub(crate) fn avoid(&mut self, class: usize, until: Time) {
        self.avoided_until.insert(class, until);
    }

    /// Messages of a class no longer prefer other endpoints.
    pub(crate) fn stop_avoiding(&mut self, class: usize) {
        self.avoided_until.remove(&class);
    }

    /// Whether messages of a class prefer other endpoints at `now`.
    pub(crate) fn is_avoided(&self, class: usize, now: Time) -> bool {
        self.avoided_until.get(&class).is_some_and(|&until| until > now)
    }
}

/// The last call that was started to an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OpenCall {
    pub(crate) call: u64,
    pub(crate) started_at: Time,
    pub(crate) sends: u32,
}

/// When the endpoint list is to be polled next, and the backoff after failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListPoll {
    pub(crate) next_at: Time,
    pub(crate) backoff: Time,
}
