//! An append-only log that survives its process. It knows frames and files, not what the records mean.
//!
//! A file begins with its header, given twice; then come frames: mark, length, checksum, kind, payload. Checksums
//! begin from a salt of the file's own, so that no bytes handed in from outside can pass for a frame. A file is
//! replaced as a whole: the next one begins with what is still wanted and a frame that says that this is all of
//! it; only then is the one before removed. So the newest file that says so holds everything.
//!
//! What is written outlasts the process without a sync; it is not meant to outlast the machine.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod folder;

pub use folder::JournalDirectory;

/// Bytes that a frame takes beside its payload.
pub const FRAME_OVERHEAD_BYTES: usize = 10;
/// The most that a payload may have.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// Kind of the frame after which a file holds all that the one before held; not for others to use.
pub const COMPLETE: u8 = 0;

const MARK: u8 = 0xA7;
const MAGIC: &[u8; 8] = b"linnetj1";
const HEADER: usize = 20;

/// A record as it was appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What it is; 1 at least.
    pub kind: u8,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// Distinguishes the frames of one file from all other bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt(pub u64);

impl Salt {
    /// The bytes that a file begins with.
    pub fn header(self) -> Vec<u8> {
        let mut one = [&MAGIC[..], &self.0.to_le_bytes()].concat();
        one.extend(crc32c::crc32c(&one).to_le_bytes());
        [&one[..], &one].concat()
    }

    /// Adds a frame.
    ///
    /// # Panics
    /// If the payload is longer than [`PAYLOAD`]: whoever takes records on has to bound them.
    pub fn frame(self, kind: u8, payload: &[u8], out: &mut Vec<u8>) {
        assert!(payload.len() <= MAX_PAYLOAD_BYTES, "a record of {} bytes", payload.len());
        let length = (payload.len() as u32).to_le_bytes();
        out.push(MARK);
        out.extend(length);
        out.extend(self.sum(length, kind, payload).to_le_bytes());
        out.push(kind);
        out.extend(payload);
    }

    fn sum(self, length: [u8; 4], kind: u8, payload: &[u8]) -> u32 {
        let head = crc32c::crc32c(&self.0.to_le_bytes());
        let head = crc32c::crc32c_append(crc32c::crc32c_append(head, &length), &[kind]);
        crc32c::crc32c_append(head, payload)
    }

    /// The frame at the start of these bytes, and how long it is.
    fn unframe(self, bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
        let (head, rest) = bytes.split_at_checked(FRAME_OVERHEAD_BYTES)?;
        let length = [head[1], head[2], head[3], head[4]];
        let n = u32::from_le_bytes(length) as usize;
        if head[0] != MARK || n > MAX_PAYLOAD_BYTES {
            return None;
        }
        let payload = rest.get(..n)?;
        let sum = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
        (self.sum(length, head[9], payload) == sum).then_some((head[9], payload, FRAME_OVERHEAD_BYTES + n))
    }
}

/// What a file's bytes hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFrames {
    /// All records that can be read, in their order.
    pub records: Vec<Record>,
    /// It holds all that the file before held.
    pub complete: bool,
    /// Bytes before the end that are no record.
    pub damaged: usize,
    /// Bytes at the end that are no record: a write that its process did not live to finish, or damage.
    pub torn: usize,
}

/// Reads a file. Damage costs the records that it hit and no others.
pub fn read_frames(bytes: &[u8]) -> ReadFrames {
    let mut found = ReadFrames::default();
    let header = |at: usize| {
        let one = bytes.get(at..at + HEADER)?;
        let sum = u32::from_le_bytes(one[16..].try_into().ok()?);
        let good = &one[..8] == MAGIC && crc32c::crc32c(&one[..16]) == sum;
        good.then(|| u64::from_le_bytes(one[8..16].try_into().unwrap_or_default()))
    };
    let Some(salt) = header(0).or_else(|| header(HEADER)).map(Salt) else {
        found.torn = bytes.len();
        return found;
    };
    let mut at = (2 * HEADER).min(bytes.len());
    let mut bad = 0;
    while at < bytes.len() {
        match salt.unframe(&bytes[at..]) {
            Some((kind, payload, length)) => {
                found.damaged += std::mem::take(&mut bad);
                match kind {
                    COMPLETE => found.complete = true,
                    kind => found.records.push(Record { kind, payload: payload.to_vec() }),
                }
                at += length;
            }
            None => {
                bad += 1;
                at += 1;
            }
        }
    }
    found.torn = bad;
    found
}

#[cfg(test)]
mod tests;
