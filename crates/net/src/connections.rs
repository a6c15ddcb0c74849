//! All TCP connections of a [`Net`](crate::Net), from connect or accept to close.
//!
//! This module owns the connections, their maximum number, and the set of connections with bytes to write. It
//! never listens.

mod reading;

use crate::connection::{CloseMode, ConnectOutcome, Connection, ConnectionState, WriteOutcome};
use crate::reactor::Reactor;
use crate::system_error::{classify_connect_result, ConnectStart};
use crate::{ConnectFailure, Event, Token};
use calloop::Interest;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of reads from one connection in one poll, unless [`Connections::set_reads_per_poll`] sets
/// another. Remaining input waits for the next poll, so that no connection can starve the others.
const DEFAULT_READS_PER_POLL: usize = 4;
/// Pause before a system call is repeated that failed for lack of resources: the event loop does not report
/// when they are available again.
pub(crate) const DEFERRED_CALL_PAUSE: Duration = Duration::from_millis(5);

/// The open connections by token.
pub(crate) struct Connections {
    open: BTreeMap<Token, Connection>,
    /// Connections that may have bytes to write.
    unflushed: BTreeSet<Token>,
    /// Connections on which a system call is repeated after [`DEFERRED_CALL_PAUSE`].
    deferred: BTreeSet<Token>,
    deferred_until: Option<Instant>,
    max_connections: usize,
    reads_per_poll: usize,
}

impl Connections {
    pub(crate) fn new(max_connections: usize) -> Connections {
        Connections {
            open: BTreeMap::new(),
            unflushed: BTreeSet::new(),
            deferred: BTreeSet::new(),
            deferred_until: None,
            max_connections,
            reads_per_poll: DEFAULT_READS_PER_POLL,
        }
    }

    pub(crate) fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    pub(crate) fn set_reads_per_poll(&mut self, reads: usize) {
        self.reads_per_poll = reads;
    }

    /// Whether there are as many connections as the maximum. A connection that only waits for its peer to close it
    /// makes room for a new one.
    pub(crate) fn is_full(&mut self, reactor: &mut Reactor) -> bool {
        if self.open.len() < self.max_connections {
            return false;
        }
        let lingering = self.open.iter().filter_map(|(&token, open)| Some((open.lingers_since()?, token)));
        let Some((_, oldest)) = lingering.min() else { return true };
        self.close(oldest, reactor);
        self.open.len() >= self.max_connections
    }

    /// Whether a token belongs to a connection that a listener accepted.
    pub(crate) fn is_accepted(&self, token: Token) -> bool {
        self.open.get(&token).is_some_and(|connection| connection.is_accepted)
    }

    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn unsent_bytes(&self, token: Token) -> usize {
        self.open.get(&token).map_or(0, Connection::unsent_bytes)
    }

    pub(crate) fn has_unsent(&self) -> bool {
        self.open.values().any(|connection| connection.unsent_bytes() > 0)
    }

    pub(crate) fn written_bytes(&self, token: Token) -> u64 {
        self.open.get(&token).map_or(0, Connection::written_bytes)
    }

    /// Starts connecting; a later poll reports the outcome.
    pub(crate) fn connect(&mut self, addr: SocketAddr, reactor: &mut Reactor) -> Token {
        let token = reactor.next_token();
        let started = self.begin_connect(token, addr, reactor).unwrap_or_else(|error| {
            tracing::debug!(%addr, %error, "connect failed on this machine");
            ConnectStart::Failed(ConnectFailure::Local)
        });
        if let ConnectStart::Failed(failure) = started {
            reactor.deferred_events.push(Event::ConnectFailed { token, failure });
        }
        token
    }

    /// Begins to connect. An error is local: the socket could not be created, configured or registered.
    fn begin_connect(
        &mut self,
        token: Token,
        addr: SocketAddr,
        reactor: &mut Reactor,
    ) -> io::Result<ConnectStart> {
        if self.is_full(reactor) {
            return Err(io::Error::other("the maximum number of connections is reached"));
        }
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        let started = classify_connect_result(socket.connect(&addr.into()));
        if started == ConnectStart::InProgress {
            self.insert(token, socket.into(), ConnectionState::Connecting, reactor)?;
        }
        Ok(started)
    }

