//! Both sides against each other, and against damaged and arbitrary bytes.

use bytes::Bytes;
use linnetcart_kafka::client::{BrokerMetadata, PartitionMetadata, TopicMetadata};
use linnetcart_kafka::server::{self, Body, Broker, FetchTopic, PartitionResult, Topic};
use linnetcart_kafka::{client, codes, Frames, LoadReport, Record, API_VERSIONS, METADATA, PRODUCE};
use proptest::prelude::*;

fn record(value: &str) -> Record {
    Record {
        key: Some(Bytes::from_static(b"key")),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
        headers: vec![("message-id".into(), Some(Bytes::from_static(b"m1"))), ("empty".into(), None)],
        timestamp: 1_700_000_000_123,
    }
}

/// Takes the length off a frame that was written whole.
fn strip(framed: &Bytes) -> Bytes {
    let mut frames = Frames::new(1 << 20);
    frames.push(framed);
    let frame = frames.next_frame().unwrap().unwrap();
    assert_eq!(frames.held(), 0);
    frame
}

#[test]
fn produce_of_every_offered_version_is_read_as_written() {
    for version in PRODUCE.0..=PRODUCE.1 {
        let records = [record("one"), record("two")];
        let to = [
            client::ProduceTarget { topic: "a", partition: 3, records: &records },
            client::ProduceTarget { topic: "a", partition: 4, records: &records[..1] },
            client::ProduceTarget { topic: "b", partition: 0, records: &records[1..] },
        ];
        let wire = client::produce(9, "tester", version, (-1, 5000), &to).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert_eq!((request.correlation, request.version), (9, version));
        assert_eq!(request.client.as_deref(), Some("tester"));
        let Body::Produce(p) = request.body else { panic!("not a Produce request") };
        assert_eq!((p.acks, p.timeout_ms, p.parts.len()), (-1, 5000, 3));
        assert_eq!(p.parts[0].records.as_ref().unwrap(), &records);
        assert_eq!((p.parts[2].topic.as_str(), p.parts[2].partition), ("b", 0));

        let ended = [
            PartitionResult {
                topic: "a".into(),
                partition: 3,
                code: codes::NONE,
                offset: 7,
                ..PartitionResult::default()
            },
            PartitionResult {
                topic: "a".into(),
                partition: 4,
                code: codes::INVALID_RECORD,
                offset: -1,
                records: if version >= 8 { vec![(0, "failed".into())] } else { vec![] },
                text: (version >= 8).then(|| "mixed".into()),
            },
        ];
        let load = LoadReport { capacity_left: 0.25, rate_limit: 40.0 };
        let wire = server::produce(9, version, &ended, 120, Some(load));
        let got = client::read_produced(&strip(&wire), version).unwrap();
        assert_eq!(got.parts, ended);
        assert_eq!((got.correlation, got.throttle_ms), (9, 120));
        assert_eq!(got.load, (version >= 9).then_some(load));
    }
}

#[test]
fn metadata_of_every_offered_version_is_read_as_written() {
    for version in METADATA.0..=METADATA.1 {
        let wire = client::metadata(1, "t", version, None).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert!(matches!(request.body, Body::Metadata(None)), "version {version}: all topics");
        let wire = client::metadata(1, "t", version, Some(&["a"])).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert!(matches!(request.body, Body::Metadata(Some(ref t)) if t == &["a"]), "version {version}");
        let broker = Broker { id: 2, host: "127.0.0.1".into(), port: 9092 };
        let topics = [
            Topic { name: "a".into(), known: true, partitions: vec![true, false] },
            Topic { name: "x".into(), known: false, partitions: vec![] },
        ];
        let got =
            client::read_metadata(&strip(&server::metadata(1, version, &broker, &topics)), version).unwrap();
        assert_eq!(got.brokers, [BrokerMetadata { id: 2, host: "127.0.0.1".to_owned(), port: 9092 }]);
        let partitions = vec![
            PartitionMetadata { index: 0, code: codes::NONE, leader: 2 },
            PartitionMetadata { index: 1, code: codes::LEADER_NOT_AVAILABLE, leader: -1 },
        ];
        assert_eq!(got.topics[0], TopicMetadata { name: "a".to_owned(), code: codes::NONE, partitions });
        assert_eq!(got.topics[1].code, codes::UNKNOWN_TOPIC_OR_PARTITION);
    }
}

#[test]
fn api_versions_request_too_new_is_answered_in_version_0() {
    for version in API_VERSIONS.0..=API_VERSIONS.1 {
        let wire = client::api_versions(4, "t", version).unwrap();
        assert!(matches!(server::read(&strip(&wire)).unwrap().body, Body::ApiVersions));
    }
    let mut newer = strip(&client::api_versions(4, "t", 3).unwrap()).to_vec();
    newer[3] = 9;
    let request = server::read(&newer.into()).unwrap();
    assert!(matches!(request.body, Body::ApiVersionsTooNew));
    let answer = strip(&server::api_versions_unsupported(request.correlation, request.version));
    // Correlation, then the error code of version 0.
    assert_eq!(&answer[..6], [0, 0, 0, 4, 0, 35]);
}

#[test]
fn api_versions_response_gives_the_offered_produce_versions() {
    let answer = strip(&server::api_versions(7, 0));
    assert_eq!(client::read_produce_versions(&answer).unwrap(), (7, Some(PRODUCE)));
    assert!(client::read_produce_versions(&answer.slice(..answer.len() - 1)).is_err());
}

