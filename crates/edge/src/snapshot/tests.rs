//! Snapshot files: encoding, damaged files, and files of earlier versions.

use super::*;
use crate::settings::EntryState;

/// The file of a snapshot that version 0.1.0 wrote.
const FILE_OF_VERSION_0_1_0: &str = concat!(
    "linnetcart-snapshot 1 86e21d33 1687\n",
    r#"{"settings":{"deployment":"test""#,
    r#","courier":{"me":3,"of":4,"zone":"a"},"zones":["a","b"]"#,
    r#","classes":[{"name":"status","aim_ms":1000,"deadline_ms":8000,"worth":1.0,"late_worth":0.5"#,
    r#","repeat":"safe","ordered":false},{"name":"proxy","aim_ms":1000,"deadline_ms":6000,"worth":1.0"#,
    r#","late_worth":0.5,"repeat":{"keyed":{"window_ms":8000,"by_zone":false}},"ordered":true}"#,
    r#",{"name":"order","aim_ms":1000,"deadline_ms":3000,"worth":4.0,"late_worth":0.5,"repeat":"unsafe""#,
    r#","ordered":false}]"#,
    r#","kinds":[{"name":"large","routes_apart":false,"per_call":1},{"name":"small","routes_apart":true"#,
    r#","per_call":1},{"name":"batch","routes_apart":false,"per_call":3}],"tenants":[]"#,
    r#","limits":{"slots":8,"held":100,"held_bytes":268435456,"attempts":6,"request_bytes":1048576"#,
    r#","pipelined":256,"unsent_bytes":1048576,"destinations":10000}"#,
    r#","allow":{"cancel":true,"copies":true,"probes":false,"notes":false,"list_asked":false"#,
    r#","come_back_ms":3000},"connections":{"calls":1,"idle_ms":5000,"connect_timeout_ms":1000}"#,
    r#","clocks":{"apart_ms":50,"record_time":true}"#,
    r#","rules":{"answer_slack_ms":20,"cold_share":0.2,"warm_after_ms":10000,"fall_multiple":2.0"#,
    r#","fall_span_ms":2000,"key_rest_ms":100},"rates":"untold","worth":{"halves":false,"over_share":0.1}"#,
    r#","prices":{"connection":0.0,"crossing":0.0,"waste":0.0,"late":0.0,"refused":0.0,"route_fees":[]}"#,
    r#","tick_us":1000}"#,
    r#","list":{"version":3,"entries":{"10":{"id":10,"destination":1,"kind":"large","zone":"a","rate":0.0"#,
    r#","state":"ready","address":"127.0.0.1:10"},"20":{"id":20,"destination":2,"kind":"small","zone":"a""#,
    r#","rate":0.0,"state":"draining","address":"127.0.0.1:20"}}}"#,
    r#","telemetry":{"interval_s":5,"points":100000,"cells":100000,"names":{},"graphite":null"#,
    r#","collectd":null,"listen":null}}"#,
);

fn sample_snapshot() -> Snapshot {
    let settings = Settings::parse(crate::settings::tests::sample().to_string().as_bytes()).unwrap();
    let telemetry = Some(Telemetry { interval_s: 5, ..Telemetry::default() });
    Snapshot {
        settings: Some(settings),
        list: EndpointList { version: 3, ..EndpointList::default() },
        telemetry,
    }
}

#[test]
fn decode_truncated_file_or_flipped_bit_is_an_error() {
    let good = encode(&sample_snapshot()).unwrap();
    assert_eq!(decode(&good).unwrap(), sample_snapshot());
    for length in 0..good.len() {
        assert!(decode(&good[..length]).is_err(), "truncated to {length} bytes");
    }
    for position in 0..good.len() {
        let mut bad = good.clone();
        bad[position] ^= 0x10;
        assert!(decode(&bad).is_err(), "flipped at byte {position}");
    }
}

#[test]
fn decode_unsupported_format_version_is_an_error_that_names_it() {
    let good = String::from_utf8(encode(&sample_snapshot()).unwrap()).unwrap();
    let other = good.replacen("snapshot 1 ", "snapshot 2 ", 1);
    assert!(decode(other.as_bytes()).unwrap_err().to_string().contains("format 2"));
}

#[test]
fn load_damaged_snapshot_renames_it() {
    let dir = std::env::temp_dir().join(format!("linnetcart-snapshot-{}", std::process::id()));
    assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::None));
    save(&dir, &sample_snapshot()).unwrap();
    assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::Good(s) if *s == sample_snapshot()));
    for n in 1..=2 {
        fs::write(dir.join(FILE_NAME), b"linnetcart-snapshot 1 0 9\nhalf").unwrap();
        let LoadedSnapshot::Damaged { moved_to, .. } = load(&dir).unwrap() else {
            panic!("a damaged snapshot was loaded")
        };
        assert_eq!(moved_to, dir.join(format!("snapshot.damaged-{n}")));
        assert!(matches!(load(&dir).unwrap(), LoadedSnapshot::None));
    }
    fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn decode_snapshot_of_an_earlier_version_encodes_to_the_same_bytes() {
    let snapshot = decode(FILE_OF_VERSION_0_1_0.as_bytes()).expect("a valid snapshot");
    let settings = snapshot.settings.as_ref().expect("the snapshot has settings");
    assert_eq!(settings.check(), Ok(()));
    assert_eq!((settings.courier.index, settings.limits.max_in_flight), (3, 100));
    assert_eq!(settings.classes[0].latency_objective_ms, 1000);
    let states: Vec<EntryState> = snapshot.list.entries.values().map(|entry| entry.state).collect();
    assert_eq!((snapshot.list.version, states), (3, vec![EntryState::Ready, EntryState::Draining]));
    assert_eq!(encode(&snapshot).expect("encodable"), FILE_OF_VERSION_0_1_0.as_bytes());
}
