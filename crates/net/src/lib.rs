//! Many non-blocking TCP connections on one calloop loop.
//!
//! Shared by the edge's shell and by the tools that stand in for its clients and destinations. It moves bytes
//! and tells of endings; what they mean is decided elsewhere. Readiness is edge-triggered: whatever is not
//! read or written in one [`Net::poll`] is remembered and gone on with in the next, so that no connection can
//! keep the loop from the others.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bytes::{Buf, Bytes, BytesMut};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A listener or connection; never used twice.
pub type Token = u64;

/// Bytes read at once.
const CHUNK: usize = 64 * 1024;
/// Reads from one connection in one poll; the rest waits for the next.
const READS: usize = 4;
/// Connections accepted from one listener in one poll.
const ACCEPTS: usize = 256;
/// Datagrams received in one poll; the rest waits for the next, or is dropped by the system.
const DATAGRAMS: usize = 64;
/// How long a listener rests when the process is out of file descriptors.
const OUT_OF_FILES: Duration = Duration::from_millis(100);
/// How long a connection that is being finished may take to send what is left.
const FINISH: Duration = Duration::from_secs(5);

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Someone connected.
    Accepted {
        /// To this listener.
        listener: Token,
        /// The new connection.
        token: Token,
        /// From here.
        peer: SocketAddr,
    },
    /// A connection that was asked for is there.
    Connected(Token),
    /// It could not be made.
    ConnectFailed(Token),
    /// Bytes came.
    Data(Token, Bytes),
    /// The other side sends no more; it may still read.
    HalfClosed(Token),
    /// The connection is gone. `written`: bytes that the system took from us.
    Closed {
        /// The connection.
        token: Token,
        /// Bytes handed to the system since it was made.
        written: u64,
    },
    /// A datagram came.
    Datagram(Token, Bytes),
    /// A signal came.
    Signal(i32),
}

/// A port that nobody else is given as long as this is there. Connections to it are refused until
/// [`Net::listen`] is called with its address, and again after [`Net::unlisten`].
#[derive(Debug)]
pub struct Reserved {
    _socket: Socket,
    addr: SocketAddr,
}

