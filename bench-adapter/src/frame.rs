//! Framing of the wire format: the bounds of batches, records and replies, but not the content of records.
//!
//! A batch is a header (number, record count, length), the clock time and the records. A record is a code, a
//! length and its fields. A reply is a header (batch number, length) and the records of the actions. All
//! integers are little-endian, and a length counts the bytes that follow it.

use crate::error::{BatchError, RecordError};
use crate::fields::FieldReader;
use linnetcart::Time;
use std::io::{self, Read};

/// Size of a batch header: number, record count and length, 4 bytes each.
const BATCH_HEADER_BYTES: usize = 12;
/// Size of the clock time, the first field that the length of a batch covers.
const CLOCK_BYTES: usize = 8;
/// Size of a reply header: number of the batch and length, 4 bytes each.
const REPLY_HEADER_BYTES: usize = 8;

/// A batch of records.
pub(crate) struct Batch {
    pub(crate) number: u32,
    pub(crate) record_count: u32,
    /// Clock time of the decision cycles and all events of the batch, in nanoseconds.
    pub(crate) clock: Time,
    /// The bytes of all records in order.
    pub(crate) records: Vec<u8>,
}

/// One record of a batch: its code, and its encoded fields without the length that precedes them.
pub(crate) struct Record<'a> {
    /// The kind of record, which determines the format of the fields.
    pub(crate) code: u8,
    pub(crate) fields: &'a [u8],
}

/// Reads the next batch; returns `None` at the end of the input.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, BatchError> {
    let Some(header) = read_header(input)? else { return Ok(None) };
    let mut fields = FieldReader::new(&header);
    let number = fields.u32().map_err(BatchError::Framing)?;
    let record_count = fields.u32().map_err(BatchError::Framing)?;
    let length = fields.u32().map_err(BatchError::Framing)?;
    if (length as usize) < CLOCK_BYTES {
        return Err(BatchError::LengthWithoutClock { batch: number, length });
    }
    let mut body = Vec::new();
    input.take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() != length as usize {
        return Err(BatchError::TruncatedBody { batch: number, received: body.len(), expected: length });
    }
    let clock = FieldReader::new(&body).u64().map_err(BatchError::Framing)?;
    let records = body.split_off(CLOCK_BYTES);
    Ok(Some(Batch { number, record_count, clock, records }))
}

/// Reads a complete header; returns `None` when the input ends before its first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; BATCH_HEADER_BYTES]>, BatchError> {
    let mut header = [0; BATCH_HEADER_BYTES];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(BatchError::TruncatedHeader),
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}

/// Reads the next record of a batch: its code, the length of its fields, and the fields.
pub(crate) fn read_record<'a>(records: &mut FieldReader<'a>) -> Result<Record<'a>, RecordError> {
    let code = records.u8()?;
    let length = records.u32()?;
    let fields = records.bytes(length as usize)?;
    Ok(Record { code, fields })
}

/// Encodes the reply to a batch; `actions` are the encoded records of its actions.
pub(crate) fn encode_reply(batch: u32, actions: &[u8]) -> Vec<u8> {
    let mut reply = Vec::with_capacity(REPLY_HEADER_BYTES + actions.len());
    reply.extend(batch.to_le_bytes());
    reply.extend((actions.len() as u32).to_le_bytes());
    reply.extend(actions);
    reply
}
