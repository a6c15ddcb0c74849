//! The side that is called: reads requests, writes responses.

use crate::codes::{self, Malformed};
use crate::{
    shape, LoadReport, Record, API_VERSIONS, FETCH, METADATA, PRODUCE, TAG_CAPACITY_LEFT, TAG_RATE_LIMIT,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use kafka_protocol::messages::api_versions_response::ApiVersion;
use kafka_protocol::messages::fetch_request::FetchTopic;
use kafka_protocol::messages::fetch_response::{FetchableTopicResponse, PartitionData};
use kafka_protocol::messages::metadata_response::{
    MetadataResponseBroker, MetadataResponsePartition, MetadataResponseTopic,
};
use kafka_protocol::messages::produce_response::{
    BatchIndexAndErrorMessage, PartitionProduceResponse, TopicProduceResponse,
};
use kafka_protocol::messages::{
    ApiKey, ApiVersionsResponse, BrokerId, FetchRequest, FetchResponse, MetadataRequest, MetadataResponse,
    ProduceRequest, ProduceResponse, RequestHeader, TopicName,
};
use kafka_protocol::protocol::{Decodable, Encodable, StrBytes};
use kafka_protocol::records::RecordBatchDecoder;
use std::collections::BTreeMap;

/// A request.
#[derive(Debug)]
pub struct Request {
    /// Its number on the connection; the response repeats it.
    pub correlation: i32,
    /// What the client calls itself.
    pub client: Option<String>,
    /// The version that it is in, and its response must be.
    pub version: i16,
    /// What it asks for.
    pub body: Body,
}

/// What a request asks for.
#[derive(Debug)]
pub enum Body {
    /// Which versions are offered.
    ApiVersions,
    /// The same, in a version that is not offered: the answer says so in version 0.
    ApiVersionsTooNew,
    /// Topics and brokers; `None` for all topics.
    Metadata(Option<Vec<String>>),
    /// Records to be read: topics and partitions.
    Fetch(Vec<(String, Vec<i32>)>),
    /// Records to be taken.
    Produce(Produce),
}

/// A Produce request.
#[derive(Debug)]
pub struct Produce {
    /// How sure the client wants to be.
    pub acks: i16,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: i32,
    /// It belongs to a transaction.
    pub transactional: bool,
    /// Its partitions.
    pub parts: Vec<PartitionBatch>,
}

/// One partition of a Produce request.
#[derive(Debug)]
pub struct PartitionBatch {
    /// The topic.
    pub topic: String,
    /// The partition.
    pub partition: i32,
    /// Its records, or the code that they are turned down with.
    pub records: Result<Vec<Record>, i16>,
}

/// A request that can't be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its bytes are not what the protocol says.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The API is not offered.
    #[error("API {0} is not offered")]
    Api(i16),
    /// The version is not offered.
    #[error("version {1} of API {0} is not offered")]
    Version(i16, i16),
}

/// Reads a frame. An error means that the connection is of no more use.
pub fn read(frame: &Bytes) -> Result<Request, RequestError> {
    let mut c = shape::Cursor::new(frame, false);
    let api = i16::from_be_bytes(c.array()?);
    let version = i16::from_be_bytes(c.array()?);
    let key = ApiKey::try_from(api).map_err(|()| RequestError::Api(api))?;
    let range = match key {
        ApiKey::ApiVersions => API_VERSIONS,
        ApiKey::Metadata => METADATA,
        ApiKey::Fetch => FETCH,
        ApiKey::Produce => PRODUCE,
        _ => return Err(RequestError::Api(api)),
    };
    let correlation = i32::from_be_bytes(c.array()?);
    let offered = (range.0..=range.1).contains(&version);
    if !offered {
        // A client opens with its newest version and must be able to read the answer.
        return match key {
            ApiKey::ApiVersions if version > range.1 => {
                Ok(Request { correlation, client: None, version: 0, body: Body::ApiVersionsTooNew })
            }
            _ => Err(RequestError::Version(api, version)),
        };
    }
    let header_version = key.request_header_version(version);
    header_shape(frame, header_version)?;
    let mut rest = frame.clone();
    let header = RequestHeader::decode(&mut rest, header_version).map_err(|_| Malformed("request header"))?;
    let client = header.client_id.map(|c| c.to_string());
    let body = match key {
        ApiKey::ApiVersions => {
            shape::api_versions_request(&rest, version)?;
            Body::ApiVersions
        }
        ApiKey::Metadata => {
            shape::metadata_request(&rest, version)?;
            let all_by_empty = version == 0;
            let m = MetadataRequest::decode(&mut rest, version).map_err(|_| Malformed("Metadata request"))?;
            let names = m.topics.map(|t| {
                t.into_iter().map(|t| t.name.map_or(String::new(), |n| n.as_str().to_owned())).collect()
            });
            Body::Metadata(names.filter(|n: &Vec<String>| !(all_by_empty && n.is_empty())))
        }
        ApiKey::Fetch => {
            shape::fetch_request(&rest)?;
            let f = FetchRequest::decode(&mut rest, version).map_err(|_| Malformed("Fetch request"))?;
            let topic = |t: FetchTopic| {
                (t.topic.as_str().to_owned(), t.partitions.iter().map(|p| p.partition).collect())
            };
            Body::Fetch(f.topics.into_iter().map(topic).collect())
        }
        _ => {
            shape::produce_request(&rest, version)?;
            let p = ProduceRequest::decode(&mut rest, version).map_err(|_| Malformed("Produce request"))?;
            let parts = p.topic_data.into_iter().flat_map(|t| {
                let topic = t.name.as_str().to_owned();
                t.partition_data.into_iter().map(move |d| PartitionBatch {
                    topic: topic.clone(),
                    partition: d.index,
                    records: records(d.records.unwrap_or_default()),
                })
            });
            Body::Produce(Produce {
                acks: p.acks,
                timeout_ms: p.timeout_ms,
                transactional: p.transactional_id.is_some(),
                parts: parts.collect(),
            })
        }
    };
    Ok(Request { correlation, client, version, body })
}

