//! The binary format of a file: its header, and frames that contain the records.
//!
//! A frame consists of mark (1 byte), length of the payload (4 bytes), checksum (4 bytes), kind (1 byte) and
//! payload; the checksum covers salt, length, kind and payload. A header consists of magic (8 bytes), salt
//! (8 bytes) and checksum (4 bytes). Numbers are little-endian; checksums are CRC-32C.

/// Number of bytes of a frame in addition to its payload.
pub const FRAME_OVERHEAD_BYTES: usize = 10;
/// Maximum number of bytes of a payload.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// Maximum number of bytes of the payload of a batch: records that are appended together, encoded.
pub const MAX_BATCH_BYTES: usize = 1 << 24;
/// Kind of control frames. A control frame without payload marks a file as complete; one with a payload
/// contains a batch of records. Records must have another kind.
pub const CONTROL_KIND: u8 = 0;
/// First byte of the payload of a batch that follows the records before it.
const BATCH_TAG: u8 = 1;
/// First byte of the payload of a batch that replaces all records before it and marks the file as complete.
const SNAPSHOT_TAG: u8 = 2;
/// Number of bytes of a record in a batch in addition to its payload: its kind and its length.
const BATCH_ENTRY_BYTES: usize = 5;

/// First byte of every frame.
const FRAME_MARK: u8 = 0xA7;
/// First bytes of every header.
const HEADER_MAGIC: &[u8; 8] = b"linnetj1";
/// Number of bytes of a header, including its checksum.
const HEADER_BYTES: usize = 20;
/// Number of bytes of a header that its checksum covers.
const CHECKED_HEADER_BYTES: usize = 16;
/// Number of copies of the header, so that damage to one of them does not make the file unreadable.
const HEADER_COPIES: usize = 2;
/// Position of the first frame in a file, in bytes.
pub(crate) const FIRST_FRAME_OFFSET: usize = HEADER_COPIES * HEADER_BYTES;

/// A record that was read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The kind, at least 1. The application defines the meaning of each kind.
    pub kind: u8,
    /// The bytes that the application stored.
    pub payload: Vec<u8>,
}

/// A borrowed record to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordRef<'a> {
    /// The kind, at least 1.
    pub kind: u8,
    /// The payload, at most [`MAX_PAYLOAD_BYTES`] long.
    pub payload: &'a [u8],
}

/// The number that seeds the checksum of every frame of a file, so that bytes of a payload or of another file
/// are not valid frames in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt(pub u64);

/// A valid frame at the start of some bytes.
pub(crate) struct DecodedFrame<'a> {
    pub(crate) kind: u8,
    pub(crate) payload: &'a [u8],
    /// Number of bytes of the frame, including its payload.
    pub(crate) length: usize,
}

impl Salt {
    /// Returns the header copies that a file begins with.
    pub fn header(self) -> Vec<u8> {
        let mut header = [&HEADER_MAGIC[..], &self.0.to_le_bytes()].concat();
        let checksum = crc32c::crc32c(&header);
        header.extend(checksum.to_le_bytes());
        header.repeat(HEADER_COPIES)
    }

    /// Appends a frame to `out`.
    ///
    /// # Panics
    /// If the payload is longer than [`MAX_PAYLOAD_BYTES`], or [`MAX_BATCH_BYTES`] for a batch: callers have
    /// to bound what they accept.
    pub fn append_frame(self, kind: u8, payload: &[u8], out: &mut Vec<u8>) {
        assert!(payload.len() <= max_payload_bytes(kind), "a payload of {} bytes is too long", payload.len());
        let length = (payload.len() as u32).to_le_bytes();
        let checksum = self.frame_checksum(length, kind, payload);
        out.push(FRAME_MARK);
        out.extend(length);
        out.extend(checksum.to_le_bytes());
        out.push(kind);
        out.extend(payload);
    }

    fn frame_checksum(self, length: [u8; 4], kind: u8, payload: &[u8]) -> u32 {
        let checksum = crc32c::crc32c(&self.0.to_le_bytes());
        let checksum = crc32c::crc32c_append(checksum, &length);
        let checksum = crc32c::crc32c_append(checksum, &[kind]);
        crc32c::crc32c_append(checksum, payload)
    }

