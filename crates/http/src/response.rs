//! Responses: heads as the calling side reads them, and whole responses as the called side writes them.

use crate::fields::Fields;
use crate::{parse_decimal, Persistence, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};

/// What every status line of HTTP/1.0 and HTTP/1.1 begins with.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
const STATUS_CODE_DIGITS: usize = 3;
const OK: u16 = 200;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// What the bytes of a response amount to so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedResponse {
    /// More bytes are needed.
    Incomplete {
        /// The status line is complete and reads 200.
        ok: bool,
    },
    /// No response can come of these bytes.
    Malformed {
        /// The status line is complete and reads 200.
        ok: bool,
    },
    /// The head is complete.
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
    /// Bytes up to the end of the head, with interim (1xx) responses in front of it.
    pub length: usize,
    /// Bytes of the body, where that is known and within the bound.
    pub body: Option<usize>,
    /// The body comes in chunks.
    pub chunked: bool,
    /// Whether the other side keeps the connection after the body.
    pub persistence: Persistence,
    fields: Vec<OwnedField>,
}

impl ResponseHead {
    /// The value of the first field of this name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        let has_name = |field: &&OwnedField| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().find(has_name).map(|field| &field.value[..])
    }

    /// A response with another one to follow; the final response of an upgrade is none.
    fn is_interim(&self) -> bool {
        is_informational(self.status) && self.status != SWITCHING_PROTOCOLS
    }
}

fn is_informational(status: u16) -> bool {
    (100..200).contains(&status)
}

/// The response that these bytes begin with; interim (1xx) responses in front are skipped.
pub fn parse_response(bytes: &[u8]) -> ParsedResponse {
    let mut skipped = 0;
    loop {
        match parse_one_response(&bytes[skipped..]) {
            ParsedResponse::Head(head) if head.is_interim() => {
                skipped += head.length;
                if skipped > MAX_HEAD_BYTES {
                    return ParsedResponse::Malformed { ok: false };
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

/// The response that these bytes begin with, interim or not.
fn parse_one_response(bytes: &[u8]) -> ParsedResponse {
    let Some(ok) = check_status_line(bytes) else { return ParsedResponse::Malformed { ok: false } };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
            read_head(&head, length, bytes).map_or(ParsedResponse::Malformed { ok }, ParsedResponse::Head)
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => ParsedResponse::Incomplete { ok },
        Ok(_) | Err(_) => ParsedResponse::Malformed { ok },
    }
}

/// Whether the status line is complete and reads 200; `None` if no response begins like this.
fn check_status_line(bytes: &[u8]) -> Option<bool> {
    match bytes.iter().position(|&byte| byte == b'\n') {
        Some(end) => parse_status_line(&bytes[..end]).map(|status| status == OK),
        None => may_begin_response(bytes).then_some(false),
    }
}

/// The head with what follows from it; `None` if its length is no length.
fn read_head(head: &httparse::Response<'_, '_>, length: usize, bytes: &[u8]) -> Option<ResponseHead> {
    let status = head.code.unwrap_or(0);
    let fields = Fields::new(bytes, head.headers);
    let content_length = fields.content_length(bytes).ok()?;
    let chunked = fields.has_transfer_encoding(bytes);
    let is_http_1_0 = head.version == Some(0);
    let own = |header: &httparse::Header<'_>| OwnedField {
        name: header.name.into(),
        value: header.value.trim_ascii().into(),
    };
    Some(ResponseHead {
        status,
        length,
        body: body_length(status, chunked, content_length),
        chunked,
        persistence: Persistence::after(is_http_1_0, fields.has_connection_close(bytes)),
        fields: head.headers.iter().map(own).collect(),
    })
}

fn body_length(status: u16, chunked: bool, content_length: Option<u64>) -> Option<usize> {
    let has_no_body = status == NO_CONTENT || status == NOT_MODIFIED || is_informational(status);
    if has_no_body {
        return Some(0);
    }
    if chunked {
        return None;
    }
    let length = content_length?;
    (length <= MAX_BODY_BYTES as u64).then_some(length as usize)
}

/// Whether a status line may begin like this.
fn may_begin_response(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(STATUS_LINE_START.len());
    bytes[..compared] == STATUS_LINE_START[..compared] && bytes.len() <= MAX_HEAD_BYTES
}

/// The status code of a status line.
fn parse_status_line(line: &[u8]) -> Option<u16> {
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

/// The bytes of a whole response, which says so where its connection is closed after it.
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

fn reason_phrase(status: u16) -> &'static str {
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
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
