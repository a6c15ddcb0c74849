//! Discovery: it serves a watch of the endpoint list without changes and records every status notification.

use linnetcart_http::parse_request;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval of the empty lines that keep a watch alive.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// A status notification that arrived.
#[derive(Clone, Debug)]
pub struct Notification {
    pub id: String,
    pub state: String,
    pub arrived_at: Instant,
}

/// All notifications of a run.
pub type NotificationLog = Arc<Mutex<Vec<Notification>>>;

/// Starts a discovery server on a thread of its own and returns its address.
pub fn start(log: NotificationLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = Arc::clone(&log);
            std::thread::spawn(move || serve(stream, &log));
        }
    });
    address
}

fn serve(mut stream: TcpStream, log: &NotificationLog) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut chunk) {
        received.extend_from_slice(&chunk[..length]);
        while let Ok(Some(request)) = parse_request(&received) {
            if request.method() == b"GET" {
                return watch(stream);
            }
            let body = String::from_utf8_lossy(request.body()).into_owned();
            let request_length = request.length();
            received.drain(..request_length);
            record(&body, log);
            if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
        }
    }
}

fn record(body: &str, log: &NotificationLog) {
    let mut log = log.lock().expect("no test thread panics");
    for line in body.lines() {
        let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
        let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
        log.push(Notification { id: text("id"), state: text("state"), arrived_at: Instant::now() });
    }
}

fn watch(mut stream: TcpStream) {
    let mut alive = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok();
    while alive {
        alive = stream.write_all(b"1\r\n\n\r\n").is_ok();
        std::thread::sleep(WATCH_INTERVAL);
    }
}
