//! Encoding of requests.
//!
//! Every function returns a complete frame with its length prefix.

use crate::codes::Malformed;
use crate::frame::FrameWriter;
use crate::record::{encode_batch, Record};
use crate::topic_name::topic_name;
use bytes::Bytes;
use kafka_protocol::messages::metadata_request::MetadataRequestTopic;
use kafka_protocol::messages::produce_request::{PartitionProduceData, TopicProduceData};
use kafka_protocol::messages::{ApiKey, ApiVersionsRequest, MetadataRequest, ProduceRequest, RequestHeader};
use kafka_protocol::protocol::{Encodable, StrBytes};

/// The software name and version that this client gives in ApiVersions.
const SOFTWARE_NAME: &str = "linnetcart";
const SOFTWARE_VERSION: &str = "0.1";
/// First version of ApiVersions with the software name and version of the client.
const SOFTWARE_NAME_SINCE: i16 = 3;
/// First version of Metadata with the flag for automatic topic creation; earlier versions always permit it.
const TOPIC_CREATION_SINCE: i16 = 4;

/// Encodes a complete request frame with its length prefix.
fn encode_frame<M: Encodable>(
    api: ApiKey,
    correlation: i32,
    client: &str,
    version: i16,
    body: &M,
) -> Result<Bytes, Malformed> {
    let mut writer = FrameWriter::new();
    let header = RequestHeader::default()
        .with_request_api_key(api as i16)
        .with_request_api_version(version)
        .with_correlation_id(correlation)
        .with_client_id(Some(StrBytes::from_string(client.to_owned())));
    let header_version = api.request_header_version(version);
    header.encode(writer.buffer(), header_version).map_err(|_| Malformed("request header"))?;
    body.encode(writer.buffer(), version).map_err(|_| Malformed("request body"))?;
    if i32::try_from(writer.length()).is_err() {
        return Err(Malformed("request length"));
    }
    Ok(writer.finish())
}

/// Records for one partition of a topic.
#[derive(Clone, Debug)]
pub struct ProduceTarget<'a> {
    /// Name of the topic.
    pub topic: &'a str,
    /// Partition number.
    pub partition: i32,
    /// The records, which are sent as one batch.
    pub records: &'a [Record],
}

/// The acknowledgements that a Produce request asks the server for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredAcks {
    /// Number of replicas that must acknowledge the records; -1 for all of them.
    pub acks: i16,
    /// How long the server may wait for the acknowledgements, in milliseconds.
    pub timeout_ms: i32,
}

/// Encodes a Produce request. Consecutive targets of one topic share one entry.
///
/// # Errors
/// Fails if a value cannot be encoded in this version, or the frame would be longer than `i32::MAX` bytes.
pub fn produce(
    correlation: i32,
    client: &str,
    version: i16,
    required: RequiredAcks,
    targets: &[ProduceTarget],
) -> Result<Bytes, Malformed> {
    let body = ProduceRequest::default()
        .with_acks(required.acks)
        .with_timeout_ms(required.timeout_ms)
        .with_topic_data(produce_topics(targets)?);
    encode_frame(ApiKey::Produce, correlation, client, version, &body)
}

/// Groups the targets by topic; consecutive targets of one topic share one entry.
fn produce_topics(targets: &[ProduceTarget]) -> Result<Vec<TopicProduceData>, Malformed> {
    let mut topics: Vec<TopicProduceData> = Vec::new();
    for target in targets {
        let records = encode_batch(target.records)?;
        let partition =
            PartitionProduceData::default().with_index(target.partition).with_records(Some(records));
        match topics.last_mut() {
            Some(topic) if topic.name.as_str() == target.topic => topic.partition_data.push(partition),
            _ => topics.push(
                TopicProduceData::default()
                    .with_name(topic_name(target.topic))
                    .with_partition_data(vec![partition]),
            ),
        }
    }
    Ok(topics)
}

/// Encodes an ApiVersions request.
///
/// # Errors
/// Fails if a value cannot be encoded in this version.
pub fn api_versions(correlation: i32, client: &str, version: i16) -> Result<Bytes, Malformed> {
    let mut body = ApiVersionsRequest::default();
    if version >= SOFTWARE_NAME_SINCE {
        body = body
            .with_client_software_name(StrBytes::from_static_str(SOFTWARE_NAME))
            .with_client_software_version(StrBytes::from_static_str(SOFTWARE_VERSION));
    }
    encode_frame(ApiKey::ApiVersions, correlation, client, version, &body)
}

/// Encodes a Metadata request for the given topics, or for all topics if `topics` is `None`.
///
/// # Errors
/// Fails if a value cannot be encoded in this version, or the frame would be longer than `i32::MAX` bytes.
pub fn metadata(
    correlation: i32,
    client: &str,
    version: i16,
    topics: Option<&[&str]>,
) -> Result<Bytes, Malformed> {
    let body = MetadataRequest::default()
        .with_topics(metadata_topics(version, topics))
        .with_allow_auto_topic_creation(version < TOPIC_CREATION_SINCE);
    encode_frame(ApiKey::Metadata, correlation, client, version, &body)
}

fn metadata_topics(version: i16, topics: Option<&[&str]>) -> Option<Vec<MetadataRequestTopic>> {
    let Some(topics) = topics else {
        // Version 0 requests all topics with an empty list; later versions with a null list.
        return (version == 0).then(Vec::new);
    };
    let named = |name: &&str| MetadataRequestTopic::default().with_name(Some(topic_name(name)));
    Some(topics.iter().map(named).collect())
}
