//! The interface between the runner and the environment that carries the bytes and runs the couriers.

use linnetcart_conformance::Time;
use std::net::SocketAddr;

/// The number of a connection, assigned by the transport.
pub type Token = u64;

/// The reason why a transport operation failed. Its type is known only to the implementation.
pub type TransportError = Box<dyn std::error::Error + Send + Sync>;

/// Carries the bytes and runs the couriers: with sockets and processes, or in virtual time.
pub trait Transport {
    /// Opens a connection from a client to a courier.
    fn connect(&mut self, courier: u32) -> Token;
    /// Sends bytes on a connection.
    fn send(&mut self, token: Token, bytes: &[u8]);
    /// Closes a connection in order. No event of it is reported afterwards.
    fn close(&mut self, token: Token);
    /// Resets a connection. No event of it is reported afterwards.
    fn reset(&mut self, token: Token);
    /// Starts a courier. Incarnation 0 is its first start, for which any state of earlier runs is removed.
    fn start(&mut self, courier: u32, incarnation: u32) -> Result<StoredState, TransportError>;
    /// Kills a courier.
    fn kill(&mut self, courier: u32);
    /// Suspends a courier.
    fn stall(&mut self, courier: u32);
    /// Resumes a suspended courier.
    fn resume(&mut self, courier: u32);
    /// Puts a document to a courier's control interface. The answer is reported by
    /// [`ScenarioRunner::put_done`](super::ScenarioRunner::put_done).
    fn put(&mut self, courier: u32, incarnation: u32, path: &'static str, body: String);
    /// Starts to listen for an endpoint, at the same address each time.
    fn open(&mut self, endpoint: u32) -> Result<(), TransportError>;
    /// Stops listening for an endpoint.
    fn shut(&mut self, endpoint: u32);
    /// Returns the address of an endpoint that was opened.
    fn address(&self, endpoint: u32) -> SocketAddr;
    /// Returns the true wall-clock time, in nanoseconds since 1970.
    fn wall(&self) -> Time;
    /// Returns the travel time of the bytes that arrived last on a connection, in nanoseconds; 0 if it is not
    /// known.
    fn travelled(&self, _token: Token) -> Time {
        0
    }
    /// Begins a fault of network or disk, which lasts until [`Transport::heal`] with the same number. A
    /// transport that cannot inject faults does nothing.
    fn fault(&mut self, _number: usize, _fault: InfrastructureFault) {}
    /// Ends the fault of this number.
    fn heal(&mut self, _number: usize) {}
}

/// Whether a started courier has the settings and the endpoint list of an earlier incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The courier recovered them from its disk.
    Recovered,
    /// The courier has neither.
    Missing,
}

/// A fault of network or disk.
#[derive(Clone, Debug, PartialEq)]
pub enum InfrastructureFault {
    /// Couriers are cut off.
    Partition {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// Whether they are cut off from clients.
        clients: bool,
        /// Whether they are cut off from endpoints.
        endpoints: bool,
        /// Whether only the direction to the couriers is delayed.
        one_way: bool,
    },
    /// Connections of couriers break once, when the fault begins.
    Cut {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// The fraction of their connections that breaks.
        share: f64,
    },
    /// Bytes from and to couriers take longer.
    Slow {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// Additional one-way delay.
        by: Time,
    },
    /// The snapshot of a stopped courier is truncated.
    Damage {
        /// The affected courier.
        courier: u32,
        /// The fraction of the snapshot that remains.
        left: f64,
    },
}
