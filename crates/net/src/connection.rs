//! One TCP connection: its stream, what is queued to be written, and how far it has been closed.

use crate::{Event, Token};
use bytes::{Buf, BytesMut};
use calloop::RegistrationToken;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How far a write came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// Nothing is queued any more.
    Flushed,
    /// The system takes no more now.
    Blocked,
    /// The connection is lost.
    Failed,
}

/// What one read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// So many bytes.
    Received(usize),
    /// The peer sends no more.
    EndOfStream,
    /// There is nothing to read now.
    Blocked,
    /// A signal came in between; the read may be repeated at once.
    Interrupted,
    /// The connection is lost.
    Failed,
}

/// Whether a connection that is being made is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectOutcome {
    /// It is established.
    Established,
    /// The system is still at it.
    Pending,
    /// It could not be established.
    Failed,
}

/// How far a connection has been made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// The system is still connecting.
    Connecting,
    /// Both sides may send.
    Established,
}

/// A connection that is being made or is established.
pub(crate) struct Connection {
    pub(crate) stream: Rc<TcpStream>,
    pub(crate) registration: RegistrationToken,
    state: ConnectionState,
    pub(crate) read_paused: bool,
    /// The system reported bytes to read, and no read since then found that there are none.
    pub(crate) readable: bool,
    read_ended: bool,
    unsent: BytesMut,
    written_bytes: u64,
    /// Since when the connection only sends what is queued and then closes.
    closing_since: Option<Instant>,
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
            unsent: BytesMut::new(),
            written_bytes: 0,
            closing_since: None,
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
        self.closing_since.is_some()
    }

    /// Closing for longer than this.
    pub(crate) fn is_closing_longer_than(&self, limit: Duration, now: Instant) -> bool {
        self.closing_since.is_some_and(|since| now.duration_since(since) > limit)
    }

    pub(crate) fn close_after_flush(&mut self, now: Instant) {
        self.closing_since = Some(now);
    }

    pub(crate) fn may_read(&self) -> bool {
        !self.read_paused && !self.read_ended
    }

    pub(crate) fn queue(&mut self, bytes: &[u8]) {
        self.unsent.extend_from_slice(bytes);
    }

    /// Sends no more, and drops what is queued. False if the connection cannot do that.
    pub(crate) fn shutdown_write(&mut self) -> bool {
        if self.is_connecting() || self.stream.shutdown(Shutdown::Write).is_err() {
            return false;
        }
        self.unsent = BytesMut::new();
        true
    }

    /// Asks the system how the connect went.
    pub(crate) fn finish_connect(&mut self) -> ConnectOutcome {
        match self.stream.take_error() {
            Ok(None) if self.stream.peer_addr().is_ok() => {
                self.state = ConnectionState::Established;
                ConnectOutcome::Established
            }
            Ok(None) => ConnectOutcome::Pending,
            Ok(Some(_)) | Err(_) => ConnectOutcome::Failed,
        }
    }

    /// Writes what is queued, as far as the system takes it.
    pub(crate) fn write_unsent(&mut self) -> WriteOutcome {
        if self.is_connecting() {
            return WriteOutcome::Blocked;
        }
        while !self.unsent.is_empty() {
            match (&*self.stream).write(&self.unsent) {
                Ok(0) => return WriteOutcome::Blocked,
                Ok(count) => {
                    self.unsent.advance(count);
                    self.written_bytes += count as u64;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return WriteOutcome::Blocked,
                Err(_) => return WriteOutcome::Failed,
            }
        }
        // An idle connection does not keep the memory of its largest message.
        self.unsent = BytesMut::new();
        WriteOutcome::Flushed
    }

    /// Reads once.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        match (&*self.stream).read(buffer) {
            Ok(0) => {
                self.read_ended = true;
                self.readable = false;
                ReadOutcome::EndOfStream
            }
            Ok(count) => ReadOutcome::Received(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.readable = false;
                ReadOutcome::Blocked
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => ReadOutcome::Interrupted,
            Err(_) => ReadOutcome::Failed,
        }
    }

    /// The event that reports the loss of this connection; none if its owner has closed it already.
    pub(crate) fn loss_event(&self, token: Token) -> Option<Event> {
        if self.is_closing() {
            return None;
        }
        if self.is_connecting() {
            return Some(Event::ConnectFailed(token));
        }
        Some(Event::Closed { token, written: self.written_bytes })
    }
}
