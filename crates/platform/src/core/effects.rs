//! The effects of an iteration: records for the journal, outputs for the shell, events for the log.
//!
//! Outputs that depend on a record are kept apart by type, so that they can be rejected or dropped if the
//! record is not written (see [`unrecorded`](super::unrecorded)).

use super::admission::Answer;
use super::attempts::AttemptId;
use super::client_connections::{ClientId, EvictedClient};
use super::connection_pool::ConnectionId;
use super::counters::RecoveryCounts;
use super::discovery::WatchError;
use super::request::RequestError;
use super::status_notifier::NotificationError;
use crate::records::Record;
use bytes::Bytes;
use linnetcart::LimitChange;
use linnetcart_courier_common::attribution::Attribution;
use linnetcart_http::Persistence;
use std::net::SocketAddr;

/// An action for the shell. Outputs are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Queue bytes for a client.
    SendToClient(ClientId, Bytes),
    /// Close a client's connection after all bytes queued for it are sent.
    CloseClient(ClientId),
    /// Close a client's connection after all bytes queued for it are sent, and discard what the client still sends:
    /// its request was refused before it was complete.
    CloseRefusedClient(ClientId),
    /// Connect to an endpoint or to discovery.
    Connect(ConnectionId, SocketAddr),
    /// Queue bytes for an endpoint or for discovery.
    SendUpstream(ConnectionId, Bytes),
    /// Close a connection to an endpoint or to discovery at once and drop unsent bytes.
    CloseUpstream(ConnectionId),
    /// Shut down the sending side of a connection to an endpoint, and continue to read from it.
    ShutdownWrite(ConnectionId),
    /// Stop accepting connections of clients.
    StopListening,
}

/// An event for the operators' log.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// The watch on the endpoint list failed; it is reopened after a backoff.
    WatchFailed(WatchError),
    /// No byte arrived on the watch within its silence timeout, or its connection was not established in
    /// time; the watch is reopened.
    WatchSilent,
    /// A request was refused whose bytes name no message id.
    ClientRefused {
        /// The connection.
        client: ClientId,
        /// Number of bytes that were read of the request.
        received_bytes: usize,
        /// Why the request was refused.
        error: RequestError,
    },
    /// A client's connection without a request was closed because too many were open.
    ClientEvicted(EvictedClient),
    /// Discovery's answer to a batch of status notifications was invalid; the notifications are sent again.
    NotificationsFailed(NotificationError),
    /// Discovery did not answer a batch of status notifications in time, or the connection for them was not
    /// established in time; the notifications are sent again.
    NotificationsTimedOut,
    /// Discovery rejected this message's notification, which is not sent again.
    NotificationRejected {
        /// The message's id.
        message: String,
    },
    /// The state of an endpoint's limit changed.
    LimitChanged(LimitChange),
    /// A response arrived that is not certainly the response to an attempt. Nothing was concluded from it,
    /// and its connection was closed.
    ResponseUnattributed {
        /// The id of the message whose attempt awaited a response; `None` if there was none.
        message: Option<String>,
        /// The attempt's number, counted from 0 for each message.
        attempt: Option<u16>,
        /// The connection.
        connection: ConnectionId,
        /// Number of the endpoint.
        endpoint: u32,
        /// Why the response is not certain.
        attribution: Attribution,
    },
    /// A message was rejected after the decision to accept it, because its acceptance could not be recorded.
    AcceptanceUndone {
        /// The message's id.
        message: String,
    },
    /// An attempt was not sent: it could not be recorded, the process was stalled for too long before the
    /// send, or the kernel accepted no byte of the request.
    AttemptUndone {
        /// The message's id.
        message: String,
        /// The attempt's number, counted from 0 for each message.
        attempt: u16,
    },
    /// A recovered message was completed as failed, because the settings no longer contain its class.
    UnknownClass {
        /// The message's id.
        message: String,
    },
    /// The last untried message of a previous process was attempted, or completed without delivery.
    RecoveryFinished(RecoveryCounts),
}

/// An output with the record on which it depends.
///
/// Rejections, closes and released status notifications depend on no record: repeating them is harmless.
#[derive(Debug)]
enum PendingOutput {
    /// An output that depends on no record.
    Independent(Output),
    /// The answer 202 to a client, which depends on the record of the acceptance. Without the record, it
    /// becomes a 503.
    Acceptance { message: u32, client: ClientId, persistence: Persistence },
    /// The request of an attempt. It depends on the record of the attempt if
    /// [`Class::attempt_needs_record`](linnetcart::Class::attempt_needs_record).
    Attempt { attempt: AttemptId, connection: ConnectionId, request: Bytes },
}

