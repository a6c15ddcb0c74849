//! The side that calls: writes requests, reads responses.

use crate::codes::Malformed;
use crate::server::{correlation, PartitionResult};
use crate::{batch, shape, LoadReport, Record, TAG_CAPACITY_LEFT, TAG_RATE_LIMIT};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use kafka_protocol::messages::metadata_request::MetadataRequestTopic;
use kafka_protocol::messages::produce_request::{PartitionProduceData, TopicProduceData};
use kafka_protocol::messages::{
    ApiKey, ApiVersionsRequest, MetadataRequest, MetadataResponse, ProduceRequest, ProduceResponse,
    RequestHeader, TopicName,
};
use kafka_protocol::protocol::{Decodable, Encodable, StrBytes};

fn frame<M: Encodable>(
    api: ApiKey,
    correlation: i32,
    client: &str,
    version: i16,
    body: &M,
) -> Result<Bytes, Malformed> {
    let mut out = BytesMut::new();
    out.put_i32(0);
    let header = RequestHeader::default()
        .with_request_api_key(api as i16)
        .with_request_api_version(version)
        .with_correlation_id(correlation)
        .with_client_id(Some(StrBytes::from_string(client.to_owned())));
    header.encode(&mut out, api.request_header_version(version)).map_err(|_| Malformed("request header"))?;
    body.encode(&mut out, version).map_err(|_| Malformed("request body"))?;
    let length = i32::try_from(out.len() - 4).map_err(|_| Malformed("request length"))?;
    out[..4].copy_from_slice(&length.to_be_bytes());
    Ok(out.freeze())
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

/// A Produce request, its length in front.
pub fn produce(
    correlation: i32,
    client: &str,
    version: i16,
    (acks, timeout_ms): (i16, i32),
    to: &[ProduceTarget],
) -> Result<Bytes, Malformed> {
    let mut topics: Vec<TopicProduceData> = Vec::new();
    for t in to {
        let part =
            PartitionProduceData::default().with_index(t.partition).with_records(Some(batch(t.records)?));
        match topics.last_mut().filter(|x| x.name.as_str() == t.topic) {
            Some(x) => x.partition_data.push(part),
            None => topics.push(
                TopicProduceData::default()
                    .with_name(TopicName(StrBytes::from_string(t.topic.to_owned())))
                    .with_partition_data(vec![part]),
            ),
        }
    }
    let body = ProduceRequest::default().with_acks(acks).with_timeout_ms(timeout_ms).with_topic_data(topics);
    frame(ApiKey::Produce, correlation, client, version, &body)
}

/// An ApiVersions request.
pub fn api_versions(correlation: i32, client: &str, version: i16) -> Result<Bytes, Malformed> {
    let mut body = ApiVersionsRequest::default();
    if version >= 3 {
        body = body
            .with_client_software_name(StrBytes::from_static_str("linnetcart"))
            .with_client_software_version(StrBytes::from_static_str("0.1"));
    }
    frame(ApiKey::ApiVersions, correlation, client, version, &body)
}

/// A Metadata request for these topics, or all.
pub fn metadata(
    correlation: i32,
    client: &str,
    version: i16,
    topics: Option<&[&str]>,
) -> Result<Bytes, Malformed> {
    let named = |name: &&str| {
        MetadataRequestTopic::default().with_name(Some(TopicName(StrBytes::from_string((*name).to_owned()))))
    };
    let all = if version == 0 { Some(Vec::new()) } else { None };
    let body = MetadataRequest::default()
        .with_topics(topics.map_or(all, |t| Some(t.iter().map(named).collect())))
        .with_allow_auto_topic_creation(version < 4);
    frame(ApiKey::Metadata, correlation, client, version, &body)
}

/// What a Produce response says.
#[derive(Clone, Debug, PartialEq)]
pub struct ProduceReply {
    /// The request that it answers.
    pub correlation: i32,
    /// Its partitions.
    pub parts: Vec<PartitionResult>,
    /// The client is asked to stay silent for so long.
    pub throttle_ms: i32,
    /// What is told of a limit.
    pub load: Option<LoadReport>,
}

/// The number of the request that a response frame answers.
pub fn answers(frame: &Bytes) -> Result<i32, Malformed> {
    correlation(&mut frame.clone())
}

fn body(frame: &Bytes, api: ApiKey, version: i16) -> Result<(i32, Bytes), Malformed> {
    let mut rest = frame.clone();
    let number = correlation(&mut rest)?;
    if api.response_header_version(version) >= 1 {
        let mut c = shape::Cursor::new(&rest, true);
        let tags = c.uvarint()?;
        for _ in 0..tags {
            c.uvarint()?;
            let n = c.uvarint()? as usize;
            c.take(n)?;
        }
        let used = rest.len() - c.left();
        rest.advance(used);
    }
    Ok((number, rest))
}

/// Reads a Produce response.
pub fn read_produced(frame: &Bytes, version: i16) -> Result<ProduceReply, Malformed> {
    let (correlation, mut rest) = body(frame, ApiKey::Produce, version)?;
    shape::produce_response(&rest, version)?;
    let p = ProduceResponse::decode(&mut rest, version).map_err(|_| Malformed("Produce response"))?;
    let number = |tag: i32| {
        let raw = p.unknown_tagged_fields.get(&tag)?;
        let value = f64::from_be_bytes(raw.as_ref().try_into().ok()?);
        (value.is_finite() && value >= 0.0).then_some(value)
    };
    let load = number(TAG_CAPACITY_LEFT)
        .zip(number(TAG_RATE_LIMIT))
        .map(|(left, limit)| LoadReport { capacity_left: left, rate_limit: limit });
    let parts = p.responses.into_iter().flat_map(|t| {
        let topic = t.name.as_str().to_owned();
        t.partition_responses.into_iter().map(move |r| PartitionResult {
            topic: topic.clone(),
            partition: r.index,
            code: r.error_code,
            offset: r.base_offset,
            records: r
                .record_errors
                .into_iter()
                .map(|e| {
                    (e.batch_index, e.batch_index_error_message.map_or(String::new(), |m| m.to_string()))
                })
                .collect(),
            text: r.error_message.map(|m| m.to_string()),
        })
    });
    Ok(ProduceReply { correlation, parts: parts.collect(), throttle_ms: p.throttle_time_ms, load })
}

/// A topic: its name, its code, and for each partition its number, code and leader.
pub type TopicMetadata = (String, i16, Vec<(i32, i16, i32)>);

/// What a Metadata response says: brokers (number, host, port) and topics (name, code, partitions).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterMetadata {
    /// The request that it answers.
    pub correlation: i32,
    /// Brokers: number, host, port.
    pub brokers: Vec<(i32, String, i32)>,
    /// Topics.
    pub topics: Vec<TopicMetadata>,
}

