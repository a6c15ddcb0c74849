//! The event loop that a program drives.
//!
//! [`Net`] owns all sockets of a program, defines the public operations on them and the order of the steps of
//! one poll. It never interprets the bytes that it moves.

use crate::connection::CloseMode;
use crate::connections::Connections;
use crate::datagrams::DatagramSockets;
use crate::listeners::{Listeners, ACCEPT_PAUSE};
use crate::reactor::Reactor;
use crate::{BoundSocket, Event, Token};
use calloop::signals::Signal;
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Pause after a failed wait for events, so that a persistent failure does not keep the CPU busy.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(1);

/// Limits on reading, so that no connection can starve the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadLimits {
    /// Size of the read buffer: the maximum number of bytes of one read.
    pub buffer_bytes: usize,
    /// Maximum number of reads from one connection in one poll.
    pub reads_per_poll: usize,
    /// Number of bytes after which a poll stops reading and reports what it has read. [`Net::read_more`] reads from
    /// the other connections.
    pub batch_bytes: usize,
}

/// The kinds of sockets in the order in which a poll reads from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReadOrder {
    /// A connection that this program has established.
    Connected,
    /// A connection that a listener has accepted, a listener or a datagram socket.
    Incoming,
}

/// Connections, listeners and datagram sockets on one event loop.
pub struct Net {
    reactor: Reactor,
    connections: Connections,
    listeners: Listeners,
    datagrams: DatagramSockets,
    last_read_at: Instant,
    /// The sockets that the present poll has still to read, in order.
    unread: VecDeque<Token>,
}

impl Net {
    /// Creates an event loop for at most `max_connections` connections. Beyond the limit, accepted
    /// connections are closed at once and new outgoing connections fail.
    ///
    /// # Errors
    ///
    /// If the system does not create the event loop.
    pub fn new(max_connections: usize) -> io::Result<Net> {
        Ok(Net {
            reactor: Reactor::new()?,
            connections: Connections::new(max_connections),
            listeners: Listeners::default(),
            datagrams: DatagramSockets::default(),
            last_read_at: Instant::now(),
            unread: VecDeque::new(),
        })
    }

    /// Replaces the limits on reading.
    pub fn set_read_limits(&mut self, limits: ReadLimits) {
        self.reactor.set_read_buffer_size(limits.buffer_bytes);
        self.reactor.set_batch_bytes(limits.batch_bytes);
        self.connections.set_reads_per_poll(limits.reads_per_poll);
    }

