//! The HTTP/1.1 framing of the control interface. It parses requests from bytes and encodes replies, without
//! I/O.

use linnetcart_http::reason_phrase;
use serde::Serialize;
use serde_json::json;

/// The greatest length of a request's head in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The greatest length of a request's body in bytes. The longest endpoint list fits.
const MAX_BODY_BYTES: usize = 32 << 20;
/// The greatest number of header fields in a request.
const MAX_FIELDS: usize = 64;

/// The response to a client that waits for it before it sends the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET` or `PUT`.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the reply.
    pub connection: ConnectionHeader,
}

/// The next input of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpInput {
    /// More bytes are needed.
    Incomplete,
    /// The client waits for [`CONTINUE`] before it sends the body.
    ExpectsContinue,
    /// A complete request.
    Request(Request),
    /// The bytes are not a valid request. This reply is to be sent and the connection closed.
    Invalid(Reply),
}

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The body in JSON.
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

    /// Encodes the reply with this `Connection` header.
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

/// The `Connection` header of a reply: whether the connection is closed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHeader {
    /// The connection is closed.
    Close,
    /// The connection takes further requests.
    KeepAlive,
}

impl ConnectionHeader {
    fn as_str(self) -> &'static str {
        match self {
            ConnectionHeader::Close => "close",
            ConnectionHeader::KeepAlive => "keep-alive",
        }
    }
}

/// The received bytes of one HTTP connection.
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

    /// Returns the next input. Callers repeat this until it is [`HttpInput::Incomplete`] or
    /// [`HttpInput::Invalid`].
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
            // An idle connection must not retain the capacity of its largest body.
            self.buffer = Vec::new();
        }
        self.continue_sent = false;
        HttpInput::Request(Request {
            method: head.method,
            path: head.path,
            body,
            connection: head.connection,
        })
    }
}

/// The head of a request.
struct Head {
    bytes: usize,
    method: String,
    path: String,
    body_bytes: usize,
    expects_continue: bool,
    connection: ConnectionHeader,
}

/// Parses the head of the request in the buffer. Returns `None` if it is incomplete, and a reply if it is
/// invalid.
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
    let closes =
        lowercase_field(&request, "connection").as_deref() == Some("close") || request.version == Some(0);
    Ok(Some(Head {
        bytes: head_bytes,
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("/").split('?').next().unwrap_or("/").to_owned(),
        body_bytes: body_length(&request)?,
        expects_continue: lowercase_field(&request, "expect").as_deref() == Some("100-continue"),
        connection: if closes { ConnectionHeader::Close } else { ConnectionHeader::KeepAlive },
    }))
}

/// Returns the length of the body in bytes, or a reply if it is invalid or too long.
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

/// Returns the value of a header field, or `None` if the request does not have it.
fn field<'a>(request: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    header.map(|header| header.value)
}

fn lowercase_field(request: &httparse::Request<'_, '_>, name: &str) -> Option<String> {
    field(request, name).map(|value| String::from_utf8_lossy(value).trim().to_ascii_lowercase())
}
