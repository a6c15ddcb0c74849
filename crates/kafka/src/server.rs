//! The side that is called: reads requests, writes responses.

mod request;
mod response;

pub use request::{read, Body, FetchTopic, PartitionBatch, Produce, Request, RequestError};
pub use response::{
    api_versions, api_versions_unsupported, metadata, not_readable, produce, Broker, PartitionResult, Topic,
};
