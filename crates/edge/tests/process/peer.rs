//! Connections that do nothing but what the test has them do, so that the order of events is the test's.

use super::stubs::subject_of;
use linnetcart_http::{parse_request, parse_response, ParsedResponse, Persistence};
use rustix::event::{poll, PollFd, PollFlags};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A test that waits for longer has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A listener that accepts a connection when the test says so.
pub struct GatedListener {
    listener: TcpListener,
    pub address: SocketAddr,
    /// Fills the backlog of one that does not accept.
    filler: Option<TcpStream>,
}

impl GatedListener {
    pub fn new() -> GatedListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        GatedListener { address: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// Connections to it are not made before [`GatedListener::open`]; the system tries again for them after
    /// 1, 3 and 7 s.
    pub fn not_accepting() -> GatedListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        GatedListener { filler: Some(TcpStream::connect(address).unwrap()), listener, address }
    }

    pub fn open(&mut self) {
        drop(self.listener.accept().unwrap());
        self.filler = None;
    }

    /// Whether nobody waits to be accepted.
    pub fn is_silent(&self) -> bool {
        self.is_silent_for(0)
    }

    /// The same, and for so many milliseconds somebody may come.
    pub fn is_silent_for(&self, milliseconds: u64) -> bool {
        let mut fds = [PollFd::new(&self.listener, PollFlags::IN)];
        let span = rustix::time::Timespec { tv_sec: 0, tv_nsec: milliseconds as i64 * 1_000_000 };
        poll(&mut fds, Some(&span)).unwrap() == 0
    }

    pub fn accept(&self) -> Peer {
        Peer::new(self.listener.accept().unwrap().0)
    }
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    KeptAlive,
    Closed,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// 0 if the connection ended without one.
    pub status: u16,
    pub then: AfterAnswer,
}

/// A connection in the test's hand.
pub struct Peer {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Peer {
    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer { stream, received: vec![] }
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }

    /// Reads what comes next. False: the other side ended the connection.
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let length = self.stream.read(&mut chunk).expect("half a minute, and no byte");
        self.received.extend_from_slice(&chunk[..length]);
        length > 0
    }

    /// The next request: its message id or, without one, its body.
    pub fn read_request(&mut self) -> String {
        assert!(self.has_request(), "it ended in place of a request");
        let request = parse_request(&self.received).unwrap().unwrap();
        let subject = subject_of(&request);
        let length = request.length();
        self.received.drain(..length);
        subject
    }

    /// The next answer.
    pub fn read_answer(&mut self) -> Answer {
        loop {
            if let ParsedResponse::Head(head) = parse_response(&self.received) {
                self.received.drain(..head.length + head.body.unwrap_or(0));
                let then = if head.persistence == Persistence::Close {
                    AfterAnswer::Closed
                } else {
                    AfterAnswer::KeptAlive
                };
                return Answer { status: head.status, then };
            }
            if !self.read_more() {
                return Answer { status: 0, then: AfterAnswer::Closed };
            }
        }
    }

    /// Whether nothing has come on it; its end is nothing.
    pub fn is_silent(&mut self) -> bool {
        self.received.is_empty() && !matches!(self.peek(), Ok(1..))
    }

    /// Whether bytes or the end have come.
    pub fn has_input(&self) -> bool {
        self.peek().is_ok()
    }

    fn peek(&self) -> std::io::Result<usize> {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked
    }

    /// Whether a request is there or comes before the end.
    pub fn has_request(&mut self) -> bool {
        while parse_request(&self.received).unwrap().is_none() {
            if !self.read_more() {
                return false;
            }
        }
        true
    }

    /// Reads until the other side ends it.
    pub fn read_to_end(&mut self) {
        while self.read_more() {}
    }

    pub fn half_close(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}
