//! The tables of a dispatcher and the operations that keep the indexes over them up to date.

mod attempts;
mod deadlines;
mod messages;

pub(crate) use attempts::Silence;
pub(crate) use deadlines::GroupSpans;

use super::{
    AttemptGroup, AttemptTable, DeadlineIndex, Destination, EndpointState, KeyQueues, LimitScope, Limiter,
    Message, MessageTime, Table, WaitQueue,
};
use std::collections::{BTreeMap, BTreeSet};

/// Destinations, endpoints, messages, attempts and calls of one dispatcher, and the indexes by which a
/// decision cycle finds messages and attempts that are due.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    /// Last sequence number given out; messages and calls share the counter.
    sequence: u64,
    pub(crate) destinations: Table<Destination>,
    pub(crate) endpoints: Table<EndpointState>,
    /// Messages by number, from acceptance until they are completed and have no attempt in flight.
    pub(crate) messages: BTreeMap<u32, Message>,
    pub(crate) attempts: AttemptTable,
    pub(crate) key_queues: KeyQueues,
    /// Messages without a final answer, ordered by deadline.
    pub(crate) deadlines: BTreeSet<MessageTime>,
    pub(crate) wait_queue: WaitQueue,
    /// Attempts that are in flight and not cancelled, by the clock time at which they become overdue.
    pub(crate) overdue_index: DeadlineIndex,
    /// Lone attempts ([`Message::lone_attempt`]), by the clock time from which they may be hedged.
    pub(crate) hedge_index: DeadlineIndex,
}

impl DispatchState {
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the destination of a group, or `None` for the shared group of a class.
    pub(crate) fn destination_of(&self, group: AttemptGroup) -> Option<&Destination> {
        self.destinations.get(group.destination?)
    }

    /// Whether each endpoint of a destination has a limit of its own; false for an unknown destination.
    pub(crate) fn has_independent_routes(&self, destination: u32) -> bool {
        self.destinations.get(destination).is_some_and(|destination| destination.kind.independent_routes)
    }

    /// Returns the scope of an endpoint's own limiter; `SharedEndpoint` for an unknown endpoint.
    pub(crate) fn endpoint_scope(&self, endpoint: u32) -> LimitScope {
        let endpoint = self.endpoints.get(endpoint);
        let destination = endpoint.and_then(|endpoint| self.destinations.get(endpoint.destination));
        destination.map_or(LimitScope::SharedEndpoint, Destination::endpoint_scope)
    }

    /// Returns the limiter of the limit that a call to this endpoint counts against: that of the endpoint if
    /// it is an independent route, or else that of the destination. `None` for an unknown endpoint.
    pub(crate) fn limiter(&self, endpoint: u32) -> Option<&Limiter> {
        let endpoint = self.endpoints.get(endpoint)?;
        let destination = self.destinations.get(endpoint.destination)?;
        match destination.endpoint_scope() {
            LimitScope::OwnLimit => Some(&endpoint.limiter),
            LimitScope::SharedEndpoint => Some(&destination.limiter),
        }
    }

    /// Removes endpoints that are no longer in the table from their destinations; returns the destinations
    /// that changed.
    pub(crate) fn drop_removed_endpoints(&mut self) -> Vec<u32> {
        let endpoints = &self.endpoints;
        let mut changed = Vec::new();
        self.destinations.for_each(|id, destination| {
            let before = destination.endpoints.len();
            destination.endpoints.retain(|&endpoint| endpoints.contains(endpoint));
            if destination.endpoints.len() != before {
                changed.push(id);
            }
        });
        changed
    }
}
