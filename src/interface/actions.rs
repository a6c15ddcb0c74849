//! The actions that a decision cycle returns.

use super::{AttemptOutcome, Time};
use std::fmt;

/// An instruction to the courier, which carries out the actions of a cycle in their order.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize))]
pub enum Action {
    /// Start the next attempt of a message.
    Send {
        /// Number of the message.
        message: u32,
        /// Number of the endpoint that the attempt is sent to.
        endpoint: u32,
        /// Clock time in nanoseconds at which the attempt times out; 0 if only the deadline of the message
        /// ends it.
        until: Time,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Number of the message.
        message: u32,
        /// Number of the attempt, counted from 0 for each message.
        attempt: u16,
    },
    /// Give the final answer "rejected": it is harmless to submit the message again.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject {
        /// Number of the message.
        message: u32,
        /// Retry-After: nanoseconds that the client should wait before it submits the message again; 0 for
        /// none.
        #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
        retry_after: Time,
    },
    /// Give the final answer "failed": the message may or may not have been executed.
    Fail {
        /// Number of the message.
        message: u32,
    },
    /// Send a health check to an endpoint. The endpoint counts it as a call; it does not count against
    /// [`Settings::max_in_flight_calls`](super::Settings::max_in_flight_calls).
    #[cfg_attr(feature = "serde", serde(rename = "Probe"))]
    HealthCheck {
        /// Number of the endpoint.
        endpoint: u32,
    },
    /// Send gossip to other couriers.
    #[cfg_attr(feature = "serde", serde(rename = "Note"))]
    Gossip {
        /// Number of the courier that receives the gossip, or `None` for all other couriers.
        to: Option<u32>,
        /// Content of the gossip, at most 256 bytes.
        body: Vec<u8>,
    },
    /// Close the connections to an endpoint that carry no call.
    #[cfg_attr(feature = "serde", serde(rename = "Close"))]
    CloseIdle {
        /// Number of the endpoint.
        endpoint: u32,
    },
    /// Poll the endpoint list, or watch it from now on.
    #[cfg_attr(feature = "serde", serde(rename = "Watch"))]
    WatchEndpoints,
    /// Run a decision cycle at this clock time at the latest; replaces the wake-up requested before.
    #[cfg_attr(feature = "serde", serde(rename = "Wake"))]
    WakeUp {
        /// Clock time of the wake-up, in nanoseconds.
        at: Time,
    },
    /// Report in the log and in metrics that a limit changed its state.
    #[cfg_attr(feature = "serde", serde(rename = "Log"))]
    LimitChanged(LimitChange),
}

/// Health of a limit (that of a destination or of an independent route), as the decision library sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitState {
    /// In service (closed circuit): neither ejected nor in the slow start after an outage.
    #[default]
    Healthy,
    /// Back from an outage, with a growing part of its capacity (slow start).
    Recovering,
    /// Out of service: only recovery trials are sent.
    Ejected,
    /// Ejected because a call is overdue and no call was answered since it was sent. If endpoints share the
    /// limit, perhaps only one of them is silent.
    Silent,
}

/// The evidence on which a limit changed its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitEvidence {
    /// The outcome of the call that changed the state.
    pub outcome: AttemptOutcome,
    /// Failure rate, 0 to 1: exponentially weighted moving average over calls, in which a failed call counts
    /// 1, a served one 0, and a rejected one does not count.
    pub failure_rate: f64,
    /// Number of failures and rejections since the last served call.
    pub consecutive_failures: u32,
}

/// A change of the state of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Number of the destination.
    pub destination: u32,
    /// Number of the endpoint whose call or silence caused the change.
    pub endpoint: u32,
    /// State of the limit after the change.
    pub state: LimitState,
    /// Evidence for the change; `None` for [`LimitState::Silent`], which no outcome caused.
    pub evidence: Option<LimitEvidence>,
}

/// Writes the text that the bench adapter's wire format and recorded decision cycles have; it stays when a
/// name in the code changes.
impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            LimitState::Healthy => "in service",
            LimitState::Recovering => "back, warming up",
            LimitState::Ejected => "out, trials only",
            LimitState::Silent => "silent",
        };
        write!(f, "destination {} endpoint {}: {state}", self.destination, self.endpoint)?;
        let Some(evidence) = self.evidence else { return Ok(()) };
        f.write_str(" after ")?;
        match evidence.outcome {
            AttemptOutcome::Rejected { retry_after } => write!(f, "Full {{ wait: {retry_after} }}")?,
            AttemptOutcome::NotSent { no_capacity } => write!(f, "NotSent {{ no_slot: {no_capacity} }}")?,
            other => write!(f, "{other:?}")?,
        }
        let (rate, failures) = (evidence.failure_rate, evidence.consecutive_failures);
        write!(f, ", failing share {rate:.2}, {failures} in a row")
    }
}

#[cfg(feature = "serde")]
impl serde::Serialize for LimitChange {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Why an attempt that was decided must not be sent any more
/// ([`Dispatcher::check_unsent`](crate::Dispatcher::check_unsent)).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The attempt was cancelled or has its result.
    Cancelled,
    /// The message has its final answer.
    MessageEnded,
    /// The message's deadline has passed.
    DeadlinePassed,
    /// The endpoint is draining or was removed from the list.
    EndpointNotReady,
    /// An earlier attempt may have been executed, and no endpoint suppresses a second execution any more.
    PossibleRepetition,
    /// A Retry-After of the endpoint or its destination has not expired.
    RetryAfterPending,
    /// The endpoint or its destination has failed since the decision, and has not recovered.
    OutageBegan,
}
