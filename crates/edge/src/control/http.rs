//! HTTP/1.1 framing of the control interface: parses requests from received bytes and encodes replies,
//! without I/O.

use linnetcart_http::reason_phrase;
use serde::Serialize;
use serde_json::json;

/// Maximum length of a request's head in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of a request's body in bytes. The largest endpoint list fits.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Maximum number of header fields in a request.
const MAX_FIELDS: usize = 64;

/// The interim response to a client that sent `Expect: 100-continue` and waits before it sends the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, such as `GET` or `PUT`.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the reply, as the client requested.
    pub connection: ConnectionHeader,
}

/// What the received bytes of a connection amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpInput {
    /// More bytes are needed.
    Incomplete,
    /// The client waits for [`CONTINUE`] before it sends the body. Reported once per request.
    ExpectsContinue,
    /// A complete request.
    Request(Request),
    /// The bytes are not a valid request. The caller sends this reply and closes the connection.
    Invalid(Reply),
}

/// A reply with a JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body, in JSON.
    pub body: String,
}

impl Reply {
    /// Creates a reply whose body is this value in JSON.
    pub(super) fn json(status: u16, body: impl Serialize) -> Reply {
        let json = serde_json::to_string_pretty(&body);
        let body = json.unwrap_or_else(|error| format!("{{\"error\": \"{error}\"}}"));
        Reply { status, body: body + "\n" }
    }

    /// Creates a reply that rejects a request: `field` names the header, document field or other part of the
    /// request that is at fault, and `reason` says why.
    pub(super) fn error(status: u16, field: &str, reason: impl Into<String>) -> Reply {
        Reply::json(status, json!({"error": {"field": field, "reason": reason.into()}}))
    }

    /// Encodes the head and the body, with this `Connection` header.
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

/// The `Connection` header of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHeader {
    /// The connection is closed after the reply.
    Close,
    /// The connection stays open for further requests.
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

/// The receive buffer of one HTTP connection.
#[derive(Debug, Default)]
pub struct HttpConnection {
    buffer: Vec<u8>,
    /// Whether [`HttpInput::ExpectsContinue`] was reported for the request in the buffer.
    continue_reported: bool,
}

impl HttpConnection {
    /// Adds received bytes to the receive buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next input. Callers repeat this until it is [`HttpInput::Incomplete`] or
    /// [`HttpInput::Invalid`].
    pub fn next_input(&mut self) -> HttpInput {
        let head = match parse_head(&self.buffer) {
            Ok(Some(head)) => head,
            Ok(None) => return HttpInput::Incomplete,
            Err(reply) => return HttpInput::Invalid(reply),
        };
        let request_bytes = head.bytes + head.body_bytes;
        if self.buffer.len() < request_bytes {
            if head.expects_continue && !self.continue_reported {
                self.continue_reported = true;
                return HttpInput::ExpectsContinue;
            }
            return HttpInput::Incomplete;
        }
        let body = self.buffer[head.bytes..request_bytes].to_vec();
        self.buffer.drain(..request_bytes);
        if self.buffer.is_empty() {
            // Frees the buffer, so that an idle connection does not retain the capacity of its largest body.
            self.buffer = Vec::new();
        }
        self.continue_reported = false;
        HttpInput::Request(Request {
            method: head.method,
            path: head.path,
            body,
            connection: head.connection,
        })
    }
}

/// The head of a request: its request line and header fields.
struct Head {
    /// Length of the head itself, in bytes.
    bytes: usize,
    method: String,
    path: String,
    body_bytes: usize,
    /// Whether the client waits for [`CONTINUE`].
    expects_continue: bool,
    connection: ConnectionHeader,
}

/// Parses the head of the request at the start of the buffer. Returns `None` if it is incomplete, and the
/// error reply if it is invalid.
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

/// Returns the length of the body in bytes; 0 without a `Content-Length`. Returns the error reply if the
/// header is invalid or the body too long.
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

/// Returns the value of the first header field of this name, ignoring case, or `None` if there is none.
fn field<'a>(request: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
    header.map(|header| header.value)
}

/// Returns the value of a header field, trimmed and in lower case, or `None` if there is no such field.
fn lowercase_field(request: &httparse::Request<'_, '_>, name: &str) -> Option<String> {
    field(request, name).map(|value| String::from_utf8_lossy(value).trim().to_ascii_lowercase())
}
