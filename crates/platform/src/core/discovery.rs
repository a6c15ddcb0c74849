//! The discovery client: the watch on the endpoint list, its connection, and the list itself.
//!
//! It owns versions, backoff and numbers of endpoints. It never skips for good an entry that it could not read: the
//! complete list is asked for again.

mod endpoint_list;
mod watch;

pub use endpoint_list::{EndpointList, ListUpdate};
#[cfg(test)]
pub use watch::WATCH_SILENCE_TIMEOUT;
pub use watch::{EndpointWatch, WatchError, WatchProgress};

use super::connection_pool::ConnectionId;
use super::reconnect::ConnectionDemand;
use crate::config::WatchEvent;
use linnetcart::Time;
use linnetcart_deployment_settings::DeploymentSettings;
use std::net::SocketAddr;

/// The client.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: EndpointWatch,
    connection: Option<ConnectionId>,
    endpoints: EndpointList,
}

impl DiscoveryClient {
    /// A client that has not connected yet, and knows no endpoint.
    pub fn new(address: SocketAddr) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch: EndpointWatch::new(),
            connection: None,
            endpoints: EndpointList::default(),
        }
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The endpoints.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Whether discovery has said anything yet: all that it had by then, or that there is nothing new.
    pub fn has_synced(&self) -> bool {
        self.watch.has_synced()
    }

    /// Whether this connection is the watch's.
    pub fn owns(&self, id: ConnectionId) -> bool {
        self.connection == Some(id)
    }

    /// What is to be done about the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionDemand {
        self.watch.poll(now)
    }

    /// The connection that was demanded is being made.
    pub fn connecting(&mut self, id: ConnectionId) {
        self.connection = Some(id);
    }

    /// The connection that is to be closed, if any.
    pub fn take_connection(&mut self) -> Option<ConnectionId> {
        self.connection.take()
    }

    /// The connection is there: the request to be sent on it.
    pub fn connected(&mut self, now: Time) -> Vec<u8> {
        let since = self.endpoints.version_to_ask();
        tracing::debug!(since, "watching endpoint list");
        self.watch.connected(now, self.address, since)
    }

    /// The connection was lost, or given up.
    pub fn disconnected(&mut self, now: Time) {
        self.connection = None;
        self.watch.disconnected(now);
    }

    /// Bytes came: the events in them, and an error after which the connection is to be given up.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> WatchProgress {
        self.watch.receive(now, bytes)
    }

    /// Brings the list up to date.
    pub fn apply(&mut self, event: &WatchEvent, settings: &DeploymentSettings, now: Time) -> ListUpdate {
        let version = event.version;
        let complete = event.complete;
        let entries = event.entries.len();
        tracing::debug!(version, complete, entries, "endpoint list event");
        self.endpoints.apply(event, settings, now)
    }

    /// Discovery is at another address now: the connection that is to be closed, if any.
    pub fn move_to(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        self.address = address;
        self.watch.restart();
        self.connection.take()
    }

    /// When to poll again.
    pub fn next_wake(&self) -> Time {
        self.watch.next_wake()
    }
}
