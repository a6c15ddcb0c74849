//! A journal's directory: replacement of files, interrupted at any byte, and damage.

use linnetcart_journal::{
    FileDamage, JournalDirectory, JournalError, OpenedJournal, Record, RecordRef, Salt, COMPLETE_KIND,
    FRAME_OVERHEAD_BYTES,
};
use std::path::PathBuf;

const SALT: Salt = Salt(0x0123_4567_89ab_cdef);
/// Number of bytes of both header copies.
const HEADER_BYTES: usize = 40;

/// A temporary directory for one test, removed at its end.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let dir = std::env::temp_dir().join(format!("linnetcart-journal-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        TemporaryDirectory(dir)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn record(kind: u8, payload: &[u8]) -> RecordRef<'_> {
    RecordRef { kind, payload }
}

#[test]
fn new_file_replaces_previous_one_only_when_complete() {
    let temp = TemporaryDirectory::new("replace");
    let OpenedJournal { mut directory, records, damage } = JournalDirectory::open(&temp.0).unwrap();
    assert!(records.is_empty() && damage.is_empty());
    assert!(matches!(directory.append([record(1, b"x")]), Err(JournalError::NoFile)));
    directory.replace(SALT, []).unwrap();
    directory.append([record(1, b"a"), record(2, b"b")]).unwrap();
    // The next file, cut at any byte, as if the process had died while it was writing.
    let mut next = Salt(9).header();
    Salt(9).append_frame(2, b"b", &mut next);
    Salt(9).append_frame(COMPLETE_KIND, &[], &mut next);
    for cut in 0..=next.len() {
        std::fs::write(temp.0.join("journal-0000000002"), &next[..cut]).unwrap();
        let records = JournalDirectory::open(&temp.0).unwrap().records;
        let kinds: Vec<u8> = records.iter().map(|r| r.kind).collect();
        let has_record = cut > HEADER_BYTES + FRAME_OVERHEAD_BYTES;
        let expected: &[u8] = if cut == next.len() {
            &[2]
        } else if has_record {
            &[1, 2, 2]
        } else {
            &[1, 2]
        };
        assert_eq!(kinds, expected, "cut at {cut}");
    }
    let mut directory = JournalDirectory::open(&temp.0).unwrap().directory;
    directory.replace(SALT, [record(3, b"c")]).unwrap();
    directory.append([record(4, b"d")]).unwrap();
    assert_eq!(std::fs::read_dir(&temp.0).unwrap().count(), 1);
    let records = JournalDirectory::open(&temp.0).unwrap().records;
    assert_eq!(records.iter().map(|r| r.kind).collect::<Vec<_>>(), [3, 4]);
}

#[test]
fn damaged_file_reported_with_path_and_bytes() {
    let temp = TemporaryDirectory::new("damage");
    let path = temp.0.join("journal-0000000001");
    let mut bytes = SALT.header();
    let damaged_at = bytes.len();
    SALT.append_frame(1, b"lost", &mut bytes);
    let damaged = bytes.len() - damaged_at;
    bytes[damaged_at] ^= 1;
    SALT.append_frame(2, b"kept", &mut bytes);
    bytes.extend([0; 3]);
    std::fs::write(&path, &bytes).unwrap();
    let opened = JournalDirectory::open(&temp.0).unwrap();
    assert_eq!(opened.records, [Record { kind: 2, payload: b"kept".to_vec() }]);
    let torn_end = FileDamage::TornEnd { path: path.clone(), bytes: 3 };
    assert_eq!(opened.damage, [torn_end, FileDamage::Damaged { path: path.clone(), bytes: damaged }]);
    let lines: Vec<String> = opened.damage.iter().map(FileDamage::to_string).collect();
    let file = path.display();
    let expected =
        [format!("{file}: 3 bytes at the end are no record"), format!("{file}: {damaged} bytes are damaged")];
    assert_eq!(lines, expected);
}

#[test]
fn new_file_in_use_although_removal_of_previous_one_failed() {
    let temp = TemporaryDirectory::new("removal");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0).unwrap();
    // A directory in place of a previous file cannot be removed as a file.
    let obstacle = temp.0.join("journal-0000000000");
    std::fs::create_dir(&obstacle).unwrap();
    assert!(matches!(directory.replace(SALT, [record(1, b"a")]), Err(JournalError::Io(_))));
    directory.append([record(2, b"b")]).unwrap();
    std::fs::remove_dir(&obstacle).unwrap();
    let records = JournalDirectory::open(&temp.0).unwrap().records;
    let kinds: Vec<u8> = records.iter().map(|record| record.kind).collect();
    assert_eq!(kinds, [1, 2]);
}
