//! What the core asks of the shell, and what it is started with.

use super::{ClientId, PolicyFactory, UpstreamId};
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_kafka::server::Broker;
use std::net::SocketAddr;

/// An instruction for the shell. Instructions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ClientId, Bytes),
    /// Close a client's connection after everything written to it has been sent.
    CloseClient(ClientId),
    /// Stop reading from a client until it is resumed.
    PauseClient(ClientId),
    /// Read from a client again.
    ResumeClient(ClientId),
    /// Connect to an endpoint.
    Connect(UpstreamId, SocketAddr),
    /// Write to an endpoint.
    ToUpstream(UpstreamId, Bytes),
    /// Close a connection to an endpoint at once.
    CloseUpstream(UpstreamId),
}

/// What the core is started with, apart from the settings.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// The seed of the decisions' randomness.
    pub seed: u64,
    /// The monotonic clock, in nanoseconds.
    pub now: Time,
    /// Where clients reach this courier.
    pub broker: Broker,
    /// Distinguishes the message names that this process generates from those of other processes.
    pub run: u64,
    /// The number of the first message.
    pub first_number: u32,
    /// Makes the decision policy. In service this is [`library`](super::library).
    pub policy: PolicyFactory,
}
