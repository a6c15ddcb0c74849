//! The calloop loop and what all kinds of sockets share on it.
//!
//! Owns the loop, the tokens, the readiness that is still to be acted on, the read buffer and the events that
//! were found outside of a poll. It never reads, writes or accepts.

use crate::{Event, Token};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::BTreeSet;
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// Bytes read at once, unless [`Reactor::set_read_buffer_size`] says otherwise.
const DEFAULT_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Readiness of one socket, as the system reported it.
#[derive(Clone, Copy)]
pub(crate) struct Readiness {
    pub(crate) token: Token,
    pub(crate) readable: bool,
    pub(crate) writable: bool,
}

/// What one dispatch of the loop collected.
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
    /// what was left over.
    pub(crate) pending_reads: BTreeSet<Token>,
    /// Events that were found outside of a poll; the next poll reports them.
    pub(crate) deferred_events: Vec<Event>,
    /// Where every socket reads to before the bytes become an event.
    pub(crate) read_buffer: Vec<u8>,
}

impl Reactor {
    pub(crate) fn new() -> io::Result<Reactor> {
        let event_loop = EventLoop::try_new().map_err(io::Error::other)?;
        Ok(Reactor {
            handle: event_loop.handle(),
            event_loop,
            wakeups: Wakeups::default(),
            last_token: 1,
            pending_reads: BTreeSet::new(),
            deferred_events: Vec::new(),
            read_buffer: vec![0; DEFAULT_READ_BUFFER_BYTES],
        })
    }

    pub(crate) fn set_read_buffer_size(&mut self, bytes: usize) {
        self.read_buffer = vec![0; bytes];
    }

    /// A token that was never given before.
    pub(crate) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    /// Has these signals reported in place of their default action.
    pub(crate) fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals)?;
        self.handle
            .insert_source(source, |event, _, wakeups: &mut Wakeups| {
                wakeups.signals.push(event.signal() as i32);
            })
            .map_err(|failed| io::Error::other(failed.error))?;
        Ok(())
    }

    /// Has the readiness of a socket reported under its token.
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
            .map_err(|failed| io::Error::other(failed.error))
    }

    /// Ends the reports of a socket, and drops the loop's reference to it.
    pub(crate) fn unregister(&self, registration: RegistrationToken) {
        self.handle.remove(registration);
    }

    /// Waits until a socket is ready, a signal came or the time is over.
    pub(crate) fn dispatch(&mut self, timeout: Duration) -> io::Result<()> {
        self.event_loop.dispatch(timeout, &mut self.wakeups).map_err(io::Error::other)
    }

    /// Moves the signals of the last dispatch to the caller's events.
    pub(crate) fn take_signals(&mut self, out: &mut Vec<Event>) {
        out.extend(self.wakeups.signals.drain(..).map(Event::Signal));
    }

    /// The readiness of the last dispatch, in the order of the system.
    pub(crate) fn take_readiness(&mut self) -> Vec<Readiness> {
        std::mem::take(&mut self.wakeups.readiness)
    }
}
