//! Client and server side against each other, and against corrupted and random bytes.

use bytes::Bytes;
use linnetcart_kafka::client::{
    self, BrokerMetadata, PartitionMetadata, ProduceTarget, ProduceVersions, RequiredAcks, TopicMetadata,
};
use linnetcart_kafka::server::{
    self, Body, Broker, FetchTopic, PartitionResult, PartitionState, Produce, RecordError, RequestError,
    Topic,
};
use linnetcart_kafka::{
    codes, Frames, LoadReport, Record, RecordHeader, VersionRange, API_VERSIONS, METADATA, PRODUCE,
};
use proptest::prelude::*;
use std::ops::RangeInclusive;

const ALL_REPLICAS: RequiredAcks = RequiredAcks { acks: -1, timeout_ms: 5000 };
const LOAD: LoadReport = LoadReport { capacity_left: 0.25, rate_limit: 40.0 };

fn record(value: &str) -> Record {
    Record {
        key: Some(Bytes::from_static(b"key")),
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
        headers: vec![
            RecordHeader::new("message-id", "m1"),
            RecordHeader { name: "empty".to_owned(), value: None },
        ],
        timestamp: 1_700_000_000_123,
    }
}

/// Removes the length prefix of a single complete frame.
fn strip(framed: &Bytes) -> Bytes {
    let mut frames = Frames::new(1 << 20);
    frames.push(framed);
    let frame = frames.next_frame().unwrap().unwrap();
    assert_eq!(frames.buffered_bytes(), 0);
    frame
}

fn versions(range: VersionRange) -> RangeInclusive<i16> {
    range.first..=range.last
}

fn read_produce(frame: Bytes) -> Produce {
    let Body::Produce(produce) = server::read(&frame).unwrap().body else { panic!("not a Produce request") };
    produce
}

/// A Produce request with one record for one partition, without its length prefix.
fn produce_frame(version: i16, value: &str) -> Vec<u8> {
    let records = [record(value)];
    let targets = [ProduceTarget { topic: "a", partition: 0, records: &records }];
    let required = RequiredAcks { acks: 1, timeout_ms: 1 };
    strip(&client::produce(1, "t", version, required, &targets).unwrap()).to_vec()
}

#[test]
fn produce_of_every_offered_version_is_read_as_written() {
    for version in versions(PRODUCE) {
        let records = [record("one"), record("two")];
        let targets = [
            ProduceTarget { topic: "a", partition: 3, records: &records },
            ProduceTarget { topic: "a", partition: 4, records: &records[..1] },
            ProduceTarget { topic: "b", partition: 0, records: &records[1..] },
        ];
        let wire = client::produce(9, "tester", version, ALL_REPLICAS, &targets).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert_eq!((request.correlation, request.version), (9, version));
        assert_eq!(request.client.as_deref(), Some("tester"));
        let Body::Produce(produce) = request.body else { panic!("not a Produce request") };
        assert_eq!((produce.acks, produce.timeout_ms, produce.parts.len()), (-1, 5000, 3));
        assert_eq!(produce.parts[0].records.as_ref().unwrap(), &records);
        assert_eq!((produce.parts[2].topic.as_str(), produce.parts[2].partition), ("b", 0));
    }
}

#[test]
fn produce_response_of_every_offered_version_is_read_as_written() {
    for version in versions(PRODUCE) {
        let has_messages = version >= 8;
        let record_error = RecordError { index: 0, message: "failed".to_owned() };
        let results = [
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
                record_errors: if has_messages { vec![record_error] } else { vec![] },
                text: has_messages.then(|| "mixed".into()),
            },
        ];
        let wire = server::produce(9, version, &results, 120, Some(LOAD));
        let reply = client::read_produced(&strip(&wire), version).unwrap();
        assert_eq!(reply.parts, results);
        assert_eq!((reply.correlation, reply.throttle_ms), (9, 120));
        assert_eq!(reply.load, (version >= 9).then_some(LOAD));
    }
}