    /// Reports these signals as [`Event::Signal`] from now on; their default action no longer takes place.
    pub fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        self.reactor.watch_signals(signals)
    }

    /// Listens for TCP connections; with port 0 the system chooses a free port.
    ///
    /// # Errors
    ///
    /// If the system does not create the listener, for example because the port is in use.
    pub fn listen(&mut self, addr: SocketAddr) -> io::Result<BoundSocket> {
        self.listeners.listen(addr, &mut self.reactor)
    }

    /// Closes a listener once the connections that are queued on it are accepted; while accepting fails, the
    /// listener stays open for up to a second.
    pub fn stop_listening(&mut self, token: Token) {
        self.listeners.stop_listening(token, &mut self.connections, &mut self.reactor);
    }

    /// Changes the maximum number of connections; connections that are already open stay open.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.connections.set_max_connections(max_connections);
    }

    /// Opens a UDP socket; with port 0 the system chooses a free port.
    ///
    /// # Errors
    ///
    /// If the system does not create the socket, for example because the port is in use.
    pub fn bind_datagrams(&mut self, addr: SocketAddr) -> io::Result<BoundSocket> {
        self.datagrams.bind(addr, &mut self.reactor)
    }

    /// Sends one datagram; returns false if the socket is closed or the system did not accept the datagram.
    pub fn send_to(&mut self, token: Token, addr: SocketAddr, bytes: &[u8]) -> bool {
        self.datagrams.send_to(token, addr, bytes)
    }

    /// Closes a datagram socket.
    pub fn close_datagrams(&mut self, token: Token) {
        self.datagrams.close(token, &self.reactor);
    }

    /// Starts a TCP connect and returns the token of the new connection. A later poll reports
    /// [`Event::Connected`] or [`Event::ConnectFailed`].
    pub fn connect(&mut self, addr: SocketAddr) -> Token {
        self.connections.connect(addr, &mut self.reactor)
    }

    /// Queues bytes, which the next [`Net::flush`] or [`Net::poll`] writes.
    pub fn send(&mut self, token: Token, bytes: &[u8]) {
        self.connections.send(token, bytes);
    }

    /// Reads the available input of a connection before each write: while there is any, queued bytes stay
    /// queued. On such a connection, [`Event::Data`] tells whether bytes arrived before a request was written.
    pub fn read_before_write(&mut self, token: Token) {
        self.connections.read_before_write(token);
    }

    /// Removes the bytes of the last [`Net::send`] from the send queue if the system has accepted none of
    /// them. Returns their number, or `None` if they are written in part or as a whole, were already removed,
    /// or the connection is closing.
    pub fn take_back_last(&mut self, token: Token) -> Option<usize> {
        self.connections.take_back_last(token)
    }

    /// Removes the last `length` bytes of a connection's send queue, none of which the system has accepted. Returns
    /// whether it did: not if fewer bytes are queued, or the connection is closing.
    pub fn take_back(&mut self, token: Token, length: usize) -> bool {
        self.connections.take_back(token, length)
    }

    /// Returns the number of bytes that are queued on a connection and not yet accepted by the system; 0 if
    /// the connection is closed.
    pub fn unsent_bytes(&self, token: Token) -> usize {
        self.connections.unsent_bytes(token)
    }

    /// Whether any connection has queued bytes that the system has not yet accepted.
    pub fn has_unsent(&self) -> bool {
        self.connections.has_unsent()
    }

    /// Returns the number of bytes that the system has accepted on a connection since it was opened; 0 if the
    /// connection is closed.
    pub fn written_bytes(&self, token: Token) -> u64 {
        self.connections.written_bytes(token)
    }

    /// Returns when the last poll began to read: input that arrived later may not be reported yet.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops reading from a connection until [`Net::resume_reads`].
    pub fn pause_reads(&mut self, token: Token) {
        self.connections.pause_reads(token);
    }

    /// Resumes reading from a connection; the next poll reads what arrived in between.
    pub fn resume_reads(&mut self, token: Token) {
        self.connections.resume_reads(token, &mut self.reactor);
    }

    /// Closes a connection at once. Queued bytes are discarded and no event is reported.
    pub fn close(&mut self, token: Token) {
        self.connections.close(token, &mut self.reactor);
    }

    /// Closes the sending side of a connection and keeps reading; queued bytes are discarded. A connection
    /// that is not established is closed.
    pub fn shutdown_write(&mut self, token: Token) {
        self.connections.shutdown_write(token, &mut self.reactor);
    }

    /// Closes a connection with a TCP reset, as the system does when a process dies with unread input.
    pub fn reset(&mut self, token: Token) {
        self.connections.reset(token, &mut self.reactor);
    }

    /// Closes a connection once its queued bytes are written, or after 5 seconds. No event is reported.
    pub fn close_after_flush(&mut self, token: Token) {
        self.connections.begin_close(token, CloseMode::AfterFlush);
    }

    /// Closes the sending side of a connection once its queued bytes are written, and then reads and discards input
    /// until the peer has closed its side, for a second at most. Unlike after [`Net::close_after_flush`], bytes that
    /// the peer still sends do not make the system reset the connection. No event is reported.
    pub fn close_lingering(&mut self, token: Token) {
        self.connections.begin_close(token, CloseMode::Linger);
    }

    /// Writes the queued bytes that the system accepts. Returns the connections that it tried to write to.
    pub fn flush(&mut self) -> Vec<Token> {
        self.connections.flush(&mut self.reactor)
    }

    /// Writes queued bytes, waits until an event occurs or the timeout elapses, and appends the events to
    /// `out`.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<Event>) {
        self.flush();
        let timeout = self.dispatch_timeout(timeout, Instant::now());
        if let Err(error) = self.reactor.dispatch(timeout) {
            self.recover_from_failed_wait(&error);
        }
        self.reactor.take_signals(out);
        self.handle_readiness(out);
        let now = Instant::now();
        self.last_read_at = now;
        self.connections.resume_deferred(now, &mut self.reactor);
        self.order_pending_reads();
        self.handle_pending_reads(now, out);
        self.listeners.close_drained(now, &mut self.reactor);
        self.connections.close_timed_out(now, &mut self.reactor);
        out.append(&mut self.reactor.deferred_events);
    }

    /// Whether the last poll has not read from all sockets with input, because of [`ReadLimits::batch_bytes`].
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Continues the last poll: reads from sockets that it has not read, up to [`ReadLimits::batch_bytes`], and appends
    /// the events to `out`. Without this, the next poll begins with them.
    pub fn read_more(&mut self, out: &mut Vec<Event>) {
        self.handle_pending_reads(Instant::now(), out);
        out.append(&mut self.reactor.deferred_events);
    }

    /// The wait may have failed after the system had reported readiness, which is edge-triggered and not
    /// reported again. All sockets are therefore read and written as if they were ready.
    fn recover_from_failed_wait(&mut self, error: &io::Error) {
        tracing::debug!(%error, "wait for events failed, retrying reads and writes on all sockets");
        std::thread::sleep(FAILED_WAIT_PAUSE);
        self.connections.retry_all_calls(&mut self.reactor);
        for token in self.listeners.tokens().chain(self.datagrams.tokens()) {
            self.reactor.pending_reads.insert(token);
        }
    }

    /// Returns how long the event loop may wait: 0 if the last poll left work for this one, otherwise the
    /// minimum of `timeout` and the pauses after which accepts and deferred calls are retried.
    fn dispatch_timeout(&self, timeout: Duration, now: Instant) -> Duration {
        let accept_paused = self.listeners.is_paused(now);
        if self.has_remaining_work(accept_paused) {
            return Duration::ZERO;
        }
        let accept_pause = accept_paused.then_some(ACCEPT_PAUSE);
        let pauses = [accept_pause, self.connections.deferred_for(now)];
        pauses.into_iter().flatten().fold(timeout, Duration::min)
    }

    fn has_remaining_work(&self, accept_paused: bool) -> bool {
        if !self.reactor.deferred_events.is_empty() || self.has_unread() {
            return true;
        }
        let waits_for_accept = |token: Token| accept_paused && self.listeners.contains(token);
        self.reactor.pending_reads.iter().any(|token| !waits_for_accept(token))
    }

    fn handle_readiness(&mut self, out: &mut Vec<Event>) {
        for ready in self.reactor.take_readiness() {
            // The system reports an error as both.
            let may_have_failed = ready.readable && ready.writable;
            if may_have_failed && self.connections.close_if_reset(ready.token, &mut self.reactor) {
                continue;
            }
            if ready.readable {
                self.connections.mark_readable(ready.token);
                self.reactor.pending_reads.insert(ready.token);
            }
            if ready.writable {
                self.connections.handle_writable(ready.token, &mut self.reactor, out);
            }
        }
    }

    /// Sets the order in which this poll reads: first what the last one has left, then connections that this program
    /// has established, then all other sockets. Within each kind, the socket that became ready first comes first.
    fn order_pending_reads(&mut self) {
        let left: BTreeSet<Token> = self.unread.iter().copied().collect();
        let mut pending = self.reactor.pending_reads.take();
        pending.retain(|token| !left.contains(token));
        pending.sort_by_key(|&token| self.read_order(token));
        self.unread.extend(pending);
    }

    fn read_order(&self, token: Token) -> ReadOrder {
        let is_incoming = self.connections.is_accepted(token)
            || self.listeners.contains(token)
            || self.datagrams.contains(token);
        if is_incoming {
            ReadOrder::Incoming
        } else {
            ReadOrder::Connected
        }
    }

    fn handle_pending_reads(&mut self, now: Instant, out: &mut Vec<Event>) {
        self.reactor.begin_batch();
        while !self.reactor.is_batch_full() {
            let Some(token) = self.unread.pop_front() else { return };
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
