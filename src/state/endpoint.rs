//! State of one endpoint, and the poll schedule of the endpoint list.

use super::Limiter;
use crate::interface::{EndpointStatus, Time};
use std::collections::BTreeMap;

/// An endpoint of a destination: its limiter, its list entry and its calls.
#[derive(Debug, Default)]
pub(crate) struct EndpointState {
    pub(crate) limiter: Limiter,
    pub(crate) destination: u32,
    pub(crate) zone: u8,
    pub(crate) status: EndpointStatus,
    /// Number of calls of this courier in flight to the endpoint.
    pub(crate) calls_in_flight: u32,
    /// By class: clock time in nanoseconds until which messages of the class prefer other endpoints, because
    /// an attempt of the class at this endpoint was overdue or ended with an error or a timeout.
    pub(crate) avoided_until: BTreeMap<usize, Time>,
    /// Jitter in the cost of the endpoint, so that couriers prefer different endpoints: drawn once from an
    /// exponential distribution with mean 1.
    pub(crate) jitter: f64,
    /// The last call started to the endpoint; further messages of the same decision cycle may join it.
    pub(crate) open_call: OpenCall,
}

impl EndpointState {
    /// Returns the number of messages in the call that was started in the decision cycle at clock time `now`,
    /// or 0 if none was.
    pub(crate) fn sends_in_call_started_at(&self, now: Time) -> u32 {
        if self.open_call.started_at == now {
            self.open_call.sends
        } else {
            0
        }
    }

    /// Makes messages of a class prefer other endpoints until clock time `until`.
    pub(crate) fn avoid(&mut self, class: usize, until: Time) {
        self.avoided_until.insert(class, until);
    }

    /// Ends the preference of a class for other endpoints.
    pub(crate) fn stop_avoiding(&mut self, class: usize) {
        self.avoided_until.remove(&class);
    }

    /// Whether messages of a class prefer other endpoints at clock time `now`.
    pub(crate) fn is_avoided(&self, class: usize, now: Time) -> bool {
        self.avoided_until.get(&class).is_some_and(|&until| until > now)
    }
}

/// The last call that was started to an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OpenCall {
    /// Sequence number of the call.
    pub(crate) call: u64,
    /// Clock time of the decision cycle that started the call, in nanoseconds.
    pub(crate) started_at: Time,
    /// Number of messages in the call.
    pub(crate) sends: u32,
}

/// Poll schedule of the endpoint list, with exponential backoff after failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListPoll {
    /// Clock time of the next poll in nanoseconds; `Time::MAX` for none.
    pub(crate) next_at: Time,
    /// Last backoff in nanoseconds; 0 once a list has arrived, 1 from a first poll until it is answered.
    pub(crate) backoff: Time,
}