impl Reserved {
    /// Reserves a port of this address.
    pub fn new(ip: IpAddr) -> io::Result<Reserved> {
        let any = SocketAddr::new(ip, 0);
        let socket = Socket::new(Domain::for_address(any), Type::STREAM, Some(Protocol::TCP))?;
        socket.bind(&any.into())?;
        // Only from now on may another socket of ours use it beside this one.
        socket.set_reuse_address(true)?;
        let addr = socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        Ok(Reserved { _socket: socket, addr })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

struct Conn {
    stream: Rc<TcpStream>,
    registration: RegistrationToken,
    connecting: bool,
    paused: bool,
    readable: bool,
    read_ended: bool,
    out: BytesMut,
    written: u64,
    finish: Option<Instant>,
}

struct Listener {
    socket: Rc<TcpListener>,
    registration: RegistrationToken,
}

#[derive(Clone, Copy)]
struct Ready {
    token: Token,
    read: bool,
    write: bool,
}

#[derive(Default)]
struct Woken {
    ready: Vec<Ready>,
    signals: Vec<i32>,
}

/// The connections and the loop that they are on.
pub struct Net {
    events: EventLoop<'static, Woken>,
    handle: LoopHandle<'static, Woken>,
    woken: Woken,
    next: Token,
    conns: BTreeMap<Token, Conn>,
    listeners: BTreeMap<Token, Listener>,
    datagrams: BTreeMap<Token, (Rc<UdpSocket>, RegistrationToken)>,
    /// Connections to read on, listeners to accept on, whatever the system says.
    again: BTreeSet<Token>,
    /// Connections with bytes to write.
    dirty: BTreeSet<Token>,
    /// Endings that were found outside of a poll.
    later: Vec<Event>,
    rest_until: Option<Instant>,
    chunk: Vec<u8>,
    reads: usize,
    most: usize,
}

impl Net {
    /// An empty loop that holds at most so many connections; more are closed as they come.
    pub fn new(most: usize) -> io::Result<Net> {
        let events = EventLoop::try_new().map_err(io::Error::other)?;
        Ok(Net {
            handle: events.handle(),
            events,
            woken: Woken::default(),
            next: 1,
            conns: BTreeMap::new(),
            listeners: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            again: BTreeSet::new(),
            dirty: BTreeSet::new(),
            later: Vec::new(),
            rest_until: None,
            chunk: vec![0; CHUNK],
            reads: READS,
            most,
        })
    }

    /// Reads so many bytes at once, and so often from one connection in one poll.
    pub fn set_read_limits(&mut self, bytes: usize, reads: usize) {
        (self.chunk, self.reads) = (vec![0; bytes], reads);
    }

    /// Tells of these signals instead of dying by them.
    pub fn watch_signals(&mut self, which: &[Signal]) -> io::Result<()> {
        let source = Signals::new(which)?;
        self.handle
            .insert_source(source, |event, _, woken: &mut Woken| woken.signals.push(event.signal() as i32))
            .map_err(|e| io::Error::other(e.error))?;
        Ok(())
    }

    fn token(&mut self) -> Token {
        self.next += 1;
        self.next
    }

    /// Listens; port 0 lets the system choose.
    pub fn listen(&mut self, addr: SocketAddr) -> io::Result<(Token, SocketAddr)> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        // A chosen port may be one that others hold for later; a given one may have been used just before.
        socket.set_reuse_address(addr.port() != 0)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(4096)?;
        let socket = Rc::new(TcpListener::from(socket));
        let at = socket.local_addr()?;
        let token = self.token();
        let registration = self.register(Rc::clone(&socket), token, Interest::READ)?;
        self.listeners.insert(token, Listener { socket, registration });
        Ok((token, at))
    }

    /// Takes no more connections there, after those that wait to be taken: closing resets them.
    pub fn stop_listening(&mut self, token: Token) {
        let mut last = Vec::new();
        self.accept(token, Instant::now(), &mut last);
        self.later.append(&mut last);
        if let Some(l) = self.listeners.remove(&token) {
            self.handle.remove(l.registration);
        }
        self.again.remove(&token);
    }

    /// Holds at most so many connections from now on.
    pub fn set_max_connections(&mut self, most: usize) {
        self.most = most;
    }

    /// Takes and sends datagrams; port 0 lets the system choose.
    pub fn bind_datagrams(&mut self, addr: SocketAddr) -> io::Result<(Token, SocketAddr)> {
        let socket = Rc::new(UdpSocket::bind(addr)?);
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        let token = self.token();
        let registration = self.register(Rc::clone(&socket), token, Interest::READ)?;
        self.datagrams.insert(token, (socket, registration));
        Ok((token, at))
    }

    /// Sends one; false if the system does not take it now.
    pub fn send_to(&mut self, token: Token, addr: SocketAddr, bytes: &[u8]) -> bool {
        self.datagrams.get(&token).is_some_and(|(socket, _)| socket.send_to(bytes, addr).is_ok())
    }

    /// Takes no more datagrams there.
    pub fn close_datagrams(&mut self, token: Token) {
        if let Some((_, registration)) = self.datagrams.remove(&token) {
            self.handle.remove(registration);
        }
    }

    fn receive(&mut self, token: Token, out: &mut Vec<Event>) {
        let Some((socket, _)) = self.datagrams.get(&token) else { return };
        for _ in 0..DATAGRAMS {
            match socket.recv(&mut self.chunk) {
                Ok(n) => out.push(Event::Datagram(token, Bytes::copy_from_slice(&self.chunk[..n]))),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Whoever a datagram of ours did not reach; it says nothing of those that come.
                Err(_) => {}
            }
        }
        self.again.insert(token);
    }

    fn register<S: std::os::fd::AsFd + 'static>(
        &self,
        socket: S,
        token: Token,
        interest: Interest,
    ) -> io::Result<RegistrationToken> {
        self.handle
            .insert_source(
                Generic::new(socket, interest, Mode::Edge),
                move |readiness, _, woken: &mut Woken| {
                    woken.ready.push(Ready { token, read: readiness.readable, write: readiness.writable });
                    Ok(PostAction::Continue)
                },
            )
            .map_err(|e| io::Error::other(e.error))
    }

    /// Begins a connection. [`Event::Connected`] or [`Event::ConnectFailed`] follows, never at once.
    pub fn connect(&mut self, addr: SocketAddr) -> Token {
        let token = self.token();
        if self.begin(token, addr).is_err() {
            self.later.push(Event::ConnectFailed(token));
        }
        token
    }

    fn begin(&mut self, token: Token, addr: SocketAddr) -> io::Result<()> {
        if self.conns.len() >= self.most {
            return Err(io::Error::other("too many connections"));
        }
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&addr.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.adopt(token, socket.into(), true)
    }

