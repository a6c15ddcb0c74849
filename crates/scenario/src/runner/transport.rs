//! What the runner needs of whoever carries the bytes and runs the couriers.

use linnetcart_conformance::Time;
use std::net::SocketAddr;

/// A connection, as the transport numbers them.
pub type Token = u64;

/// Why a transport could not do something; only the program that implements it knows the kinds of its errors.
pub type TransportError = Box<dyn std::error::Error + Send + Sync>;

/// Whoever carries the bytes and runs the couriers: sockets and processes, or virtual time.
pub trait Transport {
    /// A client connects to a courier.
    fn connect(&mut self, courier: u32) -> Token;
    /// Writes to a connection.
    fn send(&mut self, token: Token, bytes: &[u8]);
    /// Closes a connection; nothing of it is reported afterwards.
    fn close(&mut self, token: Token);
    /// Breaks a connection; nothing of it is reported afterwards.
    fn reset(&mut self, token: Token);
    /// Starts a courier. True if it has settings and endpoint list from its last incarnation.
    fn start(&mut self, courier: u32, incarnation: u32, first: bool) -> Result<bool, TransportError>;
    /// Kills a courier.
    fn kill(&mut self, courier: u32);
    /// Stops a courier from running.
    fn stall(&mut self, courier: u32);
    /// Lets a stalled courier run again.
    fn go_on(&mut self, courier: u32);
    /// Puts a document to a courier's control interface; the answer comes by
    /// [`ScenarioRunner::put_done`](super::ScenarioRunner::put_done).
    fn put(&mut self, courier: u32, incarnation: u32, path: &'static str, body: String);
    /// An endpoint listens, at the same address each time.
    fn open(&mut self, endpoint: u32) -> Result<(), TransportError>;
    /// An endpoint listens no more.
    fn shut(&mut self, endpoint: u32);
    /// Where an endpoint that was opened listens.
    fn address(&self, endpoint: u32) -> SocketAddr;
    /// The right time, in nanoseconds since 1970.
    fn wall(&self) -> Time;
    /// How long the bytes that came last on a connection were on their way; 0 where nobody knows.
    fn travelled(&self, _token: Token) -> Time {
        0
    }
    /// A fault of network or disk begins and holds until [`Transport::heal`] of the same number. Sockets cannot.
    fn fault(&mut self, _number: usize, _fault: InfrastructureFault) {}
    /// A fault ends.
    fn heal(&mut self, _number: usize) {}
}

/// A fault of network or disk.
#[derive(Clone, Debug, PartialEq)]
pub enum InfrastructureFault {
    /// Couriers are cut off.
    Partition {
        /// Which.
        couriers: Vec<u32>,
        /// From clients.
        clients: bool,
        /// From endpoints.
        endpoints: bool,
        /// Only what goes to them is held up.
        one_way: bool,
    },
    /// Connections of couriers break, now.
    Cut {
        /// Whose.
        couriers: Vec<u32>,
        /// The share of them.
        share: f64,
    },
    /// What couriers send and are sent takes longer.
    Slow {
        /// Which.
        couriers: Vec<u32>,
        /// By so much each way.
        by: Time,
    },
    /// The snapshot of a courier that is down is cut.
    Damage {
        /// Whose.
        courier: u32,
        /// The share that is left.
        left: f64,
    },
}
