//! The interface between the runner and the environment, which carries the bytes and runs the couriers.

use linnetcart_conformance::Time;
use std::net::SocketAddr;

/// The number of a connection, assigned by the transport.
pub type Token = u64;

/// The reason why a transport operation failed, as an error of the implementation.
pub type TransportError = Box<dyn std::error::Error + Send + Sync>;

/// Carries the bytes and runs the couriers: with sockets and processes, or in virtual time.
pub trait Transport {
    /// Opens a connection from a client to a courier.
    fn connect(&mut self, courier: u32) -> Token;
    /// Sends bytes on a connection.
    fn send(&mut self, token: Token, bytes: &[u8]);
    /// Closes a connection gracefully. The transport reports no event of it afterwards.
    fn close(&mut self, token: Token);
    /// Resets a connection (on sockets, by a TCP RST). The transport reports no event of it afterwards.
    fn reset(&mut self, token: Token);
    /// Starts a courier. Incarnation 0 is its first start, for which stored state of earlier runs is removed.
    fn start(&mut self, courier: u32, incarnation: u32) -> Result<StoredState, TransportError>;
    /// Kills a courier process without a graceful shutdown.
    fn kill(&mut self, courier: u32);
    /// Suspends a courier process.
    fn stall(&mut self, courier: u32);
    /// Resumes a suspended courier process.
    fn resume(&mut self, courier: u32);
    /// Sends a document to a courier's control interface by HTTP PUT. The courier's answer is passed to
    /// [`ScenarioRunner::put_done`](super::ScenarioRunner::put_done).
    fn put(&mut self, courier: u32, incarnation: u32, path: &'static str, body: String);
    /// Starts to listen for connections to an endpoint, at the same address each time.
    fn open(&mut self, endpoint: u32) -> Result<(), TransportError>;
    /// Stops listening for connections to an endpoint.
    fn shut(&mut self, endpoint: u32);
    /// Returns the address of an endpoint that was opened.
    fn address(&self, endpoint: u32) -> SocketAddr;
    /// Returns the true wall-clock time, in nanoseconds since 1970.
    fn wall(&self) -> Time;
    /// Returns the network delay of the bytes that arrived last on a connection, in nanoseconds; 0 if it is
    /// not known.
    fn travelled(&self, _token: Token) -> Time {
        0
    }
    /// Injects a fault of network or disk; `number` is its position in the scenario. A fault that lasts ends
    /// when [`Transport::heal`] is called with this number. A transport that cannot inject faults does
    /// nothing.
    fn fault(&mut self, _number: usize, _fault: InfrastructureFault) {}
    /// Ends the fault of this number.
    fn heal(&mut self, _number: usize) {}
}

/// Whether a started courier has the settings and the endpoint list of an earlier incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The courier recovered its settings and the endpoint list from its disk.
    Recovered,
    /// The courier has neither settings nor an endpoint list.
    Missing,
}

/// A fault of network or disk.
#[derive(Clone, Debug, PartialEq)]
pub enum InfrastructureFault {
    /// Couriers are cut off: data is held back until the fault ends.
    Partition {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// Whether the couriers are cut off from clients.
        clients: bool,
        /// Whether the couriers are cut off from endpoints.
        endpoints: bool,
        /// Whether data is held back only in the direction to the couriers.
        one_way: bool,
    },
    /// Connections of couriers break once, when the fault begins.
    Cut {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// Probability with which each connection of these couriers breaks, independently.
        share: f64,
    },
    /// Data from and to couriers takes longer.
    Slow {
        /// The affected couriers.
        couriers: Vec<u32>,
        /// Additional one-way delay, in nanoseconds.
        by: Time,
    },
    /// The snapshot of a killed courier is truncated.
    Damage {
        /// The affected courier.
        courier: u32,
        /// The fraction of the snapshot that remains.
        left: f64,
    },
}