    fn adopt(&mut self, token: Token, stream: TcpStream, connecting: bool) -> io::Result<()> {
        let stream = Rc::new(stream);
        let registration = self.register(Rc::clone(&stream), token, Interest::BOTH)?;
        let conn = Conn {
            stream,
            registration,
            connecting,
            paused: false,
            readable: false,
            read_ended: false,
            out: BytesMut::new(),
            written: 0,
            finish: None,
        };
        self.conns.insert(token, conn);
        Ok(())
    }

    /// Queues bytes; they leave with the next [`Net::flush`] or [`Net::poll`].
    pub fn send(&mut self, token: Token, bytes: &[u8]) {
        if let Some(c) = self.conns.get_mut(&token).filter(|c| c.finish.is_none()) {
            c.out.extend_from_slice(bytes);
            self.dirty.insert(token);
        }
    }

    /// Bytes queued and not yet taken by the system.
    pub fn unsent_bytes(&self, token: Token) -> usize {
        self.conns.get(&token).map_or(0, |c| c.out.len())
    }

    /// Whether bytes of any connection are queued and not yet taken by the system.
    pub fn has_unsent(&self) -> bool {
        self.conns.values().any(|c| !c.out.is_empty())
    }

    /// Bytes that the system took so far.
    pub fn written_bytes(&self, token: Token) -> u64 {
        self.conns.get(&token).map_or(0, |c| c.written)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Stops reading from a connection, or goes on.
    pub fn set_read_paused(&mut self, token: Token, paused: bool) {
        if let Some(c) = self.conns.get_mut(&token) {
            c.paused = paused;
            if !paused && c.readable {
                self.again.insert(token);
            }
        }
    }

    /// Closes at once; what is queued is lost, and no event follows.
    pub fn close(&mut self, token: Token) {
        if let Some(c) = self.conns.remove(&token) {
            self.handle.remove(c.registration);
        }
        self.again.remove(&token);
        self.dirty.remove(&token);
    }

    /// Sends no more and reads on; what is queued is lost. One that is not there yet is closed.
    pub fn shutdown_write(&mut self, token: Token) {
        let Some(c) = self.conns.get_mut(&token) else { return };
        if c.connecting || c.stream.shutdown(Shutdown::Write).is_err() {
            return self.close(token);
        }
        c.out = BytesMut::new();
        self.dirty.remove(&token);
    }

    /// Closes with a reset, as a process does that dies with unread input.
    pub fn reset(&mut self, token: Token) {
        if let Some(c) = self.conns.get(&token) {
            let _ = SockRef::from(&*c.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(token);
    }

    /// Closes when what is queued has left, within a few seconds. No event follows.
    pub fn close_after_flush(&mut self, token: Token) {
        if let Some(c) = self.conns.get_mut(&token) {
            c.finish = Some(Instant::now());
            self.dirty.insert(token);
        }
    }

    /// Writes what is queued, as far as the system takes it. Returns the connections that it wrote to.
    pub fn flush(&mut self) -> Vec<Token> {
        let dirty = std::mem::take(&mut self.dirty);
        for &token in &dirty {
            self.write(token);
        }
        dirty.into_iter().collect()
    }

    fn write(&mut self, token: Token) {
        let Some(c) = self.conns.get_mut(&token) else { return };
        if c.connecting {
            return;
        }
        while !c.out.is_empty() {
            match (&*c.stream).write(&c.out) {
                Ok(0) => break,
                Ok(n) => {
                    c.out.advance(n);
                    c.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.lost(token);
                    return;
                }
            }
        }
        if c.out.is_empty() {
            c.out = BytesMut::new();
            if c.finish.is_some() {
                self.close(token);
            }
        }
    }

    fn lost(&mut self, token: Token) {
        let Some(c) = self.conns.get(&token) else { return };
        let (connecting, written, told) = (c.connecting, c.written, c.finish.is_none());
        self.close(token);
        if told {
            self.later.push(match connecting {
                true => Event::ConnectFailed(token),
                false => Event::Closed { token, written },
            });
        }
    }

    /// Writes, waits until something happens or the time is over, and says what happened.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<Event>) -> io::Result<()> {
        self.flush();
        let now = Instant::now();
        let resting = self.rest_until.is_some_and(|t| t > now);
        let reading = self.again.iter().any(|t| !(resting && self.listeners.contains_key(t)));
        let timeout = match reading || !self.later.is_empty() {
            true => Duration::ZERO,
            false if resting => timeout.min(OUT_OF_FILES),
            false => timeout,
        };
        self.events.dispatch(timeout, &mut self.woken).map_err(io::Error::other)?;
        out.extend(self.woken.signals.drain(..).map(Event::Signal));
        for r in std::mem::take(&mut self.woken.ready) {
            if r.read {
                if let Some(c) = self.conns.get_mut(&r.token) {
                    c.readable = true;
                }
                self.again.insert(r.token);
            }
            if r.write {
                self.writable(r.token, out);
            }
        }
        let now = Instant::now();
        for token in std::mem::take(&mut self.again) {
            if self.listeners.contains_key(&token) {
                self.accept(token, now, out);
            } else if self.datagrams.contains_key(&token) {
                self.receive(token, out);
            } else {
                self.read(token, out);
            }
        }
        let over = |c: &Conn| c.finish.is_some_and(|at| now.duration_since(at) > FINISH);
        let stuck: Vec<Token> = self.conns.iter().filter(|(_, c)| over(c)).map(|(&t, _)| t).collect();
        stuck.into_iter().for_each(|t| self.close(t));
        out.append(&mut self.later);
        Ok(())
    }

    fn writable(&mut self, token: Token, out: &mut Vec<Event>) {
        let Some(c) = self.conns.get_mut(&token) else { return };
        if c.connecting {
            match c.stream.take_error() {
                Ok(None) if c.stream.peer_addr().is_ok() => {
                    c.connecting = false;
                    out.push(Event::Connected(token));
                }
                Ok(None) => return,
                _ => {
                    self.lost(token);
                    return;
                }
            }
        }
        self.write(token);
    }

    fn accept(&mut self, listener: Token, now: Instant, out: &mut Vec<Event>) {
        if self.rest_until.is_some_and(|t| t > now) {
            self.again.insert(listener);
            return;
        }
        self.rest_until = None;
        for _ in 0..ACCEPTS {
            let Some(l) = self.listeners.get(&listener) else { return };
            match l.socket.accept() {
                Ok((stream, peer)) => {
                    if self.conns.len() >= self.most {
                        drop(stream);
                        continue;
                    }
                    let token = self.token();
                    let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
                    if ready.and_then(|()| self.adopt(token, stream, false)).is_ok() {
                        out.push(Event::Accepted { listener, token, peer });
                        // What it asked as it connected: nobody is to think that it asks nothing.
                        self.read(token, out);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.raw_os_error(), Some(EMFILE | ENFILE)) => {
                    tracing::warn!("out of file descriptors: connections wait; raise the limit (ulimit -n)");
                    self.rest_until = Some(now + OUT_OF_FILES);
                    self.again.insert(listener);
                    return;
                }
                Err(_) => {}
            }
        }
        self.again.insert(listener);
    }

    fn read(&mut self, token: Token, out: &mut Vec<Event>) {
        for _ in 0..self.reads {
            let Some(c) = self.conns.get_mut(&token) else { return };
            if c.paused || c.read_ended {
                return;
            }
            if c.connecting {
                // An error on a connection that is being made shows as readable too.
                self.writable(token, out);
                match self.conns.get(&token) {
                    Some(c) if !c.connecting => continue,
                    _ => return,
                }
            }
            match (&*c.stream).read(&mut self.chunk) {
                Ok(0) => {
                    c.read_ended = true;
                    c.readable = false;
                    if c.finish.is_none() {
                        out.push(Event::HalfClosed(token));
                    }
                    return;
                }
                Ok(n) => {
                    if c.finish.is_none() {
                        out.push(Event::Data(token, Bytes::copy_from_slice(&self.chunk[..n])));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    c.readable = false;
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.lost(token);
                    return;
                }
            }
        }
        self.again.insert(token);
    }
}

// From the system's headers; the same on every Linux that calloop runs on.
const EINPROGRESS: i32 = 115;
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

#[cfg(test)]
mod tests {
    use super::*;

    fn until(net: &mut Net, mut done: impl FnMut(&Event) -> bool) -> Vec<Event> {
        let mut all = Vec::new();
        for _ in 0..200 {
            let mut now = Vec::new();
            net.poll(Duration::from_millis(50), &mut now).unwrap();
            let hit = now.iter().any(&mut done);
            all.extend(now);
            if hit {
                return all;
            }
        }
        panic!("it never came: {all:?}");
    }

    #[test]
    fn bytes_go_both_ways_and_a_reset_is_told() {
        let mut net = Net::new(10).unwrap();
        let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let client = net.connect(at);
        let mut server = 0;
        let mut connected = false;
        until(&mut net, |e| {
            match e {
                Event::Accepted { token, .. } => server = *token,
                Event::Connected(t) if *t == client => connected = true,
                _ => {}
            }
            server != 0 && connected
        });
        net.send(client, b"there");
        until(&mut net, |e| matches!(e, Event::Data(t, b) if *t == server && &b[..] == b"there"));
        net.send(server, b"back");
        until(&mut net, |e| matches!(e, Event::Data(t, b) if *t == client && &b[..] == b"back"));
        net.reset(server);
        let all = until(&mut net, |e| matches!(e, Event::Closed { .. } | Event::HalfClosed(_)));
        assert!(all.iter().any(|e| matches!(e, Event::Closed { token, written: 5 } if *token == client)));
    }

    #[test]
    fn a_refused_connection_fails_and_one_over_the_bound_is_closed() {
        let mut net = Net::new(3).unwrap();
        let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let token = net.connect(free);
        until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == token));
        let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let first = net.connect(at);
        until(&mut net, |e| matches!(e, Event::Accepted { .. }));
        let second = net.connect(at);
        // The bound is three: the accepted end of the second is closed as it comes.
        until(
            &mut net,
            |e| matches!(e, Event::HalfClosed(t) | Event::Closed { token: t, .. } if *t == second),
        );
        let third = net.connect(at);
        until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == third));
        assert!(net.connections() <= 3);
        net.close(first);
    }

