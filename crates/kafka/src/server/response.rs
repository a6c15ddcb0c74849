//! Writing of responses.

use super::FetchTopic;
use crate::codes;
use crate::frame::FrameWriter;
use crate::versions::{OfferedApi, FETCH};
use crate::LoadReport;
use bytes::{BufMut, Bytes};
use kafka_protocol::messages::api_versions_response::ApiVersion;
use kafka_protocol::messages::fetch_response::{FetchableTopicResponse, PartitionData};
use kafka_protocol::messages::metadata_response::{
    MetadataResponseBroker, MetadataResponsePartition, MetadataResponseTopic,
};
use kafka_protocol::messages::produce_response::{
    BatchIndexAndErrorMessage, PartitionProduceResponse, TopicProduceResponse,
};
use kafka_protocol::messages::{
    ApiKey, ApiVersionsResponse, BrokerId, FetchResponse, MetadataResponse, ProduceResponse, TopicName,
};
use kafka_protocol::protocol::{Encodable, StrBytes};

/// What the cluster is called in Metadata.
const CLUSTER_ID: &str = "linnetcart";
/// Leader of a partition that has none.
const NO_LEADER: BrokerId = BrokerId(-1);
/// What the wire has where an epoch, offset or time is not known.
const UNKNOWN_EPOCH: i32 = -1;
const UNKNOWN_OFFSET: i64 = -1;
const UNKNOWN_TIME_MS: i64 = -1;
/// Offset at which the log of a partition begins that accepted records.
const LOG_START_OFFSET: i64 = 0;
/// First version of a Produce response with the start of the log.
const LOG_START_SINCE: i16 = 5;
/// First version of a Produce response with messages for records and partitions.
const ERROR_MESSAGES_SINCE: i16 = 8;
/// First version of a Produce response with tagged fields.
const TAGGED_FIELDS_SINCE: i16 = 9;

/// A whole response frame with its length prefix.
fn encode_frame<M: Encodable>(api: ApiKey, correlation: i32, version: i16, body: &M) -> Bytes {
    let mut writer = FrameWriter::new();
    writer.buffer().put_i32(correlation);
    if api.response_header_version(version) >= 1 {
        let no_tagged_fields = 0;
        writer.buffer().put_u8(no_tagged_fields);
    }
    // What is written here is built here, in a version that is offered: it can always be encoded.
    let encoded = body.encode(writer.buffer(), version).is_ok();
    debug_assert!(encoded, "a response of {api:?} {version} could not be encoded");
    writer.finish()
}

fn topic_name(name: &str) -> TopicName {
    TopicName(StrBytes::from_string(name.to_owned()))
}

/// The versions that are offered.
pub fn api_versions(correlation: i32, version: i16) -> Bytes {
    offered_versions(correlation, version, codes::NONE)
}

/// The versions that are offered, for a client that asked in a version that is not: it reads version 0.
pub fn api_versions_unsupported(correlation: i32, version: i16) -> Bytes {
    offered_versions(correlation, version, codes::UNSUPPORTED_VERSION)
}

fn offered_versions(correlation: i32, version: i16, error_code: i16) -> Bytes {
    let offered = OfferedApi::ALL.map(|api| {
        ApiVersion::default()
            .with_api_key(api.key() as i16)
            .with_min_version(api.first_version())
            .with_max_version(api.last_version())
    });
    let body = ApiVersionsResponse::default().with_error_code(error_code).with_api_keys(offered.to_vec());
    encode_frame(ApiKey::ApiVersions, correlation, version, &body)
}

/// The response to a Fetch request: nothing can be read here.
pub fn not_readable(correlation: i32, topics: &[FetchTopic]) -> Bytes {
    let partition = |index: &i32| {
        PartitionData::default()
            .with_partition_index(*index)
            .with_error_code(codes::TOPIC_AUTHORIZATION_FAILED)
            .with_high_watermark(UNKNOWN_OFFSET)
    };
    let topic = |topic: &FetchTopic| {
        FetchableTopicResponse::default()
            .with_topic(topic_name(&topic.topic))
            .with_partitions(topic.partitions.iter().map(partition).collect())
    };
    let body = FetchResponse::default().with_responses(topics.iter().map(topic).collect());
    let (_, version) = FETCH;
    encode_frame(ApiKey::Fetch, correlation, version, &body)
}

/// Where a program listens, as its Metadata says.
#[derive(Clone, Debug)]
pub struct Broker {
    /// Its number.
    pub id: i32,
    /// Host name or address.
    pub host: String,
    /// Port.
    pub port: u16,
}

/// A topic as Metadata describes it.
#[derive(Clone, Debug)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// Whether it is known.
    pub known: bool,
    /// Its partitions, by number: `true` where there is an endpoint.
    pub partitions: Vec<bool>,
}

