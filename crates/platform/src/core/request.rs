//! Parsing and validation of a client's request: yields the submitted message or the error for the answer.

use super::clock::MILLISECOND;
use crate::records::Message;
use linnetcart::{Class, Idempotency, Time};
use linnetcart_deployment_settings::DeploymentSettings;
use linnetcart_http::{parse_decimal, Request};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum length of a message id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A message as submitted by a request.
#[derive(Debug, PartialEq, Eq)]
pub struct SubmittedMessage {
    /// The message's id, from `X-Txn`.
    pub id: Vec<u8>,
    /// The message's idempotency key, from `Idempotency-Key`; `None` without that field.
    pub idempotency_key: Option<Vec<u8>>,
    /// Index of the class whose name is the first segment of the path.
    pub class: u8,
    /// Number of the destination, from `X-Route-To`.
    pub destination: u32,
    /// The ordering key, a 64-bit hash of the cookie `subject`; 0 if the message has none.
    pub ordering_key: u64,
    /// Time left for the delivery when the last byte of the request arrived, in nanoseconds:
    /// min(`X-Remaining-Ms`, deadline of the class).
    pub time_remaining: Time,
}

impl SubmittedMessage {
    /// Returns the message with its body. `wall_deadline` is a wall-clock time in nanoseconds.
    pub fn into_message(self, wall_deadline: Time, body: Vec<u8>) -> Message {
        Message {
            id: self.id,
            idempotency_key: self.idempotency_key,
            class: self.class,
            destination: self.destination,
            ordering_key: self.ordering_key,
            wall_deadline,
            body,
        }
    }
}

/// Why a request is not a valid submission. The error text is the body of the answer, which clients may
/// match: it must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The bytes are not a well-formed HTTP/1.1 request, or exceed a limit of the parser.
    #[error("{0}")]
    Malformed(linnetcart_http::RequestError),
    /// Further bytes followed a request before its answer: pipelining is not supported.
    #[error("one request at a time")]
    Pipelined,
    /// The request did not arrive completely in time.
    #[error("the request did not come in time")]
    TimedOut,
    /// The request did not arrive completely while there were too many connections.
    #[error("too many connections, send it again")]
    TooManyConnections,
    /// The request did not arrive completely while the requests of all clients took too much memory.
    #[error("too much is being received, send it again")]
    TooManyBytes,
    /// A header field that may occur once is repeated.
    #[error("a field stands there twice")]
    DuplicateField,
    /// The first segment of the path is not the name of a class.
    #[error("there is no such class")]
    UnknownClass,
    /// The method is not POST.
    #[error("hand messages in with POST")]
    MethodNotAllowed,
    /// The id is missing or invalid.
    #[error("X-Txn is missing or cannot be used")]
    InvalidId,
    /// The idempotency key is invalid.
    #[error("Idempotency-Key cannot be used")]
    InvalidIdempotencyKey,
    /// The class requires an idempotency key.
    #[error("this class wants an Idempotency-Key")]
    MissingIdempotencyKey,
    /// The destination is missing or invalid.
    #[error("X-Route-To is `dest=` and a number")]
    InvalidDestination,
    /// The remaining time is missing or invalid.
    #[error("X-Remaining-Ms is a whole number")]
    InvalidTimeRemaining,
    /// No endpoint was ever listed for the destination.
    #[error("there is no such destination")]
    UnknownDestination,
    /// A message with the same id and different content was accepted, or may be.
    #[error("this id was another message's")]
    IdOfOtherMessage,
    /// An invalid request with the same id was answered by an earlier version.
    #[error("this id was an invalid request's, use a new one")]
    IdOfInvalidRequest,
}

impl RequestError {
    /// Whether the answer says that the message may be submitted again, and not that it failed.
    pub fn is_rejection(self) -> bool {
        matches!(self, RequestError::TooManyConnections | RequestError::TooManyBytes)
    }

    /// Whether the client may still send a part of the request, or bytes behind it.
    pub fn cuts_request_off(self) -> bool {
        matches!(
            self,
            RequestError::Malformed(_)
                | RequestError::Pipelined
                | RequestError::TimedOut
                | RequestError::TooManyConnections
                | RequestError::TooManyBytes
        )
    }

    /// Returns the status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed(error) => error.status(),
            RequestError::UnknownClass | RequestError::UnknownDestination => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::TimedOut => 408,
            RequestError::TooManyConnections | RequestError::TooManyBytes => 503,
            RequestError::IdOfOtherMessage | RequestError::IdOfInvalidRequest => 409,
            RequestError::Pipelined
            | RequestError::DuplicateField
            | RequestError::InvalidId
            | RequestError::InvalidIdempotencyKey
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidDestination
            | RequestError::InvalidTimeRemaining => 400,
        }
    }
}

