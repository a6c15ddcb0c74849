//! The calloop event loop and the state that all kinds of sockets share.
//!
//! This module owns the event loop, the tokens, the readiness that has not been handled yet, the read buffer
//! and the events that occurred outside of a poll. It never reads, writes or accepts.

use crate::pending_reads::PendingReads;
use crate::{Event, Token};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// Size of the read buffer in bytes, unless [`Reactor::set_read_buffer_size`] sets another.
const DEFAULT_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Readiness of one socket as reported by the system.
#[derive(Clone, Copy)]
pub(crate) struct Readiness {
    pub(crate) token: Token,
    pub(crate) readable: bool,
    pub(crate) writable: bool,
}

/// Readiness and signals collected by one dispatch of the event loop.
#[derive(Default)]
struct Wakeups {
    readiness: Vec<Readiness>,
    signals: Vec<i32>,
}

/// The event loop, and the state that connections, listeners and datagram sockets share.
pub(crate) struct Reactor {
    event_loop: EventLoop<'static, Wakeups>,
    handle: LoopHandle<'static, Wakeups>,
    wakeups: Wakeups,
    last_token: Token,
    /// Sockets to read from or to accept on. Readiness is edge-triggered, so the system does not report again
    /// the input that was left unread.
    pub(crate) pending_reads: PendingReads,
    /// Events that occurred outside of a poll; the next poll reports them.
    pub(crate) deferred_events: Vec<Event>,
    /// How many bytes the present batch of reads may still bring. The last read may bring more.
    batch_remaining: usize,
    /// Maximum number of bytes of a batch of reads.
    batch_bytes: usize,
    /// Shared by all sockets; received bytes are copied from here into the event that reports them.
    pub(crate) read_buffer: Vec<u8>,
}

impl Reactor {
    pub(crate) fn new() -> io::Result<Reactor> {
        let event_loop = EventLoop::try_new().map_err(system_error)?;
        Ok(Reactor {
            handle: event_loop.handle(),
            event_loop,
            wakeups: Wakeups::default(),
            last_token: 1,
            pending_reads: PendingReads::default(),
            deferred_events: Vec::new(),
            batch_remaining: usize::MAX,
            batch_bytes: usize::MAX,
            read_buffer: vec![0; DEFAULT_READ_BUFFER_BYTES],
        })
    }

    pub(crate) fn set_read_buffer_size(&mut self, bytes: usize) {
        self.read_buffer = vec![0; bytes];
    }

    pub(crate) fn set_batch_bytes(&mut self, bytes: usize) {
        self.batch_bytes = bytes;
    }

    /// Begins a batch of reads.
    pub(crate) fn begin_batch(&mut self) {
        self.batch_remaining = self.batch_bytes;
    }

    /// Counts bytes that were read.
    pub(crate) fn count_read(&mut self, bytes: usize) {
        self.batch_remaining = self.batch_remaining.saturating_sub(bytes);
    }

    /// Whether the present batch has brought its maximum number of bytes.
    pub(crate) fn is_batch_full(&self) -> bool {
        self.batch_remaining == 0
    }

    /// Returns a token that has not been used before.
    pub(crate) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    /// Reports these signals as [`Event::Signal`] from now on; their default action no longer takes place.
    pub(crate) fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals)?;
        self.handle
            .insert_source(source, |event, _, wakeups: &mut Wakeups| {
                wakeups.signals.push(event.signal() as i32);
            })
            .map_err(|failed| system_error(failed.error))?;
        Ok(())
    }

    /// Reports the readiness of a socket under its token from now on.
    pub(crate) fn register<S: AsFd + 'static>(
        &self,
        socket: S,
        token: Token,
        interest: Interest,
    ) -> io::Result<RegistrationToken> {
        let source = Generic::new(socket, interest, Mode::Edge);
        self.handle
            .insert_source(source, move |readiness, _, wakeups: &mut Wakeups| {
                wakeups.readiness.push(Readiness {
                    token,
                    readable: readiness.readable,
                    writable: readiness.writable,
                });
                Ok(PostAction::Continue)
            })
            .map_err(|failed| system_error(failed.error))
    }

    /// Stops reporting the readiness of a socket, and drops the event loop's reference to it.
    pub(crate) fn unregister(&self, registration: RegistrationToken) {
        self.handle.remove(registration);
    }

    /// Waits until a socket is ready, a signal is received or the timeout elapses.
    pub(crate) fn dispatch(&mut self, timeout: Duration) -> io::Result<()> {
        self.event_loop.dispatch(timeout, &mut self.wakeups).map_err(system_error)
    }

    /// Appends the signals of the last dispatch to `out` and clears them.
    pub(crate) fn take_signals(&mut self, out: &mut Vec<Event>) {
        out.extend(self.wakeups.signals.drain(..).map(Event::Signal));
    }

    /// Returns the readiness collected by the last dispatch, in the order reported by the system, and clears
    /// it.
    pub(crate) fn take_readiness(&mut self) -> Vec<Readiness> {
        std::mem::take(&mut self.wakeups.readiness)
    }
}

/// Returns the error of the operating system that an error of the event loop contains, so that its errno can
/// be classified.
fn system_error(error: calloop::Error) -> io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => io::Error::other(other),
    }
}
