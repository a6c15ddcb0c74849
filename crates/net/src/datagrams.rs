//! UDP sockets.
//!
//! This module owns the sockets. A datagram that the system does not accept is neither retried nor queued.

use crate::reactor::Reactor;
use crate::{BoundSocket, Event, Token};
use bytes::Bytes;
use calloop::{Interest, RegistrationToken};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Maximum number of datagrams received from one socket in one poll. The others stay in the system's receive
/// buffer until the next poll, or are dropped when it is full.
const DATAGRAMS_PER_POLL: usize = 64;

struct DatagramSocket {
    socket: Rc<UdpSocket>,
    registration: RegistrationToken,
}

/// The datagram sockets, by token.
#[derive(Default)]
pub(crate) struct DatagramSockets {
    open: BTreeMap<Token, DatagramSocket>,
}

impl DatagramSockets {
    pub(crate) fn bind(&mut self, addr: SocketAddr, reactor: &mut Reactor) -> io::Result<BoundSocket> {
        let socket = Rc::new(UdpSocket::bind(addr)?);
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let token = reactor.next_token();
        let registration = reactor.register(Rc::clone(&socket), token, Interest::READ)?;
        self.open.insert(token, DatagramSocket { socket, registration });
        Ok(BoundSocket { token, address })
    }

    pub(crate) fn contains(&self, token: Token) -> bool {
        self.open.contains_key(&token)
    }

    /// Returns the open sockets.
    pub(crate) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.open.keys().copied()
    }

    /// Sends one datagram; returns false if the socket is closed or the system did not accept the datagram.
    pub(crate) fn send_to(&self, token: Token, addr: SocketAddr, bytes: &[u8]) -> bool {
        let Some(open) = self.open.get(&token) else { return false };
        open.socket.send_to(bytes, addr).is_ok()
    }

    pub(crate) fn close(&mut self, token: Token, reactor: &Reactor) {
        if let Some(closed) = self.open.remove(&token) {
            reactor.unregister(closed.registration);
        }
    }

    /// Receives the available datagrams, at most [`DATAGRAMS_PER_POLL`] of them.
    pub(crate) fn receive(&self, token: Token, reactor: &mut Reactor, out: &mut Vec<Event>) {
        let Some(open) = self.open.get(&token) else { return };
        for _ in 0..DATAGRAMS_PER_POLL {
            match open.socket.recv(&mut reactor.read_buffer) {
                Ok(count) => {
                    let bytes = Bytes::copy_from_slice(&reactor.read_buffer[..count]);
                    out.push(Event::Datagram(token, bytes));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The error may concern an earlier datagram that was sent and not delivered (ICMP); `recv`
                // clears it, and receiving continues.
                Err(_) => {}
            }
        }
        reactor.pending_reads.insert(token);
    }
}