/// Validates a request and returns the message that it submits, without its body.
pub fn parse_submission(
    request: &Request<'_>,
    settings: &DeploymentSettings,
) -> Result<SubmittedMessage, RequestError> {
    let class_index = class_of_path(request.path(), settings).ok_or(RequestError::UnknownClass)?;
    if request.method() != b"POST" {
        return Err(RequestError::MethodNotAllowed);
    }
    let class = &settings.settings.classes[class_index];
    let id = single_field(request, "x-txn")?.and_then(parse_id_or_key).ok_or(RequestError::InvalidId)?;
    let idempotency_key = read_idempotency_key(request, class)?;
    let destination = read_destination(request)?;
    let time_remaining = read_time_remaining(request)?.min(class.deadline);
    let ordering_key = if class.ordered { read_ordering_key(request)? } else { 0 };
    Ok(SubmittedMessage {
        id,
        idempotency_key,
        class: class_index as u8,
        destination,
        ordering_key,
        time_remaining,
    })
}

/// Returns the ids that the request at the start of these bytes names. It may be invalid, malformed or incomplete; ids
/// that no message can have are left out.
pub fn named_ids(bytes: &[u8]) -> BTreeSet<Vec<u8>> {
    linnetcart_http::unframed_values(bytes, "x-txn").filter_map(parse_id_or_key).collect()
}

/// Returns the first id that the request at the start of these bytes names, as [`named_ids`] does.
pub fn first_named_id(bytes: &[u8]) -> Option<Vec<u8>> {
    linnetcart_http::unframed_values(bytes, "x-txn").find_map(parse_id_or_key)
}

fn read_idempotency_key(request: &Request<'_>, class: &Class) -> Result<Option<Vec<u8>>, RequestError> {
    let is_required = matches!(class.idempotency, Idempotency::Keyed { .. });
    match single_field(request, "idempotency-key")? {
        Some(key) => parse_id_or_key(key).map(Some).ok_or(RequestError::InvalidIdempotencyKey),
        None if is_required => Err(RequestError::MissingIdempotencyKey),
        None => Ok(None),
    }
}

fn read_destination(request: &Request<'_>) -> Result<u32, RequestError> {
    let destination = single_field(request, "x-route-to")?.and_then(parse_destination);
    destination.ok_or(RequestError::InvalidDestination)
}

fn read_time_remaining(request: &Request<'_>) -> Result<Time, RequestError> {
    let milliseconds = single_field(request, "x-remaining-ms")?.and_then(parse_decimal);
    let milliseconds = milliseconds.ok_or(RequestError::InvalidTimeRemaining)?;
    Ok(milliseconds.saturating_mul(MILLISECOND))
}

/// Returns 0 for a request without an ordering key.
fn read_ordering_key(request: &Request<'_>) -> Result<u64, RequestError> {
    let subject = single_field(request, "cookie")?.and_then(subject_of_cookies);
    Ok(subject.map_or(0, ordering_key_of))
}

/// Returns the value of a header field: `None` if it is absent, an error if it is repeated.
fn single_field<'a>(request: &'a Request<'_>, name: &'static str) -> Result<Option<&'a [u8]>, RequestError> {
    request.field(name).map_err(|_| RequestError::DuplicateField)
}

/// Returns the index of the class whose name is the first segment of the path.
fn class_of_path(path: &[u8], settings: &DeploymentSettings) -> Option<usize> {
    let path = path.strip_prefix(b"/").unwrap_or_default();
    let name = path.split(|&byte| byte == b'/').next().unwrap_or_default();
    if name.is_empty() {
        return None;
    }
    settings.class_names.iter().position(|class| class.as_bytes() == name)
}

fn parse_destination(value: &[u8]) -> Option<u32> {
    let number = parse_decimal(value.strip_prefix(b"dest=")?)?;
    u32::try_from(number).ok()
}

/// Returns a message id or idempotency key if it has 1 to [`MAX_ID_BYTES`] visible ASCII characters, so that
/// it can be copied into the head of an upstream request unchanged.
fn parse_id_or_key(value: &[u8]) -> Option<Vec<u8>> {
    let length_fits = !value.is_empty() && value.len() <= MAX_ID_BYTES;
    (length_fits && value.iter().all(u8::is_ascii_graphic)).then(|| value.to_vec())
}

/// Returns the value of the cookie `subject`, from which the ordering key is derived.
fn subject_of_cookies(cookies: &[u8]) -> Option<&[u8]> {
    let mut pairs = cookies.split(|&byte| byte == b';').map(<[u8]>::trim_ascii);
    let subject = pairs.find_map(|pair| pair.strip_prefix(b"subject="))?;
    (!subject.is_empty()).then_some(subject)
}

/// Returns the ordering key of a subject: its 64-bit hash, with 0 mapped to 1 because 0 means no ordering
/// key.
fn ordering_key_of(subject: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    hasher.finish().max(1)
}

#[cfg(test)]
mod tests;
