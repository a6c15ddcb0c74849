//! Decoding of the records in the bytes of a file, which may be damaged.

use crate::frame::{decode_control, read_header, BatchMode, ControlFrame, DecodedFrame, FIRST_FRAME_OFFSET};
use crate::{Record, CONTROL_KIND};

/// The records of a file, and the extent of its damage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFrames {
    /// All valid records in the order in which they were appended, starting with the last snapshot.
    pub records: Vec<Record>,
    /// Whether the file contains a completion mark or a snapshot, and so all records of the previous files
    /// that are still needed.
    pub complete: bool,
    /// Number of damaged bytes: invalid bytes that are followed by a valid frame, and frames with a correct
    /// checksum whose batch cannot be decoded.
    pub damaged_bytes: usize,
    /// Number of invalid bytes at the end: a torn write, or damage.
    pub torn_bytes: usize,
}

/// Decodes the bytes of a file. Damage costs only the records whose bytes it affects: after invalid bytes,
/// decoding continues at the next byte with a valid frame.
pub fn read_frames(bytes: &[u8]) -> ReadFrames {
    let mut found = ReadFrames::default();
    let Some(salt) = read_header(bytes) else {
        found.torn_bytes = bytes.len();
        return found;
    };
    let mut rest = bytes.get(FIRST_FRAME_OFFSET..).unwrap_or_default();
    let mut skipped = 0;
    while !rest.is_empty() {
        let Some(frame) = salt.decode_frame(rest) else {
            // The length of the damage is unknown, so each following byte may be the start of a frame.
            skipped += 1;
            rest = &rest[1..];
            continue;
        };
        found.damaged_bytes += skipped;
        skipped = 0;
        apply_frame(&frame, &mut found);
        rest = &rest[frame.length..];
    }
    found.torn_bytes = skipped;
    found
}

fn apply_frame(frame: &DecodedFrame<'_>, found: &mut ReadFrames) {
    if frame.kind != CONTROL_KIND {
        found.records.push(Record { kind: frame.kind, payload: frame.payload.to_vec() });
        return;
    }
    match decode_control(frame.payload) {
        ControlFrame::Complete => found.complete = true,
        ControlFrame::Batch(BatchMode::Append, records) => found.records.extend(records),
        ControlFrame::Batch(BatchMode::Replace, records) => {
            found.records = records;
            found.complete = true;
        }
        ControlFrame::Unknown => found.damaged_bytes += frame.length,
    }
}
