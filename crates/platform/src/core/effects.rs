//! The effects of an iteration: records for the journal, outputs for the shell, events for the log.

use super::client_connections::ClientId;
use super::connection_pool::ConnectionId;
use super::counters::RecoveryCounts;
use super::discovery::WatchError;
use super::status_notifier::NotificationError;
use crate::records::Record;
use bytes::Bytes;
use linnetcart::LimitChange;
use std::net::SocketAddr;

/// An action for the shell. Outputs are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    SendToClient(ClientId, Bytes),
    /// Close a client's connection once all bytes written to it were sent.
    CloseClient(ClientId),
    /// Connect to an endpoint or to discovery.
    Connect(ConnectionId, SocketAddr),
    /// Write to an endpoint or to discovery.
    SendUpstream(ConnectionId, Bytes),
    /// Close a connection to an endpoint or to discovery at once.
    CloseUpstream(ConnectionId),
    /// Send no more on a connection to an endpoint, and read on.
    ShutdownWrite(ConnectionId),
    /// Stop accepting connections of clients.
    StopListening,
}

/// An event for the operators' log.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// The watch on the endpoint list failed; it is opened again.
    WatchFailed(WatchError),
    /// The watch was silent for too long; it is opened again.
    WatchSilent,
    /// The answer to status notifications was invalid; they are sent again.
    NotificationsFailed(NotificationError),
    /// Status notifications were not answered in time; they are sent again.
    NotificationsTimedOut,
    /// Discovery rejected this message's notification, which is dropped.
    NotificationRejected {
        /// The message's id.
        message: String,
    },
    /// The state of an endpoint's limit changed.
    LimitChanged(LimitChange),
    /// An attempt was not sent, because a Retry-After of the endpoint's destination arrived while the
    /// connection was being established.
    AttemptWithheld {
        /// The endpoint.
        endpoint: u32,
        /// The message's id.
        message: String,
    },
    /// A recovered message has a class that the settings no longer name, and has failed.
    UnknownClass {
        /// The message's id.
        message: String,
    },
    /// The last untried message of a previous process was sent or given up.
    RecoveryFinished(RecoveryCounts),
}

/// The effects since the shell last took them. No output may be carried out before the records are written.
#[derive(Debug, Default)]
pub struct Effects {
    records: Vec<Record>,
    outputs: Vec<Output>,
    events: Vec<CoreEvent>,
}

impl Effects {
    /// Adds a record for the journal.
    pub fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Adds an output for the shell.
    pub fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds an event for the log.
    pub fn event(&mut self, event: CoreEvent) {
        self.events.push(event);
    }

    /// Emits closes first to free endpoint slots; drops connects whose connection was closed in the same
    /// iteration.
    pub fn put_closes_first(&mut self, closed: &[ConnectionId], abandoned: &[ConnectionId]) {
        if closed.is_empty() && abandoned.is_empty() {
            return;
        }
        let is_closed_connect =
            |output: &Output| matches!(output, Output::Connect(id, _) if closed.contains(id));
        let mut ordered: Vec<Output> =
            Vec::with_capacity(closed.len() + abandoned.len() + self.outputs.len());
        ordered.extend(closed.iter().copied().map(Output::CloseUpstream));
        ordered.extend(abandoned.iter().copied().map(Output::ShutdownWrite));
        ordered.extend(self.outputs.drain(..).filter(|output| !is_closed_connect(output)));
        self.outputs = ordered;
    }

    /// Takes the records in the order in which they were added.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// Takes the outputs in the order in which they have to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes the events in the order in which they were added.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        std::mem::take(&mut self.events)
    }
}
