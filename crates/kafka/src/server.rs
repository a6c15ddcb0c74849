//! The server side: reads requests and writes responses.

mod request;
mod response;

pub use request::{read, Body, FetchTopic, PartitionBatch, Produce, Request, RequestError};
pub use response::{
    api_versions, api_versions_unsupported, fetch_rejected, metadata, produce, Broker, PartitionResult,
    PartitionState, RecordError, Topic,
};
