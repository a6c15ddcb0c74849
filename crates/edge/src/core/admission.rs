//! Admission: validation of the partitions of a Produce request, and load shedding at the limits.
//!
//! A partition is accepted completely or not at all. Admission owns the generated message names and its
//! counters. It stores no message and has no part in delivery.

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

/// The header with a message's name. A name is generated for a record without it.
const MESSAGE_ID: &str = "message-id";

/// The supported `acks` values: -1 waits for all replicas, 1 for the leader.
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
    /// The messages in flight.
    pub(crate) usage: Usage,
    pub(crate) draining: bool,
}

/// A record that becomes a message.
#[derive(Debug)]
pub(crate) struct AdmittedRecord {
    /// The record with its `message-id` header.
    pub(crate) record: Record,
    pub(crate) name: Bytes,
    /// Messages with the same key are delivered in order. 0 means no key.
    pub(crate) ordering_key: u64,
    pub(crate) deadline: Time,
    pub(crate) tenant: u32,
}

/// The class and destination of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) class: u8,
    pub(crate) destination: u32,
}

/// The decision on a partition.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// It can never be accepted.
    Invalid(PartitionResult),
    /// It is shed because a limit is reached or the courier drains.
    Shed { route: Route, record_count: usize, reason: RejectionReason },
    /// All its records are accepted.
    Admitted { route: Route, records: Vec<AdmittedRecord> },
}

/// A partition with the decision on it.
#[derive(Debug)]
pub(crate) struct CheckedPartition {
    pub(crate) topic: String,
    pub(crate) partition: i32,
    /// The earliest deadline of its records, or `None` if they could not be read. Shed records are answered
    /// by this time too, whichever requests precede theirs on the connection.
    pub(crate) deadline: Option<Time>,
    pub(crate) decision: AdmissionDecision,
}

/// The admission of records.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The prefix of generated names, which distinguishes them from those of other processes.
    name_prefix: String,
    generated_names: u64,
    expired_on_arrival: u64,
    clocks_ahead: u64,
}

impl Admission {
    /// Creates an admission that begins generated message names with `name_prefix`.
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

    /// Decides on one partition of a Produce request.
    pub(crate) fn check(
        &mut self,
        options: ProduceOptions,
        batch: PartitionBatch,
        context: &AdmissionContext<'_>,
    ) -> CheckedPartition {
        let PartitionBatch { topic, partition, records } = batch;
        let mut deadline = None;
        let decided = match resolve_route(options, &topic, partition, &records, context) {
            Err(error) => Err(error),
            Ok(route) => self.check_records(route, records.unwrap_or_default(), context, &mut deadline),
        };
        let decision =
            decided.unwrap_or_else(|error| AdmissionDecision::Invalid(error.result(&topic, partition)));
        CheckedPartition { topic, partition, deadline, decision }
    }

    /// Decides on readable records that have a route. Sets `earliest_deadline` once it is known.
    fn check_records(
        &mut self,
        route: Route,
        records: Vec<Record>,
        context: &AdmissionContext<'_>,
        earliest_deadline: &mut Option<Time>,
    ) -> Result<AdmissionDecision, PartitionError> {
        let headers = read_all_headers(&records, route.class, context)
            .map_err(|records| PartitionError::InvalidRecords { records })?;
        *earliest_deadline = headers.iter().map(|header| header.deadline.deadline).min();
        self.count_clocks(&headers, context.clock.now());
        match shed_reason(&records, context)? {
            Some(reason) => Ok(AdmissionDecision::Shed { route, record_count: records.len(), reason }),
            None => Ok(self.admit(route, records, headers)),
        }
    }

    fn count_clocks(&mut self, headers: &[RecordHeaders], now: Time) {
        for header in headers {
            self.expired_on_arrival += u64::from(header.deadline.deadline <= now);
            self.clocks_ahead += u64::from(header.deadline.clock_ahead);
        }
    }

    fn admit(
        &mut self,
        route: Route,
        records: Vec<Record>,
        headers: Vec<RecordHeaders>,
    ) -> AdmissionDecision {
        let mut admitted = Vec::with_capacity(records.len());
        for (mut record, header) in records.into_iter().zip(headers) {
            let name = self.name_of(&mut record);
            let ordering_key = ordering_key(&record);
            let deadline = header.deadline.deadline;
            admitted.push(AdmittedRecord { record, name, ordering_key, deadline, tenant: header.tenant });
        }
        AdmissionDecision::Admitted { route, records: admitted }
    }

    /// Returns the name of a message. A generated name is added to the record as a header.
    fn name_of(&mut self, record: &mut Record) -> Bytes {
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
fn resolve_route(
    options: ProduceOptions,
    topic: &str,
    partition: i32,
    records: &Result<Vec<Record>, i16>,
    context: &AdmissionContext<'_>,
) -> Result<Route, PartitionError> {
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
    Ok(Route { class, destination })
}

/// Returns why these records are shed, or `None` if they are not. It is an error if they exceed the limits
/// even when nothing else is in flight.
fn shed_reason(
    records: &[Record],
    context: &AdmissionContext<'_>,
) -> Result<Option<RejectionReason>, PartitionError> {
    let limits = &context.settings.limits;
    let (max_messages, max_bytes) = (limits.max_in_flight as usize, limits.max_in_flight_bytes);
    let bytes: usize = records.iter().map(Record::size).sum();
    if records.len() > max_messages || bytes > max_bytes {
        return Err(PartitionError::TooLarge { max_messages, max_bytes });
    }
    let too_many = context.usage.messages + records.len() > max_messages;
    let too_large = context.usage.bytes + bytes > max_bytes;
    if too_many || too_large {
        return Ok(Some(RejectionReason::Overloaded));
    }
    Ok(context.draining.then_some(RejectionReason::Draining))
}
