//! Client connections: their frames, the requests that wait for a response, and the order of responses.

use super::responses::{partition_answer, RecordOutcome};
use super::ProtocolError;
use crate::settings::Limits;
use crate::time::NANOS_PER_MS;
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_kafka::server::{self, PartitionResult, Request};
use linnetcart_kafka::Frames;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A client's connection, as the shell numbers them.
pub type ClientId = u64;

/// Which record of which request a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordPosition {
    pub(crate) client: ClientId,
    /// The request, counted on the connection.
    pub(crate) request: u64,
    /// The partition within the request.
    pub(crate) partition: u32,
    /// The record within the partition.
    pub(crate) record: u32,
}

/// One partition of a Produce request that waits for its response.
#[derive(Debug)]
pub(crate) enum PendingPartition {
    /// Its result is known: none of its records was accepted.
    Rejected(PartitionResult),
    /// Its records were accepted or shed.
    Records { topic: String, partition: i32, records: Vec<PendingRecord> },
}

/// One record of a partition that waits for its response.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    /// The message that it became, unless it was shed.
    pub(crate) message: Option<u32>,
    /// Its final answer, once there is one.
    pub(crate) outcome: Option<RecordOutcome>,
}

impl PendingRecord {
    /// A record that became a message.
    pub(crate) fn accepted(message: u32) -> Self {
        PendingRecord { message: Some(message), outcome: None }
    }

    /// A record that has its final answer already.
    pub(crate) fn completed(outcome: RecordOutcome) -> Self {
        PendingRecord { message: None, outcome: Some(outcome) }
    }
}

impl PendingPartition {
    fn open_records(&self) -> impl Iterator<Item = &PendingRecord> {
        let records: &[PendingRecord] = match self {
            PendingPartition::Records { records, .. } => records.as_slice(),
            PendingPartition::Rejected(_) => &[],
        };
        records.iter().filter(|record| record.outcome.is_none())
    }
}

/// A Produce request that waits for the final answers of its records.
#[derive(Debug)]
pub(crate) struct PendingProduce {
    pub(crate) correlation: i32,
    pub(crate) version: i16,
    pub(crate) partitions: Vec<PendingPartition>,
}

impl PendingProduce {
    fn into_response(self, served_records: &mut i64) -> Bytes {
        let mut retry_after = 0;
        let mut results = Vec::with_capacity(self.partitions.len());
        for pending in self.partitions {
            match pending {
                PendingPartition::Rejected(result) => results.push(result),
                PendingPartition::Records { topic, partition, records } => {
                    let outcomes: Vec<RecordOutcome> =
                        records.into_iter().map(|r| r.outcome.unwrap_or(RecordOutcome::Failed)).collect();
                    let answer = partition_answer(&topic, partition, &outcomes, *served_records);
                    let served = outcomes.iter().filter(|o| **o == RecordOutcome::Served).count();
                    *served_records += served as i64;
                    retry_after = retry_after.max(answer.retry_after);
                    results.push(answer.result);
                }
            }
        }
        let throttle_ms = i32::try_from(retry_after.div_ceil(NANOS_PER_MS)).unwrap_or(i32::MAX);
        server::produce(self.correlation, self.version, &results, throttle_ms, None)
    }
}

#[derive(Debug)]
enum PendingRequest {
    /// Answered as soon as the requests before it are.
    Ready(Bytes),
    Produce {
        produce: PendingProduce,
        /// Records without a final answer.
        open_records: usize,
        /// When the first of its records must have its final answer.
        deadline: Time,
    },
}

impl PendingRequest {
    fn deadline(&self) -> Time {
        match self {
            PendingRequest::Ready(_) => Time::MAX,
            PendingRequest::Produce { deadline, .. } => *deadline,
        }
    }

    fn is_complete(&self) -> bool {
        match self {
            PendingRequest::Ready(_) => true,
            PendingRequest::Produce { open_records, .. } => *open_records == 0,
        }
    }

