//! Violations of the Kafka protocol by a peer. Each closes the peer's connection.

use linnetcart_kafka::codes::Malformed;
use linnetcart_kafka::server::RequestError;
use linnetcart_kafka::{FrameError, PRODUCE};

/// A protocol violation by a client or an endpoint. The text is the `reason` in
/// `DeliveryEvent::ProtocolViolation` and in the log line that is written for it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProtocolError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error(transparent)]
    Response(#[from] Malformed),
    #[error("acks=0 for {topics:?} leaves no way to give the final answer; use acks=all")]
    NoAcknowledgement { topics: Vec<String> },
    #[error("the requests of all clients take too much memory, and its incomplete one was the largest")]
    TooManyRequestBytes,
    #[error("the answers to all clients take too much memory, and it has read the fewest of its own")]
    TooManyAnswerBytes,
    #[error("the responses of all endpoints take too much memory, and its own was the largest")]
    TooManyResponseBytes,
    #[error("it does not offer the Produce API")]
    ProduceNotOffered,
    #[error("it offers Produce versions {least} to {most}; supported: {} to {}", PRODUCE.first, PRODUCE.last)]
    ProduceVersions { least: i16, most: i16 },
    #[error("it sent a response with correlation id {correlation}, which no request in flight has")]
    UnexpectedResponse { correlation: i32 },
    #[error(
        "it answered the request with correlation id {correlation} before the earlier one with {oldest}"
    )]
    ResponseOutOfOrder { correlation: i32, oldest: i32 },
}