fn header_shape(frame: &[u8], version: i16) -> Result<(), Malformed> {
    let mut c = shape::Cursor::new(frame, false);
    c.take(8)?;
    if version >= 1 {
        let n = i16::from_be_bytes(c.array()?);
        c.take(usize::try_from(n).unwrap_or(0))?;
    }
    if version >= 2 {
        let tags = c.uvarint()? as usize;
        if tags > c.left() {
            return Err(Malformed("tag count"));
        }
    }
    Ok(())
}

/// The records of a partition, or the code to turn them down with.
fn records(mut bytes: Bytes) -> Result<Vec<Record>, i16> {
    let mut out = Vec::new();
    while !bytes.is_empty() {
        let head = shape::batch(&bytes).map_err(|_| codes::CORRUPT_MESSAGE)?;
        if head.magic != 2 {
            return Err(codes::UNSUPPORTED_VERSION);
        }
        if head.codec != 0 {
            return Err(codes::UNSUPPORTED_COMPRESSION_TYPE);
        }
        if head.transactional {
            return Err(codes::TRANSACTIONAL_ID_AUTHORIZATION_FAILED);
        }
        let mut one = bytes.split_to(head.size);
        let set = RecordBatchDecoder::decode(&mut one).map_err(|_| codes::CORRUPT_MESSAGE)?;
        out.extend(set.records.into_iter().map(|r| Record {
            key: r.key,
            value: r.value,
            headers: r.headers.into_iter().map(|(n, v)| (n.to_string(), v)).collect(),
            timestamp: r.timestamp,
        }));
    }
    if out.is_empty() {
        return Err(codes::INVALID_REQUEST);
    }
    Ok(out)
}

/// A whole response frame, its length in front.
fn frame<M: Encodable>(api: ApiKey, correlation: i32, version: i16, body: &M) -> Bytes {
    let mut out = BytesMut::new();
    out.put_i32(0);
    out.put_i32(correlation);
    if api.response_header_version(version) >= 1 {
        out.put_u8(0);
    }
    // What is written here is built here, in a version that is offered: it can always be encoded.
    let done = body.encode(&mut out, version).is_ok();
    debug_assert!(done, "a response of {api:?} {version} could not be encoded");
    let length = (out.len() - 4) as i32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out.freeze()
}

/// What is offered. `too_new`: the client asked in a version that is not, and reads version 0.
pub fn api_versions(correlation: i32, version: i16, too_new: bool) -> Bytes {
    let offered = [
        (ApiKey::Produce, PRODUCE),
        (ApiKey::Fetch, FETCH),
        (ApiKey::Metadata, METADATA),
        (ApiKey::ApiVersions, API_VERSIONS),
    ];
    let keys = offered.map(|(key, (min, max))| {
        ApiVersion::default().with_api_key(key as i16).with_min_version(min).with_max_version(max)
    });
    let body = ApiVersionsResponse::default()
        .with_error_code(if too_new { codes::UNSUPPORTED_VERSION } else { codes::NONE })
        .with_api_keys(keys.to_vec());
    frame(ApiKey::ApiVersions, correlation, version, &body)
}

