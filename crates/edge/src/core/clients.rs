//! Client connections: received frames, pipelined requests and their responses, and backpressure.
//!
//! Kafka clients pipeline requests, and the responses of a connection are sent in the order of its requests.
//! A request without a response therefore holds back the responses to later requests (head-of-line blocking).
//! This module owns responses until they are sent. It never decides on the final answer of a message.

mod connection;
mod pending;

pub(crate) use pending::{PendingPartition, PendingProduce, PendingRecord};

use super::responses::RecordOutcome;
use super::time_index::TimeIndex;
use super::ProtocolError;
use crate::settings::Limits;
use bytes::Bytes;
use connection::ClientConnection;
use linnetcart::Time;
use linnetcart_kafka::server::{self, Request};
use pending::PendingRequest;
use std::collections::BTreeMap;

/// The id of a client connection. The shell assigns it.
pub type ClientId = u64;

/// Where the record of a message stands in the requests of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordPosition {
    pub(crate) client: ClientId,
    /// The number of the request, counted on the connection from 0.
    pub(crate) request: u64,
    /// The index of the partition in the request.
    pub(crate) partition: u32,
    /// The index of the record in the partition.
    pub(crate) record: u32,
}

/// Whether a client connection is read. Pausing is the backpressure on a client at its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadState {
    /// The limit on requests without a response, or on unsent bytes of responses, is reached.
    Paused,
    /// The connection is read: neither limit is reached.
    Reading,
}

/// The read state of a connection after an update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadUpdate {
    pub(crate) state: ReadState,
    /// Whether the state changed, so that the shell must be notified.
    pub(crate) changed: bool,
}

/// All client connections, with an index by the earliest deadline of their requests.
#[derive(Debug, Default)]
pub(crate) struct ClientConnections {
    connections: BTreeMap<ClientId, ClientConnection>,
    /// The connections with a deadline, by that deadline.
    deadlines: TimeIndex<ClientId>,
    /// How many records have been served on all connections: the Kafka offset of the next served record in a
    /// Produce response.
    served_records: i64,
}

impl ClientConnections {
    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections that are not read because of a limit.
    pub(crate) fn paused_count(&self) -> usize {
        self.connections.values().filter(|connection| connection.paused).count()
    }

    /// Returns whether every request has its response.
    pub(crate) fn all_answered(&self) -> bool {
        self.connections.values().all(|connection| connection.requests.is_empty())
    }

    /// Adds a connection.
    pub(crate) fn open(&mut self, id: ClientId, max_frame_bytes: usize) {
        self.connections.insert(id, ClientConnection::new(max_frame_bytes));
    }

    /// Adds received bytes to the frames of a connection. Returns `false` if there is no such connection.
    pub(crate) fn receive(&mut self, id: ClientId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.frames.push(bytes);
        true
    }

    /// Records that the client has shut down its sending side and sends no more requests. Returns `false` if
    /// there is no such connection.
    pub(crate) fn half_close(&mut self, id: ClientId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.half_closed = true;
        true
    }

    /// Sets how many bytes of responses the operating system has not accepted yet.
    pub(crate) fn set_unsent_bytes(&mut self, id: ClientId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unsent_bytes = bytes;
        }
    }

    /// Returns whether the connection is not read because of a limit.
    pub(crate) fn is_paused(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.paused)
    }

    /// Returns whether the client has shut down its sending side and has all its responses.
    pub(crate) fn is_finished(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(ClientConnection::is_finished)
    }

    /// Pauses or resumes reading, by whether the connection is at one of its limits. Returns `None` if there
    /// is no such connection.
    pub(crate) fn update_reading(&mut self, id: ClientId, limits: &Limits) -> Option<ReadUpdate> {
        let connection = self.connections.get_mut(&id)?;
        let paused = connection.is_at_limit(limits);
        let changed = paused != connection.paused;
        connection.paused = paused;
        let state = if paused { ReadState::Paused } else { ReadState::Reading };
        Some(ReadUpdate { state, changed })
    }

    /// Parses the next complete request of a client. Returns `None` if there is none, and an error if the
    /// client violates the protocol.
    pub(crate) fn next_request(&mut self, id: ClientId) -> Result<Option<Request>, ProtocolError> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(None) };
        match connection.frames.next_frame()? {
            Some(frame) => Ok(Some(server::read(&frame)?)),
            None => Ok(None),
        }
    }

    /// Returns the number of the client's next request, counted on the connection from 0; 0 if there is no
    /// such connection.
    pub(crate) fn next_request_number(&self, id: ClientId) -> u64 {
        self.connections.get(&id).map_or(0, ClientConnection::next_request_number)
    }

    /// Queues a response, which is sent after the responses to all earlier requests of the connection.
    pub(crate) fn enqueue_response(&mut self, id: ClientId, response: Bytes) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests.push_back(PendingRequest::Ready(response));
        }
    }

    /// Queues a Produce request. Its earliest record must have its final answer by `deadline`, by the
    /// monotonic clock; `Time::MAX` if none of its records could be read.
    pub(crate) fn enqueue_produce(&mut self, id: ClientId, produce: PendingProduce, deadline: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests.push_back(PendingRequest::produce(produce, deadline));
        }
        self.update_deadline(id);
    }

    /// Sets the final answer of the record at `position`. Does nothing if the connection has closed or the
    /// record has a final answer already.
    pub(crate) fn complete(&mut self, position: RecordPosition, outcome: RecordOutcome) {
        if let Some(connection) = self.connections.get_mut(&position.client) {
            connection.complete_record(position, outcome);
        }
    }

    /// Removes and returns the responses that are ready and have no unanswered request before them, in the
    /// order of the requests.
    pub(crate) fn take_responses(&mut self, id: ClientId) -> Vec<Bytes> {
        let mut responses = Vec::new();
        let Some(connection) = self.connections.get_mut(&id) else { return responses };
        while let Some(request) = connection.pop_complete_request() {
            responses.push(request.into_response(&mut self.served_records));
        }
        connection.unsent_bytes += responses.iter().map(Bytes::len).sum::<usize>();
        if !responses.is_empty() {
            self.update_deadline(id);
        }
        responses
    }

    /// Returns the earliest deadline of the requests of all connections, by the monotonic clock, or `None` if
    /// no request has one.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.earliest()
    }

    /// Returns the messages that need their final answer at `now`: those of each request whose deadline is
    /// reached, and those of the requests before it on its connection, because responses are sent in order.
    pub(crate) fn overdue_messages(&self, now: Time) -> Vec<u32> {
        let overdue_connections = self.deadlines.due(now).filter_map(|id| self.connections.get(&id));
        overdue_connections.flat_map(|connection| connection.overdue_messages(now)).collect()
    }

    /// Removes a connection and its requests. Returns the numbers of the messages that had no final answer.
    pub(crate) fn remove(&mut self, id: ClientId) -> Vec<u32> {
        let Some(connection) = self.connections.remove(&id) else { return Vec::new() };
        self.deadlines.remove(connection.deadline, id);
        connection.open_messages().collect()
    }

    /// Updates the deadline index after the requests of a connection changed.
    fn update_deadline(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let earliest = connection.earliest_deadline();
        if earliest == connection.deadline {
            return;
        }
        self.deadlines.remove(connection.deadline, id);
        connection.deadline = earliest;
        if earliest != Time::MAX {
            self.deadlines.insert(earliest, id);
        }
    }
}
