//! Validation of record batches.

use super::{Cursor, Walk};
use crate::codes::Malformed;

/// The supported batch format, used by Kafka 0.11 and later.
pub(crate) const BATCH_MAGIC: u8 = 2;
/// The codec of an uncompressed batch.
pub(crate) const NO_COMPRESSION: u8 = 0;

/// Size of the base offset (8 bytes) and the length field (4 bytes) of a batch. The value of the length field
/// does not include them.
const UNCOUNTED_PREFIX_BYTES: usize = 12;
/// The attribute bits that hold the codec of a batch.
const CODEC_MASK: i16 = 0x07;
/// The attribute bits that mark a batch as transactional and as a control batch.
const TRANSACTIONAL_MASK: i16 = 0x30;

/// The header of a record batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHead {
    /// Size of the complete batch in bytes.
    pub size: usize,
    /// Batch format, the magic byte. If it is not 2, the fields after it are not read and have default
    /// values.
    pub magic: u8,
    /// Compression codec of the records; 0 for none.
    pub codec: u8,
    /// Whether the batch belongs to a transaction or is a control batch.
    pub transactional: bool,
    /// Number of records that the header claims.
    pub records: usize,
}

/// The base values to which the offsets and timestamps of a batch's records are relative.
#[derive(Clone, Copy)]
struct BaseValues {
    offset: i64,
    timestamp: i64,
}

/// Reads the header of the batch at the start of `bytes`, and validates its records if they are not
/// compressed.
///
/// # Errors
/// Fails if the header or an uncompressed record is malformed, or the offset or timestamp of a record
/// overflows.
pub fn batch(bytes: &[u8]) -> Result<BatchHead, Malformed> {
    let mut cursor = Cursor::new(bytes);
    let base_offset = cursor.i64()?;
    let length = usize::try_from(cursor.i32()?).map_err(|_| Malformed("batch length"))?;
    let size = UNCOUNTED_PREFIX_BYTES + length;
    let mut cursor = Cursor::new(cursor.take(length)?);
    let _leader_epoch = cursor.i32()?;
    let [magic] = cursor.array()?;
    if magic != BATCH_MAGIC {
        return Ok(BatchHead { size, magic, codec: NO_COMPRESSION, transactional: false, records: 0 });
    }
    let _checksum = cursor.i32()?;
    let attributes = cursor.i16()?;
    let _last_offset_delta = cursor.i32()?;
    let base_timestamp = cursor.i64()?;
    let _max_timestamp = cursor.i64()?;
    let _producer_id = cursor.i64()?;
    let _producer_epoch = cursor.i16()?;
    let _base_sequence = cursor.i32()?;
    let records = usize::try_from(cursor.i32()?).map_err(|_| Malformed("record count"))?;
    let codec = (attributes & CODEC_MASK) as u8;
    let transactional = attributes & TRANSACTIONAL_MASK != 0;
    if codec == NO_COMPRESSION {
        let base = BaseValues { offset: base_offset, timestamp: base_timestamp };
        walk_records(&mut cursor, records, base)?;
    }
    Ok(BatchHead { size, magic, codec, transactional, records })
}

fn walk_records(cursor: &mut Cursor, count: usize, base: BaseValues) -> Walk {
    if count > cursor.remaining() {
        return Err(Malformed("record count"));
    }
    for _ in 0..count {
        let record = cursor.zigzag_bytes("record length")?;
        walk_record(record, base)?;
    }
    cursor.end()
}

/// Checks a record. Its timestamp and offset must not overflow when the base values are added.
fn walk_record(bytes: &[u8], base: BaseValues) -> Walk {
    let mut cursor = Cursor::new(bytes);
    let [_attributes] = cursor.array()?;
    let timestamp_delta = cursor.varlong()?;
    base.timestamp.checked_add(timestamp_delta).ok_or(Malformed("timestamp"))?;
    let offset_delta = i32::try_from(cursor.varlong()?).map_err(|_| Malformed("offset"))?;
    base.offset.checked_add(i64::from(offset_delta)).ok_or(Malformed("offset"))?;
    // Key and value.
    cursor.nullable_zigzag_bytes()?;
    cursor.nullable_zigzag_bytes()?;
    walk_headers(&mut cursor)?;
    cursor.end()
}

fn walk_headers(cursor: &mut Cursor) -> Walk {
    let count = cursor.zigzag_length()?.ok_or(Malformed("header count"))?;
    if count > cursor.remaining() {
        return Err(Malformed("header count"));
    }
    for _ in 0..count {
        cursor.zigzag_bytes("header name")?;
        cursor.nullable_zigzag_bytes()?;
    }
    Ok(())
}
