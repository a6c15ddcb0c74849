//! Encoding of responses.
//!
//! Every function returns a complete frame with its length prefix.

use super::FetchTopic;
use crate::codes;
use crate::frame::FrameWriter;
use crate::topic_name::topic_name;
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
    ApiKey, ApiVersionsResponse, BrokerId, FetchResponse, MetadataResponse, ProduceResponse,
};
use kafka_protocol::protocol::{Encodable, StrBytes};

/// Cluster id in Metadata responses.
const CLUSTER_ID: &str = "linnetcart";
/// Leader id of a partition without a leader.
const NO_LEADER: BrokerId = BrokerId(-1);
/// The wire value of an unknown leader epoch, offset or log append time.
const UNKNOWN_EPOCH: i32 = -1;
const UNKNOWN_OFFSET: i64 = -1;
const UNKNOWN_TIME_MS: i64 = -1;
/// Log start offset of a partition that accepted records.
const LOG_START_OFFSET: i64 = 0;
/// First version of a Produce response with the log start offset.
const LOG_START_OFFSET_SINCE: i16 = 5;
/// First version of a Produce response with error messages for records and partitions.
const ERROR_MESSAGES_SINCE: i16 = 8;
/// First version of a Produce response with tagged fields.
const TAGGED_FIELDS_SINCE: i16 = 9;

/// Encodes a complete response frame with its length prefix.
fn encode_frame<M: Encodable>(api: ApiKey, correlation: i32, version: i16, body: &M) -> Bytes {
    let mut writer = FrameWriter::new();
    writer.buffer().put_i32(correlation);
    if api.response_header_version(version) >= 1 {
        let no_tagged_fields = 0;
        writer.buffer().put_u8(no_tagged_fields);
    }
    // The body is built in this module for an offered version, so it can always be encoded.
    let encoded = body.encode(writer.buffer(), version).is_ok();
    debug_assert!(encoded, "a response of {api:?} {version} could not be encoded");
    writer.finish()
}

/// Encodes an ApiVersions response with the offered versions.
pub fn api_versions(correlation: i32, version: i16) -> Bytes {
    offered_versions(correlation, version, codes::NONE)
}

/// Encodes an ApiVersions response for a client whose requested version is not offered.
pub fn api_versions_unsupported(correlation: i32, version: i16) -> Bytes {
    offered_versions(correlation, version, codes::UNSUPPORTED_VERSION)
}

fn offered_versions(correlation: i32, version: i16, error_code: i16) -> Bytes {
    let offered = OfferedApi::ALL.map(|api| {
        ApiVersion::default()
            .with_api_key(api.key() as i16)
            .with_min_version(api.versions().first)
            .with_max_version(api.versions().last)
    });
    let body = ApiVersionsResponse::default().with_error_code(error_code).with_api_keys(offered.to_vec());
    encode_frame(ApiKey::ApiVersions, correlation, version, &body)
}

/// Encodes the response to a Fetch request, which rejects every partition: the server stores no records.
pub fn fetch_rejected(correlation: i32, topics: &[FetchTopic]) -> Bytes {
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
    encode_frame(ApiKey::Fetch, correlation, FETCH.last, &body)
}

/// The broker in a Metadata response: the address at which clients reach this courier.
#[derive(Clone, Debug)]
pub struct Broker {
    /// Node id of the broker.
    pub id: i32,
    /// Host name or address of the broker.
    pub host: String,
    /// Port of the broker.
    pub port: u16,
}

/// Whether a partition can be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionState {
    /// The partition has an endpoint, so the broker leads it.
    Available,
    /// The partition has no endpoint at present, so it has no leader.
    Unavailable,
}

/// A topic in a Metadata response.
#[derive(Clone, Debug)]
pub struct Topic {
    /// Name of the topic.
    pub name: String,
    /// The topic's partitions, by number; `None` if the topic is unknown.
    pub partitions: Option<Vec<PartitionState>>,
}

/// Encodes a Metadata response with one broker, which leads all available partitions.
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
    let description = MetadataResponseTopic::default().with_name(Some(topic_name(&topic.name)));
    let Some(states) = &topic.partitions else {
        return description.with_error_code(codes::UNKNOWN_TOPIC_OR_PARTITION);
    };
    let mut partitions = Vec::with_capacity(states.len());
    for (index, state) in states.iter().enumerate() {
        let leader = (*state == PartitionState::Available).then_some(leader);
        partitions.push(metadata_partition(index, leader));
    }
    description.with_error_code(codes::NONE).with_partitions(partitions)
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

/// The outcome of one record of a batch whose records have different outcomes, or one of which is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// Index of the record in its batch.
    pub index: i32,
    /// The outcome of the record, or why it is invalid.
    pub message: String,
}

/// The result of a Produce request for one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionResult {
    /// Name of the topic.
    pub topic: String,
    /// Partition number.
    pub partition: i32,
    /// The error code of the partition, see [`codes`].
    pub code: i16,
    /// Offset of the first record; -1 if no record was accepted.
    pub offset: i64,
    /// Outcomes of single records if they differ, and reasons for invalid ones.
    pub record_errors: Vec<RecordError>,
    /// Error message of the partition, or `None` for no message.
    pub text: Option<String>,
}

/// Encodes the response to a Produce request. The load report is left out in versions without tagged fields.
pub fn produce(
    correlation: i32,
    version: i16,
    results: &[PartitionResult],
    throttle_ms: i32,
    load: Option<LoadReport>,
) -> Bytes {
    let load = load.filter(|_| version >= TAGGED_FIELDS_SINCE);
    let tagged_fields = load.map(LoadReport::to_tagged_fields).unwrap_or_default();
    let body = ProduceResponse::default()
        .with_responses(produce_topics(version, results))
        .with_throttle_time_ms(throttle_ms)
        .with_unknown_tagged_fields(tagged_fields);
    encode_frame(ApiKey::Produce, correlation, version, &body)
}

/// Groups the results by topic; consecutive results of one topic share one entry.
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
    if version >= LOG_START_OFFSET_SINCE {
        let accepted = result.code == codes::NONE;
        let log_start = if accepted { LOG_START_OFFSET } else { UNKNOWN_OFFSET };
        partition = partition.with_log_start_offset(log_start);
    }
    if version >= ERROR_MESSAGES_SINCE {
        partition = partition
            .with_record_errors(result.record_errors.iter().map(record_error).collect())
            .with_error_message(result.text.clone().map(StrBytes::from_string));
    }
    partition
}

fn record_error(error: &RecordError) -> BatchIndexAndErrorMessage {
    BatchIndexAndErrorMessage::default()
        .with_batch_index(error.index)
        .with_batch_index_error_message(Some(StrBytes::from_string(error.message.clone())))
}