    /// Adds a connection that a listener accepted.
    pub(crate) fn insert_accepted(
        &mut self,
        token: Token,
        stream: TcpStream,
        reactor: &Reactor,
    ) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.insert(token, stream, ConnectionState::Established, reactor)?;
        if let Some(connection) = self.open.get_mut(&token) {
            connection.is_accepted = true;
        }
        Ok(())
    }

    fn insert(
        &mut self,
        token: Token,
        stream: TcpStream,
        state: ConnectionState,
        reactor: &Reactor,
    ) -> io::Result<()> {
        let stream = Rc::new(stream);
        let registration = reactor.register(Rc::clone(&stream), token, Interest::BOTH)?;
        self.open.insert(token, Connection::new(stream, registration, state));
        Ok(())
    }

    /// Queues bytes for the next flush, unless the connection is closing.
    pub(crate) fn send(&mut self, token: Token, bytes: &[u8]) {
        let Some(connection) = self.open.get_mut(&token) else { return };
        if connection.is_closing() {
            return;
        }
        connection.queue(bytes);
        self.unflushed.insert(token);
    }

    pub(crate) fn read_before_write(&mut self, token: Token) {
        if let Some(connection) = self.open.get_mut(&token) {
            connection.reads_before_writes = true;
        }
    }

    pub(crate) fn take_back_last(&mut self, token: Token) -> Option<usize> {
        self.open.get_mut(&token).filter(|connection| !connection.is_closing())?.take_back_last()
    }

    pub(crate) fn take_back(&mut self, token: Token, length: usize) -> bool {
        let connection = self.open.get_mut(&token).filter(|connection| !connection.is_closing());
        connection.is_some_and(|connection| connection.take_back(length))
    }

    pub(crate) fn pause_reads(&mut self, token: Token) {
        if let Some(connection) = self.open.get_mut(&token) {
            connection.read_paused = true;
        }
    }

    pub(crate) fn resume_reads(&mut self, token: Token, reactor: &mut Reactor) {
        let Some(connection) = self.open.get_mut(&token) else { return };
        connection.read_paused = false;
        if connection.readable {
            reactor.pending_reads.insert(token);
        }
    }

    /// Closes at once, without reporting an event.
    pub(crate) fn close(&mut self, token: Token, reactor: &mut Reactor) {
        if let Some(connection) = self.open.remove(&token) {
            reactor.unregister(connection.registration);
        }
        reactor.pending_reads.remove(token);
        self.unflushed.remove(&token);
        self.deferred.remove(&token);
    }

    pub(crate) fn shutdown_write(&mut self, token: Token, reactor: &mut Reactor) {
        let Some(connection) = self.open.get_mut(&token) else { return };
        if connection.shutdown_write() {
            self.unflushed.remove(&token);
        } else {
            self.close(token, reactor);
        }
    }

    /// Closes at once with a TCP reset.
    pub(crate) fn reset(&mut self, token: Token, reactor: &mut Reactor) {
        if let Some(connection) = self.open.get(&token) {
            let _ = SockRef::from(&*connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(token, reactor);
    }

    pub(crate) fn begin_close(&mut self, token: Token, mode: CloseMode) {
        if let Some(connection) = self.open.get_mut(&token) {
            connection.begin_close(mode, Instant::now());
            self.unflushed.insert(token);
        }
    }

    /// Closes a lingering connection whose peer has closed its side.
    pub(crate) fn finish_linger(&mut self, token: Token, reactor: &mut Reactor) {
        if self.open.get(&token).is_some_and(|connection| connection.lingers_since().is_some()) {
            self.close(token, reactor);
        }
    }

    /// Writes the send queues of all connections. Returns the connections that it tried to write to.
    pub(crate) fn flush(&mut self, reactor: &mut Reactor) -> Vec<Token> {
        let unflushed = std::mem::take(&mut self.unflushed);
        for &token in &unflushed {
            self.write(token, reactor);
        }
        unflushed.into_iter().collect()
    }

    fn write(&mut self, token: Token, reactor: &mut Reactor) {
        let Some(connection) = self.open.get_mut(&token) else { return };
        if connection.must_read_first() {
            connection.readable = true;
            reactor.pending_reads.insert(token);
            self.unflushed.insert(token);
            return;
        }
        match connection.write_unsent() {
            WriteOutcome::Flushed if connection.is_closing() => {
                if connection.begin_linger(Instant::now()) {
                    connection.read_paused = false;
                    reactor.pending_reads.insert(token);
                } else {
                    self.close(token, reactor);
                }
            }
            WriteOutcome::Flushed | WriteOutcome::Blocked => {}
            WriteOutcome::Deferred => self.defer(token),
            WriteOutcome::Failed => self.close_lost(token, reactor),
        }
    }

    /// Schedules a retry of the reads and writes on a connection at the end of the pause that other deferred
    /// connections wait for, or else after [`DEFERRED_CALL_PAUSE`].
    fn defer(&mut self, token: Token) {
        self.deferred.insert(token);
        self.deferred_until.get_or_insert_with(|| Instant::now() + DEFERRED_CALL_PAUSE);
    }

    /// Returns the time until the deferred calls are due, or `None` if none is deferred.
    pub(crate) fn deferred_for(&self, now: Instant) -> Option<Duration> {
        self.deferred_until.map(|until| until.saturating_duration_since(now))
    }

    /// Repeats the deferred calls if their pause is over: writes at once, reads with the next pending reads.
    pub(crate) fn resume_deferred(&mut self, now: Instant, reactor: &mut Reactor) {
        if self.deferred_until.is_none_or(|until| until > now) {
            return;
        }
        self.deferred_until = None;
        for token in std::mem::take(&mut self.deferred) {
            self.retry_calls(token, reactor);
        }
    }

    /// Reads and writes on all connections as if they were ready, because readiness reports may be lost.
    pub(crate) fn retry_all_calls(&mut self, reactor: &mut Reactor) {
        let all: Vec<Token> = self.open.keys().copied().collect();
        for token in all {
            self.mark_readable(token);
            self.retry_calls(token, reactor);
        }
    }

    /// Writes to a connection now, and reads from it with the next pending reads. Covers connects as well: a
    /// read on a connecting socket first reads the result of the `connect`.
    fn retry_calls(&mut self, token: Token, reactor: &mut Reactor) {
        reactor.pending_reads.insert(token);
        self.write(token, reactor);
    }

    /// Closes a connection that could not be established; the next poll reports it.
    fn fail_connect(&mut self, token: Token, failure: ConnectFailure, reactor: &mut Reactor) {
        let expects_event = self.open.get(&token).is_some_and(|connection| !connection.is_closing());
        self.close(token, reactor);
        if expects_event {
            reactor.deferred_events.push(Event::ConnectFailed { token, failure });
        }
    }

    /// Closes a lost connection; the next poll reports the loss.
    fn close_lost(&mut self, token: Token, reactor: &mut Reactor) {
        let Some(connection) = self.open.get(&token) else { return };
        let event = connection.loss_event(token);
        self.close(token, reactor);
        reactor.deferred_events.extend(event);
    }

    /// Closes an accepted connection that its peer has reset, and drops the input that is unread: whoever sent it is
    /// gone. The next poll reports the loss. Returns whether the connection was reset.
    pub(crate) fn close_if_reset(&mut self, token: Token, reactor: &mut Reactor) -> bool {
        let Some(connection) = self.open.get(&token) else { return false };
        if !connection.is_accepted || !connection.has_failed() {
            return false;
        }
        self.close_lost(token, reactor);
        true
    }

    /// Records that the system reported input on a connection.
    pub(crate) fn mark_readable(&mut self, token: Token) {
        if let Some(connection) = self.open.get_mut(&token) {
            connection.readable = true;
        }
    }

    /// Handles a connection that the system reported as writable; the connection may just have been
    /// established.
    pub(crate) fn handle_writable(&mut self, token: Token, reactor: &mut Reactor, out: &mut Vec<Event>) {
        let Some(connection) = self.open.get_mut(&token) else { return };
        if connection.is_connecting() {
            match connection.finish_connect() {
                ConnectOutcome::Established => out.push(Event::Connected(token)),
                ConnectOutcome::Pending => return,
                ConnectOutcome::Unknown => return self.defer(token),
                ConnectOutcome::Failed(failure) => return self.fail_connect(token, failure, reactor),
            }
        }
        self.write(token, reactor);
    }

    /// Closes the closing connections whose send queue was not written in time, or whose peer did not close its side
    /// in time.
    pub(crate) fn close_timed_out(&mut self, now: Instant, reactor: &mut Reactor) {
        let mut timed_out = Vec::new();
        for (&token, connection) in &self.open {
            if connection.close_timed_out(now) {
                timed_out.push(token);
            }
        }
        for token in timed_out {
            self.close(token, reactor);
        }
    }
}
