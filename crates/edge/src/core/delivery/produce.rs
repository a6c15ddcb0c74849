//! Produce requests to endpoints, and the outcomes that their responses stand for.

use super::calls::Call;
use super::{AttemptId, DeliverySettings};
use crate::time::NANOS_PER_MS;
use bytes::Bytes;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::client::{self, ProduceReply, ProduceTarget, RequiredAcks};
use linnetcart_kafka::codes::{self, Malformed};
use linnetcart_kafka::server::PartitionResult;
use linnetcart_kafka::Record;
use std::collections::BTreeMap;

/// `acks` of a request that waits for all replicas.
const ACKS_ALL: i16 = -1;

/// The number and version of a request on its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestHeader {
    pub(super) correlation: i32,
    pub(super) version: i16,
}

/// The Produce request of a call, its messages grouped by class and destination.
pub(super) fn encode_call(
    settings: &DeliverySettings,
    header: RequestHeader,
    call: &Call,
    now: Time,
) -> Result<Bytes, Malformed> {
    let mut groups: BTreeMap<(u8, u32), Vec<Record>> = BTreeMap::new();
    for message in &call.messages {
        groups.entry((message.class, message.destination)).or_default().push(message.record.clone());
    }
    let mut targets = Vec::with_capacity(groups.len());
    for ((class, destination), records) in &groups {
        targets.push(ProduceTarget {
            topic: settings.topic(*class),
            partition: i32::try_from(*destination).unwrap_or(i32::MAX),
            records,
        });
    }
    let time_left = call.messages.iter().map(|message| message.deadline.saturating_sub(now)).max();
    let timeout_ms = i32::try_from(time_left.unwrap_or(0) / NANOS_PER_MS).unwrap_or(i32::MAX);
    let RequestHeader { correlation, version } = header;
    let required = RequiredAcks { acks: ACKS_ALL, timeout_ms };
    client::produce(correlation, &settings.client_name, version, required, &targets)
}

/// The Retry-After of a response, 0 for none.
pub(super) fn retry_after(reply: &ProduceReply) -> Time {
    u64::try_from(reply.throttle_ms).unwrap_or(0) * NANOS_PER_MS
}

/// Whether the endpoint rejected a partition because it was full.
pub(super) fn is_throttled(reply: &ProduceReply) -> bool {
    reply.parts.iter().any(|result| result.code == codes::THROTTLING_QUOTA_EXCEEDED)
}

/// The outcome of each attempt of a call by its response. A partition that is not in the response is an error.
pub(super) fn outcomes(
    settings: &DeliverySettings,
    call: &Call,
    reply: &ProduceReply,
) -> Vec<(AttemptId, AttemptOutcome)> {
    let mut outcomes = Vec::with_capacity(call.messages.len());
    for message in &call.messages {
        let topic = settings.topic(message.class);
        let is_of_message = |result: &&PartitionResult| {
            result.topic == topic && u32::try_from(result.partition) == Ok(message.destination)
        };
        let outcome = match reply.parts.iter().find(is_of_message).map(|result| result.code) {
            Some(codes::NONE) => AttemptOutcome::Served,
            Some(codes::THROTTLING_QUOTA_EXCEEDED) => {
                AttemptOutcome::Rejected { retry_after: retry_after(reply) }
            }
            _ => AttemptOutcome::Error,
        };
        outcomes.push((message.attempt, outcome));
    }
    outcomes
}
