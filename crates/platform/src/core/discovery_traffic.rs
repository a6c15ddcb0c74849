//! Traffic with discovery: events of the watch, status notifications and the connections for both.

use super::connection_pool::ConnectionId;
use super::effects::{CoreEvent, Output};
use super::reconnect::ConnectionAction;
use super::status_notifier::{BatchResult, NotificationRequest, NotifierAction};
use super::Core;
use crate::config::WatchEvent;
use linnetcart_net::ConnectFailure;
use std::net::SocketAddr;

impl Core {
    /// Changes the address of discovery, and reconnects if it differs from the present one.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        if address == self.discovery.address() {
            return;
        }
        let watch_connection = self.discovery.change_address(address);
        let notifier_connections = self.notifier.restart(self.clock.now());
        for connection in watch_connection.into_iter().chain(notifier_connections) {
            self.close_discovery_connection(Some(connection));
        }
    }

    /// Handles bytes that were received on the watch, before which the operating system had accepted
    /// `written` bytes.
    pub(super) fn watch_received(&mut self, id: ConnectionId, bytes: &[u8], written: u64) {
        let progress = self.discovery.receive(self.clock.now(), bytes, written);
        let mut error = progress.error;
        for event in &progress.events {
            if let Err(outdated) = self.discovery.check_version(event) {
                error = Some(outdated);
                break;
            }
            self.apply_watch_event(event);
        }
        if let Some(error) = error {
            self.effects.event(CoreEvent::WatchFailed(error));
            self.close_discovery_connection(Some(id));
            self.discovery.disconnected(self.clock.now());
        }
    }

    /// Applies an event of the watch, and closes idle connections to endpoints that were removed, moved or
    /// restarted.
    pub(super) fn apply_watch_event(&mut self, event: &WatchEvent) {
        let update = self.discovery.apply(event, &self.settings, self.clock.now());
        self.decisions.push(update.event);
        for endpoint in update.stale {
            self.pool.close_idle(endpoint);
        }
    }

    /// Handles bytes that were received in answer to status notifications, before which the operating system
    /// had accepted `written` bytes.
    pub(super) fn notifier_received(&mut self, id: ConnectionId, bytes: &[u8], written: u64) {
        let acknowledged = match self.notifier.receive(id, bytes, written, self.clock.now()) {
            Ok(Some(acknowledged)) => acknowledged,
            Ok(None) => return,
            Err(error) => {
                self.effects.event(CoreEvent::NotificationsFailed(error));
                self.close_discovery_connection(Some(id));
                return;
            }
        };
        self.close_discovery_connection(Some(id));
        for number in acknowledged.messages {
            if acknowledged.result == BatchResult::Rejected {
                self.report_rejected_notification(number);
            }
            self.acknowledge(number);
        }
    }

    fn report_rejected_notification(&mut self, number: u32) {
        if let Some(rejected) = self.in_flight.get(number) {
            let message = rejected.message().id_text().into_owned();
            self.effects.event(CoreEvent::NotificationRejected { message });
        }
    }

    /// Handles the end of a connection to discovery. Returns `false` if the connection does not lead to
    /// discovery.
    pub(super) fn discovery_disconnected(&mut self, id: ConnectionId) -> bool {
        if self.discovery.owns(id) {
            self.discovery.disconnected(self.clock.now());
        } else if self.notifier.owns(id) {
            self.notifier.disconnected(id, self.clock.now());
        } else {
            return false;
        }
        true
    }

    /// Handles a failed connect to discovery. Returns `false` if the connection does not lead to discovery.
    pub(super) fn discovery_connect_failed(&mut self, id: ConnectionId, failure: ConnectFailure) -> bool {
        if failure == ConnectFailure::Remote {
            return self.discovery_disconnected(id);
        }
        if self.discovery.owns(id) {
            self.discovery.connect_failed_locally(self.clock.now());
        } else if self.notifier.owns(id) {
            self.notifier.connect_failed_locally(id, self.clock.now());
        } else {
            return false;
        }
        true
    }

    /// Opens the watch, or closes it after its silence or connect timeout.
    pub(super) fn poll_discovery(&mut self) {
        match self.discovery.poll(self.clock.now()) {
            ConnectionAction::Nothing => {}
            ConnectionAction::Connect => {
                let id = self.connect_to_discovery();
                self.discovery.connecting(id);
            }
            ConnectionAction::Close => {
                self.effects.event(CoreEvent::WatchSilent);
                let connection = self.discovery.take_connection();
                self.close_discovery_connection(connection);
            }
        }
    }

    /// Establishes and closes connections for status notifications, and sends the batches that are due.
    pub(super) fn poll_notifier(&mut self) {
        loop {
            let closed = match self.notifier.poll(self.clock.now()) {
                NotifierAction::Nothing => break,
                NotifierAction::Connect => {
                    let id = self.connect_to_discovery();
                    self.notifier.connecting(id, self.clock.now());
                    continue;
                }
                NotifierAction::Close(connection) => connection,
                NotifierAction::CloseTimedOut(connection) => {
                    self.effects.event(CoreEvent::NotificationsTimedOut);
                    connection
                }
            };
            self.close_discovery_connection(Some(closed));
        }
        while let Some(request) = self.notifier.next_request(self.clock.now(), self.discovery.address()) {
            self.log_notifications(&request);
            self.effects.output(Output::SendUpstream(request.connection, request.bytes.into()));
        }
    }

    fn log_notifications(&self, request: &NotificationRequest) {
        let connection = request.connection;
        for message in request.messages.iter().filter_map(|&number| self.in_flight.get(number)) {
            let outcome = message.pending.completion.outcome();
            tracing::info!(id = %message.message().id_text(), connection, ?outcome, "notification sent");
        }
    }

    fn connect_to_discovery(&mut self) -> ConnectionId {
        let id = self.pool.allocate_id();
        self.effects.output(Output::Connect(id, self.discovery.address()));
        id
    }

    /// Closes a connection to discovery, if there is one.
    fn close_discovery_connection(&mut self, connection: Option<ConnectionId>) {
        if let Some(id) = connection {
            self.effects.output(Output::CloseUpstream(id));
        }
    }
}