    /// Messages that the request still waits for.
    fn open_messages(&self) -> impl Iterator<Item = u32> + '_ {
        let partitions: &[PendingPartition] = match self {
            PendingRequest::Ready(_) => &[],
            PendingRequest::Produce { produce, .. } => produce.partitions.as_slice(),
        };
        partitions.iter().flat_map(PendingPartition::open_records).filter_map(|record| record.message)
    }
}

#[derive(Debug)]
struct ClientConnection {
    frames: Frames,
    requests: VecDeque<PendingRequest>,
    /// The number of the request at the front.
    first_request: u64,
    /// Bytes of responses that the system has not taken yet.
    unsent_bytes: usize,
    /// The connection is not read because of a bound.
    paused: bool,
    /// The client sends no more.
    half_closed: bool,
    /// The earliest deadline of its requests, as it stands in the index.
    deadline: Time,
}

impl ClientConnection {
    fn new(max_frame_bytes: usize) -> Self {
        ClientConnection {
            frames: Frames::new(max_frame_bytes),
            requests: VecDeque::new(),
            first_request: 0,
            unsent_bytes: 0,
            paused: false,
            half_closed: false,
            deadline: Time::MAX,
        }
    }

    fn open_messages(&self) -> impl Iterator<Item = u32> + '_ {
        self.requests.iter().flat_map(PendingRequest::open_messages)
    }
}

/// How a client's connection is read from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadState {
    /// A bound is reached; nothing more is read.
    Paused,
    /// It is read.
    Reading,
}

/// The read state, and whether the shell must act on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadUpdate {
    pub(crate) state: ReadState,
    pub(crate) changed: bool,
}

/// All client connections.
#[derive(Debug, Default)]
pub(crate) struct ClientConnections {
    connections: BTreeMap<ClientId, ClientConnection>,
    /// Connections by the earliest deadline of their requests.
    deadlines: BTreeSet<(Time, ClientId)>,
    /// Records served so far, which gives their offsets.
    served_records: i64,
}

impl ClientConnections {
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn paused_count(&self) -> usize {
        self.connections.values().filter(|connection| connection.paused).count()
    }

    /// Every request has its response.
    pub(crate) fn all_answered(&self) -> bool {
        self.connections.values().all(|connection| connection.requests.is_empty())
    }

    pub(crate) fn open(&mut self, id: ClientId, max_frame_bytes: usize) {
        self.connections.insert(id, ClientConnection::new(max_frame_bytes));
    }

    /// Adds received bytes; false if there is no such connection.
    pub(crate) fn receive(&mut self, id: ClientId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.frames.push(bytes);
        true
    }

    /// The client sends no more; false if there is no such connection.
    pub(crate) fn half_close(&mut self, id: ClientId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.half_closed = true;
        true
    }

