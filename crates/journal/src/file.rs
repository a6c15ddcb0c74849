//! The records in the bytes of one file, damaged or not.

use crate::frame::{read_header, FIRST_FRAME_OFFSET};
use crate::{Record, COMPLETE};

/// What a file's bytes hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFrames {
    /// All records that can be read, in their order.
    pub records: Vec<Record>,
    /// The file holds all that the file before it held.
    pub complete: bool,
    /// Bytes before the end that are no record.
    pub damaged: usize,
    /// Bytes at the end that are no record: a write that its process did not live to finish, or damage.
    pub torn: usize,
}

/// Reads a file. Damage costs the records that it hit and no others.
pub fn read_frames(bytes: &[u8]) -> ReadFrames {
    let mut found = ReadFrames::default();
    let Some(salt) = read_header(bytes) else {
        found.torn = bytes.len();
        return found;
    };
    let mut rest = bytes.get(FIRST_FRAME_OFFSET..).unwrap_or_default();
    let mut skipped = 0;
    while !rest.is_empty() {
        let Some(frame) = salt.decode_frame(rest) else {
            // Damage has no length of its own: the next frame may begin at any byte.
            skipped += 1;
            rest = &rest[1..];
            continue;
        };
        found.damaged += skipped;
        skipped = 0;
        if frame.kind == COMPLETE {
            found.complete = true;
        } else {
            found.records.push(Record { kind: frame.kind, payload: frame.payload.to_vec() });
        }
        rest = &rest[frame.length..];
    }
    found.torn = skipped;
    found
}
