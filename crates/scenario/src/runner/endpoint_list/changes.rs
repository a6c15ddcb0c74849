//! Changes of endpoints: opening, draining, removing, closing and reopening them.

use super::{ListEntry, ListedState};
use crate::error::ScenarioError;
use crate::runner::{Connection, ScenarioRunner, Timer, Token, Transport};
use linnetcart_conformance::Time;
use linnetcart_endpoint_model::SimulatedEndpoint;

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Opens a new endpoint, and adds it to the list as ready.
    pub(in crate::runner) fn open_new_endpoint(
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

    /// Starts to drain an endpoint, and opens a replacement in the same zone. The endpoint is removed `drain`
    /// nanoseconds after the publication of this change.
    pub(in crate::runner) fn replace_endpoint(
        &mut self,
        endpoint: u32,
        drain: Time,
    ) -> Result<(), ScenarioError> {
        let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) else { return Ok(()) };
        entry.state = ListedState::Draining;
        let destination = entry.destination;
        let new = SimulatedEndpoint { endpoint: self.endpoint_list.next_endpoint, zone: entry.zone };
        self.open_new_endpoint(destination, new)?;
        self.simulator.add(destination, new);
        let delay = self.endpoint_list.delay();
        self.schedule_after(delay, Timer::PublishChanges { endpoints: vec![endpoint, new.endpoint] });
        // The drain time counts from the publication, so that couriers have the full drain time.
        self.schedule_after(delay + drain, Timer::RemoveEndpoint { endpoint });
        Ok(())
    }

    /// Removes an endpoint after it has drained.
    pub(in crate::runner) fn remove_endpoint(&mut self, endpoint: u32) {
        self.close_endpoint(endpoint);
        self.simulator.remove(endpoint);
        if let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) {
            entry.state = ListedState::Gone;
        }
        let delay = self.endpoint_list.delay();
        self.schedule_after(delay, Timer::PublishChanges { endpoints: vec![endpoint] });
    }

    /// Stops listening for connections to an endpoint, and resets the open ones.
    pub(in crate::runner) fn close_endpoint(&mut self, endpoint: u32) {
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

    /// Listens again for an endpoint that was closed, unless it is gone.
    pub(in crate::runner) fn reopen_endpoint(&mut self, endpoint: u32) -> Result<(), ScenarioError> {
        let Some(entry) = self.endpoint_list.entries.get_mut(&endpoint) else { return Ok(()) };
        if !entry.listening && entry.state != ListedState::Gone {
            self.transport.open(endpoint).map_err(ScenarioError::Transport)?;
            entry.listening = true;
        }
        Ok(())
    }
}
