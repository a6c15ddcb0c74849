//! Responses: parsing of heads by a client, and encoding of complete responses by a server.

use crate::fields::Fields;
use crate::{parse_decimal, Persistence, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};

/// The start of every status line of HTTP/1.0 and HTTP/1.1.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
const STATUS_CODE_DIGITS: usize = 3;
const OK: u16 = 200;
const GONE: u16 = 410;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// The status of a response whose head is not complete or is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyStatus {
    /// The status line is complete, with status 200.
    Ok,
    /// The status line is complete, with status 410.
    Gone,
    /// The status line is incomplete or malformed, or has another status.
    Other,
}

/// The outcome of parsing the response at the start of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedResponse {
    /// More bytes are needed.
    Incomplete {
        /// What the status line reads, if it is complete.
        status: EarlyStatus,
    },
    /// The bytes cannot become a valid response.
    Malformed {
        /// What the status line reads, if it is complete and valid.
        status: EarlyStatus,
    },
    /// The head is complete and valid.
    Head(ResponseHead),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct OwnedField {
    name: Vec<u8>,
    value: Vec<u8>,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Number of bytes up to the end of the head, including interim (1xx) responses before it.
    pub length: usize,
    /// Number of bytes of the body; `None` if it is unknown or exceeds [`MAX_BODY_BYTES`].
    pub body: Option<usize>,
    /// Whether the body is chunked.
    pub chunked: bool,
    /// Whether the server keeps the connection open after the body.
    pub persistence: Persistence,
    fields: Vec<OwnedField>,
}

impl ResponseHead {
    /// Returns the value of the first header field of this name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        let has_name = |field: &&OwnedField| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().find(has_name).map(|field| &field.value[..])
    }

    /// Whether another response follows this one. 101 (Switching Protocols) is final, although it is 1xx.
    fn is_interim(&self) -> bool {
        is_informational(self.status) && self.status != SWITCHING_PROTOCOLS
    }
}

fn is_informational(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Parses the response at the start of these bytes, after any interim (1xx) responses.
pub fn parse_response(bytes: &[u8]) -> ParsedResponse {
    let mut skipped = 0;
    loop {
        match parse_one_response(&bytes[skipped..]) {
            ParsedResponse::Head(head) if head.is_interim() => {
                skipped += head.length;
                if skipped > MAX_HEAD_BYTES {
                    return ParsedResponse::Malformed { status: EarlyStatus::Other };
                }
            }
            ParsedResponse::Head(mut head) => {
                head.length += skipped;
                return ParsedResponse::Head(head);
            }
            other => return other,
        }
    }
}

/// Returns the length in bytes of the complete interim (1xx) responses at the start of these bytes.
pub fn interim_length(bytes: &[u8]) -> usize {
    let mut length = 0;
    while let ParsedResponse::Head(head) = parse_one_response(&bytes[length..]) {
        if !head.is_interim() {
            break;
        }
        length += head.length;
    }
    length
}

/// Parses the response at the start of these bytes, interim or not.
fn parse_one_response(bytes: &[u8]) -> ParsedResponse {
    let Some(status_line) = parse_status_line(bytes) else {
        return ParsedResponse::Malformed { status: EarlyStatus::Other };
    };
    let status = status_line.early_status();
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
            read_head(&head, length, bytes).map_or(ParsedResponse::Malformed { status }, ParsedResponse::Head)
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
            ParsedResponse::Incomplete { status }
        }
        Ok(_) | Err(_) => ParsedResponse::Malformed { status },
    }
}

/// The part of the status line that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusLine {
    Partial,
    Complete { status: u16 },
}

impl StatusLine {
    fn early_status(self) -> EarlyStatus {
        match self {
            StatusLine::Complete { status: OK } => EarlyStatus::Ok,
            StatusLine::Complete { status: GONE } => EarlyStatus::Gone,
            StatusLine::Complete { .. } | StatusLine::Partial => EarlyStatus::Other,
        }
    }
}

/// Parses the status line at the start of these bytes. Returns `None` if no response can start with them.
fn parse_status_line(bytes: &[u8]) -> Option<StatusLine> {
    match bytes.iter().position(|&byte| byte == b'\n') {
        Some(end) => parse_status_code(&bytes[..end]).map(|status| StatusLine::Complete { status }),
        None => may_begin_response(bytes).then_some(StatusLine::Partial),
    }
}

/// Converts a parsed head. Returns `None` if its `Content-Length` is invalid.
fn read_head(head: &httparse::Response<'_, '_>, length: usize, bytes: &[u8]) -> Option<ResponseHead> {
    let status = head.code.unwrap_or(0);
    let fields = Fields::new(bytes, head.headers);
    let content_length = fields.content_length(bytes).ok()?;
    let chunked = fields.has_transfer_encoding(bytes);
    let body = if has_no_body(status) {
        Some(0)
    } else if chunked {
        None
    } else {
        content_length.and_then(length_within_bound)
    };
    let own = |header: &httparse::Header<'_>| OwnedField {
        name: header.name.into(),
        value: header.value.trim_ascii().into(),
    };
    Some(ResponseHead {
        status,
        length,
        body,
        chunked,
        persistence: Persistence::after_message(head.version, &fields, bytes),
        fields: head.headers.iter().map(own).collect(),
    })
}

fn has_no_body(status: u16) -> bool {
    status == NO_CONTENT || status == NOT_MODIFIED || is_informational(status)
}

fn length_within_bound(content_length: u64) -> Option<usize> {
    (content_length <= MAX_BODY_BYTES as u64).then_some(content_length as usize)
}

/// Whether these bytes may be the start of a status line.
fn may_begin_response(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(STATUS_LINE_START.len());
    bytes[..compared] == STATUS_LINE_START[..compared] && bytes.len() <= MAX_HEAD_BYTES
}

/// Returns the status code in a complete status line, or `None` if the line is malformed.
fn parse_status_code(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(STATUS_LINE_START)?;
    let (minor_version, rest) = rest.split_first()?;
    if !minor_version.is_ascii_digit() {
        return None;
    }
    let rest = rest.strip_prefix(b" ")?;
    let (code, rest) = rest.split_at_checked(STATUS_CODE_DIGITS)?;
    let code_ends = matches!(rest.first(), None | Some(b' ' | b'\r'));
    if !code_ends {
        return None;
    }
    parse_decimal(code).map(|code| code as u16)
}

/// Encodes a complete response. With [`Persistence::Close`] it contains `Connection: close`.
pub fn encode_response(
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
    persistence: Persistence,
) -> Vec<u8> {
    let reason = reason_phrase(status);
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if persistence == Persistence::Close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns the reason phrase of a status code. A code that no server of this project sends gets the phrase of
/// 500.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
