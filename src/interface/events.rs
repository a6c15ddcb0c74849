//! The events that a decision cycle is given.

use super::Time;

/// Status that the endpoint list states for an endpoint. The health that the dispatcher infers from outcomes
/// does not change it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// In graceful shutdown: the endpoint finishes the calls in flight and accepts no new ones.
    Draining,
    /// No longer in the list.
    #[default]
    #[cfg_attr(feature = "serde", serde(rename = "Gone"))]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Endpoint {
    /// Number of the endpoint, unique among the endpoints of all destinations.
    pub id: u32,
    /// Number of the destination that the endpoint belongs to.
    pub destination: u32,
    /// The destination's kind, an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: u8,
    /// Number of the zone that the endpoint is in.
    pub zone: u8,
    /// Rate limit in calls a second for all couriers together, with the accuracy that
    /// [`Settings::rate_accuracy`](super::Settings::rate_accuracy) states; 0 for none.
    pub rate: f64,
    /// Whether the endpoint is in service, draining or removed, according to the list.
    #[cfg_attr(feature = "serde", serde(rename = "listing"))]
    pub status: EndpointStatus,
}

/// A message that a client submitted and the courier accepted.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AcceptedMessage {
    /// Number of the message. No two messages in flight have the same number.
    pub id: u32,
    /// Number of the destination that the message is to be delivered to.
    pub destination: u32,
    /// Class of the message, an index into [`Settings::classes`](super::Settings::classes).
    pub class: u8,
    /// Time from the clock time of the decision cycle to the message's deadline, in nanoseconds.
    #[cfg_attr(feature = "serde", serde(rename = "time_left"))]
    pub time_remaining: Time,
    /// Ordering key of the message, 0 for none. Ignored if the class of the message is not ordered.
    #[cfg_attr(feature = "serde", serde(rename = "key"))]
    pub ordering_key: u64,
    /// Tenant of the message, an index into [`Settings::tenant_quotas`](super::Settings::tenant_quotas).
    pub tenant: u32,
}

/// An attempt that an earlier process of this courier made and that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct UnresolvedAttempt {
    /// Number of the attempt, counted from 0 for each message.
    pub attempt: u16,
    /// Number of the zone of the endpoint that the attempt was sent to.
    pub zone: u8,
    /// Time from sending the attempt to the clock time of the decision cycle, in nanoseconds.
    #[cfg_attr(feature = "serde", serde(rename = "ago"))]
    pub age: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// The endpoint executed the message and confirmed it.
    Served,
    /// The endpoint answered with an error; the message may have been executed.
    Error,
    /// The endpoint rejected the message without executing it.
    #[cfg_attr(feature = "serde", serde(rename = "Full"))]
    Rejected {
        /// Retry-After: nanoseconds for which no further call may be made under the limit that rejected this
        /// one; 0 for none.
        #[cfg_attr(feature = "serde", serde(rename = "wait"))]
        retry_after: Time,
    },
    /// No answer came in time; the message may have been executed.
    TimedOut,
    /// No connection could be made; the message was not executed.
    NoConnection,
    /// The connection broke; the message may have been executed.
    Reset,
    /// The courier cancelled the attempt; the message may have been executed.
    Cancelled,
    /// The attempt was not executed: the courier did not send it, or the endpoint reported so.
    NotSent {
        /// Whether the reason was a lack of capacity for another call, at the courier or as reported by the
        /// endpoint; false for any other reason.
        #[cfg_attr(feature = "serde", serde(rename = "no_slot"))]
        no_capacity: bool,
    },
    /// The courier's own machine failed before anything was sent, for example for lack of file descriptors.
    /// The message was not executed, and the outcome says nothing about the endpoint.
    LocalFault,
}

impl AttemptOutcome {
    /// Whether it is certain that the endpoint has not executed the message and never will.
    pub fn not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected { .. }
                | AttemptOutcome::NoConnection
                | AttemptOutcome::NotSent { .. }
                | AttemptOutcome::LocalFault
        )
    }

    /// Whether the outcome applies to the whole call. A call with several messages is served, rejected or
    /// lost as a whole; the courier withholds or cancels single attempts, and local faults concern single
    /// attempts.
    pub fn applies_to_call(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Cancelled | AttemptOutcome::LocalFault
        )
    }
}