    /// Decodes the frame at the start of these bytes. Returns `None` if there is no valid one.
    pub(crate) fn decode_frame(self, bytes: &[u8]) -> Option<DecodedFrame<'_>> {
        let (head, rest) = bytes.split_first_chunk::<FRAME_OVERHEAD_BYTES>()?;
        let &[mark, l0, l1, l2, l3, c0, c1, c2, c3, kind] = head;
        let length_bytes = [l0, l1, l2, l3];
        let payload_length = u32::from_le_bytes(length_bytes) as usize;
        if mark != FRAME_MARK || payload_length > max_payload_bytes(kind) {
            return None;
        }
        let payload = rest.get(..payload_length)?;
        let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
        if self.frame_checksum(length_bytes, kind, payload) != checksum {
            return None;
        }
        Some(DecodedFrame { kind, payload, length: FRAME_OVERHEAD_BYTES + payload_length })
    }
}

fn max_payload_bytes(kind: u8) -> usize {
    match kind {
        CONTROL_KIND => MAX_BATCH_BYTES,
        _ => MAX_PAYLOAD_BYTES,
    }
}

/// Whether the records of a batch follow or replace the records before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchMode {
    /// They follow the records before them.
    Append,
    /// They replace all records before them.
    Replace,
}

/// The content of a control frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ControlFrame {
    /// The file is complete.
    Complete,
    /// Records that were appended together.
    Batch(BatchMode, Vec<Record>),
    /// A payload that this version cannot decode.
    Unknown,
}

/// Decodes the payload of a control frame.
pub(crate) fn decode_control(payload: &[u8]) -> ControlFrame {
    let (mode, batch) = match payload {
        [] => return ControlFrame::Complete,
        [BATCH_TAG, batch @ ..] => (BatchMode::Append, batch),
        [SNAPSHOT_TAG, batch @ ..] => (BatchMode::Replace, batch),
        _ => return ControlFrame::Unknown,
    };
    decode_batch(batch).map_or(ControlFrame::Unknown, |records| ControlFrame::Batch(mode, records))
}

/// Encodes these records as the payload of a control frame.
pub(crate) fn encode_batch<'a>(mode: BatchMode, records: impl IntoIterator<Item = RecordRef<'a>>) -> Vec<u8> {
    let tag = match mode {
        BatchMode::Append => BATCH_TAG,
        BatchMode::Replace => SNAPSHOT_TAG,
    };
    let mut payload = vec![tag];
    for record in records {
        payload.push(record.kind);
        payload.extend((record.payload.len() as u32).to_le_bytes());
        payload.extend(record.payload);
    }
    payload
}

/// Decodes the records of a batch, without its tag. Returns `None` if the bytes are not valid.
fn decode_batch(batch: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    let mut rest = batch;
    while !rest.is_empty() {
        let (&[kind, l0, l1, l2, l3], after_head) = rest.split_first_chunk::<BATCH_ENTRY_BYTES>()?;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        let (payload, after_record) = after_head.split_at_checked(length)?;
        records.push(Record { kind, payload: payload.to_vec() });
        rest = after_record;
    }
    Some(records)
}

/// Returns the salt of the first header copy that is valid, or `None` if both are damaged.
pub(crate) fn read_header(bytes: &[u8]) -> Option<Salt> {
    (0..HEADER_COPIES).find_map(|copy| read_header_copy(bytes.get(copy * HEADER_BYTES..)?))
}

fn read_header_copy(bytes: &[u8]) -> Option<Salt> {
    let (checked, rest) = bytes.split_first_chunk::<CHECKED_HEADER_BYTES>()?;
    let checksum = u32::from_le_bytes(*rest.first_chunk()?);
    let salt = checked.strip_prefix(HEADER_MAGIC)?;
    if crc32c::crc32c(checked) != checksum {
        return None;
    }
    Some(Salt(u64::from_le_bytes(salt.try_into().ok()?)))
}
