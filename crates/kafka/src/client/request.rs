//! Writing of requests.

use crate::codes::Malformed;
use crate::frame::FrameWriter;
use crate::record::{encode_batch, Record};
use bytes::Bytes;
use kafka_protocol::messages::metadata_request::MetadataRequestTopic;
use kafka_protocol::messages::produce_request::{PartitionProduceData, TopicProduceData};
use kafka_protocol::messages::{
    ApiKey, ApiVersionsRequest, MetadataRequest, ProduceRequest, RequestHeader, TopicName,
};
use kafka_protocol::protocol::{Encodable, StrBytes};

/// What this client calls its software in ApiVersions.
const SOFTWARE_NAME: &str = "linnetcart";
const SOFTWARE_VERSION: &str = "0.1";
/// First version of ApiVersions in which a client names its software.
const SOFTWARE_NAME_SINCE: i16 = 3;
/// First version of Metadata in which a client says whether topics may be created; before, they always may.
const TOPIC_CREATION_SINCE: i16 = 4;

/// A whole request frame with its length prefix.
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

fn topic_name(name: &str) -> TopicName {
    TopicName(StrBytes::from_string(name.to_owned()))
}

/// Records for one partition of a topic.
#[derive(Clone, Debug)]
pub struct ProduceTarget<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The partition.
    pub partition: i32,
    /// The records.
    pub records: &'a [Record],
}

/// A Produce request with its length prefix. The pair says how many acknowledgements it waits for, and for how
/// many milliseconds.
pub fn produce(
    correlation: i32,
    client: &str,
    version: i16,
    (acks, timeout_ms): (i16, i32),
    to: &[ProduceTarget],
) -> Result<Bytes, Malformed> {
    let body = ProduceRequest::default()
        .with_acks(acks)
        .with_timeout_ms(timeout_ms)
        .with_topic_data(produce_topics(to)?);
    encode_frame(ApiKey::Produce, correlation, client, version, &body)
}

/// The records by topic; targets in a row of one topic share it.
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

/// An ApiVersions request with its length prefix.
pub fn api_versions(correlation: i32, client: &str, version: i16) -> Result<Bytes, Malformed> {
    let mut body = ApiVersionsRequest::default();
    if version >= SOFTWARE_NAME_SINCE {
        body = body
            .with_client_software_name(StrBytes::from_static_str(SOFTWARE_NAME))
            .with_client_software_version(StrBytes::from_static_str(SOFTWARE_VERSION));
    }
    encode_frame(ApiKey::ApiVersions, correlation, client, version, &body)
}

/// A Metadata request for these topics, or all, with its length prefix.
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
        // Version 0 asks for all topics with an empty list; later versions with none.
        return (version == 0).then(Vec::new);
    };
    let named = |name: &&str| MetadataRequestTopic::default().with_name(Some(topic_name(name)));
    Some(topics.iter().map(named).collect())
}
