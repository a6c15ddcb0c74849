//! Decoding of requests.

use crate::codes::Malformed;
use crate::record::{decode_batches, Record};
use crate::shape;
use crate::versions::OfferedApi;
use bytes::Bytes;
use kafka_protocol::messages::metadata_request::MetadataRequestTopic;
use kafka_protocol::messages::produce_request::TopicProduceData;
use kafka_protocol::messages::{fetch_request, FetchRequest, MetadataRequest, ProduceRequest, RequestHeader};
use kafka_protocol::protocol::Decodable;

/// Size of the fixed part of a request header (API key, API version and correlation id), in bytes.
const FIXED_HEADER_BYTES: usize = 8;
/// Version of the ApiVersions response to a request in a newer version than the offered ones.
const FALLBACK_API_VERSIONS: i16 = 0;

/// A request.
#[derive(Debug)]
pub struct Request {
    /// Correlation id of the request; the response repeats it.
    pub correlation: i32,
    /// Client id, or `None` if the client sent none.
    pub client: Option<String>,
    /// The version in which the response must be encoded.
    pub version: i16,
    /// The body of the request.
    pub body: Body,
}

/// The body of a request, by API.
#[derive(Debug)]
pub enum Body {
    /// Asks for the offered APIs and their versions.
    ApiVersions,
    /// Asks for the offered APIs in a version of ApiVersions that is itself not offered; the response is in
    /// version 0.
    ApiVersionsTooNew,
    /// Asks for the partitions of these topics and their leaders; `None` for all topics.
    Metadata(Option<Vec<String>>),
    /// Asks for records of these partitions.
    Fetch(Vec<FetchTopic>),
    /// Submits records.
    Produce(Produce),
}

/// A topic of a Fetch request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchTopic {
    /// Name of the topic.
    pub topic: String,
    /// The partitions to read from.
    pub partitions: Vec<i32>,
}

/// A Produce request.
#[derive(Debug)]
pub struct Produce {
    /// Number of replicas that must acknowledge the records; -1 for all of them.
    pub acks: i16,
    /// How long the server may wait for the acknowledgements, in milliseconds.
    pub timeout_ms: i32,
    /// Whether the request belongs to a transaction.
    pub transactional: bool,
    /// The records by partition.
    pub parts: Vec<PartitionBatch>,
}

/// The records of a Produce request for one partition.
#[derive(Debug)]
pub struct PartitionBatch {
    /// Name of the topic.
    pub topic: String,
    /// Partition number.
    pub partition: i32,
    /// The records, or the error code with which the partition is rejected.
    pub records: Result<Vec<Record>, i16>,
}

/// Why a request cannot be answered. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request violates the protocol.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The API is not offered.
    #[error("API {0} is not offered")]
    Api(i16),
    /// The version of the API is not offered.
    #[error("version {version} of API {api} is not offered")]
    Version {
        /// API key.
        api: i16,
        /// The requested version.
        version: i16,
    },
}

/// Decodes a request frame without its length prefix.
///
/// # Errors
/// Fails if the frame is malformed, or the API or the requested version is not offered. The caller must close
/// the connection.
pub fn read(frame: &Bytes) -> Result<Request, RequestError> {
    let mut cursor = shape::Cursor::new(frame);
    let api_code = cursor.i16()?;
    let version = cursor.i16()?;
    let api = OfferedApi::from_code(api_code).ok_or(RequestError::Api(api_code))?;
    let correlation = cursor.i32()?;
    if !api.versions().contains(version) {
        return read_not_offered(api, api_code, version, correlation);
    }
    let header_version = api.key().request_header_version(version);
    check_header(frame, header_version)?;
    let mut unread = frame.clone();
    let header =
        RequestHeader::decode(&mut unread, header_version).map_err(|_| Malformed("request header"))?;
    let client = header.client_id.map(|client| client.to_string());
    let body = match api {
        OfferedApi::ApiVersions => read_api_versions(&unread, version)?,
        OfferedApi::Metadata => read_metadata(unread, version)?,
        OfferedApi::Fetch => read_fetch(unread, version)?,
        OfferedApi::Produce => read_produce(unread, version)?,
    };
    Ok(Request { correlation, client, version, body })
}

