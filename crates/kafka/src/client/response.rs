//! Decoding of responses.

use crate::codes::{self, Malformed};
use crate::server::{PartitionResult, RecordError};
use crate::shape;
use crate::{LoadReport, VersionRange};
use bytes::{Buf, Bytes};
use kafka_protocol::messages::metadata_response::{MetadataResponsePartition, MetadataResponseTopic};
use kafka_protocol::messages::produce_response::{
    BatchIndexAndErrorMessage, PartitionProduceResponse, TopicProduceResponse,
};
use kafka_protocol::messages::{ApiKey, MetadataResponse, ProduceResponse};
use kafka_protocol::protocol::Decodable;

/// Size of one API entry (key, first version, last version) in an ApiVersions response of version 0, in
/// bytes.
const API_VERSION_BYTES: usize = 6;

/// A Produce response.
#[derive(Clone, Debug, PartialEq)]
pub struct ProduceReply {
    /// Correlation id of the request that the response answers.
    pub correlation: i32,
    /// The results of the partitions in the request.
    pub parts: Vec<PartitionResult>,
    /// Throttle time in milliseconds: how long the client should send no further requests.
    pub throttle_ms: i32,
    /// The load report of the endpoint, if the response carries one.
    pub load: Option<LoadReport>,
}

/// A Metadata response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterMetadata {
    /// Correlation id of the request that the response answers.
    pub correlation: i32,
    /// The brokers of the cluster.
    pub brokers: Vec<BrokerMetadata>,
    /// The topics that the request named, or all topics of the cluster if it asked for all.
    pub topics: Vec<TopicMetadata>,
}

/// A broker in a Metadata response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokerMetadata {
    /// Node id of the broker.
    pub id: i32,
    /// Host name or address of the broker.
    pub host: String,
    /// Port of the broker.
    pub port: i32,
}

/// A topic in a Metadata response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicMetadata {
    /// Name of the topic.
    pub name: String,
    /// The error code of the topic, see [`codes`].
    pub code: i16,
    /// The topic's partitions.
    pub partitions: Vec<PartitionMetadata>,
}

/// A partition in a Metadata response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionMetadata {
    /// Partition number.
    pub index: i32,
    /// The error code of the partition, see [`codes`].
    pub code: i16,
    /// Node id of the partition's leader; -1 if it has none.
    pub leader: i32,
}

/// The Produce versions that a server offers in its ApiVersions response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProduceVersions {
    /// Correlation id of the request that the response answers.
    pub correlation: i32,
    /// The offered versions of Produce; `None` if Produce is not offered.
    pub offered: Option<VersionRange>,
}

/// Returns the correlation id of the request that a response frame answers.
///
/// # Errors
/// Fails if the frame is shorter than a correlation id.
pub fn correlation_id(frame: &Bytes) -> Result<i32, Malformed> {
    read_correlation(&mut frame.clone())
}

fn read_correlation(frame: &mut Bytes) -> Result<i32, Malformed> {
    frame.try_get_i32().map_err(|_| Malformed("response header"))
}

/// The body of a response frame, and the correlation id of its header.
struct ResponseBody {
    correlation: i32,
    bytes: Bytes,
}

/// Reads the response header, whose layout depends on the API and its version.
fn read_header(frame: &Bytes, api: ApiKey, version: i16) -> Result<ResponseBody, Malformed> {
    let mut bytes = frame.clone();
    let correlation = read_correlation(&mut bytes)?;
    if api.response_header_version(version) >= 1 {
        let skipped = tagged_fields_length(&bytes)?;
        bytes.advance(skipped);
    }
    Ok(ResponseBody { correlation, bytes })
}

/// Returns the length of the tagged fields at the start of `bytes`, in bytes.
fn tagged_fields_length(bytes: &[u8]) -> Result<usize, Malformed> {
    let mut cursor = shape::Cursor::flexible(bytes);
    let count = cursor.uvarint()?;
    cursor.tagged_fields(count)?;
    Ok(bytes.len() - cursor.remaining())
}

