//! Records as frames, and the header of the file that they stand in.
//!
//! A frame is: mark, length (4 bytes), checksum (4 bytes), kind, payload. A header is: magic, salt (8 bytes),
//! checksum (4 bytes). Numbers are little-endian; checksums are CRC-32C.

/// Bytes that a frame takes beside its payload.
pub const FRAME_OVERHEAD_BYTES: usize = 10;
/// The most bytes that a payload may have.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// Kind of the frame after which a file holds all that the one before held; not for the records of others.
pub const COMPLETE: u8 = 0;

/// First byte of every frame.
const FRAME_MARK: u8 = 0xA7;
/// First bytes of every header.
const HEADER_MAGIC: &[u8; 8] = b"linnetj1";
/// Bytes of a header, its checksum included.
const HEADER_BYTES: usize = 20;
/// Bytes of a header that its checksum covers.
const CHECKED_HEADER_BYTES: usize = 16;
/// How often a file's header is given, so that damage to one copy does not cost the file.
const HEADER_COPIES: usize = 2;
/// Where the first frame of a file begins, in bytes from its start.
pub(crate) const FIRST_FRAME_OFFSET: usize = HEADER_COPIES * HEADER_BYTES;

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What it is; 1 at least.
    pub kind: u8,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// A record to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordRef<'a> {
    /// What it is; 1 at least.
    pub kind: u8,
    /// Its bytes, at most [`MAX_PAYLOAD_BYTES`].
    pub payload: &'a [u8],
}

/// Distinguishes the frames of one file from all other bytes: the checksum of each begins from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt(pub u64);

/// A frame that was found at the start of some bytes.
pub(crate) struct DecodedFrame<'a> {
    pub(crate) kind: u8,
    pub(crate) payload: &'a [u8],
    /// Bytes of the whole frame.
    pub(crate) length: usize,
}

impl Salt {
    /// The bytes that a file begins with.
    pub fn header(self) -> Vec<u8> {
        let mut header = [&HEADER_MAGIC[..], &self.0.to_le_bytes()].concat();
        let checksum = crc32c::crc32c(&header);
        header.extend(checksum.to_le_bytes());
        header.repeat(HEADER_COPIES)
    }

    /// Appends a frame to `out`.
    ///
    /// # Panics
    /// If the payload is longer than [`MAX_PAYLOAD_BYTES`]: whoever accepts what becomes a record has to bound
    /// it.
    pub fn frame(self, kind: u8, payload: &[u8], out: &mut Vec<u8>) {
        assert!(payload.len() <= MAX_PAYLOAD_BYTES, "a record of {} bytes", payload.len());
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

    /// The frame that these bytes begin with, if they begin with one.
    pub(crate) fn decode_frame(self, bytes: &[u8]) -> Option<DecodedFrame<'_>> {
        let (head, rest) = bytes.split_first_chunk::<FRAME_OVERHEAD_BYTES>()?;
        let &[mark, l0, l1, l2, l3, c0, c1, c2, c3, kind] = head;
        let length_bytes = [l0, l1, l2, l3];
        let payload_length = u32::from_le_bytes(length_bytes) as usize;
        if mark != FRAME_MARK || payload_length > MAX_PAYLOAD_BYTES {
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

/// The salt that a file's header gives: that of the first copy that is not damaged.
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
