//! The discovery client: the watch on the endpoint list, its connection, and the list itself.
//!
//! The client owns the list's version, the reconnect backoff and the endpoints' numbers. After an entry that
//! cannot be read, the next connect requests the complete list, so that no endpoint is missing for good.

mod endpoint_list;
mod watch;

pub use endpoint_list::{EndpointList, ListUpdate};
#[cfg(test)]
pub use watch::WATCH_SILENCE_TIMEOUT;
pub use watch::{EndpointWatch, EventLimits, WatchError, WatchProgress};

use super::connection_pool::ConnectionId;
use super::reconnect::ConnectionAction;
use crate::config::WatchEvent;
use linnetcart::Time;
use linnetcart_courier_common::memory_budget::MemoryBudget;
use linnetcart_deployment_settings::DeploymentSettings;
use std::net::SocketAddr;

/// The discovery client.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: EndpointWatch,
    connection: Option<ConnectionId>,
    endpoints: EndpointList,
    /// Whether the present watch requested the complete list and has not received an event.
    awaits_complete_list: bool,
}

impl DiscoveryClient {
    /// Creates a client that is not connected and knows no endpoint.
    pub fn new(address: SocketAddr, memory: MemoryBudget) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch: EndpointWatch::new(EventLimits::within(memory.endpoint_update)),
            connection: None,
            endpoints: EndpointList::new(memory.endpoints),
            awaits_complete_list: false,
        }
    }

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the endpoint list.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Whether the initial sync with discovery is complete: discovery has sent the events after the cached
    /// version, or an empty line if there are none.
    pub fn has_synced(&self) -> bool {
        self.watch.has_synced()
    }

    /// Whether `id` is the connection that carries the watch.
    pub fn owns(&self, id: ConnectionId) -> bool {
        self.connection == Some(id)
    }

    /// Returns whether the caller has to establish or close the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionAction {
        self.watch.poll(now)
    }

    /// Records the id of the connection that is being established.
    pub fn connecting(&mut self, id: ConnectionId) {
        self.connection = Some(id);
    }

    /// Takes the id of the watch's connection, which the caller has to close; `None` if there is none.
    pub fn take_connection(&mut self) -> Option<ConnectionId> {
        self.connection.take()
    }

    /// Handles the established connection. Returns the request to be sent on it.
    pub fn connected(&mut self, now: Time) -> Vec<u8> {
        let since = self.endpoints.resume_version();
        self.awaits_complete_list = since == 0;
        tracing::debug!(since, "watching endpoint list");
        self.watch.connected(now, self.address, since)
    }

    /// Handles the loss of the connection, or its close after an error.
    pub fn disconnected(&mut self, now: Time) {
        self.connection = None;
        self.watch.disconnected(now);
    }

    /// Handles a connect that failed locally, for example because no file descriptor or port was available.
    pub fn connect_failed_locally(&mut self, now: Time) {
        self.connection = None;
        self.watch.connect_failed_locally(now);
    }

    /// Handles received bytes. Returns the complete events, and an error if the connection has to be closed.
    /// `written` is the number of bytes that the operating system had accepted before.
    pub fn receive(&mut self, now: Time, bytes: &[u8], written: u64) -> WatchProgress {
        self.watch.receive(now, bytes, written)
    }

    /// Checks that an event is not older than the list. An older one must not be applied, and the connection
    /// has to be closed; the next watch requests the complete list. An older version is accepted only as the
    /// answer to that request: then discovery itself has begun anew.
    pub fn check_version(&mut self, event: &WatchEvent) -> Result<(), WatchError> {
        let list = self.endpoints.version();
        let is_answer = std::mem::take(&mut self.awaits_complete_list) && event.complete;
        if event.version >= list || is_answer {
            return Ok(());
        }
        self.endpoints.require_complete_list();
        Err(WatchError::OutdatedEvent { event: event.version, list })
    }

    /// Applies an event of the watch to the endpoint list.
    pub fn apply(&mut self, event: &WatchEvent, settings: &DeploymentSettings, now: Time) -> ListUpdate {
        let version = event.version;
        let complete = event.complete;
        let entries = event.entries.len();
        tracing::info!(version, complete, entries, "endpoint list event");
        self.endpoints.apply(event, settings, now)
    }

    /// Changes the address of discovery and restarts the watch. Returns the connection to be closed, if any.
    pub fn change_address(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        self.address = address;
        self.watch.restart();
        self.connection.take()
    }

    /// Returns the monotonic time at which [`DiscoveryClient::poll`] must be called again at the latest.
    pub fn next_wake(&self) -> Time {
        self.watch.next_wake()
    }
}