#[test]
fn metadata_of_every_offered_version_is_read_as_written() {
    for version in versions(METADATA) {
        let wire = client::metadata(1, "t", version, None).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert!(matches!(request.body, Body::Metadata(None)), "version {version}: all topics");
        let wire = client::metadata(1, "t", version, Some(&["a"])).unwrap();
        let request = server::read(&strip(&wire)).unwrap();
        assert!(
            matches!(request.body, Body::Metadata(Some(ref topics)) if topics == &["a"]),
            "version {version}"
        );
        let broker = Broker { id: 2, host: "127.0.0.1".into(), port: 9092 };
        let states = vec![PartitionState::Available, PartitionState::Unavailable];
        let topics = [
            Topic { name: "a".into(), partitions: Some(states) },
            Topic { name: "x".into(), partitions: None },
        ];
        let wire = server::metadata(1, version, &broker, &topics);
        let metadata = client::read_metadata(&strip(&wire), version).unwrap();
        assert_eq!(metadata.brokers, [BrokerMetadata { id: 2, host: "127.0.0.1".to_owned(), port: 9092 }]);
        let partitions = vec![
            PartitionMetadata { index: 0, code: codes::NONE, leader: 2 },
            PartitionMetadata { index: 1, code: codes::LEADER_NOT_AVAILABLE, leader: -1 },
        ];
        assert_eq!(metadata.topics[0], TopicMetadata { name: "a".to_owned(), code: codes::NONE, partitions });
        assert_eq!(metadata.topics[1].code, codes::UNKNOWN_TOPIC_OR_PARTITION);
        assert_eq!(metadata.topics[1].partitions, []);
    }
}

#[test]
fn api_versions_request_too_new_is_answered_in_version_0() {
    for version in versions(API_VERSIONS) {
        let wire = client::api_versions(4, "t", version).unwrap();
        assert!(matches!(server::read(&strip(&wire)).unwrap().body, Body::ApiVersions));
    }
    let mut newer = strip(&client::api_versions(4, "t", 3).unwrap()).to_vec();
    newer[3] = 9;
    let request = server::read(&newer.into()).unwrap();
    assert!(matches!(request.body, Body::ApiVersionsTooNew));
    let answer = strip(&server::api_versions_unsupported(request.correlation, request.version));
    // Correlation id, then the error code in the layout of version 0.
    assert_eq!(&answer[..6], [0, 0, 0, 4, 0, 35]);
}

#[test]
fn api_versions_response_gives_the_offered_produce_versions() {
    let answer = strip(&server::api_versions(7, 0));
    let expected = ProduceVersions { correlation: 7, offered: Some(PRODUCE) };
    assert_eq!(client::read_produce_versions(&answer).unwrap(), expected);
    assert!(client::read_produce_versions(&answer.slice(..answer.len() - 1)).is_err());
}

#[test]
fn fetch_request_is_rejected_for_each_partition() {
    // Fetch 4: API key, version, correlation id, client id "t"; replica, wait, minimum and maximum bytes,
    // isolation; one topic, one partition.
    let mut wire = vec![0, 1, 0, 4, 0, 0, 0, 9, 0, 1, b't'];
    wire.extend([0xff; 4]);
    wire.extend([0, 0, 0, 100, 0, 0, 0, 1, 0, 0, 4, 0, 0]);
    wire.extend([0, 0, 0, 1, 0, 1, b'a', 0, 0, 0, 1, 0, 0, 0, 5]);
    wire.extend([0; 8]);
    wire.extend([0, 0, 4, 0]);
    let request = server::read(&wire.clone().into()).unwrap();
    let Body::Fetch(topics) = request.body else { panic!("not a Fetch request") };
    assert_eq!(topics, [FetchTopic { topic: "a".to_owned(), partitions: vec![5] }]);
    let answer = strip(&server::fetch_rejected(9, &topics));
    // Correlation id, throttle time, one topic "a", one partition 5, its error code.
    let expected = [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0, 1, b'a', 0, 0, 0, 1, 0, 0, 0, 5, 0, 29];
    assert_eq!(answer[..expected.len()], expected);
    wire.truncate(40);
    assert!(server::read(&wire.into()).is_err());
}

#[test]
fn request_of_an_api_or_version_not_offered_is_an_error() {
    let read = |api: u8, version: u8| server::read(&Bytes::from(vec![0, api, 0, version, 0, 0, 0, 1]));
    assert_eq!(read(2, 4).unwrap_err(), RequestError::Api(2));
    assert_eq!(read(0, 13).unwrap_err(), RequestError::Version { api: 0, version: 13 });
    assert_eq!(read(0, 2).unwrap_err(), RequestError::Version { api: 0, version: 2 });
}

