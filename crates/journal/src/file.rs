//! Reading of the records in the bytes of a file, damaged or not.

use crate::frame::{decode_control, read_header, BatchMode, ControlFrame, DecodedFrame, FIRST_FRAME_OFFSET};
use crate::{Record, COMPLETE_KIND};

/// The content of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFrames {
    /// All valid records in their order, from the last snapshot on.
    pub records: Vec<Record>,
    /// Whether the file includes all records of the previous file that are still needed.
    pub complete: bool,
    /// Number of invalid bytes that are followed by a valid frame.
    pub damaged_bytes: usize,
    /// Number of invalid bytes at the end: an interrupted write, or damage.
    pub torn_bytes: usize,
}

/// Reads the bytes of a file. Damage affects only the records that it touches.
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
            // The length of the damage is unknown: the next frame may begin at any byte.
            skipped += 1;
            rest = &rest[1..];
            continue;
        };
        found.damaged_bytes += skipped;
        skipped = 0;
        add_frame(&frame, &mut found);
        rest = &rest[frame.length..];
    }
    found.torn_bytes = skipped;
    found
}

fn add_frame(frame: &DecodedFrame<'_>, found: &mut ReadFrames) {
    if frame.kind != COMPLETE_KIND {
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
