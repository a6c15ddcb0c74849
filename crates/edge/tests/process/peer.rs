//! Connections on which every read, write and accept is called by the test, so that the test determines the
//! order of events.

use super::stubs::id_or_body;
use linnetcart_http::{parse_request, parse_response, ParsedResponse, Persistence};
use rustix::event::{poll, PollFd, PollFlags};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a read waits for bytes before the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// How long [`GatedListener::accept`] waits for a connection before the test fails.
const ACCEPT_TIMEOUT_MS: u64 = 30_000;
/// How long [`serve_next_request`] waits for a new connection before it checks the existing ones.
const ACCEPT_WAIT_MS: u64 = 20;
/// Number of checks after which [`serve_next_request`] panics: 1500 * 20 ms = 30 s.
const MAX_CHECKS: usize = 1500;

/// A listener that accepts a connection only when the test calls [`GatedListener::accept`].
pub struct GatedListener {
    listener: TcpListener,
    pub address: SocketAddr,
    /// A connection that fills the backlog of a listener that does not accept.
    filler: Option<TcpStream>,
}

impl GatedListener {
    pub fn new() -> GatedListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        GatedListener { address: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// Creates a listener to which no connection is established before [`GatedListener::open`], because its
    /// backlog is full. The kernel retransmits the SYN of a pending connection after 1, 3 and 7 s.
    pub fn not_accepting() -> GatedListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        GatedListener { filler: Some(TcpStream::connect(address).unwrap()), listener, address }
    }

    /// Empties the backlog, so that pending connections are established at their next SYN.
    pub fn open(&mut self) {
        drop(self.listener.accept().unwrap());
        self.filler = None;
    }

    /// Returns the listener, for a test that accepts connections in a thread of its own.
    pub fn into_listener(self) -> TcpListener {
        self.listener
    }

    /// Returns whether connections are established.
    pub fn is_open(&self) -> bool {
        self.filler.is_none()
    }

    /// Returns whether no connection is waiting to be accepted.
    pub fn is_silent(&self) -> bool {
        self.is_silent_for(0)
    }

    /// Waits this long for a connection. Returns whether none has arrived.
    pub fn is_silent_for(&self, milliseconds: u64) -> bool {
        let mut fds = [PollFd::new(&self.listener, PollFlags::IN)];
        let span = rustix::time::Timespec::try_from(Duration::from_millis(milliseconds)).unwrap();
        poll(&mut fds, Some(&span)).unwrap() == 0
    }

    /// Accepts the next connection. Panics if there is none within 30 s.
    pub fn accept(&self) -> Peer {
        assert!(!self.is_silent_for(ACCEPT_TIMEOUT_MS), "no connection within 30 s");
        Peer::new(self.listener.accept().unwrap().0)
    }
}

/// A response of the courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Whether the connection stays open after the response.
    pub persistence: Persistence,
}

/// The test's end of a connection.
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

    /// Like [`Peer::send`], but does nothing if the other side has closed the connection.
    pub fn send_if_open(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    /// Reads the next bytes. Returns `false` if the other side has closed the connection.
    fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let length = self.stream.read(&mut chunk).expect("no byte within 30 s");
        self.received.extend_from_slice(&chunk[..length]);
        length > 0
    }

    /// Reads the next request. Returns its message id or, if it has none, its body.
    pub fn read_request(&mut self) -> String {
        assert!(self.wait_for_request(), "the connection was closed before a complete request");
        let request = parse_request(&self.received).unwrap().unwrap();
        let id_or_body = id_or_body(&request);
        let length = request.length();
        self.received.drain(..length);
        id_or_body
    }

    /// Reads the next request. Returns the time remaining that it states, in milliseconds.
    pub fn read_remaining_ms(&mut self) -> u64 {
        assert!(self.wait_for_request(), "the connection was closed before a complete request");
        let request = parse_request(&self.received).unwrap().unwrap();
        let value = request.field("x-remaining-ms").unwrap().unwrap();
        let milliseconds = linnetcart_http::parse_decimal(value).unwrap();
        let length = request.length();
        self.received.drain(..length);
        milliseconds
    }

    /// Reads the next response.
    pub fn read_response(&mut self) -> Response {
        loop {
            if let ParsedResponse::Head(head) = parse_response(&self.received) {
                self.received.drain(..head.length + head.body.unwrap_or(0));
                return Response { status: head.status, persistence: head.persistence };
            }
            assert!(self.read_more(), "the connection was closed before a complete response");
        }
    }

    /// Returns whether no bytes have arrived, even if the connection has been closed.
    pub fn is_silent(&mut self) -> bool {
        self.received.is_empty() && !matches!(self.peek(), Ok(1..))
    }

    /// Returns whether bytes or the close of the connection have arrived.
    pub fn has_input(&self) -> bool {
        self.peek().is_ok()
    }

    /// Returns whether the other side has closed or reset the connection and nothing is left to read.
    pub fn has_ended(&self) -> bool {
        match self.peek() {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    fn peek(&self) -> std::io::Result<usize> {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked
    }

    /// Waits for the next byte, without reading it. Returns `false` if the other side closes the connection instead.
    pub fn wait_for_input(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(1..))
    }

    /// Waits for a complete request. Returns `false` if the connection is closed before that.
    pub fn wait_for_request(&mut self) -> bool {
        while parse_request(&self.received).unwrap().is_none() {
            if !self.read_more() {
                return false;
            }
        }
        true
    }

    /// Reads until the other side closes the connection.
    pub fn read_to_end(&mut self) {
        while self.read_more() {}
    }

    /// Waits for the next byte. Returns whether the other side closes or resets the connection instead.
    pub fn closes_without_data(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }

    /// Closes the sending direction; responses can still be read.
    pub fn half_close(&mut self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// A request that was served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedRequest {
    /// The index of the connection that carried the request, in the `peers` of [`serve_next_request`].
    pub connection: usize,
    /// The message id of the request or, if it has none, its body.
    pub id: String,
}

/// Sends `response` to the next request on any connection in `peers` or on a new one, which is added to
/// `peers`.
pub fn serve_next_request(gate: &GatedListener, peers: &mut Vec<Peer>, response: &str) -> ServedRequest {
    for _ in 0..MAX_CHECKS {
        if !gate.is_silent_for(ACCEPT_WAIT_MS) {
            peers.push(gate.accept());
        }
        let requesting = peers.iter_mut().position(|peer| peer.has_input() && peer.wait_for_request());
        if let Some(connection) = requesting {
            let id = peers[connection].read_request();
            peers[connection].send(response);
            return ServedRequest { connection, id };
        }
    }
    panic!("no request within 30 s");
}
