//! What an iteration produces: records for the journal, outputs for the shell, events for the log.

use super::client_connections::ClientId;
use super::connection_pool::ConnectionId;
use super::counters::RecoveryCounts;
use super::discovery::WatchError;
use super::status_notifier::NotificationError;
use crate::records::Record;
use bytes::Bytes;
use linnetcart::LimitChange;
use std::net::SocketAddr;

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    SendToClient(ClientId, Bytes),
    /// Close a client's connection when what was written to it has left.
    CloseClient(ClientId),
    /// Connect to an endpoint or to discovery.
    Connect(ConnectionId, SocketAddr),
    /// Write to an endpoint or to discovery.
    SendUpstream(ConnectionId, Bytes),
    /// Close a connection to an endpoint or to discovery at once.
    CloseUpstream(ConnectionId),
    /// Send no more on a connection to an endpoint, and read on.
    ShutdownWrite(ConnectionId),
    /// Take no more connections of clients.
    StopListening,
}

/// What operators should know of.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// The watch on the endpoint list got what it should not have; it is opened again.
    WatchFailed(WatchError),
    /// Nothing came on the watch for too long; it is opened again.
    WatchSilent,
    /// Status notifications got an answer that is none; they are sent again.
    NotificationsFailed(NotificationError),
    /// Status notifications got no answer in time; they are sent again.
    NotificationsTimedOut,
    /// Discovery rejected this message's notification, which is dropped.
    NotificationRejected {
        /// The message's id.
        message: String,
    },
    /// The state of an endpoint's limit changed.
    LimitChanged(LimitChange),
    /// An attempt was not sent: the endpoint's destination asked to wait while its connection was made.
    AttemptWithheld {
        /// The endpoint.
        endpoint: u32,
        /// The message's id.
        message: String,
    },
    /// A message of an earlier process has a class that the settings no longer name, and has failed.
    UnknownClass {
        /// The message's id.
        message: String,
    },
    /// The last untried message of an earlier process was sent, or given up.
    RecoveryFinished(RecoveryCounts),
}

/// What was produced since the shell last took it. Nothing here may leave before the records are written.
#[derive(Debug, Default)]
pub struct Effects {
    records: Vec<Record>,
    outputs: Vec<Output>,
    events: Vec<CoreEvent>,
}

impl Effects {
    /// Adds a record.
    pub fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Adds an output.
    pub fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds an event.
    pub fn event(&mut self, event: CoreEvent) {
        self.events.push(event);
    }

    /// Puts closes before all else, so that their slots at the endpoints are free by the time that attempts of
    /// this iteration arrive. A connection that was only asked for in this iteration is not made.
    pub fn put_closes_first(&mut self, closed: &[ConnectionId], abandoned: &[ConnectionId]) {
        if closed.is_empty() && abandoned.is_empty() {
            return;
        }
        let is_moot = |output: &Output| matches!(output, Output::Connect(id, _) if closed.contains(id));
        let mut ordered: Vec<Output> =
            Vec::with_capacity(closed.len() + abandoned.len() + self.outputs.len());
        ordered.extend(closed.iter().copied().map(Output::CloseUpstream));
        ordered.extend(abandoned.iter().copied().map(Output::ShutdownWrite));
        ordered.extend(self.outputs.drain(..).filter(|output| !is_moot(output)));
        self.outputs = ordered;
    }

    /// Takes the records.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// Takes the outputs.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes the events.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        std::mem::take(&mut self.events)
    }
}
