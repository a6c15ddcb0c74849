//! The endpoint list: which endpoints there are, and how couriers are notified of changes.

use super::couriers::EndpointUpdate;
use super::{Connection, ScenarioRunner, Timer, Token, Transport};
use crate::error::ScenarioError;
use crate::fleet::{Fleet, ListedDestination};
use crate::units::seconds;
use linnetcart_conformance::{EndpointNotification, Time};
use linnetcart_endpoint_model::SimulatedEndpoint;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// How long a courier that started again waits while the endpoint list is not published.
const CATCH_UP_RETRY: Time = 200_000_000;

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    Ready,
    Draining,
    Gone,
}

impl ListedState {
    /// As the endpoint list writes it.
    fn as_str(self) -> &'static str {
        match self {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        }
    }
}

/// An endpoint, from when it was opened first.
struct ListEntry {
    destination: u32,
    zone: u8,
    state: ListedState,
    listening: bool,
}

/// All endpoints, and what is published of them.
pub(super) struct EndpointList {
    entries: BTreeMap<u32, ListEntry>,
    destinations: BTreeMap<u32, ListedDestination>,
    next_endpoint: u32,
    /// Version of the document that was sent last.
    version: u64,
    /// Changes are published so much later.
    pub(super) delay_s: f64,
    /// Nothing is published; these changes have been held back since.
    held_back: Option<BTreeSet<u32>>,
}

impl EndpointList {
    pub(super) fn new(fleet: &Fleet) -> Self {
        EndpointList {
            entries: BTreeMap::new(),
            destinations: fleet.listed(),
            next_endpoint: 0,
            version: 0,
            delay_s: fleet.scenario.list.late_s,
            held_back: None,
        }
    }

    /// The destination of each endpoint that there ever was.
    pub(super) fn destination_of_each_endpoint(&self) -> BTreeMap<u32, u32> {
        self.entries.iter().map(|(&endpoint, entry)| (endpoint, entry.destination)).collect()
    }

    /// Endpoints of a destination that are not gone.
    pub(super) fn endpoints_of(&self, destination: u32) -> Vec<u32> {
        let is_there =
            |entry: &ListEntry| entry.destination == destination && entry.state != ListedState::Gone;
        let entries = self.entries.iter().filter(|(_, entry)| is_there(entry));
        entries.map(|(&endpoint, _)| endpoint).collect()
    }

    pub(super) fn is_ready(&self, endpoint: u32) -> bool {
        self.entries.get(&endpoint).is_some_and(|entry| entry.state == ListedState::Ready)
    }

    /// Nothing is published from now on.
    pub(super) fn hold_back(&mut self) {
        self.held_back.get_or_insert_default();
    }

    /// What is said of endpoints; those that are gone are not in a complete list.
    fn describe(
        &self,
        endpoints: &[u32],
        complete: bool,
        zones: &[String],
        transport: &impl Transport,
    ) -> Vec<Value> {
        let mut described = Vec::new();
        for &endpoint in endpoints {
            let entry = &self.entries[&endpoint];
            if complete && entry.state == ListedState::Gone {
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

impl<T: Transport> ScenarioRunner<'_, T> {
    /// A new endpoint listens.
    pub(super) fn open_new_endpoint(
        &mut self,
        destination: u32,
        new: SimulatedEndpoint,
    ) -> Result<(), ScenarioError> {
        self.transport.open(new.endpoint).map_err(ScenarioError::Transport)?;
        let entry = ListEntry { destination, zone: new.zone, state: ListedState::Ready, listening: true };
        let list = &mut self.endpoint_list;
        list.entries.insert(new.endpoint, entry);
        list.next_endpoint = list.next_endpoint.max(new.endpoint + 1);
        Ok(())
    }

    /// Drains an endpoint and puts a new one in its place.
    pub(super) fn replace_endpoint(&mut self, endpoint: u32, drain: Time) -> Result<(), ScenarioError> {
        let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) else { return Ok(()) };
        entry.state = ListedState::Draining;
        let destination = entry.destination;
        let new = SimulatedEndpoint { endpoint: self.endpoint_list.next_endpoint, zone: entry.zone };
        self.open_new_endpoint(destination, new)?;
        self.simulator.add(destination, new);
        let delay = seconds(self.endpoint_list.delay_s);
        self.schedule_after(delay, Timer::PublishChanges { endpoints: vec![endpoint, new.endpoint] });
        // A draining endpoint waits until the change has had time to reach everyone.
        self.schedule_after(delay + drain, Timer::RemoveEndpoint { endpoint });
        Ok(())
    }

    /// An endpoint that was draining is gone.
    pub(super) fn remove_endpoint(&mut self, endpoint: u32) {
        self.close_endpoint(endpoint);
        self.simulator.remove(endpoint);
        if let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) {
            entry.state = ListedState::Gone;
        }
        let delay = seconds(self.endpoint_list.delay_s);
        self.schedule_after(delay, Timer::PublishChanges { endpoints: vec![endpoint] });
    }

    /// An endpoint listens no more, and its connections break.
    pub(super) fn close_endpoint(&mut self, endpoint: u32) {
        if let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) {
            if entry.listening {
                entry.listening = false;
                self.transport.shut(endpoint);
            }
        }
        let mut open: Vec<Token> = Vec::new();
        for (&token, connection) in &self.connections {
            if matches!(connection, Connection::Endpoint(found) if found.endpoint == endpoint) {
                open.push(token);
            }
        }
        for token in open {
            self.drop_connection(token);
        }
    }