#[test]
fn fetch_request_is_answered_as_not_readable() {
    // Fetch 4: key, version, number, client "t"; replica, wait, least, most, isolation; one topic, one partition.
    let mut wire = vec![0, 1, 0, 4, 0, 0, 0, 9, 0, 1, b't'];
    wire.extend([0xff; 4]);
    wire.extend([0, 0, 0, 100, 0, 0, 0, 1, 0, 0, 4, 0, 0]);
    wire.extend([0, 0, 0, 1, 0, 1, b'a', 0, 0, 0, 1, 0, 0, 0, 5]);
    wire.extend([0; 8]);
    wire.extend([0, 0, 4, 0]);
    let request = server::read(&wire.clone().into()).unwrap();
    let Body::Fetch(topics) = request.body else { panic!("not a Fetch request") };
    assert_eq!(topics, [FetchTopic { topic: "a".to_owned(), partitions: vec![5] }]);
    let answer = strip(&server::not_readable(9, &topics));
    // Number, throttle, one topic "a", one partition 5, its code.
    let want = [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1, b'a', 0, 0, 0, 1, 0, 0, 0, 5, 0, 29];
    assert_eq!(answer[..want.len()], want);
    wire.truncate(40);
    assert!(server::read(&wire.into()).is_err());
}

#[test]
fn request_of_an_api_or_version_not_offered_is_an_error() {
    let other = |api: u8, version: u8| server::read(&Bytes::from(vec![0, api, 0, version, 0, 0, 0, 1]));
    assert_eq!(other(2, 4).unwrap_err(), server::RequestError::Api(2));
    assert_eq!(other(0, 13).unwrap_err(), server::RequestError::Version { api: 0, version: 13 });
    assert_eq!(other(0, 2).unwrap_err(), server::RequestError::Version { api: 0, version: 2 });
}

/// Sets one bit of a Produce request's batch and reads it again.
#[test]
fn batch_with_a_wrong_checksum_is_rejected_alone() {
    let records = [record("a value that can be spoiled")];
    let to = [client::ProduceTarget { topic: "a", partition: 0, records: &records }];
    let mut wire = strip(&client::produce(1, "t", 9, (1, 1), &to).unwrap()).to_vec();
    let at = wire.windows(7).position(|w| w == b"spoiled").unwrap();
    wire[at] ^= 1;
    let Body::Produce(p) = server::read(&wire.into()).unwrap().body else { panic!("not a Produce request") };
    assert_eq!(p.parts[0].records, Err(codes::CORRUPT_MESSAGE));
}

#[test]
fn compressed_batch_is_rejected_with_its_error_code() {
    let records = [record("v")];
    let to = [client::ProduceTarget { topic: "a", partition: 0, records: &records }];
    let mut wire = strip(&client::produce(1, "t", 3, (1, 1), &to).unwrap()).to_vec();
    // Attributes stand 21 bytes into the batch, which follows its 4-byte length.
    let batch = wire.windows(5).position(|w| w == [0xff, 0xff, 0xff, 0xff, 2]).unwrap() - 12;
    wire[batch + 22] |= 4;
    let Body::Produce(p) = server::read(&wire.into()).unwrap().body else { panic!("not a Produce request") };
    assert_eq!(p.parts[0].records, Err(codes::UNSUPPORTED_COMPRESSION_TYPE));
}

#[test]
fn count_beyond_the_frame_is_rejected_before_allocation() {
    // Produce 3: no transaction, acks, timeout, then the count of topics.
    let mut wire = vec![0, 0, 0, 3, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0, 1, 0, 0, 0, 1];
    wire.extend(i32::MAX.to_be_bytes());
    assert!(matches!(server::read(&wire.into()), Err(server::RequestError::Malformed(_))));
}

fn valid(which: usize, version: i16) -> Vec<u8> {
    let records = [record("one"), record("two")];
    let to = [client::ProduceTarget { topic: "a", partition: 3, records: &records }];
    let wire = match which {
        0 => client::produce(9, "tester", version.clamp(PRODUCE.0, PRODUCE.1), (-1, 5000), &to),
        1 => client::metadata(9, "tester", version.clamp(METADATA.0, METADATA.1), Some(&["a", "b"])),
        _ => client::api_versions(9, "tester", version.clamp(API_VERSIONS.0, API_VERSIONS.1)),
    };
    strip(&wire.unwrap()).to_vec()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), version in 0i16..13) {
        let bytes = Bytes::from(bytes);
        let _ = server::read(&bytes);
        let _ = client::read_produced(&bytes, version.max(3));
        let _ = client::read_metadata(&bytes, version);
        let _ = client::read_produce_versions(&bytes);
    }

    /// Requests with bytes changed, cut or added: read or turned down, never a panic.
    #[test]
    fn mutated_requests_never_panic(which in 0usize..3, version in 0i16..13,
                                    edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
                                    cut in any::<prop::sample::Index>(), shorten in any::<bool>()) {
        let mut wire = valid(which, version);
        for (at, byte) in edits {
            let at = at.index(wire.len());
            wire[at] = byte;
        }
        if shorten {
            wire.truncate(cut.index(wire.len()));
        }
        let _ = server::read(&wire.into());
    }

    #[test]
    fn mutated_responses_never_panic(version in 3i16..13,
                                     edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let ended = [PartitionResult { topic: "a".into(), partition: 3, code: 89, offset: 7, ..PartitionResult::default() }];
        let load = LoadReport { capacity_left: 0.25, rate_limit: 40.0 };
        let mut wire = strip(&server::produce(9, version, &ended, 120, Some(load))).to_vec();
        for (at, byte) in edits {
            let at = at.index(wire.len());
            wire[at] = byte;
        }
        let wire = Bytes::from(wire);
        let _ = client::read_produced(&wire, version);
        let _ = client::read_metadata(&wire, version);
    }
}
