//! Calls and connections as they arrive, and what the caller of the simulator is to do with them.

use linnetcart_conformance::Time;

/// A message in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The message.
    pub message: u64,
    /// The class of the message.
    pub class: u8,
}

/// The courier that makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// The courier.
    pub courier: u32,
    /// The incarnation of the courier.
    pub incarnation: u32,
}

/// A call that arrives at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingCall<'a> {
    /// The courier that makes the call.
    pub caller: Caller,
    /// Travel time of the call; 0 if it is not known.
    pub travelled: Time,
    /// The endpoint that the call reached.
    pub endpoint: u32,
    /// The messages of the call.
    pub items: &'a [CallItem],
}

/// A call that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    /// The number that the simulator assigned to the call.
    pub call: u64,
    /// What is to be done with the call now.
    pub step: CallStep,
}

/// How a message of a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus {
    /// The message was served.
    Served,
    /// The message was rejected without being processed.
    Rejected,
    /// The message failed with an error.
    Error,
}

/// The load that an endpoint reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// The fraction of the limit that is left.
    pub capacity_left: f64,
    /// The limit, in calls per second.
    pub rate_limit: f64,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The status of each message of the call, in order.
    pub statuses: Vec<ItemStatus>,
    /// The Retry-After; 0 if none is given.
    pub retry_after: Time,
    /// The load, if the endpoint reports it.
    pub load: Option<ReportedLoad>,
}

/// What is to be done with a call now.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Send this answer.
    Answer(Reply),
    /// Call [`EndpointSimulator::finish_call`](crate::EndpointSimulator::finish_call) at this time.
    FinishAt(Time),
    /// Never answer the call.
    Silent,
    /// Break the connection of the call.
    Break,
}

/// How an endpoint reacts to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The endpoint accepts the connection.
    Accepted {
        /// Delay until the connection is accepted.
        after: Time,
    },
    /// The endpoint closes the connection at once.
    Refused,
    /// The endpoint does not answer.
    Unanswered,
}
