//! Records, and their encoding in record batches.

use crate::codes::{self, Malformed};
use crate::shape::{self, BatchHead, BATCH_MAGIC, NO_COMPRESSION};
use bytes::{Bytes, BytesMut};
use kafka_protocol::protocol::StrBytes;
use kafka_protocol::records::{
    Compression, Record as WireRecord, RecordBatchDecoder, RecordBatchEncoder, RecordEncodeOptions,
    TimestampType, NO_PARTITION_LEADER_EPOCH, NO_PRODUCER_EPOCH, NO_PRODUCER_ID,
};

/// Maximum number of records of a partition in one request: decoded, a record takes many times the memory of its bytes.
const MAX_RECORDS: usize = 16_384;
/// Approximate memory of a header in addition to its bytes: a `String` and an optional `Bytes`.
const HEADER_OVERHEAD_BYTES: usize = 48;

/// A header of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header, or `None` for null.
    pub value: Option<Bytes>,
}

impl RecordHeader {
    /// Creates a header with a value.
    pub fn new(name: impl Into<String>, value: impl Into<Bytes>) -> RecordHeader {
        RecordHeader { name: name.into(), value: Some(value.into()) }
    }
}

/// The parts of a record that linnetcart uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The key, or `None` for null.
    pub key: Option<Bytes>,
    /// The value, or `None` for null.
    pub value: Option<Bytes>,
    /// The headers in their order.
    pub headers: Vec<RecordHeader>,
    /// When the client created the record, in milliseconds since the Unix epoch by the client's clock; 0 or
    /// less if unknown.
    pub timestamp: i64,
}

impl Record {
    /// Returns the value of the last header of this name, or `None` if it is missing or null.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        let header = self.headers.iter().rev().find(|header| header.name == name)?;
        header.value.as_ref()
    }

    /// Copies the bytes of the record, which are otherwise a part of the request that it came with: they do not keep the
    /// rest of the request in memory.
    pub fn detach(&mut self) {
        let copy = |bytes: &mut Option<Bytes>| *bytes = bytes.as_deref().map(Bytes::copy_from_slice);
        copy(&mut self.key);
        copy(&mut self.value);
        self.headers.iter_mut().for_each(|header| copy(&mut header.value));
    }

    /// Approximate memory of the record, in bytes.
    pub fn size(&self) -> usize {
        let length = |bytes: &Option<Bytes>| bytes.as_ref().map_or(0, Bytes::len);
        let header_size =
            |header: &RecordHeader| header.name.len() + length(&header.value) + HEADER_OVERHEAD_BYTES;
        let headers: usize = self.headers.iter().map(header_size).sum();
        length(&self.key) + length(&self.value) + headers
    }
}

/// Encodes records as one uncompressed batch; returns no bytes if there are no records.
pub(crate) fn encode_batch(records: &[Record]) -> Result<Bytes, Malformed> {
    let mut out = BytesMut::new();
    if records.is_empty() {
        return Ok(out.freeze());
    }
    let wire_records: Vec<WireRecord> =
        records.iter().enumerate().map(|(index, record)| to_wire(index, record)).collect();
    let options = RecordEncodeOptions { version: BATCH_MAGIC as i8, compression: Compression::None };
    RecordBatchEncoder::encode(&mut out, &wire_records, &options).map_err(|_| Malformed("record batch"))?;
    Ok(out.freeze())
}

/// Converts a record to the type of the protocol library; `index` is its position in the batch.
fn to_wire(index: usize, record: &Record) -> WireRecord {
    let to_wire_header =
        |header: &RecordHeader| (StrBytes::from_string(header.name.clone()), header.value.clone());
    WireRecord {
        transactional: false,
        control: false,
        delete_horizon: false,
        partition_leader_epoch: NO_PARTITION_LEADER_EPOCH,
        producer_id: NO_PRODUCER_ID,
        producer_epoch: NO_PRODUCER_EPOCH,
        timestamp_type: TimestampType::Creation,
        offset: index as i64,
        // Sequence numbers of a batch without a producer id begin at -1.
        sequence: index as i32 - 1,
        timestamp: record.timestamp,
        key: record.key.clone(),
        value: record.value.clone(),
        headers: record.headers.iter().map(to_wire_header).collect(),
    }
}

fn from_wire(record: WireRecord) -> Record {
    let from_wire_header =
        |(name, value): (StrBytes, Option<Bytes>)| RecordHeader { name: name.to_string(), value };
    Record {
        key: record.key,
        value: record.value,
        headers: record.headers.into_iter().map(from_wire_header).collect(),
        timestamp: record.timestamp,
    }
}

/// Decodes the records in the batches of a partition. `Err` is the error code with which the partition is
/// rejected.
pub(crate) fn decode_batches(mut bytes: Bytes) -> Result<Vec<Record>, i16> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let head = shape::batch(&bytes).map_err(|_| codes::CORRUPT_MESSAGE)?;
        check_batch(&head)?;
        if records.len() + head.records > MAX_RECORDS {
            return Err(codes::MESSAGE_TOO_LARGE);
        }
        let mut batch = bytes.split_to(head.size);
        let decoded = RecordBatchDecoder::decode(&mut batch).map_err(|_| codes::CORRUPT_MESSAGE)?;
        records.extend(decoded.records.into_iter().map(from_wire));
    }
    if records.is_empty() {
        return Err(codes::INVALID_REQUEST);
    }
    Ok(records)
}

/// Checks that a batch is of a supported kind; `Err` is the error code with which it is rejected.
fn check_batch(head: &BatchHead) -> Result<(), i16> {
    if head.magic != BATCH_MAGIC {
        return Err(codes::UNSUPPORTED_VERSION);
    }
    if head.codec != NO_COMPRESSION {
        return Err(codes::UNSUPPORTED_COMPRESSION_TYPE);
    }
    if head.transactional {
        return Err(codes::TRANSACTIONAL_ID_AUTHORIZATION_FAILED);
    }
    Ok(())
}
