//! Stub servers for discovery and endpoints that respond on their own and record the requests.

use linnetcart_http::{parse_request, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// The response of an endpoint that serves a message.
pub const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Requests in the order of their arrival, each by its message id or, without one, its body. It stays locked
/// until the response is written: once a test finds a request in it, the response has been sent.
type RequestLog = Arc<Mutex<Vec<String>>>;

/// Returns the response to a request with this id or body (`watch` for a GET), or `None` for no response.
type Reply = fn(&str) -> Option<&'static [u8]>;

/// A running stub server and the requests that it has received.
pub struct Stub {
    pub address: SocketAddr,
    log: RequestLog,
}

impl Stub {
    /// Returns the requests so far, in the order of their arrival: each by its message id or, without one,
    /// its body.
    pub fn requests(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Returns how many requests contain this text in their message id or, without one, their body.
    pub fn count_matching(&self, text: &str) -> usize {
        self.requests().iter().filter(|request| request.contains(text)).count()
    }
}

/// Returns what the log keeps of a request.
type Describe = fn(&Request<'_>) -> String;

/// Starts a stub server that responds to each request with `reply`.
fn serve(reply: Reply) -> Stub {
    serve_described(id_or_body, reply)
}

/// Like [`serve`], and the log keeps of each request what `describe` returns.
fn serve_described(describe: Describe, reply: Reply) -> Stub {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let shared = Arc::clone(&log);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = Arc::clone(&shared);
            std::thread::spawn(move || serve_connection(stream, describe, reply, &log));
        }
    });
    Stub { address, log }
}

fn serve_connection(mut stream: TcpStream, describe: Describe, reply: Reply, log: &RequestLog) {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut chunk) {
        received.extend_from_slice(&chunk[..length]);
        while let Ok(Some(request)) = parse_request(&received) {
            let id_or_body = id_or_body(&request);
            let description = describe(&request);
            let is_watch = request.method() == b"GET";
            let request_length = request.length();
            let answer = reply(if is_watch { "watch" } else { &id_or_body });
            received.drain(..request_length);
            let mut log = log.lock().unwrap();
            if !is_watch {
                log.push(description);
            }
            if stream.write_all(answer.unwrap_or(b"")).is_err() {
                return;
            }
        }
    }
}

/// Returns a request's message id or, if it has none, its body.
pub fn id_or_body(request: &Request<'_>) -> String {
    let bytes = request.field("x-txn").unwrap().unwrap_or(request.body());
    String::from_utf8_lossy(bytes).into_owned()
}

/// Starts a discovery stub. It responds to the watch of the endpoint list with an empty line, which changes
/// nothing, and acknowledges every status notification.
pub fn discovery_stub() -> Stub {
    serve(|id_or_body| match id_or_body {
        "watch" => Some(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"),
        _ => Some(b"HTTP/1.1 204 No Content\r\n\r\n"),
    })
}

/// Starts an endpoint stub. It serves every message, except that a message whose id begins with `slow` gets
/// no response.
pub fn endpoint_stub() -> Stub {
    serve(|id| (!id.starts_with("slow")).then_some(SERVED.as_bytes()))
}

/// Like [`endpoint_stub`], and its log keeps the id, the idempotency key and the body of each message, with a space
/// between them.
pub fn content_endpoint_stub() -> Stub {
    serve_described(id_key_and_body, |id| (!id.starts_with("slow")).then_some(SERVED.as_bytes()))
}

fn id_key_and_body(request: &Request<'_>) -> String {
    let key = request.field("idempotency-key").unwrap().unwrap_or(b"-");
    let [key, body] = [key, request.body()].map(String::from_utf8_lossy);
    format!("{} {key} {body}", id_or_body(request))
}

/// Starts an endpoint stub that answers nothing.
pub fn silent_endpoint() -> Stub {
    serve(|_| None)
}

/// Length of the pieces of a response that never ends.
static ENDLESS_PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];
/// Number of pieces after which the stub stops.
const ENDLESS_PIECES: usize = 500;

/// Starts an endpoint stub whose responses never end: the body of an error, interim responses, or a head.
pub fn endless_endpoint() -> Stub {
    let starts: [&[u8]; 3] = [
        b"HTTP/1.1 500 Error\r\nContent-Length: 99000000\r\n\r\n",
        b"HTTP/1.1 500 Error\r\n\r\n",
        b"HTTP/1.1 500 Error\r\nX-Long: ",
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let log = RequestLog::default();
    let shared = Arc::clone(&log);
    std::thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            let log = Arc::clone(&shared);
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                log.lock().unwrap().push(format!("call {number}"));
                let _ = stream.write_all(starts[number % starts.len()]);
                for _ in 0..ENDLESS_PIECES {
                    let piece: &[u8] = if number % 4 == 3 { INTERIM } else { &ENDLESS_PIECE };
                    if stream.write_all(piece).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Stub { address, log }
}

/// An interim response.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