/// Turns down what a Fetch asks for: nothing can be read here.
pub fn not_readable(correlation: i32, topics: &[(String, Vec<i32>)]) -> Bytes {
    let partition = |p: &i32| {
        PartitionData::default()
            .with_partition_index(*p)
            .with_error_code(codes::TOPIC_AUTHORIZATION_FAILED)
            .with_high_watermark(-1)
    };
    let topic = |(name, partitions): &(String, Vec<i32>)| {
        FetchableTopicResponse::default()
            .with_topic(TopicName(StrBytes::from_string(name.clone())))
            .with_partitions(partitions.iter().map(partition).collect())
    };
    let body = FetchResponse::default().with_responses(topics.iter().map(topic).collect());
    frame(ApiKey::Fetch, correlation, FETCH.1, &body)
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

/// A topic as Metadata tells it: for each partition, by number, whether it is to be had.
#[derive(Clone, Debug)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// Whether it is known.
    pub known: bool,
    /// Its partitions: `true` where there is an endpoint.
    pub partitions: Vec<bool>,
}

/// Brokers and topics.
pub fn metadata(correlation: i32, version: i16, broker: &Broker, topics: &[Topic]) -> Bytes {
    let id = BrokerId(broker.id);
    let topic = |t: &Topic| {
        let partition = |(n, there): (usize, &bool)| {
            let nodes = if *there { vec![id] } else { Vec::new() };
            MetadataResponsePartition::default()
                .with_error_code(if *there { codes::NONE } else { codes::LEADER_NOT_AVAILABLE })
                .with_partition_index(n as i32)
                .with_leader_id(if *there { id } else { BrokerId(-1) })
                .with_leader_epoch(-1)
                .with_replica_nodes(nodes.clone())
                .with_isr_nodes(nodes)
        };
        MetadataResponseTopic::default()
            .with_error_code(if t.known { codes::NONE } else { codes::UNKNOWN_TOPIC_OR_PARTITION })
            .with_name(Some(TopicName(StrBytes::from_string(t.name.clone()))))
            .with_partitions(t.partitions.iter().enumerate().map(partition).collect())
    };
    let here = MetadataResponseBroker::default()
        .with_node_id(id)
        .with_host(StrBytes::from_string(broker.host.clone()))
        .with_port(i32::from(broker.port));
    let body = MetadataResponse::default()
        .with_brokers(vec![here])
        .with_cluster_id(Some(StrBytes::from_static_str("linnetcart")))
        .with_controller_id(id)
        .with_topics(topics.iter().map(topic).collect());
    frame(ApiKey::Metadata, correlation, version, &body)
}

/// How one partition of a Produce request ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionResult {
    /// The topic.
    pub topic: String,
    /// The partition.
    pub partition: i32,
    /// The code, see [`codes`].
    pub code: i16,
    /// Offset of the first record; -1 where there is none.
    pub offset: i64,
    /// For single records, by their place in the batch: what is to be said of them.
    pub records: Vec<(i32, String)>,
    /// What is to be said of the partition.
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
    let mut topics: Vec<TopicProduceResponse> = Vec::new();
    for e in ended {
        let errors = e.records.iter().map(|(n, text)| {
            BatchIndexAndErrorMessage::default()
                .with_batch_index(*n)
                .with_batch_index_error_message(Some(StrBytes::from_string(text.clone())))
        });
        let mut part = PartitionProduceResponse::default()
            .with_index(e.partition)
            .with_error_code(e.code)
            .with_base_offset(e.offset)
            .with_log_append_time_ms(-1);
        if version >= 5 {
            part = part.with_log_start_offset(if e.code == codes::NONE { 0 } else { -1 });
        }
        if version >= 8 {
            part = part
                .with_record_errors(errors.collect())
                .with_error_message(e.text.clone().map(StrBytes::from_string));
        }
        match topics.last_mut().filter(|t| t.name.as_str() == e.topic) {
            Some(t) => t.partition_responses.push(part),
            None => topics.push(
                TopicProduceResponse::default()
                    .with_name(TopicName(StrBytes::from_string(e.topic.clone())))
                    .with_partition_responses(vec![part]),
            ),
        }
    }
    let mut tags = BTreeMap::new();
    if let Some(load) = load.filter(|_| version >= 9) {
        tags.insert(TAG_CAPACITY_LEFT, Bytes::copy_from_slice(&load.capacity_left.to_be_bytes()));
        tags.insert(TAG_RATE_LIMIT, Bytes::copy_from_slice(&load.rate_limit.to_be_bytes()));
    }
    let body = ProduceResponse::default()
        .with_responses(topics)
        .with_throttle_time_ms(throttle_ms)
        .with_unknown_tagged_fields(tags);
    frame(ApiKey::Produce, correlation, version, &body)
}

/// The number that a response frame answers, as [`crate::client`] sees it.
pub(crate) fn correlation(frame: &mut Bytes) -> Result<i32, Malformed> {
    if frame.len() < 4 {
        return Err(Malformed("response header"));
    }
    Ok(frame.get_i32())
}
