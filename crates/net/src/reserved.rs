//! Reservation of a local TCP port for later use by a listener.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// A bound TCP socket on which `listen` was not called. While this value exists, the system assigns the port
/// to no other socket that asks for any free port.
///
/// Connections to the port are refused until [`Net::listen`](crate::Net::listen) is called with the address,
/// and again after [`Net::stop_listening`](crate::Net::stop_listening).
#[derive(Debug)]
pub struct Reserved {
    _socket: Socket,
    addr: SocketAddr,
}

impl Reserved {
    /// Reserves a free TCP port, chosen by the system, on the local address `ip`.
    pub fn new(ip: IpAddr) -> io::Result<Reserved> {
        let any_port = SocketAddr::new(ip, 0);
        let socket = Socket::new(Domain::for_address(any_port), Type::STREAM, Some(Protocol::TCP))?;
        socket.bind(&any_port.into())?;
        // `SO_REUSEADDR`, set after the bind, lets a later socket that also sets it bind to the same port.
        socket.set_reuse_address(true)?;
        let local_address = socket.local_addr()?;
        let addr = local_address
            .as_socket()
            .ok_or_else(|| io::Error::other("a bound TCP socket has no IP address"))?;
        Ok(Reserved { _socket: socket, addr })
    }

    /// Returns the local IP address and the reserved port, for [`Net::listen`](crate::Net::listen).
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
