//! The endpoint list: the endpoints, their states, and the entries of list documents.

mod changes;
mod publication;

use super::Transport;
use crate::fleet::{Fleet, ListedDestination};
use crate::units::seconds;
use linnetcart_conformance::Time;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The state of an endpoint in the list, as the runner last set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    Ready,
    Draining,
    Gone,
}

impl ListedState {
    /// Returns the name of the state in the endpoint list.
    fn as_str(self) -> &'static str {
        match self {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        }
    }
}

/// Whether a list document contains the complete list or only changed endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListScope {
    Complete,
    Changes,
}

/// An endpoint that was opened at some time; it stays in the list when it is gone.
struct ListEntry {
    destination: u32,
    zone: u8,
    state: ListedState,
    /// Whether the transport listens for connections to the endpoint.
    listening: bool,
}

/// All endpoints, and the state of the publication of their changes.
pub(super) struct EndpointList {
    entries: BTreeMap<u32, ListEntry>,
    destinations: BTreeMap<u32, ListedDestination>,
    /// The number of the next endpoint: one more than the highest in use.
    next_endpoint: u32,
    /// Version of the last document that was sent.
    version: u64,
    /// Delay between a change and its publication, in seconds.
    delay_s: f64,
    /// The endpoints that have changed since publication was suspended; `None` if it is not suspended.
    unpublished: Option<BTreeSet<u32>>,
}

impl EndpointList {
    pub(super) fn new(fleet: &Fleet) -> Self {
        EndpointList {
            entries: BTreeMap::new(),
            destinations: fleet.listed(),
            next_endpoint: 0,
            version: 0,
            delay_s: fleet.scenario.list.delay_s,
            unpublished: None,
        }
    }

    /// Returns the destination of every endpoint that ever existed.
    pub(super) fn destination_of_each_endpoint(&self) -> BTreeMap<u32, u32> {
        self.entries.iter().map(|(&endpoint, entry)| (endpoint, entry.destination)).collect()
    }

    /// Returns the endpoints of a destination that are not gone.
    pub(super) fn endpoints_of(&self, destination: u32) -> Vec<u32> {
        let is_present =
            |entry: &ListEntry| entry.destination == destination && entry.state != ListedState::Gone;
        let entries = self.entries.iter().filter(|(_, entry)| is_present(entry));
        entries.map(|(&endpoint, _)| endpoint).collect()
    }

    pub(super) fn is_ready(&self, endpoint: u32) -> bool {
        self.entries.get(&endpoint).is_some_and(|entry| entry.state == ListedState::Ready)
    }

    /// Returns the delay between a change and its publication, in nanoseconds.
    pub(super) fn delay(&self) -> Time {
        seconds(self.delay_s)
    }

    /// Increases the delay of all further publications by this many seconds.
    pub(super) fn add_delay(&mut self, additional_s: f64) {
        self.delay_s += additional_s;
    }

    /// Reduces the delay of all further publications by this many seconds, to no less than 0.
    pub(super) fn reduce_delay(&mut self, additional_s: f64) {
        self.delay_s = (self.delay_s - additional_s).max(0.0);
    }

    /// Suspends publication: changes are collected until it resumes.
    pub(super) fn suspend_publication(&mut self) {
        self.unpublished.get_or_insert_default();
    }

    /// Returns the entries of a list document about these endpoints. A complete list leaves out endpoints
    /// that are gone.
    fn describe(
        &self,
        endpoints: &[u32],
        scope: ListScope,
        zones: &[String],
        transport: &impl Transport,
    ) -> Vec<Value> {
        let mut described = Vec::new();
        for &endpoint in endpoints {
            let entry = &self.entries[&endpoint];
            if scope == ListScope::Complete && entry.state == ListedState::Gone {
                continue;
            }
            let destination = &self.destinations[&entry.destination];
            described.push(json!({
                "id": endpoint,
                "destination": entry.destination,
                "kind": destination.kind,
                "rate": destination.rate,
                "state": entry.state.as_str(),
                "zone": zones[usize::from(entry.zone)],
                "address": transport.address(endpoint).to_string(),
            }));
        }
        described
    }
}
