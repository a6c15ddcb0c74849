//! Encoding and decoding of the journal's records.
//!
//! Journal files are read by later versions of the program: the numbers of kinds and the order and size of
//! fields must never change. Integers are little-endian.

use super::{ClockReference, CompletedId, FinalOutcome, IdEnd, Message, Record, SentAttempt};
use linnetcart_journal::Record as RawRecord;

const KIND_ACCEPTED: u8 = 1;
const KIND_ATTEMPT_SENT: u8 = 2;
const KIND_NOT_EXECUTED: u8 = 3;
const KIND_COMPLETED: u8 = 4;
const KIND_NOTIFIED: u8 = 5;
const KIND_NAMES: u8 = 6;
const KIND_COMPLETED_ID: u8 = 7;
const KIND_KEY_COOLDOWN: u8 = 8;
const KIND_CLOCK_REFERENCE: u8 = 9;
/// An id with another end than [`IdEnd::Completed`], for which [`KIND_COMPLETED_ID`] stands.
const KIND_ENDED_ID: u8 = 10;

const OUTCOME_DELIVERED: u8 = 0;
const OUTCOME_FAILED: u8 = 1;
const OUTCOME_RETURNED: u8 = 2;

const END_COMPLETED: u8 = 0;
const END_RETURNED: u8 = 1;
const END_REJECTED: u8 = 2;
const END_FAILED: u8 = 3;
const END_INVALID: u8 = 4;

/// Stored in place of the idempotency key's length for a message without one.
const NO_IDEMPOTENCY_KEY: u16 = u16::MAX;

impl Record {
    /// Encodes the record as a kind and a payload.
    pub fn encode(&self) -> RawRecord {
        let mut payload = Vec::new();
        self.encode_payload(&mut payload);
        RawRecord { kind: self.kind(), payload }
    }

    fn kind(&self) -> u8 {
        match self {
            Record::Accepted { .. } => KIND_ACCEPTED,
            Record::AttemptSent { .. } => KIND_ATTEMPT_SENT,
            Record::NotExecuted { .. } => KIND_NOT_EXECUTED,
            Record::Completed { .. } => KIND_COMPLETED,
            Record::Notified { .. } => KIND_NOTIFIED,
            Record::Names { .. } => KIND_NAMES,
            Record::CompletedId(CompletedId { end: IdEnd::Completed, .. }) => KIND_COMPLETED_ID,
            Record::CompletedId(_) => KIND_ENDED_ID,
            Record::KeyCooldown { .. } => KIND_KEY_COOLDOWN,
            Record::ClockReference(_) => KIND_CLOCK_REFERENCE,
        }
    }

    fn encode_payload(&self, payload: &mut Vec<u8>) {
        match self {
            Record::Accepted { number, message } => {
                payload.extend(number.to_le_bytes());
                encode_message(message, payload);
            }
            Record::AttemptSent { message, attempt } => {
                payload.extend(message.to_le_bytes());
                encode_sent_attempt(attempt, payload);
            }
            Record::NotExecuted { message, attempt } => {
                payload.extend(message.to_le_bytes());
                payload.extend(attempt.to_le_bytes());
            }
            Record::Completed { message, outcome } => {
                payload.extend(message.to_le_bytes());
                encode_outcome(*outcome, payload);
            }
            Record::Notified { message } => payload.extend(message.to_le_bytes()),
            Record::Names { classes, zones } => {
                let names = serde_json::json!([classes, zones]);
                payload.extend(names.to_string().into_bytes());
            }
            Record::CompletedId(completed) => encode_completed_id(completed, payload),
            Record::KeyCooldown { ordering_key, until } => {
                payload.extend(ordering_key.to_le_bytes());
                payload.extend(until.to_le_bytes());
            }
            Record::ClockReference(reference) => {
                payload.extend(reference.boot_id.to_le_bytes());
                payload.extend(reference.wall_offset.to_le_bytes());
            }
        }
    }

    /// Decodes a stored record. Returns `None` for an unknown kind or a payload that is not valid for
    /// the kind.
    pub fn decode(raw: &RawRecord) -> Option<Record> {
        let mut fields = FieldReader { remaining: &raw.payload };
        let record = match raw.kind {
            KIND_ACCEPTED => Record::Accepted { number: fields.u32()?, message: decode_message(fields)? },
            KIND_ATTEMPT_SENT => {
                Record::AttemptSent { message: fields.u32()?, attempt: decode_sent_attempt(&mut fields)? }
            }
            KIND_NOT_EXECUTED => Record::NotExecuted { message: fields.u32()?, attempt: fields.u16()? },
            KIND_COMPLETED => {
                Record::Completed { message: fields.u32()?, outcome: decode_outcome(&mut fields)? }
            }
            KIND_NOTIFIED => Record::Notified { message: fields.u32()? },
            KIND_NAMES => {
                let (classes, zones) = serde_json::from_slice(&raw.payload).ok()?;
                Record::Names { classes, zones }
            }
            KIND_COMPLETED_ID => {
                Record::CompletedId(decode_completed_id(&mut fields, |_| Some(IdEnd::Completed))?)
            }
            KIND_ENDED_ID => Record::CompletedId(decode_completed_id(&mut fields, decode_id_end)?),
            KIND_KEY_COOLDOWN => Record::KeyCooldown { ordering_key: fields.u64()?, until: fields.u64()? },
            KIND_CLOCK_REFERENCE => Record::ClockReference(ClockReference {
                boot_id: fields.u64()?,
                wall_offset: fields.u64()?.cast_signed(),
            }),
            _ => return None,
        };
        Some(record)
    }
}

