//! Listening TCP sockets.
//!
//! This module owns the listeners, and the pause in accepting after the process ran out of file descriptors.
//! Accepted connections belong to [`Connections`].

use crate::connections::Connections;
use crate::reactor::Reactor;
use crate::{BoundSocket, Event, Token};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of connections accepted from one listener in one poll; the others wait for the next poll.
const ACCEPTS_PER_POLL: usize = 256;
/// Maximum number of established connections that the system queues until they are accepted.
const LISTEN_BACKLOG: i32 = 4096;
/// Pause in accepting connections after the process ran out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// `EMFILE` and `ENFILE` of the system's headers; the same on every Linux that calloop runs on.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

struct Listener {
    socket: Rc<TcpListener>,
    registration: RegistrationToken,
}

/// The listeners, by token.
#[derive(Default)]
pub(crate) struct Listeners {
    open: BTreeMap<Token, Listener>,
    paused_until: Option<Instant>,
}

impl Listeners {
    pub(crate) fn listen(&mut self, addr: SocketAddr, reactor: &mut Reactor) -> io::Result<BoundSocket> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        // A port chosen by the system must not be a reserved one; a requested port may be reserved, or may
        // have been in use until recently.
        let port_is_requested = addr.port() != 0;
        socket.set_reuse_address(port_is_requested)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let address = socket.local_addr()?;
        let token = reactor.next_token();
        let registration = reactor.register(Rc::clone(&socket), token, Interest::READ)?;
        self.open.insert(token, Listener { socket, registration });
        Ok(BoundSocket { token, address })
    }

    /// Accepts the queued connections, then closes the listener: closing resets connections that were not
    /// accepted.
    pub(crate) fn stop_listening(
        &mut self,
        token: Token,
        connections: &mut Connections,
        reactor: &mut Reactor,
    ) {
        let mut last_events = Vec::new();
        self.accept(token, Instant::now(), connections, reactor, &mut last_events);
        reactor.deferred_events.append(&mut last_events);
        if let Some(listener) = self.open.remove(&token) {
            reactor.unregister(listener.registration);
        }
        reactor.pending_reads.remove(&token);
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
        for _ in 0..ACCEPTS_PER_POLL {
            let Some(open) = self.open.get(&listener) else { return };
            match open.socket.accept() {
                Ok((stream, peer)) => admit(listener, stream, peer, connections, reactor, out),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_out_of_file_descriptors(&error) => {
                    tracing::warn!("out of file descriptors: connections wait; raise the limit (ulimit -n)");
                    self.paused_until = Some(now + ACCEPT_PAUSE);
                    reactor.pending_reads.insert(listener);
                    return;
                }
                // This connection failed before it was accepted; the others are not affected.
                Err(_) => {}
            }
        }
        reactor.pending_reads.insert(listener);
    }
}

/// Adds an accepted connection, or closes it if the maximum number of connections is reached.
fn admit(
    listener: Token,
    stream: TcpStream,
    peer: SocketAddr,
    connections: &mut Connections,
    reactor: &mut Reactor,
    out: &mut Vec<Event>,
) {
    if connections.is_full() {
        drop(stream);
        return;
    }
    let token = reactor.next_token();
    if connections.insert_accepted(token, stream, reactor).is_err() {
        return;
    }
    out.push(Event::Accepted { listener, token, peer });
    // The first request often arrives with the connection; reading it here reports it in the same poll.
    connections.read(token, reactor, out);
}

fn is_out_of_file_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}