    #[test]
    fn a_reserved_port_refuses_listens_and_refuses_again() {
        let mut net = Net::new(10).unwrap();
        let port = Reserved::new("127.0.0.1".parse().unwrap()).unwrap();
        for _ in 0..2 {
            let token = net.connect(port.addr());
            until(&mut net, |e| matches!(e, Event::ConnectFailed(t) if *t == token));
            let (listener, at) = net.listen(port.addr()).unwrap();
            assert_eq!(at, port.addr());
            let token = net.connect(at);
            until(&mut net, |e| matches!(e, Event::Connected(t) if *t == token));
            net.close(token);
            net.stop_listening(listener);
        }
    }

    #[test]
    fn datagrams_come_as_they_were_sent() {
        let mut net = Net::new(10).unwrap();
        let (one, _) = net.bind_datagrams("127.0.0.1:0".parse().unwrap()).unwrap();
        let (other, at) = net.bind_datagrams("127.0.0.1:0".parse().unwrap()).unwrap();
        for n in 0..100u8 {
            assert!(net.send_to(one, at, &[n; 3]));
        }
        let mut next = 0;
        until(&mut net, |e| {
            if let Event::Datagram(t, b) = e {
                assert_eq!((*t, &b[..]), (other, &[next; 3][..]));
                next += 1;
            }
            next == 100
        });
        net.close_datagrams(other);
        assert!(!net.send_to(other, at, b"x"));
    }

