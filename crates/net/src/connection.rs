//! One TCP connection: its stream, its send queue and its progress from connect to close.
//!
//! [`Connection`] reads and writes only when asked to; it never registers with the event loop and never
//! reports events itself.

use crate::system_error::{classify_call_error, classify_connect_error, CallError};
use crate::{ConnectFailure, Event, Token};
use bytes::{Buf, BytesMut};
use calloop::RegistrationToken;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a closing connection waits for its send queue to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a lingering connection waits for the peer to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of writes in a row that a signal interrupts (`EINTR`). The next one is deferred, so that
/// the connection cannot starve the others.
const MAX_INTERRUPTED_WRITES: usize = 64;

/// Result of writing the send queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The send queue is empty.
    Flushed,
    /// The system's send buffer is full; the event loop reports when it has space.
    Blocked,
    /// The system accepts no bytes and will not report when it does; the write is repeated after a pause.
    Deferred,
    /// The connection is lost.
    Failed,
}

/// Result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// This many bytes were read.
    Received(usize),
    /// The peer closed its sending side.
    EndOfStream,
    /// No input is available (`EAGAIN`); the event loop reports when it is.
    Blocked,
    /// A signal interrupted the read; it may be retried at once.
    Interrupted,
    /// The system lacks resources for the read, which is repeated after a pause.
    Deferred,
    /// The connection is lost.
    Failed,
}

/// Result of checking on a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectOutcome {
    /// The connection is established.
    Established,
    /// The system is still connecting; the event loop reports when the connect has succeeded or failed.
    Pending,
    /// The system could not return the state of the connection; the check is repeated after a pause.
    Unknown,
    /// The connection could not be established.
    Failed(ConnectFailure),
}

/// Progress of establishing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// The system is still connecting.
    Connecting,
    /// Both sides can send.
    Established,
}

/// A connection that is connecting or established.
pub(crate) struct Connection {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) registration: RegistrationToken,
    state: ConnectionState,
    pub(crate) read_paused: bool,
    /// The system reported input, and no read since then has ended with `EAGAIN` or the end of the stream.
    pub(crate) readable: bool,
    read_ended: bool,
    /// Whether available input is read before bytes are written.
    pub(crate) reads_before_writes: bool,
    unsent: BytesMut,
    /// Length of the last [`Connection::queue`], in bytes; 0 once it is taken back.
    last_queued_bytes: usize,
    written_bytes: u64,
    /// How the connection is closing; from then on, it only writes its send queue and discards input. `None` if
    /// it is not closing.
    closing: Option<Closing>,
    /// Whether the connection was accepted by a listener.
    pub(crate) is_accepted: bool,
}

/// How a connection ends once its send queue is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// The connection is closed. Input that is unread then, or arrives later, makes the system reset it.
    AfterFlush,
    /// The sending side is closed, and input is read and discarded until the peer has closed its side.
    Linger,
}

/// The progress of closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Closing {
    mode: CloseMode,
    /// When the connection began to close or, once its sending side is closed, when that was.
    since: Instant,
    /// Whether the sending side is closed, and the connection waits for the peer.
    is_lingering: bool,
}

impl Connection {
    pub(crate) fn new(
        stream: Rc<TcpStream>,
        registration: RegistrationToken,
        state: ConnectionState,
    ) -> Connection {
        Connection {
            stream,
            registration,
            state,
            read_paused: false,
            readable: false,
            read_ended: false,
            reads_before_writes: false,
            unsent: BytesMut::new(),
            last_queued_bytes: 0,
            written_bytes: 0,
            closing: None,
            is_accepted: false,
        }
    }

    pub(crate) fn is_connecting(&self) -> bool {
        self.state == ConnectionState::Connecting
    }

    pub(crate) fn unsent_bytes(&self) -> usize {
        self.unsent.len()
    }

    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Whether the connection has been closing for longer than the limit of its state.
    pub(crate) fn close_timed_out(&self, now: Instant) -> bool {
        let limit = |closing: Closing| if closing.is_lingering { LINGER_TIMEOUT } else { FLUSH_TIMEOUT };
        self.closing.is_some_and(|closing| now.duration_since(closing.since) > limit(closing))
    }

    /// Begins to close the connection. The first mode stays in force.
    pub(crate) fn begin_close(&mut self, mode: CloseMode, now: Instant) {
        self.closing.get_or_insert(Closing { mode, since: now, is_lingering: false });
    }

    /// Closes the sending side of a connection that lingers, now that its send queue is written. Returns false if
    /// the connection has to be closed instead.
    pub(crate) fn begin_linger(&mut self, now: Instant) -> bool {
        let Some(closing) = &mut self.closing else { return false };
        if closing.mode == CloseMode::AfterFlush || self.read_ended {
            return false;
        }
        if closing.is_lingering {
            return true;
        }
        *closing = Closing { is_lingering: true, since: now, ..*closing };
        self.stream.shutdown(Shutdown::Write).is_ok()
    }

