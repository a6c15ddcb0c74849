use super::*;
use linnetcart::{AcceptedMessage, Class, DestinationKind, Endpoint, EndpointStatus, Idempotency};

/// Records nine decision cycles and returns the path of the record.
fn record(folder: &Path) -> PathBuf {
    set_folder(folder).expect("a folder");
    let class = Class {
        latency_objective: 1_000_000_000,
        deadline: 5_000_000_000,
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let settings = Settings {
        courier_count: 1,
        max_in_flight_calls: 4,
        max_in_flight_messages: 20,
        max_attempts: 3,
        classes: vec![class],
        kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
        ..Settings::default()
    };
    let mut policy = recording_policy(settings, 7);
    let entry =
        Endpoint { id: 70, destination: 3, kind: 0, zone: 0, rate: 0.1 + 0.2, status: EndpointStatus::Ready };
    policy.decide(5, vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
    for id in 1..9 {
        let message = AcceptedMessage {
            id,
            destination: 3,
            class: 0,
            time_remaining: 5_000_000_000,
            ordering_key: u64::MAX,
            tenant: 0,
        };
        policy.decide(u64::from(id) * 1_000_000, vec![Event::Accepted(message)]);
    }
    folder.join(format!("0-{}.rounds", std::process::id()))
}

#[test]
fn record_that_was_changed_or_cut_replays_up_to_the_difference() {
    let folder = std::env::temp_dir().join(format!("linnetcart-record-{}", std::process::id()));
    let path = record(&folder);
    assert_eq!(replay(&path).expect("the same").cycles, 9);
    let text = std::fs::read_to_string(&path).expect("a record");
    std::fs::write(&path, &text[..text.len() - 4]).expect("cut");
    assert_eq!(replay(&path).expect("the same but for what is cut").cycles, 8);
    std::fs::write(&path, text.replacen("\"endpoint\":70", "\"endpoint\":71", 1)).expect("changed");
    let error = replay(&path).expect_err("it differs").to_string();
    assert!(error.contains("line 3") && error.contains("decided otherwise"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}
