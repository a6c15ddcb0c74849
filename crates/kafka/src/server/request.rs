//! Reading of requests.

use crate::codes::Malformed;
use crate::record::{decode_batches, Record};
use crate::shape;
use crate::versions::OfferedApi;
use bytes::Bytes;
use kafka_protocol::messages::metadata_request::MetadataRequestTopic;
use kafka_protocol::messages::produce_request::TopicProduceData;
use kafka_protocol::messages::{fetch_request, FetchRequest, MetadataRequest, ProduceRequest, RequestHeader};
use kafka_protocol::protocol::Decodable;

/// Bytes of a request's header up to its correlation id, that included.
const FIXED_HEADER_BYTES: usize = 8;
/// The version of ApiVersions that is answered in where the requested one is newer than those offered.
const FALLBACK_API_VERSIONS: i16 = 0;

/// A request.
#[derive(Debug)]
pub struct Request {
    /// Its number on the connection; the response repeats it.
    pub correlation: i32,
    /// What the client calls itself.
    pub client: Option<String>,
    /// The version that its response must be in.
    pub version: i16,
    /// What it asks for.
    pub body: Body,
}

/// What a request asks for.
#[derive(Debug)]
pub enum Body {
    /// Which versions are offered.
    ApiVersions,
    /// The same, in a version that is not offered: the response says so in version 0.
    ApiVersionsTooNew,
    /// Topics and brokers; `None` for all topics.
    Metadata(Option<Vec<String>>),
    /// Records to be read.
    Fetch(Vec<FetchTopic>),
    /// Records to be accepted.
    Produce(Produce),
}

/// A topic of a Fetch request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchTopic {
    /// Its name.
    pub topic: String,
    /// The partitions to read from.
    pub partitions: Vec<i32>,
}

/// A Produce request.
#[derive(Debug)]
pub struct Produce {
    /// Acknowledgements that the client waits for.
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
    /// Its records, or the error code that they are rejected with.
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
    /// The version of the API is not offered.
    #[error("version {version} of API {api} is not offered")]
    Version {
        /// Code of the API.
        api: i16,
        /// The version.
        version: i16,
    },
}

/// Reads a frame. An error means that the connection is of no more use.
pub fn read(frame: &Bytes) -> Result<Request, RequestError> {
    let mut cursor = shape::Cursor::new(frame);
    let api_code = cursor.i16()?;
    let version = cursor.i16()?;
    let api = OfferedApi::from_code(api_code).ok_or(RequestError::Api(api_code))?;
    let correlation = cursor.i32()?;
    if !api.offers(version) {
        return read_not_offered(api, api_code, version, correlation);
    }
    let header_version = api.key().request_header_version(version);
    check_header(frame, header_version)?;
    let mut rest = frame.clone();
    let header = RequestHeader::decode(&mut rest, header_version).map_err(|_| Malformed("request header"))?;
    let client = header.client_id.map(|client| client.to_string());
    let body = match api {
        OfferedApi::ApiVersions => read_api_versions(&rest, version)?,
        OfferedApi::Metadata => read_metadata(rest, version)?,
        OfferedApi::Fetch => read_fetch(rest, version)?,
        OfferedApi::Produce => read_produce(rest, version)?,
    };
    Ok(Request { correlation, client, version, body })
}

/// A client opens with its newest version of ApiVersions and must be able to read the response.
fn read_not_offered(
    api: OfferedApi,
    api_code: i16,
    version: i16,
    correlation: i32,
) -> Result<Request, RequestError> {
    if api != OfferedApi::ApiVersions || version < api.first_version() {
        return Err(RequestError::Version { api: api_code, version });
    }
    Ok(Request { correlation, client: None, version: FALLBACK_API_VERSIONS, body: Body::ApiVersionsTooNew })
}

/// Checks the lengths in a request's header.
fn check_header(frame: &[u8], header_version: i16) -> Result<(), Malformed> {
    let mut cursor = shape::Cursor::new(frame);
    cursor.take(FIXED_HEADER_BYTES)?;
    if header_version >= 1 {
        let client_id_length = cursor.i16()?;
        cursor.take(usize::try_from(client_id_length).unwrap_or(0))?;
    }
    if header_version >= 2 {
        let tag_count = cursor.uvarint()? as usize;
        if tag_count > cursor.left() {
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
    // Version 0 asks for all topics with an empty list; later versions with none.
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
