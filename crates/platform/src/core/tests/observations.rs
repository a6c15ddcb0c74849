//! Types and functions by which the tests inspect the outputs of a core.

use super::harness::DISCOVERY_PORT;
use crate::core::{ClientId, ConnectionId, OutcomeCounts, Output};
use linnetcart::AttemptOutcome;
use linnetcart_http::{parse_response, ParsedResponse};

/// Bytes that the core sent to an endpoint or to discovery.
pub struct UpstreamBytes {
    pub connection: ConnectionId,
    pub bytes: Vec<u8>,
}

/// Bytes that the core sent to a client.
pub struct ClientBytes {
    pub client: ClientId,
    pub bytes: Vec<u8>,
}

/// An attempt that the core sent.
#[derive(Debug)]
pub struct AttemptRequest {
    pub connection: ConnectionId,
    pub message_id: String,
}

/// A batch of status notifications that the core sent.
#[derive(Debug, PartialEq, Eq)]
pub struct NotificationBatch {
    pub connection: ConnectionId,
    pub body: String,
}

/// Returns the notification that message `m` failed, as sent on a connection.
pub fn failed_notification(connection: ConnectionId) -> NotificationBatch {
    NotificationBatch { connection, body: "{\"id\":\"m\",\"state\":\"failed\"}\n".to_owned() }
}

/// Returns the status of an HTTP response.
pub fn status(bytes: &[u8]) -> u16 {
    match parse_response(bytes) {
        ParsedResponse::Head(head) => head.status,
        other => panic!("{other:?}"),
    }
}

/// Returns the counts for these outcomes.
pub fn counts_of(outcomes: &[AttemptOutcome]) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for &outcome in outcomes {
        counts.count(outcome);
    }
    counts
}

/// Whether an output requests a connection to an endpoint.
pub fn is_endpoint_connect(output: &Output) -> bool {
    matches!(output, Output::Connect(_, address) if address.port() != DISCOVERY_PORT)
}