/// The response to a Metadata request: one broker, which leads all partitions that have an endpoint.
pub fn metadata(correlation: i32, version: i16, broker: &Broker, topics: &[Topic]) -> Bytes {
    let leader = BrokerId(broker.id);
    let this_broker = MetadataResponseBroker::default()
        .with_node_id(leader)
        .with_host(StrBytes::from_string(broker.host.clone()))
        .with_port(i32::from(broker.port));
    let body = MetadataResponse::default()
        .with_brokers(vec![this_broker])
        .with_cluster_id(Some(StrBytes::from_static_str(CLUSTER_ID)))
        .with_controller_id(leader)
        .with_topics(topics.iter().map(|topic| metadata_topic(topic, leader)).collect());
    encode_frame(ApiKey::Metadata, correlation, version, &body)
}

fn metadata_topic(topic: &Topic, leader: BrokerId) -> MetadataResponseTopic {
    let error_code = if topic.known { codes::NONE } else { codes::UNKNOWN_TOPIC_OR_PARTITION };
    let partitions = topic.partitions.iter().enumerate();
    let partition = |(index, available): (usize, &bool)| {
        let leader = available.then_some(leader);
        metadata_partition(index, leader)
    };
    MetadataResponseTopic::default()
        .with_error_code(error_code)
        .with_name(Some(topic_name(&topic.name)))
        .with_partitions(partitions.map(partition).collect())
}

fn metadata_partition(index: usize, leader: Option<BrokerId>) -> MetadataResponsePartition {
    let error_code = if leader.is_some() { codes::NONE } else { codes::LEADER_NOT_AVAILABLE };
    let replicas: Vec<BrokerId> = leader.into_iter().collect();
    MetadataResponsePartition::default()
        .with_error_code(error_code)
        .with_partition_index(index as i32)
        .with_leader_id(leader.unwrap_or(NO_LEADER))
        .with_leader_epoch(UNKNOWN_EPOCH)
        .with_replica_nodes(replicas.clone())
        .with_isr_nodes(replicas)
}

/// How one partition of a Produce request ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionResult {
    /// The topic.
    pub topic: String,
    /// The partition.
    pub partition: i32,
    /// The error code, see [`codes`].
    pub code: i16,
    /// Offset of the first record; -1 where there is none.
    pub offset: i64,
    /// Messages for single records, by their index in the batch.
    pub records: Vec<(i32, String)>,
    /// Message for the partition.
    pub text: Option<String>,
}

/// The response to a Produce request.
pub fn produce(
    correlation: i32,
    version: i16,
    ended: &[PartitionResult],
    throttle_ms: i32,
    load: Option<LoadReport>,
) -> Bytes {
    let load = load.filter(|_| version >= TAGGED_FIELDS_SINCE);
    let tagged_fields = load.map(LoadReport::to_tagged_fields).unwrap_or_default();
    let body = ProduceResponse::default()
        .with_responses(produce_topics(version, ended))
        .with_throttle_time_ms(throttle_ms)
        .with_unknown_tagged_fields(tagged_fields);
    encode_frame(ApiKey::Produce, correlation, version, &body)
}

/// The results by topic; results in a row of one topic share it.
fn produce_topics(version: i16, results: &[PartitionResult]) -> Vec<TopicProduceResponse> {
    let mut topics: Vec<TopicProduceResponse> = Vec::new();
    for result in results {
        let partition = produce_partition(version, result);
        match topics.last_mut() {
            Some(topic) if topic.name.as_str() == result.topic => topic.partition_responses.push(partition),
            _ => topics.push(
                TopicProduceResponse::default()
                    .with_name(topic_name(&result.topic))
                    .with_partition_responses(vec![partition]),
            ),
        }
    }
    topics
}

fn produce_partition(version: i16, result: &PartitionResult) -> PartitionProduceResponse {
    let mut partition = PartitionProduceResponse::default()
        .with_index(result.partition)
        .with_error_code(result.code)
        .with_base_offset(result.offset)
        .with_log_append_time_ms(UNKNOWN_TIME_MS);
    if version >= LOG_START_SINCE {
        let accepted = result.code == codes::NONE;
        let log_start = if accepted { LOG_START_OFFSET } else { UNKNOWN_OFFSET };
        partition = partition.with_log_start_offset(log_start);
    }
    if version >= ERROR_MESSAGES_SINCE {
        partition = partition
            .with_record_errors(result.records.iter().map(record_error).collect())
            .with_error_message(result.text.clone().map(StrBytes::from_string));
    }
    partition
}

fn record_error((index, message): &(i32, String)) -> BatchIndexAndErrorMessage {
    BatchIndexAndErrorMessage::default()
        .with_batch_index(*index)
        .with_batch_index_error_message(Some(StrBytes::from_string(message.clone())))
}
