//! UDP sockets.
//!
//! Owns the sockets. It never repeats a datagram and never queues one.

use crate::reactor::Reactor;
use crate::{Event, Token};
use bytes::Bytes;
use calloop::{Interest, RegistrationToken};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams received from one socket in one poll; the rest waits for the next poll, or is dropped by the
/// system.
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
    pub(crate) fn bind(
        &mut self,
        addr: SocketAddr,
        reactor: &mut Reactor,
    ) -> io::Result<(Token, SocketAddr)> {
        let socket = Rc::new(UdpSocket::bind(addr)?);
        socket.set_nonblocking(true)?;
        let local_address = socket.local_addr()?;
        let token = reactor.next_token();
        let registration = reactor.register(Rc::clone(&socket), token, Interest::READ)?;
        self.open.insert(token, DatagramSocket { socket, registration });
        Ok((token, local_address))
    }

    pub(crate) fn contains(&self, token: Token) -> bool {
        self.open.contains_key(&token)
    }

    /// Sends one datagram; false if the system does not take it now.
    pub(crate) fn send_to(&self, token: Token, addr: SocketAddr, bytes: &[u8]) -> bool {
        let Some(open) = self.open.get(&token) else { return false };
        open.socket.send_to(bytes, addr).is_ok()
    }

    pub(crate) fn close(&mut self, token: Token, reactor: &Reactor) {
        if let Some(closed) = self.open.remove(&token) {
            reactor.unregister(closed.registration);
        }
    }

    /// Receives the datagrams that wait, up to the bound of one poll.
    pub(crate) fn receive(&self, token: Token, reactor: &mut Reactor, out: &mut Vec<Event>) {
        let Some(open) = self.open.get(&token) else { return };
        for _ in 0..DATAGRAMS_PER_POLL {
            match open.socket.recv(&mut reactor.read_buffer) {
                Ok(count) => {
                    let bytes = Bytes::copy_from_slice(&reactor.read_buffer[..count]);
                    out.push(Event::Datagram(token, bytes));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram of ours did not reach its receiver; that says nothing of what comes in.
                Err(_) => {}
            }
        }
        reactor.pending_reads.insert(token);
    }
}
