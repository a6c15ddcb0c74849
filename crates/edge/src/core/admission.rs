//! Admission control: validates the partitions of a Produce request, and sheds load when the limits on
//! messages or bytes in flight are reached or the courier drains.
//!
//! A partition is accepted completely or not at all. Admission owns the sequence of generated message ids,
//! and the counters of messages that expired before they arrived and of client clocks that are ahead. It
//! stores no message and has no part in delivery.

mod error;
mod headers;

use super::clock::ClockReadings;
use super::endpoints::EndpointDirectory;
use super::in_flight::Usage;
use crate::delivery_events::RejectionReason;
use crate::settings::Settings;
use bytes::Bytes;
use error::PartitionError;
use headers::{read_all_headers, RecordHeaders};
use linnetcart::Time;
use linnetcart_kafka::server::{PartitionBatch, PartitionResult};
use linnetcart_kafka::{Record, RecordHeader};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The header with a message's id, which the courier reports as the message's name. An id is generated for a
/// record without it.
const MESSAGE_ID: &str = "message-id";

/// The supported `acks` values: -1 (all in-sync replicas) and 1 (the leader). Both wait for the final
/// answers.
const SUPPORTED_ACKS: [i16; 2] = [-1, 1];

/// The options of a Produce request that apply to all its partitions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProduceOptions {
    pub(crate) acks: i16,
    pub(crate) transactional: bool,
}

/// The state that an admission decision depends on.
pub(crate) struct AdmissionContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointDirectory,
    pub(crate) clock: ClockReadings,
    /// The messages in flight and their bytes, against which the limits are checked.
    pub(crate) usage: Usage,
    /// The memory that messages in flight may take, in bytes.
    pub(crate) message_memory: usize,
    pub(crate) draining: bool,
}

/// A record that becomes a message.
#[derive(Debug)]
pub(crate) struct AdmittedRecord {
    /// The record with its `message-id` header.
    pub(crate) record: Record,
    pub(crate) name: Bytes,
    /// A hash of the record's key, 0 if it has none. In an ordered class, messages with the same ordering key
    /// are delivered in order.
    pub(crate) ordering_key: u64,
    /// When the message must have its final answer, by the monotonic clock.
    pub(crate) deadline: Time,
    /// The index of the message's tenant in the settings; 0 if there are no tenants or the record names none.
    pub(crate) tenant: u32,
}

/// The class that a partition's topic names, and the destination whose number is the partition's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResolvedPartition {
    pub(crate) class: u8,
    pub(crate) destination: u32,
}

/// The admission decision on a partition, which applies to all its records.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// The partition can never be accepted. The result has the reason.
    Invalid(PartitionResult),
    /// The partition is shed because a limit is reached or the courier drains.
    Shed { resolved: ResolvedPartition, record_count: usize, reason: RejectionReason },
    /// All records of the partition are accepted.
    Admitted { resolved: ResolvedPartition, records: Vec<AdmittedRecord> },
}

/// A partition of a Produce request with the admission decision on it.
#[derive(Debug)]
pub(crate) struct CheckedPartition {
    pub(crate) topic: String,
    pub(crate) partition: i32,
    /// The earliest deadline of the partition's records, by the monotonic clock; `None` unless all their
    /// headers were read. Shed records have a deadline too: the response to them waits for the responses to
    /// earlier requests on the connection, but not beyond this time.
    pub(crate) deadline: Option<Time>,
    pub(crate) decision: AdmissionDecision,
}

/// Decides on the partitions of Produce requests. Counts the records that expired before they arrived, and
/// those from clients whose clock is ahead.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The prefix of generated message ids, unique to this process.
    name_prefix: String,
    /// How many message ids have been generated. A generated id is `name_prefix` followed by this count.
    generated_names: u64,
    expired_on_arrival: u64,
    clocks_ahead: u64,
}

impl Admission {
    /// Creates an admission that begins generated message ids with `name_prefix`.
    pub(crate) fn new(name_prefix: String) -> Self {
        Admission { name_prefix, generated_names: 0, expired_on_arrival: 0, clocks_ahead: 0 }
    }

    /// Returns how many messages had expired when they arrived.
    pub(crate) fn expired_on_arrival(&self) -> u64 {
        self.expired_on_arrival
    }

    /// Returns how many messages came from a client whose clock was ahead by more than the permitted skew.
    pub(crate) fn clocks_ahead(&self) -> u64 {
        self.clocks_ahead
    }

    /// Decides whether one partition of a Produce request is accepted, shed or invalid.
    pub(crate) fn check(
        &mut self,
        options: ProduceOptions,
        batch: PartitionBatch,
        context: &AdmissionContext<'_>,
    ) -> CheckedPartition {
        let PartitionBatch { topic, partition, records } = batch;
        let mut deadline = None;
        let decided = match resolve_partition(options, &topic, partition, &records, context) {
            Err(error) => Err(error),
            Ok(resolved) => self.check_records(resolved, records.unwrap_or_default(), context, &mut deadline),
        };
        let decision =
            decided.unwrap_or_else(|error| AdmissionDecision::Invalid(error.result(&topic, partition)));
        CheckedPartition { topic, partition, deadline, decision }
    }

