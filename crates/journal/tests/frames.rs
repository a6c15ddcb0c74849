//! Frames in the bytes of a file: cut, damaged, forged and arbitrary.

use linnetcart_journal::{read_frames, Record, Salt, CONTROL_KIND, FRAME_OVERHEAD_BYTES};
use proptest::prelude::*;

const SALT: Salt = Salt(0x0123_4567_89ab_cdef);
/// Number of bytes of both header copies.
const HEADER_BYTES: usize = 40;

/// A journal file.
struct JournalFile {
    bytes: Vec<u8>,
    /// The position after each record.
    record_ends: Vec<usize>,
}

/// Returns a complete file with these records.
fn file(records: &[Record]) -> JournalFile {
    let mut bytes = SALT.header();
    SALT.append_frame(CONTROL_KIND, &[], &mut bytes);
    let mut record_ends = vec![];
    for r in records {
        SALT.append_frame(r.kind, &r.payload, &mut bytes);
        record_ends.push(bytes.len());
    }
    JournalFile { bytes, record_ends }
}

fn sample_records() -> Vec<Record> {
    (1..9u8).map(|n| Record { kind: n, payload: vec![n; usize::from(n) * 3] }).collect()
}

#[test]
fn file_cut_at_any_byte_yields_every_record_before_cut() {
    let JournalFile { bytes, record_ends } = file(&sample_records());
    for cut in 0..=bytes.len() {
        let found = read_frames(&bytes[..cut]);
        let complete = record_ends.iter().filter(|&&end| end <= cut).count();
        assert_eq!(found.records, sample_records()[..complete], "cut at {cut}");
        assert_eq!(found.damaged_bytes, 0);
        assert_eq!(found.complete, cut >= HEADER_BYTES + FRAME_OVERHEAD_BYTES);
    }
}

#[test]
fn file_with_flipped_bit_loses_at_most_record_of_that_bit() {
    let JournalFile { bytes, record_ends } = file(&sample_records());
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        let hit = record_ends
            .iter()
            .position(|&end| bit / 8 < end)
            .filter(|_| bit / 8 >= HEADER_BYTES + FRAME_OVERHEAD_BYTES);
        let mut remaining = sample_records();
        if let Some(hit) = hit {
            remaining.remove(hit);
        }
        assert_eq!(read_frames(&bad).records, remaining, "bit {bit}");
    }
}

#[test]
fn frame_inside_damaged_payload_not_read() {
    let mut forged = Vec::new();
    Salt(1).append_frame(7, b"forged", &mut forged);
    let mut bytes = file(&[Record { kind: 1, payload: forged }, Record { kind: 2, payload: vec![] }]).bytes;
    bytes[HEADER_BYTES + FRAME_OVERHEAD_BYTES + 2] ^= 1;
    assert_eq!(read_frames(&bytes).records, [Record { kind: 2, payload: vec![] }]);
}

/// Both headers, the frame that marks the file as complete, and a record of kind 3, as version 0.1 writes
/// them.
const FILE_OF_VERSION_0_1: &str = "\
    6c696e6e65746a31efcdab8967452301b2ad78f3\
    6c696e6e65746a31efcdab8967452301b2ad78f3\
    a700000000e51aba3700a7070000002ce139d5037061796c6f6164";

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn file_of_version_0_1_read_and_written_byte_for_byte() {
    let record = Record { kind: 3, payload: b"payload".to_vec() };
    let earlier = decode_hex(FILE_OF_VERSION_0_1);
    let found = read_frames(&earlier);
    assert_eq!(found.records, std::slice::from_ref(&record));
    assert_eq!((found.complete, found.damaged_bytes, found.torn_bytes), (true, 0, 0));
    assert_eq!(file(&[record]).bytes, earlier);
}

proptest! {
    #[test]
    fn records_written_read_unchanged(payloads in proptest::collection::vec(
        (1..=255u8, proptest::collection::vec(any::<u8>(), 0..80)), 0..20)) {
        let records: Vec<Record> =
            payloads.into_iter().map(|(kind, payload)| Record { kind, payload }).collect();
        let found = read_frames(&file(&records).bytes);
        prop_assert_eq!((found.damaged_bytes, found.torn_bytes), (0, 0));
        prop_assert_eq!(found.records, records);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_frames(&bytes);
        let _ = read_frames(&[&SALT.header()[..], &bytes].concat());
    }
}
