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
use linnetcart_courier_common::memory_budget::{MemoryAccount, MemoryBudget};
use linnetcart_kafka::server::{self, Request};
use linnetcart_kafka::Frames;
use pending::PendingRequest;
use std::collections::BTreeMap;

/// Length up to which the first request of a connection in an iteration never waits, in bytes.
const SMALL_REQUEST_BYTES: usize = 4 * 1024;
/// Maximum number of requests of a connection that one iteration processes.
const MAX_REQUESTS_PER_ITERATION: usize = 64;

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
#[derive(Debug)]
pub(crate) struct ClientConnections {
    connections: BTreeMap<ClientId, ClientConnection>,
    /// The connections with a deadline, by that deadline.
    deadlines: TimeIndex<ClientId>,
    /// How many records have been served on all connections: the Kafka offset of the next served record in a
    /// Produce response.
    served_records: i64,
    /// The bytes of requests that are not complete.
    request_memory: MemoryAccount,
    /// The bytes of answers that clients have not read.
    answer_memory: MemoryAccount,
    /// Maximum length of a frame, in bytes, by the memory for requests.
    max_frame_bytes: usize,
    /// Connections whose requests wait for the next iteration.
    postponed: Vec<ClientId>,
    /// Number of iterations that have begun.
    iteration: u64,
}

impl ClientConnections {
    /// Creates an empty table. The parts of the budget for ended ids and for updates of the endpoint list, which this
    /// front does not have, go to answers.
    pub(crate) fn new(memory: MemoryBudget) -> Self {
        ClientConnections {
            connections: BTreeMap::new(),
            deadlines: TimeIndex::default(),
            served_records: 0,
            request_memory: MemoryAccount::new(memory.requests),
            answer_memory: MemoryAccount::new(memory.ended_ids.saturating_add(memory.endpoint_update)),
            max_frame_bytes: memory.requests / 2,
            postponed: vec![],
            iteration: 0,
        }
    }

    /// Returns the bytes that are held of requests that are not complete.
    pub(crate) fn request_bytes(&self) -> usize {
        self.request_memory.held()
    }

    /// Returns the bytes that are held of answers that clients have not read.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_memory.held()
    }

    /// Changes a connection, and accounts for its memory.
    fn update<T>(&mut self, id: ClientId, change: impl FnOnce(&mut ClientConnection) -> T) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        let (requests, answers) = (connection.frames.held_bytes(), connection.answer_bytes());
        let result = change(connection);
        self.request_memory.resize(requests, connection.frames.held_bytes());
        self.answer_memory.resize(answers, connection.answer_bytes());
        Some(result)
    }

    /// If received requests take more memory than they may, returns the client with the largest incomplete one; only if
    /// there is none, the one with the most bytes that wait to be processed.
    pub(crate) fn over_request_memory(&self) -> Option<ClientId> {
        if !self.request_memory.is_exceeded() {
            return None;
        }
        let holding = self.connections.iter().filter(|(_, connection)| connection.frames.held_bytes() > 0);
        let order =
            |connection: &ClientConnection| (!connection.frames.has_frame(), connection.frames.held_bytes());
        holding.max_by_key(|(_, connection)| order(connection)).map(|(&id, _)| id)
    }

    /// Drops the incomplete request of a client, from which nothing more is read. The client counts as one that has
    /// shut down its sending side.
    pub(crate) fn refuse_partial_request(&mut self, id: ClientId) {
        self.update(id, |connection| {
            connection.frames = Frames::new(0);
            connection.half_closed = true;
        });
    }

    /// If answers take more memory than they may, returns the client that has read the fewest of its own.
    pub(crate) fn over_answer_memory(&self) -> Option<ClientId> {
        if !self.answer_memory.is_exceeded() {
            return None;
        }
        let holding = self.connections.iter().filter(|(_, connection)| connection.answer_bytes() > 0);
        holding.max_by_key(|(_, connection)| connection.answer_bytes()).map(|(&id, _)| id)
    }

    /// Whether requests wait for the next iteration.
    pub(crate) fn has_postponed(&self) -> bool {
        !self.postponed.is_empty()
    }

    /// Begins an iteration of the event loop. Returns the connections whose requests the last one has left, in the
    /// order in which they used up their share.
    pub(crate) fn begin_iteration(&mut self) -> Vec<ClientId> {
        self.iteration += 1;
        std::mem::take(&mut self.postponed)
    }

    /// Returns whether a connection may have another request processed in this iteration: the first if it is small or
    /// there is room for answers, and then [`MAX_REQUESTS_PER_ITERATION`] in all while there is. If not, the others wait
    /// for the next iteration, and the connection must not be read until then.
    pub(crate) fn begin_request(&mut self, id: ClientId, has_room_for_answers: bool) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.iteration != self.iteration {
            connection.iteration = self.iteration;
            connection.requests_in_iteration = 0;
        }
        let processed = connection.requests_in_iteration;
        let is_small = processed == 0 && connection.frames.buffered_bytes() <= SMALL_REQUEST_BYTES;
        if is_small || (processed < MAX_REQUESTS_PER_ITERATION && has_room_for_answers) {
            connection.requests_in_iteration += 1;
            return true;
        }
        connection.paused = true;
        if !self.postponed.contains(&id) {
            self.postponed.push(id);
        }
        false
    }

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
        let max_frame_bytes = max_frame_bytes.min(self.max_frame_bytes);
        self.connections.insert(id, ClientConnection::new(max_frame_bytes));
    }

    /// Adds received bytes to the frames of a connection. Returns `false` if there is no such connection.
    pub(crate) fn receive(&mut self, id: ClientId, bytes: &[u8]) -> bool {
        let received = self.update(id, |connection| {
            let is_read = !connection.half_closed;
            if is_read {
                connection.frames.push(bytes);
            }
            is_read
        });
        received == Some(true)
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
        self.update(id, |connection| connection.unsent_bytes = bytes);
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
        // While memory is short, those that read their answers go first.
        let is_slow_reader = self.answer_memory.is_half_used() && connection.answer_bytes() > 0;
        let paused = connection.is_at_limit(limits) || is_slow_reader;
        let changed = paused != connection.paused;
        connection.paused = paused;
        let state = if paused { ReadState::Paused } else { ReadState::Reading };
        Some(ReadUpdate { state, changed })
    }

    /// Parses the next complete request of a client. Returns `None` if there is none, and an error if the
    /// client violates the protocol.
    pub(crate) fn next_request(&mut self, id: ClientId) -> Result<Option<Request>, ProtocolError> {
        let Some(next) = self.update(id, |connection| connection.frames.next_frame()) else {
            return Ok(None);
        };
        match next? {
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
        self.update(id, |connection| {
            connection.ready_bytes += response.len();
            connection.requests.push_back(PendingRequest::Ready(response));
        });
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
        let mut served_records = self.served_records;
        let taken = self.update(id, |connection| {
            let mut responses = Vec::new();
            while let Some(request) = connection.pop_complete_request() {
                responses.push(request.into_response(&mut served_records));
            }
            connection.unsent_bytes += responses.iter().map(Bytes::len).sum::<usize>();
            responses
        });
        self.served_records = served_records;
        let responses = taken.unwrap_or_default();
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
        self.request_memory.resize(connection.frames.held_bytes(), 0);
        self.answer_memory.resize(connection.answer_bytes(), 0);
        self.postponed.retain(|&postponed| postponed != id);
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
