//! The actions that a decision cycle returns.

use super::{AttemptOutcome, Time};
use std::fmt;

/// An instruction to the courier, which carries out the actions of a cycle in their order.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize))]
pub enum Action {
    /// Start the next attempt of a message.
    Send {
        /// The message.
        message: u32,
        /// The endpoint that it is sent to.
        endpoint: u32,
        /// Clock time at which the attempt times out; 0 if only the deadline of the message ends it.
        until: Time,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The message.
        message: u32,
        /// The number of the attempt, counted from 0 for each message.
        attempt: u16,
    },
    /// Give the final answer "rejected": it is harmless to submit the message again.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject {
        /// The message.
        message: u32,
        /// Retry-After: how long the client should wait before it submits the message again; 0 for none.
        #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
        retry_after: Time,
    },
    /// Give the final answer "failed": the message may or may not have been executed.
    Fail {
        /// The message.
        message: u32,
    },
    /// Send a health check to an endpoint, for which it counts as a call. It does not count against
    /// [`Settings::max_in_flight_calls`](super::Settings::max_in_flight_calls).
    #[cfg_attr(feature = "serde", serde(rename = "Probe"))]
    HealthCheck {
        /// The endpoint.
        endpoint: u32,
    },
    /// Send gossip to other couriers.
    #[cfg_attr(feature = "serde", serde(rename = "Note"))]
    Gossip {
        /// The number of the courier that gets it, or `None` for all.
        to: Option<u32>,
        /// The content, at most 256 bytes.
        body: Vec<u8>,
    },
    /// Close the connections to an endpoint that carry no call.
    #[cfg_attr(feature = "serde", serde(rename = "Close"))]
    CloseIdle {
        /// The endpoint.
        endpoint: u32,
    },
    /// Poll the endpoint list, or watch it from now on.
    #[cfg_attr(feature = "serde", serde(rename = "Watch"))]
    WatchEndpoints,
    /// Run a decision cycle at this clock time at the latest; replaces the wake-up requested before.
    #[cfg_attr(feature = "serde", serde(rename = "Wake"))]
    WakeUp {
        /// The clock time.
        at: Time,
    },
    /// Report in the log and in metrics that a limit changed its state.
    #[cfg_attr(feature = "serde", serde(rename = "Log"))]
    LimitChanged(LimitChange),
}

/// State of a limit (a destination or an independent route), as the decision library sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitState {
    /// In service.
    #[default]
    Healthy,
    /// Back from an outage, with a growing part of its capacity (slow start).
    Recovering,
    /// Out of service: only recovery trials are sent.
    Ejected,
    /// No call was answered since one was sent that is overdue now. This may concern only one of several
    /// endpoints.
    Silent,
}

/// The evidence on which a limit changed its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitEvidence {
    /// The outcome of the call that changed the state.
    pub outcome: AttemptOutcome,
    /// Exponentially weighted moving average over calls: a failed call counts 1, a served one 0, and a
    /// rejected one does not count.
    pub failure_rate: f64,
    /// Number of failures or rejections in a row.
    pub consecutive_failures: u32,
}

/// A change of the state of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The destination.
    pub destination: u32,
    /// The endpoint at which the change was observed.
    pub endpoint: u32,
    /// The new state.
    pub state: LimitState,
    /// The evidence; `None` for [`LimitState::Silent`], where there is no outcome.
    pub evidence: Option<LimitEvidence>,
}

/// Writes the text of the bench adapter's wire format and of recorded decision cycles, which does not change
/// with names in the code.
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