#[test]
fn batch_with_a_wrong_checksum_is_rejected_alone() {
    let mut wire = produce_frame(9, "a value that is corrupted");
    let value = wire.windows(9).position(|window| window == b"corrupted").unwrap();
    wire[value] ^= 1;
    let produce = read_produce(wire.into());
    assert_eq!(produce.parts[0].records, Err(codes::CORRUPT_MESSAGE));
}

#[test]
fn compressed_batch_is_rejected_with_its_error_code() {
    let mut wire = produce_frame(3, "v");
    // The leader epoch (-1) and the magic byte (2) are at byte 12 of the batch, the attributes at bytes 21
    // and 22.
    let batch = wire.windows(5).position(|window| window == [0xff, 0xff, 0xff, 0xff, 2]).unwrap() - 12;
    wire[batch + 22] |= 4;
    let produce = read_produce(wire.into());
    assert_eq!(produce.parts[0].records, Err(codes::UNSUPPORTED_COMPRESSION_TYPE));
}

#[test]
fn count_beyond_the_frame_is_rejected_before_allocation() {
    // Produce 3: header, null transactional id, acks, timeout, then the count of topics.
    let mut wire = vec![0, 0, 0, 3, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0, 1, 0, 0, 0, 1];
    wire.extend(i32::MAX.to_be_bytes());
    assert!(matches!(server::read(&wire.into()), Err(RequestError::Malformed(_))));
}

#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Produce,
    Metadata,
    ApiVersions,
}

fn any_request_kind() -> impl Strategy<Value = RequestKind> {
    prop_oneof![Just(RequestKind::Produce), Just(RequestKind::Metadata), Just(RequestKind::ApiVersions)]
}

/// A valid request in the offered version that is nearest to `version`.
fn valid_request(kind: RequestKind, version: i16) -> Vec<u8> {
    let nearest = |range: VersionRange| version.clamp(range.first, range.last);
    let records = [record("one"), record("two")];
    let targets = [ProduceTarget { topic: "a", partition: 3, records: &records }];
    let wire = match kind {
        RequestKind::Produce => client::produce(9, "tester", nearest(PRODUCE), ALL_REPLICAS, &targets),
        RequestKind::Metadata => client::metadata(9, "tester", nearest(METADATA), Some(&["a", "b"])),
        RequestKind::ApiVersions => client::api_versions(9, "tester", nearest(API_VERSIONS)),
    };
    strip(&wire.unwrap()).to_vec()
}

/// Replacement of one byte of a message.
#[derive(Clone, Copy, Debug)]
struct ByteEdit {
    position: prop::sample::Index,
    byte: u8,
}

fn any_edits() -> impl Strategy<Value = Vec<ByteEdit>> {
    let edit = (any::<prop::sample::Index>(), any::<u8>());
    prop::collection::vec(edit.prop_map(|(position, byte)| ByteEdit { position, byte }), 1..6)
}

fn apply_edits(message: &mut [u8], edits: &[ByteEdit]) {
    for edit in edits {
        message[edit.position.index(message.len())] = edit.byte;
    }
}

fn mutation_cases() -> ProptestConfig {
    ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(mutation_cases())]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), version in 0i16..13) {
        let bytes = Bytes::from(bytes);
        let _ = server::read(&bytes);
        let _ = client::read_produced(&bytes, version.max(3));
        let _ = client::read_metadata(&bytes, version);
        let _ = client::read_produce_versions(&bytes);
    }

    #[test]
    fn mutated_requests_never_panic(
        kind in any_request_kind(), version in 0i16..13, edits in any_edits(),
        cut in any::<prop::sample::Index>(), shorten in any::<bool>(),
    ) {
        let mut wire = valid_request(kind, version);
        apply_edits(&mut wire, &edits);
        if shorten {
            wire.truncate(cut.index(wire.len()));
        }
        let _ = server::read(&wire.into());
    }

    #[test]
    fn mutated_responses_never_panic(version in 3i16..13, edits in any_edits()) {
        let result = PartitionResult {
            topic: "a".into(),
            partition: 3,
            code: codes::THROTTLING_QUOTA_EXCEEDED,
            offset: 7,
            ..PartitionResult::default()
        };
        let mut wire = strip(&server::produce(9, version, &[result], 120, Some(LOAD))).to_vec();
        apply_edits(&mut wire, &edits);
        let wire = Bytes::from(wire);
        let _ = client::read_produced(&wire, version);
        let _ = client::read_metadata(&wire, version);
    }
}
