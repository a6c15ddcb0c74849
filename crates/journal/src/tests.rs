use super::*;
use proptest::prelude::*;
use std::path::PathBuf;

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
fn cut_at_any_byte_it_holds_every_record_before_the_cut() {
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
fn any_flipped_bit_costs_the_record_that_it_is_in_at_most() {
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
fn a_frame_handed_in_as_a_payload_is_no_record_when_its_own_is_damaged() {
    let mut forged = Vec::new();
    Salt(1).frame(7, b"forged", &mut forged);
    let (mut bytes, _) = file(&[Record { kind: 1, payload: forged }, Record { kind: 2, payload: vec![] }]);
    bytes[40 + FRAME_OVERHEAD_BYTES + 2] ^= 1;
    assert_eq!(read_frames(&bytes).records, [Record { kind: 2, payload: vec![] }]);
}

/// A folder of its own for one test, removed at its end.
struct Temp(PathBuf);

impl Temp {
    fn new(name: &str) -> Temp {
        let dir = std::env::temp_dir().join(format!("linnetcart-journal-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        Temp(dir)
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_new_file_takes_the_place_of_the_old_one_only_when_it_is_complete() {
    let temp = Temp::new("replace");
    let (mut folder, records, lines) = JournalDirectory::open(&temp.0).unwrap();
    assert!(records.is_empty() && lines.is_empty());
    assert!(folder.append([(1, &b"x"[..])]).is_err());
    folder.replace(SALT, []).unwrap();
    folder.append([(1, &b"a"[..]), (2, b"b")]).unwrap();
    // The next file, cut at any byte as by a process that died in the middle of it.
    let mut next = Salt(9).header();
    Salt(9).frame(2, b"b", &mut next);
    Salt(9).frame(COMPLETE, &[], &mut next);
    for cut in 0..=next.len() {
        std::fs::write(temp.0.join("journal-0000000002"), &next[..cut]).unwrap();
        let (_, records, _) = JournalDirectory::open(&temp.0).unwrap();
        let kinds: Vec<u8> = records.iter().map(|r| r.kind).collect();
        let partly = cut > 40 + FRAME_OVERHEAD_BYTES;
        let wanted: &[u8] = if cut == next.len() {
            &[2]
        } else if partly {
            &[1, 2, 2]
        } else {
            &[1, 2]
        };
        assert_eq!(kinds, wanted, "cut at {cut}");
    }
    let (mut folder, ..) = JournalDirectory::open(&temp.0).unwrap();
    folder.replace(SALT, [(3, &b"c"[..])]).unwrap();
    folder.append([(4, &b"d"[..])]).unwrap();
    assert_eq!(std::fs::read_dir(&temp.0).unwrap().count(), 1);
    let (_, records, _) = JournalDirectory::open(&temp.0).unwrap();
    assert_eq!(records.iter().map(|r| r.kind).collect::<Vec<_>>(), [3, 4]);
}

proptest! {
    #[test]
    fn records_come_back_as_they_went_in(payloads in proptest::collection::vec(
        (1..=255u8, proptest::collection::vec(any::<u8>(), 0..80)), 0..20)) {
        let records: Vec<Record> =
            payloads.into_iter().map(|(kind, payload)| Record { kind, payload }).collect();
        let found = read_frames(&file(&records).0);
        prop_assert_eq!((found.damaged, found.torn), (0, 0));
        prop_assert_eq!(found.records, records);
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_frames(&bytes);
        let _ = read_frames(&[&SALT.header()[..], &bytes].concat());
    }
}
