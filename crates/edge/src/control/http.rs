//! The HTTP/1.1 framing of the control interface: bytes to requests, replies to bytes. Free of I/O.

use serde::Serialize;
use serde_json::json;

/// Bytes of a request's head.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes of a request's body: an endpoint list with the most entries fits.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Header fields of a request.
const MAX_FIELDS: usize = 64;

/// What a client that expects it is sent before its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET`, `PUT`, ...
    pub method: String,
    /// Its path, without a query.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection closes after the reply.
    pub last: bool,
}

/// What the bytes of a connection amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpInput {
    /// More bytes are needed.
    Incomplete,
    /// The client waits for [`CONTINUE`] before it sends the body.
    ExpectsContinue,
    /// A request.
    Request(Request),
    /// The bytes make no request: send this reply and close.
    Invalid(Reply),
}

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body, JSON.
    pub body: String,
}

impl Reply {
    pub(super) fn json(status: u16, body: impl Serialize) -> Reply {
        let json = serde_json::to_string_pretty(&body);
        let body = json.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}"));
        Reply { status, body: body + "\n" }
    }

    pub(super) fn error(status: u16, field: &str, reason: impl Into<String>) -> Reply {
        Reply::json(status, json!({"error": {"field": field, "reason": reason.into()}}))
    }

    /// As bytes; `connection` says what becomes of the connection.
    pub fn encode(&self, connection: ConnectionHeader) -> Vec<u8> {
        let status = self.status;
        let reason = reason_phrase(status);
        let length = self.body.len();
        let connection = connection.as_str();
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: {connection}\r\n\r\n"
        );
        (head + &self.body).into_bytes()
    }
}

/// What becomes of the connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHeader {
    /// It is closed.
    Close,
    /// It takes further requests.
    KeepAlive,
}

impl ConnectionHeader {
    /// What the reply to this request says.
    pub fn for_request(request: &Request) -> Self {
        if request.last {
            ConnectionHeader::Close
        } else {
            ConnectionHeader::KeepAlive
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            ConnectionHeader::Close => "close",
            ConnectionHeader::KeepAlive => "keep-alive",
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        _ => "Internal Server Error",
    }
}

/// The bytes of one HTTP connection.
#[derive(Debug, Default)]
pub struct HttpConnection {
    buffer: Vec<u8>,
    continue_sent: bool,
}

impl HttpConnection {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// What is there now. To be called until it is [`HttpInput::Incomplete`] or [`HttpInput::Invalid`].
    pub fn next_input(&mut self) -> HttpInput {
        let head = match parse_head(&self.buffer) {
            Ok(Some(head)) => head,
            Ok(None) => return HttpInput::Incomplete,
            Err(reply) => return HttpInput::Invalid(reply),
        };
        let request_bytes = head.bytes + head.body_bytes;
        if self.buffer.len() < request_bytes {
            if head.expects_continue && !self.continue_sent {
                self.continue_sent = true;
                return HttpInput::ExpectsContinue;
            }
            return HttpInput::Incomplete;
        }
        let body = self.buffer[head.bytes..request_bytes].to_vec();
        self.buffer.drain(..request_bytes);
        if self.buffer.is_empty() {
            // Do not keep the largest body's capacity for an idle connection.
            self.buffer = Vec::new();
        }
        self.continue_sent = false;
        HttpInput::Request(Request { method: head.method, path: head.path, body, last: head.closes })
    }
}

/// The head of a request.
struct Head {
    bytes: usize,
    method: String,
    path: String,
    body_bytes: usize,
    expects_continue: bool,
    closes: bool,
}

/// The head of the request in the buffer, if it is complete; a reply if there can be none.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, Reply> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let head_bytes = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            let reason = format!("at most {MAX_HEAD_BYTES} bytes and {MAX_FIELDS} fields are read");
            return Err(Reply::error(431, "head", reason));
        }
        Err(error) => return Err(Reply::error(400, "head", error.to_string())),
    };
    if field(&request, "transfer-encoding").is_some() {
        return Err(Reply::error(411, "transfer-encoding", "send the body with a Content-Length"));
    }
    Ok(Some(Head {
        bytes: head_bytes,
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("/").split('?').next().unwrap_or("/").to_owned(),
        body_bytes: body_length(&request)?,
        expects_continue: lowercase_field(&request, "expect").as_deref() == Some("100-continue"),
        closes: lowercase_field(&request, "connection").as_deref() == Some("close")
            || request.version == Some(0),
    }))
}

fn body_length(request: &httparse::Request<'_, '_>) -> Result<usize, Reply> {
    let Some(text) = lowercase_field(request, "content-length") else { return Ok(0) };
    match text.parse::<usize>() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(length),
        Ok(length) => {
            let reason = format!("{length}; at most {MAX_BODY_BYTES} bytes are read");
            Err(Reply::error(413, "content-length", reason))
        }
        Err(_) => Err(Reply::error(400, "content-length", "a whole number is expected")),
    }
}

fn field<'a>(request: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    header.map(|header| header.value)
}

fn lowercase_field(request: &httparse::Request<'_, '_>, name: &str) -> Option<String> {
    field(request, name).map(|value| String::from_utf8_lossy(value).trim().to_ascii_lowercase())
}