/// Reads a Metadata response.
pub fn read_metadata(frame: &Bytes, version: i16) -> Result<ClusterMetadata, Malformed> {
    let (correlation, mut rest) = body(frame, ApiKey::Metadata, version)?;
    shape::metadata_response(&rest, version)?;
    let m = MetadataResponse::decode(&mut rest, version).map_err(|_| Malformed("Metadata response"))?;
    let brokers = m.brokers.into_iter().map(|b| (b.node_id.0, b.host.to_string(), b.port)).collect();
    let topics = m.topics.into_iter().map(|t| {
        let parts =
            t.partitions.into_iter().map(|p| (p.partition_index, p.error_code, p.leader_id.0)).collect();
        (t.name.map_or(String::new(), |n| n.as_str().to_owned()), t.error_code, parts)
    });
    Ok(ClusterMetadata { correlation, brokers, topics: topics.collect() })
}

/// The versions of Produce that an ApiVersions response of version 0 offers, first and last.
pub fn read_produce_versions(frame: &Bytes) -> Result<(i32, Option<(i16, i16)>), Malformed> {
    let mut c = shape::Cursor::new(frame, false);
    let number = i32::from_be_bytes(c.array()?);
    let code = i16::from_be_bytes(c.array()?);
    let count = i32::from_be_bytes(c.array()?);
    if code != crate::codes::NONE || usize::try_from(count).map_or(true, |n| n * 6 != c.left()) {
        return Err(Malformed("ApiVersions response"));
    }
    let mut produce = None;
    for _ in 0..count {
        let key = i16::from_be_bytes(c.array()?);
        let range = (i16::from_be_bytes(c.array()?), i16::from_be_bytes(c.array()?));
        if key == ApiKey::Produce as i16 {
            produce = Some(range);
        }
    }
    Ok((number, produce))
}