fn encode_message(message: &Message, payload: &mut Vec<u8>) {
    payload.push(message.class);
    payload.extend(message.destination.to_le_bytes());
    payload.extend(message.ordering_key.to_le_bytes());
    payload.extend(message.wall_deadline.to_le_bytes());
    payload.extend((message.id.len() as u16).to_le_bytes());
    payload.extend(&message.id);
    let key_length = message.idempotency_key.as_ref().map_or(NO_IDEMPOTENCY_KEY, |key| key.len() as u16);
    payload.extend(key_length.to_le_bytes());
    payload.extend(message.idempotency_key.iter().flatten());
    payload.extend(&message.body);
}

fn decode_message(mut fields: FieldReader<'_>) -> Option<Message> {
    let class = fields.u8()?;
    let destination = fields.u32()?;
    let ordering_key = fields.u64()?;
    let wall_deadline = fields.u64()?;
    let id_length = fields.u16()?;
    let id = fields.bytes(usize::from(id_length))?.to_vec();
    let idempotency_key = match fields.u16()? {
        NO_IDEMPOTENCY_KEY => None,
        length => Some(fields.bytes(usize::from(length))?.to_vec()),
    };
    let body = fields.remaining.to_vec();
    Some(Message { id, idempotency_key, class, destination, ordering_key, wall_deadline, body })
}

fn encode_sent_attempt(attempt: &SentAttempt, payload: &mut Vec<u8>) {
    payload.extend(attempt.number.to_le_bytes());
    payload.push(attempt.zone);
    payload.extend(attempt.sent_at.to_le_bytes());
}

fn decode_sent_attempt(fields: &mut FieldReader<'_>) -> Option<SentAttempt> {
    Some(SentAttempt { number: fields.u16()?, zone: fields.u8()?, sent_at: fields.u64()? })
}

fn encode_completed_id(completed: &CompletedId, payload: &mut Vec<u8>) {
    payload.extend(completed.id_digest.to_le_bytes());
    payload.extend(completed.content_digest.to_le_bytes());
    payload.extend(completed.expires_at.to_le_bytes());
    let end = match completed.end {
        IdEnd::Completed => return,
        IdEnd::Returned => END_RETURNED,
        IdEnd::Rejected => END_REJECTED,
        IdEnd::Failed => END_FAILED,
        IdEnd::Invalid => END_INVALID,
    };
    payload.push(end);
}

fn decode_completed_id(
    fields: &mut FieldReader<'_>,
    read_end: impl Fn(&mut FieldReader<'_>) -> Option<IdEnd>,
) -> Option<CompletedId> {
    Some(CompletedId {
        id_digest: fields.u64()?,
        content_digest: fields.u64()?,
        expires_at: fields.u64()?,
        end: read_end(fields)?,
    })
}

fn decode_id_end(fields: &mut FieldReader<'_>) -> Option<IdEnd> {
    match fields.u8()? {
        END_COMPLETED => Some(IdEnd::Completed),
        END_RETURNED => Some(IdEnd::Returned),
        END_REJECTED => Some(IdEnd::Rejected),
        END_FAILED => Some(IdEnd::Failed),
        END_INVALID => Some(IdEnd::Invalid),
        _ => None,
    }
}

fn encode_outcome(outcome: FinalOutcome, payload: &mut Vec<u8>) {
    let (code, retry_after_ms) = match outcome {
        FinalOutcome::Delivered => (OUTCOME_DELIVERED, 0),
        FinalOutcome::Failed => (OUTCOME_FAILED, 0),
        FinalOutcome::Returned { retry_after_ms } => (OUTCOME_RETURNED, retry_after_ms),
    };
    payload.push(code);
    payload.extend(retry_after_ms.to_le_bytes());
}

fn decode_outcome(fields: &mut FieldReader<'_>) -> Option<FinalOutcome> {
    let code = fields.u8()?;
    let retry_after_ms = fields.u32()?;
    match code {
        OUTCOME_DELIVERED => Some(FinalOutcome::Delivered),
        OUTCOME_FAILED => Some(FinalOutcome::Failed),
        OUTCOME_RETURNED => Some(FinalOutcome::Returned { retry_after_ms }),
        _ => None,
    }
}

/// Reads the fields of a payload in order. Each method returns `None` when too few bytes remain.
struct FieldReader<'a> {
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    fn bytes(&mut self, length: usize) -> Option<&'a [u8]> {
        let (field, remaining) = self.remaining.split_at_checked(length)?;
        self.remaining = remaining;
        Some(field)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u8(&mut self) -> Option<u8> {
        self.array().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }
}
