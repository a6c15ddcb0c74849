//! What is to be done after a decision cycle.

use super::{AttemptOutcome, Time};
use std::fmt;

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize))]
pub enum Action {
    /// Start the message's next attempt.
    Send {
        /// The message.
        message: u32,
        /// Where it goes.
        endpoint: u32,
        /// The attempt is given up at this clock time; 0: when the client gives up.
        until: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        message: u32,
        /// The attempt.
        attempt: u16,
    },
    /// Final answer: rejected, harmless to submit again.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject {
        /// The message.
        message: u32,
        /// When it may be submitted again; 0: not said.
        #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
        retry_after: Time,
    },
    /// Final answer: failed.
    Fail {
        /// The message.
        message: u32,
    },
    /// Send an endpoint a health check; it counts as a call there and takes no capacity of the courier.
    #[cfg_attr(feature = "serde", serde(rename = "Probe"))]
    HealthCheck {
        /// The endpoint.
        endpoint: u32,
    },
    /// Send gossip to another courier or, without one, to all.
    #[cfg_attr(feature = "serde", serde(rename = "Note"))]
    Gossip {
        /// Its number.
        to: Option<u32>,
        /// At most 256 bytes.
        body: Vec<u8>,
    },
    /// Close the connections to an endpoint that no call is using.
    #[cfg_attr(feature = "serde", serde(rename = "Close"))]
    CloseIdle {
        /// The endpoint.
        endpoint: u32,
    },
    /// Watch the endpoint list from now on.
    #[cfg_attr(feature = "serde", serde(rename = "Watch"))]
    WatchEndpoints,
    /// A decision cycle is wanted at this clock time at the latest.
    #[cfg_attr(feature = "serde", serde(rename = "Wake"))]
    WakeUp {
        /// The time.
        at: Time,
    },
    /// A limit changed its state: for the log and for metrics.
    #[cfg_attr(feature = "serde", serde(rename = "Log"))]
    LimitChanged(LimitChange),
}

/// State of a limit, as the decision library sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitState {
    /// In service.
    #[default]
    Healthy,
    /// Back from an outage, with part of its capacity.
    Recovering,
    /// Out of service: recovery trials only.
    Ejected,
    /// Nothing answers; alone this may be one endpoint of several.
    Silent,
}

/// What made a limit change its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitEvidence {
    /// The outcome that settled it.
    pub outcome: AttemptOutcome,
    /// Recent failure rate, 0 to 1.
    pub failure_rate: f64,
    /// Failures or rejections in a row.
    pub consecutive_failures: u32,
}

/// A limit changed its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The destination.
    pub destination: u32,
    /// The endpoint by which it was seen.
    pub endpoint: u32,
    /// The state that it has now.
    pub state: LimitState,
    /// Why; nothing where calls are overdue and unanswered.
    pub evidence: Option<LimitEvidence>,
}

/// The wording of the adapter's wire and of recorded decision cycles, which does not change with names in the code.
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
