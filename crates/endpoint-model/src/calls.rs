//! Calls and connections as they arrive, and the actions that the simulator returns for them.

use linnetcart_conformance::Time;

/// One message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The id of the message.
    pub message: u64,
    /// The class number of the message.
    pub class: u8,
}

/// The courier that makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// The number of the courier.
    pub courier: u32,
    /// How many times the courier had been killed before it made the call.
    pub incarnation: u32,
}

/// A call of a courier on its arrival at an endpoint: the input of
/// [`EndpointSimulator::receive_call`](crate::EndpointSimulator::receive_call).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingCall<'a> {
    /// The courier that makes the call.
    pub caller: Caller,
    /// One-way network delay from the courier to the endpoint, in nanoseconds; 0 if it is not known.
    pub travelled: Time,
    /// The number of the endpoint that the call reached.
    pub endpoint: u32,
    /// The messages of the call.
    pub items: &'a [CallItem],
}

/// The simulator's decision about a call that arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    /// The number that the simulator assigned to the call.
    pub call: u64,
    /// What the owner of the simulator does with the call now.
    pub step: CallStep,
}

/// The status of one message in the answer to a call.
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
    /// The fraction of the quota that is left: 0 to 1.
    pub capacity_left: f64,
    /// The rate that the limit admits, in calls per second.
    pub rate_limit: f64,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The status of each message of the call, in order.
    pub statuses: Vec<ItemStatus>,
    /// The Retry-After in nanoseconds; 0 if the answer carries none.
    pub retry_after: Time,
    /// The load that the endpoint reports; `None` if destinations of its kind report no load.
    pub load: Option<ReportedLoad>,
}

/// What the owner of the simulator does with a call now.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Send this answer.
    Answer(Reply),
    /// Call [`EndpointSimulator::finish_call`](crate::EndpointSimulator::finish_call) at this time, in
    /// nanoseconds on the clock of the run.
    FinishAt(Time),
    /// Never answer the call.
    Silent,
    /// Reset the connection of the call.
    Break,
}

/// How an endpoint reacts to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The endpoint accepts the connection.
    Accepted {
        /// Delay until the connection is accepted, in nanoseconds.
        after: Time,
    },
    /// The endpoint closes the connection at once.
    Refused,
    /// The endpoint does not answer.
    Unanswered,
}
