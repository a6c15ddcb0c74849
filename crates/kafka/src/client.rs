//! The client side: writes requests and reads responses.

mod request;
mod response;

pub use request::{api_versions, metadata, produce, ProduceTarget, RequiredAcks};
pub use response::{
    correlation_id, read_metadata, read_produce_versions, read_produced, BrokerMetadata, ClusterMetadata,
    PartitionMetadata, ProduceReply, ProduceVersions, TopicMetadata,
};