/// The result of one attempt.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// Number of the message.
    pub message: u32,
    /// Number of the attempt, counted from 0 for each message.
    pub attempt: u16,
    /// Number of the endpoint that the attempt was sent to.
    pub endpoint: u32,
    /// How the attempt ended.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// Time from sending to the outcome, in nanoseconds.
    #[cfg_attr(feature = "serde", serde(rename = "took"))]
    pub elapsed: Time,
    /// Whether the message has its final answer, from this or another attempt.
    #[cfg_attr(feature = "serde", serde(rename = "over"))]
    pub completed: bool,
    /// Unused fraction of the limit, 0 to 1; `None` if the answer did not report it.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub capacity_left: Option<f64>,
    /// Rate limit in calls a second over all couriers, 0 for no limit; `None` if the answer did not report
    /// it.
    #[cfg_attr(feature = "serde", serde(rename = "limit"))]
    pub rate_limit: Option<f64>,
}

/// The result of a health check.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct HealthCheckResult {
    /// Number of the endpoint that was checked.
    pub endpoint: u32,
    /// How the health check ended.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// Time from sending to the outcome, in nanoseconds.
    #[cfg_attr(feature = "serde", serde(rename = "took"))]
    pub elapsed: Time,
    /// Unused fraction of the limit, 0 to 1; `None` if the answer did not report it.
    #[cfg_attr(feature = "serde", serde(rename = "left"))]
    pub capacity_left: Option<f64>,
    /// Rate limit in calls a second over all couriers, 0 for no limit; `None` if the answer did not report
    /// it.
    #[cfg_attr(feature = "serde", serde(rename = "limit"))]
    pub rate_limit: Option<f64>,
}

/// Something that happened since the last decision cycle.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// An update of the endpoint list.
    #[cfg_attr(feature = "serde", serde(rename = "List"))]
    EndpointList {
        /// Whether `entries` is the complete list, and not only the entries that changed.
        #[cfg_attr(feature = "serde", serde(rename = "whole"))]
        complete: bool,
        /// All entries of a complete list, or else the entries that changed.
        entries: Vec<Endpoint>,
    },
    /// A poll of the endpoint list failed, or the watch of the list ended.
    #[cfg_attr(feature = "serde", serde(rename = "ListFailed"))]
    EndpointListFailed,
    /// A message was submitted and accepted.
    #[cfg_attr(feature = "serde", serde(rename = "Taken"))]
    Accepted(AcceptedMessage),
    /// A message that an earlier process of this courier accepted and did not finish. Such messages are to be
    /// reported in the order of acceptance, before any [`Event::Accepted`].
    #[cfg_attr(feature = "serde", serde(rename = "Resumed"))]
    Recovered {
        /// The message. While it is in flight, no other message has its number.
        #[cfg_attr(feature = "serde", serde(rename = "taken"))]
        message: AcceptedMessage,
        /// Number of attempts that earlier processes made for the message.
        attempts: u16,
        /// The attempts of earlier processes that may have been executed.
        #[cfg_attr(feature = "serde", serde(rename = "open"))]
        unresolved: Vec<UnresolvedAttempt>,
    },
    /// The client cancelled the message, or disconnected.
    #[cfg_attr(feature = "serde", serde(rename = "Withdrawn"))]
    ClientCancelled {
        /// Number of the message.
        message: u32,
    },
    /// An attempt ended. A second result of the same attempt, such as a late answer with a Retry-After, is
    /// used only for the reported limit, the Retry-After and the choice of endpoints.
    #[cfg_attr(feature = "serde", serde(rename = "Ended"))]
    AttemptFinished(AttemptResult),
    /// The courier can record attempts from now on, or no longer can. While it cannot, no attempt is made
    /// that needs a record ([`Class::attempt_needs_record`](super::Class::attempt_needs_record)).
    RecordingChanged {
        /// Whether the courier can record attempts from now on.
        available: bool,
    },
    /// A health check ended.
    #[cfg_attr(feature = "serde", serde(rename = "Probed"))]
    HealthChecked(HealthCheckResult),
    /// Gossip from another courier.
    #[cfg_attr(feature = "serde", serde(rename = "Note"))]
    Gossip {
        /// Number of the courier that sent the gossip.
        from: u32,
        /// Content of the gossip.
        body: Vec<u8>,
    },
    /// A requested wake-up is due, or one that was replaced since. It carries no data: the dispatcher uses
    /// only the clock time of the cycle.
    #[cfg_attr(feature = "serde", serde(rename = "Woken"))]
    WokenUp,
}
