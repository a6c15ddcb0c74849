//! Records, and the batches that they travel in.

use crate::codes::{self, Malformed};
use crate::shape::{self, BatchHead, BATCH_MAGIC, NO_COMPRESSION};
use bytes::{Bytes, BytesMut};
use kafka_protocol::protocol::StrBytes;
use kafka_protocol::records::{
    Compression, Record as WireRecord, RecordBatchDecoder, RecordBatchEncoder, RecordEncodeOptions,
    TimestampType, NO_PARTITION_LEADER_EPOCH, NO_PRODUCER_EPOCH, NO_PRODUCER_ID,
};

/// Memory that a header takes beside its bytes: a `String` and an optional `Bytes`, rounded.
const HEADER_OVERHEAD_BYTES: usize = 48;

/// A record as far as linnetcart needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The key, if there is one.
    pub key: Option<Bytes>,
    /// The value, if there is one.
    pub value: Option<Bytes>,
    /// Headers, name and value, in their order.
    pub headers: Vec<(String, Option<Bytes>)>,
    /// When its client made it, in milliseconds since 1970 by its clock; 0 or less where that is not said.
    pub timestamp: i64,
}

impl Record {
    /// The value of the last header of this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        let (_, value) = self.headers.iter().rev().find(|(header_name, _)| header_name == name)?;
        value.as_ref()
    }

    /// Bytes that the record keeps in memory.
    pub fn size(&self) -> usize {
        let length = |bytes: &Option<Bytes>| bytes.as_ref().map_or(0, Bytes::len);
        let header_size =
            |(name, value): &(String, Option<Bytes>)| name.len() + length(value) + HEADER_OVERHEAD_BYTES;
        let headers: usize = self.headers.iter().map(header_size).sum();
        length(&self.key) + length(&self.value) + headers
    }
}

/// One batch, not compressed, of these records; no bytes for no records.
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

fn to_wire(index: usize, record: &Record) -> WireRecord {
    let to_wire_header =
        |(name, value): &(String, Option<Bytes>)| (StrBytes::from_string(name.clone()), value.clone());
    WireRecord {
        transactional: false,
        control: false,
        delete_horizon: false,
        partition_leader_epoch: NO_PARTITION_LEADER_EPOCH,
        producer_id: NO_PRODUCER_ID,
        producer_epoch: NO_PRODUCER_EPOCH,
        timestamp_type: TimestampType::Creation,
        offset: index as i64,
        // Sequence numbers of a batch without a producer begin at -1.
        sequence: index as i32 - 1,
        timestamp: record.timestamp,
        key: record.key.clone(),
        value: record.value.clone(),
        headers: record.headers.iter().map(to_wire_header).collect(),
    }
}

fn from_wire(record: WireRecord) -> Record {
    let from_wire_header = |(name, value): (StrBytes, Option<Bytes>)| (name.to_string(), value);
    Record {
        key: record.key,
        value: record.value,
        headers: record.headers.into_iter().map(from_wire_header).collect(),
        timestamp: record.timestamp,
    }
}

/// The records in the batches of a partition, or the error code that they are rejected with.
pub(crate) fn decode_batches(mut bytes: Bytes) -> Result<Vec<Record>, i16> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let head = shape::batch(&bytes).map_err(|_| codes::CORRUPT_MESSAGE)?;
        check_batch(&head)?;
        let mut batch = bytes.split_to(head.size);
        let decoded = RecordBatchDecoder::decode(&mut batch).map_err(|_| codes::CORRUPT_MESSAGE)?;
        records.extend(decoded.records.into_iter().map(from_wire));
    }
    if records.is_empty() {
        return Err(codes::INVALID_REQUEST);
    }
    Ok(records)
}

/// Rejects batches of a kind that is not read.
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
