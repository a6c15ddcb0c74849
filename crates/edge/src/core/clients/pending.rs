//! Requests of clients that have no response yet, and the responses that follow from the final answers of
//! their records.

use crate::core::responses::{partition_answer, RecordOutcome};
use crate::time::NANOS_PER_MS;
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_kafka::server::{self, PartitionResult};

/// One record of a partition that awaits its response.
#[derive(Debug)]
pub(crate) struct PendingRecord {
    /// The message that was made of the record, or `None` if the record was shed.
    message: Option<u32>,
    /// The final answer of the record, or `None` until there is one.
    outcome: Option<RecordOutcome>,
}

impl PendingRecord {
    /// Creates a record that was accepted as the message with this number.
    pub(crate) fn accepted(message: u32) -> Self {
        PendingRecord { message: Some(message), outcome: None }
    }

    /// Creates a record that already has its final answer.
    pub(crate) fn completed(outcome: RecordOutcome) -> Self {
        PendingRecord { message: None, outcome: Some(outcome) }
    }
}

/// One partition of a Produce request that awaits its response.
#[derive(Debug)]
pub(crate) enum PendingPartition {
    /// No record of the partition was accepted, and the result of the partition is known.
    Rejected(PartitionResult),
    /// The records of the partition were accepted or shed.
    Records { topic: String, partition: i32, records: Vec<PendingRecord> },
}

impl PendingPartition {
    /// Returns the records without a final answer.
    pub(super) fn open_records(&self) -> impl Iterator<Item = &PendingRecord> {
        let records: &[PendingRecord] = match self {
            PendingPartition::Records { records, .. } => records.as_slice(),
            PendingPartition::Rejected(_) => &[],
        };
        records.iter().filter(|record| record.outcome.is_none())
    }

    fn record_mut(&mut self, index: u32) -> Option<&mut PendingRecord> {
        match self {
            PendingPartition::Records { records, .. } => records.get_mut(index as usize),
            PendingPartition::Rejected(_) => None,
        }
    }
}

/// A Produce request that awaits the final answers of its records.
#[derive(Debug)]
pub(crate) struct PendingProduce {
    pub(crate) correlation: i32,
    pub(crate) version: i16,
    pub(crate) partitions: Vec<PendingPartition>,
}

impl PendingProduce {
    /// Encodes the Produce response. The throttle time in it is the longest Retry-After of the partitions,
    /// rounded up to milliseconds. `served_records`, the number of records served before, is the offset of
    /// the first served record and grows by the number of served records.
    fn into_response(self, served_records: &mut i64) -> Bytes {
        let mut retry_after = 0;
        let mut results = Vec::with_capacity(self.partitions.len());
        for pending in self.partitions {
            match pending {
                PendingPartition::Rejected(result) => results.push(result),
                PendingPartition::Records { topic, partition, records } => {
                    let outcomes = final_outcomes(records);
                    let answer = partition_answer(&topic, partition, &outcomes, *served_records);
                    let served = outcomes.iter().filter(|outcome| **outcome == RecordOutcome::Served).count();
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

fn final_outcomes(records: Vec<PendingRecord>) -> Vec<RecordOutcome> {
    records.into_iter().map(|record| record.outcome.unwrap_or(RecordOutcome::Failed)).collect()
}

/// A request without a response.
#[derive(Debug)]
pub(super) enum PendingRequest {
    /// The response is ready, and is sent as soon as the earlier requests of the connection have theirs.
    Ready(Bytes),
    /// The response awaits the final answers of records.
    Produce {
        produce: PendingProduce,
        /// How many records have no final answer.
        open_records: usize,
        /// The earliest deadline of the records, by the monotonic clock; `Time::MAX` if none could be read.
        deadline: Time,
    },
}

impl PendingRequest {
    /// A Produce request whose records have `deadline` as their earliest deadline.
    pub(super) fn produce(produce: PendingProduce, deadline: Time) -> Self {
        let open_records = produce.partitions.iter().flat_map(PendingPartition::open_records).count();
        PendingRequest::Produce { produce, open_records, deadline }
    }

    /// Returns the bytes of the response if it is ready, 0 otherwise.
    pub(super) fn ready_bytes(&self) -> usize {
        match self {
            PendingRequest::Ready(response) => response.len(),
            PendingRequest::Produce { .. } => 0,
        }
    }

    /// Returns when the request must have its response, by the monotonic clock; `Time::MAX` if it is ready.
    pub(super) fn deadline(&self) -> Time {
        match self {
            PendingRequest::Ready(_) => Time::MAX,
            PendingRequest::Produce { deadline, .. } => *deadline,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        match self {
            PendingRequest::Ready(_) => true,
            PendingRequest::Produce { open_records, .. } => *open_records == 0,
        }
    }

    /// Returns the messages without a final answer that the request awaits.
    pub(super) fn open_messages(&self) -> impl Iterator<Item = u32> + '_ {
        let partitions: &[PendingPartition] = match self {
            PendingRequest::Ready(_) => &[],
            PendingRequest::Produce { produce, .. } => produce.partitions.as_slice(),
        };
        partitions.iter().flat_map(PendingPartition::open_records).filter_map(|record| record.message)
    }

    /// Sets the final answer of a record. Does nothing if it has one already or the request has no such
    /// record.
    pub(super) fn complete_record(&mut self, partition: u32, record: u32, outcome: RecordOutcome) {
        let PendingRequest::Produce { produce, open_records, .. } = self else { return };
        let Some(partition) = produce.partitions.get_mut(partition as usize) else { return };
        let Some(record) = partition.record_mut(record) else { return };
        if record.outcome.is_none() {
            record.outcome = Some(outcome);
            *open_records -= 1;
        }
    }

    /// Returns the response. `served_records` is how many records were served before. It is the offset of the
    /// first served record in this response, and grows by the number of served records.
    pub(super) fn into_response(self, served_records: &mut i64) -> Bytes {
        match self {
            PendingRequest::Ready(response) => response,
            PendingRequest::Produce { produce, .. } => produce.into_response(served_records),
        }
    }
}
