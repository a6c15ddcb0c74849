//! The effects of an iteration: records for the journal, outputs for the shell, events for the log.
//!
//! An output that depends on a record is known as such, so that it can be undone if the record is not written.

use super::admission::Answer;
use super::attempts::AttemptId;
use super::client_connections::ClientId;
use super::connection_pool::ConnectionId;
use super::counters::RecoveryCounts;
use super::discovery::WatchError;
use super::status_notifier::NotificationError;
use crate::records::Record;
use bytes::Bytes;
use linnetcart::LimitChange;
use linnetcart_http::Persistence;
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
    /// A message was not accepted after all, because that could not be recorded.
    AcceptanceUndone {
        /// The message's id.
        message: String,
    },
    /// An attempt was not sent, because it could not be recorded, or not in time.
    AttemptUndone {
        /// The message's id.
        message: String,
        /// The attempt's number.
        attempt: u16,
    },
    /// A recovered message has a class that the settings no longer name, and has failed.
    UnknownClass {
        /// The message's id.
        message: String,
    },
    /// The last untried message of a previous process was sent or given up.
    RecoveryFinished(RecoveryCounts),
}

/// An output, and the record without which it must not be carried out.
///
/// A refusal, a close and a status notification that has been released depend on none: repeating them is
/// harmless.
#[derive(Debug)]
enum PendingOutput {
    /// Depends on no record.
    Independent(Output),
    /// The answer that a message is accepted, which depends on the record of that. Without the record, the
    /// message is rejected.
    Acceptance { message: u32, client: ClientId, persistence: Persistence },
    /// The request of an attempt, which depends on the record of that unless a repetition is harmless.
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

/// The effects since the shell last took them. No output may be taken before the records are written or the
/// core was told that they are not.
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

    /// Adds the answer that a message is accepted.
    pub fn acceptance(&mut self, message: u32, client: ClientId, persistence: Persistence) {
        self.outputs.push(PendingOutput::Acceptance { message, client, persistence });
    }

    /// Adds the request of an attempt.
    pub fn attempt(&mut self, attempt: AttemptId, connection: ConnectionId, request: Bytes) {
        self.outputs.push(PendingOutput::Attempt { attempt, connection, request });
    }

    /// Turns the answers that a message is accepted into rejections. Returns their number.
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

    /// Drops the request of an attempt. Returns its length in bytes, or `None` if there is none.
    pub fn drop_attempt(&mut self, dropped: AttemptId) -> Option<usize> {
        let position = self.outputs.iter().position(|output| output.is_request_of(dropped))?;
        match self.outputs.remove(position) {
            PendingOutput::Attempt { request, .. } => Some(request.len()),
            PendingOutput::Independent(_) | PendingOutput::Acceptance { .. } => None,
        }
    }

    /// Returns the attempts whose requests have not been taken yet.
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

    /// Emits closes first to free endpoint slots; drops connects whose connection was closed in the same
    /// iteration.
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
