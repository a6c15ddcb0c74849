//! HTTP/1.1 framing for both sides: what a connection's bytes amount to. Free of I/O, and bounded: a head, its
//! fields and a body have a most, and what goes beyond is an error that ends the connection.
//!
//! It is stricter than the standard where leniency hides requests from one reader and not from another: a
//! length is one decimal number given once, and a request with `Transfer-Encoding` is refused unread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::ops::Range;

/// Bytes of a head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why bytes make no request. The connection ends: where the next one would begin is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head cannot be read.
    #[error("the head cannot be read as HTTP/1.1")]
    Unreadable,
    /// The head is too long or has too many fields.
    #[error("a head has at most {MAX_HEAD_BYTES} bytes and {MAX_HEADER_FIELDS} fields")]
    HeadTooLong,
    /// The length is missing a meaning: not one decimal number, or given twice.
    #[error("Content-Length is one decimal number, given once")]
    BadLength,
    /// The body is too long.
    #[error("a body has at most {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// A body in another form than one of known length.
    #[error("send the body with a Content-Length and no Transfer-Encoding")]
    Encoded,
}

impl RequestError {
    /// The status of its answer.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Unreadable | RequestError::BadLength => 400,
            RequestError::HeadTooLong => 431,
            RequestError::BodyTooLong => 413,
            RequestError::Encoded => 411,
        }
    }
}

/// Header fields, by place in the head's bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Fields(Vec<(Range<usize>, Range<usize>)>);

impl Fields {
    fn new(bytes: &[u8], fields: &[httparse::Header<'_>]) -> Fields {
        let place = |part: &[u8]| {
            let start = part.as_ptr() as usize - bytes.as_ptr() as usize;
            start..start + part.len()
        };
        Fields(fields.iter().map(|f| (place(f.name.as_bytes()), place(f.value))).collect())
    }

    fn values<'a>(&'a self, bytes: &'a [u8], name: &'static str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let named = self.0.iter().filter(move |f| bytes[f.0.clone()].eq_ignore_ascii_case(name.as_bytes()));
        named.map(|f| bytes[f.1.clone()].trim_ascii())
    }
}

/// A field that may stand there once stands there more often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the field stands there more than once")]
pub struct DuplicateField;

/// A request whose head and body are there. It refers to the bytes that it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    bytes: &'a [u8],
    method: Range<usize>,
    path: Range<usize>,
    fields: Fields,
    body: Range<usize>,
    /// The client closes after the answer.
    pub last: bool,
}

impl<'a> Request<'a> {
    /// `GET`, `POST`, ...
    pub fn method(&self) -> &'a [u8] {
        &self.bytes[self.method.clone()]
    }

    /// The path, without a query.
    pub fn path(&self) -> &'a [u8] {
        let path = &self.bytes[self.path.clone()];
        path.split(|&b| b == b'?').next().unwrap_or(path)
    }

    /// The body.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[self.body.clone()]
    }

    /// A field that stands there once; `Err` if it stands there more often.
    pub fn field(&self, name: &'static str) -> Result<Option<&[u8]>, DuplicateField> {
        let mut values = self.fields.values(self.bytes, name);
        let first = values.next();
        values.next().map_or(Ok(first), |_| Err(DuplicateField))
    }

    /// Bytes of the whole request.
    pub fn length(&self) -> usize {
        self.body.end
    }
}

/// The request that these bytes begin with; `None` while more is needed.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Request<'_>>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::Unreadable),
    };
    let (Some(method), Some(path)) = (head.method, head.path) else { return Err(RequestError::Unreadable) };
    let place = |part: &str| {
        let start = part.as_ptr() as usize - bytes.as_ptr() as usize;
        start..start + part.len()
    };
    let (method, path, old) = (place(method), place(path), head.version == Some(0));
    let fields = Fields::new(bytes, head.headers);
    if fields.values(bytes, "transfer-encoding").next().is_some() {
        return Err(RequestError::Encoded);
    }
    let body = content_length(&fields, bytes)?.unwrap_or(0);
    if body > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    let body = length..length + body as usize;
    if bytes.len() < body.end {
        return Ok(None);
    }
    let last = old || fields.values(bytes, "connection").any(|v| v.eq_ignore_ascii_case(b"close"));
    Ok(Some(Request { bytes, method, path, fields, body, last }))
}

/// A head with a body that is not there yet: what a bad length would have the reader wait for is refused now.
fn content_length(fields: &Fields, bytes: &[u8]) -> Result<Option<u64>, RequestError> {
    let mut values = fields.values(bytes, "content-length");
    let Some(value) = values.next() else { return Ok(None) };
    match (parse_decimal(value), values.next()) {
        (Some(n), None) => Ok(Some(n)),
        _ => Err(RequestError::BadLength),
    }
}

/// A whole number in decimal digits and nothing else; `None` also where it is beyond 18 digits.
pub fn parse_decimal(value: &[u8]) -> Option<u64> {
    if value.is_empty() || value.len() > 18 || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(value.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))
}

