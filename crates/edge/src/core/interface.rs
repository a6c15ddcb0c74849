//! The interface to the shell: the instructions that the core returns, and the options that it is started
//! with.

use super::{ClientId, PolicyFactory, UpstreamId};
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_courier_common::memory_budget::MemoryBudget;
use linnetcart_kafka::server::Broker;
use std::net::SocketAddr;

/// An instruction for the shell, which carries instructions out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ClientId, Bytes),
    /// Close a client's connection once the operating system has accepted everything written to it.
    CloseClient(ClientId),
    /// Close a client's connection at once, without sending what is still queued there: it takes too much memory.
    AbortClient(ClientId),
    /// Stop reading from a client until [`Output::ResumeClient`], because it is at one of its limits.
    PauseClient(ClientId),
    /// Read from a client again.
    ResumeClient(ClientId),
    /// Connect to an endpoint.
    Connect(UpstreamId, SocketAddr),
    /// Write to an endpoint.
    ToUpstream(UpstreamId, Bytes),
    /// Close a connection to an endpoint at once, without sending what is still queued there.
    CloseUpstream(UpstreamId),
}

/// What the core is started with, apart from the settings.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// The seed of the random numbers that the decision policy uses.
    pub seed: u64,
    /// The reading of the monotonic clock at the start, in nanoseconds.
    pub now: Time,
    /// The host and port at which clients reach this courier. The id is set from the settings.
    pub broker: Broker,
    /// A number unique to this process. It is part of the message ids that the process generates, so that no
    /// other process generates the same.
    pub run: u64,
    /// The number of the first message. Numbers are counted up from it.
    pub first_number: u32,
    /// The memory that each part of the courier may take.
    pub memory: MemoryBudget,
    /// Creates the decision policy. In production this is [`library`](super::library).
    pub policy: PolicyFactory,
}