    pub(crate) fn set_unsent_bytes(&mut self, id: ClientId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unsent_bytes = bytes;
        }
    }

    pub(crate) fn is_paused(&self, id: ClientId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.paused)
    }

    /// The client sends no more and has all its responses.
    pub(crate) fn is_finished(&self, id: ClientId) -> bool {
        let finished = |c: &ClientConnection| c.half_closed && c.requests.is_empty();
        self.connections.get(&id).is_some_and(finished)
    }

    /// Pauses or resumes reading by the bounds; `None` if there is no such connection.
    pub(crate) fn update_reading(&mut self, id: ClientId, limits: &Limits) -> Option<ReadUpdate> {
        let connection = self.connections.get_mut(&id)?;
        let paused = connection.requests.len() >= limits.max_pipelined
            || connection.unsent_bytes >= limits.max_unsent_bytes;
        let changed = paused != connection.paused;
        connection.paused = paused;
        let state = if paused { ReadState::Paused } else { ReadState::Reading };
        Some(ReadUpdate { state, changed })
    }

    /// The next complete request of a client.
    pub(crate) fn next_request(&mut self, id: ClientId) -> Result<Option<Request>, ProtocolError> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(None) };
        match connection.frames.next_frame()? {
            Some(frame) => Ok(Some(server::read(&frame)?)),
            None => Ok(None),
        }
    }

    /// The number that the next request of this client will have.
    pub(crate) fn next_request_number(&self, id: ClientId) -> u64 {
        self.connections.get(&id).map_or(0, |c| c.first_request + c.requests.len() as u64)
    }

    /// Queues a response that is sent as soon as those before it are.
    pub(crate) fn enqueue_response(&mut self, id: ClientId, response: Bytes) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests.push_back(PendingRequest::Ready(response));
        }
    }

    /// Queues a request that waits for its records; the first of them must have its final answer by `deadline`.
    pub(crate) fn enqueue_produce(&mut self, id: ClientId, produce: PendingProduce, deadline: Time) {
        let open_records = produce.partitions.iter().flat_map(PendingPartition::open_records).count();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests.push_back(PendingRequest::Produce { produce, open_records, deadline });
        }
        self.update_deadline(id);
    }

    /// Notes the final answer of a record.
    pub(crate) fn complete(&mut self, position: RecordPosition, outcome: RecordOutcome) {
        let Some(connection) = self.connections.get_mut(&position.client) else { return };
        let Some(index) = position.request.checked_sub(connection.first_request) else { return };
        let Some(PendingRequest::Produce { produce, open_records, .. }) =
            connection.requests.get_mut(index as usize)
        else {
            return;
        };
        let Some(PendingPartition::Records { records, .. }) =
            produce.partitions.get_mut(position.partition as usize)
        else {
            return;
        };
        let Some(record) = records.get_mut(position.record as usize) else { return };
        if record.outcome.is_none() {
            record.outcome = Some(outcome);
            *open_records -= 1;
        }
    }

    /// The responses that may be sent now, in the order of the requests.
    pub(crate) fn take_responses(&mut self, id: ClientId) -> Vec<Bytes> {
        let mut responses = Vec::new();
        let Some(connection) = self.connections.get_mut(&id) else { return responses };
        while connection.requests.front().is_some_and(PendingRequest::is_complete) {
            let Some(request) = connection.requests.pop_front() else { break };
            connection.first_request += 1;
            responses.push(match request {
                PendingRequest::Ready(response) => response,
                PendingRequest::Produce { produce, .. } => produce.into_response(&mut self.served_records),
            });
        }
        connection.unsent_bytes += responses.iter().map(Bytes::len).sum::<usize>();
        if !responses.is_empty() {
            self.update_deadline(id);
        }
        responses
    }

    /// The earliest deadline of any request.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Messages that need their final answer by `now`: those of a request whose deadline is reached, and those of
    /// older requests on its connection, since responses go in order and an older one would hold it back.
    pub(crate) fn overdue_messages(&self, now: Time) -> Vec<u32> {
        let mut overdue = Vec::new();
        for (_, id) in self.deadlines.range(..=(now, ClientId::MAX)) {
            let Some(connection) = self.connections.get(id) else { continue };
            let last_overdue = connection.requests.iter().rposition(|request| request.deadline() <= now);
            if let Some(last) = last_overdue {
                let requests = connection.requests.iter().take(last + 1);
                overdue.extend(requests.flat_map(PendingRequest::open_messages));
            }
        }
        overdue
    }

    /// Forgets a connection; the messages that nobody waits for any more.
    pub(crate) fn remove(&mut self, id: ClientId) -> Vec<u32> {
        let Some(connection) = self.connections.remove(&id) else { return Vec::new() };
        self.deadlines.remove(&(connection.deadline, id));
        connection.open_messages().collect()
    }

    fn update_deadline(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let earliest = connection.requests.iter().map(PendingRequest::deadline).min().unwrap_or(Time::MAX);
        if earliest == connection.deadline {
            return;
        }
        self.deadlines.remove(&(connection.deadline, id));
        connection.deadline = earliest;
        if earliest != Time::MAX {
            self.deadlines.insert((earliest, id));
        }
    }
}
