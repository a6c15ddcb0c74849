//! Produce requests to endpoints: how a call is encoded as one, and which outcomes follow from the response.

use super::calls::Call;
use super::{AttemptId, DeliverySettings, OutgoingMessage};
use crate::time::NANOS_PER_MS;
use bytes::Bytes;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_kafka::client::{self, ProduceReply, ProduceTarget, RequiredAcks};
use linnetcart_kafka::codes::{self, Malformed};
use linnetcart_kafka::server::PartitionResult;
use linnetcart_kafka::Record;
use std::collections::BTreeMap;

/// The `acks` value of Kafka clients that wait for all in-sync replicas.
const ACKS_ALL: i16 = -1;

/// The correlation id and version of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestHeader {
    pub(super) correlation: i32,
    pub(super) version: i16,
}

/// The outcome of one attempt, as the response to its call states it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedOutcome {
    pub(super) attempt: AttemptId,
    pub(super) outcome: AttemptOutcome,
}

/// A class at a destination, which Kafka calls a partition of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TopicPartition {
    class: u8,
    destination: u32,
}

/// Encodes the Produce request of a call, its messages grouped by class and destination. The request's
/// timeout is `max(deadline - now)` over the attempts of the call, in milliseconds.
pub(super) fn encode_call(
    settings: &DeliverySettings,
    header: RequestHeader,
    call: &Call,
    now: Time,
) -> Result<Bytes, Malformed> {
    let mut groups: BTreeMap<TopicPartition, Vec<Record>> = BTreeMap::new();
    for message in &call.messages {
        let group = TopicPartition { class: message.class, destination: message.destination };
        groups.entry(group).or_default().push(message.record.clone());
    }
    let mut targets = Vec::with_capacity(groups.len());
    for (group, records) in &groups {
        targets.push(ProduceTarget {
            topic: settings.topic(group.class),
            partition: i32::try_from(group.destination).unwrap_or(i32::MAX),
            records,
        });
    }
    let time_left = call.messages.iter().map(|message| message.deadline.saturating_sub(now)).max();
    let timeout_ms = i32::try_from(time_left.unwrap_or(0) / NANOS_PER_MS).unwrap_or(i32::MAX);
    let RequestHeader { correlation, version } = header;
    let required = RequiredAcks { acks: ACKS_ALL, timeout_ms };
    client::produce(correlation, &settings.client_name, version, required, &targets)
}

/// Returns the Retry-After of a response in nanoseconds: its throttle time, 0 if it has none.
pub(super) fn retry_after(reply: &ProduceReply) -> Time {
    u64::try_from(reply.throttle_ms).unwrap_or(0) * NANOS_PER_MS
}

/// Returns whether the endpoint rejected a partition because the endpoint is at its limit.
pub(super) fn is_throttled(reply: &ProduceReply) -> bool {
    reply.parts.iter().any(|result| result.code == codes::THROTTLING_QUOTA_EXCEEDED)
}

/// Returns the outcome of the attempt of each message of a call, by the error code of its partition in the response: `NONE`
/// is `Served`, and `THROTTLING_QUOTA_EXCEEDED` is `Rejected` with the Retry-After of the response. Any other
/// code, or a partition that the response lacks, is `Error`.
pub(super) fn outcomes(
    settings: &DeliverySettings,
    messages: &[OutgoingMessage],
    reply: &ProduceReply,
) -> Vec<StatedOutcome> {
    let mut outcomes = Vec::with_capacity(messages.len());
    for message in messages {
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
        outcomes.push(StatedOutcome { attempt: message.attempt, outcome });
    }
    outcomes
}
