//! What happened since the last decision cycle.

use super::Time;

/// State of an endpoint in the endpoint list; it says nothing about health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Out of the list.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Gone"))]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Endpoint {
    /// Its number.
    pub id: u32,
    /// The destination that it belongs to.
    pub destination: u32,
    /// The destination's kind.
    pub kind: u8,
    /// The zone that it stands in.
    pub zone: u8,
    /// Calls a second, as [`Settings::rate_accuracy`](super::Settings::rate_accuracy) says.
    pub rate: f64,
    /// Its state.
    #[cfg_attr(feature = "serde", serde(rename = "listing"))]
    pub status: EndpointStatus,
}

/// A message that a client submitted and the courier accepted.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AcceptedMessage {
    /// Its number, never used twice.
    pub id: u32,
    /// Where it goes.
    pub destination: u32,
    /// Its class.
    pub class: u8,
    /// How long it may still be served.
    #[cfg_attr(feature = "serde", serde(rename = "time_left"))]
    pub time_remaining: Time,
    /// Its ordering key, 0 for none.
    #[cfg_attr(feature = "serde", serde(rename = "key"))]
    pub ordering_key: u64,
    /// Its tenant.
    pub tenant: u32,
}

/// An attempt of an earlier process of this courier that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UnresolvedAttempt {
    /// Its number, counted from 0.
    pub attempt: u16,
    /// The zone of its endpoint.
    pub zone: u8,
    /// How long ago it was sent.
    #[cfg_attr(feature = "serde", serde(rename = "ago"))]
    pub age: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// Answered with an error; it may have been executed.
    Error,
    /// Rejected unexecuted.
    #[cfg_attr(feature = "serde", serde(rename = "Full"))]
    Rejected {
        /// Nothing may be sent for so long; 0: not said.
        #[cfg_attr(feature = "serde", serde(rename = "wait"))]
        retry_after: Time,
    },
    /// No answer in time; it may have been executed.
    TimedOut,
    /// No connection; it was not executed.
    NoConnection,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled by the courier; it may have been executed.
    Cancelled,
    /// Not sent.
    NotSent {
        /// Because the courier has no capacity for another call.
        #[cfg_attr(feature = "serde", serde(rename = "no_slot"))]
        no_capacity: bool,
    },
}

impl AttemptOutcome {
    /// The endpoint has not executed the message, and never will.
    pub fn not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. } | AttemptOutcome::NoConnection | AttemptOutcome::NotSent { .. }
        )
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// The message.
    pub message: u32,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// Where it went.
    pub endpoint: u32,
    /// How it ended.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// How long it took.
    #[cfg_attr(feature = "serde", serde(rename = "took"))]
    pub elapsed: Time,
    /// The message has its final answer.
    #[cfg_attr(feature = "serde", serde(rename = "over"))]
    pub completed: bool,
    /// Part of the limit that is left, if the answer reported it.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub capacity_left: Option<f64>,
    /// The limit in calls a second, if the answer reported it; 0 for none.
    #[cfg_attr(feature = "serde", serde(rename = "limit"))]
    pub rate_limit: Option<f64>,
}

/// The end of a health check.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HealthCheckResult {
    /// The endpoint.
    pub endpoint: u32,
    /// How it ended.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// How long it took.
    #[cfg_attr(feature = "serde", serde(rename = "took"))]
    pub elapsed: Time,
    /// Part of the limit that is left, if the answer reported it.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub capacity_left: Option<f64>,
    /// The limit in calls a second, if the answer reported it; 0 for none.
    #[cfg_attr(feature = "serde", serde(rename = "limit"))]
    pub rate_limit: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// An update of the endpoint list.
    #[cfg_attr(feature = "serde", serde(rename = "List"))]
    EndpointList {
        /// The entries are the complete list.
        #[cfg_attr(feature = "serde", serde(rename = "whole"))]
        complete: bool,
        /// Entries, or changed ones.
        entries: Vec<Endpoint>,
    },
    /// Polling the list failed, or the watch broke.
    #[cfg_attr(feature = "serde", serde(rename = "ListFailed"))]
    EndpointListFailed,
    /// A message was submitted and accepted.
    #[cfg_attr(feature = "serde", serde(rename = "Taken"))]
    Accepted(AcceptedMessage),
    /// A message that an earlier process of this courier accepted and did not finish. To be reported in the order
    /// of acceptance, before any [`Event::Accepted`].
    #[cfg_attr(feature = "serde", serde(rename = "Resumed"))]
    Recovered {
        /// The message; its number is not used again for another.
        #[cfg_attr(feature = "serde", serde(rename = "taken"))]
        message: AcceptedMessage,
        /// Attempts that it has had.
        attempts: u16,
        /// Those of them that may have been executed.
        #[cfg_attr(feature = "serde", serde(rename = "open"))]
        unresolved: Vec<UnresolvedAttempt>,
    },
    /// The client has gone and cancelled its message.
    #[cfg_attr(feature = "serde", serde(rename = "Withdrawn"))]
    ClientCancelled {
        /// Its message.
        message: u32,
    },
    /// An attempt ended. Reported again for one that had ended before, it counts for its limit alone: a late answer
    /// that rejects the call with a Retry-After.
    #[cfg_attr(feature = "serde", serde(rename = "Ended"))]
    AttemptFinished(AttemptResult),
    /// A health check ended.
    #[cfg_attr(feature = "serde", serde(rename = "Probed"))]
    HealthChecked(HealthCheckResult),
    /// Gossip from another courier.
    #[cfg_attr(feature = "serde", serde(rename = "Note"))]
    Gossip {
        /// Its number.
        from: u32,
        /// What it wrote.
        body: Vec<u8>,
    },
    /// A wake-up, perhaps an old one.
    #[cfg_attr(feature = "serde", serde(rename = "Woken"))]
    WokenUp,
}
