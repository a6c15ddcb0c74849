//! Records as frames in the bytes of one file: cut, damaged, forged and arbitrary.

use linnetcart_journal::{read_frames, Record, Salt, COMPLETE, FRAME_OVERHEAD_BYTES};
use proptest::prelude::*;

const SALT: Salt = Salt(0x0123_4567_89ab_cdef);

fn file(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = SALT.header();
    SALT.frame(COMPLETE, &[], &mut bytes);
    let mut ends = vec![];
    for r in records {
        SALT.frame(r.kind, &r.payload, &mut bytes);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

fn some() -> Vec<Record> {
    (1..9u8).map(|n| Record { kind: n, payload: vec![n; usize::from(n) * 3] }).collect()
}

#[test]
fn file_cut_at_any_byte_keeps_every_record_before_the_cut() {
    let (bytes, ends) = file(&some());
    for cut in 0..=bytes.len() {
        let found = read_frames(&bytes[..cut]);
        let whole = ends.iter().filter(|&&end| end <= cut).count();
        assert_eq!(found.records, some()[..whole], "cut at {cut}");
        assert_eq!(found.damaged, 0);
        assert_eq!(found.complete, cut >= 40 + FRAME_OVERHEAD_BYTES);
    }
}

#[test]
fn file_with_a_flipped_bit_loses_at_most_the_record_it_is_in() {
    let (bytes, ends) = file(&some());
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        let hit = ends.iter().position(|&end| bit / 8 < end).filter(|_| bit / 8 >= 40 + FRAME_OVERHEAD_BYTES);
        let mut left = some();
        if let Some(hit) = hit {
            left.remove(hit);
        }
        assert_eq!(read_frames(&bad).records, left, "bit {bit}");
    }
}

#[test]
fn frame_inside_a_damaged_payload_is_no_record() {
    let mut forged = Vec::new();
    Salt(1).frame(7, b"forged", &mut forged);
    let (mut bytes, _) = file(&[Record { kind: 1, payload: forged }, Record { kind: 2, payload: vec![] }]);
    bytes[40 + FRAME_OVERHEAD_BYTES + 2] ^= 1;
    assert_eq!(read_frames(&bytes).records, [Record { kind: 2, payload: vec![] }]);
}

/// Header, the frame that says that the file is complete, and a record of kind 3, as version 0.1 writes them.
const FILE_OF_VERSION_0_1: &str = "\
    6c696e6e65746a31efcdab8967452301b2ad78f3\
    6c696e6e65746a31efcdab8967452301b2ad78f3\
    a700000000e51aba3700a7070000002ce139d5037061796c6f6164";

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn file_of_version_0_1_is_read_and_written_again_byte_for_byte() {
    let record = Record { kind: 3, payload: b"payload".to_vec() };
    let earlier = decode_hex(FILE_OF_VERSION_0_1);
    let found = read_frames(&earlier);
    assert_eq!(found.records, std::slice::from_ref(&record));
    assert_eq!((found.complete, found.damaged, found.torn), (true, 0, 0));
    let (written, _) = file(&[record]);
    assert_eq!(written, earlier);
}

proptest! {
    #[test]
    fn records_written_are_read_unchanged(payloads in proptest::collection::vec(
        (1..=255u8, proptest::collection::vec(any::<u8>(), 0..80)), 0..20)) {
        let records: Vec<Record> =
            payloads.into_iter().map(|(kind, payload)| Record { kind, payload }).collect();
        let found = read_frames(&file(&records).0);
        prop_assert_eq!((found.damaged, found.torn), (0, 0));
        prop_assert_eq!(found.records, records);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_frames(&bytes);
        let _ = read_frames(&[&SALT.header()[..], &bytes].concat());
    }
}
