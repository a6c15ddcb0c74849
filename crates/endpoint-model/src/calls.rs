//! Calls and connections as they come in, and what is to be done with them.

use linnetcart_conformance::Time;

/// A message in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallItem {
    /// The message.
    pub message: u64,
    /// Its class.
    pub class: u8,
}

/// The courier that calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// The courier.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
}

/// A call that arrives at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingCall<'a> {
    /// The courier that calls.
    pub caller: Caller,
    /// How long the call was on its way, 0 where that is not known.
    pub travelled: Time,
    /// The endpoint that it reached.
    pub endpoint: u32,
    /// Its messages.
    pub items: &'a [CallItem],
}

/// A call that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    /// The number that it was given.
    pub call: u64,
    /// What is to be done with it now.
    pub step: CallStep,
}

/// How a message of a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemStatus {
    /// Served.
    Served,
    /// Rejected unseen.
    Rejected,
    /// An error.
    Error,
}

/// What an endpoint reports of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Share of the limit that is left.
    pub capacity_left: f64,
    /// The limit, in calls a second.
    pub rate_limit: f64,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// For each message.
    pub statuses: Vec<ItemStatus>,
    /// The Retry-After, 0 for none.
    pub retry_after: Time,
    /// Load, if it is reported.
    pub load: Option<ReportedLoad>,
}

/// What is to be done with a call now.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStep {
    /// Answer it.
    Answer(Reply),
    /// Call [`EndpointSimulator::finish_call`](crate::EndpointSimulator::finish_call) at this time.
    FinishAt(Time),
    /// Never answer it.
    Silent,
    /// Break its connection.
    Break,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It is accepted.
    Accepted {
        /// How long that takes.
        after: Time,
    },
    /// It is closed at once.
    Refused,
    /// Nobody answers.
    Unanswered,
}
