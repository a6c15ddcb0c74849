//! Listening TCP sockets.
//!
//! This module owns the listeners, and the pause in accepting after `accept` failed.
//! Accepted connections belong to [`Connections`].

use crate::connections::Connections;
use crate::reactor::Reactor;
use crate::system_error::{classify_accept_error, AcceptError};
use crate::{BoundSocket, Event, Token};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of connections accepted from one listener in one poll; the others wait for the next poll.
const ACCEPTS_PER_POLL: usize = 256;
/// The backlog of `listen`: maximum number of established connections that the system queues for `accept`.
const LISTEN_BACKLOG: i32 = 4096;
/// Maximum number of connections in one poll that fail before they are accepted; one more pauses accepting.
const MAX_ACCEPT_FAILURES: usize = 32;
/// Pause in accepting connections after `accept` failed.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Maximum time that a closing listener stays open until its queue is accepted. Connections that are still
/// queued then are reset.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

struct Listener {
    socket: Rc<TcpListener>,
    registration: RegistrationToken,
    state: ListenerState,
}

/// Whether a listener is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    Open,
    /// The listener is closed when its queue is empty, or at `until`.
    Closing {
        until: Instant,
    },
    /// The queue was empty while the listener was closing; it can be closed now.
    Drained,
}

/// The listeners, by token.
#[derive(Default)]
pub(crate) struct Listeners {
    open: BTreeMap<Token, Listener>,
    paused_until: Option<Instant>,
    /// Accepting has failed since the last accepted connection, and the first failure has been logged.
    is_failing: bool,
}

impl Listeners {
    pub(crate) fn listen(&mut self, addr: SocketAddr, reactor: &mut Reactor) -> io::Result<BoundSocket> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        // A requested port may be held by a `Reserved`, or have connections in TIME_WAIT; both need
        // `SO_REUSEADDR`. Without the option, the system chooses no port that a `Reserved` holds.
        let port_is_requested = addr.port() != 0;
        socket.set_reuse_address(port_is_requested)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let address = socket.local_addr()?;
        let token = reactor.next_token();
        let registration = reactor.register(Rc::clone(&socket), token, Interest::READ)?;
        self.open.insert(token, Listener { socket, registration, state: ListenerState::Open });
        Ok(BoundSocket { token, address })
    }

    /// Accepts the queued connections, then closes the listener: closing resets connections that were not
    /// accepted. If accepting fails, a later poll closes the listener.
    pub(crate) fn stop_listening(
        &mut self,
        token: Token,
        connections: &mut Connections,
        reactor: &mut Reactor,
    ) {
        let now = Instant::now();
        let Some(listener) = self.open.get_mut(&token) else { return };
        listener.state = ListenerState::Closing { until: now + CLOSE_TIMEOUT };
        let mut last_events = Vec::new();
        self.accept(token, now, connections, reactor, &mut last_events);
        reactor.deferred_events.append(&mut last_events);
        self.close_drained(now, reactor);
    }

    /// Closes the closing listeners whose queue is empty or whose [`CLOSE_TIMEOUT`] has elapsed.
    pub(crate) fn close_drained(&mut self, now: Instant, reactor: &mut Reactor) {
        let is_due = |listener: &Listener| match listener.state {
            ListenerState::Open => false,
            ListenerState::Closing { until } => until <= now,
            ListenerState::Drained => true,
        };
        let due: Vec<Token> =
            self.open.iter().filter(|(_, listener)| is_due(listener)).map(|(&token, _)| token).collect();
        for token in due {
            if let Some(listener) = self.open.remove(&token) {
                reactor.unregister(listener.registration);
            }
            reactor.pending_reads.remove(token);
        }
    }

    /// Returns the open listeners.
    pub(crate) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.open.keys().copied()
    }

    pub(crate) fn contains(&self, token: Token) -> bool {
        self.open.contains_key(&token)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Accepts the queued connections, at most [`ACCEPTS_PER_POLL`] of them.
    pub(crate) fn accept(
        &mut self,
        listener: Token,
        now: Instant,
        connections: &mut Connections,
        reactor: &mut Reactor,
        out: &mut Vec<Event>,
    ) {
        if self.is_paused(now) {
            reactor.pending_reads.insert(listener);
            return;
        }
        self.paused_until = None;
        let mut failures = 0;
        for _ in 0..ACCEPTS_PER_POLL {
            let Some(open) = self.open.get_mut(&listener) else { return };
            let error = match open.socket.accept() {
                Ok((stream, peer)) => {
                    self.is_failing = false;
                    insert_or_close(listener, stream, peer, connections, reactor, out);
                    continue;
                }
                Err(error) => error,
            };
            match classify_accept_error(&error) {
                AcceptError::Empty => {
                    if matches!(open.state, ListenerState::Closing { .. }) {
                        open.state = ListenerState::Drained;
                    }
                    return;
                }
                // This connection failed before it was accepted; the others are not affected.
                AcceptError::OneConnection if failures < MAX_ACCEPT_FAILURES => failures += 1,
                AcceptError::OneConnection | AcceptError::OutOfResources => {
                    self.pause(listener, &error, now, reactor);
                    return;
                }
            }
        }
        reactor.pending_reads.insert(listener);
    }

    /// Pauses accepting; the connections stay queued.
    fn pause(&mut self, listener: Token, error: &io::Error, now: Instant, reactor: &mut Reactor) {
        if !self.is_failing {
            tracing::warn!(%error, "accepting fails, connections wait; see the limits of this machine");
        }
        self.is_failing = true;
        self.paused_until = Some(now + ACCEPT_PAUSE);
        reactor.pending_reads.insert(listener);
    }
}

/// Adds an accepted connection, or closes it if it exceeds the maximum number or cannot be registered.
fn insert_or_close(
    listener: Token,
    stream: TcpStream,
    peer: SocketAddr,
    connections: &mut Connections,
    reactor: &mut Reactor,
    out: &mut Vec<Event>,
) {
    if connections.is_full(reactor) {
        tracing::debug!(%peer, "connection closed unread, the maximum number is reached");
        return;
    }
    let token = reactor.next_token();
    if let Err(error) = connections.insert_accepted(token, stream, reactor) {
        tracing::debug!(%peer, %error, "connection closed unread, it could not be prepared");
        return;
    }
    out.push(Event::Accepted { listener, token, peer });
    // The first request often arrives with the connection; reading it here reports it in the same poll.
    connections.read(token, reactor, out);
}
