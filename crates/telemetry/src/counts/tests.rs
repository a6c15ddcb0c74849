use super::*;
use proptest::prelude::*;

fn classes(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn counts_after_class_change_follow_class_name() {
    let mut store = CounterStore::new(classes(&["order", "query"]), 10);
    store.add(CounterKey::Cell { destination: 7, class: 1 }, Field::Accepted, 3);
    store.add(CounterKey::Route { endpoint: 70 }, Field::Attempts, 2);
    let saved = store.saved(&BTreeMap::new(), 5);
    let mut log = encode_entry(&CounterLogEntry::Classes(classes(&["order", "query"])));
    store.frame();
    store.add(CounterKey::Cell { destination: 7, class: 0 }, Field::Accepted, 300);
    log.extend(store.frame().expect("something changed"));
    let mut without_order = CounterStore::new(classes(&["query"]), 10);
    without_order.restore(&saved);
    assert_eq!(without_order.replay(&log), ReplayedLog { entries: vec![], complete_bytes: log.len() });
    assert_eq!(without_order.cells()[&CounterKey::Cell { destination: 7, class: 0 }][Field::Accepted], 3);
    assert_eq!(without_order.cells()[&CounterKey::Route { endpoint: 70 }][Field::Attempts], 2);
    let mut with_order = CounterStore::new(classes(&["order", "query"]), 10);
    with_order.restore(&without_order.saved(&BTreeMap::new(), 5));
    assert_eq!(with_order.cells()[&CounterKey::Cell { destination: 7, class: 0 }][Field::Accepted], 300);
}

#[test]
fn cells_over_limit_are_counted_together() {
    let mut store = CounterStore::new(classes(&["order"]), 2);
    for destination in 0..5 {
        store.add(CounterKey::Cell { destination, class: 0 }, Field::Accepted, 2);
    }
    assert_eq!((store.cells().len(), store.over_limit()), (2, 6));
}

proptest! {
    #[test]
    fn log_truncated_or_corrupted_replays_complete_frames_only(
        adds in prop::collection::vec((0u32..4, 0u8..2, 0usize..FIELD_COUNT, 1u64..u64::MAX / 64), 1..20),
        cut in 0usize..2000, flip in 0usize..2000,
    ) {
        let names = classes(&["a", "b"]);
        let mut store = CounterStore::new(names.clone(), 100);
        let mut log = encode_entry(&CounterLogEntry::Classes(names.clone()));
        // The length of the log and the counts after each frame.
        let mut states = vec![(log.len(), store.clone())];
        for (destination, class, field, increase) in adds {
            store.add(CounterKey::Cell { destination, class }, Field::ALL[field], increase);
            log.extend(store.frame().expect("something changed"));
            states.push((log.len(), store.clone()));
        }
        let cut = cut % (log.len() + 1);
        let mut read = CounterStore::new(names.clone(), 100);
        let complete_bytes = read.replay(&log[..cut]).complete_bytes;
        let complete = states.iter().rev().find(|(length, _)| *length <= cut);
        prop_assert_eq!(complete_bytes, complete.map_or(0, |(length, _)| *length));
        let none = BTreeMap::new();
        prop_assert_eq!(read.cells(), complete.map_or(&none, |(_, store)| store.cells()));
        let flip = flip % log.len();
        log[flip] ^= 4;
        let mut read = CounterStore::new(names, 100);
        prop_assert!(read.replay(&log).complete_bytes <= flip);
    }

    #[test]
    fn random_log_replayed_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        CounterStore::new(classes(&["a"]), 10).replay(&bytes);
        let _ = CounterStore::new(classes(&["a"]), 10).apply_deltas(&classes(&["a"]), &bytes);
    }
}

/// A log written by an earlier version: classes, name, timestamp, one frame of deltas.
const STORED_LOG: &[u8] = b"\x1e\x00\x00\x00b[\x92\xf7\x02{\"Classes\":[\"order\",\"query\"]}\
    \x19\x00\x00\x00\x91\x8d\x92>\x02{\"Name\":[\"Bank_Lodz\",7]}\
    \x15\x00\x00\x00\xd8\xd9)S\x02{\"Stamp\":1700000000}\
    \x13\x00\x00\x00\xcaP\xd7q\x01\x00\x07\x01\xac\x02\x11\x07\x01\xd0\x0fGF\x00\x02\x95\x00\x00\x01";