impl PendingOutput {
    fn is_request_of(&self, id: AttemptId) -> bool {
        match self {
            PendingOutput::Attempt { attempt, .. } => *attempt == id,
            PendingOutput::Independent(_) | PendingOutput::Acceptance { .. } => false,
        }
    }

    fn connects_one_of(&self, connections: &[ConnectionId]) -> bool {
        match self {
            PendingOutput::Independent(Output::Connect(id, _)) => connections.contains(id),
            _ => false,
        }
    }

    fn into_output(self) -> Output {
        match self {
            PendingOutput::Independent(output) => output,
            PendingOutput::Acceptance { client, persistence, .. } => {
                Output::SendToClient(client, Answer::Accepted.encode(persistence).into())
            }
            PendingOutput::Attempt { connection, request, .. } => Output::SendUpstream(connection, request),
        }
    }
}

/// The effects since the shell last took them. Outputs may be taken only after the records were written or
/// their failure was reported to the core.
#[derive(Debug, Default)]
pub struct Effects {
    records: Vec<Record>,
    outputs: Vec<PendingOutput>,
    events: Vec<CoreEvent>,
}

impl Effects {
    /// Adds a record for the journal.
    pub fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Adds an output for the shell that depends on no record.
    pub fn output(&mut self, output: Output) {
        self.outputs.push(PendingOutput::Independent(output));
    }

    /// Adds the answer 202 for a message, which depends on the record of the acceptance.
    pub fn acceptance(&mut self, message: u32, client: ClientId, persistence: Persistence) {
        self.outputs.push(PendingOutput::Acceptance { message, client, persistence });
    }

    /// Adds the request of an attempt, which may depend on the record of the attempt.
    pub fn attempt(&mut self, attempt: AttemptId, connection: ConnectionId, request: Bytes) {
        self.outputs.push(PendingOutput::Attempt { attempt, connection, request });
    }

    /// Replaces the answers 202 for a message by rejections (503). Returns the number of replaced answers.
    pub fn reject_acceptance(&mut self, rejected: u32) -> u64 {
        let mut count = 0;
        for output in &mut self.outputs {
            let PendingOutput::Acceptance { message, client, persistence } = *output else { continue };
            if message == rejected {
                let answer = Answer::Rejected { retry_after: 0 }.encode(persistence);
                *output = PendingOutput::Independent(Output::SendToClient(client, answer.into()));
                count += 1;
            }
        }
        count
    }

    /// Drops the request of an attempt. Returns its length in bytes, or `None` if no request of it is queued.
    pub fn drop_attempt(&mut self, dropped: AttemptId) -> Option<usize> {
        let position = self.outputs.iter().position(|output| output.is_request_of(dropped))?;
        match self.outputs.remove(position) {
            PendingOutput::Attempt { request, .. } => Some(request.len()),
            PendingOutput::Independent(_) | PendingOutput::Acceptance { .. } => None,
        }
    }

    /// Returns the attempts whose requests are among the outputs.
    pub fn attempts(&self) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for output in &self.outputs {
            if let PendingOutput::Attempt { attempt, .. } = output {
                attempts.push(*attempt);
            }
        }
        attempts
    }

    /// Adds an event for the log.
    pub fn event(&mut self, event: CoreEvent) {
        self.events.push(event);
    }

    /// Moves closes and write shutdowns before all other outputs, so that the endpoints have free slots for
    /// the new connections and requests. Drops connects whose connection was closed in the same iteration.
    pub fn put_closes_first(&mut self, closed: &[ConnectionId], abandoned: &[ConnectionId]) {
        if closed.is_empty() && abandoned.is_empty() {
            return;
        }
        let closes = closed.iter().copied().map(Output::CloseUpstream);
        let ends = abandoned.iter().copied().map(Output::ShutdownWrite);
        let mut ordered: Vec<PendingOutput> = closes.chain(ends).map(PendingOutput::Independent).collect();
        ordered.extend(self.outputs.drain(..).filter(|output| !output.connects_one_of(closed)));
        self.outputs = ordered;
    }

    /// Takes the records in the order in which they were added.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// Takes the outputs in the order in which they have to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs).into_iter().map(PendingOutput::into_output).collect()
    }

    /// Takes the events in the order in which they were added.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        std::mem::take(&mut self.events)
    }
}
