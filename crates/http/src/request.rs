//! Parsing of requests by a server.

use crate::fields::{range_within, Fields, InvalidContentLength};
use crate::{Persistence, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};
use std::ops::Range;

/// Why a request is rejected. The connection has to end, because the start of the next request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is malformed.
    #[error("the head cannot be read as HTTP/1.1")]
    Unreadable,
    /// The head is too long or has too many header fields.
    #[error("a head has at most {MAX_HEAD_BYTES} bytes and {MAX_HEADER_FIELDS} fields")]
    HeadTooLong,
    /// `Content-Length` is not one decimal number, or is given more than once.
    #[error("Content-Length is one decimal number, given once")]
    BadLength,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("a body has at most {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The request has a `Transfer-Encoding` field; only bodies of known length are accepted.
    #[error("send the body with a Content-Length and no Transfer-Encoding")]
    TransferEncoding,
}

impl RequestError {
    /// Returns the HTTP status code of the response to the request.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Unreadable | RequestError::BadLength => 400,
            RequestError::HeadTooLong => 431,
            RequestError::BodyTooLong => 413,
            RequestError::TransferEncoding => 411,
        }
    }
}

impl From<InvalidContentLength> for RequestError {
    fn from(_: InvalidContentLength) -> RequestError {
        RequestError::BadLength
    }
}

/// A header field that may occur once is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the header field occurs more than once")]
pub struct DuplicateField;

/// A complete request. It borrows the bytes that it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    bytes: &'a [u8],
    method: Range<usize>,
    target: Range<usize>,
    fields: Fields,
    body: Range<usize>,
    /// Whether the client keeps the connection open after the response.
    pub persistence: Persistence,
}

impl<'a> Request<'a> {
    /// Returns the method: `GET`, `POST`, ...
    pub fn method(&self) -> &'a [u8] {
        &self.bytes[self.method.clone()]
    }

    /// Returns the request target without the query.
    pub fn path(&self) -> &'a [u8] {
        let target = &self.bytes[self.target.clone()];
        target.split(|&byte| byte == b'?').next().unwrap_or(target)
    }

    /// Returns the body.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[self.body.clone()]
    }

    /// Returns the value of a header field, or `None` if it is absent. A repeated field is an error.
    pub fn field(&self, name: &'static str) -> Result<Option<&[u8]>, DuplicateField> {
        let mut values = self.fields.values(self.bytes, name);
        let first = values.next();
        match values.next() {
            None => Ok(first),
            Some(_) => Err(DuplicateField),
        }
    }

    /// Returns the length of the request in bytes, head and body.
    pub fn length(&self) -> usize {
        self.body.end
    }
}

/// The lengths of a request whose head is complete, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLength {
    /// Length of the head.
    pub head: usize,
    /// Length of the head and the body.
    pub total: usize,
}

/// Returns the lengths of the request at the start of these bytes, or `None` while its head is incomplete.
///
/// # Errors
///
/// If the bytes cannot become a valid request or exceed a limit; see [`RequestError`].
pub fn request_length(bytes: &[u8]) -> Result<Option<RequestLength>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(head) = parse_head(&mut parsed, bytes)? else { return Ok(None) };
    let fields = Fields::new(bytes, parsed.headers);
    Ok(Some(RequestLength { head, total: head + body_length(&fields, bytes)? }))
}

/// Parses the request at the start of these bytes. Returns `None` while more bytes are needed.
///
/// # Errors
///
/// If the bytes cannot become a valid request or exceed a limit; see [`RequestError`].
pub fn parse_request(bytes: &[u8]) -> Result<Option<Request<'_>>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(head_length) = parse_head(&mut head, bytes)? else { return Ok(None) };
    let (Some(method), Some(target)) = (head.method, head.path) else {
        return Err(RequestError::Unreadable);
    };
    let fields = Fields::new(bytes, head.headers);
    let body_length = body_length(&fields, bytes)?;
    let body = head_length..head_length + body_length;
    if bytes.len() < body.end {
        return Ok(None);
    }
    let persistence = Persistence::after_message(head.version, &fields, bytes);
    Ok(Some(Request {
        bytes,
        method: range_within(bytes, method.as_bytes()),
        target: range_within(bytes, target.as_bytes()),
        fields,
        body,
        persistence,
    }))
}

/// Parses the head and returns its length, or `None` while more bytes are needed.
fn parse_head<'a>(
    head: &mut httparse::Request<'_, 'a>,
    bytes: &'a [u8],
) -> Result<Option<usize>, RequestError> {
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(RequestError::HeadTooLong),
        Err(_) => Err(RequestError::Unreadable),
    }
}

fn body_length(fields: &Fields, bytes: &[u8]) -> Result<usize, RequestError> {
    if fields.has_transfer_encoding(bytes) {
        return Err(RequestError::TransferEncoding);
    }
    let length = fields.content_length(bytes)?.unwrap_or(0);
    if length > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    Ok(length as usize)
}