    /// An endpoint that was closed listens again, unless it is gone.
    pub(super) fn reopen_endpoint(&mut self, endpoint: u32) -> Result<(), ScenarioError> {
        let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) else { return Ok(()) };
        if !entry.listening && entry.state != ListedState::Gone {
            self.transport.open(endpoint).map_err(ScenarioError::Transport)?;
            entry.listening = true;
        }
        Ok(())
    }

    /// Notifies all couriers of changes, or holds the changes back.
    pub(super) fn publish_changes(&mut self, endpoints: Vec<u32>) {
        if let Some(held_back) = &mut self.endpoint_list.held_back {
            held_back.extend(endpoints);
            return;
        }
        for courier in 0..self.couriers.len() {
            self.couriers[courier].pending_changes.extend(&endpoints);
            self.notify(courier as u32);
        }
    }

    /// The endpoint list is published again.
    pub(super) fn publish_held_back(&mut self) {
        let held_back = self.endpoint_list.held_back.take().unwrap_or_default();
        self.publish_changes(held_back.into_iter().collect());
    }

    /// A courier that started again is notified of what may have changed meanwhile: everything.
    pub(super) fn catch_up(&mut self, courier: u32, incarnation: u32) {
        if self.endpoint_list.held_back.is_some() {
            return self.schedule_after(CATCH_UP_RETRY, Timer::CatchUp { courier, incarnation });
        }
        let process = &mut self.couriers[courier as usize];
        if process.incarnation == incarnation {
            process.pending_changes.extend(self.endpoint_list.entries.keys());
            self.notify(courier);
        }
    }

    /// Sends a courier the part of the endpoint list that it does not have.
    fn notify(&mut self, courier: u32) {
        let process = &mut self.couriers[courier as usize];
        if !process.can_be_notified() {
            return;
        }
        let changes = std::mem::take(&mut process.pending_changes);
        let complete = std::mem::take(&mut process.needs_complete_list);
        let list = &mut self.endpoint_list;
        let endpoints: Vec<u32> =
            if complete { list.entries.keys().copied().collect() } else { changes.into_iter().collect() };
        list.version += 1;
        let zones = &self.fleet.scenario.zones;
        let entries = list.describe(&endpoints, complete, zones, &self.transport);
        let body = json!({"version": list.version, "whole": complete, "entries": entries}).to_string();
        let update = |&endpoint: &u32| EndpointUpdate { endpoint, ready: list.is_ready(endpoint) };
        let updates = endpoints.iter().map(update).collect();
        self.put_document(courier, "/list", body, updates);
    }

    /// A courier answered what was put to its control interface; an error is what it said instead.
    pub fn put_done(
        &mut self,
        courier: u32,
        incarnation: u32,
        outcome: Result<(), String>,
    ) -> Result<(), ScenarioError> {
        let process = &mut self.couriers[courier as usize];
        if process.incarnation != incarnation || !process.running {
            return Ok(());
        }
        let updates = process.document_under_way.take().unwrap_or_default();
        if let Err(reason) = outcome {
            return Err(ScenarioError::DocumentRejected { courier, reason });
        }
        for EndpointUpdate { endpoint, ready } in updates {
            let at = self.now;
            self.notifications.push(EndpointNotification { courier, incarnation, at, endpoint, ready });
        }
        if std::mem::take(&mut process.needs_settings) {
            self.connect_client(courier);
        }
        self.notify(courier);
        Ok(())
    }
}