/// The snapshot that an earlier version saved with the same counts.
const STORED_DOCUMENT: &str = concat!(
    r#"{"cells":[{"destination":7,"class":"query","route":null,"counts":{"taken":300,"#,
    r#""worth_asked_milli":2000}},{"destination":null,"class":null,"route":70,"#,
    r#""counts":{"attempts":2}},{"destination":null,"class":null,"route":null,"#,
    r#""counts":{"points_dropped":1}}],"names":{"Bank_Lodz":7},"stamp":1700000000}"#,
);

fn bank_lodz() -> CounterLogEntry {
    CounterLogEntry::Name(AssignedSeriesName { name: "Bank_Lodz".into(), destination: 7 })
}

fn stored_counts() -> CounterStore {
    let mut store = CounterStore::new(classes(&["order", "query"]), 10);
    store.add(CounterKey::Cell { destination: 7, class: 1 }, Field::Accepted, 300);
    store.add(CounterKey::Cell { destination: 7, class: 1 }, Field::WeightOffered, 2000);
    store.add(CounterKey::Route { endpoint: 70 }, Field::Attempts, 2);
    store.add(CounterKey::Reports, Field::PointsDropped, 1);
    store
}

#[test]
fn log_written_matches_stored_bytes() {
    let mut log = encode_entry(&CounterLogEntry::Classes(classes(&["order", "query"])));
    log.extend(encode_entry(&bank_lodz()));
    log.extend(encode_entry(&CounterLogEntry::Timestamp(1_700_000_000)));
    log.extend(stored_counts().frame().expect("something changed"));
    assert_eq!(log, STORED_LOG);
}

#[test]
fn log_of_earlier_version_replays_names_timestamps_and_counts() {
    let mut store = CounterStore::new(classes(&["order", "query"]), 10);
    let ReplayedLog { entries, complete_bytes } = store.replay(STORED_LOG);
    assert_eq!(complete_bytes, STORED_LOG.len());
    let expected = [bank_lodz(), CounterLogEntry::Timestamp(1_700_000_000)];
    assert_eq!(entries, expected);
    assert_eq!(store.cells(), stored_counts().cells());
}

#[test]
fn document_written_matches_stored_text() {
    let names = BTreeMap::from([("Bank_Lodz".to_owned(), 7)]);
    let saved = stored_counts().saved(&names, 1_700_000_000);
    assert_eq!(serde_json::to_string(&saved).expect("serializable"), STORED_DOCUMENT);
}

#[test]
fn document_of_earlier_version_restores_counts() {
    let saved: Saved = serde_json::from_str(STORED_DOCUMENT).expect("a stored document");
    assert_eq!((saved.names.get("Bank_Lodz"), saved.last_timestamp_s), (Some(&7), 1_700_000_000));
    let mut store = CounterStore::new(classes(&["order", "query"]), 10);
    store.restore(&saved);
    assert_eq!(store.cells(), stored_counts().cells());
}

/// A field's position is its number in the log, its name is part of snapshots and series: neither may change.
#[test]
fn fields_keep_their_numbers_and_names() {
    let names = Field::ALL.map(Field::name);
    let numbers = Field::ALL.map(|field| field as usize);
    assert_eq!(numbers, std::array::from_fn(|number| number));
    let wanted = [
        "taken",
        "in_aim",
        "late",
        "refused",
        "failed",
        "withdrawn",
        "turned_away",
        "attempts",
        "copies",
        "served",
        "cancelled",
        "full",
        "told_waits",
        "errors",
        "timed_out",
        "resets",
        "not_sent",
        "worth_asked_milli",
        "worth_in_aim_milli",
        "worth_late_milli",
        "worth_lost_milli",
        "points_dropped",
        "points_put_off",
        "outlet_failures",
        "packets_bad",
    ];
    assert_eq!(names, wanted);
}