/// Handles a request in a version that is not offered. Only ApiVersions gets a response: a client starts with
/// the newest version that it knows and must be able to read the answer.
fn read_not_offered(
    api: OfferedApi,
    api_code: i16,
    version: i16,
    correlation: i32,
) -> Result<Request, RequestError> {
    if api != OfferedApi::ApiVersions || version < api.versions().first {
        return Err(RequestError::Version { api: api_code, version });
    }
    Ok(Request { correlation, client: None, version: FALLBACK_API_VERSIONS, body: Body::ApiVersionsTooNew })
}

/// Checks the lengths and counts in a request header before it is decoded.
fn check_header(frame: &[u8], header_version: i16) -> Result<(), Malformed> {
    let mut cursor = shape::Cursor::new(frame);
    cursor.take(FIXED_HEADER_BYTES)?;
    if header_version >= 1 {
        let client_id_length = cursor.i16()?;
        cursor.take(usize::try_from(client_id_length).unwrap_or(0))?;
    }
    if header_version >= 2 {
        let tag_count = cursor.uvarint()?;
        if tag_count as usize > cursor.remaining() || tag_count > shape::MAX_TAGS {
            return Err(Malformed("tag count"));
        }
    }
    Ok(())
}

fn read_api_versions(body: &[u8], version: i16) -> Result<Body, Malformed> {
    shape::api_versions_request(body, version)?;
    Ok(Body::ApiVersions)
}

fn read_metadata(mut body: Bytes, version: i16) -> Result<Body, Malformed> {
    shape::metadata_request(&body, version)?;
    let request = MetadataRequest::decode(&mut body, version).map_err(|_| Malformed("Metadata request"))?;
    let Some(topics) = request.topics else { return Ok(Body::Metadata(None)) };
    // Version 0 requests all topics with an empty list; later versions with a null list.
    if version == 0 && topics.is_empty() {
        return Ok(Body::Metadata(None));
    }
    let name =
        |topic: MetadataRequestTopic| topic.name.map_or(String::new(), |name| name.as_str().to_owned());
    Ok(Body::Metadata(Some(topics.into_iter().map(name).collect())))
}

fn read_fetch(mut body: Bytes, version: i16) -> Result<Body, Malformed> {
    shape::fetch_request(&body)?;
    let request = FetchRequest::decode(&mut body, version).map_err(|_| Malformed("Fetch request"))?;
    let topic = |topic: fetch_request::FetchTopic| FetchTopic {
        topic: topic.topic.as_str().to_owned(),
        partitions: topic.partitions.iter().map(|partition| partition.partition).collect(),
    };
    Ok(Body::Fetch(request.topics.into_iter().map(topic).collect()))
}

fn read_produce(mut body: Bytes, version: i16) -> Result<Body, Malformed> {
    shape::produce_request(&body, version)?;
    let request = ProduceRequest::decode(&mut body, version).map_err(|_| Malformed("Produce request"))?;
    Ok(Body::Produce(Produce {
        acks: request.acks,
        timeout_ms: request.timeout_ms,
        transactional: request.transactional_id.is_some(),
        parts: request.topic_data.into_iter().flat_map(read_produce_topic).collect(),
    }))
}

fn read_produce_topic(topic: TopicProduceData) -> Vec<PartitionBatch> {
    let mut parts = Vec::new();
    for partition in topic.partition_data {
        parts.push(PartitionBatch {
            topic: topic.name.as_str().to_owned(),
            partition: partition.index,
            records: decode_batches(partition.records.unwrap_or_default()),
        });
    }
    parts
}
