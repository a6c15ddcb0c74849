//! Endpoints that serve, reject or fail calls, leave them unanswered or close the connection, and record
//! every call.

use crate::random::Random;
use linnetcart_http::parse_request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Serve,
    ServeLate,
    Reject,
    RejectWithRetryAfter,
    Fail,
    /// Does not answer, and closes the connection after 4 s.
    Hang,
    /// Closes the connection without an answer.
    Close,
}

impl Behaviour {
    fn draw(random: &mut Random) -> Behaviour {
        match random.below(100) {
            0..=69 => Behaviour::Serve,
            70..=74 => Behaviour::ServeLate,
            75..=82 => Behaviour::Reject,
            83..=85 => Behaviour::RejectWithRetryAfter,
            86..=89 => Behaviour::Fail,
            90..=93 => Behaviour::Hang,
            _ => Behaviour::Close,
        }
    }

    /// Returns whether the message counts as executed: whenever it was not rejected.
    pub fn executes(self) -> bool {
        !matches!(self, Behaviour::Reject | Behaviour::RejectWithRetryAfter)
    }
}

/// A call that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub behaviour: Behaviour,
    pub arrived_at: Instant,
    /// When the endpoint wrote the answer that the message was served, or `None` if it did not.
    pub served_at: Option<Instant>,
}

/// The calls that reached any endpoint of a run, in order of arrival.
pub type CallLog = Arc<Mutex<Vec<Call>>>;

/// Starts the endpoint with this number on a thread of its own and returns its address. `seed` and `number`
/// determine the random behaviours. Each call is appended to `log`.
pub fn start(seed: u64, number: u64, log: CallLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let log = Arc::clone(&log);
            let random = Random::new(seed, 1_000 * (number + 1) + connection as u64);
            std::thread::spawn(move || serve(stream, random, &log));
        }
    });
    address
}

fn serve(mut stream: TcpStream, mut random: Random, log: &CallLog) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut chunk) {
        received.extend_from_slice(&chunk[..length]);
        while let Ok(Some(request)) = parse_request(&received) {
            let id = request.field("x-txn").ok().flatten().unwrap_or_default();
            let id = String::from_utf8_lossy(id).into_owned();
            let request_length = request.length();
            received.drain(..request_length);
            let behaviour = Behaviour::draw(&mut random);
            let call = Call { id, behaviour, arrived_at: Instant::now(), served_at: None };
            let index = {
                let mut log = log.lock().expect("no test thread panics");
                log.push(call);
                log.len() - 1
            };
            if !answer(&mut stream, behaviour, &mut random, index, log) {
                return;
            }
        }
    }
}

/// Answers the call at `index` of `log` according to `behaviour`, and records in the log when the call was
/// served. Returns whether the connection stays open.
fn answer(
    stream: &mut TcpStream,
    behaviour: Behaviour,
    random: &mut Random,
    index: usize,
    log: &CallLog,
) -> bool {
    let text = match behaviour {
        Behaviour::Serve | Behaviour::ServeLate => {
            let delay =
                if behaviour == Behaviour::Serve { random.below(15) } else { random.between(200, 600) };
            std::thread::sleep(Duration::from_millis(delay));
            let mut log = log.lock().expect("no test thread panics");
            let written = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_ok();
            log[index].served_at = written.then(Instant::now);
            return written;
        }
        Behaviour::Hang => {
            std::thread::sleep(Duration::from_secs(4));
            return false;
        }
        Behaviour::Close => return false,
        Behaviour::Reject => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        Behaviour::RejectWithRetryAfter => {
            "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 150\r\nContent-Length: 0\r\n\r\n"
        }
        Behaviour::Fail => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    };
    stream.write_all(text.as_bytes()).is_ok()
}
