//! The event loop that a program drives: the order of one poll, and the public operations on sockets.

use crate::connections::Connections;
use crate::datagrams::DatagramSockets;
use crate::listeners::{Listeners, ACCEPT_PAUSE};
use crate::reactor::Reactor;
use crate::{Event, Token};
use calloop::signals::Signal;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections, listeners and datagram sockets, and the loop that they are on.
pub struct Net {
    reactor: Reactor,
    connections: Connections,
    listeners: Listeners,
    datagrams: DatagramSockets,
}

impl Net {
    /// An empty loop that holds at most so many connections; more are closed as they are accepted, and fail
    /// to connect.
    pub fn new(max_connections: usize) -> io::Result<Net> {
        Ok(Net {
            reactor: Reactor::new()?,
            connections: Connections::new(max_connections),
            listeners: Listeners::default(),
            datagrams: DatagramSockets::default(),
        })
    }

    /// Reads so many bytes at once, and so often from one connection in one poll.
    pub fn set_read_limits(&mut self, bytes: usize, reads: usize) {
        self.reactor.set_read_buffer_size(bytes);
        self.connections.set_reads_per_poll(reads);
    }

    /// Reports these signals as events in place of their default action.
    pub fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        self.reactor.watch_signals(signals)
    }

    /// Listens; port 0 lets the system choose. Returns the listener and its address.
    pub fn listen(&mut self, addr: SocketAddr) -> io::Result<(Token, SocketAddr)> {
        self.listeners.listen(addr, &mut self.reactor)
    }

    /// Accepts no more connections on a listener, after those that wait to be accepted.
    pub fn stop_listening(&mut self, token: Token) {
        self.listeners.stop_listening(token, &mut self.connections, &mut self.reactor);
    }

    /// Holds at most so many connections from now on; those that are open stay.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.connections.set_max_connections(max_connections);
    }

    /// Receives and sends datagrams; port 0 lets the system choose. Returns the socket and its address.
    pub fn bind_datagrams(&mut self, addr: SocketAddr) -> io::Result<(Token, SocketAddr)> {
        self.datagrams.bind(addr, &mut self.reactor)
    }

    /// Sends one datagram; false if the system does not take it now.
    pub fn send_to(&mut self, token: Token, addr: SocketAddr, bytes: &[u8]) -> bool {
        self.datagrams.send_to(token, addr, bytes)
    }

    /// Closes a datagram socket.
    pub fn close_datagrams(&mut self, token: Token) {
        self.datagrams.close(token, &self.reactor);
    }

    /// Begins a connection. [`Event::Connected`] or [`Event::ConnectFailed`] follows in a later poll.
    pub fn connect(&mut self, addr: SocketAddr) -> Token {
        self.connections.connect(addr, &mut self.reactor)
    }

    /// Queues bytes; they leave with the next [`Net::flush`] or [`Net::poll`].
    pub fn send(&mut self, token: Token, bytes: &[u8]) {
        self.connections.send(token, bytes);
    }

    /// Bytes queued and not yet taken by the system.
    pub fn unsent_bytes(&self, token: Token) -> usize {
        self.connections.unsent_bytes(token)
    }

    /// Whether any connection has bytes queued and not yet taken by the system.
    pub fn has_unsent(&self) -> bool {
        self.connections.has_unsent()
    }

    /// Bytes that the system took so far.
    pub fn written_bytes(&self, token: Token) -> u64 {
        self.connections.written_bytes(token)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops reading from a connection, or resumes it.
    pub fn set_read_paused(&mut self, token: Token, paused: bool) {
        self.connections.set_read_paused(token, paused, &mut self.reactor);
    }

    /// Closes at once; what is queued is lost, and no event follows.
    pub fn close(&mut self, token: Token) {
        self.connections.close(token, &mut self.reactor);
    }

    /// Sends no more and reads on; what is queued is lost. A connection that is not established is closed.
    pub fn shutdown_write(&mut self, token: Token) {
        self.connections.shutdown_write(token, &mut self.reactor);
    }

    /// Closes with a TCP reset, as the system does for a process that dies with unread input.
    pub fn reset(&mut self, token: Token) {
        self.connections.reset(token, &mut self.reactor);
    }

    /// Closes when what is queued has left, or after a few seconds. No event follows.
    pub fn close_after_flush(&mut self, token: Token) {
        self.connections.close_after_flush(token);
    }

    /// Writes what is queued, as far as the system takes it. Returns the connections that it tried.
    pub fn flush(&mut self) -> Vec<Token> {
        self.connections.flush(&mut self.reactor)
    }

    /// Writes what is queued, waits until something happens or the time is over, and appends what happened to
    /// `out`.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<Event>) -> io::Result<()> {
        self.flush();
        let timeout = self.dispatch_timeout(timeout, Instant::now());
        self.reactor.dispatch(timeout)?;
        self.reactor.take_signals(out);
        self.handle_readiness(out);
        let now = Instant::now();
        self.handle_pending_reads(now, out);
        self.connections.close_flush_timeouts(now, &mut self.reactor);
        out.append(&mut self.reactor.deferred_events);
        Ok(())
    }

    /// How long the loop may wait: not at all while there is work left from the last poll.
    fn dispatch_timeout(&self, timeout: Duration, now: Instant) -> Duration {
        let accept_paused = self.listeners.is_paused(now);
        if self.has_work_left(accept_paused) {
            return Duration::ZERO;
        }
        if accept_paused {
            return timeout.min(ACCEPT_PAUSE);
        }
        timeout
    }

    fn has_work_left(&self, accept_paused: bool) -> bool {
        if !self.reactor.deferred_events.is_empty() {
            return true;
        }
        let waits_for_accept = |token: Token| accept_paused && self.listeners.contains(token);
        self.reactor.pending_reads.iter().any(|&token| !waits_for_accept(token))
    }

    fn handle_readiness(&mut self, out: &mut Vec<Event>) {
        for ready in self.reactor.take_readiness() {
            if ready.readable {
                self.connections.mark_readable(ready.token);
                self.reactor.pending_reads.insert(ready.token);
            }
            if ready.writable {
                self.connections.handle_writable(ready.token, &mut self.reactor, out);
            }
        }
    }

    fn handle_pending_reads(&mut self, now: Instant, out: &mut Vec<Event>) {
        for token in std::mem::take(&mut self.reactor.pending_reads) {
            if self.listeners.contains(token) {
                self.listeners.accept(token, now, &mut self.connections, &mut self.reactor, out);
            } else if self.datagrams.contains(token) {
                self.datagrams.receive(token, &mut self.reactor, out);
            } else {
                self.connections.read(token, &mut self.reactor, out);
            }
        }
    }
}