    /// Decides on the records of a partition whose class and destination are known. Sets `earliest_deadline`
    /// once all headers have been read.
    fn check_records(
        &mut self,
        resolved: ResolvedPartition,
        records: Vec<Record>,
        context: &AdmissionContext<'_>,
        earliest_deadline: &mut Option<Time>,
    ) -> Result<AdmissionDecision, PartitionError> {
        let headers = read_all_headers(&records, resolved.class, context)
            .map_err(|records| PartitionError::InvalidRecords { records })?;
        *earliest_deadline = headers.iter().map(|header| header.deadline.deadline).min();
        self.update_deadline_counters(&headers, context.clock.now());
        match shed_reason(&records, context)? {
            Some(reason) => Ok(AdmissionDecision::Shed { resolved, record_count: records.len(), reason }),
            None => Ok(self.admit(resolved, records, headers)),
        }
    }

    /// Counts the records whose deadline is at or before `now`, and those from clients whose clock is ahead.
    fn update_deadline_counters(&mut self, headers: &[RecordHeaders], now: Time) {
        for header in headers {
            self.expired_on_arrival += u64::from(header.deadline.deadline <= now);
            self.clocks_ahead += u64::from(header.deadline.clock_ahead);
        }
    }

    fn admit(
        &mut self,
        resolved: ResolvedPartition,
        records: Vec<Record>,
        headers: Vec<RecordHeaders>,
    ) -> AdmissionDecision {
        let mut admitted = Vec::with_capacity(records.len());
        for (mut record, header) in records.into_iter().zip(headers) {
            record.detach();
            let name = self.ensure_message_id(&mut record);
            let ordering_key = ordering_key(&record);
            let deadline = header.deadline.deadline;
            admitted.push(AdmittedRecord { record, name, ordering_key, deadline, tenant: header.tenant });
        }
        AdmissionDecision::Admitted { resolved, records: admitted }
    }

    /// Returns the message id of a record. If it has none, one is generated and added as a header.
    fn ensure_message_id(&mut self, record: &mut Record) -> Bytes {
        if let Some(name) = record.header(MESSAGE_ID) {
            return name.clone();
        }
        self.generated_names += 1;
        let name = Bytes::from(format!("{}{}", self.name_prefix, self.generated_names));
        record.headers.push(RecordHeader::new(MESSAGE_ID, name.clone()));
        name
    }
}

/// Returns the ordering key of a record: a hash of its key that is never 0, or 0 if it has no key.
fn ordering_key(record: &Record) -> u64 {
    match &record.key {
        Some(key) if !key.is_empty() => {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            hasher.finish().max(1)
        }
        _ => 0,
    }
}

/// Returns the class and destination of a partition, or why the partition can never be accepted.
fn resolve_partition(
    options: ProduceOptions,
    topic: &str,
    partition: i32,
    records: &Result<Vec<Record>, i16>,
    context: &AdmissionContext<'_>,
) -> Result<ResolvedPartition, PartitionError> {
    if !SUPPORTED_ACKS.contains(&options.acks) {
        return Err(PartitionError::UnsupportedAcks);
    }
    if options.transactional {
        return Err(PartitionError::Transactional);
    }
    if let Err(code) = records {
        return Err(PartitionError::UnreadableBatch { code: *code });
    }
    let class = context.settings.class(topic).ok_or(PartitionError::UnknownClass)?;
    let destination = context.endpoints.destination(partition).ok_or(PartitionError::UnknownDestination)?;
    Ok(ResolvedPartition { class, destination })
}

/// Returns why these records are shed, or `None` if they are not. They are shed if
/// `in flight + records > limit`, in messages or bytes, or if the courier drains. Records that exceed a limit
/// on their own could never be accepted, which is an error.
fn shed_reason(
    records: &[Record],
    context: &AdmissionContext<'_>,
) -> Result<Option<RejectionReason>, PartitionError> {
    let limits = &context.settings.limits;
    let (max_messages, max_bytes) = (limits.max_in_flight as usize, limits.max_in_flight_bytes);
    let bytes: usize = records.iter().map(Record::size).sum();
    let max_memory = context.message_memory;
    let exceeds_memory = Usage { messages: records.len(), bytes }.held_bytes() > max_memory;
    if records.len() > max_messages || bytes > max_bytes || exceeds_memory {
        return Err(PartitionError::TooLarge { max_messages, max_bytes });
    }
    let too_many = context.usage.messages + records.len() > max_messages;
    let too_large = context.usage.bytes + bytes > max_bytes;
    let with_records =
        Usage { messages: context.usage.messages + records.len(), bytes: context.usage.bytes + bytes };
    if too_many || too_large || with_records.held_bytes() > max_memory {
        return Ok(Some(RejectionReason::Overloaded));
    }
    Ok(context.draining.then_some(RejectionReason::Draining))
}
