//! Admission: validation of the partitions of a Produce request, and load shedding at the bounds.
//!
//! A partition is accepted as a whole or not at all. Admission knows nothing of connections to endpoints and keeps
//! no message.

use super::clock::ClockReadings;
use super::deadline::{message_deadline, ClientClocks, MessageDeadline, StatedTimes};
use super::endpoints::EndpointDirectory;
use super::in_flight::Usage;
use super::responses::rejected_partition;
use crate::delivery_events::RejectionReason;
use crate::settings::Settings;
use crate::time::NANOS_PER_MS;
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_kafka::codes;
use linnetcart_kafka::server::{PartitionBatch, PartitionResult};
use linnetcart_kafka::Record;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The header with a message's name; it is made up where it is absent.
const MESSAGE_ID: &str = "message-id";
/// The header with the time that a message has left when it is submitted.
const DEADLINE_MS: &str = "deadline-ms";
/// The header with a message's deadline, in milliseconds since 1970.
const DEADLINE_AT_MS: &str = "deadline-at-ms";
/// The header with a message's tenant.
const TENANT: &str = "tenant";

/// `acks` of a producer that waits for all replicas, and for the leader.
const SUPPORTED_ACKS: [i16; 2] = [-1, 1];

/// Why a record's headers cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum HeaderError {
    #[error("header {name}: `{text}` is no whole number of milliseconds")]
    Duration { name: &'static str, text: String },
    #[error("header {name}: `{text}` is no whole number of milliseconds since 1970")]
    Timestamp { name: &'static str, text: String },
    #[error("header tenant: `{name}` is not in the settings")]
    UnknownTenant { name: String },
}

/// What the headers of a record say.
#[derive(Clone, Copy, Debug)]
struct RecordHeaders {
    deadline: MessageDeadline,
    tenant: u32,
}

/// What a Produce request says of all its partitions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProduceOptions {
    pub(crate) acks: i16,
    pub(crate) transactional: bool,
}

/// What admission looks at.
pub(crate) struct AdmissionContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a EndpointDirectory,
    pub(crate) clock: ClockReadings,
    /// Messages in flight.
    pub(crate) usage: Usage,
    pub(crate) draining: bool,
}

/// A record that becomes a message.
#[derive(Debug)]
pub(crate) struct AdmittedRecord {
    /// The record with its message-id.
    pub(crate) record: Record,
    pub(crate) name: Bytes,
    /// Messages with the same key are delivered in turn; 0 for none.
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

/// What becomes of a partition.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// It cannot be accepted, now or later.
    Invalid(PartitionResult),
    /// A bound is reached or the courier drains.
    Shed { route: Route, record_count: usize, reason: RejectionReason },
    /// All its records are accepted.
    Admitted { route: Route, records: Vec<AdmittedRecord> },
}

/// A partition that was checked.
#[derive(Debug)]
pub(crate) struct CheckedPartition {
    pub(crate) topic: String,
    pub(crate) partition: i32,
    /// The earliest deadline of its records, where they could be read. Also what is shed is answered by then,
    /// whatever stands before it on its connection.
    pub(crate) deadline: Option<Time>,
    pub(crate) decision: AdmissionDecision,
}

#[derive(Debug)]
pub(crate) struct Admission {
    /// Distinguishes generated names of this process from those of others.
    name_prefix: String,
    generated_names: u64,
    expired_on_arrival: u64,
    clocks_ahead: u64,
}

impl Admission {
    /// `name_prefix`: what the names begin with that messages without a name are given.
    pub(crate) fn new(name_prefix: String) -> Self {
        Admission { name_prefix, generated_names: 0, expired_on_arrival: 0, clocks_ahead: 0 }
    }

    /// Messages that had expired when they arrived.
    pub(crate) fn expired_on_arrival(&self) -> u64 {
        self.expired_on_arrival
    }

    /// Messages whose client's clock was ahead by more than the permitted skew.
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
        let invalid = |code: i16, text: &str| {
            let result = rejected_partition(&topic, partition, code, text);
            (None, AdmissionDecision::Invalid(result))
        };
        let class = context.settings.class(&topic);
        let destination = context.endpoints.destination(partition);
        let (deadline, decision) = match (records, class, destination) {
            _ if !SUPPORTED_ACKS.contains(&options.acks) => {
                invalid(codes::INVALID_REQUIRED_ACKS, "acks must be all or 1")
            }
            _ if options.transactional => {
                invalid(codes::TRANSACTIONAL_ID_AUTHORIZATION_FAILED, "transactions are not offered")
            }
            (Err(code), ..) => invalid(code, "the batch cannot be read"),
            (_, None, _) => invalid(codes::UNKNOWN_TOPIC_OR_PARTITION, "no class has this name"),
            (_, _, None) => invalid(codes::UNKNOWN_TOPIC_OR_PARTITION, "the list has no such destination"),
            (Ok(records), Some(class), Some(destination)) => {
                let route = Route { class, destination };
                match read_all_headers(&records, class, context) {
                    Err(errors) => (None, invalid_records(&topic, partition, errors)),
                    Ok(headers) => {
                        let earliest = headers.iter().map(|h| h.deadline.deadline).min();
                        self.count_clocks(&headers, context.clock.now());
                        let decision = match bound_reached(&topic, partition, route, &records, context) {
                            Some(decision) => decision,
                            None => self.admit(route, records, headers),
                        };
                        (earliest, decision)
                    }
                }
            }
        };
        CheckedPartition { topic, partition, deadline, decision }
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

