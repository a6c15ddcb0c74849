//! Many clients at once, and usual clients beside them.

use crate::courier::submission;
use linnetcart_http::{parse_response, ParsedResponse, Persistence};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for an answer: longer than any timeout of the courier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of usual clients.
const USUAL_CLIENTS: usize = 5;
/// Pause between two requests of a usual client.
const USUAL_PAUSE: Duration = Duration::from_millis(50);

/// Clients that connect, send a part of a request and read their answer later.
pub struct Crowd {
    courier: SocketAddr,
    clients: Vec<CrowdClient>,
}

/// What the clients of a crowd were answered.
pub struct CrowdAnswers {
    pub statuses: Vec<u16>,
    /// Number of clients whose bytes the system took and whose connection ended without an answer.
    pub unanswered: usize,
}

struct CrowdClient {
    stream: TcpStream,
    /// Whether the courier can have read anything of it: its bytes were taken by the system.
    has_sent: bool,
}

impl Crowd {
    pub fn new(courier: SocketAddr) -> Crowd {
        Crowd { courier, clients: vec![] }
    }

    /// Connects another client, which sends these bytes. They are dropped if the courier closes the connection.
    pub fn send_part(&mut self, bytes: &str) {
        let mut stream = TcpStream::connect(self.courier).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let has_sent = stream.write_all(bytes.as_bytes()).is_ok();
        self.clients.push(CrowdClient { stream, has_sent });
    }

    /// Sends further bytes of a client's request, unless its connection is closed.
    pub fn continue_part(&mut self, client: usize, bytes: &str) {
        let _ = self.clients[client].stream.write_all(bytes.as_bytes());
    }

    /// Connects another client, which sends copies of a request until `length` bytes are sent or the courier takes no
    /// more for half a second, and reads nothing.
    pub fn flood(&mut self, request: &str, length: usize) {
        let mut stream = TcpStream::connect(self.courier).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        for _ in 0..length / request.len() {
            if stream.write_all(request.as_bytes()).is_err() {
                break;
            }
        }
        self.clients.push(CrowdClient { stream, has_sent: true });
    }

    /// Reads the answers of all clients, each of which has to be one of `allowed`.
    pub fn check_answers(&mut self, allowed: &[u16]) -> CrowdAnswers {
        let mut statuses = Vec::new();
        let mut unanswered = 0;
        for client in &mut self.clients {
            match read_answer(&mut client.stream) {
                Ok(answer) => {
                    assert!(allowed.contains(&answer.status), "status {}", answer.status);
                    statuses.push(answer.status);
                }
                Err(error) => {
                    assert_ne!(error, ReadError::TimedOut);
                    unanswered += usize::from(client.has_sent);
                }
            }
        }
        println!("answered: {}, closed after their bytes were sent: {unanswered}", statuses.len());
        CrowdAnswers { statuses, unanswered }
    }
}

struct Answer {
    status: u16,
    persistence: Persistence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadError {
    Closed,
    TimedOut,
}

fn read_answer(stream: &mut TcpStream) -> Result<Answer, ReadError> {
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        if let ParsedResponse::Head(head) = parse_response(&received) {
            return Ok(Answer { status: head.status, persistence: head.persistence });
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ReadError::Closed),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(ReadError::TimedOut);
            }
            Err(_) => return Err(ReadError::Closed),
        }
    }
}

/// What happened to the requests of usual clients.
#[derive(Debug, Default)]
pub struct UsualReport {
    answered: usize,
    /// Requests that met a closed connection, which was not new, and were sent again on another.
    met_close: usize,
    /// Requests that had no answer on a new connection either.
    lost: usize,
    longest_wait: Duration,
}

impl UsualReport {
    /// Checks that no request was lost, and that less than 2 % met a closed connection.
    pub fn check(&self) {
        println!("usual clients: {self:?}");
        assert!(self.answered > 0, "{self:?}");
        assert_eq!(self.lost, 0, "{self:?}");
        assert!(self.met_close * 50 < self.answered, "{self:?}");
    }
}

/// A few clients, each of which keeps its connection and submits small messages one after another.
pub struct UsualClients {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<UsualReport>>,
}

impl UsualClients {
    /// Starts the clients and waits until each has its connection.
    pub fn start(courier: SocketAddr, prefix: &'static str) -> UsualClients {
        let stop = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for number in 0..USUAL_CLIENTS {
            let stream = TcpStream::connect(courier).unwrap();
            let stop = Arc::clone(&stop);
            clients.push(std::thread::spawn(move || {
                submit_until(&stop, courier, stream, &format!("{prefix}-{number}"))
            }));
        }
        std::thread::sleep(3 * USUAL_PAUSE);
        UsualClients { stop, clients }
    }

    /// Stops the clients and returns the sum of their reports.
    pub fn finish(self) -> UsualReport {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = UsualReport::default();
        for client in self.clients {
            let report = client.join().unwrap();
            sum.answered += report.answered;
            sum.met_close += report.met_close;
            sum.lost += report.lost;
            sum.longest_wait = sum.longest_wait.max(report.longest_wait);
        }
        sum
    }
}

fn submit_until(stop: &AtomicBool, courier: SocketAddr, mut stream: TcpStream, prefix: &str) -> UsualReport {
    let mut report = UsualReport::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(USUAL_PAUSE);
        number += 1;
        let request = submission("order", &format!("{prefix}-{number}."), "");
        let sent_at = Instant::now();
        let mut answer = submit(&mut stream, &request);
        if answer.is_err() {
            report.met_close += 1;
            stream = TcpStream::connect(courier).unwrap();
            answer = submit(&mut stream, &request);
        }
        report.longest_wait = report.longest_wait.max(sent_at.elapsed());
        match answer {
            Ok(answer) => {
                report.answered += 1;
                if answer.persistence == Persistence::Close {
                    stream = TcpStream::connect(courier).unwrap();
                }
            }
            Err(_) => report.lost += 1,
        }
    }
    report
}

fn submit(stream: &mut TcpStream, request: &str) -> Result<Answer, ReadError> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).map_err(|_| ReadError::Closed)?;
    read_answer(stream)
}