/// Decodes a Produce response of this version.
///
/// # Errors
/// Fails if the frame is not a well-formed response of this version.
pub fn read_produced(frame: &Bytes, version: i16) -> Result<ProduceReply, Malformed> {
    let mut body = read_header(frame, ApiKey::Produce, version)?;
    shape::produce_response(&body.bytes, version)?;
    let response =
        ProduceResponse::decode(&mut body.bytes, version).map_err(|_| Malformed("Produce response"))?;
    Ok(ProduceReply {
        correlation: body.correlation,
        parts: response.responses.into_iter().flat_map(read_topic_results).collect(),
        throttle_ms: response.throttle_time_ms,
        load: LoadReport::from_tagged_fields(&response.unknown_tagged_fields),
    })
}

fn read_topic_results(topic: TopicProduceResponse) -> Vec<PartitionResult> {
    let mut results = Vec::new();
    for partition in topic.partition_responses {
        results.push(read_partition_result(topic.name.as_str(), partition));
    }
    results
}

fn read_partition_result(topic: &str, partition: PartitionProduceResponse) -> PartitionResult {
    PartitionResult {
        topic: topic.to_owned(),
        partition: partition.index,
        code: partition.error_code,
        offset: partition.base_offset,
        record_errors: partition.record_errors.into_iter().map(read_record_error).collect(),
        text: partition.error_message.map(|text| text.to_string()),
    }
}

fn read_record_error(error: BatchIndexAndErrorMessage) -> RecordError {
    RecordError {
        index: error.batch_index,
        message: error.batch_index_error_message.map_or(String::new(), |text| text.to_string()),
    }
}

/// Decodes a Metadata response of this version.
///
/// # Errors
/// Fails if the frame is not a well-formed response of this version.
pub fn read_metadata(frame: &Bytes, version: i16) -> Result<ClusterMetadata, Malformed> {
    let mut body = read_header(frame, ApiKey::Metadata, version)?;
    shape::metadata_response(&body.bytes, version)?;
    let response =
        MetadataResponse::decode(&mut body.bytes, version).map_err(|_| Malformed("Metadata response"))?;
    let mut brokers = Vec::new();
    for broker in response.brokers {
        let host = broker.host.to_string();
        brokers.push(BrokerMetadata { id: broker.node_id.0, host, port: broker.port });
    }
    Ok(ClusterMetadata {
        correlation: body.correlation,
        brokers,
        topics: response.topics.into_iter().map(read_topic_metadata).collect(),
    })
}

fn read_topic_metadata(topic: MetadataResponseTopic) -> TopicMetadata {
    let partition = |partition: MetadataResponsePartition| PartitionMetadata {
        index: partition.partition_index,
        code: partition.error_code,
        leader: partition.leader_id.0,
    };
    TopicMetadata {
        name: topic.name.map_or(String::new(), |name| name.as_str().to_owned()),
        code: topic.error_code,
        partitions: topic.partitions.into_iter().map(partition).collect(),
    }
}

/// Reads the offered versions of Produce from an ApiVersions response of version 0.
///
/// # Errors
/// Fails if the response has an error code or is not well-formed.
pub fn read_produce_versions(frame: &Bytes) -> Result<ProduceVersions, Malformed> {
    let mut cursor = shape::Cursor::new(frame);
    let correlation = cursor.i32()?;
    let error_code = cursor.i16()?;
    let count = cursor.i32()?;
    let expected_bytes = usize::try_from(count).ok().and_then(|count| count.checked_mul(API_VERSION_BYTES));
    if error_code != codes::NONE || expected_bytes != Some(cursor.remaining()) {
        return Err(Malformed("ApiVersions response"));
    }
    let mut offered = None;
    for _ in 0..count {
        let api = cursor.i16()?;
        let first = cursor.i16()?;
        let last = cursor.i16()?;
        if api == ApiKey::Produce as i16 {
            offered = Some(VersionRange { first, last });
        }
    }
    Ok(ProduceVersions { correlation, offered })
}
