//! A journal's directory: replacement of files, interrupted at any byte, and damage.

use linnetcart_journal::{
    FileDamage, JournalDirectory, JournalError, OpenedJournal, Record, RecordRef, Salt, CONTROL_KIND,
};
use std::path::PathBuf;

const SALT: Salt = Salt(0x0123_4567_89ab_cdef);
/// More than the tests write.
const CAPACITY: u64 = 1 << 20;

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
    let OpenedJournal { mut directory, records, damage } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    assert!(records.is_empty() && damage.is_empty());
    assert!(matches!(directory.append([record(1, b"x")]), Err(JournalError::NoFile)));
    directory.replace(SALT, []).unwrap();
    directory.append([record(1, b"a"), record(2, b"b")]).unwrap();
    // The next file, cut at any byte, as if the process had died while it was writing.
    let mut next = Salt(9).header();
    Salt(9).append_frame(2, b"b", &mut next);
    Salt(9).append_frame(CONTROL_KIND, &[], &mut next);
    for cut in 0..=next.len() {
        std::fs::write(temp.0.join("journal-0000000002"), &next[..cut]).unwrap();
        let records = JournalDirectory::open(&temp.0, CAPACITY).unwrap().records;
        let kinds: Vec<u8> = records.iter().map(|r| r.kind).collect();
        let expected: &[u8] = if cut == next.len() { &[2] } else { &[1, 2] };
        assert_eq!(kinds, expected, "cut at {cut}");
    }
    let mut directory = JournalDirectory::open(&temp.0, CAPACITY).unwrap().directory;
    directory.replace(SALT, [record(3, b"c")]).unwrap();
    directory.append([record(4, b"d")]).unwrap();
    assert_eq!(std::fs::read_dir(&temp.0).unwrap().count(), 1);
    let records = JournalDirectory::open(&temp.0, CAPACITY).unwrap().records;
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
    let opened = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    assert_eq!(opened.records, [Record { kind: 2, payload: b"kept".to_vec() }]);
    let torn_end = FileDamage::TornEnd { path: path.clone(), bytes: 3 };
    assert_eq!(opened.damage, [torn_end, FileDamage::Damaged { path: path.clone(), bytes: damaged }]);
    let lines: Vec<String> = opened.damage.iter().map(FileDamage::to_string).collect();
    let file = path.display();
    let expected = [
        format!("{file}: the last 3 bytes are not a valid record"),
        format!("{file}: {damaged} bytes are damaged"),
    ];
    assert_eq!(lines, expected);
}

/// Kinds of the records that the next process reads.
fn stored_kinds(temp: &TemporaryDirectory) -> Vec<u8> {
    let records = JournalDirectory::open(&temp.0, CAPACITY).unwrap().records;
    records.iter().map(|record| record.kind).collect()
}

#[test]
fn new_file_in_use_although_removal_of_previous_one_failed() {
    let temp = TemporaryDirectory::new("removal");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    // A directory in place of a previous file cannot be removed as a file.
    let previous = temp.0.join("journal-0000000001");
    std::fs::remove_file(&previous).unwrap();
    std::fs::create_dir(&previous).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    assert!(directory.has_old_files(), "the previous file is remembered");
    directory.append([record(2, b"b")]).unwrap();
    std::fs::remove_dir(&previous).unwrap();
    directory.remove_old_files();
    assert!(!directory.has_old_files());
    assert_eq!(stored_kinds(&temp), [1, 2]);
}

#[test]
fn name_taken_by_another_file_is_skipped() {
    let temp = TemporaryDirectory::new("taken");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    // A file that can neither be created nor removed.
    std::fs::create_dir(temp.0.join("journal-0000000002")).unwrap();
    assert!(matches!(directory.replace(SALT, [record(2, b"b")]), Err(JournalError::Io(_))));
    directory.replace(SALT, [record(3, b"c")]).unwrap();
    directory.append([record(4, b"d")]).unwrap();
    std::fs::remove_dir(temp.0.join("journal-0000000002")).unwrap();
    assert_eq!(stored_kinds(&temp), [3, 4]);
}

#[test]
fn incomplete_file_does_not_affect_records_written_after_it() {
    let temp = TemporaryDirectory::new("stale");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    // The next file, written in part only and not removed.
    let mut next = Salt(9).header();
    Salt(9).append_frame(7, b"stale", &mut next);
    std::fs::write(temp.0.join("journal-0000000002"), &next).unwrap();
    directory.append([record(2, b"b")]).unwrap();
    assert_eq!(stored_kinds(&temp), [1, 2]);
}

#[test]
fn records_appended_together_are_read_together_or_not_at_all() {
    let temp = TemporaryDirectory::new("batch");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    let before = directory.size() as usize;
    directory.append([record(2, b"b"), record(3, b""), record(4, b"d")]).unwrap();
    let path = temp.0.join("journal-0000000001");
    let bytes = std::fs::read(&path).unwrap();
    assert_eq!(stored_kinds(&temp), [1, 2, 3, 4]);
    for cut in before..bytes.len() {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        assert_eq!(stored_kinds(&temp), [1], "cut at {cut}");
    }
}

#[test]
fn appended_snapshot_replaces_all_before_it_once_it_is_complete() {
    let temp = TemporaryDirectory::new("snapshot");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a"), record(2, b"b")]).unwrap();
    let before = directory.size() as usize;
    directory.append_snapshot([record(3, b"c")]).unwrap();
    let after = directory.size() as usize;
    directory.append([record(4, b"d")]).unwrap();
    assert_eq!(stored_kinds(&temp), [3, 4]);
    let path = temp.0.join("journal-0000000001");
    let bytes = std::fs::read(&path).unwrap();
    for cut in before..after {
        std::fs::write(&path, &bytes[..cut]).unwrap();
        assert_eq!(stored_kinds(&temp), [1, 2], "cut at {cut}");
    }
}

#[test]
fn write_beyond_capacity_refused() {
    let temp = TemporaryDirectory::new("capacity");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, 16 << 10).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    let large = vec![0; 6 << 10];
    directory.append([record(2, &large)]).unwrap();
    let refused = directory.append([record(3, &vec![0; 12 << 10])]);
    assert!(matches!(refused, Err(JournalError::NoCapacity { .. })), "{refused:?}");
    let refused = directory.replace(SALT, [record(3, &vec![0; 12 << 10])]);
    assert!(matches!(refused, Err(JournalError::NoCapacity { .. })), "{refused:?}");
    assert_eq!(stored_kinds(&temp), [1, 2]);
    directory.replace(SALT, [record(4, &large)]).unwrap();
    assert_eq!(stored_kinds(&temp), [4]);
}

#[test]
fn unreadable_old_file_ignored_if_newer_one_is_complete() {
    let temp = TemporaryDirectory::new("old-unreadable");
    let OpenedJournal { mut directory, .. } = JournalDirectory::open(&temp.0, CAPACITY).unwrap();
    directory.replace(SALT, [record(1, b"a")]).unwrap();
    // A directory in place of an older file cannot be read as a file.
    std::fs::create_dir(temp.0.join("journal-0000000000")).unwrap();
    assert_eq!(stored_kinds(&temp), [1]);
}