    /// The name of a message; one that is made up is put into its record.
    fn name_of(&mut self, record: &mut Record) -> Bytes {
        if let Some(name) = record.header(MESSAGE_ID) {
            return name.clone();
        }
        self.generated_names += 1;
        let name = Bytes::from(format!("{}{}", self.name_prefix, self.generated_names));
        record.headers.push((MESSAGE_ID.into(), Some(name.clone())));
        name
    }
}

/// The ordering key of a record: a hash of its key that is never 0, or 0 for none.
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

/// Which of the bounds forbids to accept these records, if one does.
fn bound_reached(
    topic: &str,
    partition: i32,
    route: Route,
    records: &[Record],
    context: &AdmissionContext<'_>,
) -> Option<AdmissionDecision> {
    let limits = &context.settings.limits;
    let (max_messages, max_bytes) = (limits.max_in_flight as usize, limits.max_in_flight_bytes);
    let record_count = records.len();
    let bytes: usize = records.iter().map(Record::size).sum();
    if record_count > max_messages || bytes > max_bytes {
        let text = format!("a batch holds at most {max_messages} records and {max_bytes} bytes here");
        let result = rejected_partition(topic, partition, codes::MESSAGE_TOO_LARGE, text);
        return Some(AdmissionDecision::Invalid(result));
    }
    let overloaded =
        context.usage.messages + record_count > max_messages || context.usage.bytes + bytes > max_bytes;
    let reason = match (overloaded, context.draining) {
        (true, _) => RejectionReason::Overloaded,
        (false, true) => RejectionReason::Draining,
        (false, false) => return None,
    };
    Some(AdmissionDecision::Shed { route, record_count, reason })
}

/// An error of a record, with its index in the batch.
type IndexedError = (i32, HeaderError);

/// The headers of all records, or the errors of those that cannot be used.
fn read_all_headers(
    records: &[Record],
    class: u8,
    context: &AdmissionContext<'_>,
) -> Result<Vec<RecordHeaders>, Vec<IndexedError>> {
    let mut headers = Vec::with_capacity(records.len());
    let mut errors = Vec::new();
    for (index, record) in records.iter().enumerate() {
        match read_headers(record, class, context) {
            Ok(header) => headers.push(header),
            Err(error) => errors.push((index as i32, error)),
        }
    }
    if errors.is_empty() {
        Ok(headers)
    } else {
        Err(errors)
    }
}

fn invalid_records(topic: &str, partition: i32, errors: Vec<IndexedError>) -> AdmissionDecision {
    let text = "nothing of this batch was taken";
    let mut result = rejected_partition(topic, partition, codes::INVALID_RECORD, text);
    result.records = errors.into_iter().map(|(index, error)| (index, error.to_string())).collect();
    AdmissionDecision::Invalid(result)
}

fn read_headers(
    record: &Record,
    class: u8,
    context: &AdmissionContext<'_>,
) -> Result<RecordHeaders, HeaderError> {
    let settings = context.settings;
    let time_left =
        read_millis(record, DEADLINE_MS).map_err(|text| HeaderError::Duration { name: DEADLINE_MS, text })?;
    let stated_deadline = read_millis(record, DEADLINE_AT_MS)
        .map_err(|text| HeaderError::Timestamp { name: DEADLINE_AT_MS, text })?;
    let created_ms = u64::try_from(record.timestamp).ok().filter(|&ms| ms > 0);
    let stated = StatedTimes {
        time_left,
        deadline: stated_deadline,
        created_at: created_ms.map(|ms| ms.saturating_mul(NANOS_PER_MS)),
    };
    let clocks = ClientClocks {
        max_skew: settings.clocks.max_skew_ms * NANOS_PER_MS,
        timestamps_are_creation_times: settings.clocks.timestamps_are_creation_times,
    };
    let longest = settings.classes[usize::from(class)].deadline();
    let deadline = message_deadline(clocks, context.clock, stated, longest);
    Ok(RecordHeaders { deadline, tenant: read_tenant(record, settings)? })
}

fn header_text(record: &Record, name: &str) -> Option<String> {
    record.header(name).map(|value| String::from_utf8_lossy(value).into_owned())
}

/// A header in milliseconds, as nanoseconds; the error is its text.
fn read_millis(record: &Record, name: &str) -> Result<Option<Time>, String> {
    let Some(text) = header_text(record, name) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) => Ok(Some(ms.saturating_mul(NANOS_PER_MS))),
        Err(_) => Err(text),
    }
}

/// The number of the record's tenant, 0 where there are no tenants or none is named.
fn read_tenant(record: &Record, settings: &Settings) -> Result<u32, HeaderError> {
    if settings.tenants.is_empty() {
        return Ok(0);
    }
    let Some(name) = header_text(record, TENANT) else { return Ok(0) };
    match settings.tenants.iter().position(|tenant| tenant.name == name) {
        Some(index) => Ok(index as u32),
        None => Err(HeaderError::UnknownTenant { name }),
    }
}
