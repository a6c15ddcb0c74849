//! Frames of the pipe: a batch of records comes in, one reply goes out.

use crate::error::{BatchError, RecordError};
use crate::fields::FieldReader;
use linnetcart::Time;
use std::io::{self, Read};

/// Bytes of a batch's header that its length does not count.
const BATCH_HEADER_BYTES: usize = 12;
/// Bytes of the clock, the first that the length counts.
const CLOCK_BYTES: usize = 8;
/// Bytes of a reply's header.
const REPLY_HEADER_BYTES: usize = 8;

/// A batch as it was read.
pub(crate) struct Batch {
    pub(crate) number: u32,
    pub(crate) record_count: u32,
    /// Clock time of all its events.
    pub(crate) clock: Time,
    /// The records, one after the other.
    pub(crate) records: Vec<u8>,
}

/// A record of a batch.
pub(crate) struct Record<'a> {
    pub(crate) code: u8,
    pub(crate) fields: &'a [u8],
}

/// Reads one batch; `None` at the end of input.
pub(crate) fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, BatchError> {
    let Some(header) = read_header(input)? else { return Ok(None) };
    let mut fields = FieldReader::new(&header);
    let number = fields.u32().map_err(BatchError::Framing)?;
    let record_count = fields.u32().map_err(BatchError::Framing)?;
    let length = fields.u32().map_err(BatchError::Framing)?;
    if (length as usize) < CLOCK_BYTES {
        return Err(BatchError::NoRoomForClock { batch: number, length });
    }
    let mut body = Vec::new();
    input.take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() != length as usize {
        return Err(BatchError::BodyCutOff { batch: number, received: body.len(), expected: length });
    }
    let clock = FieldReader::new(&body).u64().map_err(BatchError::Framing)?;
    let records = body.split_off(CLOCK_BYTES);
    Ok(Some(Batch { number, record_count, clock, records }))
}

/// Reads a header whole; `None` if input ends before its first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; BATCH_HEADER_BYTES]>, BatchError> {
    let mut header = [0; BATCH_HEADER_BYTES];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(BatchError::HeaderCutOff),
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}

/// Reads the next record of a batch: its code, the length of its fields, its fields.
pub(crate) fn read_record<'a>(records: &mut FieldReader<'a>) -> Result<Record<'a>, RecordError> {
    let code = records.u8()?;
    let length = records.u32()?;
    let fields = records.bytes(length as usize)?;
    Ok(Record { code, fields })
}

/// The frame that answers a batch with these actions.
pub(crate) fn encode_reply(batch: u32, actions: &[u8]) -> Vec<u8> {
    let mut reply = Vec::with_capacity(REPLY_HEADER_BYTES + actions.len());
    reply.extend(batch.to_le_bytes());
    reply.extend((actions.len() as u32).to_le_bytes());
    reply.extend(actions);
    reply
}
