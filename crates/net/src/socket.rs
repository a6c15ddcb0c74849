//! The result of binding a socket.

use crate::Token;
use std::net::SocketAddr;

/// A listener or datagram socket and the address that it is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSocket {
    /// The listener or datagram socket.
    pub token: Token,
    /// The socket's local address, with the port that the system chose if port 0 was requested.
    pub address: SocketAddr,
}