/// What the bytes that answer a call amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedResponse {
    /// More is needed. `ok`: the first line is there and reads 200.
    Incomplete {
        /// The first line is there and reads 200.
        ok: bool,
    },
    /// No answer can come of it. `ok`: the first line is there and reads 200.
    Malformed {
        /// The first line is there and reads 200.
        ok: bool,
    },
    /// A head.
    Head(ResponseHead),
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Bytes up to the end of the head, 1xx answers in front included.
    pub length: usize,
    /// Bytes of its body, where that is known and bounded.
    pub body: Option<usize>,
    /// The body comes in chunks.
    pub chunked: bool,
    /// The other side closes after it.
    pub last: bool,
    fields: Vec<(Vec<u8>, Vec<u8>)>,
}

impl ResponseHead {
    /// The first field of this name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        let mut named = self.fields.iter().filter(|f| f.0.eq_ignore_ascii_case(name.as_bytes()));
        named.next().map(|f| &f.1[..])
    }
}

/// The answer that these bytes begin with; 1xx answers in front are skipped.
pub fn parse_response(bytes: &[u8]) -> ParsedResponse {
    let mut skipped = 0;
    loop {
        let rest = &bytes[skipped..];
        match one_answer(rest) {
            ParsedResponse::Head(head) if (100..200).contains(&head.status) && head.status != 101 => {
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

fn one_answer(bytes: &[u8]) -> ParsedResponse {
    let line = bytes.iter().position(|&b| b == b'\n');
    let ok = line.is_some_and(|end| status_line(&bytes[..end]) == Some(200));
    if line.map_or(!may_begin(bytes), |end| status_line(&bytes[..end]).is_none()) {
        return ParsedResponse::Malformed { ok: false };
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => {
            return ParsedResponse::Incomplete { ok }
        }
        _ => return ParsedResponse::Malformed { ok },
    };
    let status = head.code.unwrap_or(0);
    let old = head.version == Some(0);
    let found = Fields::new(bytes, head.headers);
    let chunked = found.values(bytes, "transfer-encoding").next().is_some();
    let Ok(told) = content_length(&found, bytes) else { return ParsedResponse::Malformed { ok } };
    let none = status == 204 || status == 304 || (100..200).contains(&status);
    let body = match told {
        _ if none => Some(0),
        _ if chunked => None,
        told => told.filter(|&n| n <= MAX_BODY_BYTES as u64).map(|n| n as usize),
    };
    let last = old || found.values(bytes, "connection").any(|v| v.eq_ignore_ascii_case(b"close"));
    let fields = head.headers.iter().map(|h| (h.name.into(), h.value.trim_ascii().into())).collect();
    ParsedResponse::Head(ResponseHead { status, length, body, chunked, last, fields })
}

/// Whether an answer may begin like this.
fn may_begin(bytes: &[u8]) -> bool {
    let start = b"HTTP/1.";
    let n = bytes.len().min(start.len());
    bytes[..n] == start[..n] && bytes.len() <= MAX_HEAD_BYTES
}

/// The status that a first line reads.
fn status_line(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let (minor, rest) = rest.split_first()?;
    let code = rest.strip_prefix(b" ")?;
    let (code, rest) = code.split_at_checked(3)?;
    let ends = rest.is_empty() || rest[0] == b' ' || rest[0] == b'\r';
    (minor.is_ascii_digit() && ends).then(|| parse_decimal(code))?.map(|n| n as u16)
}

/// Takes a body that comes in chunks apart, as its bytes come.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    held: Vec<u8>,
    /// Bytes of the running chunk that are still to come, its line's end included.
    left: Option<usize>,
    over: bool,
}

/// Bytes that are no chunks, or a chunk's line that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body does not come in chunks as it should")]
pub struct InvalidChunk;

impl ChunkedDecoder {
    /// Adds bytes as they came; what they hold of the body goes to `out`. True: the body is over.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<bool, InvalidChunk> {
        self.held.extend_from_slice(bytes);
        let mut at = 0;
        while !self.over {
            match self.left {
                None => {
                    let rest = &self.held[at..];
                    let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                        if rest.len() > 64 {
                            return Err(InvalidChunk);
                        }
                        break;
                    };
                    let line = rest[..end].trim_ascii();
                    at += end + 1;
                    let size = line.split(|&b| b == b';').next().unwrap_or(line).trim_ascii();
                    let size = std::str::from_utf8(size).ok().filter(|s| s.len() <= 8 && !s.starts_with('+'));
                    let size = size.and_then(|s| usize::from_str_radix(s, 16).ok()).ok_or(InvalidChunk)?;
                    self.over = size == 0;
                    self.left = Some(size + 2);
                }
                Some(left) => {
                    let now = left.min(self.held.len() - at);
                    if now == 0 {
                        break;
                    }
                    let body = now.min(left.saturating_sub(2));
                    out.extend_from_slice(&self.held[at..at + body]);
                    at += now;
                    self.left = Some(left - now).filter(|&left| left > 0);
                }
            }
        }
        self.held.drain(..at);
        Ok(self.over)
    }
}

/// An answer's bytes.
pub fn encode_response(status: u16, fields: &[(&str, &str)], body: &[u8], last: bool) -> Vec<u8> {
    let reason = match status {
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
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(if last { "Connection: close\r\n\r\n" } else { "\r\n" });
    [out.as_bytes(), body].concat()
}

#[cfg(test)]
mod tests;
