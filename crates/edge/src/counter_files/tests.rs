//! Counters after a crash of the process, after rotation of long and broken logs, and with damaged files.

use super::layout::{CounterSnapshot, FILE_NAME, MAGIC};
use super::*;
use crate::snapshot::{decode_file, encode_file, replace_file};
use linnetcart_telemetry::counts::{CounterKey, CounterStore, Field};
use std::collections::BTreeMap;
use std::fs;

fn directory(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linnetcart-counter-files-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    dir
}

fn store() -> CounterStore {
    CounterStore::new(vec!["order".into()], 100)
}

fn log_header() -> Vec<u8> {
    linnetcart_telemetry::counts::encode_entry(&linnetcart_telemetry::counts::CounterLogEntry::Classes(vec![
        "order".into(),
    ]))
}

/// Loads the counters. Returns the count of accepted messages, the number of the next log, and the damage.
fn read(dir: &Path) -> (u64, u64, Option<String>) {
    let loaded = load(dir).expect("readable");
    let mut store = store();
    loaded.restored.saved.iter().for_each(|saved| store.restore(saved));
    loaded.restored.logs.iter().for_each(|log| {
        store.replay(log);
    });
    let accepted =
        store.cells().get(&CounterKey::Cell { destination: 1, class: 0 }).map_or(0, |c| c[Field::Accepted]);
    (accepted, loaded.next_log, loaded.damaged.map(|damaged| damaged.to_string()))
}

/// Syncs a log that is too long, and reads the files in each state in which a crash may leave them during the
/// rotation: before the snapshot, with the snapshot and the logs that it includes, and with the snapshot
/// alone.
fn rotate_long_log(dir: &Path, files: &mut CounterFiles, store: &CounterStore, n: u64) {
    let (intercepting_sender, intercepted_jobs) = channel();
    let thread_jobs = std::mem::replace(&mut files.jobs, intercepting_sender);
    files.log_bytes = MAX_LOG_BYTES + 1;
    assert!(files.sync(n, || store.saved(&BTreeMap::new(), 0), &log_header()).is_ok());
    assert_eq!(read(dir).0, 2 * n, "before the snapshot is written");
    let Ok(Job::Snapshot { next_log, counters }) = intercepted_jobs.recv() else {
        panic!("the snapshot must precede the sync")
    };
    let snapshot = CounterSnapshot { next_log, counters: store.saved(&BTreeMap::new(), 0) };
    let bytes = encode_file(MAGIC, &snapshot).expect("encodable");
    replace_file(dir, FILE_NAME, &bytes).expect("writable");
    assert_eq!(read(dir).0, 2 * n, "with the snapshot and the logs that it includes");
    let sync = intercepted_jobs.recv().expect("the sync follows the snapshot");
    for job in [Job::Snapshot { next_log, counters }, sync] {
        thread_jobs.send(job).expect("the thread runs");
    }
    let finished = files.finished.recv().expect("the thread runs");
    assert_eq!((finished.number, finished.result.is_ok()), (n, true));
    assert_eq!(read(dir).0, 2 * n, "with the snapshot alone");
    files.jobs = thread_jobs;
}

#[test]
fn counters_survive_a_crash_at_any_time_and_during_log_rotation() {
    let dir = directory("rotation");
    let mut store = store();
    let none = BTreeMap::new();
    let next = load(&dir).expect("a new directory").next_log;
    let mut files = CounterFiles::create(&dir, next, store.saved(&none, 0), &log_header()).expect("writable");
    for n in 1..=50u64 {
        store.add(CounterKey::Cell { destination: 1, class: 0 }, Field::Accepted, 2);
        files.append(&store.frame().expect("a change"));
        assert_eq!(read(&dir).0, 2 * n, "frames survive a crash of the process without a sync");
        if n % 10 == 0 {
            rotate_long_log(&dir, &mut files, &store, n);
        }
    }
    drop(files);
    let (accepted, next, _) = read(&dir);
    let mut restarted =
        CounterFiles::create(&dir, next, store.saved(&none, 0), &log_header()).expect("writable");
    assert_eq!(accepted, 100);
    // Frames are not appended to a broken log. The snapshot that the next sync writes contains their counts.
    restarted.log_broken = true;
    store.add(CounterKey::Cell { destination: 1, class: 0 }, Field::Accepted, 5);
    restarted.append(&store.frame().expect("a change"));
    assert_eq!(read(&dir).0, 100);
    assert!(restarted.sync(1, || store.saved(&none, 0), &log_header()).is_ok());
    assert_eq!(read(&dir).0, 105);
    let logs = fs::read_dir(&dir).expect("a directory").count();
    assert!(logs <= 3, "{logs} files");
    fs::remove_dir_all(&dir).expect("removable");
}

#[test]
fn load_damaged_counters_renames_and_reports_them() {
    let dir = directory("damaged");
    fs::create_dir_all(&dir).expect("a directory");
    fs::write(dir.join(FILE_NAME), b"linnetcart-counts 1 0 3\n{}").expect("written");
    let (accepted, _, damage) = read(&dir);
    assert!(accepted == 0 && damage.is_some_and(|damage| damage.contains("counts.damaged-1")));
    fs::remove_dir_all(&dir).expect("removable");
}

/// The file of a snapshot of the counters that version 0.1.0 wrote.
const FILE_OF_VERSION_0_1_0: &str = concat!(
    "linnetcart-counts 1 719fa28d 127\n",
    r#"{"log":7,"saved":{"cells":[{"destination":1,"class":"order","route":null,"counts":{"taken":42}}],"#,
    r#""names":{"bank":1},"stamp":9}}"#,
);

#[test]
fn load_counters_of_an_earlier_version_encode_to_the_same_bytes() {
    let dir = directory("earlier");
    fs::create_dir_all(&dir).expect("a directory");
    fs::write(dir.join(FILE_NAME), FILE_OF_VERSION_0_1_0).expect("written");
    assert_eq!(read(&dir), (42, 7, None));
    let snapshot: CounterSnapshot =
        decode_file(MAGIC, FILE_OF_VERSION_0_1_0.as_bytes()).expect("a valid snapshot");
    assert_eq!(encode_file(MAGIC, &snapshot).expect("encodable"), FILE_OF_VERSION_0_1_0.as_bytes());
    fs::remove_dir_all(&dir).expect("removable");
}