    /// Returns since when the connection waits for the peer to close its side; `None` if it does not.
    pub(crate) fn lingers_since(&self) -> Option<Instant> {
        self.closing.filter(|closing| closing.is_lingering).map(|closing| closing.since)
    }

    pub(crate) fn may_read(&self) -> bool {
        !self.read_paused && !self.read_ended
    }

    /// Whether input is available that has to be read before the send queue is written.
    pub(crate) fn must_read_first(&self) -> bool {
        let may_write = !self.unsent.is_empty() && !self.is_connecting() && !self.is_closing();
        if !self.reads_before_writes || !may_write || !self.may_read() {
            return false;
        }
        // After any other error it is not known whether there is input, and the read decides.
        let no_input = |error: &io::Error| matches!(classify_call_error(error), CallError::WouldBlock);
        !self.stream.peek(&mut [0]).is_err_and(|error| no_input(&error))
    }

    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
        self.last_queued_bytes = bytes.len();
    }

    /// Removes the bytes of the last [`Connection::queue`] if none of them is written. Returns their number,
    /// or `None` if some are written, or there is nothing to remove.
    pub(crate) fn take_back_last(&mut self) -> Option<usize> {
        let length = std::mem::take(&mut self.last_queued_bytes);
        let remaining = self.unsent.len().checked_sub(length).filter(|_| length > 0)?;
        self.unsent.truncate(remaining);
        Some(length)
    }

    /// Removes the last `length` bytes of the send queue. Returns whether the queue held that many.
    pub(crate) fn take_back(&mut self, length: usize) -> bool {
        let Some(remaining) = self.unsent.len().checked_sub(length) else { return false };
        self.unsent.truncate(remaining);
        self.last_queued_bytes = 0;
        true
    }

    /// Closes the sending side and discards the send queue. Returns false if the connection is not
    /// established or the system refuses.
    pub(crate) fn shutdown_write(&mut self) -> bool {
        if self.is_connecting() || self.stream.shutdown(Shutdown::Write).is_err() {
            return false;
        }
        self.unsent = BytesMut::new();
        true
    }

    /// Reads the result of the non-blocking `connect`: its error from `SO_ERROR`, its success from
    /// `getpeername`.
    pub(crate) fn finish_connect(&mut self) -> ConnectOutcome {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(error)) => return ConnectOutcome::Failed(classify_connect_error(&error)),
            Err(_) => return ConnectOutcome::Unknown,
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.state = ConnectionState::Established;
                ConnectOutcome::Established
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => ConnectOutcome::Pending,
            Err(_) => ConnectOutcome::Unknown,
        }
    }

    /// Whether the system has an error of the connection to report (`SO_ERROR`).
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)))
    }

    /// Writes bytes of the send queue until it is empty or the system accepts no more.
    pub(crate) fn write_unsent(&mut self) -> WriteOutcome {
        if self.is_connecting() {
            return WriteOutcome::Blocked;
        }
        let mut interruptions = 0;
        while !self.unsent.is_empty() {
            match (&*self.stream).write(&self.unsent) {
                Ok(0) => return WriteOutcome::Blocked,
                Ok(count) => {
                    interruptions = 0;
                    self.unsent.advance(count);
                    self.written_bytes += count as u64;
                }
                Err(error) => match classify_call_error(&error) {
                    CallError::Interrupted if interruptions < MAX_INTERRUPTED_WRITES => interruptions += 1,
                    CallError::Interrupted | CallError::OutOfResources => return WriteOutcome::Deferred,
                    CallError::WouldBlock => return WriteOutcome::Blocked,
                    CallError::Fatal => return self.log_write_failure(&error),
                },
            }
        }
        // Frees the buffer, so that an idle connection does not retain the memory of its largest message.
        self.unsent = BytesMut::new();
        WriteOutcome::Flushed
    }

    fn log_write_failure(&self, error: &io::Error) -> WriteOutcome {
        let unsent = self.unsent.len();
        tracing::debug!(%error, written = self.written_bytes, unsent, "connection lost, write failed");
        WriteOutcome::Failed
    }

    /// Performs one read into `buffer`.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        match (&*self.stream).read(buffer) {
            Ok(0) => {
                self.read_ended = true;
                self.readable = false;
                ReadOutcome::EndOfStream
            }
            Ok(count) => ReadOutcome::Received(count),
            Err(error) => match classify_call_error(&error) {
                CallError::WouldBlock => {
                    self.readable = false;
                    ReadOutcome::Blocked
                }
                CallError::Interrupted => ReadOutcome::Interrupted,
                CallError::OutOfResources => ReadOutcome::Deferred,
                CallError::Fatal => {
                    let written = self.written_bytes;
                    tracing::debug!(%error, written, "connection lost, read failed");
                    ReadOutcome::Failed
                }
            },
        }
    }

    /// Returns the event that reports the loss of this connection, or `None` if its owner has already closed
    /// it with `close_after_flush`.
    pub(crate) fn loss_event(&self, token: Token) -> Option<Event> {
        if self.is_closing() {
            return None;
        }
        Some(Event::Closed { token, written: self.written_bytes })
    }
}