    #[test]
    fn a_paused_connection_is_read_when_it_goes_on() {
        let mut net = Net::new(10).unwrap();
        let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let client = net.connect(at);
        let mut server = 0;
        until(&mut net, |e| matches!(e, Event::Accepted { token, .. } if { server = *token; true }));
        net.set_read_paused(server, true);
        net.send(client, b"x");
        for _ in 0..5 {
            let mut events = Vec::new();
            net.poll(Duration::from_millis(5), &mut events).unwrap();
            assert!(!events.iter().any(|e| matches!(e, Event::Data(..))));
        }
        net.set_read_paused(server, false);
        until(&mut net, |e| matches!(e, Event::Data(t, _) if *t == server));
    }

    #[test]
    fn a_connection_that_sends_no_more_still_reads() {
        let mut net = Net::new(10).unwrap();
        let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let client = net.connect(at);
        let mut server = 0;
        until(&mut net, |e| matches!(e, Event::Accepted { token, .. } if { server = *token; true }));
        net.shutdown_write(client);
        until(&mut net, |e| matches!(e, Event::HalfClosed(t) if *t == server));
        net.send(server, b"late");
        until(&mut net, |e| matches!(e, Event::Data(t, bytes) if *t == client && &bytes[..] == b"late"));
    }
}
