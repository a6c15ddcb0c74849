//! Events that a poll reports to its caller.

use crate::{ConnectFailure, Token};
use bytes::Bytes;
use std::net::SocketAddr;

/// Something that happened to a socket or to the process.
#[derive(Debug)]
pub enum Event {
    /// A peer connected to one of the listeners.
    Accepted {
        /// The listener that the peer connected to.
        listener: Token,
        /// The new connection.
        token: Token,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// A connection started with [`Net::connect`](crate::Net::connect) is established.
    Connected(Token),
    /// A connection started with [`Net::connect`](crate::Net::connect) could not be established.
    ConnectFailed {
        /// The connection.
        token: Token,
        /// Whether this machine or the peer caused the failure.
        failure: ConnectFailure,
    },
    /// Bytes were received on a connection.
    Data {
        /// The connection.
        token: Token,
        /// The received bytes.
        bytes: Bytes,
        /// Bytes accepted by the operating system since the connection was established, before these were
        /// read.
        written: u64,
    },
    /// The peer closed its sending side; it may still read.
    HalfClosed(Token),
    /// An established connection was lost.
    Closed {
        /// The connection.
        token: Token,
        /// Bytes accepted by the operating system since the connection was established.
        written: u64,
    },
    /// A datagram was received.
    Datagram(Token, Bytes),
    /// A signal watched with [`Net::watch_signals`](crate::Net::watch_signals) was received; the value is its
    /// number.
    Signal(i32),
}
